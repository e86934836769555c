"""Many changes of a large configuration, and the memory of the daemons."""

import asyncio
import pathlib
import sys
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins.deployment import (  # noqa: E402
    Deployment,
    Record,
    make_route,
    run_case,
)
from stand_ins.lookups import repeat_lookup  # noqa: E402
from stand_ins.memory import limit_memory  # noqa: E402

ZONES = ["stanger", "tongaat", "darnall", "mandini"]
KEY = "key-of-the-gang"
WORK_S = 0.26
ROUTE_TIMEOUT_MS = 2_000
DEADLINE_MS = 6_000
# Most machines of the grown sites.
MEMORY_MB = 200
# big_config: the site's dose is 1,400 routes more; it comes three times.
BIG_CONFIGS, MORE_ROUTES = 3, 1_400
# config_storm: the site's dose is a change each 0.33 s for 4 s.
STORM_S, GAP_S, PAUSE_S = 4.0, 0.33, 0.5
STORMS = 17
LOOKUPS_PER_MACHINE = 5
# LOST is broken by more than this many requests.
ALLOWED_LOST = 3


async def play(record: Record, folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether no more requests were lost than the rule allows."""
    deployment = Deployment(record, ZONES, folder)
    for zone in ZONES:
        deployment.add_machine(zone, "rota-board", lambda: WORK_S)
    routes = [make_route("/rota-view/", "safe", "rota-board", ROUTE_TIMEOUT_MS)]
    tenants = [{"name": "gang", "apiKeys": [KEY], "priority": 1}]
    deployment.configure(routes, tenants)
    stop = asyncio.Event()
    try:
        await deployment.start()
        limits = [
            asyncio.create_task(limit_memory(record, machine, MEMORY_MB))
            for machine in deployment.machines
        ]
        lookups = [
            asyncio.create_task(
                repeat_lookup(
                    record,
                    machine,
                    f"{machine.name}-{number}",
                    "/rota-view/1",
                    KEY,
                    DEADLINE_MS,
                    stop,
                )
            )
            for machine in deployment.machines
            for number in range(LOOKUPS_PER_MACHINE)
        ]
        await change_configuration(deployment, routes, tenants, has_trouble)
        await asyncio.sleep(1.0)
        stop.set()
        lost = await asyncio.gather(*lookups)
        for limit in limits:
            limit.cancel()
        run_ids = {run.request_id for run in deployment.runs}
        counted = [request_id for request_id in lost if request_id in run_ids]
        record.write_runs(deployment.runs)
        record.write("result", lost=len(counted), allowed=ALLOWED_LOST)
        return len(counted) <= ALLOWED_LOST
    finally:
        deployment.stop()


async def change_configuration(
    deployment: Deployment,
    routes: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
    is_big: bool,
) -> None:
    """Let the configuration grow, and change it again and again."""
    for step in range(BIG_CONFIGS if is_big else 0):
        for number in range(MORE_ROUTES):
            prefix = f"/more-{step}-{number}/"
            routes.append(make_route(prefix, "safe", "rota-board", ROUTE_TIMEOUT_MS))
        deployment.configure(routes, tenants)
        await asyncio.sleep(1.0)
    for _ in range(STORMS):
        if all(
            machine.process is not None and machine.process.poll() is not None
            for machine in deployment.machines
        ):
            return
        for change in range(int(STORM_S / GAP_S)):
            routes[0]["timeout"] = ROUTE_TIMEOUT_MS + change
            deployment.configure(routes, tenants)
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(PAUSE_S)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
