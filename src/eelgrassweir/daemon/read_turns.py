"""Limit the reads of connections whose bytes are dropped.

A client that sends on after a refusal could otherwise take all turns of the
event loop. Its bytes are still read, since unread ones would reset the
connection and the refusal would be lost.
"""

import asyncio
from collections.abc import Callable

# Interval between two reads of all such connections of a listener. A read has
# up to 256 KiB.
READ_INTERVAL_S = 0.005


class ReadTurns:
    """Resume the reading of connections one after the other."""

    def __init__(self) -> None:
        self._waiting: dict[Callable[[], None], None] = {}
        self._is_scheduled = False

    def add(self, resume: Callable[[], None]) -> None:
        """Call ``resume`` when it is the turn of the connection."""
        self._waiting[resume] = None
        self._schedule()

    def discard(self, resume: Callable[[], None]) -> None:
        """Forget a connection that has ended."""
        self._waiting.pop(resume, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_later(READ_INTERVAL_S, self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        if self._waiting:
            resume = next(iter(self._waiting))
            self.discard(resume)
            resume()
        self._schedule()
