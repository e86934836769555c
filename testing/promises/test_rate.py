"""Guard against a team that exceeds its rate and burst over all VMs."""

import pathlib

import attrs
import pytest

from experiments.faults import plan_faults
from experiments.harness import LoadResult, run_load
from testing.fleet import Fleet
from testing.promises.shapes import PAIR
from testing.shapes import TeamShape
from testing.stand_ins.caller import Stream

pytestmark = pytest.mark.processes

RATE_PER_S = 60.0
BURST_CALLS = 30
DURATION_MS = 12_000.0
SHAPE = attrs.evolve(
    PAIR,
    name="rate",
    teams=(TeamShape(name="academia", rate_per_s=RATE_PER_S, burst_calls=BURST_CALLS),),
)


def make_overload_stream() -> Stream:
    """Return reads of one team at five times its rate, with resends."""
    team = SHAPE.teams[0]
    return Stream(
        team=team.name,
        key=team.key,
        kind="view",
        method="GET",
        path="/fichero/view",
        rate_per_s=5 * RATE_PER_S,
        resends=2,
    )


def compute_max_calls(load: LoadResult) -> float:
    """Return rate * t + burst, t being from first send to last answer."""
    first_ms = min(outcome.start_ms for outcome in load.outcomes)
    last_ms = max(outcome.end_ms for outcome in load.outcomes)
    return RATE_PER_S * (last_ms - first_ms) / 1_000 + BURST_CALLS


@pytest.mark.parametrize("seed", [1, 2])
def test_team_stays_within_rate_and_burst_under_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Guard against a rate that is exceeded when share holders change.

    Share holders are killed, paused and lose the store while all VMs admit
    calls.
    """
    with Fleet(SHAPE, tmp_path, proxied=True, keep_runs=True, seed=seed) as fleet:
        fleet.wait_ready()
        events, log = plan_faults(
            list(fleet.vms), seed=seed, duration_ms=DURATION_MS, every_ms=700.0
        )
        before = len(fleet.read_run_lines())
        load = run_load(
            fleet, [make_overload_stream()], DURATION_MS, seed=seed, events=events
        )
        # Each read runs on one backend server; retries only add runs, so the
        # answers are counted, not the runs.
        runs = len(fleet.read_run_lines()) - before
    served = sum(outcome.whole for outcome in load.outcomes)
    max_calls = compute_max_calls(load)
    print(f"seed {seed}", *log, sep="\n")
    print(f"{served} served, {runs} runs, at most {max_calls:.0f} calls")
    assert served <= max_calls
    # A team whose calls are all refused would stay within its rate, too.
    assert served > 0.3 * RATE_PER_S * DURATION_MS / 1_000
