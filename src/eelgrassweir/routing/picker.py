"""Load balancing: choice of the target of a call."""

import math
import random
from collections.abc import Callable, Sequence

import attrs

from eelgrassweir.proto import control_pb2, link_pb2
from eelgrassweir.routing.placement import SpeedAwarePlacement

Members = list[control_pb2.Member]
DomainChoice = Callable[[str, Members, Members, float], tuple[float, Members] | None]

READY = control_pb2.READY
# A load report is outdated about a second after it was made.
LOAD_HALF_LIFE_MS = 500.0
# Assumed for a target that has reported no limit and announced no slots.
DEFAULT_LIMIT_CALLS = 16
# A target of the own failure domain is preferred until its load, as a share of
# its limit, is this much higher: a call to another domain costs latency, not
# capacity.
OWN_DOMAIN_MARGIN = 0.25
# A target's load is increased by this factor times the share of calls that it
# fails above the threshold, so that it is chosen only when the others have far
# more load. Shares below the threshold are random variation.
FAILING_WEIGHT = 3.0
FAILING_SHARE_THRESHOLD = 0.06
FAILING_HALF_LIFE_MS = 1_000.0
MIN_EJECTION_MS = 250.0
MAX_EJECTION_MS = 8_000.0
DRAINING_EJECTION_MS = 2_000.0
# A probe call that never ends must not keep its target ejected forever.
PROBE_TIMEOUT_MS = 5_000.0
EVICTION_AGE_MS = 60_000.0
EVICTION_MIN_TARGETS = 1_000
# A paused target counts as full, so that those of other domains are preferred.
PAUSED_LOAD = 1.0


@attrs.define
class _TargetState:
    in_flight_calls: int = 0
    reported_calls: float = 0.0
    limit_calls: int = 0
    reported_ms: float = 0.0
    failing_share: float = 0.0
    failures: int = 0
    ejected_until_ms: float = 0.0
    probe_until_ms: float = 0.0

    def unavailable_until_ms(self) -> float:
        return max(self.ejected_until_ms, self.probe_until_ms)


class TargetPicker:
    """Choose the less loaded of two random targets, own domain first.

    A target whose link fails is ejected, for longer with each failure, and
    then probed with a single call. With a ``placement``, the choice between
    two targets also takes their speed and pauses into account.

    ``choose_domain`` is called with a service, its usable targets of the own
    domain and of others, and the time. It returns the margin of the own domain
    for this request and which of the others are compared, or None if
    ``own_domain_margin`` is to decide.
    """

    def __init__(
        self,
        random: random.Random,
        *,
        own_domain_margin: float = OWN_DOMAIN_MARGIN,
        choose_domain: DomainChoice | None = None,
        placement: SpeedAwarePlacement | None = None,
    ) -> None:
        self._random = random
        self._choose_domain = choose_domain
        self._placement = placement
        self._own_domain_margin = own_domain_margin
        self._targets: dict[str, _TargetState] = {}
        self._chosen_ms = 0.0
        self._eviction_size_targets = EVICTION_MIN_TARGETS

    def choose(
        self,
        members: Sequence[control_pb2.Member],
        *,
        own_domain: str,
        excluded: set[str],
        now_ms: float,
        service: str = "",
    ) -> control_pb2.Member | None:
        """Return a ready target, or None if all are excluded or not ready."""
        self._chosen_ms = now_ms
        local, remote = self._find_usable(members, own_domain, excluded, now_ms)
        if not local and not remote:
            # All targets are ejected: one that failed recently may still work.
            local, remote = self._find_usable(members, own_domain, excluded, math.inf)
        margin = self._own_domain_margin
        # Retries may leave the domain regardless of the stay share.
        if self._choose_domain is not None and not excluded:
            choice = self._choose_domain(service, local, remote, now_ms)
            if choice is not None:
                margin, remote = choice
        best_local = self._choose_of_two(local, now_ms)
        best_remote = self._choose_of_two(remote, now_ms)
        if best_local is None or best_remote is None:
            return best_local or best_remote
        local_load = self._load(best_local, now_ms)
        if local_load <= self._load(best_remote, now_ms) + margin:
            return best_local
        return best_remote

    def record_start(self, vm: str) -> int:
        """Record that a call was sent to the target; return its number."""
        target = self._target(vm)
        target.in_flight_calls += 1
        if target.failures:
            target.probe_until_ms = self._chosen_ms + PROBE_TIMEOUT_MS
        if self._placement is None:
            return 0
        return self._placement.record_start(vm, self._chosen_ms)

    def record_response(self, vm: str, call: int, now_ms: float) -> None:
        """Record that the backend server of the target answered a call."""
        if self._placement is not None:
            self._placement.record_response(vm, call, now_ms)

    def record_end(self, vm: str, call: int = 0, now_ms: float = 0.0) -> None:
        """Record the end of a call, whatever its outcome.

        The placement needs the number of the call and the time.
        """
        target = self._target(vm)
        target.in_flight_calls = max(0, target.in_flight_calls - 1)
        target.probe_until_ms = 0.0
        if self._placement is not None:
            self._placement.record_end(vm, call, now_ms)

    def record_load(self, vm: str, load: link_pb2.Load, now_ms: float) -> None:
        """Record the load of a response and end the target's ejection.

        A draining target is ejected for ``DRAINING_EJECTION_MS``.
        """
        target = self._target(vm)
        target.reported_calls = float(load.in_flight + load.queued)
        target.limit_calls = load.limit
        target.reported_ms = now_ms
        target.failing_share = load.failing_percent / 100.0
        target.failures = 0
        target.ejected_until_ms = (
            now_ms + DRAINING_EJECTION_MS if load.draining else 0.0
        )
        if self._placement is not None:
            self._placement.record_load(vm, load, now_ms)

    def record_failure(self, vm: str, now_ms: float) -> None:
        """Eject a target whose link failed, with exponential backoff."""
        target = self._target(vm)
        target.probe_until_ms = 0.0
        # Calls that fail while the target is ejected belong to one failure.
        if now_ms < target.ejected_until_ms:
            return
        target.failures += 1
        ejection_ms = min(
            MAX_EJECTION_MS, MIN_EJECTION_MS * 2.0 ** (target.failures - 1)
        )
        target.ejected_until_ms = now_ms + ejection_ms * self._random.uniform(0.8, 1.2)
        if self._placement is not None:
            self._placement.record_failure(vm)

    def _target(self, vm: str) -> _TargetState:
        target = self._targets.get(vm)
        if target is None:
            self._evict_unused()
            target = self._targets[vm] = _TargetState(reported_ms=self._chosen_ms)
        return target

    def _evict_unused(self) -> None:
        """Evict the state of unused targets.

        Replaced VMs never return and would otherwise accumulate.
        """
        if len(self._targets) < self._eviction_size_targets:
            return
        oldest_ms = self._chosen_ms - EVICTION_AGE_MS
        self._targets = {
            vm: target
            for vm, target in self._targets.items()
            if target.in_flight_calls or target.reported_ms > oldest_ms
        }
        self._eviction_size_targets = 2 * len(self._targets) + EVICTION_MIN_TARGETS

    def _find_usable(
        self,
        members: Sequence[control_pb2.Member],
        own_domain: str,
        excluded: set[str],
        now_ms: float,
    ) -> tuple[list[control_pb2.Member], list[control_pb2.Member]]:
        local: list[control_pb2.Member] = []
        remote: list[control_pb2.Member] = []
        for member in members:
            vm = member.vm
            if member.state != READY or vm in excluded:
                continue
            target = self._targets.get(vm)
            if target is not None and now_ms < target.unavailable_until_ms():
                continue
            if member.failure_domain == own_domain:
                local.append(member)
            else:
                remote.append(member)
        return local, remote

    def _choose_of_two(
        self, members: Sequence[control_pb2.Member], now_ms: float
    ) -> control_pb2.Member | None:
        if members and self._placement is not None:
            member = self._placement.choose(members, self._failing_load, now_ms)
            if member is not None:
                return member
        if len(members) < 2:
            return members[0] if members else None
        first_index = int(self._random.random() * len(members))
        step = 1 + int(self._random.random() * (len(members) - 1))
        first = members[first_index]
        second = members[(first_index + step) % len(members)]
        if self._load(second, now_ms) < self._load(first, now_ms):
            return second
        return first

    def _load(self, member: control_pb2.Member, now_ms: float) -> float:
        target = self._targets.get(member.vm)
        if target is None:
            return 0.0
        age_ms = max(0.0, now_ms - target.reported_ms)
        reported_calls = target.reported_calls * math.exp2(-age_ms / LOAD_HALF_LIFE_MS)
        limit_calls = target.limit_calls or member.slots or DEFAULT_LIMIT_CALLS
        load = (target.in_flight_calls + reported_calls) / limit_calls
        if self._placement is not None and self._placement.is_paused(member, now_ms):
            load += PAUSED_LOAD
        return load + self._failing_load(member.vm, now_ms)

    def _failing_load(self, vm: str, now_ms: float) -> float:
        """Return the load that stands for the calls that the target fails."""
        target = self._targets.get(vm)
        if target is None:
            return 0.0
        age_ms = max(0.0, now_ms - target.reported_ms)
        failing_share = target.failing_share * math.exp2(-age_ms / FAILING_HALF_LIFE_MS)
        return FAILING_WEIGHT * max(0.0, failing_share - FAILING_SHARE_THRESHOLD)
