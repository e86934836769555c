"""Tests of the measures of ``experiments.harness`` and of its callers."""

import pathlib

import attrs

from experiments.harness import (
    LoadResult,
    check_integrity,
    make_mixed_streams,
    measure_conforming_failures,
    measure_recovery_ms,
    measure_worst_team_percent,
    percentile,
    run_load,
)
from testing.fleet import Fleet, Vm, wait_until
from testing.shapes import make_flat_shape
from testing.stand_ins.caller import Outcome, Stream

SEED = 3
SHAPE = make_flat_shape(1, 1)


def outcome(start_ms: float, whole: bool = True, resends: int = 0) -> Outcome:
    return Outcome(
        team="academia",
        kind="view",
        marker="m",
        start_ms=start_ms,
        whole=whole,
        resends=resends,
    )


def test_recovery_time_starts_at_the_end_of_the_fault() -> None:
    """Guard against a recovery time that includes the fault itself."""
    outcomes = [
        outcome(at, whole=not 3_000 <= at < 6_000) for at in range(0, 10_000, 10)
    ]
    load = LoadResult(outcomes=outcomes, start_ms=0, duration_ms=10_000, not_sent=0)
    # The first window of 1 s with at most 5% failed starts at 5,950 ms.
    assert measure_recovery_ms(load, 3_000, 5_000) == 1_000
    broken = [outcome(at, whole=at < 3_000) for at in range(0, 10_000, 10)]
    load = LoadResult(outcomes=broken, start_ms=0, duration_ms=10_000, not_sent=0)
    assert measure_recovery_ms(load, 3_000, 5_000) == -1


def test_only_refusals_within_the_rate_count_as_failures() -> None:
    """Guard against counting refusals above the rate, or none at all."""
    team = SHAPE.teams[0]
    burst = [outcome(0.0) for _ in range(team.burst_calls)]
    refused = attrs.evolve(outcome(0.0, whole=False), code="rate_exceeded")
    beyond = measure_conforming_failures(SHAPE, [*burst, refused])
    assert beyond["owed_rate_exceeded_percent"] == 0.0
    # After the interval of one call the bucket holds one token again.
    later = attrs.evolve(refused, start_ms=1_001.0 / team.rate_per_s)
    within = measure_conforming_failures(SHAPE, [*burst, later])
    expected = 100.0 / (team.burst_calls + 1)
    assert within["owed_rate_exceeded_percent"] == expected
    assert within["owed_not_served_percent"] == expected
    served_percent = 100.0 * team.burst_calls / (team.burst_calls + 1)
    assert measure_worst_team_percent(SHAPE, [*burst, refused], 60.0) == served_percent


def test_percentile_is_a_nearest_rank() -> None:
    """Guard against an interpolated percentile and an error without values."""
    assert percentile(list(range(100)), 99) == 99
    assert percentile([], 50) == 0.0


def test_integrity_check_counts_filings_run_twice(
    tmp_path: pathlib.Path,
) -> None:
    """Guard against an integrity check that misses second runs.

    Caller processes call one backend server process directly.
    """
    fleet = Fleet(SHAPE, tmp_path, seed=SEED)
    port_file = tmp_path / "port"
    spec = {
        "service": "fichero",
        "port": fleet._reserve_port(),
        "port_file": str(port_file),
        "service_ms": 1.0,
    }
    vm = Vm("fichero-1", "domain-1", SHAPE.services[0], {}, spec)
    fleet.vms[vm.name] = vm
    try:
        fleet.start_vm(vm.name, daemon=False)
        wait_until(port_file.exists, 10_000)
        work: list[Stream] = make_mixed_streams(SHAPE, 0.1)
        entries = [vm.backend_address]
        load = run_load(fleet, work, 500, seed=SEED, entries=entries)
        assert len(load.outcomes) >= 20
        assert all(one.whole for one in load.outcomes)
        checks = check_integrity(fleet, [load])
        assert checks["filings_run_twice"] == 0
        assert checks["keys_seen"] == len(SHAPE.teams)
        again = run_load(fleet, work, 500, seed=SEED, entries=entries)
        checks = check_integrity(fleet, [load, again])
        assert checks["filings_run_twice"] > 0
    finally:
        fleet.close()
