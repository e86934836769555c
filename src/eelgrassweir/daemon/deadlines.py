"""Deadlines of calls, served by one timer of the event loop.

Most calls end long before their deadline. A timer for each would wake up the
event loop once more for each call, to dispose of the cancelled timer.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable

import attrs


@attrs.define(eq=False)
class Deadline:
    """A callback that runs at its time unless it is cancelled before."""

    due_s: float
    callback: Callable[[], None] | None

    def cancel(self) -> None:
        """Do not run the callback."""
        self.callback = None


class Deadlines:
    """Run callbacks at their deadlines."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Deadline]] = []
        self._numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_s = 0.0

    def add(self, delay_ms: float, callback: Callable[[], None]) -> Deadline:
        """Run the callback after ``delay_ms``."""
        due_s = asyncio.get_running_loop().time() + delay_ms / 1e3
        deadline = Deadline(due_s, callback)
        heapq.heappush(self._heap, (due_s, next(self._numbers), deadline))
        if self._timer is None or due_s < self._timer_due_s:
            self._start_timer(due_s)
        return deadline

    def close(self) -> None:
        """Forget all deadlines."""
        self._heap.clear()
        self._stop_timer()

    def _start_timer(self, due_s: float) -> None:
        self._stop_timer()
        self._timer_due_s = due_s
        self._timer = asyncio.get_running_loop().call_at(due_s, self._run_due)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run_due(self) -> None:
        due_s = self._timer_due_s
        self._timer = None
        while self._heap:
            next_due_s, _, deadline = self._heap[0]
            if deadline.callback is not None and next_due_s > due_s:
                self._start_timer(next_due_s)
                return
            heapq.heappop(self._heap)
            if deadline.callback is not None:
                deadline.callback()
