"""Guard against heads of many tiny fields, whose objects fill the memory."""

import asyncio

import pytest

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.held_bytes import HeldBytes
from eelgrassweir.daemon.http_client import BackendClient, ExchangeError
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer

LIMIT_BYTES = 4_000_000
BODY_LIMIT_BYTES = 100_000
TIMEOUT_MS = 10_000
FIELDS = 5_000 * b"a:b\r\n"
START = b"GET / HTTP/1.1\r\nHost: a\r\n"


def test_heads_of_many_fields_are_refused_without_room() -> None:
    """Guard against incomplete heads that are not counted.

    400 of them took a daemon told 200 MB to 201 MB.
    """

    async def handle(_request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, (), b"")

    async def scenario() -> None:
        pool = HeldBytes(LIMIT_BYTES)
        server = HttpServer(handle, body_limit_bytes=BODY_LIMIT_BYTES, held=pool)
        await server.start("127.0.0.1", 0)
        streams = []
        for _ in range(6):
            streams.append(await asyncio.open_connection("127.0.0.1", server.port))
            streams[-1][1].write(START + FIELDS)
        async with asyncio.timeout(5):
            answer = await streams[-1][0].read(65_536)
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b'"not_run": true' in answer
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(START + b"\r\n")
            assert (await reader.read(65_536)).startswith(b"HTTP/1.1 200 ")
            for _, held_writer in streams:
                held_writer.transport.abort()
            while pool.used_bytes:
                await asyncio.sleep(0.01)
        writer.close()
        await server.stop()

    asyncio.run(scenario())


def test_answers_of_many_fields_are_counted() -> None:
    """Guard against heads of answers that are not counted.

    300 of them took a daemon told 200 MB to 277 MB.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n" + 12_000 * b"a:b\r\n")
        try:
            await reader.read()
        finally:
            writer.close()

    async def scenario() -> None:
        backend = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = backend.sockets[0].getsockname()[1]
        pool = HeldBytes(LIMIT_BYTES // 2)
        client = BackendClient(
            f"127.0.0.1:{port}",
            clock=Clock(),
            body_limit_bytes=BODY_LIMIT_BYTES,
            held=pool,
        )
        request = HttpRequest("GET", "/", (), b"")
        with pytest.raises(ExchangeError) as caught:
            await client.exchange(request, timeout_ms=TIMEOUT_MS)
        assert caught.value.is_too_large
        assert pool.used_bytes == 0
        client.close()
        backend.close()

    asyncio.run(scenario())
