"""Exact check of the limit on admitted calls in any window of time."""

from collections.abc import Sequence
from fractions import Fraction


def worst_excess(
    admitted_ms: Sequence[float], rate_per_s: float, burst_calls: int
) -> Fraction:
    """Return the most calls by which any window exceeds rate * t + burst.

    ``admitted_ms`` holds the time of each admitted call. A result of zero or
    less means that no window exceeds the limit.
    """
    rate_per_ms = Fraction(rate_per_s) / 1000
    lowest_surplus: Fraction | None = None
    worst = Fraction(-burst_calls)
    for count, at_ms in enumerate(sorted(admitted_ms)):
        # Calls before this one, minus those that the rate allowed by now.
        surplus = count - rate_per_ms * Fraction(at_ms)
        lowest_surplus = (
            surplus if lowest_surplus is None else min(lowest_surplus, surplus)
        )
        worst = max(worst, surplus + 1 - lowest_surplus - burst_calls)
    return worst
