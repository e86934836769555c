"""Guard against requests that are refused for the form of their head."""

import asyncio

from testing.mesh.fleet import HOST, KEY, add_target, mesh_fleet


def test_absolute_form_reaches_the_route_of_its_host() -> None:
    """Guard against a 404 for a path that the configuration serves."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet)
            key = ("X-Credential", KEY)
            response = await fleet.call(daemon, f"http://{HOST}/a/1?b=2", key)
            assert response.status == 200
            assert [run.path for run in backend.runs] == ["/a/1?b=2"]

    asyncio.run(scenario())
