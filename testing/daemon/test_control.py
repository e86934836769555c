"""Guard against daemons that do not find each other or lose changes."""

import asyncio
from collections.abc import Awaitable, Callable

from eelgrassweir.proto.control_pb2 import READY
from testing.daemon.control_fakes import DOMAINS, Fleet, make_document

SEED = 71


def run_fleet(scenario: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run a scenario and stop its fleet."""

    async def run() -> None:
        fleet = Fleet(SEED)
        try:
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(run())


async def start_all(fleet: Fleet, count: int, **changes: object) -> None:
    """Start ``count`` daemons spread over the domains."""
    for number in range(count):
        domain = DOMAINS[number % len(DOMAINS)]
        await fleet.start(f"vm{number:02}", domain, **changes)


def all_have(fleet: Fleet, version: int) -> bool:
    """Tell whether all daemons have the version and know each other."""
    planes = fleet.planes.values()
    return all(
        plane.config is not None
        and plane.config.version == version
        and plane.members.live_count() == len(fleet.planes)
        and plane.is_fresh()
        for plane in planes
    )


def test_daemons_find_each_other_and_get_the_configuration() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.store.set_config(make_document(1))
        await start_all(fleet, 9)
        fleet.planes["vm04"].announce(service="fichero", slots=110, state=READY)
        await fleet.until(lambda: all_have(fleet, 1))
        fleet.store.set_config(make_document(2))
        await fleet.until(lambda: all_have(fleet, 2))
        planes = fleet.planes.values()
        await fleet.until(
            lambda: all(len(plane.members.ready("fichero")) == 1 for plane in planes)
        )
        assert sum(plane.is_relay() for plane in planes) == len(DOMAINS)

    run_fleet(scenario)
