"""A target leaves while the store is down, and its daemon is killed."""

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins.client import Clients  # noqa: E402
from stand_ins.deployment import (  # noqa: E402
    BOUNDS,
    Deployment,
    NotRun,
    Record,
    make_request,
    make_route,
    run_case,
)
from stand_ins.http1 import request  # noqa: E402

ZONES = ["bilbao", "santander", "oviedo"]
KEY = "key-of-the-archive"
WORK_S = 0.22
ROUTE_TIMEOUT_MS = 5_000
DEADLINE_MS = 5_000
SENT_PER_S = 30.0
# platform_down: the site's dose is 4.5 s.
STORE_DOWN_S = 4.5
# node_kill: the site's dose is one machine, down for 3.5 s.
DAEMON_DOWN_S = 3.5
LEAVE_AFTER_S, KILL_AFTER_S = 0.5, 1.0
# A heartbeat that the target sent before it left arrives seconds late.
HEARTBEAT_LATE_S = 5.5
# The target serves on for so long after the acknowledgement.
SERVES_ON_S = 16.0
STABLE_WINDOW_S = 3.0


async def play(record: Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether no request reached the target after its drain."""
    deployment = Deployment(record, ZONES, folder)
    for zone in ZONES:
        deployment.add_machine(zone, "fichero", lambda: WORK_S)
        deployment.add_machine(zone, "fichero", lambda: WORK_S)
    deployment.configure(
        [make_route("/buscar-papeleta/", "safe", "fichero", ROUTE_TIMEOUT_MS)],
        [{"name": "archive", "apiKeys": [KEY], "priority": 1}],
    )
    machine = deployment.machines[0]
    target = machine.target
    try:
        await deployment.start()
        load = asyncio.create_task(send_lookups(record, deployment))
        await asyncio.sleep(1.0)
        late_heartbeat = target.make_heartbeat()
        store_down = None
        if has_trouble:
            record.write("platform_down", how="silent", for_s=STORE_DOWN_S)
            store_down = asyncio.create_task(deployment.store.be_silent(STORE_DOWN_S))
        await asyncio.sleep(LEAVE_AFTER_S)
        if not await target.deregister():
            raise NotRun("the leave was not acknowledged")
        left_s = time.monotonic()
        calm_s = left_s
        record.write("left", target=target.name)
        if has_trouble:
            assert machine.process is not None and store_down is not None
            await asyncio.sleep(KILL_AFTER_S - LEAVE_AFTER_S)
            machine.process.kill()
            machine.process.wait()
            record.write("node_kill", vm=machine.name, for_s=DAEMON_DOWN_S)
            await asyncio.sleep(DAEMON_DOWN_S)
            deployment.start_daemon(machine)
            await store_down
            calm_s = time.monotonic()
        await asyncio.sleep(left_s + HEARTBEAT_LATE_S - time.monotonic())
        response = await request(target.control_address, late_heartbeat)
        status = response.status if response else None
        record.write("late_heartbeat", target=target.name, status=status)
        await asyncio.sleep(left_s + SERVES_ON_S - time.monotonic())
        load.cancel()
        record.write_runs(deployment.runs)
        # All machines are in touch again so long after the disruptions.
        from_s = max(left_s + BOUNDS["drain"] / 1e3, calm_s + STABLE_WINDOW_S)
        late = [run for run in target.runs if run.started_s > from_s]
        record.write("result", runs_after_drain=len(late), allowed=0)
        return not late
    finally:
        deployment.stop()


async def send_lookups(record: Record, deployment: Deployment) -> None:
    """Send lookups to all machines in turn until cancelled."""
    clients = [Clients(machine.outbound) for machine in deployment.machines]
    pending: set[asyncio.Task[None]] = set()

    async def send(number: int) -> None:
        request_id = f"l{number}"
        sender = number % len(clients)
        record.write("sent", id=request_id, machine=sender)
        message = make_request(
            "GET", "/buscar-papeleta/1", request_id, DEADLINE_MS, KEY, b""
        )
        response = await clients[sender].send(message, DEADLINE_MS / 1e3)
        status = response.status if response else None
        record.write("answer", id=request_id, status=status)

    for number in itertools.count():
        task = asyncio.create_task(send(number))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / SENT_PER_S)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
