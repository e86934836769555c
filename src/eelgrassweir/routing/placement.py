"""Speed-aware choice between the targets of a service.

Load condition addressed: targets of one service that differ in speed, pause,
or become slow, seen by many entries that each send few calls to each target.
"""

import random
from collections.abc import Callable, Sequence

import attrs

from eelgrassweir.proto import control_pb2, link_pb2
from eelgrassweir.routing.completion import (
    SLOW_TARGET,
    ServiceMeans,
    compute_means,
    estimate_slowness,
    estimate_utilization,
    expected_completion,
)
from eelgrassweir.routing.pauses import (
    AnswerTimes,
    hold_pause,
    is_paused,
    probe_share,
)
from eelgrassweir.routing.ramp_up import ramp_share
from eelgrassweir.routing.target_view import TargetView, apply_report, make_view

# The means of a service are computed from its targets at most this often.
MEANS_INTERVAL_MS = 100.0
EVICTION_AGE_MS = 60_000.0
# Draws of one candidate; the last one is taken whatever its weight.
MAX_DRAWS = 4
# Assumed for a target that has reported no limit and announced no slots.
DEFAULT_LIMIT_CALLS = 16
# A paused target is chosen only over another paused one.
PAUSED_COMPLETION = 1_000.0


@attrs.define
class _ServiceView:
    views: dict[str, TargetView] = attrs.field(factory=dict)
    means: ServiceMeans = attrs.field(factory=ServiceMeans)
    means_ms: float = float("-inf")
    answer_times: AnswerTimes = attrs.field(factory=AnswerTimes)


@attrs.frozen
class _Candidate:
    member: control_pb2.Member
    weight: float
    completion: float
    is_probe: bool


class SpeedAwarePlacement:
    """Choose the target that is expected to complete a call first.

    Two candidates are drawn, faster targets more often, and compared. Paused
    and very slow targets get probe traffic only.
    """

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._services: dict[str, _ServiceView] = {}
        self._service_of: dict[str, _ServiceView] = {}
        self._last_call = 0

    def choose(
        self,
        members: Sequence[control_pb2.Member],
        failing_load: Callable[[str, float], float],
        now_ms: float,
    ) -> control_pb2.Member | None:
        """Return one of the targets of a service, None without reports.

        ``failing_load`` returns the load that stands for failures of a VM.
        """
        service = self._refresh(members, now_ms)
        if len(members) == 1:
            self._get_view(service, members[0], now_ms)
            return members[0]
        if not service.means.service_ms:
            return None
        first = self._draw(service, members, None, failing_load, now_ms)
        if first.is_probe:
            return first.member
        second = self._draw(service, members, first.member, failing_load, now_ms)
        if second.is_probe or second.completion < first.completion:
            return second.member
        return first.member

    def is_paused(self, member: control_pb2.Member, now_ms: float) -> bool:
        """Return whether the target is taken to be paused."""
        service = self._service_of.get(member.vm)
        view = service.views.get(member.vm) if service else None
        if service is None or view is None:
            return False
        return is_paused(view, service.answer_times.late_ms(), now_ms)

    def record_start(self, vm: str, now_ms: float) -> int:
        """Record a call to the target and return its number."""
        self._last_call += 1
        view = self._find(vm)
        if view is not None:
            view.used_ms = now_ms
            view.starts_ms[self._last_call] = now_ms
        return self._last_call

    def record_response(self, vm: str, call: int, now_ms: float) -> None:
        """Record the response of a backend server."""
        service, view = self._service_of.get(vm), self._find(vm)
        if service is None or view is None:
            return
        if is_paused(view, service.answer_times.late_ms(), now_ms):
            view.returned_ms = now_ms
        view.answered_ms = now_ms
        view.paused_until_ms = 0.0
        started_ms = view.starts_ms.pop(call, None)
        if started_ms is not None:
            service.answer_times.record(now_ms - started_ms)

    def record_end(self, vm: str, call: int, now_ms: float) -> None:
        """Record the end of a call, whatever its outcome."""
        service, view = self._service_of.get(vm), self._find(vm)
        if service is None or view is None:
            return
        started_ms = view.starts_ms.pop(call, None)
        if started_ms is not None:
            hold_pause(view, started_ms, service.answer_times.late_ms(), now_ms)

    def record_load(self, vm: str, load: link_pb2.Load, now_ms: float) -> None:
        """Record the load of a reply."""
        view = self._find(vm)
        if view is not None:
            apply_report(view, load, now_ms)

    def record_failure(self, vm: str) -> None:
        """Forget a target whose link failed; it may be replaced."""
        service = self._service_of.pop(vm, None)
        if service is not None:
            service.views.pop(vm, None)

    def state(self, now_ms: float) -> dict[str, object]:
        """Return pauses and speeds by service, for the state dump."""
        return {
            name: {
                "mean_service_ms": round(service.means.service_ms),
                "late_ms": service.answer_times.late_ms(),
                "paused": [
                    vm
                    for vm, view in service.views.items()
                    if is_paused(view, service.answer_times.late_ms(), now_ms)
                ],
                "slowness": {
                    vm: round(estimate_slowness(view, service.means, now_ms), 2)
                    for vm, view in service.views.items()
                },
            }
            for name, service in self._services.items()
        }

    def _find(self, vm: str) -> TargetView | None:
        service = self._service_of.get(vm)
        return service.views.get(vm) if service is not None else None

    def _refresh(
        self, members: Sequence[control_pb2.Member], now_ms: float
    ) -> _ServiceView:
        """Return the service of the targets, with recent means."""
        name = members[0].service
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _ServiceView()
        if now_ms - service.means_ms >= MEANS_INTERVAL_MS:
            for member in members:
                self._get_view(service, member, now_ms).used_ms = now_ms
            self._evict_unused(service, now_ms)
            service.means = compute_means(service.views.values(), now_ms)
            service.means_ms = now_ms
        return service

    def _evict_unused(self, service: _ServiceView, now_ms: float) -> None:
        oldest_ms = now_ms - EVICTION_AGE_MS
        unused = [vm for vm, view in service.views.items() if view.used_ms < oldest_ms]
        for vm in unused:
            if not service.views[vm].starts_ms:
                del service.views[vm], self._service_of[vm]

    def _get_view(
        self, service: _ServiceView, member: control_pb2.Member, now_ms: float
    ) -> TargetView:
        view = service.views.get(member.vm)
        if view is None or view.incarnation != member.incarnation:
            self.record_failure(member.vm)
            view = service.views[member.vm] = make_view(member.incarnation, now_ms)
            self._service_of[member.vm] = service
        return view

    def _draw(
        self,
        service: _ServiceView,
        members: Sequence[control_pb2.Member],
        excluded: control_pb2.Member | None,
        failing_load: Callable[[str, float], float],
        now_ms: float,
    ) -> _Candidate:
        """Draw a target with a probability in proportion to its weight."""
        last: _Candidate | None = None
        for _ in range(MAX_DRAWS):
            member = members[int(self._random.random() * len(members))]
            if member is excluded:
                continue
            last = self._assess(service, member, failing_load, now_ms)
            if last.is_probe or self._random.random() < last.weight:
                return last
        if last is not None:
            return last
        others = [member for member in members if member is not excluded]
        member = others[int(self._random.random() * len(others))]
        return self._assess(service, member, failing_load, now_ms)

    def _assess(
        self,
        service: _ServiceView,
        member: control_pb2.Member,
        failing_load: Callable[[str, float], float],
        now_ms: float,
    ) -> _Candidate:
        view = self._get_view(service, member, now_ms)
        slowness = estimate_slowness(view, service.means, now_ms)
        paused = is_paused(view, service.answer_times.late_ms(), now_ms)
        limit_calls = view.limit_calls or member.slots or DEFAULT_LIMIT_CALLS
        utilization = estimate_utilization(view, service.means, limit_calls, now_ms)
        utilization += failing_load(member.vm, now_ms)
        completion = expected_completion(slowness, utilization)
        is_probe = (
            paused or slowness > SLOW_TARGET
        ) and self._random.random() < probe_share(service.means)
        return _Candidate(
            member=member,
            weight=0.0 if paused else ramp_share(view.returned_ms, now_ms) / slowness,
            completion=completion + PAUSED_COMPLETION * paused,
            is_probe=is_probe,
        )
