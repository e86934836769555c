"""Guard against daemons that do not start, end, or lose requests.

The daemons are real processes, built and started as the deploy file says.
"""

import asyncio
import itertools
import pathlib
import signal

import pytest

from testing.deploy.checkout import Checkout
from testing.deploy.site import Site, SiteVm, exchange, make_request, take_port
from testing.mesh.fleet import make_config_document, make_route

# Zones, and the services of their VMs in turn.
UMGENI = (
    ("stanger", "tongaat", "darnall"),
    ("rota", "rota", "rota", "payroll", "payroll", "payroll", "allocations")
    + ("allocations", "allocations", "planner", "planner", "planner", "rota", "rota"),
)
URQUIOLA = (
    ("bilbao", "santander", "oviedo", "donostia"),
    ("fichero",) * 4 + ("registro",) * 4 + ("redaccion",) * 4 + ("lemario",) * 4,
)
SITES = pytest.mark.parametrize(
    "shape", [UMGENI, URQUIOLA], ids=["umgeni-rota", "urquiola-fichero"]
)
READY_LIMIT_S = 20.0
TRAFFIC_S = 4.0
REQUEST_INTERVAL_S = 0.02


def make_site(
    built: Checkout,
    folder: pathlib.Path,
    shape: tuple[tuple[str, ...], tuple[str, ...]],
) -> Site:
    """Return a site of this shape, with one route to each service."""
    zones, services = shape
    site = Site(built, folder)
    for zone, service in zip(itertools.cycle(zones), services, strict=False):
        site.add_vm(zone, service)
    routes = [
        make_route(f"/{service}/", service, kind=kind, public=False)
        for service, kind in zip(
            sorted(set(services)), itertools.cycle(("safe", "unsafe")), strict=False
        )
    ]
    site.store.put("op/config", make_config_document(1, routes))
    return site


async def send_requests(site: Site, vms: list[SiteVm]) -> list[int | None]:
    """Send requests through the VMs in turn; return the statuses."""
    services = sorted({vm.backend.service for vm in site.vms})
    tasks = []
    count = int(TRAFFIC_S / REQUEST_INTERVAL_S)
    for number in range(count):
        address = vms[number % len(vms)].listen["outbound"]
        request = make_request(f"/{services[number % len(services)]}/1", f"r{number}")
        tasks.append(asyncio.create_task(exchange(address, request)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return await asyncio.gather(*tasks)


@SITES
def test_site_serves_through_restarts(
    built: Checkout,
    tmp_path: pathlib.Path,
    shape: tuple[tuple[str, ...], tuple[str, ...]],
) -> None:
    """Guard against a site that does not start or that loses requests.

    The store comes up after the daemons, and one port is taken at the start.
    """

    async def scenario() -> None:
        site = make_site(built, tmp_path, shape)
        taken = take_port(site.vms[0].listen["outbound"])
        try:
            await site.start_daemons()
            await asyncio.sleep(2.0)
            taken.close()
            await site.start_store()
            paths = [f"/{service}/1" for service in set(shape[1])]
            await site.wait_until_served(paths, READY_LIMIT_S)
            assert not site.list_ended()
            leaving, *others = site.vms
            traffic = asyncio.create_task(send_requests(site, others))
            await asyncio.sleep(0.5)
            assert leaving.process is not None
            leaving.process.send_signal(signal.SIGTERM)
            assert await leaving.process.wait() == 0
            await site.start_daemon(leaving)
            statuses = await traffic
            assert not site.list_ended()
            assert {status for status in statuses if status != 200} == set()
        finally:
            taken.close()
            await site.stop()

    asyncio.run(scenario())
