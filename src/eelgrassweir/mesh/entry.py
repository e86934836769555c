"""Requests of the callers on this VM and of its backend server."""

import random
from collections.abc import Callable

import attrs
from eliot import log_message

from eelgrassweir.admission.failures import FailureRate
from eelgrassweir.admission.throttle import OverloadThrottle
from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.metrics import Metrics
from eelgrassweir.membership.freshness import Freshness
from eelgrassweir.mesh.dispatch import Call, Dispatcher
from eelgrassweir.mesh.lending import Lending
from eelgrassweir.mesh.wire import Wire
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.calls import CallerRequest
from eelgrassweir.requests.refusal import Refusal
from eelgrassweir.routing.rules import RouteRule, RoutingConfig, TeamRule, pick_service

STEP = "entry"
ANSWERED = "request:answered"
# Urgency within the mesh; a call of a running request comes before any root
# request, since its parent's work is lost with it.
CHILD_PRIORITY = link_pb2.CRITICAL
# Numbers of teams and routes beyond this one are alike.
LAST_RANK = 15
RANKS = (LAST_RANK + 1) ** 2
# Time after which a refused request may get in.
RETRY_MS = {
    "config_missing": 500,
    "config_stale": 500,
    "draining": 50,
    "overloaded": 500,
}
# Refusals by the queues of targets, which end when fewer requests get in.
FULL_CODES = ("overloaded", "deadline_exceeded")
# Above this share of refused calls a failed run is taken for one of theirs.
REFUSED_CALLS_SHARE = 0.02
SERVER_ERROR = 500


@attrs.frozen
class Grant:
    """Hold the route and the team of a request that may go on."""

    route: RouteRule
    team: TeamRule | None


class EntryService:
    """Check, charge and dispatch requests."""

    def __init__(
        self,
        *,
        vm: str,
        service: str,
        clock: Clock,
        rng: random.Random,
        wire: Wire,
        config: Callable[[], RoutingConfig | None],
        freshness: Freshness,
        fresh_limit_ms: float,
        lending: Lending,
        dispatcher: Dispatcher,
        throttle: OverloadThrottle,
        refused_calls: FailureRate,
        metrics: Metrics,
        wants_line: Callable[[str], bool],
    ) -> None:
        self._vm = vm
        self._service = service
        self._clock = clock
        self._rng = rng
        self._wire = wire
        self._config = config
        self._freshness = freshness
        self._fresh_limit_ms = fresh_limit_ms
        self._lending = lending
        self._dispatcher = dispatcher
        self._throttle = throttle
        self._refused_calls = refused_calls
        self._metrics = metrics
        self._wants_line = wants_line
        self.in_flight_calls = 0
        # Set late in a planned stop: what comes now could not be finished.
        self.refuses_roots = False
        self.refuses_all = False

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        started_ms = self._clock.now_ms()
        self.in_flight_calls += 1
        try:
            return await self._answer(request, started_ms)
        finally:
            self.in_flight_calls -= 1
            self._metrics.latency.observe((self._clock.now_ms() - started_ms) / 1e3)

    async def _answer(self, request: HttpRequest, started_ms: float) -> HttpResponse:
        asked = self._wire.read_caller_request(request)
        config = self._config()
        if config is None:
            refusal = self._refuse("config_missing", "no configuration received yet")
            return self._refused(asked, refusal)
        if self.refuses_all or (self.refuses_roots and asked.key is not None):
            refusal = self._refuse("draining", "this VM is leaving")
            return self._refused(asked, refusal)
        grant = await self._check(config, asked, request)
        if isinstance(grant, Refusal):
            return self._refused(asked, grant)
        call = self._make_call(request, asked, grant, started_ms)
        if self._is_throttled(call, grant):
            if grant.team is not None:
                self._lending.give_back(grant.team)
            return self._refused(asked, self._refuse_throttled(grant.route))
        result = await self._dispatcher.send(call)
        self._record_room(call, grant, result)
        if isinstance(result, Refusal):
            if result.not_run and grant.team is not None:
                self._lending.give_back(grant.team)
            return self._refused(asked, result)
        self._metrics.answers.labels(
            grant.route.name, f"{result.status // 100}xx"
        ).inc()
        self._log_answer(call, grant, result, started_ms, config.version)
        return result

    async def _check(
        self, config: RoutingConfig, asked: CallerRequest, request: HttpRequest
    ) -> Grant | Refusal:
        route = config.match(asked.host, request.path)
        if route is None:
            return self._refuse("route_unknown", "no route matches")
        if asked.key is None:
            if route.is_open:
                return Grant(route, None)
            return self._refuse("key_missing", "this route needs a key")
        team = config.find_team(asked.key)
        if team is None:
            if route.is_open:
                return Grant(route, None)
            return self._refuse("key_unknown", "the key is not valid")
        if not self._freshness.is_fresh(self._clock.now_ms(), self._fresh_limit_ms):
            if route.is_open:
                return Grant(route, None)
            reason = "cut off from the store; the key may have been withdrawn"
            return self._refuse("config_stale", reason)
        if team.rate_per_s <= 0:
            return Grant(route, team)
        wait_ms = await self._lending.take(team)
        if wait_ms:
            reason = f"team {team.name} is above its rate"
            refusal = self._refuse("rate_exceeded", reason)
            return attrs.evolve(refusal, retry_after_ms=wait_ms)
        return Grant(route, team)

    def _is_throttled(self, call: Call, grant: Grant) -> bool:
        """Tell whether a new request would add to an overload below it."""
        if grant.team is None:
            return False
        rank = RANKS * call.context.priority + call.context.rank
        now_ms = self._clock.now_ms()
        return not self._throttle.try_admit(grant.route.name, rank, now_ms)

    def _refuse_throttled(self, route: RouteRule) -> Refusal:
        share = self._throttle.admitted_share(route.name)
        reason = f"calls below {route.name} find no room; {share:.0%} of requests go on"
        return self._refuse("overloaded", reason)

    def _record_room(
        self, call: Call, grant: Grant, result: HttpResponse | Refusal
    ) -> None:
        """Count a run or a call by whether it failed for lack of room."""
        now_ms = self._clock.now_ms()
        if grant.team is None:
            refused = has_found_no_room(call, result)
            self._refused_calls.record(failed=refused, now_ms=now_ms)
        elif isinstance(result, HttpResponse):
            failed = has_found_no_room(call, result)
            self._throttle.record(grant.route.name, failed=failed, now_ms=now_ms)

    def _log_answer(
        self,
        call: Call,
        grant: Grant,
        answer: HttpResponse,
        started_ms: float,
        config_version: int,
    ) -> None:
        if not self._wants_line(ANSWERED):
            return
        log_message(
            message_type=ANSWERED,
            request=call.context.request_id,
            route=grant.route.name,
            team=call.context.team,
            config_version=config_version,
            target=call.target,
            tries=len(call.tried),
            status=answer.status,
            duration_ms=round(self._clock.now_ms() - started_ms),
        )

    def _make_call(
        self,
        request: HttpRequest,
        asked: CallerRequest,
        grant: Grant,
        started_ms: float,
    ) -> Call:
        route, team = grant.route, grant.team
        limit_ms = float(route.timeout_ms)
        if asked.remaining_ms is not None:
            limit_ms = min(limit_ms, asked.remaining_ms)
        context = link_pb2.CallContext(
            request_id=asked.request_id,
            team=team.name if team else "",
            priority=_urgency(team),
            rank=_rank(route, team),
            idempotent=route.idempotent,
            service=pick_service(route, self._rng),
            caller_service=self._service,
        )
        return Call(
            request=HttpRequest(
                request.method, request.path, asked.headers, request.body
            ),
            context=context,
            deadline_ms=started_ms + limit_ms,
            attempts=route.attempts,
        )

    def _refuse(self, code: str, reason: str) -> Refusal:
        return Refusal(
            code=code,
            not_run=True,
            reason=reason,
            step=STEP,
            peer=self._vm,
            retry_after_ms=RETRY_MS.get(code, 0),
        )

    def _refused(self, asked: CallerRequest, refusal: Refusal) -> HttpResponse:
        self._metrics.refusals.labels(refusal.code).inc()
        log_message(
            message_type="request:refused",
            request=asked.request_id,
            code=refusal.code,
            not_run=refusal.not_run,
            reason=refusal.reason,
            step=refusal.step,
            peer=refusal.peer,
        )
        return self._wire.refusal_answer(refusal)


def has_found_no_room(call: Call, result: HttpResponse | Refusal) -> bool:
    """Tell whether a queue refused the call or one that it needed.

    Backend servers can refuse whatever the load; such calls have arrived
    there.
    """
    if isinstance(result, Refusal):
        return result.code in FULL_CODES and not call.arrivals
    is_failure = result.status >= SERVER_ERROR
    return is_failure and call.refused_calls_share > REFUSED_CALLS_SHARE


def _urgency(team: TeamRule | None) -> link_pb2.Priority.ValueType:
    """Return the priority of a request at its target."""
    if team is None:
        return CHILD_PRIORITY
    return link_pb2.NORMAL if team.priority <= 0 else link_pb2.BACKGROUND


def _rank(route: RouteRule, team: TeamRule | None) -> int:
    """Return the order of a request among those of its priority.

    The team's number goes before the route's; in both 0 is the most urgent.
    """
    of_team = team.priority if team is not None else 0
    parts = [min(max(number, 0), LAST_RANK) for number in (of_team, route.priority)]
    return (LAST_RANK - parts[0]) * (LAST_RANK + 1) + LAST_RANK - parts[1]
