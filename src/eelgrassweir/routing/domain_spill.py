"""Share of the requests to a service that stays in the own failure domain.

Load condition addressed: the own domain's targets of a service are too few for
its callers, while those of other domains have room.
"""

import math
import random

import attrs

from eelgrassweir.proto import link_pb2
from eelgrassweir.proto.control_pb2 import Member

Members = list[Member]

# Below this utilization of the own domain's targets every request stays.
COMFORTABLE_UTILIZATION = 0.75
# Spilling stops if the own domain's demand falls below this utilization.
STOP_UTILIZATION = 0.65
# A longer backlog says no more about the demand than this one.
MAX_UTILIZATION = 10.0
# A request that should stay leaves only a target that the picker finds fuller
# by this share of its limit than another one, although the reports show room:
# the target is paused or fails its calls.
STAY_MARGIN = 1.6
SPILL_MARGIN = 0.0
# Near 1 the steady-state wait is infinite; above this the backlog counts.
MAX_STEADY_UTILIZATION = 0.95
# A domain that spills stays fuller than the mean by this much, and spills only
# to targets that are less utilized than its own by half of it. Otherwise
# domains that are all short of capacity would send requests to each other.
OWN_EXCESS = 0.05
SMOOTHING_MS = 1_000.0
REPORT_MAX_AGE_MS = 2_000.0
# Wait that spilling has to save beyond the added latency, since traffic
# between domains is paid for. It is 1% of a short objective (500 ms).
COST_MS = 5.0
# Spilling stops if it saves less than this share of what it needs to start.
STOP_SAVING_SHARE = 0.5
# Daemons with the same view change their shares in small steps, so that the
# reports show the effect of one step before the next ones.
STEP_MS = 100.0
STEP_GAIN = 0.3
MAX_STEP = 0.1
MAX_STEPS = 10.0
# Share of the requests that always stays while a target of the domain is
# usable: only their replies show that the domain has room again.
MIN_STAY_SHARE = 0.1
# A target that fails more of its calls has no capacity to offer.
FAILING_PERCENT = 25
ROUND_TRIP_GAIN = 0.1
MAX_SERVICES = 256


@attrs.define
class _Report:
    """Smoothed load of one target."""

    is_local: bool
    utilization: float
    limit_calls: int
    is_failing: bool
    reported_ms: float


@attrs.frozen
class _DomainLoad:
    """Load of the usable targets of the own domain or of the others.

    Without recent reports, ``is_known`` is False and the utilization 0.
    """

    targets: int
    limit_calls: float = 0.0
    utilization: float = 0.0
    is_known: bool = False


@attrs.define
class _ServiceState:
    """Stay share of one service and the measurements behind it."""

    stepped_ms: float
    reports: dict[str, _Report] = attrs.field(factory=dict)
    run_ms: float = 0.0
    run_recorded_ms: float = 0.0
    local_round_trip_ms: float | None = None
    remote_round_trip_ms: float | None = None
    share: float = 1.0
    # Smoothed like the utilization, which is the result of these shares.
    smoothed_share: float = 1.0
    is_spilling: bool = False
    is_known: bool = False
    stay_margin: float = STAY_MARGIN
    # Targets of other domains get requests while they are below this.
    spill_below_utilization: float = MAX_UTILIZATION

    def added_ms(self) -> float:
        """Return by how much the round trip to another domain is longer."""
        if self.remote_round_trip_ms is None:
            return 0.0
        return max(0.0, self.remote_round_trip_ms - (self.local_round_trip_ms or 0.0))


class DomainSpill:
    """Decide for each request to a service whether it stays in its domain.

    The dispatcher feeds it with the load of each reply.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._services: dict[str, _ServiceState] = {}

    def record_load(
        self,
        service: str,
        vm: str,
        load: link_pb2.Load,
        *,
        is_local: bool,
        now_ms: float,
    ) -> None:
        """Record the load of a reply of a target."""
        state = self._service(service, now_ms)
        if not load.limit or load.draining:
            state.reports.pop(vm, None)
            return
        utilization = (load.in_flight + load.queued) / load.limit
        utilization = min(MAX_UTILIZATION, utilization)
        report = state.reports.get(vm)
        if report is not None:
            weight = _smoothing_weight(now_ms - report.reported_ms)
            utilization = report.utilization + weight * (
                utilization - report.utilization
            )
        state.reports[vm] = _Report(
            is_local=is_local,
            utilization=utilization,
            limit_calls=load.limit,
            is_failing=load.failing_percent > FAILING_PERCENT,
            reported_ms=now_ms,
        )

    def record_run(self, service: str, run_ms: float, now_ms: float) -> None:
        """Record how long a target took for a response, without its queue."""
        state = self._service(service, now_ms)
        weight = _smoothing_weight(now_ms - state.run_recorded_ms)
        state.run_ms += weight * (max(0.0, run_ms) - state.run_ms)
        state.run_recorded_ms = now_ms

    def record_round_trip(
        self, service: str, round_trip_ms: float, *, is_local: bool, now_ms: float
    ) -> None:
        """Record the round trip of the link to a target."""
        state = self._service(service, now_ms)
        if is_local:
            state.local_round_trip_ms = _average(
                state.local_round_trip_ms, round_trip_ms
            )
        else:
            state.remote_round_trip_ms = _average(
                state.remote_round_trip_ms, round_trip_ms
            )

    def choose_domain(
        self, service: str, local: Members, remote: Members, now_ms: float
    ) -> tuple[float, Members] | None:
        """Decide whether a request stays, and where it goes otherwise.

        Return the margin by which a target of the own domain may be fuller
        than another, and the targets of other domains to compare with. Return
        None without reports on which to decide.

        :param local: usable targets of the own domain.
        :param remote: usable targets of the other domains.
        """
        state = self._service(service, now_ms)
        if not local:
            state.share = state.smoothed_share = 0.0
            state.is_spilling = True
            state.spill_below_utilization = MAX_UTILIZATION
        if now_ms - state.stepped_ms >= STEP_MS:
            _drop_old_reports(state, now_ms)
            if local:
                _step(state, len(local), len(remote), now_ms)
            state.stepped_ms = now_ms
        if state.share < 1.0 and self._rng.random() >= state.share:
            return SPILL_MARGIN, _find_less_utilized(state, remote)
        return (state.stay_margin, remote) if state.is_known else None

    def state(self) -> dict[str, float]:
        """Return the stay share of each service, for the dump."""
        return {name: state.share for name, state in self._services.items()}

    def _service(self, service: str, now_ms: float) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            if len(self._services) >= MAX_SERVICES:
                self._services.pop(next(iter(self._services)))
            state = self._services[service] = _ServiceState(stepped_ms=now_ms - STEP_MS)
        return state


def estimate_wait_ms(utilization: float, limit_calls: float, run_ms: float) -> float:
    """Return the mean wait in the queue of a target.

    Without a backlog this is Sakasegawa's approximation for M/M/c.
    """
    steady = min(utilization, MAX_STEADY_UTILIZATION)
    backlog_ms = run_ms * (utilization - steady)
    exponent = math.sqrt(2.0 * (limit_calls + 1.0)) - 1.0
    steady_ms = run_ms * math.pow(steady, exponent) / (limit_calls * (1.0 - steady))
    return steady_ms + backlog_ms


def _find_less_utilized(state: _ServiceState, remote: Members) -> Members:
    """Return the targets that have more room than the own domain.

    A target without a report may have room.
    """
    reports = state.reports
    found = [
        member
        for member in remote
        if member.vm not in reports
        or reports[member.vm].utilization < state.spill_below_utilization
    ]
    return found or remote


def _step(
    state: _ServiceState, local_targets: int, remote_targets: int, now_ms: float
) -> None:
    """Move the share towards the one that the recent reports call for."""
    elapsed_ms = now_ms - state.stepped_ms
    local = _summarize(state, local_targets, is_local=True)
    # Without a report the utilization starts anew, and so does this average.
    weight = _smoothing_weight(elapsed_ms) if local.is_known else 1.0
    state.smoothed_share += weight * (state.share - state.smoothed_share)
    remote = _summarize(state, remote_targets, is_local=False)
    state.is_known = local.is_known or not local.targets
    state.stay_margin = STAY_MARGIN + max(0.0, local.utilization - 1.0)
    target_share = _update_target_share(state, local, remote)
    step = STEP_GAIN * (target_share - state.share)
    if target_share >= 1.0:
        step = MAX_STEP
    # Steps are taken with requests; a pause between these allows a larger one.
    limit = MAX_STEP * min(MAX_STEPS, max(1.0, elapsed_ms / STEP_MS))
    state.share = min(1.0, state.share + min(limit, max(-limit, step)))


def _update_target_share(
    state: _ServiceState, local: _DomainLoad, remote: _DomainLoad
) -> float:
    """Decide whether to spill; return the share to move to."""
    if not local.targets and remote.targets:
        state.share = MIN_STAY_SHARE
        state.is_spilling = True
        state.spill_below_utilization = MAX_UTILIZATION
        return MIN_STAY_SHARE
    if not local.is_known or not remote.targets:
        state.is_spilling = False
        return 1.0
    demand = local.utilization / max(MIN_STAY_SHARE, state.smoothed_share)
    state.is_spilling = _is_worthwhile(state, demand, local, remote)
    if not state.is_spilling:
        return 1.0
    state.spill_below_utilization = local.utilization - OWN_EXCESS / 2.0
    share = _equalizing_share(demand, local, remote)
    if local.utilization < STOP_UTILIZATION:
        # There is room now. The demand was overestimated, as more requests
        # stayed than the share says: the own targets were the emptier ones.
        room = COMFORTABLE_UTILIZATION / max(MIN_STAY_SHARE, local.utilization)
        share = max(share, state.share * room)
    return min(1.0, max(MIN_STAY_SHARE, share))


def _equalizing_share(demand: float, local: _DomainLoad, remote: _DomainLoad) -> float:
    """Return the share at which the domains are about equally utilized.

    Spilling does not change the mean utilization of all targets, so all
    daemons aim at the same value. The own domain stays at the comfortable
    utilization if the mean is lower.
    """
    local_limit_calls = local.limit_calls * local.targets
    remote_limit_calls = (remote.limit_calls or local.limit_calls) * remote.targets
    mean = (
        local.utilization * local_limit_calls + remote.utilization * remote_limit_calls
    ) / (local_limit_calls + remote_limit_calls)
    wanted = max(mean + OWN_EXCESS, COMFORTABLE_UTILIZATION)
    return wanted / max(demand, wanted)


def _is_worthwhile(
    state: _ServiceState, demand: float, local: _DomainLoad, remote: _DomainLoad
) -> bool:
    """Return whether spilling saves more wait than it costs, with hysteresis.

    :param demand: utilization of the own domain if nothing left it.
    """
    floor = STOP_UTILIZATION if state.is_spilling else COMFORTABLE_UTILIZATION
    if demand < floor:
        return False
    saved_ms = estimate_wait_ms(demand, local.limit_calls, state.run_ms)
    saved_ms -= estimate_wait_ms(remote.utilization, local.limit_calls, state.run_ms)
    needed_ms = state.added_ms() + COST_MS
    if state.is_spilling:
        needed_ms *= STOP_SAVING_SHARE
    return saved_ms > needed_ms


def _summarize(state: _ServiceState, targets: int, *, is_local: bool) -> _DomainLoad:
    reports = [
        report for report in state.reports.values() if report.is_local == is_local
    ]
    healthy = [report for report in reports if not report.is_failing]
    targets = max(0, targets - (len(reports) - len(healthy)))
    if not healthy:
        return _DomainLoad(targets)
    limit_calls = sum(report.limit_calls for report in healthy)
    used_calls = sum(report.utilization * report.limit_calls for report in healthy)
    return _DomainLoad(
        targets=targets,
        limit_calls=limit_calls / len(healthy),
        utilization=used_calls / limit_calls,
        is_known=True,
    )


def _drop_old_reports(state: _ServiceState, now_ms: float) -> None:
    oldest_ms = now_ms - REPORT_MAX_AGE_MS
    old = [vm for vm, report in state.reports.items() if report.reported_ms < oldest_ms]
    for vm in old:
        del state.reports[vm]


def _smoothing_weight(elapsed_ms: float) -> float:
    return 1.0 - math.exp(-max(0.0, elapsed_ms) / SMOOTHING_MS)


def _average(average: float | None, sample: float) -> float:
    if average is None:
        return sample
    return average + ROUND_TRIP_GAIN * (sample - average)
