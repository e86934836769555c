"""Load on the targets of one service in several domains, in virtual time.

No network: a request takes a fixed time each way, and each target runs a
bounded number of requests and queues the others.
"""

import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Mapping

import attrs

from eelgrassweir.proto import control_pb2, link_pb2
from eelgrassweir.routing.domain_spill import DomainSpill
from eelgrassweir.routing.picker import TargetPicker

SERVICE = "ledger"
RUN_MS = 80.0
SLOTS = 40
ENTRIES_PER_DOMAIN = 12
LOCAL_ONE_WAY_MS = 0.1
REMOTE_ONE_WAY_MS = 1.4
MARGIN = 0.6
SAMPLE_MS = 100.0

# Slots in demand at a time, by domain.
Demand = Callable[[str, float], float]


@attrs.frozen
class Sample:
    """One finished request."""

    sent_ms: float
    domain: str
    target_domain: str
    duration_ms: float


@attrs.define(eq=False)
class _Target:
    member: control_pb2.Member
    run_ms: float
    is_paused: bool = False
    running_calls: int = 0
    queue: collections.deque[Callable[[], None]] = attrs.field(
        factory=collections.deque
    )


@attrs.define(eq=False)
class _Entry:
    domain: str
    picker: TargetPicker
    spill: DomainSpill


class DomainSimulation:
    """Entries of each domain that send to the targets of a service."""

    def __init__(
        self,
        targets: Mapping[str, int],
        demand: Demand,
        *,
        seed: int = 1,
        is_spill_on: bool = True,
        entries_per_domain: int = ENTRIES_PER_DOMAIN,
        remote_one_way_ms: float = REMOTE_ONE_WAY_MS,
        speeds: Mapping[str, float] | None = None,
    ) -> None:
        self._rng = random.Random(seed)
        self._demand = demand
        self._remote_one_way_ms = remote_one_way_ms
        self._targets = {
            vm: _Target(
                control_pb2.Member(vm=vm, failure_domain=domain, slots=SLOTS),
                RUN_MS / (speeds or {}).get(vm, 1.0),
            )
            for domain, count in targets.items()
            for vm in (f"{domain}-{number}" for number in range(count))
        }
        self.members = [target.member for target in self._targets.values()]
        self.entries = [
            self._make_entry(domain, is_spill_on)
            for domain in targets
            for _ in range(entries_per_domain)
        ]
        self._entries_per_domain = entries_per_domain
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self.now_ms = 0.0
        self.finished: list[Sample] = []
        # Mean stay share of each domain's entries, every ``SAMPLE_MS``.
        self.shares: list[tuple[float, dict[str, float]]] = []

    def _make_entry(self, domain: str, is_spill_on: bool) -> _Entry:
        spill = DomainSpill(self._rng)
        picker = TargetPicker(
            self._rng,
            own_domain_margin=MARGIN,
            choose_domain=spill.choose_domain if is_spill_on else None,
        )
        return _Entry(domain, picker, spill)

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (time_ms, next(self._event_numbers), action))

    def remove_targets(self, domain: str) -> None:
        """Deregister all targets of a domain; their requests still end."""
        self.members = [
            member for member in self.members if member.failure_domain != domain
        ]

    def restore_targets(self) -> None:
        """Register all targets again."""
        self.members = [target.member for target in self._targets.values()]

    def pause(self, vm: str, duration_ms: float) -> None:
        """Let a target start no requests for a time."""
        target = self._targets[vm]
        target.is_paused = True

        def resume() -> None:
            target.is_paused = False
            for _ in range(SLOTS):
                self._start_queued(target)

        self.at(self.now_ms + duration_ms, resume)

    def run(self, duration_ms: float) -> None:
        """Play the load for a time."""
        for entry in self.entries:
            first_ms = self._rng.random() * RUN_MS
            self.at(first_ms, functools.partial(self._arrive, entry))
        self.at(SAMPLE_MS, self._sample_shares)
        while self._events:
            self.now_ms, _, action = heapq.heappop(self._events)
            if self.now_ms > duration_ms:
                return
            action()

    def _sample_shares(self) -> None:
        sums: dict[str, float] = collections.defaultdict(float)
        for entry in self.entries:
            share = entry.spill.state().get(SERVICE, 1.0)
            sums[entry.domain] += share / self._entries_per_domain
        self.shares.append((self.now_ms, dict(sums)))
        self.at(self.now_ms + SAMPLE_MS, self._sample_shares)

    def _arrive(self, entry: _Entry) -> None:
        slots = self._demand(entry.domain, self.now_ms) / self._entries_per_domain
        if slots <= 0.0:
            self.at(self.now_ms + RUN_MS, lambda: self._arrive(entry))
            return
        interval_ms = self._rng.expovariate(slots / RUN_MS)
        self.at(self.now_ms + interval_ms, lambda: self._arrive(entry))
        self._send(entry)

    def _send(self, entry: _Entry) -> None:
        member = entry.picker.choose(
            self.members,
            own_domain=entry.domain,
            excluded=set(),
            now_ms=self.now_ms,
            service=SERVICE,
        )
        assert member is not None
        entry.picker.record_start(member.vm)
        target = self._targets[member.vm]
        is_local = member.failure_domain == entry.domain
        one_way_ms = LOCAL_ONE_WAY_MS if is_local else self._remote_one_way_ms
        sent_ms = self.now_ms

        def reply(load: link_pb2.Load, run_ms: float) -> None:
            self._record(entry, member, load, run_ms, 2.0 * one_way_ms)
            self.finished.append(
                Sample(
                    sent_ms, entry.domain, member.failure_domain, self.now_ms - sent_ms
                )
            )

        def answer(run_ms: float) -> None:
            load = _load(target)
            self.at(self.now_ms + one_way_ms, lambda: reply(load, run_ms))

        self.at(self.now_ms + one_way_ms, lambda: self._enqueue(target, answer))

    def _record(
        self,
        entry: _Entry,
        member: control_pb2.Member,
        load: link_pb2.Load,
        run_ms: float,
        round_trip_ms: float,
    ) -> None:
        is_local = member.failure_domain == entry.domain
        now_ms = self.now_ms
        entry.picker.record_load(member.vm, load, now_ms)
        entry.picker.record_end(member.vm)
        spill = entry.spill
        spill.record_load(SERVICE, member.vm, load, is_local=is_local, now_ms=now_ms)
        spill.record_run(SERVICE, run_ms, now_ms)
        spill.record_round_trip(
            SERVICE, round_trip_ms, is_local=is_local, now_ms=now_ms
        )

    def _enqueue(self, target: _Target, answer: Callable[[float], None]) -> None:
        target.queue.append(lambda: self._start(target, answer))
        self._start_queued(target)

    def _start_queued(self, target: _Target) -> None:
        has_room = target.running_calls < SLOTS and not target.is_paused
        if target.queue and has_room:
            target.queue.popleft()()

    def _start(self, target: _Target, answer: Callable[[float], None]) -> None:
        target.running_calls += 1
        run_ms = target.run_ms * self._rng.uniform(0.5, 1.5)

        def end() -> None:
            target.running_calls -= 1
            answer(run_ms)
            self._start_queued(target)

        self.at(self.now_ms + run_ms, end)


def _load(target: _Target) -> link_pb2.Load:
    return link_pb2.Load(
        in_flight=target.running_calls, limit=SLOTS, queued=len(target.queue)
    )
