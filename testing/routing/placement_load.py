"""Load of many entries on uneven targets, played in virtual time.

Each entry has a picker of its own, which learns of a target only from the
replies to its own calls.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from eelgrassweir.admission.run_time import RunTimes
from eelgrassweir.proto import control_pb2, link_pb2
from eelgrassweir.routing.picker import TargetPicker
from eelgrassweir.routing.placement import SpeedAwarePlacement

LINK_LATENCY_MS = 1.0
QUEUE_LIMIT_CALLS = 400
# As in the mesh daemon.
OWN_DOMAIN_MARGIN = 0.6


@attrs.frozen(kw_only=True)
class SpeedChange:
    """Time in which a target runs at a share of its speed; 0 is a pause."""

    start_ms: float
    end_ms: float
    share: float


@attrs.frozen(kw_only=True)
class TargetSpec:
    """A target: its speed relative to the mean and changes of it."""

    speed: float
    changes: tuple[SpeedChange, ...] = ()
    appears_ms: float = 0.0


@attrs.frozen(kw_only=True)
class LoadSpec:
    """Load on the targets of a service; calls take one of the run times."""

    targets: tuple[TargetSpec, ...]
    entries: int
    calls_per_s: float
    run_ms: tuple[float, ...]
    slots: int
    deadline_ms: float
    duration_ms: float
    domains: int = 1


@attrs.frozen
class PlayedCall:
    """One call; ``answered_ms`` is infinite if its deadline was missed."""

    started_ms: float
    target: int
    answered_ms: float

    @property
    def latency_ms(self) -> float:
        """Return the time from the call to its answer."""
        return self.answered_ms - self.started_ms


@attrs.define
class PlayedLoad:
    """Calls, and samples of (time, calls at each target) every 50 ms."""

    calls: list[PlayedCall] = attrs.field(factory=list)
    samples: list[tuple[float, list[int]]] = attrs.field(factory=list)

    def success(self, start_ms: float = 0.0, end_ms: float = float("inf")) -> float:
        """Return the share of the calls started in a time that succeed."""
        calls = self.started_within(start_ms, end_ms)
        return sum(call.latency_ms < float("inf") for call in calls) / len(calls)

    def latency_ms(
        self, quantile: float, start_ms: float = 0.0, end_ms: float = float("inf")
    ) -> float:
        """Return a quantile of the latency of calls started in a time."""
        calls = self.started_within(start_ms, end_ms)
        latencies = sorted(call.latency_ms for call in calls)
        return latencies[int(quantile * (len(latencies) - 1))]

    def share(self, target: int, start_ms: float, end_ms: float) -> float:
        """Return the share of the calls started in a time at a target."""
        calls = self.started_within(start_ms, end_ms)
        return sum(call.target == target for call in calls) / len(calls)

    def peak_calls(self, target: int, start_ms: float, end_ms: float) -> int:
        """Return the most calls at a target in a time."""
        return max(c[target] for at, c in self.samples if start_ms <= at < end_ms)

    def started_within(self, start_ms: float, end_ms: float) -> list[PlayedCall]:
        """Return the calls started in a time."""
        return [call for call in self.calls if start_ms <= call.started_ms < end_ms]


class _Target:
    """A target with a queue in front of its slots."""

    def __init__(self, spec: TargetSpec, slots: int) -> None:
        self.spec = spec
        self.limit_calls = max(1, int(slots * 0.95))
        self.running_calls = 0
        self.waiting: collections.deque[Callable[[], None]] = collections.deque()
        self.run_times = RunTimes()

    def load(self, now_ms: float) -> link_pb2.Load:
        return link_pb2.Load(
            in_flight=self.running_calls,
            queued=len(self.waiting),
            limit=self.limit_calls,
            service_ms=round(self.run_times.service_ms(now_ms)),
            stalled_ms=round(self.run_times.stalled_ms(now_ms)),
        )

    def end_of(self, work_ms: float, now_ms: float) -> float:
        """Return when work ends that starts now, with the speed changes."""
        for change in self.spec.changes:
            if now_ms >= change.end_ms:
                continue
            before_ms = max(0.0, change.start_ms - now_ms)
            if work_ms <= before_ms * self.spec.speed:
                break
            work_ms -= before_ms * self.spec.speed
            now_ms = max(now_ms, change.start_ms)
            speed = self.spec.speed * change.share
            if work_ms <= (change.end_ms - now_ms) * speed:
                return now_ms + work_ms / speed
            work_ms -= (change.end_ms - now_ms) * speed
            now_ms = change.end_ms
        return now_ms + work_ms / self.spec.speed


def play(spec: LoadSpec, *, seed: int, is_speed_aware: bool) -> PlayedLoad:
    """Play a load and return what its callers got."""
    return _Play(spec, seed, is_speed_aware).run()


class _Play:
    def __init__(self, spec: LoadSpec, seed: int, is_speed_aware: bool) -> None:
        self._spec = spec
        self._rng = random.Random(seed)
        self._now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._played = PlayedLoad()
        self._targets = [_Target(target, spec.slots) for target in spec.targets]
        self._members = [
            control_pb2.Member(
                vm=str(number),
                service="gauge",
                slots=spec.slots,
                failure_domain=f"domain-{number % spec.domains}",
            )
            for number in range(len(spec.targets))
        ]
        self._pickers: list[tuple[str, TargetPicker]] = []
        for number in range(spec.entries):
            rng = random.Random(seed * 1_000 + number)
            placement = SpeedAwarePlacement(rng) if is_speed_aware else None
            picker = TargetPicker(
                rng, own_domain_margin=OWN_DOMAIN_MARGIN, placement=placement
            )
            self._pickers.append((f"domain-{number % spec.domains}", picker))

    def run(self) -> PlayedLoad:
        self._at(0.0, self._arrive)
        self._at(0.0, self._sample)
        while self._events:
            self._now_ms, _, event = heapq.heappop(self._events)
            event()
        return self._played

    def _at(self, at_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), event))

    def _after(self, delay_ms: float, event: Callable[[], None]) -> None:
        self._at(self._now_ms + delay_ms, event)

    def _sample(self) -> None:
        counts = [len(t.waiting) + t.running_calls for t in self._targets]
        self._played.samples.append((self._now_ms, counts))
        if self._now_ms < self._spec.duration_ms:
            self._after(50.0, self._sample)

    def _arrive(self) -> None:
        if self._now_ms >= self._spec.duration_ms:
            return
        self._after(self._rng.expovariate(self._spec.calls_per_s / 1e3), self._arrive)
        domain, picker = self._rng.choice(self._pickers)
        members = [
            member
            for member, target in zip(self._members, self._targets, strict=True)
            if target.spec.appears_ms <= self._now_ms
        ]
        member = picker.choose(
            members, own_domain=domain, excluded=set(), now_ms=self._now_ms
        )
        assert member is not None
        number = picker.record_start(member.vm)
        started_ms = self._now_ms
        target = self._targets[int(member.vm)]
        work_ms = self._rng.choice(self._spec.run_ms) * self._rng.uniform(0.7, 1.3)

        def reply(is_answer: bool) -> None:
            load = target.load(self._now_ms)

            def receive() -> None:
                picker.record_load(member.vm, load, self._now_ms)
                in_time = self._now_ms - started_ms <= self._spec.deadline_ms
                if is_answer and in_time:
                    picker.record_response(member.vm, number, self._now_ms)
                picker.record_end(member.vm, number, self._now_ms)
                answered_ms = self._now_ms if is_answer and in_time else float("inf")
                self._played.calls.append(
                    PlayedCall(started_ms, int(member.vm), answered_ms)
                )

            self._after(LINK_LATENCY_MS, receive)

        def start() -> None:
            if self._now_ms - started_ms + work_ms > self._spec.deadline_ms:
                reply(False)
                return
            begin_ms = self._now_ms
            target.running_calls += 1
            target.run_times.record_start(begin_ms)

            def end() -> None:
                target.running_calls -= 1
                target.run_times.record_answer(
                    self._now_ms - begin_ms, self._now_ms, is_failed=False
                )
                target.run_times.record_end()
                while target.waiting and target.running_calls < target.limit_calls:
                    target.waiting.popleft()()
                reply(True)

            self._at(target.end_of(work_ms, begin_ms), end)

        def enter() -> None:
            if target.running_calls < target.limit_calls:
                start()
            elif len(target.waiting) < QUEUE_LIMIT_CALLS:
                target.waiting.append(start)
            else:
                reply(False)

        self._after(LINK_LATENCY_MS, enter)
