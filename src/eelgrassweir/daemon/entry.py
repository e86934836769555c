"""Entry side of the request path: admits and dispatches callers' requests.

Used by ``RequestPath``, which serves it on the ingress listener.
"""

import random
from collections.abc import Callable
from urllib.parse import unquote, unquote_to_bytes

import attrs

from eelgrassweir.admission.backpressure import BackpressureTable
from eelgrassweir.clock import Clock
from eelgrassweir.config.document import (
    ConfigDocument,
    Route,
    find_team_of_key,
    match_route,
)
from eelgrassweir.daemon.dispatch import Call, Dispatcher
from eelgrassweir.daemon.http_message import (
    Body,
    Headers,
    HttpRequest,
    HttpResponse,
    find_header,
)
from eelgrassweir.daemon.http_server import make_refusal_response
from eelgrassweir.daemon.metrics import Metrics
from eelgrassweir.daemon.ticket_endpoint import TICKETS_PATH, answer_ticket_request
from eelgrassweir.daemon.tokens import TokenService
from eelgrassweir.daemon.usage import UsageMeter
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.headers import (
    all_presented_keys,
    forwarded_headers,
    misplaced_keys,
    presented_key,
)
from eelgrassweir.requests.refusal import Refusal, clear_not_run_if_ticketed
from eelgrassweir.requests.ticket import parse_ticket
from eelgrassweir.retries.budget import RetryBudget

STEP = "entry"


@attrs.frozen
class RequestIdentity:
    """Team and route of a request; the team is empty without a valid key."""

    route: Route
    team: str


class EntryService:
    """Check, rate-limit and dispatch the requests of callers."""

    def __init__(
        self,
        *,
        vm: str,
        clock: Clock,
        rng: random.Random,
        get_config: Callable[[], ConfigDocument | None],
        is_fresh: Callable[[], bool],
        tokens: TokenService,
        backpressure: BackpressureTable,
        dispatcher: Dispatcher,
        metrics: Metrics,
        usage: UsageMeter,
        retry_budget_attempts: int,
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._rng = rng
        self._get_config = get_config
        self._is_fresh = is_fresh
        self._tokens = tokens
        self._backpressure = backpressure
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._usage = usage
        self._retry_budget_attempts = retry_budget_attempts
        self.in_flight_calls = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request of a caller."""
        started_ms = self._clock.now_ms()
        self.in_flight_calls += 1
        try:
            response = await self._answer(request)
        finally:
            self.in_flight_calls -= 1
        self._metrics.latency.observe((self._clock.now_ms() - started_ms) / 1e3)
        return response

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        path = request.path.partition("?")[0]
        if path == TICKETS_PATH:
            return self._answer_tickets(request)
        identity = self._identify(request.method, path, request.headers)
        if isinstance(identity, Refusal):
            return self._make_refusal_response(
                clear_not_run_if_ticketed(identity, request.headers)
            )
        keys = all_presented_keys(request.headers) | self._find_misplaced_keys(request)
        if self._exposes_key(request, keys):
            reason = "the key stands in the path or the body"
            refusal = self._make_refusal("bad_request", reason)
            return self._make_refusal_response(
                clear_not_run_if_ticketed(refusal, request.headers)
            )
        return await self._dispatch(request, identity, keys)

    async def _dispatch(
        self, request: HttpRequest, identity: RequestIdentity, keys: set[str]
    ) -> HttpResponse:
        route = identity.route
        call = self._make_call(request, identity, keys)
        if isinstance(call, Refusal):
            return self._make_refusal_response(call)
        refusal = await self._admit(call, identity)
        result: HttpResponse | Refusal
        if refusal is None:
            result = await self._dispatcher.send(call)
        elif route.idempotent:
            result = refusal
        else:
            result = await self._dispatcher.void_call(call, refusal)
        if isinstance(result, Refusal):
            if result.not_run and call.token is not None:
                # Frequent retries of refused calls would otherwise use up the
                # rate of a team that gets no answers.
                self._tokens.refund(call.token)
            return self._make_refusal_response(self._add_ticket(result, route))
        status_class = f"{result.status // 100}xx"
        self._metrics.answers.labels(route.name, status_class).inc()
        return result

    # Checks

    def _identify(
        self, method: str, path: str, headers: Headers
    ) -> RequestIdentity | Refusal:
        """Return the route and team of a request, or a refusal."""
        config = self._get_config()
        if config is None:
            return self._make_refusal("config_missing", "no configuration received yet")
        route = match_route(config, method, path)
        if route is None:
            return self._make_refusal("route_unknown", "no route matches")
        key = presented_key(headers)
        team = find_team_of_key(config, key) if key is not None else None
        if route.is_open and (not route.idempotent or not self._is_fresh()):
            # With a stale configuration the key may have been withdrawn, and
            # child calls would run for its team. Records are kept per team, so
            # a copy sent after the withdrawal would not find the record of the
            # first one.
            team = None
        if team is None and not route.is_open:
            if key is None:
                return self._make_refusal("key_missing", "this route needs a key")
            return self._make_refusal("key_unknown", "the key is not valid")
        if not route.is_open and not self._is_fresh():
            reason = "this daemon is cut off and cannot tell whether keys changed"
            return self._make_refusal("config_stale", reason)
        return RequestIdentity(route, team or "")

    def _exposes_key(self, request: HttpRequest, keys: set[str]) -> bool:
        """Return whether a key would reach the backend server."""
        path, body = unquote(request.path), _get_searchable_body(request)
        return any(
            key in request.path or key in path or key.encode("latin-1") in body
            for key in keys
        )

    def _find_misplaced_keys(self, request: HttpRequest) -> set[str]:
        """Return valid keys found in the path, other headers or the body."""
        config = self._get_config()
        if config is None:
            return set()
        return misplaced_keys(
            request.path,
            request.headers,
            _get_searchable_body(request),
            lambda text: find_team_of_key(config, text) is not None,
        )

    def _make_call(
        self, request: HttpRequest, identity: RequestIdentity, keys: set[str]
    ) -> Call | Refusal:
        route = identity.route
        ticket = ""
        if not route.idempotent:
            ticket = find_header(request.headers, "idempotency-key") or ""
            if not ticket:
                reason = "send the ticket of this answer as Idempotency-Key"
                return self._add_ticket(
                    self._make_refusal("ticket_required", reason), route
                )
            if parse_ticket(ticket) is None:
                reason = "Idempotency-Key is not a ticket of this system"
                return self._add_ticket(
                    self._make_refusal("bad_request", reason), route
                )
        remaining_ms = parse_remaining_ms(request.headers, route.deadline_ms)
        request_id = f"{self._rng.getrandbits(64):016x}"
        context = link_pb2.CallContext(
            request_id=request_id,
            root_id=request_id,
            team=identity.team,
            route=route.name,
            priority=link_pb2.Priority.ValueType(route.priority),
            idempotent=route.idempotent,
            ticket=ticket,
        )
        headers = forwarded_headers(request.headers, keys)
        return Call(
            request=attrs.evolve(request, headers=headers),
            context=context,
            service=route.service,
            deadline_ms=self._clock.now_ms() + remaining_ms - request.waited_ms,
            attempt_timeout_ms=route.attempt_timeout_ms,
            budget=RetryBudget(self._retry_budget_attempts),
        )

    async def _admit(self, call: Call, identity: RequestIdentity) -> Refusal | None:
        """Check backpressure and take a token from the team's rate."""
        route = identity.route
        if call.request.has_waited_too_long:
            reason = f"this daemon is {call.request.waited_ms:.0f} ms behind"
            return self._make_refusal("overloaded", reason)
        now_ms = self._clock.now_ms()
        if not self._backpressure.accepts(
            route.name, route.service, route.priority, now_ms, self._rng
        ):
            reason = f"{route.service} or a service below it refuses this class"
            return self._make_refusal("overloaded", reason)
        if not identity.team:
            return None
        decision = await self._tokens.take(identity.team)
        if not decision.is_granted:
            reason = "no token of the rate and burst of the team is available"
            return attrs.evolve(
                self._make_refusal("rate_exceeded", reason),
                retry_after_ms=decision.retry_after_ms,
            )
        call.token = decision.token
        self._metrics.team_calls.labels(identity.team).inc()
        self._usage.record(identity.team)
        return None

    # Answers

    def _answer_tickets(self, request: HttpRequest) -> HttpResponse:
        result = answer_ticket_request(
            request, self._identify, self._dispatcher.issue_ticket
        )
        if isinstance(result, Refusal):
            return self._make_refusal_response(result)
        return result

    def _add_ticket(self, refusal: Refusal, route: Route) -> Refusal:
        """Add a new ticket to the refusal of a request that did not run."""
        if route.idempotent or not refusal.not_run:
            return refusal
        ticket = self._dispatcher.issue_ticket(route.service)
        return attrs.evolve(refusal, ticket=str(ticket) if ticket else "")

    def _make_refusal_response(self, refusal: Refusal) -> HttpResponse:
        self._metrics.refusals.labels(refusal.code).inc()
        return make_refusal_response(refusal)

    def _make_refusal(self, code: str, reason: str) -> Refusal:
        return Refusal(code=code, not_run=True, reason=reason, step=STEP, peer=self._vm)


def _get_searchable_body(request: HttpRequest) -> Body:
    """Return the body, followed by its decoded form if it is URL-encoded."""
    content_type = find_header(request.headers, "content-type") or ""
    is_form = content_type.lower().startswith("application/x-www-form-urlencoded")
    if not is_form or b"%" not in request.body:
        return request.body
    return request.body + unquote_to_bytes(request.body)


def parse_remaining_ms(headers: Headers, max_ms: float) -> float:
    """Return the remaining time that a request's sender allows, in ms.

    ``max_ms`` bounds it, and applies if the header is missing or malformed.
    """
    text = find_header(headers, "eelgrassweir-deadline-ms")
    if text is None or not text.strip().isdecimal():
        return max_ms
    return min(float(text), max_ms)
