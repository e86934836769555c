"""Seeded schedule of faults, and what each one does."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

import attrs

from testing.soak.fleet import RUN_S, Node, SoakFleet
from testing.stand_ins.tcp_proxy import DIRECTIONS

PARTS = ("store", "link", "backend", "callers")
STORE_FAULTS = ("busy", "silent", "lose_writes", "mute")
# Two faults begin this far apart on average, so that they overlap.
MEAN_GAP_S = 0.7
SHORTEST_S = 0.2
LONGEST_S = 2.5
LONGEST_DELAY_MS = 200.0


@attrs.frozen
class Fault:
    """One fault: when it begins, where, and for how long."""

    at_s: float
    kind: str
    node: int
    for_s: float
    detail: float

    def __str__(self) -> str:
        """Return a line for the report."""
        return f"{self.at_s:6.2f} s {self.kind} vm-{self.node} for {self.for_s:.2f} s"


Act = Callable[["FaultContext", Fault], Awaitable[None]]


@attrs.define(eq=False)
class FaultContext:
    """Hold what faults act on, and what they find broken themselves."""

    fleet: SoakFleet
    broken: list[str] = attrs.field(factory=list)
    # A node has one of the faults that stop its process at a time.
    locks: dict[str, asyncio.Lock] = attrs.field(factory=dict)

    def node(self, fault: Fault) -> Node:
        """Return the node of a fault."""
        return self.fleet.nodes[fault.node]

    def lock(self, node: Node) -> asyncio.Lock:
        """Return the lock of a node's process."""
        return self.locks.setdefault(node.name, asyncio.Lock())


def make_schedule(seed: int, seconds: float, nodes: int) -> list[Fault]:
    """Return the faults of a seed."""
    rng = random.Random(seed)
    kinds = sorted(ACTS)
    faults = []
    at_s = 0.5
    while at_s < seconds:
        faults.append(
            Fault(
                at_s=at_s,
                kind=rng.choice(kinds),
                node=rng.randrange(nodes),
                for_s=rng.uniform(SHORTEST_S, LONGEST_S),
                detail=rng.random(),
            )
        )
        at_s += rng.expovariate(1.0 / MEAN_GAP_S)
    return faults


async def play(context: FaultContext, schedule: list[Fault]) -> None:
    """Play the faults at their times and wait for the end of the last."""
    started_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in schedule:
            left_s = fault.at_s - (time.monotonic() - started_s)
            await asyncio.sleep(max(0.0, left_s))
            group.create_task(_run(ACTS[fault.kind], context, fault))


async def _run(act: Act, context: FaultContext, fault: Fault) -> None:
    await act(context, fault)


async def _kill(context: FaultContext, fault: Fault) -> None:
    node = context.node(fault)
    async with context.lock(node):
        await node.end(signal.SIGKILL)
        await asyncio.sleep(fault.for_s)
        await node.start()


async def _term(context: FaultContext, fault: Fault) -> None:
    node = context.node(fault)
    async with context.lock(node):
        started_s = time.monotonic()
        status = await node.end(signal.SIGTERM)
        took_s = time.monotonic() - started_s
        # While Python still imports, SIGTERM ends the process as it ends any
        # other; nothing was served yet (seeds 13, 105 and 113).
        is_early = status == -signal.SIGTERM and not node.has_begun()
        if not is_early and (status != 0 or took_s > node.settings.grace_s):
            context.broken.append(
                f"planned stop of {node.name}: status {status} after {took_s:.1f} s"
            )
        await node.start()


async def _pause(context: FaultContext, fault: Fault) -> None:
    node = context.node(fault)
    async with context.lock(node):
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        node.signal(signal.SIGCONT)


async def _hup(context: FaultContext, fault: Fault) -> None:
    node = context.node(fault)
    async with context.lock(node):
        # Before its handler is set, the signal would end a starting daemon.
        await asyncio.sleep(1.0)
        node.signal(signal.SIGHUP)


async def _store(context: FaultContext, fault: Fault) -> None:
    store = context.fleet.store
    store.fault = STORE_FAULTS[int(fault.detail * len(STORE_FAULTS))]
    await asyncio.sleep(fault.for_s)
    store.fault = ""


async def _compact(context: FaultContext, _fault: Fault) -> None:
    context.fleet.store.compact()


async def _end_leases(context: FaultContext, _fault: Fault) -> None:
    context.fleet.store.expire_leases()


def _listener(context: FaultContext, fault: Fault) -> str:
    part = PARTS[int(fault.detail * len(PARTS))]
    return f"{context.node(fault).name}/{part}"


async def _cut(context: FaultContext, fault: Fault) -> None:
    await asyncio.to_thread(context.fleet.proxy.cut, _listener(context, fault))


async def _silence(context: FaultContext, fault: Fault) -> None:
    name, proxy = _listener(context, fault), context.fleet.proxy
    directions = (DIRECTIONS, DIRECTIONS[:1], DIRECTIONS[1:])[int(fault.for_s * 10) % 3]
    await asyncio.to_thread(proxy.silence, name, directions)
    await asyncio.sleep(LONGEST_S)
    await asyncio.to_thread(proxy.cut, name)


async def _refuse(context: FaultContext, fault: Fault) -> None:
    name, proxy = _listener(context, fault), context.fleet.proxy
    await asyncio.to_thread(proxy.refuse, name)
    await asyncio.to_thread(proxy.cut, name)
    await asyncio.sleep(fault.for_s)
    await asyncio.to_thread(proxy.refuse, name, False)


async def _delay(context: FaultContext, fault: Fault) -> None:
    # A delay before a backend server would make its runs begin late, which
    # the check of leaving ones could not tell from late sends.
    part = ("store", "link", "callers")[int(fault.detail * 3)]
    name, proxy = f"{context.node(fault).name}/{part}", context.fleet.proxy
    delay_ms = LONGEST_DELAY_MS * fault.for_s / LONGEST_S
    await asyncio.to_thread(proxy.delay, name, delay_ms)
    await asyncio.sleep(fault.for_s)
    await asyncio.to_thread(proxy.delay, name, 0.0)


async def _leave(context: FaultContext, fault: Fault) -> None:
    """Let the backend server leave, and another instance come."""
    node = context.node(fault)
    if node.backend.state != "ready":
        return
    node.backend.state = "draining"
    await asyncio.sleep(node.settings.drain_ms / 1e3 + LONGEST_S)
    await node.backend.replace()


async def _crash(context: FaultContext, fault: Fault) -> None:
    backend = context.node(fault).backend
    if backend.state == "ready":
        await backend.replace()


async def _shed(context: FaultContext, fault: Fault) -> None:
    backend = context.node(fault).backend
    backend.is_refusing = True
    await asyncio.sleep(fault.for_s)
    backend.is_refusing = False


async def _slow(context: FaultContext, fault: Fault) -> None:
    backend = context.node(fault).backend
    backend.delay_s = 10 * RUN_S
    await asyncio.sleep(fault.for_s)
    backend.delay_s = RUN_S


ACTS: dict[str, Act] = {
    "compact": _compact,
    "crash": _crash,
    "cut": _cut,
    "delay": _delay,
    "end_leases": _end_leases,
    "hup": _hup,
    "kill": _kill,
    "leave": _leave,
    "pause": _pause,
    "refuse": _refuse,
    "shed": _shed,
    "silence": _silence,
    "slow": _slow,
    "store": _store,
    "term": _term,
}
