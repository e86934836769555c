"""Guard against a team above its rate and burst across all VMs."""

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


def flood() -> Stream:
    """Return reads of one team at five times its rate, resent at once."""
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


def most_calls(load: LoadResult) -> float:
    """Return rate x t + burst for the time from first send to last answer."""
    first_ms = min(one.start_ms for one in load.outcomes)
    last_ms = max(one.end_ms for one in load.outcomes)
    return RATE_PER_S * (last_ms - first_ms) / 1_000 + BURST_CALLS


@pytest.mark.parametrize("seed", [1, 2])
def test_team_stays_within_rate_and_burst_under_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Holders die, pause and lose the store while all VMs admit calls."""
    with Fleet(SHAPE, tmp_path, proxied=True, keep_runs=True, seed=seed) as fleet:
        fleet.wait_ready()
        events, log = plan_faults(
            list(fleet.vms), seed=seed, duration_ms=DURATION_MS, every_ms=700.0
        )
        before = len(fleet.read_run_lines())
        load = run_load(fleet, [flood()], DURATION_MS, seed=seed, events=events)
        # Each read runs on one backend server; retries only add runs, so the
        # answers are counted, not the runs.
        runs = len(fleet.read_run_lines()) - before
    served = sum(one.whole for one in load.outcomes)
    bound = most_calls(load)
    print(f"seed {seed}", *log, sep="\n")
    print(f"{served} served, {runs} runs, bound {bound:.0f}")
    assert served <= bound
    # A team that is refused everything would also stay within its rate.
    assert served > 0.3 * RATE_PER_S * DURATION_MS / 1_000
