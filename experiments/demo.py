"""Run the demo fleet under a mix of reads and filings and check the results.

Started by scripts/demo.
"""

import pathlib
import sys
import tempfile

from experiments.harness import (
    LoadResult,
    check_integrity,
    make_mixed_streams,
    run_load,
    summarise,
)
from testing.fleet import Fleet
from testing.shapes import DEMO

SEED = 11
DURATION_MS = 10_000.0
# Slightly above the sum of the teams' rates, so that some are refused.
OFFERED_PER_S = 240.0


def main() -> int:
    """Run the demo; return 0 only if every check passes."""
    with (
        tempfile.TemporaryDirectory() as scratch,
        Fleet(DEMO, pathlib.Path(scratch), seed=SEED) as fleet,
    ):
        print(f"starting {len(fleet.vms)} daemons, seed={SEED}", flush=True)
        fleet.wait_ready()
        base_per_s = sum(stream.rate_per_s for stream in make_mixed_streams(DEMO, 1.0))
        streams = make_mixed_streams(DEMO, OFFERED_PER_S / base_per_s, tickets_ahead=8)
        print(f"load for {DURATION_MS / 1000:.0f} s", flush=True)
        load = run_load(fleet, streams, DURATION_MS, seed=SEED)
        checks = check_integrity(fleet, [load])
    return _report(load, checks)


def _report(load: LoadResult, checks: dict[str, float]) -> int:
    for measure, value in (summarise(DEMO, load) | checks).items():
        print(f"{measure:32} {value:10.2f}")
    filings = sum(outcome.whole and outcome.kind == "file" for outcome in load.outcomes)
    print(f"filings completed: {filings}; run twice: {checks['filings_run_twice']:.0f}")
    served = sum(outcome.whole for outcome in load.outcomes)
    has_passed = served > 0 and filings > 0 and not any(checks.values())
    print("all checks passed" if has_passed else "a check FAILED")
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
