"""Guard against a cold target that gets more requests than it tolerates."""

import random

import pytest

from eelgrassweir.admission.cold_bound import SendWindow, compute_limits

PER_S = 3.9
OVERAGE = 1.5
SLACK_CALLS = 8
# Largest difference of the times that two requests take to the server.
TRANSIT_MS = 150.0


def count_most(times_ms: list[float]) -> int:
    """Return the largest count in any one second."""
    times_ms = sorted(times_ms)
    return max(
        sum(start_ms <= time_ms < start_ms + 1e3 for time_ms in times_ms)
        for start_ms in times_ms
    )


@pytest.mark.parametrize(
    ("per_s", "overage", "slack_calls", "sent_calls", "open_calls"),
    [
        (3.9, 1.5, 8, 5, 8),
        (0.5, 1.5, 8, 1, 7),
        (0.5, 1.0, 0, 0, 0),
        (10, 1.0, 0, 10, 10),
    ],
)
def test_limits_are_within_the_allowed_rate(
    per_s: float, overage: float, slack_calls: float, sent_calls: int, open_calls: int
) -> None:
    """Guard against a limit above the bound of a small or missing slack."""
    limits = compute_limits(per_s, overage, slack_calls)
    assert (limits.sent_calls, limits.open_calls) == (sent_calls, open_calls)
    assert limits.sent_calls <= per_s * overage + slack_calls


@pytest.mark.parametrize("seed", range(20))
def test_no_second_has_more_arrivals_than_the_limit(seed: int) -> None:
    """Guard against a bound that holds for fixed seconds only."""
    rng = random.Random(seed)
    limit_calls = compute_limits(PER_S, OVERAGE, SLACK_CALLS).sent_calls
    window = SendWindow()
    window.set_limit(limit_calls)
    now_ms = 0.0
    arrivals_ms = []
    for _ in range(2_000):
        now_ms += rng.expovariate(1 / rng.choice((1.0, 20.0, 500.0)))
        if window.has_room(now_ms):
            window.record(now_ms)
            arrivals_ms.append(now_ms + rng.uniform(0, TRANSIT_MS))
    assert len(arrivals_ms) > 50
    assert count_most(arrivals_ms) <= limit_calls


def test_bound_does_not_starve_the_target() -> None:
    """Guard against a target that never gets warm for lack of requests."""
    window = SendWindow()
    window.set_limit(5)
    sent_calls = 0
    for now_ms in range(0, 12_000, 10):
        if window.has_room(now_ms):
            window.record(now_ms)
            sent_calls += 1
    assert sent_calls >= 50


def test_sends_before_the_target_is_cold_count() -> None:
    """Guard against the full limit on top of a warm target's last second."""
    window = SendWindow()
    window.set_limit(5)
    for now_ms in range(0, 1_000, 20):
        window.record(now_ms)
    assert not window.has_room(1_000)
    assert window.has_room(980 + 1_200)
