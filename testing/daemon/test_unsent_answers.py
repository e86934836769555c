"""Guard against answers that callers do not read and that fill the memory."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from eelgrassweir.daemon.held_bytes import HeldBytes
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer

ANSWER_BYTES = 8_000_000
SMALL_ANSWER_BYTES = 1_000_000
LIMIT_BYTES = 40_000_000
LIMIT_S = 10.0
WINDOW_BYTES = 65_536


async def wait_until_used(pool: HeldBytes, size_bytes: int) -> None:
    """Wait until the pool counts at least so many bytes."""
    async with asyncio.timeout(LIMIT_S):
        while pool.used_bytes < size_bytes:
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def serve(pool: HeldBytes, release: asyncio.Event) -> AsyncIterator[HttpServer]:
    """Serve large answers; those on ``/held`` wait for ``release``."""

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.path == "/held":
            await release.wait()
        return HttpResponse(200, (), b"x" * ANSWER_BYTES)

    server = HttpServer(handle, body_limit_bytes=ANSWER_BYTES, held=pool)
    await server.start("127.0.0.1", 0)
    try:
        yield server
    finally:
        await server.stop()


async def connect(
    server: HttpServer,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect as a caller that the system buffers little for."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    caller.connect(("127.0.0.1", server.port))
    caller.setblocking(False)
    return await asyncio.open_connection(sock=caller, limit=WINDOW_BYTES)


@pytest.mark.parametrize("fields", ["", "Connection: close\r\n"])
def test_caller_that_reads_slowly_gets_its_answer(fields: str) -> None:
    """Guard against a timeout that runs although the caller reads on.

    Callers that read 600 KB/s of 10 MB lost the end of their answers.
    """

    async def scenario() -> int:
        async with serve(HeldBytes(), asyncio.Event()) as server:
            server.write_timeout_s = 1.0
            reader, writer = await connect(server)
            writer.write(f"GET / HTTP/1.1\r\nHost: a\r\n{fields}\r\n".encode())
            await reader.readuntil(b"\r\n\r\n")
            size_bytes = 0
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            while size_bytes < ANSWER_BYTES:
                part = await reader.read(WINDOW_BYTES)
                if not part:
                    break
                size_bytes += len(part)
                due_s = started_s + 3.0 * size_bytes / ANSWER_BYTES
                await asyncio.sleep(due_s - loop.time())
            writer.close()
        return size_bytes

    assert asyncio.run(scenario()) == ANSWER_BYTES


def test_caller_that_reads_nothing_is_disconnected() -> None:
    """Guard against a silent caller that holds its answer forever."""

    async def scenario() -> None:
        pool = HeldBytes()
        async with serve(pool, asyncio.Event()) as server:
            server.write_timeout_s = 1.0
            _, writer = await connect(server)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await wait_until_used(pool, ANSWER_BYTES)
            async with asyncio.timeout(LIMIT_S):
                while server.connection_count:
                    await asyncio.sleep(0.01)
            assert pool.used_bytes == 0
            writer.close()

    asyncio.run(scenario())


def test_unread_answers_make_room() -> None:
    """Guard against unread answers that keep out messages of others."""

    async def scenario() -> None:
        pool = HeldBytes(LIMIT_BYTES)
        async with serve(pool, asyncio.Event()) as server:
            _, writer = await connect(server)
            writer.write(2 * b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await wait_until_used(pool, 2 * ANSWER_BYTES)
            # No connection ends for a message that has room without it.
            assert pool.can_hold(LIMIT_BYTES - 3 * ANSWER_BYTES)
            assert server.connection_count == 1
            async with asyncio.timeout(LIMIT_S):
                while not pool.can_hold(LIMIT_BYTES):
                    await asyncio.sleep(0.01)
                while server.connection_count:
                    await asyncio.sleep(0.01)
            assert pool.used_bytes == 0
            writer.close()

    asyncio.run(scenario())


def test_answers_behind_an_unfinished_one_are_counted_and_refused() -> None:
    """Guard against answers that wait uncounted for an earlier one.

    40 callers with three answers of 4 MB each took a daemon to 546 MB.
    """

    async def scenario() -> None:
        pool, release = HeldBytes(LIMIT_BYTES), asyncio.Event()
        async with serve(pool, release) as server:
            reader, writer = await connect(server)
            writer.write(b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await wait_until_used(pool, ANSWER_BYTES)
            assert not pool.can_hold(LIMIT_BYTES)
            assert pool.can_hold(LIMIT_BYTES, drops_waiting=True)
            assert pool.used_bytes == 0
            release.set()
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            assert len(await reader.readexactly(ANSWER_BYTES)) == ANSWER_BYTES
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 502 ")
            writer.close()

    asyncio.run(scenario())
