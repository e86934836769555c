"""Event loop on a virtual clock, for simulations that repeat exactly."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from eelgrassweir.clock import Clock


class _VirtualSelector(selectors.SelectSelector):
    """Advance the virtual time instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return at once; without a timer nothing would ever happen again."""
        if timeout is None:
            raise RuntimeError("all tasks wait for something that never happens")
        self.now_s += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while all its tasks wait."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in s."""
        return self._virtual_selector.now_s


class VirtualClock(Clock):
    """Clock of the running virtual loop."""

    def now_ms(self) -> float:
        """Return the virtual time in ms."""
        return asyncio.get_running_loop().time() * 1e3

    def wall_ms(self) -> int:
        """Return the virtual time in ms."""
        return int(self.now_ms())


def run_virtual(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end on a virtual clock."""
    loop = VirtualTimeLoop()
    try:
        task = loop.create_task(main)
        loop.run_until_complete(task)
    finally:
        for pending in asyncio.all_tasks(loop):
            pending.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
