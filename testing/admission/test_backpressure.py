"""Guard against refusals at the entry that the target would not make."""

import random

from eelgrassweir.admission.backpressure import BackpressureTable


def share(table: BackpressureTable, priority: int, now_ms: float) -> float:
    source = random.Random(5)
    accepted = [
        table.accepts("route", "service", priority, now_ms, source) for _ in range(1000)
    ]
    return sum(accepted) / 1000


def report(table: BackpressureTable, accepts_from: int, count: int = 30) -> None:
    for _ in range(count):
        table.record("route", "service", accepts_from, 0.0)


def test_refusals_fade_with_the_age_of_the_report() -> None:
    table = BackpressureTable(ttl_ms=500.0)
    report(table, 1)
    assert share(table, 0, 0.0) < 0.01
    assert 0.4 < share(table, 0, 250.0) < 0.6
    assert share(table, 0, 500.0) == 1.0
    assert share(table, 1, 0.0) == 1.0


def test_critical_calls_always_get_in() -> None:
    table = BackpressureTable()
    report(table, 2)
    assert share(table, 2, 0.0) == 1.0
    assert share(table, 1, 0.0) < 0.01


def test_one_of_several_targets_does_not_stop_the_route() -> None:
    table = BackpressureTable()
    for _ in range(30):
        report(table, 1, count=1)
        report(table, 0, count=3)
    assert share(table, 0, 0.0) > 0.6


def test_pressure_of_child_services_reaches_the_caller_of_the_route() -> None:
    table = BackpressureTable()
    report(table, 2)
    assert table.accepts_from("route", 0.0) == 2
    assert table.accepts_from("other", 0.0) == 0
    assert table.accepts_from("route", 600.0) == 0
