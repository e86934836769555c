"""Guard against roots admitted while the service below them is full."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse, find_header
from eelgrassweir.mesh.app import Application
from testing.mesh.fleet import (
    KEY,
    BackendStandIn,
    MeshFleet,
    make_route,
    mesh_fleet,
    wait_until,
)

KEYED = ("X-Credential", KEY)
# The backend servers announce themselves once and expire after twelve seconds.
MAX_ROUNDS = 60
LEAF_CALLS = 4


class CallingBackend(BackendStandIn):
    """Backend server that makes calls through its daemon for each request."""

    fleet: MeshFleet
    daemon: Application

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path.startswith("/lists/"):
            for _ in range(LEAF_CALLS):
                await self.fleet.call(self.daemon, "/notes/")
        return await super()._handle(request)


@asynccontextmanager
async def calling_fleet(*, is_enabled: bool) -> AsyncIterator[MeshFleet]:
    """Start a service, the leaf that it calls, and an entry of a third one."""
    async with mesh_fleet() as fleet:
        caller = CallingBackend("lists", "i-0", slots=50)
        changes = {"call_tree_admission": is_enabled}
        caller.fleet = fleet
        caller.daemon = await fleet.add(caller, **changes)
        leaf = BackendStandIn("notes", "i-1", slots=2, delay_s=0.05)
        await fleet.add(leaf, **changes)
        await fleet.add(BackendStandIn("other", "i-2"), **changes)
        fleet.configure(
            make_route("/lists/", "lists", public=False),
            make_route("/notes/", "notes", timeout=400),
        )
        await fleet.wait_until_converged()
        yield fleet


async def send_roots(fleet: MeshFleet) -> list[HttpResponse]:
    """Send roots for 3 s that need about four times the leaf's room."""
    entry = fleet.daemons[2]
    tasks = []
    for _ in range(MAX_ROUNDS):
        tasks.append(asyncio.create_task(fleet.call(entry, "/lists/", KEYED)))
        await asyncio.sleep(0.05)
    return list(await asyncio.gather(*tasks))


def read_tree_refusals(entry: Application) -> float:
    """Return the roots that an entry refused because the leaf is full."""
    labels = {"route": "/lists/", "service": "notes"}
    value = entry.metrics.registry.get_sample_value(
        "eelgrassweir_tree_refusals_total", labels
    )
    return value or 0.0


def test_roots_are_refused_at_an_entry_that_does_not_call_the_leaf() -> None:
    """Guard against reports and costs that do not reach the entry."""

    async def scenario() -> None:
        async with calling_fleet(is_enabled=True) as fleet:
            entry = fleet.daemons[2]
            answers = await send_roots(fleet)
            refused = [answer for answer in answers if answer.status == 503]
            assert refused
            assert all(find_header(a.headers, "retry-after") for a in refused)
            assert 0 < read_tree_refusals(entry) <= len(refused)
            assert entry.trees is not None
            rooms = entry.trees.state()["rooms"]
            assert isinstance(rooms, dict)
            assert "notes" in rooms
            # The reports expire once nothing is sent any more.
            await wait_until(lambda: not entry.trees.state()["rooms"])
            answer = await fleet.call(entry, "/lists/", KEYED)
            assert answer.status == 200

    asyncio.run(scenario())


def test_the_cost_of_a_tree_reaches_the_entry() -> None:
    """Guard against trees whose calls are not counted, or counted twice."""

    async def scenario() -> None:
        async with calling_fleet(is_enabled=True) as fleet:
            entry, target = fleet.daemons[2], fleet.daemons[0]
            for _ in range(8):
                assert (await fleet.call(entry, "/lists/", KEYED)).status == 200
            assert target.trees is not None
            costs = target.trees.state()["tree_run_ms"]
            assert isinstance(costs, dict)
            leaf_ms = costs["/lists/"]["notes"]
            assert math.isclose(leaf_ms, LEAF_CALLS * 50.0, rel_tol=0.5)
            assert read_tree_refusals(entry) == 0.0

    asyncio.run(scenario())


def test_nothing_is_reported_unless_it_is_enabled() -> None:
    """Guard against other behaviour with the setting off."""

    async def scenario() -> None:
        async with calling_fleet(is_enabled=False) as fleet:
            await send_roots(fleet)
            assert all(daemon.trees is None for daemon in fleet.daemons)
            load = fleet.daemons[1].target.load("/notes/")
            assert not load.rooms
            assert not load.call_costs
            assert read_tree_refusals(fleet.daemons[2]) == 0.0

    asyncio.run(scenario())


async def list_run_order(*, is_enabled: bool, other_priority: int = 1) -> list[str]:
    """Return the first letters of the paths run by a backend with one slot.

    Calls and a root of the most urgent team and route wait for it.
    """
    async with mesh_fleet() as fleet:
        leaf = BackendStandIn("notes", "i-0", slots=1, hold=asyncio.Event())
        daemon = await fleet.add(leaf, call_tree_admission=is_enabled)
        fleet.configure(
            make_route("/calls/", "notes", priority=1),
            make_route("/urgent/", "notes", priority=0, public=False),
            make_route("/other/", "notes", priority=other_priority, public=False),
            priority=0,
        )
        await fleet.wait_until_converged()
        tasks = []
        for count, path in enumerate(("/calls/", "/calls/", "/urgent/"), start=1):
            headers = (KEYED,) if path == "/urgent/" else ()
            tasks.append(asyncio.create_task(fleet.call(daemon, path, *headers)))
            await wait_until(lambda n=count: daemon.target.running_calls == n)
        assert leaf.hold is not None
        leaf.hold.set()
        await asyncio.gather(*tasks)
        return [run.path[1] for run in leaf.runs]


def test_the_most_urgent_roots_do_not_wait_behind_calls() -> None:
    """Guard against urgent roots that wait for less urgent trees."""

    async def scenario() -> None:
        assert await list_run_order(is_enabled=True) == ["c", "u", "c"]
        assert await list_run_order(is_enabled=False) == ["c", "c", "u"]

    asyncio.run(scenario())


def test_calls_stay_ahead_of_roots_that_are_all_equally_urgent() -> None:
    """Guard against calls of running requests that wait behind new roots."""

    async def scenario() -> None:
        order = await list_run_order(is_enabled=True, other_priority=0)
        assert order == ["c", "c", "u"]

    asyncio.run(scenario())
