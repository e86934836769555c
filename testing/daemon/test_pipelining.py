"""Guard against pipelined requests that are lost, or run for nobody.

A daemon that does not read a connection sees neither the rest of a request nor
the end of the connection.
"""

import asyncio

import pytest

from eelgrassweir.daemon.http_connection import MAX_PENDING_REQUESTS, MAX_UNPARSED_BYTES
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer

HEAD_TIMEOUT_S = 0.2
SLOW_S = 0.6
LIMIT_S = 5.0


def make_get(path: str, padding_bytes: int = 0) -> bytes:
    """Return the bytes of a request without a body."""
    padding = b"Padding: " + b"x" * padding_bytes + b"\r\n"
    return b"GET " + path.encode() + b" HTTP/1.1\r\n" + padding + b"\r\n"


async def answer_slowly(request: HttpRequest) -> HttpResponse:
    """Answer after some time if the path says so."""
    if request.path == "/slow":
        await asyncio.sleep(SLOW_S)
    return HttpResponse(200, (), request.path.encode())


async def start_server() -> HttpServer:
    """Start a server whose requests must be complete within a short time."""
    server = HttpServer(answer_slowly, body_limit_bytes=1_000)
    server.head_timeout_s = HEAD_TIMEOUT_S
    await server.start("127.0.0.1", 0)
    return server


@pytest.mark.parametrize("padding_bytes", [0, 20_000])
def test_request_that_is_not_read_in_time_by_the_server_is_answered(
    padding_bytes: int,
) -> None:
    """Guard against a kept connection that is aborted with requests at work.

    Four requests were pending, so that the connection was not read, and the
    rest of the fifth one was taken for missing (review/2). Padded requests
    reach the limit in bytes.
    """

    async def scenario() -> bytes:
        server = await start_server()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        last = make_get("/5", padding_bytes)
        data = make_get("/slow", padding_bytes)
        data += b"".join(make_get(f"/{n}", padding_bytes) for n in range(1, 5))
        writer.write(data + last[:20])
        await asyncio.sleep(0.05)
        writer.write(last[20:] + b"GET /6 HTTP/1.1\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), LIMIT_S)
        writer.close()
        await server.stop()
        return answer

    answer = asyncio.run(scenario())
    assert answer.count(b"HTTP/1.1 200") == 7
    assert answer.endswith(b"/6")


def test_request_that_stays_incomplete_costs_no_earlier_answer() -> None:
    """Guard against answers that are lost with a later, unfinished request."""

    async def scenario() -> bytes:
        server = await start_server()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(make_get("/slow") + make_get("/1") + make_get("/2")[:20])
        answer = await asyncio.wait_for(reader.read(), LIMIT_S)
        writer.close()
        await server.stop()
        return answer

    answer = asyncio.run(scenario())
    assert answer.count(b"HTTP/1.1 ") == answer.count(b"HTTP/1.1 200") == 2
    assert answer.endswith(b"/1")


def test_close_of_a_pipelining_caller_cancels_its_requests() -> None:
    """Guard against work for a caller that has left with requests pending."""
    running: set[str] = set()

    async def handle(request: HttpRequest) -> HttpResponse:
        running.add(request.path)
        try:
            await asyncio.sleep(LIMIT_S)
        finally:
            running.discard(request.path)
        return HttpResponse(200, (), b"")

    async def scenario() -> None:
        server = HttpServer(handle, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"".join(make_get(f"/{number}") for number in range(8)))
        async with asyncio.timeout(LIMIT_S / 2):
            while len(running) < 4:
                await asyncio.sleep(0.01)
            writer.close()
            while running:
                await asyncio.sleep(0.01)
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("request_count", [64, 1_000, 20_000])
def test_close_behind_many_pipelined_requests_is_seen(request_count: int) -> None:
    """Guard against work for a caller whose requests hide its close.

    The last case is more than a connection may hold.
    """
    running: set[str] = set()

    async def handle(request: HttpRequest) -> HttpResponse:
        running.add(request.path)
        try:
            await asyncio.sleep(2 * LIMIT_S)
        finally:
            running.discard(request.path)
        return HttpResponse(200, (), b"")

    async def scenario() -> None:
        server = HttpServer(handle, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(make_get("/") * request_count)
        async with asyncio.timeout(LIMIT_S):
            while not running:
                await asyncio.sleep(0.01)
            await writer.drain()
        writer.close()
        async with asyncio.timeout(0.5):
            while running:
                await asyncio.sleep(0.01)
        await server.stop()

    asyncio.run(scenario())


def test_requests_beyond_the_limits_of_a_connection_are_left_to_a_new_one() -> None:
    """Guard against memory without end, and answers that are lost with it."""
    started: list[str] = []
    release = asyncio.Event()

    async def handle(request: HttpRequest) -> HttpResponse:
        started.append(request.path)
        await release.wait()
        return HttpResponse(200, (), b"")

    async def scenario() -> bytes:
        server = HttpServer(handle, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        for _ in range(20):
            writer.write(make_get("/") * 2_000)
            await writer.drain()
            (connection,) = server._connections
            assert len(connection._unparsed) <= MAX_UNPARSED_BYTES
        release.set()
        answer = await asyncio.wait_for(reader.read(), LIMIT_S)
        writer.close()
        await server.stop()
        return answer

    answer = asyncio.run(scenario())
    assert answer.count(b"HTTP/1.1 200") == len(started) >= MAX_PENDING_REQUESTS
    assert answer.count(b"Connection: close") == 1
    assert answer.rpartition(b"HTTP/1.1 200")[2].count(b"Connection: close") == 1


@pytest.mark.parametrize("request_count", [100, 3_000])
def test_requests_that_had_to_wait_for_room_are_answered_in_order(
    request_count: int,
) -> None:
    """Guard against requests that are lost while a connection is full."""

    async def scenario() -> list[bytes]:
        server = await start_server()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(make_get("/slow"))
        await asyncio.sleep(0.05)
        for number in range(request_count):
            writer.write(make_get(f"/{number}"))
            if number % 50 == 0:
                await asyncio.sleep(0)
        writer.write(b"GET /last HTTP/1.1\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), 2 * LIMIT_S)
        writer.close()
        await server.stop()
        return [part.rpartition(b"\r\n\r\n")[2] for part in answer.split(b"HTTP/1.1")]

    bodies = asyncio.run(scenario())
    paths = [f"/{number}".encode() for number in range(request_count)]
    assert bodies == [b"", b"/slow", *paths, b"/last"]


def test_pending_requests_of_a_connection_are_bounded() -> None:
    """Guard against a caller that fills the memory with small requests."""
    started = 0

    async def handle(_request: HttpRequest) -> HttpResponse:
        nonlocal started
        started += 1
        await asyncio.sleep(LIMIT_S)
        return HttpResponse(200, (), b"")

    async def scenario() -> None:
        server = HttpServer(handle, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        # One read may hold more requests than the limit.
        writer.write(make_get("/") * (MAX_PENDING_REQUESTS - 1))
        await asyncio.sleep(0.2)
        (connection,) = server._connections
        assert not connection._is_parsing_paused
        writer.write(make_get("/"))
        async with asyncio.timeout(LIMIT_S / 2):
            while not connection._is_parsing_paused:
                await asyncio.sleep(0.01)
        assert started == 4
        writer.close()
        await server.stop()

    asyncio.run(scenario())
