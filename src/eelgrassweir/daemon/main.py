"""Entry point of the ``eelgrassweird`` command."""

import argparse
import asyncio
import pathlib
import signal
import sys

from returns.result import Failure

from eelgrassweir.settings.generated import Settings
from eelgrassweir.settings.loader import load_settings

EXIT_SETTINGS = 2


def main(arguments: list[str] | None = None) -> None:
    """Check the settings and run the daemon until SIGTERM or SIGINT."""
    # Its default action would end a daemon that is still loading.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    parser = argparse.ArgumentParser(prog="eelgrassweird")
    parser.add_argument("--settings", type=pathlib.Path, required=True)
    parser.add_argument("--check", action="store_true", help="check and exit")
    options = parser.parse_args(arguments)
    result = load_settings(options.settings)
    if isinstance(result, Failure):
        print(result.failure(), file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if options.check:
        print(f"{options.settings}: valid")
        return
    run(result.unwrap())


def run(settings: Settings) -> None:
    """Run the daemon until it has stopped."""
    # Imported late, so that --check starts quickly.
    from eelgrassweir.daemon.allocator import map_large_buffers
    from eelgrassweir.daemon.app import Application

    map_large_buffers()
    asyncio.run(Application(settings).run())


if __name__ == "__main__":
    main()
