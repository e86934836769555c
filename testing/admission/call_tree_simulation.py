"""Simulate entries, callers of a leaf service and its targets in virtual time.

Trees of three kinds need the same leaf service: one calls it eight times, one
four times, and the most urgent one runs at it. The decisions are the ones of
the admission package; the rest is a small model of queues and delays.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from eelgrassweir.admission.offered import OfferedLoad
from eelgrassweir.admission.rooms import VALID_MS, Room, RoomTable
from eelgrassweir.admission.tree_admission import TreeAdmission
from eelgrassweir.admission.tree_costs import ServiceCost

LEAF = "ledger"
LEAF_RUN_MS = 83.0
LEAF_DEADLINE_MS = 701.0
QUEUE_LIMIT_CALLS = 400
LIMIT_CALLS = 40
TARGETS = 5
ENTRIES = 36
CALLERS = 8
TICK_MS = 100.0
LINK_MS = 2.0
MAX_SENDS = 4
ROOM_MS_PER_S = TARGETS * LIMIT_CALLS * 1e3


@attrs.frozen(kw_only=True)
class TreeKind:
    """Leaf calls of the trees of a route, and its share of the demand."""

    route: str
    rank: int
    weight: float
    chains: int
    reads: int
    run_ms: float
    is_root_at_leaf: bool = False

    @property
    def cost_ms(self) -> float:
        """Return the run time of one tree at the leaf."""
        return self.chains * self.reads * self.run_ms


KINDS = (
    TreeKind(route="tank", rank=14, weight=555, chains=2, reads=4, run_ms=LEAF_RUN_MS),
    TreeKind(route="book", rank=14, weight=248, chains=1, reads=4, run_ms=LEAF_RUN_MS),
    TreeKind(
        route="payment",
        rank=15,
        weight=79,
        chains=1,
        reads=1,
        run_ms=260.0,
        is_root_at_leaf=True,
    ),
)
# Relative rates: one large team, two of medium size, many small ones.
TEAMS = {"large": 40.0, "medium-1": 10.0, "medium-2": 10.0} | {
    f"small-{number}": 1.0 for number in range(80)
}


@attrs.define
class Count:
    """Trees of one kind and team."""

    offered: int = 0
    refused: int = 0
    served: int = 0
    served_ms: float = 0.0


@attrs.define(eq=False)
class _Run:
    kind: TreeKind
    arrived_ms: float
    deadline_ms: float
    on_end: Callable[[bool], None]
    on_refusal: Callable[[], None]


class _Target:
    """One leaf target with its gate: most urgent roots go with the calls."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.is_up = True
        # Run time in multiples of the usual one.
        self.slowness = 1.0
        self.offered = OfferedLoad()
        self.in_flight = 0
        self.queue: collections.deque[_Run] = collections.deque()

    def arrive(self, run: _Run) -> None:
        self.offered.record_arrival(is_call=not run.kind.is_root_at_leaf)
        if not self.is_up:
            return
        if self.in_flight < LIMIT_CALLS:
            self._start(run)
        elif len(self.queue) < QUEUE_LIMIT_CALLS:
            self.queue.append(run)
        else:
            self.offered.record_refusal(by_backend=False)
            run.on_refusal()

    def _start(self, run: _Run) -> None:
        self.in_flight += 1
        wait_ms = self.world.now_ms - run.arrived_ms
        run_ms = run.kind.run_ms * self.slowness * self.world.rng.uniform(0.7, 1.3)

        def end() -> None:
            self.in_flight -= 1
            self.offered.record_run(run_ms, wait_ms)
            self._start_queued()
            run.on_end(self.world.now_ms <= run.deadline_ms)

        self.world.at(run_ms, end)

    def _start_queued(self) -> None:
        while self.queue and self.in_flight < LIMIT_CALLS:
            run = self.queue.popleft()
            if self.world.now_ms + run.kind.run_ms <= run.deadline_ms:
                self._start(run)
                continue
            self.offered.record_refusal(by_backend=False)
            run.on_end(False)

    def update(self) -> None:
        self.offered.update(
            limit_calls=LIMIT_CALLS,
            queued_calls=len(self.queue),
            now_ms=self.world.now_ms,
        )


class _Daemon:
    """Daemon that knows rooms and admits roots."""

    def __init__(self, world: "World") -> None:
        self.rooms = RoomTable()
        self.admission = TreeAdmission(self.rooms, world.rng, -10_000.0)
        self.in_flight: collections.Counter[str] = collections.Counter()

    def record_reply(self, target: _Target, now_ms: float) -> None:
        self.rooms.record_target(
            LEAF,
            target.name,
            limit_calls=LIMIT_CALLS,
            used_calls=target.in_flight + len(target.queue),
            share=target.offered.share
            if target.offered.is_reported(now_ms, VALID_MS)
            else 1.0,
            now_ms=now_ms,
        )


class World:
    """Run roots against the leaf for some time, and count what they get.

    ``demand`` is the demand of the trees in multiples of the leaf's room.
    """

    def __init__(self, demand: float, *, is_enabled: bool = True) -> None:
        self.rng = random.Random(7)
        self.now_ms = 0.0
        self.demand = demand
        self.is_enabled = is_enabled
        self.targets = [_Target(self, f"vm-{n}") for n in range(TARGETS)]
        self.entries = [_Daemon(self) for _ in range(ENTRIES)]
        self.callers = [_Daemon(self) for _ in range(CALLERS)]
        self.shares: list[tuple[float, float]] = []
        # Counts by second, kind and team.
        self.counts: dict[tuple[int, str, str], Count] = collections.defaultdict(Count)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._weight_ms = sum(kind.weight * kind.cost_ms for kind in KINDS)
        for kind in KINDS:
            self._schedule_root(kind)
        self._tick()

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run ``action`` after a delay."""
        event = (self.now_ms + delay_ms, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run_until(self, end_ms: float) -> None:
        """Run all events up to a time."""
        while self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = end_ms

    def lose_targets(self, count: int) -> None:
        """Remove targets, with the calls that they have."""
        for target in self.targets[:count]:
            target.is_up = False

    def restore_targets(self) -> None:
        """Bring all targets back, without calls."""
        for index, target in enumerate(self.targets):
            if not target.is_up:
                self.targets[index] = _Target(self, target.name)

    def total(
        self, from_s: int, to_s: int, *, route: str = "", team: str = ""
    ) -> Count:
        """Return the counts of the roots of a time, of a kind or team."""
        total = Count()
        for (second, kind, name), count in self.counts.items():
            if not from_s <= second < to_s:
                continue
            if (route and kind != route) or (team and not name.startswith(team)):
                continue
            total.offered += count.offered
            total.refused += count.refused
            total.served += count.served
            total.served_ms += count.served_ms
        return total

    def goodput(self, from_s: int, to_s: int) -> float:
        """Return the leaf's work for served trees, as a share of its room."""
        served_ms = self.total(from_s, to_s).served_ms
        return served_ms / (ROOM_MS_PER_S * (to_s - from_s))

    def _tick(self) -> None:
        for target in self.targets:
            if target.is_up:
                target.update()
        shares = [t.offered.share for t in self.targets if t.is_up]
        self.shares.append((self.now_ms, sum(shares) / len(shares)))
        self.at(TICK_MS, self._tick)

    def _schedule_root(self, kind: TreeKind) -> None:
        rate = self.demand * ROOM_MS_PER_S * kind.weight / self._weight_ms

        def arrive() -> None:
            if self.demand > 0:
                self._admit_root(kind)
            self._schedule_root(kind)

        delay_ms = 1e3 * self.rng.expovariate(rate) if rate > 0 else TICK_MS
        self.at(delay_ms, arrive)

    def _admit_root(self, kind: TreeKind) -> None:
        team = self.rng.choices(list(TEAMS), list(TEAMS.values()))[0]
        count = self.counts[int(self.now_ms // 1e3), kind.route, team]
        count.offered += 1
        entry = self.rng.choice(self.entries)
        shortage = entry.admission.try_admit(kind.route, kind.rank, team, self.now_ms)
        if shortage is not None and self.is_enabled:
            count.refused += 1
            return
        self._run_tree(kind, entry, count)

    def _run_tree(self, kind: TreeKind, entry: _Daemon, count: Count) -> None:
        left = kind.chains
        is_ok = True

        def end_chain(chain_ok: bool) -> None:
            nonlocal left, is_ok
            left -= 1
            is_ok = is_ok and chain_ok
            if left == 0:
                self.at(self.rng.uniform(2.0, 50.0), end_tree)

        def end_tree() -> None:
            count.served += is_ok
            count.served_ms += kind.cost_ms * is_ok
            cost = {LEAF: ServiceCost(kind.chains * kind.reads, kind.cost_ms)}
            entry.admission.record_cost(kind.route, cost, self.now_ms)

        if kind.is_root_at_leaf:
            self._call_leaf(kind, entry, end_chain, 3_002.0)
            return
        for _ in range(kind.chains):
            caller = self.rng.choice(self.callers)
            delay_ms = self.rng.uniform(20.0, 300.0)
            self.at(delay_ms, self._make_chain(kind, entry, caller, end_chain))

    def _make_chain(
        self,
        kind: TreeKind,
        entry: _Daemon,
        caller: _Daemon,
        on_end: Callable[[bool], None],
    ) -> Callable[[], None]:
        """Return the sequence of leaf calls of one branch of a tree."""
        left = kind.reads

        def call() -> None:
            self._call_leaf(kind, caller, end_call, LEAF_DEADLINE_MS)

        def end_call(is_ok: bool) -> None:
            nonlocal left
            left -= 1
            if is_ok and left:
                call()
                return
            for room in caller.rooms.list_rooms(self.now_ms):
                relayed = Room(room.service, room.share, room.age_ms + 2 * LINK_MS)
                entry.rooms.record_relayed(relayed, self.now_ms)
            on_end(is_ok)

        return call

    def _call_leaf(
        self,
        kind: TreeKind,
        caller: _Daemon,
        on_end: Callable[[bool], None],
        deadline_ms: float,
    ) -> None:
        deadline_at_ms = self.now_ms + deadline_ms
        tried: list[_Target] = []

        def send() -> None:
            ready = [t for t in self.targets if t.is_up and t not in tried]
            if not ready or len(tried) >= MAX_SENDS:
                on_end(False)
                return
            pair = self.rng.sample(ready, min(2, len(ready)))
            target = min(pair, key=lambda t: (caller.in_flight[t.name], t.in_flight))
            tried.append(target)
            caller.in_flight[target.name] += 1

            def reply(is_ok: bool) -> None:
                caller.in_flight[target.name] -= 1
                caller.record_reply(target, self.now_ms)
                on_end(is_ok)

            def refuse() -> None:
                caller.in_flight[target.name] -= 1
                caller.record_reply(target, self.now_ms)
                send()

            run = _Run(kind, self.now_ms + LINK_MS, deadline_at_ms, reply, refuse)
            self.at(LINK_MS, lambda: target.arrive(run))

        send()
