"""Entry point of the daemon on the platform.

A signal that arrives while the modules load would otherwise end the process.
"""

import signal
import sys
from types import FrameType


def run() -> None:
    """Take over signals and streams, then load and run the daemon."""
    # The settings are read later, so a change of them is not missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit)
    from eelgrassweir.mesh.standard_streams import open_closed_streams

    open_closed_streams()
    from eelgrassweir.mesh.main import main

    main()


def _exit(number: int, frame: FrameType | None) -> None:
    """Stop a process that has not accepted anything yet."""
    sys.exit(0)


if __name__ == "__main__":
    run()
