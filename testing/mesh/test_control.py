"""Guard against control messages whose effect no log line explains."""

import asyncio
import base64
from typing import Any

from eliot import add_destinations, remove_destination

from eelgrassweir.daemon.http_message import HttpRequest
from eelgrassweir.proto.control_pb2 import Member
from testing.mesh.fleet import BackendStandIn, add_target, mesh_fleet, wait_until

# The platform takes a later response as none.
ACKNOWLEDGEMENT_LIMIT_S = 1.0


def test_leave_of_another_start_has_a_log_line() -> None:
    """Guard against a leave without effect that no log line explains."""
    lines: list[dict[str, Any]] = []

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon = await fleet.add(BackendStandIn("notes", "i-1"))
            leave = HttpRequest("POST", "/-/Instances.Deregister/i-0", (), b"")
            assert (await daemon.control.handle(leave)).status == 200

    add_destinations(lines.append)
    # eliot passes the lines of earlier tests to the first destination.
    lines.clear()
    try:
        asyncio.run(scenario())
    finally:
        remove_destination(lines.append)
    (remembered,) = [
        line for line in lines if line["message_type"] == "backend:leave_remembered"
    ]
    assert (remembered["instance"], remembered["known_instance"]) == ("i-0", "i-1")


def test_heartbeat_with_an_unnamed_service_takes_no_server_out_of_use() -> None:
    """Guard against another writer whose heartbeat outranks all later ones.

    It had a later start, so that those of the sound server were ignored.
    """

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet, "i-1")
            odd = BackendStandIn("no-such-service", "i-1", address=backend.address)
            odd.started_wall_ms = daemon.clock.wall_ms() + 1_000
            response = await daemon.control.handle(odd.make_heartbeat(9))
            assert response.status == 400
            response = await daemon.control.handle(backend.make_heartbeat(2))
            assert response.status == 200
            assert (await fleet.call(daemon, "/a/")).status == 200

    asyncio.run(scenario())


def test_leave_is_stored_before_it_is_acknowledged() -> None:
    """Guard against a leave that is lost with the process that took it."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet, "i-1")
            await daemon.control.handle(backend.make_deregistration())
            item = fleet.store.items["members/vm-0"]
            member = Member.FromString(base64.b64decode(item["value"]))
            assert member.leaving_instance == "i-1"

    asyncio.run(scenario())


def test_leave_is_acknowledged_while_the_store_is_down() -> None:
    """Guard against a backend server that leaves without acknowledgement."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet, "i-1")
            await fleet.add(BackendStandIn("notes", "i-2"))
            await fleet.wait_until_converged()
            fleet.store.fault = "silent"
            async with asyncio.timeout(ACKNOWLEDGEMENT_LIMIT_S):
                response = await daemon.control.handle(backend.make_deregistration())
            assert response.status == 200
            assert daemon.backend.is_leaving

    asyncio.run(scenario())


def test_leave_that_only_one_process_knows_is_not_acknowledged() -> None:
    """Guard against an acknowledgement that the next process breaks.

    The leave was acknowledged after 250 ms, whoever had it. A repeated leave
    was acknowledged at once.
    """

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet, "i-1")
            fleet.store.fault = "silent"
            for _ in range(2):
                async with asyncio.timeout(ACKNOWLEDGEMENT_LIMIT_S):
                    leave = backend.make_deregistration()
                    response = await daemon.control.handle(leave)
                assert response.status == 503
            assert daemon.backend.is_leaving
            fleet.store.fault = ""
            await wait_until(lambda: daemon.feed.is_reached)
            response = await daemon.control.handle(backend.make_deregistration())
            assert response.status == 200

    asyncio.run(scenario())
