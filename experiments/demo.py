"""Run the demo fleet under a mix of reads and filings and check it."""

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
# Somewhat more than the teams' rates, so that refusals show.
OFFERED_PER_S = 240.0


def main() -> int:
    """Run the demo; return 0 only if every check holds."""
    with (
        tempfile.TemporaryDirectory() as scratch,
        Fleet(DEMO, pathlib.Path(scratch), seed=SEED) as fleet,
    ):
        print(f"starting {len(fleet.vms)} daemons, seed={SEED}", flush=True)
        fleet.wait_ready()
        base_per_s = sum(stream.rate_per_s for stream in make_mixed_streams(DEMO, 1.0))
        work = make_mixed_streams(DEMO, OFFERED_PER_S / base_per_s, tickets_ahead=8)
        print(f"load for {DURATION_MS / 1000:.0f} s", flush=True)
        load = run_load(fleet, work, DURATION_MS, seed=SEED)
        checks = check_integrity(fleet, [load])
    return _report(load, checks)


def _report(load: LoadResult, checks: dict[str, float]) -> int:
    for measure, value in (summarise(DEMO, load) | checks).items():
        print(f"{measure:32} {value:10.2f}")
    filings = sum(one.whole and one.kind == "file" for one in load.outcomes)
    print(f"filings completed: {filings}; run twice: {checks['filings_run_twice']:.0f}")
    served = sum(one.whole for one in load.outcomes)
    holds = served > 0 and filings > 0 and not any(checks.values())
    print("every check holds" if holds else "a check FAILED")
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
