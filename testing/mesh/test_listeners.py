"""Guard against a daemon that takes part before it can be reached."""

import asyncio

import pytest

from testing.deploy.site import exchange, take_port
from testing.mesh.fleet import BackendStandIn, make_mesh_settings, mesh_fleet


@pytest.mark.parametrize("purpose", ["callers", "link"])
def test_heartbeat_is_acknowledged_only_once_the_daemon_can_be_reached(
    purpose: str,
) -> None:
    """Guard against a ready backend server whose callers are refused."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            backend = BackendStandIn("notes", "i-0")
            await backend.start()
            settings = make_mesh_settings("vm-0", "notes", backend.address)
            heartbeat = backend.make_heartbeat()
            taken = take_port(getattr(settings, f"{purpose}_address"))
            daemon = fleet.make_daemon(settings)
            fleet.daemons.append(daemon)
            start = asyncio.create_task(daemon.start())
            try:
                for _ in range(5):
                    await asyncio.sleep(0.05)
                    assert await exchange(settings.control_address, heartbeat) is None
                    assert await exchange(settings.ready_address, heartbeat) is None
            finally:
                taken.close()
                await start
                assert backend.server is not None
                await backend.server.stop()
            assert await exchange(settings.control_address, heartbeat) == 200

    asyncio.run(scenario())
