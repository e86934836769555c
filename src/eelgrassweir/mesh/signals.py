"""Handle the signals of the platform on the event loop."""

import asyncio
import signal
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def handle_signals(
    on_stop: Callable[[], object], on_reload: Callable[[], object]
) -> None:
    """Call ``on_stop`` for SIGTERM and SIGINT, ``on_reload`` for SIGHUP."""
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, on_stop)
    loop.add_signal_handler(signal.SIGHUP, on_reload)
