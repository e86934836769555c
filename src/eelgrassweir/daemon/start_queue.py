"""Start of the requests that a daemon has read, in turns of its event loop.

The HTTP servers and the link server of a daemon share one queue.
"""

import asyncio
import collections
from collections.abc import Callable

import attrs

from eelgrassweir.clock import Clock

# Requests that start in one turn. Between two turns everything is read that
# has arrived, so that a daemon that is behind learns of ends in time.
MAX_STARTS_PER_TURN = 16
# Starts of a turn that go to the lower priorities, so that a daemon that is
# behind does not serve the highest one alone.
LOWER_STARTS_PER_TURN = 4
# A daemon is behind after so many turns, and so much time, in which not all
# requests could start. Some long turns, or one burst, do not count.
MIN_TURNS_BEHIND = 16
MIN_BEHIND_MS = 300.0
# While a daemon is behind, a request of a lower priority that has waited
# longer for its start is refused, since it would only end late.
MAX_LOWER_WAIT_MS = 100.0


@attrs.define(eq=False)
class QueuedStart:
    """A request that waits for its start, unless it is cancelled before.

    ``start`` is called with what became of the request in the queue.
    """

    start: Callable[["Wait"], None] | None
    queued_ms: float

    def cancel(self) -> None:
        """Drop the request, since nobody waits for its answer."""
        self.start = None


@attrs.frozen
class Wait:
    """Wait of a request for its start.

    ``is_too_long`` says that the daemon is behind, and that the request should
    be refused unless it has the highest priority.
    """

    waited_ms: float
    is_too_long: bool


class StartQueue:
    """Start requests in the turn after their read, few in each turn.

    ``start`` creates a task, which first runs another turn later. All that has
    arrived by then is read: if it contains the close or the cancel of the
    request, the request is dropped.

    Requests of a higher priority start first, and those of one priority in the
    order of their arrival. While the daemon is behind, a request that has
    waited for ``MAX_LOWER_WAIT_MS`` behind higher priorities is started out of
    turn, so that its handler refuses it in time.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or Clock()
        self._waiting: dict[int, collections.deque[QueuedStart]] = {}
        self._is_scheduled = False
        # Turns in a row that left requests waiting, and the first of them.
        self._turns_behind = 0
        self._behind_since_ms = 0.0

    def add(
        self,
        start: Callable[[Wait], None],
        *,
        priority: int = 0,
        delay_ms: float = 0.0,
    ) -> QueuedStart:
        """Let a request start in one of the next turns after ``delay_ms``."""
        queued = QueuedStart(start, self._clock.now_ms())
        if delay_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_ms / 1e3, self._enqueue, queued, priority)
        else:
            self._enqueue(queued, priority)
        return queued

    def _enqueue(self, queued: QueuedStart, priority: int) -> None:
        queued.queued_ms = self._clock.now_ms()
        self._waiting.setdefault(priority, collections.deque()).append(queued)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def __len__(self) -> int:
        return sum(map(len, self._waiting.values()))

    def _run_turn(self) -> None:
        """Start the next requests; the others follow in later turns."""
        now_ms = self._clock.now_ms()
        if self._is_behind(now_ms):
            self._start_overdue(now_ms)
        for number in range(MAX_STARTS_PER_TURN):
            is_lower = number >= MAX_STARTS_PER_TURN - LOWER_STARTS_PER_TURN
            queued = self._pop(is_lower)
            if queued is None:
                break
            self._start(queued, now_ms)
        self._is_scheduled = bool(self._waiting)
        if not self._is_scheduled:
            self._turns_behind = 0
            return
        if not self._turns_behind:
            self._behind_since_ms = now_ms
        self._turns_behind += 1
        asyncio.get_running_loop().call_soon(self._run_turn)

    def _is_behind(self, now_ms: float) -> bool:
        """Return whether requests have been waiting for several turns."""
        if self._turns_behind < MIN_TURNS_BEHIND:
            return False
        return now_ms - self._behind_since_ms >= MIN_BEHIND_MS

    def _start_overdue(self, now_ms: float) -> None:
        """Start what has waited too long behind higher priorities."""
        for priority in sorted(self._waiting)[:-1]:
            waiting = self._waiting[priority]
            while waiting and now_ms - waiting[0].queued_ms > MAX_LOWER_WAIT_MS:
                self._start(waiting.popleft(), now_ms)
            if not waiting:
                del self._waiting[priority]

    def _start(self, queued: QueuedStart, now_ms: float) -> None:
        """Start a request unless it is cancelled."""
        start, queued.start = queued.start, None
        if start is None:
            return
        waited_ms = now_ms - queued.queued_ms
        is_too_long = waited_ms > MAX_LOWER_WAIT_MS and self._is_behind(now_ms)
        start(Wait(waited_ms, is_too_long))

    def _pop(self, is_lower: bool) -> QueuedStart | None:
        """Remove and return the next request that is not cancelled.

        With ``is_lower`` it is one of the highest but one priority, if any.
        """
        while self._waiting:
            priorities = sorted(self._waiting, reverse=True)
            priority = priorities[1] if is_lower and priorities[1:] else priorities[0]
            waiting = self._waiting[priority]
            queued = waiting.popleft()
            if not waiting:
                del self._waiting[priority]
            if queued.start is not None:
                return queued
        return None
