"""Check and admit requests from the callers and the backend server of this VM.

A request with a key is treated as a root request of a caller, one without a
key as a call that the backend server makes while it runs a request.
"""

import math
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
from eelgrassweir.mesh.adapter import PlatformAdapter
from eelgrassweir.mesh.call_trees import CallTrees, describe_shortage
from eelgrassweir.mesh.dispatch import Call, Dispatcher
from eelgrassweir.mesh.lending import TokenLending
from eelgrassweir.mesh.log_output import CanLog, is_failed
from eelgrassweir.mesh.run_durations import RunDurations
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.calls import CallerRequest
from eelgrassweir.requests.refusal import Refusal
from eelgrassweir.routing.rules import RouteRule, RoutingConfig, TeamRule, pick_service

STEP = "entry"
ANSWERED_MESSAGE_TYPE = "request:answered"
REFUSED_MESSAGE_TYPE = "request:refused"
UNANSWERED_MESSAGE_TYPE = "request:unanswered"
# A call of a running request goes before any root request, because the work
# done for its parent is lost if it is refused.
CHILD_PRIORITY = link_pb2.CRITICAL
# Larger priority numbers of teams and routes are treated as this one.
MAX_PRIORITY_NUMBER = 15
RANK_COUNT = (MAX_PRIORITY_NUMBER + 1) ** 2
# Time after which a refused request may be accepted, by refusal code.
RETRY_AFTER_MS = {
    "config_missing": 500,
    "config_stale": 500,
    "draining": 50,
    "overloaded": 500,
}
# Codes of refusals by the queues of targets. These refusals end when fewer
# requests are admitted.
CAPACITY_REFUSAL_CODES = ("overloaded", "deadline_exceeded")
# A failed run is attributed to refused calls if more than this share of the
# calls below it was refused.
REFUSED_CALLS_SHARE = 0.02
SERVER_ERROR = 500
# A request may take longer than recent ones, and one that is cut off at the
# end of a planned stop gets no answer of its run.
STOP_ESTIMATE_FACTOR = 1.1


@attrs.frozen
class AuthorizedRequest:
    """Route and team of a request that passed the checks.

    ``team`` is None on an open route if there is no key, or none that is known
    to be valid.
    """

    route: RouteRule
    team: TeamRule | None


class EntryService:
    """Authorize requests, charge their teams and dispatch them to targets.

    Requests that need a key are refused if the last proof that the
    configuration is the newest is older than ``max_staleness_ms``, because the
    key may have been withdrawn since. ``refused_calls`` records the share of
    calls of the local backend server that are refused for lack of capacity.
    ``trees`` decides on roots by the room for their calls; None if that is not
    enabled.
    """

    def __init__(
        self,
        *,
        vm: str,
        service: str,
        clock: Clock,
        rng: random.Random,
        adapter: PlatformAdapter,
        get_config: Callable[[], RoutingConfig | None],
        freshness: Freshness,
        max_staleness_ms: float,
        lending: TokenLending,
        dispatcher: Dispatcher,
        throttle: OverloadThrottle,
        failed_calls: FailureRate,
        refused_calls: FailureRate,
        metrics: Metrics,
        can_log: CanLog,
        trees: CallTrees | None = None,
    ) -> None:
        self._vm = vm
        self._service = service
        self._clock = clock
        self._rng = rng
        self._adapter = adapter
        self._get_config = get_config
        self._freshness = freshness
        self._max_staleness_ms = max_staleness_ms
        self._lending = lending
        self._dispatcher = dispatcher
        self._throttle = throttle
        self._failed_calls = failed_calls
        self._refused_calls = refused_calls
        self._metrics = metrics
        self._can_log = can_log
        self._trees = trees
        self.in_flight_calls = 0
        self.durations = RunDurations()
        # Whether the routes of roots have different priorities.
        self.has_less_urgent_roots = False
        # Set in a planned stop: when the requests in progress are failed.
        self.stop_end_ms = math.inf
        # Set late in a planned stop, when new requests could not be finished.
        self.is_refusing_roots = False
        self.is_refusing_all = False

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        started_ms = self._clock.now_ms() - request.waited_ms
        self.in_flight_calls += 1
        try:
            return await self._respond(request, started_ms)
        finally:
            self.in_flight_calls -= 1
            self._metrics.latency.observe((self._clock.now_ms() - started_ms) / 1e3)

    async def _respond(self, request: HttpRequest, started_ms: float) -> HttpResponse:
        caller_request = self._adapter.read_caller_request(request)
        config = self._get_config()
        if config is None:
            refusal = self._make_refusal(
                "config_missing", "no configuration received yet"
            )
            return self._refuse(caller_request, refusal)
        if self.is_refusing_all or (
            self.is_refusing_roots and caller_request.key is not None
        ):
            refusal = self._make_refusal("draining", "this VM is leaving")
            return self._refuse(caller_request, refusal)
        if caller_request.key is not None and request.has_waited_too_long:
            reason = f"this daemon is {request.waited_ms:.0f} ms behind"
            refusal = self._make_refusal("overloaded", reason)
            return self._refuse(caller_request, refusal)
        authorized = await self._authorize(config, caller_request, request)
        if isinstance(authorized, Refusal):
            return self._refuse(caller_request, authorized)
        call = self._make_call(request, caller_request, authorized, started_ms)
        result: HttpResponse | Refusal | None = self._refuse_unsent(call, authorized)
        if result is None:
            result = await self._dispatcher.send(call)
            self._record_capacity(call, authorized, result)
        if isinstance(result, Refusal):
            if result.not_run and authorized.team is not None:
                self._lending.return_token(authorized.team)
            return self._refuse(caller_request, result)
        self._metrics.answers.labels(
            authorized.route.name, f"{result.status // 100}xx"
        ).inc()
        duration_ms = self._clock.now_ms() - started_ms
        self.durations.record(authorized.route.name, duration_ms)
        self._log_response(call, authorized, result, started_ms, config.version)
        return result

    def record_unanswered(self, request: HttpRequest, reason: str) -> None:
        """Count and log a request whose connection ended unanswered."""
        self._metrics.unanswered.inc()
        if not self._can_log(UNANSWERED_MESSAGE_TYPE):
            return
        caller_request = self._adapter.read_caller_request(request)
        log_message(
            message_type=UNANSWERED_MESSAGE_TYPE,
            request=caller_request.request_id,
            reason=reason,
            peer=request.peer,
            is_stopping=not math.isinf(self.stop_end_ms),
        )

    def _refuse_unsent(
        self, call: Call, authorized: AuthorizedRequest
    ) -> Refusal | None:
        """Return a refusal if the request should not be sent to a target."""
        left_ms = call.deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            return self._make_refusal("deadline_exceeded", "no time left to send it")
        if self._would_outlast_stop(authorized.route, left_ms):
            reason = "this VM leaves before the request could end"
            return self._make_refusal("draining", reason)
        refusal = self._refuse_tree(call, authorized)
        if refusal is None and self._is_throttled(call, authorized):
            return self._make_throttle_refusal(authorized.route)
        return refusal

    def _refuse_tree(self, call: Call, authorized: AuthorizedRequest) -> Refusal | None:
        """Return a refusal if there is no room for the calls below a root."""
        if self._trees is None or authorized.team is None:
            return None
        route = authorized.route
        rank = _compute_rank(route, authorized.team)
        shortage = self._trees.try_admit(call.context, rank)
        if shortage is None:
            return None
        self._metrics.tree_refusals.labels(route.name, shortage.room.service).inc()
        refusal = self._make_refusal(
            "overloaded", describe_shortage(shortage, route.name)
        )
        # Jitter, so that callers do not retry all at once.
        retry_after_ms = int(refusal.retry_after_ms * self._rng.uniform(0.5, 1.5))
        return attrs.evolve(refusal, retry_after_ms=retry_after_ms)

    def _has_tree_basis(self, route: RouteRule) -> bool:
        return self._trees is not None and self._trees.has_basis(route.name)

    def _would_outlast_stop(self, route: RouteRule, limit_ms: float) -> bool:
        """Return whether a planned stop would cut the request off.

        If nothing is known, one that comes late may take all of its time.
        """
        if math.isinf(self.stop_end_ms):
            return False
        left_ms = self.stop_end_ms - self._clock.now_ms()
        estimate_ms = self.durations.estimate_ms(route.name)
        if estimate_ms is None:
            estimate_ms = limit_ms if self.is_refusing_roots else 0.0
        return min(STOP_ESTIMATE_FACTOR * estimate_ms, limit_ms) > left_ms

    async def _authorize(
        self, config: RoutingConfig, caller_request: CallerRequest, request: HttpRequest
    ) -> AuthorizedRequest | Refusal:
        route = config.match(caller_request.host, request.path)
        if route is None:
            return self._make_refusal("route_unknown", "no route matches")
        if caller_request.key is None:
            if route.is_open:
                return AuthorizedRequest(route, None)
            return self._make_refusal("key_missing", "this route needs a key")
        team = config.find_team(caller_request.key)
        if team is None:
            if route.is_open:
                return AuthorizedRequest(route, None)
            return self._make_refusal("key_unknown", "the key is not valid")
        if not self._freshness.is_fresh(self._clock.now_ms(), self._max_staleness_ms):
            if route.is_open:
                return AuthorizedRequest(route, None)
            reason = "cut off from the store; the key may have been withdrawn"
            return self._make_refusal("config_stale", reason)
        if team.rate_per_s <= 0:
            return AuthorizedRequest(route, team)
        wait_ms = await self._lending.take_token(team)
        if wait_ms:
            reason = f"team {team.name} is above its rate"
            refusal = self._make_refusal("rate_exceeded", reason)
            return attrs.evolve(refusal, retry_after_ms=wait_ms)
        return AuthorizedRequest(route, team)

    def _is_throttled(self, call: Call, authorized: AuthorizedRequest) -> bool:
        """Return whether a root request is shed because of an overload.

        The overload is one of the services that its target calls.
        """
        if authorized.team is None or self._has_tree_basis(authorized.route):
            return False
        rank = RANK_COUNT * call.context.priority + call.context.rank
        now_ms = self._clock.now_ms()
        return not self._throttle.try_admit(authorized.route.name, rank, now_ms)

    def _make_throttle_refusal(self, route: RouteRule) -> Refusal:
        share = self._throttle.admitted_share(route.name)
        reason = f"calls below {route.name} find no room; {share:.0%} of requests go on"
        return self._make_refusal("overloaded", reason)

    def _record_capacity(
        self, call: Call, authorized: AuthorizedRequest, result: HttpResponse | Refusal
    ) -> None:
        """Record whether a request or call failed for lack of capacity."""
        now_ms = self._clock.now_ms()
        self._record_cost(call, authorized)
        if authorized.team is None:
            refused = is_capacity_failure(call, result)
            self._refused_calls.record(failed=refused, now_ms=now_ms)
            failed = isinstance(result, Refusal) or result.status >= SERVER_ERROR
            self._failed_calls.record(failed=failed, now_ms=now_ms)
        elif isinstance(result, HttpResponse) and not self._has_tree_basis(
            authorized.route
        ):
            failed = is_capacity_failure(call, result)
            self._throttle.record(authorized.route.name, failed=failed, now_ms=now_ms)

    def _record_cost(self, call: Call, authorized: AuthorizedRequest) -> None:
        """Learn from a reply what the call tree of the request costs."""
        if self._trees is None or call.last_load is None:
            return
        if authorized.team is None:
            self._trees.record_call(call.last_load)
        else:
            self._trees.record_root(authorized.route.name, call.last_load)

    def _log_response(
        self,
        call: Call,
        authorized: AuthorizedRequest,
        response: HttpResponse,
        started_ms: float,
        config_version: int,
    ) -> None:
        if not self._can_log(
            ANSWERED_MESSAGE_TYPE, is_failure=is_failed(response.status)
        ):
            return
        log_message(
            message_type=ANSWERED_MESSAGE_TYPE,
            request=call.context.request_id,
            route=authorized.route.name,
            team=call.context.team,
            config_version=config_version,
            target=call.target_vm,
            tries=len(call.tried_vms),
            status=response.status,
            duration_ms=round(self._clock.now_ms() - started_ms),
        )

    def _make_call(
        self,
        request: HttpRequest,
        caller_request: CallerRequest,
        authorized: AuthorizedRequest,
        started_ms: float,
    ) -> Call:
        route, team = authorized.route, authorized.team
        limit_ms = _compute_limit_ms(route, caller_request)
        context = link_pb2.CallContext(
            request_id=caller_request.request_id,
            team=team.name if team else "",
            priority=self._choose_priority(route, team),
            rank=_compute_rank(route, team),
            route=route.name if self._trees is not None else "",
            idempotent=route.idempotent,
            service=pick_service(route, self._rng),
            caller_service=self._service,
        )
        return Call(
            request=HttpRequest(
                request.method, request.path, caller_request.headers, request.body
            ),
            context=context,
            deadline_ms=started_ms + limit_ms,
            max_backend_attempts=route.attempts,
        )

    def _choose_priority(
        self, route: RouteRule, team: TeamRule | None
    ) -> link_pb2.Priority.ValueType:
        """Return the priority of a request in the queue of its target.

        The most urgent roots do not wait behind calls of less urgent ones. If
        all are equally urgent, calls stay ahead of them.
        """
        is_urgent = team is not None and team.priority <= 0 and route.priority <= 0
        if is_urgent and self._trees is not None and self.has_less_urgent_roots:
            return CHILD_PRIORITY
        return _choose_priority(team)

    def _make_refusal(self, code: str, reason: str) -> Refusal:
        return Refusal(
            code=code,
            not_run=True,
            reason=reason,
            step=STEP,
            peer=self._vm,
            retry_after_ms=RETRY_AFTER_MS.get(code, 0),
        )

    def _refuse(self, caller_request: CallerRequest, refusal: Refusal) -> HttpResponse:
        self._metrics.refusals.labels(refusal.code).inc()
        if self._can_log(REFUSED_MESSAGE_TYPE):
            log_message(
                message_type=REFUSED_MESSAGE_TYPE,
                request=caller_request.request_id,
                code=refusal.code,
                not_run=refusal.not_run,
                reason=refusal.reason,
                step=refusal.step,
                peer=refusal.peer,
            )
        return self._adapter.make_refusal_response(refusal)


def is_capacity_failure(call: Call, result: HttpResponse | Refusal) -> bool:
    """Return whether a queue refused the call or a call made below it.

    A refusal after the call reached a backend server does not count, because
    backend servers may refuse at any load.
    """
    if isinstance(result, Refusal):
        return result.code in CAPACITY_REFUSAL_CODES and not call.backend_attempts
    is_failure = result.status >= SERVER_ERROR
    return is_failure and call.refused_calls_share > REFUSED_CALLS_SHARE


def _compute_limit_ms(route: RouteRule, caller_request: CallerRequest) -> float:
    """Return how long the request may take from its arrival on."""
    limit_ms = float(route.timeout_ms)
    if caller_request.remaining_ms is None:
        return limit_ms
    return min(limit_ms, caller_request.remaining_ms)


def _choose_priority(team: TeamRule | None) -> link_pb2.Priority.ValueType:
    """Return the priority of a request in the queue of its target."""
    if team is None:
        return CHILD_PRIORITY
    return link_pb2.NORMAL if team.priority <= 0 else link_pb2.BACKGROUND


def _compute_rank(route: RouteRule, team: TeamRule | None) -> int:
    """Return the rank of a request among those of its priority.

    A higher rank goes first. The priority number of the team counts before
    that of the route; 0 is the most urgent in both.
    """
    team_priority = team.priority if team is not None else 0
    priority_numbers = [
        min(max(number, 0), MAX_PRIORITY_NUMBER)
        for number in (team_priority, route.priority)
    ]
    return (
        (MAX_PRIORITY_NUMBER - priority_numbers[0]) * (MAX_PRIORITY_NUMBER + 1)
        + MAX_PRIORITY_NUMBER
        - priority_numbers[1]
    )
