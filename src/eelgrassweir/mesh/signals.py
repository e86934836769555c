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


def ignore_signals() -> None:
    """Ignore further signals.

    The loop would restore their default action when it is closed, which ends
    the process with another status than 0.
    """
    loop = asyncio.get_running_loop()
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
