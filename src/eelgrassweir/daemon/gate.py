"""Admission of calls to the local backend server."""

import asyncio
import random

import attrs

from eelgrassweir.admission.limit import ConcurrencyLimit, Outcome
from eelgrassweir.admission.queue import CallQueue, QueuedCall
from eelgrassweir.clock import Clock
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.refusal import Refusal

STEP = "admission"
PRIORITIES = 3
CRITICAL = 2
_ABOVE = (link_pb2.NORMAL, link_pb2.CRITICAL)
# Span over which admitted and shed calls of a priority are compared.
SPAN_MS = 250.0
# A priority counts as accepted while one in five of its calls gets in. At one
# in two, entries refused calls that would have got in, and goodput fell; with
# any at all, work above an overloaded deep service was wasted.
ACCEPTED_RATIO = 4
SHORTEST_RETRY_MS = 20.0
LONGEST_RETRY_MS = 2_000.0


@attrs.define(kw_only=True, eq=False)
class Admission:
    """Permission to run one call on the backend server."""

    priority: int
    started_ms: float
    waited_ms: float
    has_ended: bool = False
    child_calls: int = 0
    child_started_ms: float = 0.0
    child_ms: float = 0.0


@attrs.define
class _Tally:
    """Calls of one priority let in and shed in this and the last span."""

    start_ms: float = 0.0
    admitted: int = 0
    shed: int = 0
    last_admitted: int = 0
    last_shed: int = 0

    def roll(self, now_ms: float) -> None:
        age_ms = now_ms - self.start_ms
        if age_ms < SPAN_MS:
            return
        is_next = age_ms < 2 * SPAN_MS
        self.last_admitted = self.admitted if is_next else 0
        self.last_shed = self.shed if is_next else 0
        self.start_ms, self.admitted, self.shed = now_ms, 0, 0

    def gets_in(self) -> bool:
        admitted = self.admitted + self.last_admitted
        return admitted * ACCEPTED_RATIO >= self.shed + self.last_shed


class Gate:
    """Queue calls and let them in as the adaptive limit allows."""

    def __init__(
        self,
        clock: Clock,
        vm: str,
        queue_limit_calls: int,
        random: random.Random,
        limit: ConcurrencyLimit | None = None,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._random = random
        self._limit = limit or ConcurrencyLimit()
        self._queue = CallQueue(queue_limit_calls)
        self._in_flight_calls = 0
        self._tallies = [_Tally() for _ in range(PRIORITIES)]

    async def enter(
        self, *, priority: int, depth: int, remaining_ms: float
    ) -> Admission | Refusal:
        """Wait for a turn; a refused call was not run."""
        now_ms = self._clock.now_ms()
        # Without a queue nobody else gains from a refusal, and the service
        # time is a guess: only a deadline that has passed counts.
        if remaining_ms > 0 and not len(self._queue) and self._has_room():
            return self._admit(priority, now_ms, now_ms)
        future: asyncio.Future[Admission | Refusal]
        future = asyncio.get_running_loop().create_future()
        call = QueuedCall(
            priority=priority,
            depth=depth,
            deadline_ms=now_ms + remaining_ms,
            arrived_ms=now_ms,
            token=future,
        )
        self._refuse(self._queue.push(call, now_ms), now_ms)
        self._dispatch(now_ms)
        if future.done():
            return future.result()
        wait_ms = max(0.0, remaining_ms - self._queue.service_ms(now_ms))
        timer = asyncio.get_running_loop().call_later(
            wait_ms / 1000.0, self._expire, call
        )
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(call, future)
            raise
        finally:
            timer.cancel()

    def leave(self, admission: Admission, outcome: Outcome) -> None:
        """End a call that was let in; a second time has no effect."""
        if admission.has_ended:
            return
        admission.has_ended = True
        now_ms = self._clock.now_ms()
        is_in_child = admission.child_calls > 0
        self._end_child_time(admission, now_ms)
        total_ms = now_ms - admission.started_ms
        if outcome is Outcome.OK:
            self._queue.record_service(total_ms, now_ms)
        # A call that timed out in a child call is the child's timeout.
        is_own = not (is_in_child and outcome is Outcome.TIMEOUT)
        self._limit.record(
            latency_ms=total_ms - admission.child_ms,
            outcome=outcome if is_own else Outcome.FAILED,
            in_flight_calls=self._in_flight_calls,
            now_ms=now_ms,
        )
        self._in_flight_calls -= 1
        self._dispatch(now_ms)

    def pause_latency(self, admission: Admission) -> None:
        """Stop the latency of a call while it waits for a child call."""
        if admission.child_calls == 0:
            admission.child_started_ms = self._clock.now_ms()
        admission.child_calls += 1

    def resume_latency(self, admission: Admission) -> None:
        """Resume the latency of a call when its last child call ended."""
        if admission.child_calls == 0:
            return
        admission.child_calls -= 1
        if admission.child_calls == 0:
            admission.child_ms += self._clock.now_ms() - admission.child_started_ms

    def load(self) -> link_pb2.Load:
        """Return the load for a response to another daemon."""
        now_ms = self._clock.now_ms()
        return link_pb2.Load(
            in_flight=self._in_flight_calls,
            limit=self._limit.limit_calls,
            queued=len(self._queue),
            queue_wait_ms=int(self._queue.wait_ms(now_ms)),
            accepts_from=self._accepts_from(now_ms),
        )

    def set_slots(self, slots: int) -> None:
        """Bound the limit by the announced slots; 0 means not announced."""
        self._limit.set_ceiling(slots)
        self._dispatch(self._clock.now_ms())

    def state(self) -> dict[str, float | int | bool | None]:
        """Return the state for the dump."""
        now_ms = self._clock.now_ms()
        return {
            "in_flight_calls": self._in_flight_calls,
            "limit_calls": self._limit.limit_calls,
            "baseline_ms": self._limit.baseline_ms,
            "queued_calls": len(self._queue),
            "queue_wait_ms": self._queue.wait_ms(now_ms),
            "is_overloaded": self._queue.is_overloaded(now_ms),
            "service_ms": self._queue.service_ms(now_ms),
            "accepts_from": self._accepts_from(now_ms),
        }

    def _dispatch(self, now_ms: float) -> None:
        while self._has_room() and len(self._queue):
            call, dropped = self._queue.pop(now_ms)
            self._refuse(dropped, now_ms)
            # A cancelled waiter is still queued until its task has run.
            if call is not None and not _future(call).done():
                admission = self._admit(call.priority, call.arrived_ms, now_ms)
                _future(call).set_result(admission)

    def _has_room(self) -> bool:
        return self._in_flight_calls < self._limit.limit_calls

    def _admit(self, priority: int, arrived_ms: float, now_ms: float) -> Admission:
        self._in_flight_calls += 1
        self._tally(priority, now_ms).admitted += 1
        return Admission(
            priority=priority, started_ms=now_ms, waited_ms=now_ms - arrived_ms
        )

    def _expire(self, call: QueuedCall) -> None:
        if self._queue.remove(call):
            self._refuse([call], self._clock.now_ms(), is_expired=True)

    def _withdraw(
        self, call: QueuedCall, future: "asyncio.Future[Admission | Refusal]"
    ) -> None:
        if self._queue.remove(call) or future.cancelled() or not future.done():
            return
        result = future.result()
        if isinstance(result, Admission):
            self._release_unused(result)

    def _release_unused(self, admission: Admission) -> None:
        admission.has_ended = True
        self._in_flight_calls -= 1
        self._dispatch(self._clock.now_ms())

    def _refuse(
        self, calls: list[QueuedCall], now_ms: float, *, is_expired: bool = False
    ) -> None:
        for call in calls:
            if _future(call).done():
                continue
            self._tally(call.priority, now_ms).shed += 1
            is_late = is_expired or self._queue.is_infeasible(call, now_ms)
            _future(call).set_result(self._refusal(is_late, now_ms))

    def _refusal(self, is_late: bool, now_ms: float) -> Refusal:
        queue_ms = self._queue.service_ms(now_ms) * len(self._queue)
        wait_ms = queue_ms / self._limit.limit_calls
        # Spread out, so that callers do not come back all at once.
        wait_ms = self._random.uniform(0.5, 1.5) * max(SHORTEST_RETRY_MS, wait_ms)
        return Refusal(
            code="deadline_exceeded" if is_late else "overloaded",
            not_run=True,
            reason="deadline cannot be met" if is_late else "queue is too long",
            step=STEP,
            peer=self._vm,
            retry_after_ms=int(min(LONGEST_RETRY_MS, wait_ms)),
        )

    def _end_child_time(self, admission: Admission, now_ms: float) -> None:
        if admission.child_calls:
            admission.child_calls = 0
            admission.child_ms += now_ms - admission.child_started_ms

    def _tally(self, priority: int, now_ms: float) -> _Tally:
        tally = self._tallies[min(max(priority, 0), CRITICAL)]
        tally.roll(now_ms)
        return tally

    def _accepts_from(self, now_ms: float) -> link_pb2.Priority.ValueType:
        for priority in reversed(range(CRITICAL)):
            if not self._tally(priority, now_ms).gets_in():
                return _ABOVE[priority]
        return link_pb2.BACKGROUND


def _future(call: QueuedCall) -> "asyncio.Future[Admission | Refusal]":
    assert isinstance(call.token, asyncio.Future)
    return call.token
