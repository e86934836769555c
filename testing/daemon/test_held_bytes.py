"""Guard against daemons that end by the memory of the messages they hold."""

import asyncio
import tracemalloc

import pytest

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.held_bytes import (
    COPIES,
    MIN_LIMIT_BYTES,
    SMALL_MESSAGE_BYTES,
    HeldBytes,
    HeldMessage,
    compute_limit_bytes,
)
from eelgrassweir.daemon.http_client import BackendClient, ExchangeError
from eelgrassweir.daemon.http_message import Body, HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer
from eelgrassweir.daemon.link_client import LinkOptions
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.daemon.link_server import LinkServer
from eelgrassweir.proto import link_pb2

LIMIT_BYTES = 4_000_000
BODY_LIMIT_BYTES = 2_000_000
# Limit of a frame between two daemons.
LARGEST_BODY_BYTES = 67_108_864
LONG_BODY = b"x" * 600_000
# A body that is held once leaves no room for another one.
LARGE_BODY = b"x" * 1_900_000
TIMEOUT_MS = 10_000


def test_pool_counts_each_message_once() -> None:
    """Guard against a pool that fills up without messages."""
    pool = HeldBytes(LIMIT_BYTES)
    message, other = HeldMessage(pool), HeldMessage(pool)
    assert message.try_grow(SMALL_MESSAGE_BYTES)
    assert pool.used_bytes == 0
    assert message.try_grow(LIMIT_BYTES // COPIES - SMALL_MESSAGE_BYTES)
    assert message.try_grow(SMALL_MESSAGE_BYTES)
    assert pool.used_bytes == LIMIT_BYTES
    assert not message.try_grow(1)
    assert other.try_grow(SMALL_MESSAGE_BYTES)
    assert not other.try_grow(1)
    message.release()
    message.release()
    assert pool.used_bytes == 0
    assert other.try_grow(1)


def test_limit_follows_the_memory_of_the_vm() -> None:
    """Guard against refusals of bodies that fit and against VMs that end."""
    assert compute_limit_bytes(200) == 100_000_000
    assert compute_limit_bytes(50) == MIN_LIMIT_BYTES
    for memory_mb in (552, 10_000_000):
        pool = HeldBytes(compute_limit_bytes(memory_mb))
        assert pool.message_limit_bytes >= LARGEST_BODY_BYTES
        assert pool.limit_bytes < memory_mb * 1e6 / 2


def test_unsent_bytes_count_until_they_are_sent() -> None:
    """Guard against peers that read slowly and together fill the memory."""
    pool = HeldBytes(LIMIT_BYTES)

    def get_unsent_bytes() -> int:
        return LIMIT_BYTES

    pool.add_unsent(get_unsent_bytes)
    assert not pool.can_hold(1)
    pool.remove_unsent(get_unsent_bytes)
    assert pool.can_hold(LIMIT_BYTES)


def test_bodies_beyond_the_pool_are_refused_and_small_requests_served() -> None:
    """Guard against long bodies that together fill the memory.

    Each alone is within its limit.
    """
    pool = HeldBytes(LIMIT_BYTES)
    release = asyncio.Event()

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.body:
            await release.wait()
        return HttpResponse(200, (), b"")

    async def scenario() -> None:
        server = HttpServer(handle, body_limit_bytes=BODY_LIMIT_BYTES, held=pool)
        await server.start("127.0.0.1", 0)
        client = BackendClient(
            f"127.0.0.1:{server.port}",
            clock=Clock(),
            body_limit_bytes=BODY_LIMIT_BYTES,
        )

        async def send(body: bytes) -> HttpResponse:
            request = HttpRequest("POST", "/", (), body)
            return await client.exchange(request, timeout_ms=TIMEOUT_MS)

        held = asyncio.create_task(send(LARGE_BODY))
        async with asyncio.timeout(5):
            while pool.used_bytes < len(LARGE_BODY):
                await asyncio.sleep(0.01)
        refused = await send(LARGE_BODY)
        assert refused.status == 503
        assert b'"not_run": true' in refused.body
        assert dict(refused.headers)["Retry-After"] == "1"
        assert (await send(b"")).status == 200
        release.set()
        assert (await held).status == 200
        assert pool.used_bytes == 0
        assert (await send(LARGE_BODY)).status == 200
        client.close()
        await server.stop()

    asyncio.run(scenario())


def test_caller_that_leaves_within_its_body_frees_the_memory() -> None:
    """Guard against a pool that stays full after its callers have left."""
    pool = HeldBytes(LIMIT_BYTES)

    async def handle(_request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, (), b"")

    async def scenario() -> None:
        server = HttpServer(handle, body_limit_bytes=BODY_LIMIT_BYTES, held=pool)
        await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n")
        writer.write(LONG_BODY)
        async with asyncio.timeout(5):
            while not pool.used_bytes:
                await asyncio.sleep(0.01)
            writer.transport.abort()
            while pool.used_bytes:
                await asyncio.sleep(0.01)
        await server.stop()

    asyncio.run(scenario())


def test_failed_answers_free_their_memory_at_once() -> None:
    """Guard against answers without end that outlive their exchange.

    Each exchange failed at the limit, but its body was referred to by the
    parser and stayed until the next collection of cycles: a daemon took 834 to
    933 MB within 12 s.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            while True:
                writer.write(b"40000\r\n" + b"x" * 0x40000 + b"\r\n")
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = HeldBytes(COPIES * BODY_LIMIT_BYTES)
        client = BackendClient(
            f"127.0.0.1:{port}",
            clock=Clock(),
            body_limit_bytes=BODY_LIMIT_BYTES,
            held=pool,
        )
        request = HttpRequest("GET", "/", (), b"")
        for _ in range(12):
            with pytest.raises(ExchangeError) as caught:
                await client.exchange(request, timeout_ms=TIMEOUT_MS)
            assert caught.value.is_too_large
            assert pool.used_bytes == 0
        client.close()
        server.close()

    tracemalloc.start()
    try:
        asyncio.run(scenario())
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 5 * BODY_LIMIT_BYTES


def test_frame_without_room_waits_and_its_link_stays() -> None:
    """Guard against a link that is taken for silent while it waits."""
    pool = HeldBytes(LIMIT_BYTES)
    other = HeldMessage(pool)

    def make_options(vm: str, held: HeldBytes) -> LinkOptions:
        return LinkOptions(
            vm=vm,
            incarnation=f"{vm}#1",
            ping_ms=20,
            silence_ms=60,
            body_limit_bytes=BODY_LIMIT_BYTES,
            held=held,
        )

    async def handle(
        request: link_pb2.Request, _peer: str, _body: Body
    ) -> link_pb2.Response:
        return link_pb2.Response(status=200, body=request.body)

    async def scenario() -> None:
        clock = Clock()
        server = LinkServer(make_options("s", HeldBytes()), handle, clock)
        await server.start("127.0.0.1", 0)
        links = LinkPool(make_options("c", pool), clock)
        address = f"127.0.0.1:{server.port}"
        request = link_pb2.Request(body=LONG_BODY)
        other.grow(LIMIT_BYTES // COPIES)
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, other.release)
        reply = await links.call(address, "s#1", request, timeout_ms=TIMEOUT_MS)
        assert isinstance(reply, link_pb2.Response)
        assert reply.body == LONG_BODY
        assert pool.used_bytes == 0
        links.close()
        await server.stop()

    asyncio.run(scenario())
