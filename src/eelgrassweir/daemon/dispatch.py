"""Dispatch of one call to targets, with retries within the budget."""

import asyncio
import random
from collections.abc import Callable

import attrs

from eelgrassweir.admission.backpressure import BackpressureTable
from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.link_client import LinkError, LinkPool
from eelgrassweir.daemon.metrics import Metrics
from eelgrassweir.daemon.target import Reply, TargetService
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.proto import control_pb2, link_pb2
from eelgrassweir.requests.refusal import Refusal, is_backend_unavailable
from eelgrassweir.requests.ticket import Ticket, mint_ticket, parse_ticket
from eelgrassweir.retries.budget import RetryBudget, RetryRatio
from eelgrassweir.routing.picker import TargetPicker
from eelgrassweir.shares.borrower import Token

# Free attempts, after refusals without a backend server, are bounded as well.
MAX_ATTEMPTS = 8
# A home that does not answer is asked again this often over new links; the
# record makes each further copy harmless.
MAX_HOME_ATTEMPTS = 3
RETRIED_STATUSES = (429, 503)


@attrs.define(kw_only=True)
class Call:
    """Hold one call on its way to a target."""

    request: HttpRequest
    context: link_pb2.CallContext
    service: str
    deadline_ms: float
    attempt_timeout_ms: int
    budget: RetryBudget
    # Whether an earlier attempt may have run.
    maybe_run: bool = False
    # Whether no other daemon can have a copy with the same ticket.
    is_only_sender: bool = False
    accepts_from: int = 0
    # What the call took of its team's rate.
    token: Token | None = None
    tried: set[str] = attrs.field(factory=set)
    # Targets whose link failed; over a new link they may still answer.
    link_failed: set[str] = attrs.field(factory=set)


class Dispatcher:
    """Send calls to targets and retry what may be retried."""

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
        pressure: BackpressureTable,
        ratio: RetryRatio,
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
        self._pressure = pressure
        self._ratio = ratio
        self._links = links
        self._target = target
        self._metrics = metrics
        self._ticket_life_ms = ticket_life_ms
        self._is_draining = is_draining
        # Leaving targets by service; the last ones still take child calls.
        self._leaving: dict[str, dict[str, control_pb2.Member]] = {}
        members.subscribe(self._note_member)

    # Tickets

    def mint(self, service: str, *, is_child: bool = False) -> Ticket | None:
        """Return a fresh ticket; its home is a ready target of the service."""
        member = self._choose(service, set())
        if member is None and is_child:
            member = self._choose_leaving(service, set())
        if member is None:
            return None
        expiry_ms = self._clock.wall_ms() + self._ticket_life_ms
        return mint_ticket(member.vm, member.incarnation, expiry_ms, self._rng)

    async def void(self, call: Call, refusal: Refusal) -> HttpResponse | Refusal:
        """Refuse a ticketed call once its home recorded that it never runs.

        The home answers from its record if the request ran already.
        """
        result = await self._ask_home(call, void_only=True)
        if isinstance(result, HttpResponse) or not result.not_run:
            return result
        return refusal

    async def delegate(
        self, context: link_pb2.CallContext, request: HttpRequest
    ) -> Reply:
        """Run a ticketed call of this home on another target."""
        own = self._members.get(self._vm)
        service = own.service if own is not None else ""
        ticket = self.mint(service)
        if ticket is None or ticket.vm == self._vm:
            refusal = self._refuse(
                "no_target", f"no other target of {service} is ready"
            )
            return Reply(refusal, context.retry_budget, 0)
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
        result = await self._ask_home(call, void_only=False)
        return Reply(result, call.budget.left_calls, call.accepts_from)

    # Calls

    async def send(self, call: Call) -> HttpResponse | Refusal:
        """Send a call and return its answer or why there is none."""
        if not call.context.idempotent:
            return await self._ask_home(call, void_only=False)
        self._ratio.record_first(call.service, self._clock.now_ms())
        result: HttpResponse | Refusal | None = None
        for _ in range(MAX_ATTEMPTS):
            member = self._choose_untried(call)
            if member is None:
                break
            if result is not None and not self._may_retry(call, result):
                break
            call.tried.add(member.vm)
            result = await self._attempt(call, member)
            if not is_retriable(result):
                break
            if self._remaining_ms(call) <= 0:
                break
        if result is None:
            result = self._refuse("no_target", f"no target of {call.service} is ready")
        return self._final(call, result)

    def _choose_untried(self, call: Call) -> control_pb2.Member | None:
        """Return a target not tried yet, or one whose link failed under it."""
        member = self._choose(call.service, call.tried)
        if member is None and call.link_failed:
            member = self._choose(call.service, call.tried - call.link_failed)
            call.link_failed.clear()
        if member is None and call.context.depth > 0:
            return self._choose_leaving(call.service, call.tried)
        return member

    def _note_member(self, member: control_pb2.Member) -> None:
        for leaving in self._leaving.values():
            leaving.pop(member.vm, None)
        if member.state == control_pb2.DRAINING and member.service:
            self._leaving.setdefault(member.service, {})[member.vm] = member

    def _choose_leaving(
        self, service: str, tried: set[str]
    ) -> control_pb2.Member | None:
        """Return a leaving target, for child calls that have no other.

        Their root request is in flight, and a planned stop must not cut it.
        The target refuses them once its notice is over.
        """
        for vm, member in self._leaving.get(service, {}).items():
            if vm not in tried:
                return member
        return None

    def _may_retry(self, call: Call, result: HttpResponse | Refusal) -> bool:
        """Take what one more attempt costs."""
        if isinstance(result, Refusal) and is_backend_unavailable(result):
            return True
        now_ms = self._clock.now_ms()
        if not call.budget.take():
            return False
        if not self._ratio.take(call.service, now_ms):
            return False
        self._metrics.retries.labels(call.service).inc()
        return True

    def _final(
        self, call: Call, result: HttpResponse | Refusal
    ) -> HttpResponse | Refusal:
        if isinstance(result, HttpResponse):
            if result.status < 500:
                self._ratio.record_success(call.service, self._clock.now_ms())
            return result
        if call.maybe_run and result.not_run:
            # The last attempt did not run, but an earlier one may have.
            return attrs.evolve(result, not_run=False)
        return result

    async def _attempt(
        self, call: Call, member: control_pb2.Member
    ) -> HttpResponse | Refusal:
        """Send a call to one target."""
        timeout_ms = min(self._remaining_ms(call), float(call.attempt_timeout_ms))
        if timeout_ms <= 0:
            return self._refuse("deadline_exceeded", "no time left for an attempt")
        lent_calls = call.budget.split()
        self._picker.record_start(member.vm)
        try:
            reply = await self._call_member(
                call, member, timeout_ms, lent_calls, void_only=False
            )
        except LinkError as error:
            return self._link_failure(call, member, error)
        finally:
            self._picker.record_end(member.vm)
        call.budget.give_back(reply.retry_budget_left)
        if isinstance(reply.result, Refusal) and not reply.result.not_run:
            call.maybe_run = True
        return reply.result

    def _link_failure(
        self, call: Call, member: control_pb2.Member, error: LinkError
    ) -> Refusal:
        if not error.is_timeout or not error.maybe_sent:
            self._picker.record_failure(member.vm, self._clock.now_ms())
            call.link_failed.add(member.vm)
        call.maybe_run = call.maybe_run or error.maybe_sent
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
    ) -> Reply:
        context = link_pb2.CallContext()
        context.CopyFrom(call.context)
        context.remaining_ms = int(timeout_ms)
        context.retry_budget = lent_calls
        if member.vm == self._vm and member.incarnation == self._incarnation:
            reply = await self._call_local(call, context, timeout_ms, void_only)
            load = self._target.load(reply.accepts_from)
        else:
            answer = await self._links.call(
                member.link_address,
                member.incarnation,
                encode_request(call.request, context, void_only),
                timeout_ms=timeout_ms,
            )
            reply = decode_reply(answer)
            load = answer.load
        now_ms = self._clock.now_ms()
        self._picker.record_load(member.vm, load, now_ms)
        self._pressure.record(
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
    ) -> Reply:
        try:
            async with asyncio.timeout(timeout_ms / 1e3):
                return await self._target.handle(
                    context, call.request, void_only=void_only
                )
        except TimeoutError:
            reason = f"no reply in {timeout_ms:.0f} ms"
            raise LinkError("local call", self._vm, reason, is_timeout=True) from None

    # Non-idempotent calls

    async def _ask_home(self, call: Call, *, void_only: bool) -> HttpResponse | Refusal:
        """Send a ticketed call to the only daemon that may run it."""
        ticket = parse_ticket(call.context.ticket)
        assert ticket is not None
        member = self._members.get(ticket.vm)
        if member is None or member.incarnation != ticket.incarnation:
            reason = "the home of the ticket is gone"
            return self._refuse("outcome_unknown", reason, peer=ticket.vm)
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
                call.maybe_run = call.maybe_run or error.maybe_sent
                refusal = self._home_failure(call, member, error)
                # What was lent went with the lost copy.
                lent_calls = 0
                continue
            call.budget.give_back(reply.retry_budget_left)
            return reply.result
        if refusal is not None:
            return refusal
        reason = "no time left to ask the home of the ticket"
        return self._refuse("outcome_unknown", reason, peer=ticket.vm)

    def _home_failure(
        self, call: Call, member: control_pb2.Member, error: LinkError
    ) -> Refusal:
        if not error.is_timeout:
            self._picker.record_failure(member.vm, self._clock.now_ms())
        not_run = call.is_only_sender and not call.maybe_run
        return Refusal(
            code="no_target" if not_run else "outcome_unknown",
            not_run=not_run,
            reason=error.reason,
            step=error.step,
            peer=member.vm,
        )

    # Helpers

    def _choose(self, service: str, tried: set[str]) -> control_pb2.Member | None:
        excluded = tried
        if self._is_draining():
            excluded = tried | {self._vm}
        return self._picker.choose(
            self._members.ready(service),
            own_domain=self._failure_domain,
            excluded=excluded,
            now_ms=self._clock.now_ms(),
        )

    def _remaining_ms(self, call: Call) -> float:
        return call.deadline_ms - self._clock.now_ms()

    def _refuse(self, code: str, reason: str, *, peer: str = "") -> Refusal:
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
        # Either the time is up, or the target saw that it will be.
        return not result.not_run
    return True


def encode_request(
    request: HttpRequest, context: link_pb2.CallContext, void_only: bool
) -> link_pb2.Request:
    """Return a call as a message."""
    return link_pb2.Request(
        context=context,
        method=request.method,
        path=request.path,
        headers=[link_pb2.Header(name=n, value=v) for n, v in request.headers],
        body=request.body,
        void_only=void_only,
    )


def decode_reply(answer: link_pb2.Response | link_pb2.Refusal) -> Reply:
    """Return the outcome that a message holds."""
    accepts_from = answer.load.accepts_from
    if isinstance(answer, link_pb2.Refusal):
        refusal = Refusal(
            code=answer.code,
            not_run=answer.not_run,
            reason=answer.reason,
            step=answer.step,
            peer=answer.peer,
            retry_after_ms=answer.retry_after_ms,
        )
        return Reply(refusal, answer.retry_budget_left, accepts_from)
    headers = tuple((header.name, header.value) for header in answer.headers)
    response = HttpResponse(answer.status, headers, answer.body)
    return Reply(response, answer.retry_budget_left, accepts_from)
