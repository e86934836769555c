"""Guard against calls refused at the entry that a target would accept."""

import random

from eelgrassweir.admission.backpressure import BackpressureTable


def admitted_share(table: BackpressureTable, priority: int, now_ms: float) -> float:
    """Return the share of 1000 calls that is admitted."""
    source = random.Random(5)
    accepted = [
        table.accepts("route", "service", priority, now_ms, source) for _ in range(1000)
    ]
    return sum(accepted) / 1000


def record_reports(
    table: BackpressureTable, accepts_from: int, count: int = 30
) -> None:
    """Record the same report ``count`` times."""
    for _ in range(count):
        table.record("route", "service", accepts_from, 0.0)


def test_refusals_decrease_with_the_age_of_the_report() -> None:
    """Guard against refusals that outlast the overload of the target."""
    table = BackpressureTable(ttl_ms=500.0)
    record_reports(table, 1)
    assert admitted_share(table, 0, 0.0) < 0.01
    assert 0.4 < admitted_share(table, 0, 250.0) < 0.6
    assert admitted_share(table, 0, 500.0) == 1.0
    assert admitted_share(table, 1, 0.0) == 1.0


def test_critical_calls_are_always_admitted() -> None:
    """Guard against critical calls refused by an old report."""
    table = BackpressureTable()
    record_reports(table, 2)
    assert admitted_share(table, 2, 0.0) == 1.0
    assert admitted_share(table, 1, 0.0) < 0.01


def test_one_of_several_targets_does_not_stop_the_route() -> None:
    """Guard against one overloaded target that stops calls to the others."""
    table = BackpressureTable()
    for _ in range(30):
        record_reports(table, 1, count=1)
        record_reports(table, 0, count=3)
    assert admitted_share(table, 0, 0.0) > 0.6


def test_backpressure_of_child_services_applies_to_their_route_only() -> None:
    """Guard against lost, misrouted or outdated backpressure."""
    table = BackpressureTable()
    record_reports(table, 2)
    assert table.accepts_from("route", 0.0) == 2
    assert table.accepts_from("other", 0.0) == 0
    assert table.accepts_from("route", 600.0) == 0
