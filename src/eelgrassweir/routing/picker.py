"""Choice of the target of a call."""

import math
import random
from collections.abc import Sequence

import attrs

from eelgrassweir.proto import control_pb2, link_pb2

READY = control_pb2.READY
# A report ages between calls; after a second little of it is true.
LOAD_HALF_LIFE_MS = 500.0
# Load of an unknown target relative to its limit.
DEFAULT_LIMIT_CALLS = 16
# The own domain is kept until its load is this much higher, as a share of the
# limit: a call to another domain costs latency, not capacity.
OWN_DOMAIN_MARGIN = 0.25
# A target that fails part of its calls counts as loaded by this times the
# part, so that it is chosen only when others are much fuller. Smaller parts
# are chance.
FAILING_WEIGHT = 3.0
FAILING_FROM = 0.06
FAILING_HALF_LIFE_MS = 1_000.0
FIRST_SKIP_MS = 250.0
LONGEST_SKIP_MS = 8_000.0
DRAINING_SKIP_MS = 2_000.0
# A trial call that never ends must not block its target for good.
TRIAL_LIMIT_MS = 5_000.0
FORGET_MS = 60_000.0
FORGET_FROM_TARGETS = 1_000


@attrs.define
class _Target:
    in_flight_calls: int = 0
    reported_calls: float = 0.0
    limit_calls: int = 0
    reported_ms: float = 0.0
    failing_share: float = 0.0
    failures: int = 0
    skip_until_ms: float = 0.0
    trial_until_ms: float = 0.0

    def closed_until_ms(self) -> float:
        return max(self.skip_until_ms, self.trial_until_ms)


class TargetPicker:
    """Pick the less loaded of two random targets, own domain first."""

    def __init__(
        self, random: random.Random, *, own_domain_margin: float = OWN_DOMAIN_MARGIN
    ) -> None:
        self._random = random
        self._own_domain_margin = own_domain_margin
        self._targets: dict[str, _Target] = {}
        self._chosen_ms = 0.0
        self._forget_at = FORGET_FROM_TARGETS

    def choose(
        self,
        members: Sequence[control_pb2.Member],
        *,
        own_domain: str,
        excluded: set[str],
        now_ms: float,
    ) -> control_pb2.Member | None:
        """Return a ready target, None if all are excluded or not ready."""
        self._chosen_ms = now_ms
        near, far = self._usable(members, own_domain, excluded, now_ms)
        if not near and not far:
            # All are skipped: better a target that failed lately than none.
            near, far = self._usable(members, own_domain, excluded, math.inf)
        best_near = self._better_of_two(near, now_ms)
        best_far = self._better_of_two(far, now_ms)
        if best_near is None or best_far is None:
            return best_near or best_far
        near_load = self._load(best_near, now_ms)
        if near_load <= self._load(best_far, now_ms) + self._own_domain_margin:
            return best_near
        return best_far

    def record_start(self, vm: str) -> None:
        """Count a call that was sent to the target."""
        target = self._target(vm)
        target.in_flight_calls += 1
        if target.failures:
            target.trial_until_ms = self._chosen_ms + TRIAL_LIMIT_MS

    def record_end(self, vm: str) -> None:
        """Count the end of a call, whatever its outcome."""
        target = self._target(vm)
        target.in_flight_calls = max(0, target.in_flight_calls - 1)
        target.trial_until_ms = 0.0

    def record_load(self, vm: str, load: link_pb2.Load, now_ms: float) -> None:
        """Take in the load of a response, which also shows that it works."""
        target = self._target(vm)
        target.reported_calls = float(load.in_flight + load.queued)
        target.limit_calls = load.limit
        target.reported_ms = now_ms
        target.failing_share = load.failing_percent / 100.0
        target.failures = 0
        target.skip_until_ms = now_ms + DRAINING_SKIP_MS if load.draining else 0.0

    def record_failure(self, vm: str, now_ms: float) -> None:
        """Skip a target whose link failed, longer with each failure."""
        target = self._target(vm)
        target.trial_until_ms = 0.0
        # Calls that fail together are one failure.
        if now_ms < target.skip_until_ms:
            return
        target.failures += 1
        skip_ms = min(LONGEST_SKIP_MS, FIRST_SKIP_MS * 2.0 ** (target.failures - 1))
        target.skip_until_ms = now_ms + skip_ms * self._random.uniform(0.8, 1.2)

    def _target(self, vm: str) -> _Target:
        target = self._targets.get(vm)
        if target is None:
            self._forget_unused()
            target = self._targets[vm] = _Target(reported_ms=self._chosen_ms)
        return target

    def _forget_unused(self) -> None:
        """Drop the state of replaced VMs, which never come back."""
        if len(self._targets) < self._forget_at:
            return
        oldest_ms = self._chosen_ms - FORGET_MS
        self._targets = {
            vm: target
            for vm, target in self._targets.items()
            if target.in_flight_calls or target.reported_ms > oldest_ms
        }
        self._forget_at = 2 * len(self._targets) + FORGET_FROM_TARGETS

    def _usable(
        self,
        members: Sequence[control_pb2.Member],
        own_domain: str,
        excluded: set[str],
        now_ms: float,
    ) -> tuple[list[control_pb2.Member], list[control_pb2.Member]]:
        near: list[control_pb2.Member] = []
        far: list[control_pb2.Member] = []
        for member in members:
            vm = member.vm
            if member.state != READY or vm in excluded:
                continue
            target = self._targets.get(vm)
            if target is not None and now_ms < target.closed_until_ms():
                continue
            if member.failure_domain == own_domain:
                near.append(member)
            else:
                far.append(member)
        return near, far

    def _better_of_two(
        self, members: Sequence[control_pb2.Member], now_ms: float
    ) -> control_pb2.Member | None:
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
        failing_share = target.failing_share * math.exp2(-age_ms / FAILING_HALF_LIFE_MS)
        return load + FAILING_WEIGHT * max(0.0, failing_share - FAILING_FROM)
