"""Guard against refusals of heads within the limit, however they arrive."""

import asyncio
import socket

import pytest

from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer

LIMIT_BYTES = 16_384
LIMIT_S = 20.0
SHORT = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
START = b"GET / HTTP/1.1\r\nHost: a\r\n"
LONG_FIELD = START + b"X-A: " + b"a" * 16_300 + b"\r\n\r\n"
# Their names and values have 16,000 bytes, with their separators 28,000.
SHORT_FIELDS = START + b"ab:cd\r\n" * 4_000 + b"\r\n"
TRAILERS = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nbody\r\n0\r\nX-A: " + b"a" * 10_000 + b"\r\n\r\n"
)
CHUNKS = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"1\r\na\r\n" * 20_000
    + b"0\r\n\r\n"
)


async def answer(_request: HttpRequest) -> HttpResponse:
    """Answer any request."""
    return HttpResponse(200, (), b"")


@pytest.mark.parametrize("part_bytes", [1_000, 8_192, 1_000_000])
@pytest.mark.parametrize(
    "request_bytes",
    [LONG_FIELD, SHORT_FIELDS, TRAILERS, CHUNKS],
    ids=["long_field", "short_fields", "trailers", "chunks"],
)
def test_request_within_the_limits_is_served(
    request_bytes: bytes, part_bytes: int
) -> None:
    """Guard against bounds that count what the limit does not."""

    async def scenario() -> None:
        server = HttpServer(answer, body_limit_bytes=100_000)
        server.head_limit_bytes = LIMIT_BYTES
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        sent = SHORT * 3 + request_bytes + SHORT + request_bytes
        async with asyncio.timeout(LIMIT_S):
            for start in range(0, len(sent), part_bytes):
                writer.write(sent[start : start + part_bytes])
                await writer.drain()
            for _ in range(6):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 ")
        writer.close()
        await server.stop()
        assert server.held.incomplete_heads.used_bytes == 0

    asyncio.run(scenario())


def test_many_idle_connections_are_kept() -> None:
    """Guard against a bound that usual clients reach."""

    async def scenario() -> None:
        server = HttpServer(answer, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        streams = [
            await asyncio.open_connection("127.0.0.1", server.port) for _ in range(400)
        ]
        async with asyncio.timeout(LIMIT_S):
            for reader, writer in streams:
                writer.write(SHORT)
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 ")
        assert server.connection_count == 400
        for _, writer in streams:
            writer.close()
        await server.stop()

    asyncio.run(scenario())


def test_oldest_incomplete_head_makes_room() -> None:
    """Guard against incomplete heads that keep others from being served."""

    async def scenario() -> None:
        server = HttpServer(answer, body_limit_bytes=1_000)
        server.held.incomplete_heads.limit_bytes = 50_000
        await server.start("127.0.0.1", 0)
        streams = []
        async with asyncio.timeout(LIMIT_S):
            for _ in range(4):
                streams.append(await asyncio.open_connection("127.0.0.1", server.port))
                streams[-1][1].write(START + b"X-A: " + b"a" * 20_000)
                await asyncio.sleep(0.1)
            for reader, _ in streams[:2]:
                answered = await reader.read()
                assert answered.startswith(b"HTTP/1.1 503 ")
                assert b'"not_run": true' in answered
            for reader, writer in streams[2:]:
                writer.write(b"\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 ")
        assert server.held.incomplete_heads.used_bytes == 0
        for _, writer in streams:
            writer.close()
        await server.stop()

    asyncio.run(scenario())


def test_refused_head_of_a_lost_caller_ends_no_other_connection() -> None:
    """Guard against refusals whose errors end the connection they serve."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        server = HttpServer(answer, body_limit_bytes=1_000)
        server.held.incomplete_heads.limit_bytes = 50_000
        await server.start("127.0.0.1", 0)
        part = START + b"X-A: " + b"a" * 30_000
        address = ("127.0.0.1", server.port)
        async with asyncio.timeout(LIMIT_S):
            with (
                socket.create_connection(address) as lost,
                socket.create_connection(address) as kept,
            ):
                while server.connection_count < 2:
                    await asyncio.sleep(0.01)
                lost.sendall(part)
                while not server.held.incomplete_heads.used_bytes:
                    await asyncio.sleep(0.01)
                # The server reads the newer head before the end of the older.
                kept.sendall(part)
                lost.close()
                await asyncio.sleep(0.1)
                assert server.connection_count == 1
                kept.setblocking(False)
                await loop.sock_sendall(kept, b"\r\n\r\n")
                head = await loop.sock_recv(kept, 65_536)
                assert head.startswith(b"HTTP/1.1 200 ")
        assert server.held.incomplete_heads.used_bytes == 0
        await server.stop()

    asyncio.run(scenario())
