"""Clients of a tenant that move between machines, and then become many."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins.client import Clients  # noqa: E402
from stand_ins.deployment import (  # noqa: E402
    BOUNDS,
    Deployment,
    Record,
    make_request,
    make_route,
    run_case,
)
from stand_ins.quota import count_most_in_window, get_allowed_calls  # noqa: E402

ZONES = ["stanger", "tongaat", "darnall"]
MACHINES_PER_ZONE = 4
KEY = "key-of-the-gang"
WORK_S = 0.12
ROUTE_TIMEOUT_MS = 800
DEADLINE_MS = 6_000
RATE_PER_S = 80
BURST = 80
# A tenant's quota is 1.6 times what it usually sends (quota_x of the site).
USUAL_PER_S = RATE_PER_S / 1.6
# hot_tenant: the largest dose of the site is x = 7.5 for 6.5 s.
HOT_FACTOR, HOT_S = 7.5, 6.5
# shift: the largest dose of the site is a half of a zone's clients for 6.5 s.
STAY_S = 3.0


class Tenant:
    """Send the requests of one tenant and note when each was sent."""

    def __init__(self, record: Record, deployment: Deployment) -> None:
        self._record = record
        self._clients = [Clients(m.outbound) for m in deployment.machines]
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent_s: dict[str, float] = {}

    async def send_for(
        self, machines: list[int], per_s: float, duration_s: float
    ) -> None:
        """Send at an even rate from some machines in turn."""
        started_s = time.monotonic()
        count = int(per_s * duration_s)
        for index in range(count):
            wait_s = started_s + index / per_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            machine = machines[index % len(machines)]
            task = asyncio.create_task(self._send(machine))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, machine: int) -> None:
        request_id = f"q{len(self.sent_s)}"
        self.sent_s[request_id] = time.monotonic()
        self._record.write("sent", id=request_id, machine=machine)
        message = make_request("GET", "/rota-view/1", request_id, DEADLINE_MS, KEY, b"")
        response = await self._clients[machine].send(message, DEADLINE_MS / 1e3)
        status = response.status if response else None
        self._record.write("answer", id=request_id, status=status)

    async def finish(self) -> None:
        """Wait for the responses that are still due."""
        await asyncio.gather(*self._tasks)
        for clients in self._clients:
            clients.close()


async def play(record: Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether the tenant stayed within its quota."""
    deployment = Deployment(record, ZONES, folder)
    for _ in range(MACHINES_PER_ZONE):
        for zone in ZONES:
            deployment.add_machine(zone, "rota-board", lambda: WORK_S)
    tenant = {"name": "gang", "apiKeys": [KEY], "priority": 1}
    deployment.configure(
        [make_route("/rota-view/", "safe", "rota-board", ROUTE_TIMEOUT_MS)],
        [tenant | {"ratePerS": RATE_PER_S, "burst": BURST}],
    )
    machines = list(range(len(deployment.machines)))
    try:
        await deployment.start()
        sender = Tenant(record, deployment)
        for machine in machines:
            # Without the trouble, the clients stay where they are.
            await sender.send_for([machine * has_trouble], USUAL_PER_S, STAY_S)
        record.write("hot_tenant", x=HOT_FACTOR)
        await sender.send_for(machines, USUAL_PER_S * HOT_FACTOR, HOT_S)
        await sender.finish()
        record.write_runs(deployment.runs)
        times_s = [
            (sender.sent_s[run.request_id], run.started_s)
            for run in deployment.runs
            if run.request_id in sender.sent_s
        ]
        allowed = get_allowed_calls(RATE_PER_S, BURST, BOUNDS)
        most = count_most_in_window(times_s, BOUNDS["quotaWindow"])
        record.write("result", most_in_window=most, allowed=allowed)
        return most <= allowed
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
