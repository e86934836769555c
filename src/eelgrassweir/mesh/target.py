"""Admit requests to the local backend server and run them on it."""

import asyncio
import functools
import random
from collections.abc import Callable

import attrs
from eliot import log_message

from eelgrassweir.admission.failures import FailureRate
from eelgrassweir.admission.limit import ConcurrencyLimit, Outcome
from eelgrassweir.admission.run_time import RunTimes
from eelgrassweir.clock import Clock
from eelgrassweir.daemon.gate import Admission, Gate
from eelgrassweir.daemon.http_client import ExchangeError, SendStatus
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.mesh.adapter import PlatformAdapter
from eelgrassweir.mesh.backend import BackendTracker
from eelgrassweir.mesh.call_trees import CallTrees
from eelgrassweir.mesh.cold_target import ColdTarget
from eelgrassweir.mesh.log_output import CanLog, is_failed
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.calls import BackendFields
from eelgrassweir.requests.refusal import Refusal

STEP = "target"
RAN_MESSAGE_TYPE = "target:ran"
FAILED_MESSAGE_TYPE = "target:failed"
CANCELLED_MESSAGE_TYPE = "target:cancelled"
REFUSED_MESSAGE_TYPE = "target:refused"
# Some backend servers slow down when nearly all their slots are in use.
USED_SLOTS_SHARE = 0.95
DRAINING_RETRY_AFTER_MS = 50
# A refusal must reach the entry before the deadline of the request, since
# afterwards the entry cannot know whether the request was queued or has run.
QUEUE_MARGIN_MS = 25.0
NO_BACKEND_RETRY_AFTER_MS = 500
# The bound of a cold backend server has room again after about this time.
PROTECTED_RETRY_AFTER_MS = 1_000


class SlotLimit(ConcurrencyLimit):
    """Limit concurrent calls by the announced slots of the backend server."""

    def __init__(self) -> None:
        super().__init__()
        self._slots = 0

    @property
    def limit_calls(self) -> int:
        """Return the number of calls that may run concurrently."""
        return self._slots

    def set_ceiling(self, slots: int) -> None:
        """Set the limit from the announced number of slots."""
        self._slots = max(1, int(slots * USED_SLOTS_SHARE))

    def record(self, **_sample: object) -> None:
        """Ignore the sample: the slots are an exact limit."""


@attrs.frozen
class TargetResult:
    """Outcome of one request at a target.

    ``reached_backend`` is True if the backend server may have received it.
    """

    result: HttpResponse | Refusal
    reached_backend: bool


class TargetService:
    """Queue, admit and run requests on the local backend server.

    ``failed_calls`` is the share of the calls made by the backend server that
    failed, ``refused_calls`` the share that was refused for lack of capacity.
    ``can_log`` returns whether a log line of a message type would be written.
    ``trees`` measures the demand of call trees; None if it is not enabled.
    With ``reports_speed``, load reports contain run times and stalls.
    ``cold`` bounds what is sent to a cold backend server. ``is_evacuated``
    returns whether no request may reach the backend server.
    """

    def __init__(
        self,
        *,
        vm: str,
        clock: Clock,
        rng: random.Random,
        backend: BackendTracker,
        adapter: PlatformAdapter,
        queue_limit_calls: int,
        failed_calls: FailureRate,
        refused_calls: FailureRate,
        can_log: CanLog,
        trees: CallTrees | None = None,
        reports_speed: bool = False,
        cold: ColdTarget | None = None,
        is_evacuated: Callable[[], bool] = bool,
    ) -> None:
        self._vm = vm
        self._rng = rng
        self._clock = clock
        self._run_times = RunTimes() if reports_speed else None
        self._backend = backend
        self._adapter = adapter
        self._failures = FailureRate()
        self._failed_calls = failed_calls
        self._refused_calls = refused_calls
        self._can_log = can_log
        self._trees = trees
        self._cold = cold
        self._is_evacuated = is_evacuated
        self.gate = Gate(clock, vm, queue_limit_calls, rng, limit=SlotLimit())
        self.is_stopping = False
        self.running_calls = 0

    def load(self, route: str = "") -> link_pb2.Load:
        """Return the load to report to the entry with each reply.

        :param route: route of the request that is answered.
        """
        load = self.gate.load()
        is_leaving = self.is_stopping or self._backend.is_leaving
        load.draining = is_leaving or self._is_evacuated()
        now_ms = self._clock.now_ms()
        load.failing_percent = round(100 * self._failures.rate(now_ms))
        load.refused_calls_percent = round(100 * self._refused_calls.rate(now_ms))
        load.failed_calls_percent = round(100 * self._failed_calls.rate(now_ms))
        if self._trees is not None:
            self._trees.add_to_load(load, route)
        if self._run_times is not None:
            load.service_ms = round(self._run_times.service_ms(now_ms))
            load.stalled_ms = round(self._run_times.stalled_ms(now_ms))
        if self._cold is not None:
            self._cold.limit_load(load)
        return load

    async def handle(
        self, context: link_pb2.CallContext, request: HttpRequest
    ) -> TargetResult:
        """Run a request at most once; return its response or a refusal."""
        started_ms = self._clock.now_ms()
        deadline_ms = started_ms + context.remaining_ms
        refusal = self._check_available(context)
        if refusal is not None:
            return TargetResult(refusal, False)
        self.running_calls += 1
        if self._trees is not None:
            self._trees.record_arrival(context)
        try:
            admission = await self.gate.enter(
                priority=context.priority,
                # The gate orders calls of one priority by their depth. The
                # depth is not used here, so the rank takes its place.
                depth=context.rank,
                remaining_ms=context.remaining_ms - QUEUE_MARGIN_MS,
            )
            if isinstance(admission, Refusal):
                self._record_refusal(admission, by_backend=False)
                return TargetResult(admission, False)
            result = await self._run(context, request, admission, deadline_ms)
            if isinstance(result.result, Refusal) and result.reached_backend:
                self._record_refusal(result.result, by_backend=True)
            self._log_run(context, result, started_ms, admission)
            return result
        finally:
            self.running_calls -= 1

    def _record_refusal(self, refusal: Refusal, *, by_backend: bool) -> None:
        if self._trees is not None:
            self._trees.record_refusal(refusal, by_backend=by_backend)

    def _log_run(
        self,
        context: link_pb2.CallContext,
        result: TargetResult,
        started_ms: float,
        admission: Admission,
    ) -> None:
        response = result.result
        if not isinstance(response, HttpResponse):
            return
        if not self._can_log(RAN_MESSAGE_TYPE, is_failure=is_failed(response.status)):
            return
        log_message(
            message_type=RAN_MESSAGE_TYPE,
            request=context.request_id,
            status=response.status,
            queued_ms=round(admission.queued_ms),
            duration_ms=round(self._clock.now_ms() - started_ms),
            remaining_ms=context.remaining_ms,
            running_calls=self.running_calls,
        )

    async def _run(
        self,
        context: link_pb2.CallContext,
        request: HttpRequest,
        admission: Admission,
        deadline_ms: float,
    ) -> TargetResult:
        outcome = Outcome.CANCELLED
        if self._trees is not None:
            self._trees.record_start(context)
        if self._run_times is not None:
            self._run_times.record_start(admission.started_ms)
        try:
            result = await self._exchange(context, request, deadline_ms)
            self._record_run_time(result, admission)
            is_ok = isinstance(result.result, HttpResponse)
            outcome = Outcome.OK if is_ok else Outcome.FAILED
            return result
        except asyncio.CancelledError:
            self._log_cancelled(context, admission)
            raise
        finally:
            if self._run_times is not None:
                self._run_times.record_end()
            self.gate.leave(admission, outcome)
            if self._trees is not None:
                run_ms = self._clock.now_ms() - admission.started_ms
                self._trees.record_end(context, run_ms, admission.queued_ms)

    def _record_run_time(self, result: TargetResult, admission: Admission) -> None:
        response = result.result
        if self._run_times is None or not isinstance(response, HttpResponse):
            return
        now_ms = self._clock.now_ms()
        self._run_times.record_answer(
            now_ms - admission.started_ms, now_ms, is_failed=is_failed(response.status)
        )

    def _log_cancelled(
        self, context: link_pb2.CallContext, admission: Admission
    ) -> None:
        """Log that the connection of a running request is closed."""
        if not self._can_log(CANCELLED_MESSAGE_TYPE):
            return
        log_message(
            message_type=CANCELLED_MESSAGE_TYPE,
            request=context.request_id,
            queued_ms=round(admission.queued_ms),
            running_ms=round(self._clock.now_ms() - admission.started_ms),
        )

    async def _exchange(
        self,
        context: link_pb2.CallContext,
        request: HttpRequest,
        deadline_ms: float,
    ) -> TargetResult:
        backend = self._backend
        client, announcement = backend.client, backend.announcement
        remaining_ms = deadline_ms - self._clock.now_ms()
        if client is None or announcement is None or not backend.can_send():
            return TargetResult(
                self._make_refusal("draining", "left while queued"),
                False,
            )
        if remaining_ms < 1.0:
            reason = "no time left after the queue"
            return TargetResult(self._make_refusal("deadline_exceeded", reason), False)
        refusal = self._check_sendable(context, is_sent=True)
        if refusal is not None:
            return TargetResult(refusal, False)
        fields = BackendFields(
            request_id=context.request_id,
            remaining_ms=int(remaining_ms),
            team=context.team,
            caller_service=context.caller_service,
            expected_instance=announcement.instance,
        )
        headers = self._adapter.make_backend_headers(request.headers, fields)
        outbound = HttpRequest(request.method, request.path, headers, request.body)
        try:
            response = await client.exchange(
                outbound,
                timeout_ms=remaining_ms,
                can_send=functools.partial(self._can_send, self._clock.now_ms()),
            )
        except ExchangeError as error:
            if not error.is_timeout or error.sent is SendStatus.NOT_SENT:
                # A timeout after sending does not count as a failure: the
                # calls that the request makes may have used up the time.
                self._failures.record(failed=True, now_ms=self._clock.now_ms())
            return self._translate_error(context, error)
        finally:
            if self._cold is not None:
                self._cold.release()
        result = self._check_response(context, response)
        is_refusal = isinstance(result.result, Refusal)
        self._failures.record(failed=is_refusal, now_ms=self._clock.now_ms())
        return result

    def _check_response(
        self, context: link_pb2.CallContext, response: HttpResponse
    ) -> TargetResult:
        if self._adapter.is_not_run(response):
            refusal = self._make_refusal(
                "overloaded",
                f"the backend server refused with {response.status}",
            )
            return TargetResult(refusal, True)
        if not self._adapter.is_genuine(response):
            reason = f"answer with status {response.status} is not genuine"
            log_message(
                message_type="target:spoiled", request=context.request_id, reason=reason
            )
            return TargetResult(self._make_unknown_outcome(reason), True)
        return TargetResult(response, True)

    def _translate_error(
        self, context: link_pb2.CallContext, error: ExchangeError
    ) -> TargetResult:
        if self._can_log(FAILED_MESSAGE_TYPE):
            log_message(
                message_type=FAILED_MESSAGE_TYPE,
                request=context.request_id,
                reason=str(error),
                sent=error.sent.value,
            )
        if error.sent is SendStatus.NOT_SENT:
            return TargetResult(self._make_refusal("no_target", error.reason), False)
        if error.is_timeout:
            refusal = self._make_unknown_outcome(error.reason, "deadline_exceeded")
            return TargetResult(refusal, True)
        return TargetResult(self._make_unknown_outcome(error.reason), True)

    def _check_available(self, context: link_pb2.CallContext) -> Refusal | None:
        announcement = self._backend.announcement
        if announcement is None or not self._backend.is_present():
            return self._make_refusal("no_target", "no backend server is announced")
        if context.service != announcement.service:
            reason = f"the backend server here is of {announcement.service}"
            return self._make_refusal("no_target", reason)
        if self.is_stopping or not self._backend.accepts_new_requests():
            return self._make_refusal("draining", "this VM is leaving")
        return self._check_sendable(context)

    def _check_sendable(
        self, context: link_pb2.CallContext, *, is_sent: bool = False
    ) -> Refusal | None:
        """Return the refusal of an evacuated domain or a cold target.

        With ``is_sent``, a request that is not refused counts as sent now.
        """
        if self._is_evacuated():
            reason = "the failure domain is evacuated"
            code = "domain_evacuated"
        elif self._cold is not None and not self._has_cold_room(self._cold, is_sent):
            reason = "the backend server is cold"
            code = "target_cold"
        else:
            return None
        self._log_refusal(context, code)
        retry_ms = round(self._rng.uniform(0.5, 1.5) * PROTECTED_RETRY_AFTER_MS)
        refusal = self._make_refusal(code, reason)
        return attrs.evolve(refusal, retry_after_ms=retry_ms)

    def _has_cold_room(self, cold: ColdTarget, is_sent: bool) -> bool:
        return cold.take() if is_sent else cold.has_room()

    def _log_refusal(self, context: link_pb2.CallContext, code: str) -> None:
        if not self._can_log(REFUSED_MESSAGE_TYPE):
            return
        log_message(
            message_type=REFUSED_MESSAGE_TYPE,
            request=context.request_id,
            code=code,
            cold=self._cold.state() if self._cold else None,
        )

    def _can_send(self, counted_ms: float) -> bool:
        """Return whether a request counted before may be sent now."""
        if not self._backend.can_send() or self._is_evacuated():
            return False
        return self._cold is None or self._cold.count_late(counted_ms)

    def _make_unknown_outcome(
        self, reason: str, code: str = "outcome_unknown"
    ) -> Refusal:
        return Refusal(
            code=code, not_run=False, reason=reason, step=STEP, peer=self._vm
        )

    def _make_refusal(self, code: str, reason: str) -> Refusal:
        retry_ms = (
            DRAINING_RETRY_AFTER_MS if code == "draining" else NO_BACKEND_RETRY_AFTER_MS
        )
        return Refusal(
            code=code,
            not_run=True,
            reason=reason,
            step=STEP,
            peer=self._vm,
            retry_after_ms=retry_ms,
        )
