"""Guard against speed reports that get lost between two daemons."""

import asyncio
from typing import Any

from testing.mesh.fleet import (
    KEY,
    BackendStandIn,
    make_route,
    mesh_fleet,
    wait_until,
)

KEYED = ("X-Credential", KEY)
DELAY_S = 0.05


async def call_placed(fleet: Any, *, is_on: bool) -> dict[str, Any]:
    """Send requests over a link; return the entry's dump of the placement."""
    entry = await fleet.add(BackendStandIn("lists", "i-0"), speed_aware_placement=is_on)
    for number in (1, 2):
        backend = BackendStandIn("notes", f"i-{number}", delay_s=DELAY_S)
        await fleet.add(backend, speed_aware_placement=is_on)
    fleet.configure(make_route("/a/", "notes", public=False))
    await fleet.wait_until_converged()
    for _ in range(8):
        assert (await fleet.call(entry, "/a/b", KEYED)).status == 200
    await asyncio.sleep(0.11)
    assert (await fleet.call(entry, "/a/b", KEYED)).status == 200
    placement: dict[str, Any] = entry.state()["placement"]
    return placement


def test_entry_learns_the_run_times_of_targets() -> None:
    """Guard against a placement that never gets reports or answer times."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            notes = (await call_placed(fleet, is_on=True))["notes"]
            assert notes["mean_service_ms"] >= 1e3 * DELAY_S
            assert notes["late_ms"] >= 1e3 * DELAY_S
            assert set(notes["slowness"]) == {"vm-1", "vm-2"}
            assert notes["paused"] == []

    asyncio.run(scenario())


def test_paused_target_is_named_in_the_dump() -> None:
    """Guard against a pause that an operator cannot see."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            await call_placed(fleet, is_on=True)
            entry = fleet.daemons[0]
            for backend in fleet.backends[1:]:
                backend.hold = asyncio.Event()
            calls = [
                asyncio.create_task(fleet.call(entry, "/a/b", KEYED)) for _ in range(8)
            ]

            def is_seen() -> bool:
                placement: Any = entry.state()["placement"]
                return bool(placement["notes"]["paused"])

            await wait_until(is_seen)
            for backend in fleet.backends[1:]:
                assert backend.hold is not None
                backend.hold.set()
            await asyncio.gather(*calls)
            assert not is_seen()

    asyncio.run(scenario())


def test_nothing_is_reported_while_the_setting_is_off() -> None:
    """Guard against reports of run times that nobody asked for."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            assert await call_placed(fleet, is_on=False) == {}
            for daemon in fleet.daemons:
                load = daemon.target.load()
                assert (load.service_ms, load.stalled_ms) == (0, 0)

    asyncio.run(scenario())
