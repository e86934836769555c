"""The check of the rule QUOTA, as RULES.md has it."""

from collections.abc import Iterable, Mapping


def get_allowed_calls(
    rate_per_s: float, burst: float, bounds: Mapping[str, float]
) -> float:
    """Return the requests of a tenant that one window may hold."""
    window_calls = rate_per_s * bounds["quotaWindow"] + burst
    return window_calls * (1 + bounds["quotaOverage"]) + bounds["quotaSlack"]


def count_most_in_window(
    times_s: Iterable[tuple[float, float]], window_s: float
) -> int:
    """Return the most requests both sent and arrived within one window.

    ``times_s`` holds for each request that ran when it was sent and when it
    arrived at its target.
    """
    ordered = sorted(times_s)
    return max(
        (
            sum(
                sent_s >= start_s and arrived_s <= start_s + window_s
                for sent_s, arrived_s in ordered
            )
            for start_s, _ in ordered
        ),
        default=0,
    )
