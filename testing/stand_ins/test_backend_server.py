"""Tests of the backend server stand-in: counts, slots, deadlines, children."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest

from testing.stand_ins.backend_server import BackendServer, Spec, is_intact
from testing.stand_ins.http1 import ClientPool, ExchangeError, Response

Start = Callable[..., Awaitable[tuple[BackendServer, ClientPool]]]
DEADLINE_S = 5.0


def with_servers(test: Callable[[Start], Coroutine[Any, Any, None]]) -> None:
    """Run ``test`` and stop the servers that it starts."""

    async def run() -> None:
        servers = []

        async def start(**fields: Any) -> tuple[BackendServer, ClientPool]:
            server = BackendServer(Spec(**{"service_ms": 1.0, **fields}))
            await server.start()
            servers.append(server)
            return server, ClientPool(server.address)

        try:
            await test(start)
        finally:
            for server in servers:
                await server.stop()

    asyncio.run(run())


async def wait_until(check: Callable[[], bool]) -> None:
    async with asyncio.timeout(DEADLINE_S):
        while not check():
            await asyncio.sleep(0.005)


def call(pool: ClientPool, path: str, marker: str) -> Coroutine[Any, Any, Response]:
    return pool.request("GET", path, [(b"X-Marker", marker.encode())])


def test_response_is_intact_for_its_own_marker_only() -> None:
    """Guard against accepting another request's or a truncated response."""

    async def test(start: Start) -> None:
        _, pool = await start(service="fichero", payload_bytes=5000)
        document = json.loads((await call(pool, "/fichero/view", "m1")).body)
        assert is_intact(document, "m1")
        assert not is_intact(document, "m2")
        assert not is_intact({**document, "payload": document["payload"][:-1]}, "m1")

    with_servers(test)


def test_slots_and_queue_limit_concurrent_requests() -> None:
    """Guard against more runs than slots and a queue above its limit."""

    async def test(start: Start) -> None:
        server, pool = await start(
            service="fichero", slots=2, queue_limit=3, service_ms=50.0
        )
        calls = [call(pool, "/fichero/view", f"m{number}") for number in range(10)]
        statuses = [response.status for response in await asyncio.gather(*calls)]
        assert statuses.count(200) == 5
        assert statuses.count(503) == 5
        assert server.get_state(full=False)["max_in_flight"] == 2

    with_servers(test)


def test_closed_connection_cancels_the_request_and_releases_its_slot() -> None:
    """Guard against runs that go on after their caller has disconnected."""

    async def test(start: Start) -> None:
        server, pool = await start(service="fichero", slots=1, service_ms=60_000.0)
        with pytest.raises(TimeoutError):
            await pool.request("GET", "/fichero/view", timeout_ms=50.0)
        await wait_until(lambda: server.counts["stopped"] == 1)
        state = server.get_state(full=True)
        assert state["in_flight"] == 0
        assert state["runs"] == [["GET /fichero/view", "", 1, 0]]

    with_servers(test)


def test_deadline_cancels_the_request() -> None:
    """Guard against runs that go on after their deadline."""

    async def test(start: Start) -> None:
        server, pool = await start(service="fichero", slots=1, service_ms=60_000.0)
        headers = [(b"eelgrassweir-deadline-ms", b"30")]
        response = await pool.request("GET", "/fichero/view", headers)
        assert response.status == 504
        assert server.get_state(full=False)["in_flight"] == 0

    with_servers(test)


def test_child_calls_carry_marker_and_context() -> None:
    """Guard against lost headers, retries or runs of child calls."""

    async def test(start: Start) -> None:
        child, child_pool = await start(service="registro", fail_percent=0.0)
        calls = [{"method": "POST", "path": "/registro/file"}]
        parent, pool = await start(
            service="fichero",
            egress_address=child_pool.address,
            children={"/fichero/file": calls},
            child_retries=2,
        )
        headers = [(b"X-Marker", b"m1"), (b"eelgrassweir-context", b"c1")]
        response = await pool.request("POST", "/fichero/file", headers)
        assert response.status == 200
        assert is_intact(json.loads(response.body), "m1")
        seen = child.get_state(full=True)["headers"]
        assert seen["Eelgrassweir-Context"] == ["c1"]
        child.spec.fail_percent = 100.0
        response = await pool.request("POST", "/fichero/file", headers)
        assert response.status == 502
        runs = dict(
            (operation, started)
            for operation, _, started, _ in child.get_state(full=True)["runs"]
        )
        assert runs["POST /registro/file"] == 4

    with_servers(test)


def test_refused_connection_is_reported_as_not_sent() -> None:
    """Guard against counting a request as sent without a connection."""

    async def test(start: Start) -> None:
        server, pool = await start(service="fichero")
        await server.stop()
        with pytest.raises(ExchangeError) as error:
            await call(pool, "/fichero/view", "m1")
        assert not error.value.sent

    with_servers(test)
