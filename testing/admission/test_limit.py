"""Guard against a limit that admits an overload or prevents recovery."""

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
    """Record calls that use the limit; return the time of the last one.

    :param use: part of the limit that is in flight.
    """
    now_ms = from_ms
    while now_ms < from_ms + span_ms:
        calls = max(1, int(limit.limit_calls * use))
        now_ms += latency_ms / calls
        limit.record(
            latency_ms=latency_ms, outcome=outcome, in_flight_calls=calls, now_ms=now_ms
        )
    return now_ms


def test_limit_in_use_reaches_the_ceiling_and_stays_there() -> None:
    """Guard against capacity left unused and more calls than slots."""
    limit = ConcurrencyLimit()
    limit.set_ceiling(100)
    run(limit, latency_ms=20, span_ms=2_000, from_ms=0)
    assert limit.limit_calls == 100


def test_limit_does_not_grow_far_above_its_use() -> None:
    """Guard against an untested limit that lets a burst in."""
    limit = ConcurrencyLimit()
    now_ms = 0.0
    for _ in range(500):
        now_ms += 4.0
        limit.record(
            latency_ms=20, outcome=Outcome.OK, in_flight_calls=5, now_ms=now_ms
        )
    assert limit.limit_calls <= 20


def test_unused_limit_does_not_grow_past_its_value_before_the_slow_period() -> None:
    """Guard against a recovery to the ceiling without calls that test it."""
    limit = ConcurrencyLimit()
    limit.set_ceiling(20)
    now_ms = run(limit, latency_ms=20, span_ms=1_000, from_ms=0)
    now_ms = run(limit, latency_ms=100, span_ms=150, from_ms=now_ms)
    run(limit, latency_ms=20, span_ms=5_000, from_ms=now_ms, use=0.3)
    assert limit.limit_calls < 20


@pytest.mark.parametrize(
    ("outcome", "expected"), [(Outcome.REFUSED, 14), (Outcome.TIMEOUT, 12)]
)
def test_calls_that_fail_together_decrease_the_limit_once(
    outcome: Outcome, expected: int
) -> None:
    """Guard against a limit that collapses on a single overload."""
    limit = ConcurrencyLimit(ceiling_calls=16)
    for offset in range(16):
        limit.record(
            latency_ms=50, outcome=outcome, in_flight_calls=16, now_ms=100 + offset
        )
    assert limit.limit_calls == expected


def test_fast_refusals_decrease_the_limit_once_per_latency() -> None:
    """Guard against decreases before the last one could take effect."""
    limit = ConcurrencyLimit(ceiling_calls=16)
    now_ms = run(limit, latency_ms=20, span_ms=500, from_ms=0)
    run(limit, latency_ms=1, span_ms=15, from_ms=now_ms, outcome=Outcome.REFUSED)
    assert limit.limit_calls == 14


def test_application_errors_do_not_decrease_the_limit() -> None:
    """Guard against errors of the application taken for an overload."""
    limit = ConcurrencyLimit(ceiling_calls=16)
    run(limit, latency_ms=1, span_ms=1_000, from_ms=0, outcome=Outcome.FAILED)
    assert limit.limit_calls == 16


def test_calls_cancelled_late_decrease_the_limit() -> None:
    """Guard against an overload hidden by callers that give up early."""
    limit = ConcurrencyLimit(ceiling_calls=16)
    now_ms = run(limit, latency_ms=20, span_ms=500, from_ms=0)
    cancelled = Outcome.CANCELLED
    run(limit, latency_ms=250, span_ms=1_000, from_ms=now_ms, outcome=cancelled)
    assert limit.limit_calls < 12


@pytest.mark.parametrize("slow_ms", [2_000, 6_000, 30_000])
def test_limit_recovers_fast_after_a_slow_period_of_any_length(
    slow_ms: float,
) -> None:
    """Guard against a recovery that takes longer after a longer overload."""
    limit = ConcurrencyLimit(ceiling_calls=100)
    now_ms = run(limit, latency_ms=20, span_ms=2_000, from_ms=0)
    before_calls = limit.limit_calls
    refused = Outcome.REFUSED
    now_ms = run(limit, latency_ms=5, span_ms=slow_ms, from_ms=now_ms, outcome=refused)
    assert limit.limit_calls <= 4
    run(limit, latency_ms=20, span_ms=500, from_ms=now_ms)
    assert limit.limit_calls >= 0.7 * before_calls


def test_limit_recovers_when_the_service_stays_slower() -> None:
    """Guard against a baseline that is never reset."""
    limit = ConcurrencyLimit(ceiling_calls=40)
    now_ms = run(limit, latency_ms=20, span_ms=2_000, from_ms=0)
    run(limit, latency_ms=100, span_ms=8_000, from_ms=now_ms)
    assert limit.limit_calls >= 30


def test_cold_start_does_not_set_the_baseline() -> None:
    """Guard against slow first calls that raise the baseline."""
    limit = ConcurrencyLimit(ceiling_calls=40)
    now_ms = 0.0
    for latency_ms in (200, 100, 50, 20):
        now_ms = run(limit, latency_ms=latency_ms, span_ms=500, from_ms=now_ms)
    # The baseline includes the standard error, partly that of the cold calls.
    assert limit.baseline_ms == pytest.approx(20, rel=0.05)
    run(limit, latency_ms=100, span_ms=400, from_ms=now_ms)
    assert limit.limit_calls < 40
