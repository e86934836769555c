"""Scenarios: each runs one or more fleets and returns rows of measures."""

import collections
import concurrent.futures
import pathlib
import time
from collections.abc import Callable
from typing import Any

import attrs

from experiments.faults import FAULTS, SLOW_FAULTS, plan_faults
from experiments.harness import (
    LoadResult,
    check_integrity,
    make_mixed_streams,
    measure_recovery_ms,
    percentile,
    run_load,
    summarise,
)
from testing.fleet import Fleet, read_cpu_time_ms
from testing.shapes import Shape, make_chain_shape, make_flat_shape
from testing.stand_ins.caller import Stream

WARM_UP_MS = 2_000.0
# Label and the measures by name.
Row = tuple[str, dict[str, float]]


@attrs.frozen(kw_only=True)
class Run:
    """Hold the parameters of one run of a scenario."""

    shape: Shape
    seed: int
    directory: pathlib.Path
    # Mechanisms to disable for a baseline, separated by commas.
    without: str = ""
    # Duration of the load; 0 selects the default of the scenario.
    seconds: float = 0.0

    def make_fleet(self, shape: Shape | None = None, **options: Any) -> Fleet:
        """Create an unstarted fleet with the run's seed and mechanisms."""
        disabled = self.without.split(",") if self.without else []
        fleet_shape = shape or self.shape
        return Fleet(
            fleet_shape,
            self.directory / fleet_shape.name,
            seed=self.seed,
            settings={"disabled_mechanisms": disabled},
            **options,
        )

    def duration_ms(self, default_s: float) -> float:
        """Return the duration of a load in ms."""
        return (self.seconds or default_s) * 1000


def find_deepest_service(shape: Shape) -> str:
    """Return the service at the end of the longest chain."""
    return shape.services[-1].name


def steady(run: Run) -> list[Row]:
    """Run the base load without a fault."""
    with run.make_fleet() as fleet:
        fleet.wait_ready()
        length_ms = run.duration_ms(10)
        load = run_load(
            fleet, make_mixed_streams(run.shape, 1.0), length_ms, seed=run.seed
        )
        measures = summarise(run.shape, load, WARM_UP_MS)
        return [("1x", measures | check_integrity(fleet, [load]))]


def surge(run: Run) -> list[Row]:
    """Run 1, 2, 4 and 8 times the base load, with aggressive resends."""
    rows: list[Row] = []
    loads = []
    with run.make_fleet() as fleet:
        fleet.wait_ready()
        for factor in (1.0, 2.0, 4.0, 8.0):
            load = run_load(
                fleet,
                make_mixed_streams(run.shape, factor),
                run.duration_ms(8),
                seed=run.seed * 10 + int(factor),
                name=f"surge-{factor:g}",
            )
            loads.append(load)
            measures = summarise(run.shape, load, WARM_UP_MS)
            rows.append((f"{factor:g}x", measures))
        rows.append(("all", check_integrity(fleet, loads)))
    return rows


def slow_deep_service(run: Run) -> list[Row]:
    """Make the deepest service five times slower for 6 s."""

    def slow(slowdown: float) -> Callable[[Fleet], None]:
        def apply(fleet: Fleet) -> None:
            for vm in fleet.select_vms(service=find_deepest_service(run.shape)):
                fleet.set_backend(vm.name, slowdown=slowdown)

        return apply

    events = [(4_000.0, slow(5.0)), (10_000.0, slow(1.0))]
    return _run_with_events(run, events, 4_000.0, 10_000.0, 20)


def hot_team(run: Run) -> list[Row]:
    """Let one small team send 20 times its share."""
    hot = run.shape.teams[-1].name
    streams = make_mixed_streams(run.shape, 1.0, team_factors={hot: 20.0})
    with run.make_fleet() as fleet:
        fleet.wait_ready()
        load = run_load(fleet, streams, run.duration_ms(10), seed=run.seed)
        measures = summarise(run.shape, load, WARM_UP_MS)
        for team in run.shape.teams:
            team_outcomes = [
                outcome for outcome in load.outcomes if outcome.team == team.name
            ]
            served = sum(outcome.whole for outcome in team_outcomes)
            measures[f"served_{team.name}_percent"] = (
                100.0 * served / max(1, len(team_outcomes))
            )
        return [(hot, measures | check_integrity(fleet, [load]))]


def kill_rack(run: Run) -> list[Row]:
    """Kill every VM of one failure domain at once."""
    domain = run.shape.failure_domains[0]

    def kill(fleet: Fleet) -> None:
        for vm in fleet.select_vms(failure_domain=domain):
            fleet.kill(vm.name)

    return _run_with_events(run, [(4_000.0, kill)], 4_000.0, 4_000.0, 18)


def cold_start(run: Run) -> list[Row]:
    """Replace one VM of the deepest service by one with a slow cold start."""
    name = f"{find_deepest_service(run.shape)}-1"

    def replace(fleet: Fleet) -> None:
        fleet.kill(name)
        fleet.vms[name].spec |= {"cold_ms": 6_000.0, "cold_factor": 8.0}
        fleet.start_vm(name)

    return _run_with_events(run, [(4_000.0, replace)], 4_000.0, 4_000.0, 18)


def silent_links(run: Run) -> list[Row]:
    """Stop forwarding on every established link into the deepest service."""

    def silence(fleet: Fleet) -> None:
        assert fleet.proxy is not None
        for vm in fleet.select_vms(service=find_deepest_service(run.shape)):
            fleet.proxy.silence(f"{vm.name}/link")

    return _run_with_events(
        run, [(4_000.0, silence)], 4_000.0, 4_000.0, 12, proxied=True
    )


def random_faults(run: Run) -> list[Row]:
    """Apply random faults to the fleet and check the guarantees."""
    length_ms = run.duration_ms(30)
    with run.make_fleet(proxied=True, keep_runs=True) as fleet:
        fleet.wait_ready()
        events, log = plan_faults(
            list(fleet.vms),
            seed=run.seed,
            duration_ms=length_ms,
            every_ms=900.0,
            kinds=FAULTS | SLOW_FAULTS,
        )
        print("\n".join(log))
        streams = make_mixed_streams(run.shape, 0.5, tickets_ahead=4)
        load = run_load(fleet, streams, length_ms, seed=run.seed, events=events)
        unknown = sum(outcome.code == "outcome_unknown" for outcome in load.outcomes)
        filings = sum(outcome.kind == "file" for outcome in load.outcomes)
        counts = {"filings": filings, "filings_unknown": unknown}
        checks = check_integrity(fleet, [load])
        return [("faults", summarise(run.shape, load) | counts | checks)]


def _run_with_events(
    run: Run,
    events: list[tuple[float, Callable[[Fleet], None]]],
    fault_ms: float,
    cleared_ms: float,
    default_s: float,
    **options: Any,
) -> list[Row]:
    with run.make_fleet(**options) as fleet:
        fleet.wait_ready()
        length_ms = run.duration_ms(default_s)
        streams = make_mixed_streams(run.shape, 1.0)
        load = run_load(fleet, streams, length_ms, seed=run.seed, events=events)
        recovered = {"recovery_ms": measure_recovery_ms(load, fault_ms, cleared_ms)}
        checks = check_integrity(fleet, [load])
        return [
            ("before", summarise(run.shape, load, WARM_UP_MS, fault_ms)),
            ("after", summarise(run.shape, load, fault_ms) | recovered | checks),
        ]


def retry_storm(run: Run) -> list[Row]:
    """Fail the last service of a chain of 8 whose levels all retry twice."""
    rows = []
    for label, upper_percent in (("deepest fails", 0.0), ("every level fails", 30.0)):
        rows.append((label, _retry_storm(run, label, upper_percent)))
    return rows


def _retry_storm(run: Run, label: str, upper_percent: float) -> dict[str, float]:
    shape = make_chain_shape(8)
    spec = {"child_retries": 2, "fail_percent": upper_percent}
    bottom = find_deepest_service(shape)
    streams = [
        Stream(
            team=shape.teams[0].name,
            key=shape.teams[0].key,
            kind="view",
            method="GET",
            path=f"/{shape.front_service}/view",
            rate_per_s=10.0,
            patience_ms=10_000.0,
            resends=0,
        )
    ]
    with run.make_fleet(shape) as fleet:
        fleet.wait_ready()
        for vm in fleet.select_vms():
            fleet.set_backend(vm.name, **spec)
        fleet.set_backend(f"{bottom}-1", fail_percent=100.0)
        entry = fleet.select_vms(service=shape.front_service)[0].ingress_address
        load = run_load(
            fleet,
            streams,
            run.duration_ms(8),
            seed=run.seed,
            name=label.replace(" ", "-"),
            entries=[entry],
            processes=1,
        )
        # Each request of the caller has its own marker.
        runs = _count_runs_by_service(fleet)
        markers = {outcome.marker for outcome in load.outcomes}
        bottom_runs = [runs[bottom].get(marker, 0) for marker in markers]
        totals = [sum(level.get(m, 0) for level in runs.values()) for m in markers]
        return {
            "requests": len(markers),
            "deepest_runs_max": max(bottom_runs, default=0),
            "deepest_runs_mean": sum(bottom_runs) / max(1, len(bottom_runs)),
            "all_runs_max": max(totals, default=0),
            "served": sum(outcome.whole for outcome in load.outcomes),
        }


def _count_runs_by_service(fleet: Fleet) -> dict[str, collections.Counter[str]]:
    runs: dict[str, collections.Counter[str]] = {}
    for vm in fleet.vms.values():
        level = runs.setdefault(vm.service.name, collections.Counter())
        for _, marker, started, _ in fleet.get_backend_state(vm.name, full=True)[
            "runs"
        ]:
            level[marker] += started
    return runs


def latency(run: Run) -> list[Row]:
    """Compare the latency of calls through two daemons with direct calls."""
    # With one failure domain three of four calls pass through two daemons.
    shape = make_flat_shape(4, 1)
    rows = []
    with run.make_fleet(shape, spec={"spread": 0.0, "slots": 100}) as fleet:
        fleet.wait_ready()
        for per_daemon in (50.0, 160.0, 320.0):
            rows.append((f"{per_daemon:g}/s", _latency(run, fleet, per_daemon)))
    return rows


def _latency(run: Run, fleet: Fleet, per_daemon: float) -> dict[str, float]:
    shape = fleet.shape
    team = shape.teams[0]
    through = Stream(
        team=team.name,
        key=team.key,
        kind="view",
        method="GET",
        path=f"/{shape.front_service}/view",
        rate_per_s=per_daemon * len(fleet.vms),
        resends=0,
    )
    # Few direct calls, so that they add little load to the backend servers.
    direct = attrs.evolve(through, rate_per_s=50.0)
    pids = [vm.daemon.pid for vm in fleet.vms.values() if vm.daemon is not None]
    used_ms = sum(map(read_cpu_time_ms, pids))
    through_load, direct_load = _run_both(run, fleet, through, direct)
    used_ms = sum(map(read_cpu_time_ms, pids)) - used_ms
    measures: dict[str, float] = {}
    for label, load in (("through", through_load), ("direct", direct_load)):
        times = [
            outcome.end_ms - outcome.start_ms
            for outcome in load.outcomes
            if outcome.whole
        ]
        for percent in (50, 99):
            measures[f"{label}_p{percent}_ms"] = percentile(times, percent)
    for percent in (50, 99):
        added = measures[f"through_p{percent}_ms"] - measures[f"direct_p{percent}_ms"]
        measures[f"added_p{percent}_ms"] = added
    calls = max(1, len(through_load.outcomes))
    measures["calls"] = calls
    measures["served"] = sum(outcome.whole for outcome in through_load.outcomes)
    measures["processor_ms_per_call"] = used_ms / calls
    return measures


def _run_both(
    run: Run, fleet: Fleet, through: Stream, direct: Stream
) -> tuple[LoadResult, LoadResult]:
    """Run both streams concurrently, each in its own process."""
    length_ms = run.duration_ms(8)
    backends = [vm.backend_address for vm in fleet.vms.values()]
    with concurrent.futures.ThreadPoolExecutor() as pool:
        direct_load = pool.submit(
            run_load,
            fleet,
            [direct],
            length_ms,
            seed=run.seed + 1,
            name="direct",
            entries=backends,
            processes=1,
        )
        load = run_load(
            fleet, [through], length_ms, seed=run.seed, name="through", processes=1
        )
        return load, direct_load.result()


def control_cost(run: Run) -> list[Row]:
    """Measure the control plane of idle fleets of 6, 14 and 30 daemons."""
    rows = []
    for count in (6, 14, 30):
        shape = make_flat_shape(count, 3)
        with run.make_fleet(shape, proxied=True) as fleet:
            fleet.wait_ready(60_000)
            rows.append((f"{count} daemons", _control_cost(run, fleet)))
    return rows


def _control_cost(run: Run, fleet: Fleet) -> dict[str, float]:
    assert fleet.proxy is not None
    pids = [vm.daemon.pid for vm in fleet.vms.values() if vm.daemon is not None]
    time.sleep(2.0)  # Let the fleet settle before the measured interval.
    before = (
        _count_store_calls(fleet),
        _count_control_bytes(fleet),
        sum(map(read_cpu_time_ms, pids)),
    )
    start_s = time.monotonic()
    time.sleep(run.duration_ms(10) / 1000)
    seconds = time.monotonic() - start_s
    after = (
        _count_store_calls(fleet),
        _count_control_bytes(fleet),
        sum(map(read_cpu_time_ms, pids)),
    )
    store, control, used_ms = (b - a for a, b in zip(before, after, strict=True))
    return {
        "store_calls_per_s": store / seconds,
        "control_bytes_per_s_per_daemon": control / seconds / len(pids),
        "core_percent_per_daemon": used_ms / seconds / 10 / len(pids),
        "max_resident_mb": max(map(_read_resident_mb, pids)),
    }


def _count_store_calls(fleet: Fleet) -> float:
    return float(sum(fleet.get_store_counts().values()))


def _count_control_bytes(fleet: Fleet) -> float:
    assert fleet.proxy is not None
    return float(
        sum(
            sum(fleet.proxy.forwarded_bytes(f"{name}/control").values())
            for name in fleet.vms
        )
    )


def _read_resident_mb(process_id: int) -> float:
    for line in pathlib.Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


SCENARIOS: dict[str, Callable[[Run], list[Row]]] = {
    scenario.__name__: scenario
    for scenario in (
        steady,
        surge,
        slow_deep_service,
        hot_team,
        kill_rack,
        cold_start,
        silent_links,
        random_faults,
        retry_storm,
        latency,
        control_cost,
    )
}
