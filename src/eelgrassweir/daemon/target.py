"""Target side of the request path: runs calls on the local backend server.

``RequestPath`` assembles the service; links and the local dispatcher call it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs

from eelgrassweir.admission.limit import Outcome
from eelgrassweir.clock import Clock
from eelgrassweir.daemon.backend import LocalBackend
from eelgrassweir.daemon.gate import Admission, Gate
from eelgrassweir.daemon.http_client import ExchangeError, SendStatus
from eelgrassweir.daemon.http_message import Body, HttpRequest, HttpResponse
from eelgrassweir.daemon.metrics import Metrics
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.context import ContextTable, ParentContext
from eelgrassweir.requests.record import Answer, Record, RecordState, RecordTable
from eelgrassweir.requests.refusal import Refusal, is_backend_unavailable
from eelgrassweir.requests.ticket import Ticket, parse_ticket
from eelgrassweir.retries.budget import RetryBudget, RetryRatio

PRIORITY_NAMES = ("background", "normal", "critical")
# Lower bound of the timeout of an exchange.
MIN_ATTEMPT_TIMEOUT_MS = 20
# An idempotent request may be repeated, so a pooled connection that receives
# nothing for this fraction of the remaining time is abandoned before the
# caller's deadline. The rest is enough for a second exchange.
SILENCE_FRACTION = 0.5
# Key under which the second exchanges of all routes share one retry ratio.
LOCAL_BACKEND_KEY = "local backend server"


Delegate = Callable[[link_pb2.CallContext, HttpRequest], Awaitable["TargetReply"]]


class DrainStatus(Protocol):
    """Drain state of the daemon, as far as targets need it."""

    def refuses_new_work(self) -> bool:
        """Return whether new root requests are refused."""


@attrs.frozen
class TargetReply:
    """Outcome of one call at the target daemon.

    ``retry_budget_left`` counts the unused attempts that return to the
    caller. ``accepts_from`` is the lowest priority that the services called
    during this call accept.
    """

    result: HttpResponse | Refusal
    retry_budget_left: int
    accepts_from: int


@attrs.define
class ChildActivity:
    """Track child calls as evidence that the backend server is working.

    The gate excludes the time of child calls from the latency of the call.
    """

    admission: Admission
    gate: Gate
    running_calls: int = 0
    has_changed: bool = False

    def record_start(self) -> None:
        """Record the start of a child call."""
        self.running_calls += 1
        self.has_changed = True
        self.gate.pause_latency(self.admission)

    def record_end(self) -> None:
        """Record the end of a child call."""
        self.running_calls -= 1
        self.has_changed = True
        self.gate.resume_latency(self.admission)

    def has_recent_activity(self) -> bool:
        """Return whether a child call ran since the last check."""
        is_active = self.has_changed or self.running_calls > 0
        self.has_changed = False
        return is_active


class TargetService:
    """Queue, limit and run calls on the local backend server."""

    def __init__(
        self,
        *,
        vm: str,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
        backend: LocalBackend,
        gate: Gate,
        records: RecordTable,
        contexts: ContextTable,
        drain: DrainStatus,
        metrics: Metrics,
        retry_ratio: RetryRatio,
    ) -> None:
        self._retry_ratio = retry_ratio
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._backend = backend
        self._gate = gate
        self._records = records
        self._contexts = contexts
        self._drain = drain
        self._metrics = metrics
        self._delegate: Delegate | None = None
        # Ticketed runs in progress; copies of a request wait for them.
        self._runs: dict[tuple[str, str], asyncio.Task[TargetReply]] = {}

    def set_delegate(self, delegate: "Delegate") -> None:
        """Set the function that runs a ticketed call on another target.

        It is called when this VM can no longer take the call.
        """
        self._delegate = delegate

    @property
    def run_count(self) -> int:
        """Return the number of non-idempotent requests in progress."""
        return len(self._runs)

    async def handle_link_request(
        self, request: link_pb2.Request, peer: str, body: Body
    ) -> link_pb2.Response | link_pb2.Refusal:
        """Run a call received over a link and return the encoded reply."""
        call = HttpRequest(
            request.method,
            request.path,
            tuple((header.name, header.value) for header in request.headers),
            body,
            peer,
        )
        reply = await self.handle(request.context, call, void_only=request.void_only)
        return encode_reply(reply, self.load(reply.accepts_from))

    async def handle(
        self, context: link_pb2.CallContext, request: HttpRequest, *, void_only: bool
    ) -> TargetReply:
        """Run a call and return its outcome.

        With ``void_only``, a non-idempotent call is recorded as never run.
        """
        if context.idempotent:
            return await self._admit_and_run(context, request)
        return await self._handle_ticketed(context, request, void_only=void_only)

    def load(self, accepts_from: int) -> link_pb2.Load:
        """Return the load, including the backpressure of called services.

        :param accepts_from: lowest priority that those services accept.
        """
        load = self._gate.load()
        load.accepts_from = link_pb2.Priority.ValueType(
            max(load.accepts_from, accepts_from)
        )
        load.draining = self._drain.refuses_new_work()
        return load

    # Non-idempotent requests

    async def _handle_ticketed(
        self, context: link_pb2.CallContext, request: HttpRequest, *, void_only: bool
    ) -> TargetReply:
        ticket = parse_ticket(context.ticket)
        if ticket is None or (ticket.vm, ticket.incarnation) != (
            self._vm,
            self._incarnation,
        ):
            reason = "the ticket names another incarnation of its home"
            return self._make_refused_reply(
                context, "outcome_unknown", reason, not_run=False
            )
        record = self._records.find(context.team, ticket)
        if record is not None:
            self._metrics.record_copies.inc()
            return await self._answer_copy(context, record)
        now_ms = self._clock.now_ms()
        if not self._records.is_valid(ticket, now_ms):
            reason = "the ticket is no longer valid and no record of it is kept"
            return self._make_refused_reply(
                context, "ticket_expired", reason, not_run=False
            )
        if not self._records.has_room():
            # Without a record, a delayed copy could still run.
            reason = "the table of records is full"
            return self._make_refused_reply(
                context, "outcome_unknown", reason, not_run=False
            )
        refusal = self._check_void_only(context, void_only)
        if refusal is not None:
            self._records.void(context.team, ticket, refusal, now_ms)
            return TargetReply(refusal, context.retry_budget, 0)
        return await self._run_ticketed(context, request, ticket)

    def _check_void_only(
        self, context: link_pb2.CallContext, void_only: bool
    ) -> Refusal | None:
        if void_only:
            return self._make_refusal("overloaded", "refused by the entry daemon")
        return None

    async def _run_ticketed(
        self, context: link_pb2.CallContext, request: HttpRequest, ticket: Ticket
    ) -> TargetReply:
        record = self._records.begin(context.team, ticket, self._clock.now_ms())
        run = asyncio.create_task(self._run_recorded(context, request, record))
        self._runs[record.key] = run
        run.add_done_callback(lambda _: self._runs.pop(record.key, None))
        # The run continues if its link or its caller is lost.
        return await asyncio.shield(run)

    async def _run_recorded(
        self, context: link_pb2.CallContext, request: HttpRequest, record: Record
    ) -> TargetReply:
        reply = await self._admit_and_run(context, request)
        refusal = reply.result if isinstance(reply.result, Refusal) else None
        if self._delegate is not None and refusal and is_backend_unavailable(refusal):
            # The ticket stays bound to this daemon; the other target runs the
            # call under a ticket of its own.
            reply = await self._delegate(context, request)
        if isinstance(reply.result, Refusal):
            self._records.fail(record, reply.result)
        else:
            result = reply.result
            answer = Answer(result.status, result.headers, result.body)
            self._records.finish(record, answer)
        return reply

    async def _answer_copy(
        self, context: link_pb2.CallContext, record: Record
    ) -> TargetReply:
        """Answer a duplicate of a request from its record."""
        run = self._runs.get(record.key)
        if run is not None:
            reply = await asyncio.shield(run)
            # The returned retry budget belongs to the first copy.
            return TargetReply(reply.result, 0, reply.accepts_from)
        if record.state is RecordState.DONE and record.answer is not None:
            answer = record.answer
            response = HttpResponse(answer.status, answer.headers, answer.body)
            return TargetReply(response, context.retry_budget, 0)
        if record.refusal is not None:
            return TargetReply(record.refusal, context.retry_budget, 0)
        reason = "ran, answer not kept"
        return self._make_refused_reply(
            context, "outcome_unknown", reason, not_run=False
        )

    # One run

    async def _admit_and_run(
        self, context: link_pb2.CallContext, request: HttpRequest
    ) -> TargetReply:
        if self._drain.refuses_new_work():
            return self._make_refused_reply(context, "draining", "this VM is leaving")
        if not self._backend.is_present():
            reason = "no backend server announced itself here"
            return self._make_refused_reply(context, "no_target", reason)
        deadline_ms = self._clock.now_ms() + context.remaining_ms
        admission = await self._gate.enter(
            priority=context.priority,
            depth=context.depth,
            remaining_ms=context.remaining_ms,
        )
        if isinstance(admission, Refusal):
            return TargetReply(admission, context.retry_budget, 0)
        if self._clock.now_ms() >= deadline_ms:
            # The process was paused while the call was queued.
            self._gate.leave(admission, Outcome.CANCELLED)
            return self._make_refused_reply(
                context, "deadline_exceeded", "queued too long"
            )
        return await self._run(context, request, admission, deadline_ms)

    async def _run(
        self,
        context: link_pb2.CallContext,
        request: HttpRequest,
        admission: Admission,
        deadline_ms: float,
    ) -> TargetReply:
        """Send an admitted call to the backend server."""
        outcome = Outcome.CANCELLED
        children = ChildActivity(admission, self._gate)
        parent = ParentContext(
            context,
            deadline_ms,
            RetryBudget(context.retry_budget),
            on_child_start=children.record_start,
            on_child_end=children.record_end,
        )
        try:
            result = await self._exchange_in_context(request, parent, children)
            if isinstance(result, ExchangeError) and self._take_repeat_attempt(
                result, parent
            ):
                result = await self._exchange_in_context(request, parent, children)
            outcome = classify_outcome(result)
            if isinstance(result, ExchangeError):
                refusal = self._refuse_failed_exchange(result)
                return TargetReply(
                    refusal, parent.budget.left_calls, parent.accepts_from
                )
            return TargetReply(result, parent.budget.left_calls, parent.accepts_from)
        finally:
            self._gate.leave(admission, outcome)

    def _take_repeat_attempt(self, error: ExchangeError, parent: ParentContext) -> bool:
        """Take a retry for a second exchange on a new connection.

        Only the failure of a silent pooled connection allows one. Return False
        if none is allowed or left.
        """
        if not error.is_silent or not parent.budget.take():
            return False
        return self._retry_ratio.take(LOCAL_BACKEND_KEY, self._clock.now_ms())

    async def _exchange_in_context(
        self, request: HttpRequest, parent: ParentContext, children: ChildActivity
    ) -> HttpResponse | ExchangeError:
        """Run one exchange under a context that ends with it.

        Later child calls that name the context are refused.
        """
        context_id = f"{self._rng.getrandbits(96):024x}"
        self._contexts.add(context_id, parent)
        try:
            return await self._exchange(request, parent, children, context_id)
        finally:
            self._contexts.remove(context_id)

    async def _exchange(
        self,
        request: HttpRequest,
        parent: ParentContext,
        children: ChildActivity,
        context_id: str,
    ) -> HttpResponse | ExchangeError:
        client = self._backend.client
        assert client is not None
        context = parent.context
        now_ms = self._clock.now_ms()
        remaining_ms = parent.deadline_ms - now_ms
        is_repeatable = context.idempotent and parent.budget.left_calls > 0
        self._retry_ratio.record_first(LOCAL_BACKEND_KEY, now_ms)
        headers = request.headers + (
            ("Eelgrassweir-Context", context_id),
            ("Eelgrassweir-Deadline-Ms", str(max(int(remaining_ms), 0))),
            ("Eelgrassweir-Team", context.team),
            ("Eelgrassweir-Class", PRIORITY_NAMES[context.priority]),
            ("Eelgrassweir-Request-Id", context.request_id),
        )
        if not context.idempotent:
            headers += (("Idempotency-Key", context.ticket),)
        outbound = attrs.evolve(request, headers=headers)
        try:
            response = await client.exchange(
                outbound,
                timeout_ms=max(remaining_ms, MIN_ATTEMPT_TIMEOUT_MS),
                silence_ms=remaining_ms * SILENCE_FRACTION if is_repeatable else 0.0,
                is_alive=children.has_recent_activity,
            )
        except ExchangeError as error:
            return error
        self._retry_ratio.record_success(LOCAL_BACKEND_KEY, self._clock.now_ms())
        return response

    # Refusals

    def _refuse_failed_exchange(self, error: ExchangeError) -> Refusal:
        not_run = error.sent is SendStatus.NOT_SENT
        code = "backend_failed"
        if error.is_timeout:
            code = "deadline_exceeded"
        elif not not_run:
            code = "outcome_unknown"
        return Refusal(
            code=code,
            not_run=not_run,
            reason=error.reason,
            step=error.step,
            peer=self._vm,
        )

    def _make_refusal(self, code: str, reason: str, *, not_run: bool = True) -> Refusal:
        return Refusal(
            code=code, not_run=not_run, reason=reason, step="target", peer=self._vm
        )

    def _make_refused_reply(
        self,
        context: link_pb2.CallContext,
        code: str,
        reason: str,
        *,
        not_run: bool = True,
    ) -> TargetReply:
        refusal = self._make_refusal(code, reason, not_run=not_run)
        return TargetReply(refusal, context.retry_budget, 0)


def classify_outcome(result: HttpResponse | ExchangeError) -> Outcome:
    """Return the outcome of an exchange for the concurrency limit."""
    if isinstance(result, ExchangeError):
        return Outcome.TIMEOUT if result.is_timeout else Outcome.FAILED
    if result.status in (429, 503):
        return Outcome.REFUSED
    return Outcome.OK


def encode_reply(
    reply: TargetReply, load: link_pb2.Load
) -> link_pb2.Response | link_pb2.Refusal:
    """Return a reply as a link message."""
    if isinstance(reply.result, Refusal):
        refusal = reply.result
        return link_pb2.Refusal(
            code=refusal.code,
            not_run=refusal.not_run,
            reason=refusal.reason,
            step=refusal.step,
            peer=refusal.peer,
            retry_after_ms=refusal.retry_after_ms,
            retry_budget_left=reply.retry_budget_left,
            load=load,
        )
    response = reply.result
    return link_pb2.Response(
        status=response.status,
        headers=[link_pb2.Header(name=n, value=v) for n, v in response.headers],
        body=response.body,
        retry_budget_left=reply.retry_budget_left,
        load=load,
    )
