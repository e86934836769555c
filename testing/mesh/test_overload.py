"""Guard against an overload that persists after its cause has ended."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

from eelgrassweir.daemon.http_message import HttpRequest, find_header
from eelgrassweir.mesh.app import Application
from eelgrassweir.mesh.entry import CHILD_PRIORITY
from testing.mesh.fleet import (
    HOST,
    KEY,
    BackendStandIn,
    MeshFleet,
    add_target,
    make_route,
    mesh_fleet,
    wait_until,
)

KEYED = ("X-Credential", KEY)
# The backend servers of these tests announce themselves once, and expire after
# twelve seconds; the rounds must end before that.
ROUNDS = 35


async def count_refused_roots(
    fleet: MeshFleet, entry: Application, *, is_failing: bool
) -> int:
    """Send root requests and return how many the entry refused.

    With ``is_failing`` their target fails each of them, and makes four calls
    with each.
    """
    fleet.backends[0].status = 500 if is_failing else 200
    refused = 0
    for _ in range(ROUNDS):
        calls = [fleet.call(entry, "/notes/") for _ in range(4 if is_failing else 0)]
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
    """Start a target of root requests, and one with one slot for its calls."""
    async with mesh_fleet() as fleet:
        await fleet.add(BackendStandIn("lists", "i-0"))
        await fleet.add(BackendStandIn("notes", "i-1", slots=1, delay_s=0.05))
        fleet.configure(
            make_route("/lists/", "lists", public=False),
            make_route("/notes/", "notes", timeout=timeout_ms),
        )
        await fleet.wait_until_converged()
        yield fleet


def test_requests_are_refused_while_calls_below_them_lack_capacity() -> None:
    """Guard against running requests whose calls are then refused."""

    async def scenario() -> None:
        async with overloaded_fleet(timeout_ms=100) as fleet:
            entry = fleet.daemons[0]
            assert await count_refused_roots(fleet, entry, is_failing=False) == 0
            await count_refused_roots(fleet, entry, is_failing=True)
            assert await count_refused_roots(fleet, entry, is_failing=True) > ROUNDS / 4
            assert len(fleet.backends[0].runs) > ROUNDS

    asyncio.run(scenario())


def test_requests_are_admitted_while_runs_fail_for_other_reasons() -> None:
    """Guard against refusals for failures that are not a lack of capacity."""

    async def scenario() -> None:
        async with overloaded_fleet(timeout_ms=2_000) as fleet:
            assert (
                await count_refused_roots(fleet, fleet.daemons[0], is_failing=True) == 0
            )

    asyncio.run(scenario())


def test_refusals_by_backend_servers_do_not_limit_requests() -> None:
    """Guard against refusals because a backend server refuses at random."""

    async def scenario() -> None:
        async with overloaded_fleet(timeout_ms=2_000) as fleet:
            fleet.backends[1].is_refusing = True
            assert (
                await count_refused_roots(fleet, fleet.daemons[0], is_failing=True) == 0
            )

    asyncio.run(scenario())


def test_run_that_failed_because_of_a_call_is_not_repeated() -> None:
    """Guard against second runs that use up the retries of the calls below.

    Load of a day on which all targets of the deepest service refused a part of
    their requests: the runs above were repeated, with all their calls, while
    most refused calls were not.
    """

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            entry = await fleet.add(BackendStandIn("lists", "i-0"))
            middle = BackendStandIn("notes", "i-1", status=500)
            caller = await fleet.add(middle)
            second = BackendStandIn("notes", "i-2")
            await fleet.add(second)
            fleet.configure(
                make_route("/a/", "notes", public=False, attempts=3),
                make_route("/gone/", "nowhere"),
            )
            await fleet.wait_until_converged()
            for _ in range(20):
                await fleet.call(entry, "/a/", KEYED)
            assert second.runs
            repeated = entry.metrics.retries.labels("notes")._value.get()
            assert repeated > 0
            for _ in range(10):
                # A call of the middle service that fails.
                assert (await fleet.call(caller, "/gone/")).status == 503
                await fleet.call(entry, "/a/", KEYED)
            assert entry.metrics.retries.labels("notes")._value.get() <= repeated + 1

    asyncio.run(scenario())


def test_daemon_that_is_behind_serves_calls_and_refuses_new_requests() -> None:
    """Guard against new work while what has begun waits for the processor."""
    headers = (("Host", HOST), ("X-Request-Id", "r"))

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet)
            call = HttpRequest(
                "GET", "/a/", headers, b"", waited_ms=200.0, has_waited_too_long=True
            )
            root = attrs.evolve(call, headers=(*headers, KEYED))
            assert (await daemon.entry.handle(call)).status == 200
            refused = await daemon.entry.handle(root)
            assert refused.status == 503
            assert find_header(refused.headers, "retry-after") is not None
            root = attrs.evolve(root, has_waited_too_long=False)
            assert (await daemon.entry.handle(root)).status == 200
            assert len(backend.runs) == 2

    asyncio.run(scenario())


def test_request_whose_time_is_over_when_it_starts_is_not_sent() -> None:
    """Guard against runs for callers that no longer wait."""
    deadline = ("X-Deadline-Milliseconds", "150")
    headers = (("Host", HOST), ("X-Request-Id", "r"), deadline)

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet)
            late = HttpRequest("GET", "/a/", headers, b"", waited_ms=200.0)
            assert (await daemon.entry.handle(late)).status == 503
            assert not backend.runs
            in_time = attrs.evolve(late, waited_ms=20.0)
            assert (await daemon.entry.handle(in_time)).status == 200
            (run,) = backend.runs
            remaining = find_header(run.headers, "x-deadline-milliseconds")
            assert int(remaining or 0) <= 130

    asyncio.run(scenario())


def test_heartbeats_start_before_the_requests_that_wait() -> None:
    """Guard against backend servers that are lost while a daemon is behind."""
    started: list[str] = []

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet)
            queue = daemon.start_queue
            for server in (daemon.control_server, daemon.ready_server):
                heartbeat = backend.make_heartbeat(2)
                priority = server.get_priority(heartbeat)
                queue.add(lambda _: started.append("call"), priority=CHILD_PRIORITY)
                queue.add(lambda _: started.append("control"), priority=priority)
            await wait_until(lambda: len(started) == 4)

    asyncio.run(scenario())
    assert started == ["control", "control", "call", "call"]
