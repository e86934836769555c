"""Faults of the soak: a seeded schedule and the action of each kind.

``make_schedule`` draws kinds by their position in the sorted names of
``FAULT_ACTIONS``: a seed depends on these names and on the order of the draws.
"""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

import attrs

from testing.soak.fleet import RUN_DURATION_S, Node, SoakFleet
from testing.stand_ins.tcp_proxy import DIRECTIONS

LISTENERS = ("store", "link", "backend", "callers")
STORE_FAULTS = ("busy", "silent", "lose_writes", "mute")
# Mean interval between the starts of two faults; short enough that faults
# overlap.
MEAN_INTERVAL_S = 0.7
MIN_DURATION_S = 0.2
MAX_DURATION_S = 2.5
MAX_DELAY_MS = 200.0
# Share of the leaving backend servers that deregister without a drain.
DEREGISTERED_SHARE = 0.5


@attrs.frozen
class Fault:
    """One fault of the schedule.

    ``selector``, in [0, 1), selects the variant of a fault that has several.
    """

    start_s: float
    kind: str
    node_index: int
    duration_s: float
    selector: float

    def __str__(self) -> str:
        """Return the fault's line in the schedule file."""
        return (
            f"{self.start_s:6.2f} s {self.kind} vm-{self.node_index} "
            f"for {self.duration_s:.2f} s"
        )


FaultAction = Callable[["FaultContext", Fault], Awaitable[None]]


@attrs.define(eq=False)
class FaultContext:
    """The fleet that faults act on and the violations that they find."""

    fleet: SoakFleet
    violations: list[str] = attrs.field(factory=list)
    # By node; faults that stop or signal its process run one at a time.
    locks: dict[str, asyncio.Lock] = attrs.field(factory=dict)

    def get_node(self, fault: Fault) -> Node:
        """Return the node that a fault acts on."""
        return self.fleet.nodes[fault.node_index]

    def get_lock(self, node: Node) -> asyncio.Lock:
        """Return the lock for faults that act on a node's process."""
        return self.locks.setdefault(node.name, asyncio.Lock())


def make_schedule(seed: int, duration_s: float, node_count: int) -> list[Fault]:
    """Return the faults of a seed, ordered by start."""
    rng = random.Random(seed)
    kinds = sorted(FAULT_ACTIONS)
    faults = []
    start_s = 0.5
    while start_s < duration_s:
        faults.append(
            Fault(
                start_s=start_s,
                kind=rng.choice(kinds),
                node_index=rng.randrange(node_count),
                duration_s=rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
                selector=rng.random(),
            )
        )
        start_s += rng.expovariate(1.0 / MEAN_INTERVAL_S)
    return faults


async def inject_faults(context: FaultContext, schedule: list[Fault]) -> None:
    """Inject the faults at their times and wait until all have ended."""
    started_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in schedule:
            wait_s = fault.start_s - (time.monotonic() - started_s)
            await asyncio.sleep(max(0.0, wait_s))
            group.create_task(_run_action(FAULT_ACTIONS[fault.kind], context, fault))


async def _run_action(action: FaultAction, context: FaultContext, fault: Fault) -> None:
    await action(context, fault)


async def _kill(context: FaultContext, fault: Fault) -> None:
    node = context.get_node(fault)
    async with context.get_lock(node):
        await node.stop(signal.SIGKILL)
        await asyncio.sleep(fault.duration_s)
        await node.start()


async def _terminate(context: FaultContext, fault: Fault) -> None:
    node = context.get_node(fault)
    async with context.get_lock(node):
        started_s = time.monotonic()
        status = await node.stop(signal.SIGTERM)
        elapsed_s = time.monotonic() - started_s
        # While Python is still importing, SIGTERM kills the process as it has
        # no handler yet; nothing was served by then (seeds 13, 105 and 113).
        is_during_imports = status == -signal.SIGTERM and not node.has_logged_start()
        if not is_during_imports and (status != 0 or elapsed_s > node.settings.grace_s):
            context.violations.append(
                f"planned stop of {node.name}: status {status} after {elapsed_s:.1f} s"
            )
        await node.start()


async def _pause(context: FaultContext, fault: Fault) -> None:
    node = context.get_node(fault)
    async with context.get_lock(node):
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        node.send_signal(signal.SIGCONT)


async def _reload(context: FaultContext, fault: Fault) -> None:
    node = context.get_node(fault)
    async with context.get_lock(node):
        # A starting daemon without its handler would be killed by the signal.
        await asyncio.sleep(1.0)
        node.send_signal(signal.SIGHUP)


async def _fail_store(context: FaultContext, fault: Fault) -> None:
    store = context.fleet.store
    store.fault = STORE_FAULTS[int(fault.selector * len(STORE_FAULTS))]
    await asyncio.sleep(fault.duration_s)
    store.fault = ""


async def _compact(context: FaultContext, _fault: Fault) -> None:
    context.fleet.store.compact()


async def _expire_leases(context: FaultContext, _fault: Fault) -> None:
    context.fleet.store.expire_leases()


def _select_listener(context: FaultContext, fault: Fault) -> str:
    listener = LISTENERS[int(fault.selector * len(LISTENERS))]
    return f"{context.get_node(fault).name}/{listener}"


async def _cut(context: FaultContext, fault: Fault) -> None:
    await asyncio.to_thread(context.fleet.proxy.cut, _select_listener(context, fault))


async def _silence(context: FaultContext, fault: Fault) -> None:
    name, proxy = _select_listener(context, fault), context.fleet.proxy
    directions = (DIRECTIONS, DIRECTIONS[:1], DIRECTIONS[1:])[
        int(fault.duration_s * 10) % 3
    ]
    await asyncio.to_thread(proxy.silence, name, directions)
    await asyncio.sleep(MAX_DURATION_S)
    await asyncio.to_thread(proxy.cut, name)


async def _refuse(context: FaultContext, fault: Fault) -> None:
    name, proxy = _select_listener(context, fault), context.fleet.proxy
    await asyncio.to_thread(proxy.refuse, name)
    await asyncio.to_thread(proxy.cut, name)
    await asyncio.sleep(fault.duration_s)
    await asyncio.to_thread(proxy.refuse, name, False)


async def _delay(context: FaultContext, fault: Fault) -> None:
    # Not "backend": a delay there would make runs start late, which the check
    # for runs after a drain could not distinguish from requests sent late.
    listener = ("store", "link", "callers")[int(fault.selector * 3)]
    name, proxy = f"{context.get_node(fault).name}/{listener}", context.fleet.proxy
    delay_ms = MAX_DELAY_MS * fault.duration_s / MAX_DURATION_S
    await asyncio.to_thread(proxy.delay, name, delay_ms)
    await asyncio.sleep(fault.duration_s)
    await asyncio.to_thread(proxy.delay, name, 0.0)


async def _drain_backend(context: FaultContext, fault: Fault) -> None:
    """Drain the backend server and replace it with a new instance.

    Some deregister first, and an earlier heartbeat of these arrives late.
    """
    node = context.get_node(fault)
    if node.backend.state != "ready":
        return
    if fault.selector < DEREGISTERED_SHARE:
        late_heartbeat = node.backend.make_next_heartbeat()
        node.backend.state = "deregistered"
        await context.fleet.deregister_backend(node)
        await asyncio.sleep(fault.duration_s)
        await context.fleet.send_control_message(node, late_heartbeat)
    else:
        node.backend.state = "draining"
    await asyncio.sleep(node.settings.drain_ms / 1e3 + MAX_DURATION_S)
    await node.backend.restart_as_new_instance()


async def _crash_backend(context: FaultContext, fault: Fault) -> None:
    backend = context.get_node(fault).backend
    if backend.state == "ready":
        await backend.restart_as_new_instance()


async def _refuse_requests(context: FaultContext, fault: Fault) -> None:
    backend = context.get_node(fault).backend
    backend.is_refusing = True
    await asyncio.sleep(fault.duration_s)
    backend.is_refusing = False


async def _slow_backend(context: FaultContext, fault: Fault) -> None:
    backend = context.get_node(fault).backend
    backend.delay_s = 10 * RUN_DURATION_S
    await asyncio.sleep(fault.duration_s)
    backend.delay_s = RUN_DURATION_S


FAULT_ACTIONS: dict[str, FaultAction] = {
    "compact": _compact,
    "crash": _crash_backend,
    "cut": _cut,
    "delay": _delay,
    "end_leases": _expire_leases,
    "hup": _reload,
    "kill": _kill,
    "leave": _drain_backend,
    "pause": _pause,
    "refuse": _refuse,
    "shed": _refuse_requests,
    "silence": _silence,
    "slow": _slow_backend,
    "store": _fail_store,
    "term": _terminate,
}
