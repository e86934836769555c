"""Run load against a fleet and summarise what its callers saw."""

import collections
import json
import os
import pathlib
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Sequence

import attrs

from testing.fleet import ROOT, Fleet, FleetError
from testing.shapes import Shape, TeamShape
from testing.stand_ins.caller import Outcome, Stream, now_ms

# Share of each kind of request in the mix.
MIX = {"view": 0.60, "file": 0.25, "report": 0.15}
METHODS = {"view": "GET", "file": "POST", "report": "GET"}
# Load at 1x, as a share of what the deepest service can complete.
BASE_LOAD = 0.7
LOAD_PROCESSES = 2
START_DELAY_MS = 700.0
RECOVERED_SHARE = 0.95
WINDOW_MS = 1_000.0
EVIDENCE_LINES = 5

Event = tuple[float, Callable[[Fleet], object]]


@attrs.frozen(kw_only=True)
class LoadResult:
    """Outcomes of one load, and when its first arrival was due."""

    outcomes: list[Outcome]
    start_ms: float
    duration_ms: float
    not_sent: int

    def select_arrivals(self, from_ms: float, to_ms: float) -> list[Outcome]:
        """Return the requests that arrived between two offsets."""
        low, high = self.start_ms + from_ms, self.start_ms + to_ms
        return [one for one in self.outcomes if low <= one.start_ms < high]


def make_mixed_streams(
    shape: Shape,
    factor: float,
    *,
    team_factors: dict[str, float] | None = None,
    resends: int = 3,
    tickets_ahead: int = 0,
) -> list[Stream]:
    """Return the mix of every team at ``factor`` times the base load."""
    total_rate = sum(team.rate_per_s for team in shape.teams)
    base_per_s = shape.capacity_per_s * BASE_LOAD * factor
    return [
        Stream(
            team=team.name,
            key=team.key,
            kind=kind,
            method=METHODS[kind],
            path=f"/{shape.front}/{kind}",
            rate_per_s=base_per_s
            * (team.rate_per_s / total_rate)
            * (team_factors or {}).get(team.name, 1.0)
            * share,
            patience_ms=shape.patience_ms,
            resends=resends,
            tickets_ahead=tickets_ahead if kind == "file" else 0,
        )
        for team in shape.teams
        for kind, share in MIX.items()
    ]


def run_load(
    fleet: Fleet,
    work: Sequence[Stream],
    duration_ms: float,
    *,
    seed: int,
    name: str = "load",
    entries: Sequence[str] = (),
    events: Iterable[Event] = (),
    processes: int = LOAD_PROCESSES,
) -> LoadResult:
    """Run ``work`` from caller processes, and the events at their offsets."""
    chosen = list(entries) or [vm.ingress_address for vm in fleet.vms.values()]
    start_ms = now_ms() + START_DELAY_MS
    outputs, running = [], []
    for number in range(processes):
        output = fleet.directory / f"{name}.{number}.lines"
        plan = {
            "entries": chosen,
            "streams": [
                attrs.asdict(
                    attrs.evolve(stream, rate_per_s=stream.rate_per_s / processes)
                )
                for stream in work
            ],
            "duration_ms": duration_ms,
            "output": str(output),
            "seed": seed * 100 + number,
            "start_ms": start_ms,
        }
        path = fleet.directory / f"{name}.{number}.plan"
        path.write_text(json.dumps(plan))
        outputs.append(output)
        running.append(_start_caller(path, fleet.directory / f"{name}.{number}.out"))
    try:
        _run_events(fleet, events, start_ms)
        longest_s = max(stream.patience_ms for stream in work) / 1000
        end_s = (start_ms + duration_ms - now_ms()) / 1000 + longest_s + 20
        for process in running:
            if process.wait(timeout=max(1.0, end_s)) != 0:
                raise FleetError(f"{name}: caller ended with {process.returncode}")
    finally:
        for process in running:
            if process.poll() is None:
                process.kill()
                process.wait()
    return _read(outputs, start_ms, duration_ms)


def _start_caller(plan: pathlib.Path, log: pathlib.Path) -> subprocess.Popen[bytes]:
    environment = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}"}
    with log.open("wb") as file:
        return subprocess.Popen(
            [sys.executable, "-m", "testing.stand_ins.caller", "--plan", str(plan)],
            env=environment,
            stdout=file,
            stderr=file,
        )


def _run_events(fleet: Fleet, events: Iterable[Event], start_ms: float) -> None:
    for at_ms, act in sorted(events, key=lambda event: event[0]):
        time.sleep(max(0.0, start_ms + at_ms - now_ms()) / 1000)
        act(fleet)


def _read(
    outputs: list[pathlib.Path], start_ms: float, duration_ms: float
) -> LoadResult:
    outcomes: list[Outcome] = []
    not_sent = 0
    for output in outputs:
        for line in output.read_text().splitlines():
            values = json.loads(line) if line else {}
            not_sent += values.pop("not_sent", 0)
            if values:
                outcomes.append(Outcome(**values))
    return LoadResult(
        outcomes=outcomes,
        start_ms=start_ms,
        duration_ms=duration_ms,
        not_sent=not_sent,
    )


# Summaries.


def summarise(
    shape: Shape, load: LoadResult, from_ms: float = 0.0, to_ms: float | None = None
) -> dict[str, float]:
    """Return the measures of the requests that arrived in an interval."""
    end_ms = load.duration_ms if to_ms is None else to_ms
    chosen = load.select_arrivals(from_ms, end_ms)
    seconds = (end_ms - from_ms) / 1000
    whole = [one for one in chosen if one.whole]
    measures = {
        "offered_per_s": len(chosen) / seconds,
        "goodput_per_s": len(whole) / seconds,
    }
    for kind in MIX:
        offered = sum(one.kind == kind for one in chosen)
        served = sum(one.kind == kind for one in whole)
        measures[f"served_{kind}_percent"] = 100.0 * served / max(1, offered)
    measures["worst_team_percent"] = measure_worst_team_percent(shape, chosen, seconds)
    measures |= measure_conforming_failures(shape, chosen)
    measures["p50_ms"] = percentile([o.end_ms - o.start_ms for o in whole], 50)
    measures["p99_ms"] = percentile([o.end_ms - o.start_ms for o in whole], 99)
    failures = collections.Counter(
        one.code or f"status_{one.status}" for one in chosen if not one.whole
    )
    for code, count in sorted(failures.items()):
        measures[f"failed_{code}"] = count
    measures["not_sent"] = load.not_sent
    return measures


def measure_worst_team_percent(
    shape: Shape, chosen: Sequence[Outcome], seconds: float
) -> float:
    """Return the lowest share that a team got of what its rate allows it.

    A team is owed the lesser of what it offered and its rate.
    """
    shares = []
    for team in shape.teams:
        own = [one for one in chosen if one.team == team.name]
        owed = min(float(len(own)), team.rate_per_s * seconds)
        if owed > 0:
            shares.append(100.0 * sum(one.whole for one in own) / owed)
    return min(shares, default=0.0)


def count_conforming_requests(team: TeamShape, own: Sequence[Outcome]) -> int:
    """Return how many of a team's requests one token bucket would admit.

    The bucket has the team's rate and burst, starts full, and each request
    takes one token when it arrives; resends take none.
    """
    level, at_ms, owed = float(team.burst_calls), 0.0, 0
    for one in sorted(own, key=lambda one: one.start_ms):
        level += (one.start_ms - at_ms) / 1000 * team.rate_per_s
        level, at_ms = min(float(team.burst_calls), level), one.start_ms
        if level >= 1.0:
            owed += 1
            level -= 1.0
    return owed


def measure_conforming_failures(
    shape: Shape, chosen: Sequence[Outcome]
) -> dict[str, float]:
    """Return the shares of the calls owed that the teams did not get.

    Which of its requests a team above its rate gets does not matter, so
    numbers are compared for each team and not the requests themselves.
    """
    total, not_served, by_rate = 0, 0, 0
    for team in shape.teams:
        own = [one for one in chosen if one.team == team.name]
        owed = count_conforming_requests(team, own)
        total += owed
        not_served += max(0, owed - sum(one.whole for one in own))
        passed = sum(one.code != "rate_exceeded" for one in own)
        by_rate += max(0, owed - passed)
    return {
        "owed_not_served_percent": 100.0 * not_served / max(1, total),
        "owed_rate_exceeded_percent": 100.0 * by_rate / max(1, total),
    }


def percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile by nearest rank; zero without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = int(len(ordered) * percent / 100)
    return ordered[min(rank, len(ordered) - 1)]


def measure_recovery_ms(load: LoadResult, fault_ms: float, cleared_ms: float) -> float:
    """Return the time from ``cleared_ms`` to 95% of the goodput before.

    Goodput is taken as the served share of the arrivals in a window of 1 s,
    because arrivals are random. The result is -1 without recovery.
    """
    before = _served_share(load, WINDOW_MS, fault_ms)
    at_ms = cleared_ms
    while at_ms + WINDOW_MS <= load.duration_ms:
        share = _served_share(load, at_ms, at_ms + WINDOW_MS)
        if share >= RECOVERED_SHARE * before:
            return at_ms - cleared_ms
        at_ms += 100.0
    return -1.0


def _served_share(load: LoadResult, from_ms: float, to_ms: float) -> float:
    chosen = load.select_arrivals(from_ms, to_ms)
    return sum(one.whole for one in chosen) / max(1, len(chosen))


def check_integrity(fleet: Fleet, loads: Iterable[LoadResult]) -> dict[str, float]:
    """Count broken promises: wrong answers, second runs, false "not run"."""
    started: collections.Counter[tuple[str, str]] = collections.Counter()
    keys = {team.key for team in fleet.shape.teams}
    keys_seen = 0
    for vm in fleet.vms.values():
        if vm.backend is None or vm.backend.poll() is not None:
            continue
        state = fleet.backend_state(vm.name, full=True)
        if not fleet.keeps_runs:
            for act, marker, runs, _ in state["runs"]:
                started[act, marker] += runs
        values = (value for seen in state["headers"].values() for value in seen)
        keys_seen += sum(any(key in value for key in keys) for value in values)
    for line in fleet.run_lines():
        act, _, marker = line.rpartition(" ")
        started[act, marker] += 1
    twice = [act for act, runs in started.items() if act[0][:4] == "POST" and runs > 1]
    ran = {marker for _, marker in started}
    outcomes = [one for load in loads for one in load.outcomes]
    wrong = [one for one in outcomes if one.status == 200 and not one.whole]
    false_refusals = [one for one in outcomes if _is_not_run(one) and one.marker in ran]
    twice_markers = {marker for _, marker in twice}
    ran_twice = [one for one in outcomes if one.marker in twice_markers]
    for evidence in (wrong, ran_twice, false_refusals):
        for item in evidence[:EVIDENCE_LINES]:
            print(f"broken promise: {item}", *item.attempts, sep="\n  ")
    return {
        "wrong_answers": len(wrong),
        "filings_run_twice": len(twice),
        "not_run_but_ran": len(false_refusals),
        "keys_seen": keys_seen,
    }


def _is_not_run(one: Outcome) -> bool:
    """Return whether the caller was told that its request never ran."""
    if one.kind != "file":
        return one.never_run
    # The last refusal of a filing speaks for every copy with its ticket, and
    # the caller changes the ticket only after such a refusal.
    return one.not_run and one.code not in ("closed", "timeout", "gave_up")


def min_median_max(
    rows: Sequence[dict[str, float]],
) -> dict[str, tuple[float, float, float]]:
    """Return minimum, median and maximum of each measure over the seeds."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    result = {}
    for name in names:
        values = [row.get(name, 0.0) for row in rows]
        result[name] = (min(values), statistics.median(values), max(values))
    return result
