"""Admission of calls to the local backend server.

The target service asks the gate before each run. The gate combines the
adaptive concurrency limit and the call queue of the admission package.
"""

import asyncio
import random

import attrs

from eelgrassweir.admission.limit import ConcurrencyLimit, Outcome
from eelgrassweir.admission.queue import CallQueue, QueuedCall
from eelgrassweir.clock import Clock
from eelgrassweir.daemon.deadlines import Deadlines
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.refusal import Refusal

STEP = "admission"
PRIORITY_COUNT = 3
CRITICAL = 2
_NEXT_PRIORITY = (link_pb2.NORMAL, link_pb2.CRITICAL)
# Window over which admitted and shed calls of a priority are counted.
COUNT_WINDOW_MS = 250.0
# A priority counts as accepted while at least one in five of its calls is
# admitted. With one in two, entries refused calls that the gate would have
# admitted, and goodput fell. With any admitted call at all, services above an
# overloaded deep service wasted their work.
MAX_SHED_PER_ADMITTED = 4
MIN_RETRY_AFTER_MS = 20.0
MAX_RETRY_AFTER_MS = 2_000.0


@attrs.define(kw_only=True, eq=False)
class Admission:
    """Permission to run one call on the backend server.

    The time of child calls is excluded from the latency of the call.
    """

    priority: int
    started_ms: float
    queued_ms: float
    has_ended: bool = False
    child_calls: int = 0
    child_started_ms: float = 0.0
    child_ms: float = 0.0


@attrs.define
class _AdmissionCounts:
    """Calls of one priority admitted and shed in this and the last window."""

    start_ms: float = 0.0
    admitted: int = 0
    shed: int = 0
    previous_admitted: int = 0
    previous_shed: int = 0

    def rotate(self, now_ms: float) -> None:
        age_ms = now_ms - self.start_ms
        if age_ms < COUNT_WINDOW_MS:
            return
        is_previous = age_ms < 2 * COUNT_WINDOW_MS
        self.previous_admitted = self.admitted if is_previous else 0
        self.previous_shed = self.shed if is_previous else 0
        self.start_ms, self.admitted, self.shed = now_ms, 0, 0

    def is_accepted(self) -> bool:
        admitted = self.admitted + self.previous_admitted
        return admitted * MAX_SHED_PER_ADMITTED >= self.shed + self.previous_shed


class Gate:
    """Queue calls and admit them within the adaptive concurrency limit."""

    def __init__(
        self,
        clock: Clock,
        vm: str,
        queue_limit_calls: int,
        rng: random.Random,
        limit: ConcurrencyLimit | None = None,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._rng = rng
        self._limit = limit or ConcurrencyLimit()
        self._queue = CallQueue(queue_limit_calls)
        self._deadlines = Deadlines()
        self._in_flight_calls = 0
        self._admission_counts = [_AdmissionCounts() for _ in range(PRIORITY_COUNT)]

    async def enter(
        self, *, priority: int, depth: int, remaining_ms: float
    ) -> Admission | Refusal:
        """Wait for admission; a refused call was not run.

        :param depth: 0 for a root request, one more for each child call.
        :param remaining_ms: time until the deadline of the call.
        """
        now_ms = self._clock.now_ms()
        # With an empty queue a refusal benefits no other call, and the service
        # time is an estimate, so only a deadline that has passed counts.
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
        self._refuse_calls(self._queue.push(call, now_ms), now_ms)
        self._admit_waiting(now_ms)
        if future.done():
            return future.result()
        wait_ms = max(0.0, remaining_ms - self._queue.service_ms(now_ms))
        deadline = self._deadlines.add(wait_ms, lambda: self._refuse_expired(call))
        try:
            return await future
        except asyncio.CancelledError:
            self._cancel_waiter(call, future)
            raise
        finally:
            deadline.cancel()

    def leave(self, admission: Admission, outcome: Outcome) -> None:
        """End an admitted call; repeated calls have no effect."""
        if admission.has_ended:
            return
        admission.has_ended = True
        now_ms = self._clock.now_ms()
        is_in_child = admission.child_calls > 0
        self._finish_child_time(admission, now_ms)
        total_ms = now_ms - admission.started_ms
        if outcome is Outcome.OK:
            self._queue.record_service(total_ms, now_ms)
        # A timeout during a child call is the child's timeout.
        is_own_outcome = not (is_in_child and outcome is Outcome.TIMEOUT)
        self._limit.record(
            latency_ms=total_ms - admission.child_ms,
            outcome=outcome if is_own_outcome else Outcome.FAILED,
            in_flight_calls=self._in_flight_calls,
            now_ms=now_ms,
        )
        self._in_flight_calls -= 1
        self._admit_waiting(now_ms)

    def pause_latency(self, admission: Admission) -> None:
        """Exclude the time from now on from the latency, for a child call."""
        if admission.child_calls == 0:
            admission.child_started_ms = self._clock.now_ms()
        admission.child_calls += 1

    def resume_latency(self, admission: Admission) -> None:
        """Measure the latency again when the last child call has ended."""
        if admission.child_calls == 0:
            return
        admission.child_calls -= 1
        if admission.child_calls == 0:
            admission.child_ms += self._clock.now_ms() - admission.child_started_ms

    def load(self) -> link_pb2.Load:
        """Return the load message for a response to another daemon."""
        now_ms = self._clock.now_ms()
        return link_pb2.Load(
            in_flight=self._in_flight_calls,
            limit=self._limit.limit_calls,
            queued=len(self._queue),
            queue_wait_ms=int(self._queue.wait_ms(now_ms)),
            accepts_from=self._accepts_from(now_ms),
        )

    def set_slots(self, slots: int) -> None:
        """Bound the limit by the announced slots; 0 means none announced."""
        self._limit.set_ceiling(slots)
        self._admit_waiting(self._clock.now_ms())

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

    def _admit_waiting(self, now_ms: float) -> None:
        while self._has_room() and len(self._queue):
            call, dropped = self._queue.pop(now_ms)
            self._refuse_calls(dropped, now_ms)
            # A cancelled waiter stays queued until its task runs.
            if call is not None and not _future(call).done():
                admission = self._admit(call.priority, call.arrived_ms, now_ms)
                _future(call).set_result(admission)

    def _has_room(self) -> bool:
        return self._in_flight_calls < self._limit.limit_calls

    def _admit(self, priority: int, arrived_ms: float, now_ms: float) -> Admission:
        self._in_flight_calls += 1
        self._get_counts(priority, now_ms).admitted += 1
        return Admission(
            priority=priority, started_ms=now_ms, queued_ms=now_ms - arrived_ms
        )

    def _refuse_expired(self, call: QueuedCall) -> None:
        if self._queue.remove(call):
            self._refuse_calls([call], self._clock.now_ms(), is_expired=True)

    def _cancel_waiter(
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
        self._admit_waiting(self._clock.now_ms())

    def _refuse_calls(
        self, calls: list[QueuedCall], now_ms: float, *, is_expired: bool = False
    ) -> None:
        for call in calls:
            if _future(call).done():
                continue
            self._get_counts(call.priority, now_ms).shed += 1
            is_late = is_expired or self._queue.is_infeasible(call, now_ms)
            _future(call).set_result(self._make_refusal(is_late, now_ms))

    def _make_refusal(self, is_late: bool, now_ms: float) -> Refusal:
        queue_ms = self._queue.service_ms(now_ms) * len(self._queue)
        wait_ms = queue_ms / self._limit.limit_calls
        # Jitter, so that callers do not retry all at once.
        wait_ms = self._rng.uniform(0.5, 1.5) * max(MIN_RETRY_AFTER_MS, wait_ms)
        return Refusal(
            code="deadline_exceeded" if is_late else "overloaded",
            not_run=True,
            reason="deadline cannot be met" if is_late else "queue is too long",
            step=STEP,
            peer=self._vm,
            retry_after_ms=int(min(MAX_RETRY_AFTER_MS, wait_ms)),
        )

    def _finish_child_time(self, admission: Admission, now_ms: float) -> None:
        if admission.child_calls:
            admission.child_calls = 0
            admission.child_ms += now_ms - admission.child_started_ms

    def _get_counts(self, priority: int, now_ms: float) -> _AdmissionCounts:
        counts = self._admission_counts[min(max(priority, 0), CRITICAL)]
        counts.rotate(now_ms)
        return counts

    def _accepts_from(self, now_ms: float) -> link_pb2.Priority.ValueType:
        for priority in reversed(range(CRITICAL)):
            if not self._get_counts(priority, now_ms).is_accepted():
                return _NEXT_PRIORITY[priority]
        return link_pb2.BACKGROUND


def _future(call: QueuedCall) -> "asyncio.Future[Admission | Refusal]":
    assert isinstance(call.token, asyncio.Future)
    return call.token
