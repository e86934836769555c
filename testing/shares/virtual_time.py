"""Event loop whose time skips to the next timer, for tests of long waits."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from eelgrassweir.clock import Clock

T = TypeVar("T")


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting for them."""

    def __init__(self) -> None:
        super().__init__()
        self._virtual_s = 0.0
        selector: Any = self._selector  # type: ignore[attr-defined]
        select = selector.select

        def jump(timeout_s: float | None) -> Any:
            self._virtual_s += timeout_s or 0.0
            return select(0)

        selector.select = jump

    def time(self) -> float:
        """Return the virtual time in s."""
        return self._virtual_s


class LoopClock(Clock):
    """Read the virtual time of the running loop."""

    def now_ms(self) -> float:
        """Return the virtual time in ms."""
        return asyncio.get_running_loop().time() * 1000.0


async def run_inline(call: Callable[..., T], *args: Any, **kwargs: Any) -> T:
    """Call on the event loop instead of a thread.

    Virtual time does not wait for threads.
    """
    await asyncio.sleep(0.002)
    return call(*args, **kwargs)


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
