"""Egress side of the request path: child calls of the local backend server.

Used by ``RequestPath``, which serves it on the egress listener.
"""

import asyncio
import json
import random
from collections.abc import Callable

import attrs

from eelgrassweir.clock import Clock
from eelgrassweir.config.document import ConfigDocument, Route, match_route
from eelgrassweir.daemon.backend import Announcement
from eelgrassweir.daemon.dispatch import Call, Dispatcher
from eelgrassweir.daemon.entry import parse_remaining_ms
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse, find_header
from eelgrassweir.daemon.http_server import make_refusal_response
from eelgrassweir.daemon.metrics import Metrics
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.context import ContextTable, ParentContext, digest_child_call
from eelgrassweir.requests.headers import forwarded_headers
from eelgrassweir.requests.refusal import Refusal

STEP = "egress"
ANNOUNCE_PATH = "/.eelgrassweir/announce"


class EgressService:
    """Answer child calls and announcements of the local backend server."""

    def __init__(
        self,
        *,
        vm: str,
        clock: Clock,
        rng: random.Random,
        get_config: Callable[[], ConfigDocument | None],
        contexts: ContextTable,
        dispatcher: Dispatcher,
        metrics: Metrics,
        announce: Callable[[Announcement], None],
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._rng = rng
        self._get_config = get_config
        self._contexts = contexts
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._announce = announce

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request of the local backend server."""
        if request.path == ANNOUNCE_PATH:
            return self._answer_announcement(request)
        parent = self._find_parent(request)
        if isinstance(parent, Refusal):
            return self._make_refusal_response(parent)
        parent.on_child_start()
        try:
            result = await self._call_child(request, parent)
        finally:
            parent.on_child_end()
        if isinstance(result, Refusal):
            return self._make_refusal_response(result)
        return result

    def _answer_announcement(self, request: HttpRequest) -> HttpResponse:
        announcement = parse_announcement(request.body)
        if announcement is None:
            reason = 'the body must be {"service", "address", "slots", "state"}'
            return self._make_refusal_response(
                self._make_refusal("bad_request", reason)
            )
        self._announce(announcement)
        return HttpResponse(204, (), b"")

    def _find_parent(self, request: HttpRequest) -> ParentContext | Refusal:
        context_id = find_header(request.headers, "eelgrassweir-context")
        if context_id is None:
            reason = "a child call needs the Eelgrassweir-Context of its request"
            return self._make_refusal("context_missing", reason)
        parent = self._contexts.find(context_id)
        if parent is None:
            refusal = self._make_refusal(
                "context_ended", "the request of this call has ended"
            )
            # An earlier copy of the call may have run during the request.
            return attrs.evolve(refusal, not_run=False)
        return parent

    async def _call_child(
        self, request: HttpRequest, parent: ParentContext
    ) -> HttpResponse | Refusal:
        config = self._get_config()
        if config is None:
            return self._make_refusal("config_missing", "no configuration received yet")
        path = request.path.partition("?")[0]
        route = match_route(config, request.method, path)
        if route is None:
            return self._make_refusal("route_unknown", "no route matches")
        if not route.is_open and not parent.context.team:
            reason = "this route needs a team, and the root request had no valid key"
            return self._make_refusal("route_forbidden", reason)
        idempotency_key = find_header(request.headers, "idempotency-key") or ""
        digest = digest_child_call(
            request.method, request.path, request.body, idempotency_key
        )
        result = await self._attempt_child(request, parent, route, digest)
        if isinstance(result, Refusal) and digest in parent.maybe_run_children:
            # This attempt did not run, but an earlier one may have run.
            return attrs.evolve(result, not_run=False)
        return result

    async def _attempt_child(
        self,
        request: HttpRequest,
        parent: ParentContext,
        route: Route,
        digest: bytes,
    ) -> HttpResponse | Refusal:
        if digest in parent.failed_children and not parent.budget.take():
            reason = "the retry budget of the root request is used up"
            return self._make_refusal("retry_budget_exhausted", reason)
        call = self._make_call(request, parent, route, digest)
        if isinstance(call, Refusal):
            return call
        try:
            result = await self._send(call, parent)
        except asyncio.CancelledError:
            # The backend server cancelled the call; repeating it counts as a
            # retry.
            parent.maybe_run_children.add(digest)
            parent.failed_children.add(digest)
            raise
        self._record_outcome(result, parent, digest)
        return result

    async def _send(self, call: Call, parent: ParentContext) -> HttpResponse | Refusal:
        """Send a call with the parent's retry budget.

        The backpressure that the call reports is passed on to the parent.
        """
        result = await self._dispatcher.send(call)
        parent.accepts_from = max(parent.accepts_from, call.accepts_from)
        return result

    def _make_call(
        self,
        request: HttpRequest,
        parent: ParentContext,
        route: Route,
        digest: bytes,
    ) -> Call | Refusal:
        ticket = ""
        if not route.idempotent:
            child_ticket = parent.child_tickets.get(digest)
            is_first = child_ticket is None
            child_ticket = child_ticket or self._dispatcher.issue_ticket(
                route.service, is_child=True
            )
            if child_ticket is None:
                reason = f"no target of {route.service} is ready"
                return self._make_refusal("no_target", reason)
            parent.child_tickets[digest] = child_ticket
            ticket = str(child_ticket)
        else:
            is_first = False
        inherited = parent.context
        context = link_pb2.CallContext(
            request_id=f"{self._rng.getrandbits(64):016x}",
            root_id=inherited.root_id,
            team=inherited.team,
            route=inherited.route,
            priority=inherited.priority,
            depth=inherited.depth + 1,
            idempotent=route.idempotent,
            ticket=ticket,
        )
        now_ms = self._clock.now_ms()
        remaining_ms = parse_remaining_ms(request.headers, parent.deadline_ms - now_ms)
        return Call(
            request=attrs.evolve(
                request, headers=forwarded_headers(request.headers, ())
            ),
            context=context,
            service=route.service,
            deadline_ms=now_ms + remaining_ms - request.waited_ms,
            attempt_timeout_ms=route.attempt_timeout_ms,
            budget=parent.budget,
            is_only_sender=is_first,
        )

    def _record_outcome(
        self, result: HttpResponse | Refusal, parent: ParentContext, digest: bytes
    ) -> None:
        """Record a failed child call; repeating it counts as a retry."""
        if isinstance(result, Refusal) and result.not_run:
            parent.failed_children.add(digest)
            # The request of the old ticket never runs; a retry gets a new
            # ticket.
            parent.child_tickets.pop(digest, None)
            return
        parent.maybe_run_children.add(digest)
        if isinstance(result, Refusal) or result.status >= 500:
            parent.failed_children.add(digest)

    def _make_refusal_response(self, refusal: Refusal) -> HttpResponse:
        self._metrics.refusals.labels(refusal.code).inc()
        return make_refusal_response(refusal)

    def _make_refusal(self, code: str, reason: str) -> Refusal:
        return Refusal(code=code, not_run=True, reason=reason, step=STEP, peer=self._vm)


def parse_announcement(body: bytes | bytearray) -> Announcement | None:
    """Return the announcement in ``body``, or None if it is malformed."""
    try:
        document = json.loads(body)
        announcement = Announcement(
            service=str(document["service"]),
            address=str(document["address"]),
            slots=int(document["slots"]),
            is_draining=document.get("state", "ready") == "draining",
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    _, _, port = announcement.address.rpartition(":")
    if not announcement.service or not port.isdecimal() or announcement.slots < 1:
        return None
    return announcement
