"""Guard against an overload that outlasts its cause."""

import random

import pytest

from eelgrassweir.admission.throttle import MIN_ADMITTED_SHARE, OverloadThrottle

INTERVAL_MS = 20.0
CALLS = 5


def run_requests(
    throttle: OverloadThrottle,
    failed_share: float,
    *,
    start_ms: float,
    requests: int,
) -> float:
    """Return the admitted share while ``failed_share`` of the runs fails."""
    outcomes = random.Random(1)
    admitted = 0
    for number in range(requests):
        now_ms = start_ms + number * INTERVAL_MS
        if not throttle.try_admit("a", 0, now_ms):
            continue
        admitted += 1
        failed = outcomes.random() < failed_share
        throttle.record("a", failed=failed, now_ms=now_ms)
    return admitted / requests


def run_overload(capacity_share: float, *, is_throttled: bool) -> float:
    """Return the share served with capacity for part of all calls."""
    throttle = OverloadThrottle(random.Random(2))
    outcomes = random.Random(1)
    # Runs end, and their calls are made, after the request was admitted.
    runs: list[tuple[float, bool]] = []
    admitted_recently = 1.0
    served = 0
    for number in range(3_000):
        now_ms = number * INTERVAL_MS
        while runs and runs[0][0] <= now_ms:
            throttle.record("a", failed=runs.pop(0)[1], now_ms=now_ms)
        is_admitted = not is_throttled or throttle.try_admit("a", 0, now_ms)
        admitted_recently += 0.05 * (is_admitted - admitted_recently)
        if not is_admitted:
            continue
        capacity = min(1.0, capacity_share / max(admitted_recently, 0.01))
        succeeded = outcomes.random() < capacity**CALLS
        runs.append((now_ms + 300.0, not succeeded))
        served += succeeded and number >= 500
    return served / 2_500


@pytest.mark.parametrize("failed_share", [0.0, 0.03])
def test_few_failures_throttle_nothing(failed_share: float) -> None:
    """Guard against requests refused while nearly all would be served."""
    throttle = OverloadThrottle(random.Random(2))
    assert run_requests(throttle, failed_share, start_ms=0.0, requests=500) > 0.99


def test_admitted_share_falls_to_its_minimum() -> None:
    """Guard against work for failing requests and against admitting none."""
    throttle = OverloadThrottle(random.Random(2))
    run_requests(throttle, 1.0, start_ms=0.0, requests=300)
    share = run_requests(throttle, 1.0, start_ms=6_000.0, requests=1_000)
    assert 0.5 * MIN_ADMITTED_SHARE < share < 2 * MIN_ADMITTED_SHARE


@pytest.mark.parametrize("capacity_share", [0.3, 0.6, 0.8])
def test_throttle_serves_most_of_the_capacity(capacity_share: float) -> None:
    """Guard against a throttle that oscillates or has no effect."""
    share = run_overload(capacity_share, is_throttled=True)
    assert share > 0.5 * capacity_share
    assert share > 1.5 * run_overload(capacity_share, is_throttled=False)


def test_higher_ranks_are_admitted_first() -> None:
    """Guard against urgent requests refused while others are admitted."""
    throttle = OverloadThrottle(random.Random(2))
    ranks = (0, 7)
    now_ms = 0.0
    while throttle.admitted_share("a") > 0.5:
        now_ms += INTERVAL_MS
        throttle.record("a", failed=True, now_ms=now_ms)
        for rank in ranks:
            throttle.try_admit("a", rank, now_ms)
    admitted = dict.fromkeys(ranks, 0)
    for number in range(200):
        rank = ranks[number % 2]
        admitted[rank] += throttle.try_admit("a", rank, now_ms)
    assert admitted[7] > 85
    assert admitted[0] < 25


def test_all_requests_are_admitted_soon_after_the_overload_ends() -> None:
    """Guard against refusals that outlast the overload."""
    throttle = OverloadThrottle(random.Random(2))
    run_requests(throttle, 1.0, start_ms=0.0, requests=500)
    run_requests(throttle, 0.0, start_ms=10_000.0, requests=600)
    assert run_requests(throttle, 0.0, start_ms=22_000.0, requests=100) == 1.0


def test_routes_are_throttled_separately() -> None:
    """Guard against failures of one route that refuse another's requests."""
    throttle = OverloadThrottle(random.Random(2))
    run_requests(throttle, 1.0, start_ms=0.0, requests=300)
    assert all(throttle.try_admit("b", 0, 6_000.0) for _ in range(50))
