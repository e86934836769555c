"""Dispatch of calls to targets, with retries within the retry budget.

Used by the entry, for requests of callers, and by the egress, for child calls.
"""

import asyncio
import random
from collections.abc import Callable

import attrs

from eelgrassweir.admission.backpressure import BackpressureTable
from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.link_client import LinkError
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.daemon.metrics import Metrics
from eelgrassweir.daemon.target import TargetReply, TargetService
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.proto import control_pb2, link_pb2
from eelgrassweir.requests.refusal import Refusal, is_backend_unavailable
from eelgrassweir.requests.ticket import Ticket, mint_ticket, parse_ticket
from eelgrassweir.retries.budget import RetryBudget, RetryRatio
from eelgrassweir.routing.picker import TargetPicker
from eelgrassweir.shares.borrower import Token

# Bounds all attempts of a call, including those that cost no retry budget
# because the target had no backend server.
MAX_ATTEMPTS = 8
# Attempts to reach the home daemon of a ticket over new links. Its record
# makes each further copy harmless.
MAX_HOME_ATTEMPTS = 3
RETRIED_STATUSES = (429, 503)


@attrs.define(kw_only=True)
class Call:
    """State of one call while it is dispatched to targets."""

    request: HttpRequest
    context: link_pb2.CallContext
    service: str
    deadline_ms: float
    attempt_timeout_ms: int
    budget: RetryBudget
    # Whether an earlier attempt may have run.
    may_have_run: bool = False
    # Whether no other daemon can have a copy with the same ticket.
    is_only_sender: bool = False
    # Lowest priority that the targets of this call accept.
    accepts_from: int = 0
    # The token that the call took from the rate of its team.
    token: Token | None = None
    tried_vms: set[str] = attrs.field(factory=set)
    # Targets whose link failed; they may still answer over a new link.
    link_failed_vms: set[str] = attrs.field(factory=set)


class Dispatcher:
    """Send calls to targets and retry those that are retriable."""

    def __init__(
        self,
        *,
        vm: str,
        incarnation: str,
        failure_domain: str,
        clock: Clock,
        rng: random.Random,
        members: MemberTable,
        picker: TargetPicker,
        backpressure: BackpressureTable,
        retry_ratio: RetryRatio,
        links: LinkPool,
        target: TargetService,
        metrics: Metrics,
        ticket_life_ms: int,
        is_draining: Callable[[], bool],
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._clock = clock
        self._rng = rng
        self._members = members
        self._picker = picker
        self._backpressure = backpressure
        self._retry_ratio = retry_ratio
        self._links = links
        self._target = target
        self._metrics = metrics
        self._ticket_life_ms = ticket_life_ms
        self._is_draining = is_draining
        # Draining targets by service and VM. They still take child calls if
        # no other target is left.
        self._draining_members: dict[str, dict[str, control_pb2.Member]] = {}
        members.subscribe(self._track_draining)

    # Tickets

    def issue_ticket(self, service: str, *, is_child: bool = False) -> Ticket | None:
        """Return a fresh ticket, or None if the service has no ready target.

        The ticket's home daemon is the chosen target. With ``is_child`` it
        may be a draining one.
        """
        member = self._choose_target(service, set())
        if member is None and is_child:
            member = self._choose_draining(service, set())
        if member is None:
            return None
        expiry_ms = self._clock.wall_ms() + self._ticket_life_ms
        return mint_ticket(member.vm, member.incarnation, expiry_ms, self._rng)

    async def void_call(self, call: Call, refusal: Refusal) -> HttpResponse | Refusal:
        """Refuse a ticketed call after its home daemon recorded it as not run.

        If the request already ran, the home daemon answers from its record.
        """
        result = await self._call_home_daemon(call, void_only=True)
        if isinstance(result, HttpResponse) or not result.not_run:
            return result
        return refusal

    async def delegate(
        self, context: link_pb2.CallContext, request: HttpRequest
    ) -> TargetReply:
        """Run a ticketed call of this home daemon on another target."""
        own_member = self._members.get(self._vm)
        service = own_member.service if own_member is not None else ""
        ticket = self.issue_ticket(service)
        if ticket is None or ticket.vm == self._vm:
            refusal = self._make_refusal(
                "no_target", f"no other target of {service} is ready"
            )
            return TargetReply(refusal, context.retry_budget, 0)
        delegated = link_pb2.CallContext()
        delegated.CopyFrom(context)
        delegated.ticket = str(ticket)
        call = Call(
            request=request,
            context=delegated,
            service=service,
            deadline_ms=self._clock.now_ms() + context.remaining_ms,
            attempt_timeout_ms=context.remaining_ms,
            budget=RetryBudget(context.retry_budget),
            is_only_sender=True,
        )
        result = await self._call_home_daemon(call, void_only=False)
        return TargetReply(result, call.budget.left_calls, call.accepts_from)

    # Calls

    async def send(self, call: Call) -> HttpResponse | Refusal:
        """Send a call and return its answer or the refusal."""
        if not call.context.idempotent:
            return await self._call_home_daemon(call, void_only=False)
        self._retry_ratio.record_first(call.service, self._clock.now_ms())
        result: HttpResponse | Refusal | None = None
        for _ in range(MAX_ATTEMPTS):
            member = self._choose_untried(call)
            if member is None:
                break
            if result is not None and not self._take_retry(call, result):
                break
            call.tried_vms.add(member.vm)
            result = await self._attempt(call, member)
            if not is_retriable(result):
                break
            if self._remaining_ms(call) <= 0:
                break
        if result is None:
            result = self._make_refusal(
                "no_target", f"no target of {call.service} is ready"
            )
        return self._finalize_result(call, result)

    def _choose_untried(self, call: Call) -> control_pb2.Member | None:
        """Return an untried target, or else a target whose link failed."""
        member = self._choose_target(call.service, call.tried_vms)
        if member is None and call.link_failed_vms:
            member = self._choose_target(
                call.service, call.tried_vms - call.link_failed_vms
            )
            call.link_failed_vms.clear()
        if member is None and call.context.depth > 0:
            return self._choose_draining(call.service, call.tried_vms)
        return member

    def _track_draining(self, member: control_pb2.Member) -> None:
        for draining_members in self._draining_members.values():
            draining_members.pop(member.vm, None)
        if member.state == control_pb2.DRAINING and member.service:
            self._draining_members.setdefault(member.service, {})[member.vm] = member

    def _choose_draining(
        self, service: str, tried_vms: set[str]
    ) -> control_pb2.Member | None:
        """Return a draining target for child calls without another target.

        Their root request is in flight, and a planned stop must not interrupt
        it. The target refuses child calls when its drain notice is over.
        """
        for vm, member in self._draining_members.get(service, {}).items():
            if vm not in tried_vms:
                return member
        return None

    def _take_retry(self, call: Call, result: HttpResponse | Refusal) -> bool:
        """Take one retry from the budget and the service's retry ratio.

        Return False if either does not allow another attempt. A refusal of a
        target without a backend server costs no retry.
        """
        if isinstance(result, Refusal) and is_backend_unavailable(result):
            return True
        now_ms = self._clock.now_ms()
        if not call.budget.take():
            return False
        if not self._retry_ratio.take(call.service, now_ms):
            return False
        self._metrics.retries.labels(call.service).inc()
        return True

    def _finalize_result(
        self, call: Call, result: HttpResponse | Refusal
    ) -> HttpResponse | Refusal:
        if isinstance(result, HttpResponse):
            if result.status < 500:
                self._retry_ratio.record_success(call.service, self._clock.now_ms())
            return result
        if call.may_have_run and result.not_run:
            # The last attempt did not run, but an earlier one may have run.
            return attrs.evolve(result, not_run=False)
        return result

    async def _attempt(
        self, call: Call, member: control_pb2.Member
    ) -> HttpResponse | Refusal:
        """Send a call to one target."""
        timeout_ms = min(self._remaining_ms(call), float(call.attempt_timeout_ms))
        if timeout_ms <= 0:
            return self._make_refusal(
                "deadline_exceeded", "no time left for an attempt"
            )
        lent_calls = call.budget.split()
        self._picker.record_start(member.vm)
        try:
            reply = await self._call_member(
                call, member, timeout_ms, lent_calls, void_only=False
            )
        except LinkError as error:
            return self._refuse_link_failure(call, member, error)
        finally:
            self._picker.record_end(member.vm)
        call.budget.give_back(reply.retry_budget_left)
        if isinstance(reply.result, Refusal) and not reply.result.not_run:
            call.may_have_run = True
        return reply.result

    def _refuse_link_failure(
        self, call: Call, member: control_pb2.Member, error: LinkError
    ) -> Refusal:
        if not error.is_timeout or not error.maybe_sent:
            self._picker.record_failure(member.vm, self._clock.now_ms())
            call.link_failed_vms.add(member.vm)
        call.may_have_run = call.may_have_run or error.maybe_sent
        code = "outcome_unknown" if error.maybe_sent else "no_target"
        if error.is_timeout:
            code = "deadline_exceeded"
        return Refusal(
            code=code,
            not_run=not error.maybe_sent,
            reason=error.reason,
            step=error.step,
            peer=member.vm,
        )

    async def _call_member(
        self,
        call: Call,
        member: control_pb2.Member,
        timeout_ms: float,
        lent_calls: int,
        *,
        void_only: bool,
    ) -> TargetReply:
        context = link_pb2.CallContext()
        context.CopyFrom(call.context)
        context.remaining_ms = int(timeout_ms)
        context.retry_budget = lent_calls
        if member.vm == self._vm and member.incarnation == self._incarnation:
            reply = await self._call_local(call, context, timeout_ms, void_only)
            load = self._target.load(reply.accepts_from)
        else:
            message = await self._links.call(
                member.link_address,
                member.incarnation,
                encode_request(call.request, context, void_only),
                timeout_ms=timeout_ms,
                body=call.request.body,
            )
            reply = decode_reply(message)
            load = message.load
        now_ms = self._clock.now_ms()
        self._picker.record_load(member.vm, load, now_ms)
        self._backpressure.record(
            call.context.route, call.service, load.accepts_from, now_ms
        )
        call.accepts_from = max(call.accepts_from, load.accepts_from)
        return reply

    async def _call_local(
        self,
        call: Call,
        context: link_pb2.CallContext,
        timeout_ms: float,
        void_only: bool,
    ) -> TargetReply:
        try:
            async with asyncio.timeout(timeout_ms / 1e3):
                return await self._target.handle(
                    context, call.request, void_only=void_only
                )
        except TimeoutError:
            reason = f"no reply in {timeout_ms:.0f} ms"
            raise LinkError("local call", self._vm, reason, is_timeout=True) from None

    # Non-idempotent calls

    async def _call_home_daemon(
        self, call: Call, *, void_only: bool
    ) -> HttpResponse | Refusal:
        """Send a ticketed call to its home daemon.

        No other daemon may run it under this ticket.
        """
        ticket = parse_ticket(call.context.ticket)
        assert ticket is not None
        member = self._members.get(ticket.vm)
        if member is None or member.incarnation != ticket.incarnation:
            reason = "the home of the ticket is gone"
            return self._make_refusal("outcome_unknown", reason, peer=ticket.vm)
        lent_calls = call.budget.split()
        refusal: Refusal | None = None
        for _ in range(MAX_HOME_ATTEMPTS):
            timeout_ms = self._remaining_ms(call)
            if timeout_ms <= 0:
                break
            try:
                reply = await self._call_member(
                    call, member, timeout_ms, lent_calls, void_only=void_only
                )
            except LinkError as error:
                call.may_have_run = call.may_have_run or error.maybe_sent
                refusal = self._refuse_home_failure(call, member, error)
                # The lent retry budget is lost with the copy.
                lent_calls = 0
                continue
            call.budget.give_back(reply.retry_budget_left)
            return reply.result
        if refusal is not None:
            return refusal
        reason = "no time left to ask the home of the ticket"
        return self._make_refusal("outcome_unknown", reason, peer=ticket.vm)

    def _refuse_home_failure(
        self, call: Call, member: control_pb2.Member, error: LinkError
    ) -> Refusal:
        if not error.is_timeout:
            self._picker.record_failure(member.vm, self._clock.now_ms())
        not_run = call.is_only_sender and not call.may_have_run
        return Refusal(
            code="no_target" if not_run else "outcome_unknown",
            not_run=not_run,
            reason=error.reason,
            step=error.step,
            peer=member.vm,
        )

    # Helpers

    def _choose_target(
        self, service: str, tried_vms: set[str]
    ) -> control_pb2.Member | None:
        excluded = tried_vms
        if self._is_draining():
            excluded = tried_vms | {self._vm}
        return self._picker.choose(
            self._members.ready(service),
            own_domain=self._failure_domain,
            excluded=excluded,
            now_ms=self._clock.now_ms(),
        )

    def _remaining_ms(self, call: Call) -> float:
        return call.deadline_ms - self._clock.now_ms()

    def _make_refusal(self, code: str, reason: str, *, peer: str = "") -> Refusal:
        return Refusal(
            code=code,
            not_run=code != "outcome_unknown",
            reason=reason,
            step="dispatch",
            peer=peer or self._vm,
        )


def is_retriable(result: HttpResponse | Refusal) -> bool:
    """Return whether another attempt of an idempotent call may help."""
    if isinstance(result, HttpResponse):
        return result.status in RETRIED_STATUSES
    if result.code == "deadline_exceeded":
        # If not run, the deadline has passed or cannot be met any more.
        return not result.not_run
    return True


def encode_request(
    request: HttpRequest, context: link_pb2.CallContext, void_only: bool
) -> link_pb2.Request:
    """Return a call as a link message, without its body."""
    return link_pb2.Request(
        context=context,
        method=request.method,
        path=request.path,
        headers=[link_pb2.Header(name=n, value=v) for n, v in request.headers],
        void_only=void_only,
    )


def decode_reply(message: link_pb2.Response | link_pb2.Refusal) -> TargetReply:
    """Return the outcome that a link message contains."""
    accepts_from = message.load.accepts_from
    if isinstance(message, link_pb2.Refusal):
        refusal = Refusal(
            code=message.code,
            not_run=message.not_run,
            reason=message.reason,
            step=message.step,
            peer=message.peer,
            retry_after_ms=message.retry_after_ms,
        )
        return TargetReply(refusal, message.retry_budget_left, accepts_from)
    headers = tuple((header.name, header.value) for header in message.headers)
    response = HttpResponse(message.status, headers, message.body)
    return TargetReply(response, message.retry_budget_left, accepts_from)
