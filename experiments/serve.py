"""Run the demo fleet until interrupted, to try the command line on it.

Started by scripts/fleet.
"""

import pathlib
import signal
import sys
import tempfile

from testing.fleet import Fleet
from testing.shapes import DEMO


def main() -> int:
    """Start the fleet, print its addresses and wait for a signal."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with (
        tempfile.TemporaryDirectory() as scratch,
        Fleet(DEMO, pathlib.Path(scratch)) as fleet,
    ):
        fleet.wait_ready()
        for vm in fleet.vms.values():
            print(f"{vm.name:12} callers {vm.ingress_address:18}", end=" ")
            print(f"--admin {vm.admin_address}")
        print(f"teams: {', '.join(team.name for team in DEMO.teams)}")
        print("ready; stop with Ctrl-C", flush=True)
        try:
            signal.pause()
        except KeyboardInterrupt:
            print("stopping")
    return 0


if __name__ == "__main__":
    sys.exit(main())
