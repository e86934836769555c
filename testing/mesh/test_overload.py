"""Guard against an overload that outlasts its cause."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from eelgrassweir.daemon.http_message import find_header
from eelgrassweir.mesh.app import Application
from testing.mesh.fleet import KEY, BackendStandIn, MeshFleet, make_route, mesh_fleet

KEYED = ("X-Credential", KEY)
# The backend servers of these tests announce themselves once, which counts for
# twelve seconds.
ROUNDS = 35


async def refused_roots(fleet: MeshFleet, entry: Application, *, full: bool) -> int:
    """Send requests while calls of their target find room or none.

    Returns how many were refused at once.
    """
    fleet.backends[0].status = 500 if full else 200
    refused = 0
    for _ in range(ROUNDS):
        calls = [fleet.call(entry, "/notes/") for _ in range(4 if full else 0)]
        root, *_answers = await asyncio.gather(
            fleet.call(entry, "/lists/", KEYED), *calls
        )
        if root.status == fleet.backends[0].status:
            continue
        refused += 1
        assert root.status == 503
        assert find_header(root.headers, "retry-after") is not None
    return refused


@asynccontextmanager
async def overloaded_fleet(timeout_ms: int) -> AsyncIterator[MeshFleet]:
    """Start a daemon beside a target whose calls go to one with one slot."""
    async with mesh_fleet() as fleet:
        await fleet.add(BackendStandIn("lists", "i-0"))
        await fleet.add(BackendStandIn("notes", "i-1", slots=1, delay_s=0.05))
        fleet.configure(
            make_route("/lists/", "lists", public=False),
            make_route("/notes/", "notes", timeout=timeout_ms),
        )
        await fleet.wait_until_converged()
        yield fleet


def test_requests_are_refused_while_calls_below_them_find_no_room() -> None:
    """Targets ran requests again and again whose calls were refused."""

    async def scenario() -> None:
        async with overloaded_fleet(timeout_ms=100) as fleet:
            entry = fleet.daemons[0]
            assert await refused_roots(fleet, entry, full=False) == 0
            await refused_roots(fleet, entry, full=True)
            assert await refused_roots(fleet, entry, full=True) > ROUNDS / 4
            assert len(fleet.backends[0].runs) > ROUNDS

    asyncio.run(scenario())


def test_requests_go_on_while_runs_fail_for_other_reasons() -> None:
    """Guard against refusals that no room below could end."""

    async def scenario() -> None:
        async with overloaded_fleet(timeout_ms=2_000) as fleet:
            assert await refused_roots(fleet, fleet.daemons[0], full=True) == 0

    asyncio.run(scenario())


def test_calls_that_backend_servers_refuse_bound_nothing() -> None:
    """A server that refused at random had requests refused as well."""

    async def scenario() -> None:
        async with overloaded_fleet(timeout_ms=2_000) as fleet:
            fleet.backends[1].not_executed = True
            assert await refused_roots(fleet, fleet.daemons[0], full=True) == 0

    asyncio.run(scenario())
