"""Guard against a limit that lets an overload in or keeps a recovery out."""

import pytest

from eelgrassweir.admission.limit import ConcurrencyLimit, Outcome


def run(
    limit: ConcurrencyLimit,
    *,
    latency_ms: float,
    span_ms: float,
    from_ms: float,
    outcome: Outcome = Outcome.OK,
    use: float = 1.0,
) -> float:
    """Keep the limit in use and return the time at the end."""
    now_ms = from_ms
    while now_ms < from_ms + span_ms:
        calls = max(1, int(limit.limit_calls * use))
        now_ms += latency_ms / calls
        limit.record(
            latency_ms=latency_ms, outcome=outcome, in_flight_calls=calls, now_ms=now_ms
        )
    return now_ms


def test_ceiling_is_reached_in_use_and_never_passed() -> None:
    limit = ConcurrencyLimit()
    limit.set_ceiling(100)
    run(limit, latency_ms=20, span_ms=2_000, from_ms=0)
    assert limit.limit_calls == 100


def test_limit_does_not_climb_far_above_its_use() -> None:
    limit = ConcurrencyLimit()
    now_ms = 0.0
    for _ in range(500):
        now_ms += 4.0
        limit.record(
            latency_ms=20, outcome=Outcome.OK, in_flight_calls=5, now_ms=now_ms
        )
    assert limit.limit_calls <= 20


def test_unused_limit_grows_no_further_than_the_last_good_one() -> None:
    limit = ConcurrencyLimit()
    limit.set_ceiling(20)
    now_ms = run(limit, latency_ms=20, span_ms=1_000, from_ms=0)
    now_ms = run(limit, latency_ms=100, span_ms=150, from_ms=now_ms)
    run(limit, latency_ms=20, span_ms=5_000, from_ms=now_ms, use=0.3)
    assert limit.limit_calls < 20


@pytest.mark.parametrize(
    ("outcome", "expected"), [(Outcome.REFUSED, 14), (Outcome.TIMEOUT, 12)]
)
def test_calls_that_fail_together_decrease_once(
    outcome: Outcome, expected: int
) -> None:
    limit = ConcurrencyLimit(ceiling_calls=16)
    for offset in range(16):
        limit.record(
            latency_ms=50, outcome=outcome, in_flight_calls=16, now_ms=100 + offset
        )
    assert limit.limit_calls == expected


def test_fast_refusals_decrease_once_per_latency() -> None:
    limit = ConcurrencyLimit(ceiling_calls=16)
    now_ms = run(limit, latency_ms=20, span_ms=500, from_ms=0)
    run(limit, latency_ms=1, span_ms=15, from_ms=now_ms, outcome=Outcome.REFUSED)
    assert limit.limit_calls == 14


def test_failures_of_the_application_do_not_decrease() -> None:
    limit = ConcurrencyLimit(ceiling_calls=16)
    run(limit, latency_ms=1, span_ms=1_000, from_ms=0, outcome=Outcome.FAILED)
    assert limit.limit_calls == 16


def test_calls_cancelled_late_show_an_overload() -> None:
    limit = ConcurrencyLimit(ceiling_calls=16)
    now_ms = run(limit, latency_ms=20, span_ms=500, from_ms=0)
    cancelled = Outcome.CANCELLED
    run(limit, latency_ms=250, span_ms=1_000, from_ms=now_ms, outcome=cancelled)
    assert limit.limit_calls < 12


@pytest.mark.parametrize("slow_ms", [2_000, 6_000, 30_000])
def test_limit_recovers_fast_however_long_the_spell(slow_ms: float) -> None:
    limit = ConcurrencyLimit(ceiling_calls=100)
    now_ms = run(limit, latency_ms=20, span_ms=2_000, from_ms=0)
    before_calls = limit.limit_calls
    refused = Outcome.REFUSED
    now_ms = run(limit, latency_ms=5, span_ms=slow_ms, from_ms=now_ms, outcome=refused)
    assert limit.limit_calls <= 4
    run(limit, latency_ms=20, span_ms=500, from_ms=now_ms)
    assert limit.limit_calls >= 0.7 * before_calls


def test_service_slower_for_good_gets_its_limit_back() -> None:
    limit = ConcurrencyLimit(ceiling_calls=40)
    now_ms = run(limit, latency_ms=20, span_ms=2_000, from_ms=0)
    run(limit, latency_ms=100, span_ms=8_000, from_ms=now_ms)
    assert limit.limit_calls >= 30


def test_cold_start_does_not_set_the_baseline() -> None:
    limit = ConcurrencyLimit(ceiling_calls=40)
    now_ms = 0.0
    for latency_ms in (200, 100, 50, 20):
        now_ms = run(limit, latency_ms=latency_ms, span_ms=500, from_ms=now_ms)
    # The baseline includes the standard error, some of it from the cold calls.
    assert limit.baseline_ms == pytest.approx(20, rel=0.05)
    run(limit, latency_ms=100, span_ms=400, from_ms=now_ms)
    assert limit.limit_calls < 40
