"""Guard against violated guarantees under random combinations of faults."""

import pathlib

import pytest

from experiments.faults import plan_faults
from experiments.harness import check_integrity, make_mixed_streams, run_load
from testing.fleet import Fleet
from testing.promises.shapes import CHAIN

pytestmark = pytest.mark.processes

DURATION_MS = 14_000.0
# Total calls per second, a quarter of them filings with a call depth of two.
OFFERED_PER_S = 120.0


@pytest.mark.parametrize("seed", [1, 2])
def test_guarantees_hold_under_random_faults(seed: int, tmp_path: pathlib.Path) -> None:
    """Guard against wrong answers, second runs and false "not run".

    A key that reaches a backend server is a violation as well.
    """
    with Fleet(CHAIN, tmp_path, proxied=True, keep_runs=True, seed=seed) as fleet:
        fleet.wait_ready()
        events, log = plan_faults(
            list(fleet.vms), seed=seed, duration_ms=DURATION_MS, every_ms=700.0
        )
        print(f"seed {seed}", *log, sep="\n")
        base_per_s = sum(stream.rate_per_s for stream in make_mixed_streams(CHAIN, 1.0))
        streams = make_mixed_streams(CHAIN, OFFERED_PER_S / base_per_s, tickets_ahead=4)
        load = run_load(fleet, streams, DURATION_MS, seed=seed, events=events)
        checks = check_integrity(fleet, [load])
    served = sum(outcome.whole for outcome in load.outcomes)
    print(f"{served} of {len(load.outcomes)} served", checks)
    assert not any(checks.values()), checks
    # With few served requests the checks would prove nothing.
    assert served > 200
