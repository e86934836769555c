"""An acknowledged leave is forgotten, and the leaving target gets requests."""

import asyncio
import pathlib
import sys

from review.stand_ins_2.client import Client
from review.stand_ins_2.deployment import (
    DRAIN_S,
    STABLE_WINDOW_S,
    Deployment,
    Machine,
    NotRunError,
    make_route,
    run_case,
)
from review.stand_ins_2.target import send_control

ZONES = ("bilbao", "santander")
# Times from the begin of the cut. The dose of the site file: core_cut,
# count 1, how "refuse", for_s 5.5.
CUT_S = 5.5
LEAVE_S = 0.3
# roll_term, x 1, gap_s 1: the other machines first, then that of the target.
FIRST_STOP_S = -2.2
GAP_S = 1.0
RESTART_GAP_S = 0.4
LATE_HEARTBEAT_S = 5.3
# The target stays: scale_in, how "stay", for_s 15.
EXIT_S = 13.0
# Margin on the begin of the time in which the machines are in touch.
MARGIN_S = 0.2
# Two misses of the readiness check, which come once a second.
CLIENTS_LEAVE_S = 2.0


class LookUps:
    """Clients that look up slips at all machines that are in."""

    def __init__(self, deployment: Deployment) -> None:
        self._record = deployment.record
        self.sent_s: dict[str, float] = {}
        # Machines that get no new work.
        self.out: set[str] = set()

    async def send_at(self, machine: Machine) -> None:
        """Send lookups from the clients of a machine until cancelled."""
        client = Client(self._record, machine.ports["outbound"], machine.name)
        while True:
            await asyncio.sleep(0.05)
            if machine.name in self.out:
                continue
            sent_s = self._record.now_s()
            request_id, _ = await client.send("GET", "/fichero/2f")
            self.sent_s[request_id] = sent_s

    async def roll(self, machine: Machine) -> None:
        """Restart a daemon; its clients leave meanwhile."""
        restart = asyncio.create_task(machine.restart_daemon(RESTART_GAP_S))
        await asyncio.sleep(CLIENTS_LEAVE_S)
        self.out.add(machine.name)
        await restart
        while not await machine.is_ready():
            await asyncio.sleep(0.1)
        self.out.discard(machine.name)


async def roll_all(deployment: Deployment, look_ups: LookUps, start_s: float) -> None:
    """Restart the daemons one after the other, that of the target last."""
    rolls = []
    for index, machine in enumerate((*deployment.machines[1:], deployment.machines[0])):
        due_s = start_s + FIRST_STOP_S + index * GAP_S
        await asyncio.sleep(due_s - deployment.record.now_s())
        rolls.append(asyncio.create_task(look_ups.roll(machine)))
    await asyncio.gather(*rolls)


async def case(deployment: Deployment, has_trouble: bool) -> bool:
    """Return whether the target got requests too late after its leave."""
    record = deployment.record
    deployment.has_paths = True
    await deployment.start(
        ("fichero", "fichero", "registro", "registro"),
        (make_route("fichero", "fichero"), make_route("registro", "registro")),
    )
    look_ups = LookUps(deployment)
    clients = [
        asyncio.create_task(look_ups.send_at(machine))
        for machine in deployment.machines
    ]
    start_s = record.now_s() + 6.0
    rolling = asyncio.create_task(roll_all(deployment, look_ups, start_s))
    machine, path = deployment.machines[0], deployment.paths[0]
    target, control = machine.target, machine.ports["control"]

    async def wait_until(time_s: float) -> None:
        await asyncio.sleep(start_s + time_s - record.now_s())

    await wait_until(0.0)
    if has_trouble:
        path.cut()
        record.say(f"{machine.name} is cut off from the store")
    await wait_until(LEAVE_S)
    # The target never reports "draining"; its last heartbeat is held up.
    target.stop_heartbeats()
    late_heartbeat = target.make_heartbeat()
    target.is_leaving = True
    status = await send_control(control, target.make_deregistration())
    acknowledged_s = record.say(f"{target.instance} deregisters and gets {status}")
    if status != 200:
        raise NotRunError("the leave was not acknowledged")
    await wait_until(LATE_HEARTBEAT_S)
    status = await send_control(control, late_heartbeat)
    record.say(f"the late heartbeat of {target.instance} gets {status}")
    await wait_until(CUT_S)
    healed_s = record.now_s()
    if has_trouble:
        await path.open()
        record.say(f"{machine.name} reaches the store again")
    await rolling
    in_touch_s = max(healed_s, *(each.started_s for each in deployment.machines))
    in_touch_s += STABLE_WINDOW_S + MARGIN_S
    await wait_until(EXIT_S)
    for client in clients:
        client.cancel()
    record.say(f"{target.instance} exits")

    late = [
        (request_id, run_s - acknowledged_s)
        for request_id, run_s in target.runs
        if run_s > acknowledged_s + DRAIN_S
    ]
    counted = [each for each in late if look_ups.sent_s.get(each[0], 0.0) >= in_touch_s]
    record.say(
        f"{len(look_ups.sent_s)} requests; {len(late)} reached {target.instance}"
        f" later than {DRAIN_S} s after its acknowledged leave, {len(counted)} of"
        f" them sent after {in_touch_s:.3f}, when all machines were in touch"
    )
    for request_id, after_s in counted[:5]:
        record.say(f"DRAIN: {request_id} runs {after_s:.3f} s after the leave")
    return bool(counted)


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, ZONES, case))
