"""Send a request to a target, and retry on other targets within the limits."""

import asyncio
from collections.abc import Callable, Sequence

import attrs

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.link_client import LinkError
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.mesh.call_trees import CallTrees
from eelgrassweir.mesh.evacuations import Evacuations
from eelgrassweir.mesh.link_messages import decode_result, encode_request
from eelgrassweir.mesh.target import TargetResult, TargetService
from eelgrassweir.proto import link_pb2
from eelgrassweir.proto.control_pb2 import Member
from eelgrassweir.requests.refusal import Refusal
from eelgrassweir.retries.budget import RetryRatio
from eelgrassweir.routing.domain_spill import DomainSpill
from eelgrassweir.routing.picker import TargetPicker

STEP = "dispatch"
# The attempts of a route limit only the sends that reach a backend server;
# this limits all of them.
MAX_SEND_ATTEMPTS = 4
NO_TARGET_RETRY_AFTER_MS = 300
# With less time left a retry would be cut off by the deadline.
MIN_RETRY_TIME_MS = 20.0
SERVER_ERROR = 500
# A run is taken to have failed because of a call if more than this share of
# the recent calls of its backend server failed.
FAILED_CALLS_SHARE = 0.02


@attrs.define(kw_only=True)
class Call:
    """A request, and the state of its attempts so far."""

    request: HttpRequest
    context: link_pb2.CallContext
    deadline_ms: float
    # Number of backend servers that the request may reach.
    max_backend_attempts: int
    backend_attempts: int = 0
    may_have_run: bool = False
    # Share of the calls made by the last target's backend server that were
    # refused for lack of capacity, from 0 to 1.
    refused_calls_share: float = 0.0
    # Share of these calls that failed for any reason.
    failed_calls_share: float = 0.0
    # Response of the last target that gave one, kept during a retry.
    last_response: HttpResponse | None = None
    # Load that the last target reported.
    last_load: link_pb2.Load | None = None
    tried_vms: set[str] = attrs.field(factory=set)
    # VM that the request was last sent to.
    target_vm: str = ""


class Dispatcher:
    """Choose targets for a request and send it to one after another.

    ``on_retry`` is called with the service for each retry charged to it,
    ``on_placed`` with the service of each request and whether its first target
    is one of the own failure domain.
    """

    def __init__(
        self,
        *,
        vm: str,
        incarnation: str,
        failure_domain: str,
        clock: Clock,
        members: MemberTable,
        picker: TargetPicker,
        retry_ratio: RetryRatio,
        links: LinkPool,
        target: TargetService,
        on_retry: Callable[[str], None],
        on_placed: Callable[[str, bool], None],
        spill: DomainSpill | None = None,
        trees: CallTrees | None = None,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._clock = clock
        self._members = members
        self._picker = picker
        self._retry_ratio = retry_ratio
        self._links = links
        self._target = target
        self._on_retry = on_retry
        self._on_placed = on_placed
        self._spill = spill
        self._trees = trees
        self._evacuations = evacuations

    async def send(self, call: Call) -> HttpResponse | Refusal:
        """Return the response of a target, or a refusal if there is none."""
        service = call.context.service
        self._retry_ratio.record_first(service, self._clock.now_ms())
        last: TargetResult | None = None
        for _ in range(MAX_SEND_ATTEMPTS):
            member = self._choose_target(call)
            if member is None or (last and not self._acquire_retry(call, last)):
                break
            if last is None:
                self._on_placed(service, self._is_local(member))
            call.tried_vms.add(member.vm)
            call.target_vm = member.vm
            last = await self._send_once(call, member)
            call.backend_attempts += last.reached_backend
            if isinstance(last.result, HttpResponse):
                call.last_response = last.result
            if not self._is_repeatable(call, last):
                break
        if last is None:
            return self._make_refusal(f"no target of {service} is ready")
        return self._select_result(call, last.result)

    def _select_result(
        self, call: Call, result: HttpResponse | Refusal
    ) -> HttpResponse | Refusal:
        """Return the result of the call after its last attempt.

        An earlier response is preferred to a refusal. A refusal does not say
        "not run" if an earlier attempt may have run the request.
        """
        if isinstance(result, HttpResponse):
            if result.status < SERVER_ERROR:
                now_ms = self._clock.now_ms()
                self._retry_ratio.record_success(call.context.service, now_ms)
            return result
        if call.last_response is not None:
            return call.last_response
        if call.may_have_run and result.not_run:
            return attrs.evolve(result, not_run=False)
        return result

    def _is_repeatable(self, call: Call, last: TargetResult) -> bool:
        """Return whether a retry is safe, in time and may succeed.

        A non-idempotent request is retried only if it was not run.
        """
        if call.deadline_ms - self._clock.now_ms() < MIN_RETRY_TIME_MS:
            return False
        result = last.result
        if isinstance(result, HttpResponse):
            if not call.context.idempotent or result.status < SERVER_ERROR:
                return False
            # The failed call was repeated where it failed. A second run would
            # make all calls again, and each counts as a repeat.
            return call.failed_calls_share <= FAILED_CALLS_SHARE
        if result.not_run:
            return result.code != "deadline_exceeded"
        call.may_have_run = True
        return call.context.idempotent

    def _acquire_retry(self, call: Call, last: TargetResult) -> bool:
        """Charge the next send to the limits; return False if one is reached.

        Sends are free until one reaches a backend server.
        """
        if call.backend_attempts == 0:
            return True
        if call.backend_attempts >= call.max_backend_attempts:
            return False
        service = call.context.service
        if not self._retry_ratio.take(service, self._clock.now_ms()):
            return False
        self._on_retry(service)
        return True

    def _choose_target(self, call: Call) -> Member | None:
        return self._picker.choose(
            self._list_members(call.context.service),
            own_domain=self._failure_domain,
            excluded=call.tried_vms,
            now_ms=self._clock.now_ms(),
            service=call.context.service,
        )

    def _list_members(self, service: str) -> Sequence[Member]:
        """Return the ready members outside of the evacuated domains."""
        members = self._members.ready(service)
        evacuated = self._evacuations.domains if self._evacuations else None
        if not evacuated:
            return members
        return [member for member in members if member.failure_domain not in evacuated]

    async def _send_once(self, call: Call, member: Member) -> TargetResult:
        sent_ms = self._clock.now_ms()
        timeout_ms = call.deadline_ms - sent_ms
        call.context.remaining_ms = max(1, int(timeout_ms))
        sent = self._picker.record_start(member.vm)
        try:
            if member.vm == self._vm and member.incarnation == self._incarnation:
                result = await self._send_locally(call, member, timeout_ms)
                self._record_response(member, sent, result)
                return result
            reply = await self._links.call(
                member.link_address,
                member.incarnation,
                encode_request(call.request, call.context),
                timeout_ms=timeout_ms,
                body=call.request.body,
            )
            self._record_load(call, member, reply.load)
            result = decode_result(reply)
            self._record_response(member, sent, result)
            if isinstance(result.result, HttpResponse):
                self._record_times(call, member, reply.load, sent_ms)
            return result
        except LinkError as error:
            return self._translate_link_error(member, error)
        finally:
            self._picker.record_end(member.vm, sent, self._clock.now_ms())

    def _record_response(self, member: Member, sent: int, result: TargetResult) -> None:
        if isinstance(result.result, HttpResponse):
            self._picker.record_response(member.vm, sent, self._clock.now_ms())

    async def _send_locally(
        self, call: Call, member: Member, timeout_ms: float
    ) -> TargetResult:
        sent_ms = self._clock.now_ms()
        try:
            async with asyncio.timeout(timeout_ms / 1e3):
                result = await self._target.handle(call.context, call.request)
        except TimeoutError:
            reason = f"no answer in {timeout_ms:.0f} ms"
            raise LinkError("local call", self._vm, reason, is_timeout=True) from None
        load = self._target.load(call.context.route)
        self._record_load(call, member, load)
        if isinstance(result.result, HttpResponse):
            self._record_times(call, member, load, sent_ms)
        return result

    def _record_load(self, call: Call, member: Member, load: link_pb2.Load) -> None:
        self._picker.record_load(member.vm, load, self._clock.now_ms())
        if self._spill is not None:
            self._spill.record_load(
                call.context.service,
                member.vm,
                load,
                is_local=self._is_local(member),
                now_ms=self._clock.now_ms(),
            )
        call.refused_calls_share = load.refused_calls_percent / 100.0
        call.failed_calls_share = load.failed_calls_percent / 100.0
        call.last_load = load
        if self._trees is not None:
            self._trees.record_reply(call.context.service, member.vm, load)

    def _record_times(
        self, call: Call, member: Member, load: link_pb2.Load, sent_ms: float
    ) -> None:
        """Record the run time and the round trip to the target."""
        if self._spill is None:
            return
        service, now_ms = call.context.service, self._clock.now_ms()
        round_trip_ms = self._links.round_trip_ms(
            member.link_address, member.incarnation
        )
        run_ms = now_ms - sent_ms - load.queue_wait_ms - (round_trip_ms or 0.0)
        self._spill.record_run(service, run_ms, now_ms)
        if round_trip_ms is not None:
            self._spill.record_round_trip(
                service,
                round_trip_ms,
                is_local=self._is_local(member),
                now_ms=now_ms,
            )

    def _is_local(self, member: Member) -> bool:
        return member.failure_domain == self._failure_domain

    def _translate_link_error(self, member: Member, error: LinkError) -> TargetResult:
        if not error.is_timeout or not error.maybe_sent:
            self._picker.record_failure(member.vm, self._clock.now_ms())
        code = "outcome_unknown" if error.maybe_sent else "no_target"
        if error.is_timeout:
            code = "deadline_exceeded"
        refusal = Refusal(
            code=code,
            not_run=not error.maybe_sent,
            reason=error.reason,
            step=error.step,
            peer=member.vm,
            retry_after_ms=NO_TARGET_RETRY_AFTER_MS,
        )
        return TargetResult(refusal, error.maybe_sent)

    def _make_refusal(self, reason: str) -> Refusal:
        return Refusal(
            code="no_target",
            not_run=True,
            reason=reason,
            step=STEP,
            peer=self._vm,
            retry_after_ms=NO_TARGET_RETRY_AFTER_MS,
        )
