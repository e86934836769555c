"""Run load against a fleet and summarise the outcomes its callers saw.

Used by the scenarios, the demo and the tests in testing/promises.
"""

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

# Fraction of each kind of request in the mix.
REQUEST_MIX = {"view": 0.60, "file": 0.25, "report": 0.15}
METHODS_BY_KIND = {"view": "GET", "file": "POST", "report": "GET"}
# Load at 1x, as a fraction of the capacity of the deepest service.
BASE_LOAD_FRACTION = 0.7
LOAD_PROCESSES = 2
# Time for the caller processes to start before the first arrival.
START_DELAY_MS = 700.0
RECOVERED_FRACTION = 0.95
RECOVERY_WINDOW_MS = 1_000.0
MAX_PRINTED_VIOLATIONS = 5

# Offset from the start of the load in ms, and the action to run then.
Event = tuple[float, Callable[[Fleet], object]]


@attrs.frozen(kw_only=True)
class LoadResult:
    """Hold the outcomes of one load and the time of its first arrival."""

    outcomes: list[Outcome]
    start_ms: float
    duration_ms: float
    not_sent: int

    def select_arrivals(self, from_ms: float, to_ms: float) -> list[Outcome]:
        """Return the requests that arrived between two offsets in ms."""
        low, high = self.start_ms + from_ms, self.start_ms + to_ms
        return [outcome for outcome in self.outcomes if low <= outcome.start_ms < high]


def make_mixed_streams(
    shape: Shape,
    factor: float,
    *,
    team_factors: dict[str, float] | None = None,
    resends: int = 3,
    tickets_ahead: int = 0,
) -> list[Stream]:
    """Return each team's mix of requests at ``factor`` times the base load.

    The load is divided among the teams in proportion to their rates, then
    multiplied by ``team_factors``.
    """
    total_rate = sum(team.rate_per_s for team in shape.teams)
    base_per_s = shape.capacity_per_s * BASE_LOAD_FRACTION * factor
    return [
        Stream(
            team=team.name,
            key=team.key,
            kind=kind,
            method=METHODS_BY_KIND[kind],
            path=f"/{shape.front_service}/{kind}",
            rate_per_s=base_per_s
            * (team.rate_per_s / total_rate)
            * (team_factors or {}).get(team.name, 1.0)
            * share,
            patience_ms=shape.patience_ms,
            resends=resends,
            tickets_ahead=tickets_ahead if kind == "file" else 0,
        )
        for team in shape.teams
        for kind, share in REQUEST_MIX.items()
    ]


def run_load(
    fleet: Fleet,
    streams: Sequence[Stream],
    duration_ms: float,
    *,
    seed: int,
    name: str = "load",
    entries: Sequence[str] = (),
    events: Iterable[Event] = (),
    processes: int = LOAD_PROCESSES,
) -> LoadResult:
    """Send ``streams`` from caller processes and run the events.

    The default for ``entries`` is every VM's ingress address.

    :raises FleetError: if a caller process fails.
    """
    selected = list(entries) or [vm.ingress_address for vm in fleet.vms.values()]
    start_ms = now_ms() + START_DELAY_MS
    outputs, running = [], []
    for number in range(processes):
        output = fleet.directory / f"{name}.{number}.lines"
        plan = {
            "entries": selected,
            "streams": [
                attrs.asdict(
                    attrs.evolve(stream, rate_per_s=stream.rate_per_s / processes)
                )
                for stream in streams
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
        longest_s = max(stream.patience_ms for stream in streams) / 1000
        end_s = (start_ms + duration_ms - now_ms()) / 1000 + longest_s + 20
        for process in running:
            if process.wait(timeout=max(1.0, end_s)) != 0:
                raise FleetError(
                    f"{name}: caller process exited with {process.returncode}"
                )
    finally:
        for process in running:
            if process.poll() is None:
                process.kill()
                process.wait()
    return _read_outcomes(outputs, start_ms, duration_ms)


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
    for at_ms, action in sorted(events, key=lambda event: event[0]):
        time.sleep(max(0.0, start_ms + at_ms - now_ms()) / 1000)
        action(fleet)


def _read_outcomes(
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


def summarise(
    shape: Shape, load: LoadResult, from_ms: float = 0.0, to_ms: float | None = None
) -> dict[str, float]:
    """Return the measures of the requests that arrived in an interval.

    Offsets are in ms from the start of the load; the default for ``to_ms`` is
    its end. Goodput counts whole answers only.
    """
    end_ms = load.duration_ms if to_ms is None else to_ms
    selected = load.select_arrivals(from_ms, end_ms)
    seconds = (end_ms - from_ms) / 1000
    whole = [outcome for outcome in selected if outcome.whole]
    measures = {
        "offered_per_s": len(selected) / seconds,
        "goodput_per_s": len(whole) / seconds,
    }
    for kind in REQUEST_MIX:
        offered = sum(outcome.kind == kind for outcome in selected)
        served = sum(outcome.kind == kind for outcome in whole)
        measures[f"served_{kind}_percent"] = 100.0 * served / max(1, offered)
    measures["worst_team_percent"] = measure_worst_team_percent(
        shape, selected, seconds
    )
    measures |= measure_conforming_failures(shape, selected)
    measures["p50_ms"] = percentile([o.end_ms - o.start_ms for o in whole], 50)
    measures["p99_ms"] = percentile([o.end_ms - o.start_ms for o in whole], 99)
    failures = collections.Counter(
        outcome.code or f"status_{outcome.status}"
        for outcome in selected
        if not outcome.whole
    )
    for code, count in sorted(failures.items()):
        measures[f"failed_{code}"] = count
    measures["not_sent"] = load.not_sent
    return measures


def measure_worst_team_percent(
    shape: Shape, selected: Sequence[Outcome], seconds: float
) -> float:
    """Return the lowest percentage of its entitlement that a team was served.

    A team is entitled to the lesser of its offered requests and its rate.
    """
    shares = []
    for team in shape.teams:
        team_outcomes = [outcome for outcome in selected if outcome.team == team.name]
        entitled = min(float(len(team_outcomes)), team.rate_per_s * seconds)
        if entitled > 0:
            shares.append(
                100.0 * sum(outcome.whole for outcome in team_outcomes) / entitled
            )
    return min(shares, default=0.0)


def count_conforming_requests(team: TeamShape, team_outcomes: Sequence[Outcome]) -> int:
    """Return how many of a team's requests conform to its token bucket.

    The bucket has the team's rate and burst, starts full, and each request
    takes one token when it arrives; resends take none.
    """
    level, at_ms, conforming = float(team.burst_calls), 0.0, 0
    for outcome in sorted(team_outcomes, key=lambda outcome: outcome.start_ms):
        level += (outcome.start_ms - at_ms) / 1000 * team.rate_per_s
        level, at_ms = min(float(team.burst_calls), level), outcome.start_ms
        if level >= 1.0:
            conforming += 1
            level -= 1.0
    return conforming


def measure_conforming_failures(
    shape: Shape, selected: Sequence[Outcome]
) -> dict[str, float]:
    """Return the percentages of conforming requests that were not served.

    For a team above its rate it does not matter which of its requests are
    served, so only the numbers for each team are compared.
    """
    total, not_served, by_rate = 0, 0, 0
    for team in shape.teams:
        team_outcomes = [outcome for outcome in selected if outcome.team == team.name]
        conforming = count_conforming_requests(team, team_outcomes)
        total += conforming
        not_served += max(
            0, conforming - sum(outcome.whole for outcome in team_outcomes)
        )
        passed = sum(outcome.code != "rate_exceeded" for outcome in team_outcomes)
        by_rate += max(0, conforming - passed)
    return {
        "owed_not_served_percent": 100.0 * not_served / max(1, total),
        "owed_rate_exceeded_percent": 100.0 * by_rate / max(1, total),
    }


def percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile by nearest rank, or 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = int(len(ordered) * percent / 100)
    return ordered[min(rank, len(ordered) - 1)]


def measure_recovery_ms(load: LoadResult, fault_ms: float, cleared_ms: float) -> float:
    """Return the time from ``cleared_ms`` to 95% of the goodput before.

    Goodput is the served fraction of the arrivals in a window of 1 s, because
    the number of arrivals is random. Return -1 if the load ends first.
    """
    before = _compute_served_fraction(load, RECOVERY_WINDOW_MS, fault_ms)
    at_ms = cleared_ms
    while at_ms + RECOVERY_WINDOW_MS <= load.duration_ms:
        share = _compute_served_fraction(load, at_ms, at_ms + RECOVERY_WINDOW_MS)
        if share >= RECOVERED_FRACTION * before:
            return at_ms - cleared_ms
        at_ms += 100.0
    return -1.0


def _compute_served_fraction(load: LoadResult, from_ms: float, to_ms: float) -> float:
    selected = load.select_arrivals(from_ms, to_ms)
    return sum(outcome.whole for outcome in selected) / max(1, len(selected))


def check_integrity(fleet: Fleet, loads: Iterable[LoadResult]) -> dict[str, float]:
    """Count violations of the guarantees and print examples.

    These are wrong answers, filings that ran twice, requests that ran although
    they were reported as not run, and headers in which a backend server saw a
    team's key.
    """
    started: collections.Counter[tuple[str, str]] = collections.Counter()
    keys = {team.key for team in fleet.shape.teams}
    keys_seen = 0
    for vm in fleet.vms.values():
        if vm.backend is None or vm.backend.poll() is not None:
            continue
        state = fleet.get_backend_state(vm.name, full=True)
        if not fleet.keeps_runs:
            for operation, marker, runs, _ in state["runs"]:
                started[operation, marker] += runs
        values = (value for seen in state["headers"].values() for value in seen)
        keys_seen += sum(any(key in value for key in keys) for value in values)
    for line in fleet.read_run_lines():
        operation, _, marker = line.rpartition(" ")
        started[operation, marker] += 1
    twice = [run for run, runs in started.items() if run[0][:4] == "POST" and runs > 1]
    ran = {marker for _, marker in started}
    outcomes = [outcome for load in loads for outcome in load.outcomes]
    wrong = [
        outcome for outcome in outcomes if outcome.status == 200 and not outcome.whole
    ]
    false_refusals = [
        outcome
        for outcome in outcomes
        if _was_reported_not_run(outcome) and outcome.marker in ran
    ]
    twice_markers = {marker for _, marker in twice}
    ran_twice = [outcome for outcome in outcomes if outcome.marker in twice_markers]
    for evidence in (wrong, ran_twice, false_refusals):
        for item in evidence[:MAX_PRINTED_VIOLATIONS]:
            print(f"violation: {item}", *item.attempts, sep="\n  ")
    return {
        "wrong_answers": len(wrong),
        "filings_run_twice": len(twice),
        "not_run_but_ran": len(false_refusals),
        "keys_seen": keys_seen,
    }


def _was_reported_not_run(outcome: Outcome) -> bool:
    """Return whether the request was reported to its caller as not run."""
    if outcome.kind != "file":
        return outcome.never_run
    # The last refusal of a filing covers every copy with the same ticket, and
    # the caller changes the ticket only after a refusal as not run.
    return outcome.not_run and outcome.code not in ("closed", "timeout", "gave_up")


def min_median_max(
    rows: Sequence[dict[str, float]],
) -> dict[str, tuple[float, float, float]]:
    """Return minimum, median and maximum by measure; a missing value is 0."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    result = {}
    for name in names:
        values = [row.get(name, 0.0) for row in rows]
        result[name] = (min(values), statistics.median(values), max(values))
    return result
