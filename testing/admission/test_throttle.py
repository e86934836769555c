"""Guard against an overload that outlasts its cause."""

import random

import pytest

from eelgrassweir.admission.throttle import LEAST_ADMITTED_SHARE, OverloadThrottle

INTERVAL_MS = 20.0
CALLS = 5


def play(
    throttle: OverloadThrottle,
    failed_share: float,
    *,
    start_ms: float,
    requests: int,
) -> float:
    """Return the share let in while this part of the runs fails."""
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


def play_overload(full_share: float, *, bounded: bool) -> float:
    """Return the share served when calls find room for this part of all."""
    throttle = OverloadThrottle(random.Random(2))
    outcomes = random.Random(1)
    # Runs end, and calls are made, after the request was let in.
    runs: list[tuple[float, bool]] = []
    admitted_recently = 1.0
    served = 0
    for number in range(3_000):
        now_ms = number * INTERVAL_MS
        while runs and runs[0][0] <= now_ms:
            throttle.record("a", failed=runs.pop(0)[1], now_ms=now_ms)
        is_in = not bounded or throttle.try_admit("a", 0, now_ms)
        admitted_recently += 0.05 * (is_in - admitted_recently)
        if not is_in:
            continue
        room = min(1.0, full_share / max(admitted_recently, 0.01))
        whole = outcomes.random() < room**CALLS
        runs.append((now_ms + 300.0, not whole))
        served += whole and number >= 500
    return served / 2_500


@pytest.mark.parametrize("failed_share", [0.0, 0.03])
def test_a_few_failures_bound_nothing(failed_share: float) -> None:
    """Guard against requests refused while nearly all would be served."""
    throttle = OverloadThrottle(random.Random(2))
    assert play(throttle, failed_share, start_ms=0.0, requests=500) > 0.99


def test_bound_falls_to_a_floor() -> None:
    """Guard against work for failing requests, and against letting in none."""
    throttle = OverloadThrottle(random.Random(2))
    play(throttle, 1.0, start_ms=0.0, requests=300)
    share = play(throttle, 1.0, start_ms=6_000.0, requests=1_000)
    assert 0.5 * LEAST_ADMITTED_SHARE < share < 2 * LEAST_ADMITTED_SHARE


@pytest.mark.parametrize("full_share", [0.3, 0.6, 0.8])
def test_bound_serves_most_of_what_fits(full_share: float) -> None:
    """Guard against a bound that swings, and against none."""
    share = play_overload(full_share, bounded=True)
    assert share > 0.5 * full_share
    assert share > 1.5 * play_overload(full_share, bounded=False)


def test_higher_ranks_get_in_first() -> None:
    """Guard against urgent requests refused while others get in."""
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


def test_all_are_let_in_soon_after_the_cause_has_gone() -> None:
    """Guard against refusals that outlast the overload."""
    throttle = OverloadThrottle(random.Random(2))
    play(throttle, 1.0, start_ms=0.0, requests=500)
    play(throttle, 0.0, start_ms=10_000.0, requests=600)
    assert play(throttle, 0.0, start_ms=22_000.0, requests=100) == 1.0


def test_routes_are_bounded_one_by_one() -> None:
    """Guard against one route's failures refusing another's requests."""
    throttle = OverloadThrottle(random.Random(2))
    play(throttle, 1.0, start_ms=0.0, requests=300)
    assert all(throttle.try_admit("b", 0, 6_000.0) for _ in range(50))
