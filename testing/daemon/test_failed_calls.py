"""Guard against calls that keep their long bodies in memory after their end.

The error of a failed call was part of a cycle of references with the frames
that had seen the request, so its body stayed until the next collection.
"""

import asyncio
import contextlib
import gc
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import pytest

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.held_bytes import HeldBytes
from eelgrassweir.daemon.http_client import BackendClient, ExchangeError
from eelgrassweir.daemon.http_message import Body, HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer
from eelgrassweir.daemon.link_client import LinkError, LinkOptions
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.daemon.link_server import LinkServer
from eelgrassweir.proto import link_pb2

BODY_BYTES = 4_000_000
CALLS = 4
TIMEOUT_MS = 1_000
BODY_LIMIT_BYTES = 8_000_000


def make_options(vm: str, held: HeldBytes | None = None) -> LinkOptions:
    """Return the options of the links of one daemon."""
    return LinkOptions(
        vm=vm,
        incarnation=f"{vm}#1",
        ping_ms=100,
        silence_ms=10_000,
        body_limit_bytes=BODY_LIMIT_BYTES,
        held=held or HeldBytes(),
    )


@contextlib.contextmanager
def without_collections() -> Iterator[None]:
    """Let only reference counts free memory, and measure it."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


async def count_kept_bytes(call: Callable[[], Awaitable[None]]) -> int:
    """Return the memory that some calls leave behind."""
    await call()
    await asyncio.sleep(0.1)
    base_bytes, _ = tracemalloc.get_traced_memory()
    for _ in range(CALLS):
        await call()
    await asyncio.sleep(0.1)
    kept_bytes, _ = tracemalloc.get_traced_memory()
    return kept_bytes - base_bytes


@contextlib.asynccontextmanager
async def run_links(
    handler: Callable[[link_pb2.Request, str, Body], Awaitable[link_pb2.Response]],
    held: HeldBytes | None = None,
) -> AsyncIterator[tuple[LinkPool, str]]:
    """Run a link server; yield links to it and its address."""
    clock = Clock()
    server = LinkServer(make_options("s", held), handler, clock)
    await server.start("127.0.0.1", 0)
    links = LinkPool(make_options("c"), clock)
    try:
        yield links, f"127.0.0.1:{server.port}"
    finally:
        links.close()
        await server.stop()


def test_link_calls_without_a_reply_free_their_bodies() -> None:
    """Guard against bodies of calls that time out (review/6)."""

    async def handle(
        _request: link_pb2.Request, _peer: str, _body: Body
    ) -> link_pb2.Response:
        await asyncio.Event().wait()
        raise AssertionError

    async def scenario() -> int:
        async with run_links(handle) as (links, address):

            async def call() -> None:
                request = link_pb2.Request(body=b"x" * BODY_BYTES)
                with contextlib.suppress(LinkError):
                    await links.call(address, "s#1", request, timeout_ms=TIMEOUT_MS)
                    raise AssertionError

            for _ in range(CALLS):
                await call()
            # The event loop refers to the last one while it runs this task.
            await asyncio.sleep(0)
            return sum(isinstance(kept, LinkError) for kept in gc.get_objects())

    # The messages are not traced, but the errors that lead to them are known.
    with without_collections():
        assert asyncio.run(scenario()) == 0


@pytest.mark.parametrize("outcome", ["answered", "refused", "cancelled"])
def test_bodies_over_a_link_are_freed_with_their_requests(outcome: str) -> None:
    """Guard against bodies that the serving end of a link keeps.

    Each request over a link left its body, until a daemon exceeded its memory.
    """
    held = HeldBytes(BODY_BYTES // 2 if outcome == "refused" else 8 * BODY_BYTES)

    async def handle(
        _request: link_pb2.Request, _peer: str, _body: Body
    ) -> link_pb2.Response:
        if outcome == "cancelled":
            await asyncio.Event().wait()
        return link_pb2.Response(status=200)

    async def scenario() -> int:
        async with run_links(handle, held) as (links, address):

            async def call() -> None:
                request = link_pb2.Request()
                body = bytearray(BODY_BYTES)
                with contextlib.suppress(LinkError):
                    reply = await links.call(
                        address, "s#1", request, timeout_ms=TIMEOUT_MS, body=body
                    )
                    is_refusal = isinstance(reply, link_pb2.Refusal)
                    assert is_refusal is (outcome == "refused")

            return await count_kept_bytes(call)

    with without_collections():
        assert asyncio.run(scenario()) < BODY_BYTES
    assert held.used_bytes == 0


def test_bodies_of_callers_that_leave_are_freed() -> None:
    """Guard against requests that their cancelled tasks keep."""

    async def handle(_request: HttpRequest) -> HttpResponse:
        await asyncio.Event().wait()
        raise AssertionError

    async def scenario() -> int:
        held = HeldBytes(8 * BODY_BYTES)
        server = HttpServer(handle, body_limit_bytes=BODY_LIMIT_BYTES, held=held)
        await server.start("127.0.0.1", 0)

        async def call() -> None:
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            head = f"POST / HTTP/1.1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
            writer.write(head.encode() + bytes(BODY_BYTES))
            async with asyncio.timeout(TIMEOUT_MS / 1e3):
                while held.used_bytes < BODY_BYTES:
                    await asyncio.sleep(0.01)
                writer.transport.abort()
                while held.used_bytes:
                    await asyncio.sleep(0.01)

        kept_bytes = await count_kept_bytes(call)
        await server.stop()
        return kept_bytes

    with without_collections():
        assert asyncio.run(scenario()) < BODY_BYTES


@pytest.mark.parametrize("is_silent", [False, True], ids=["reset", "silent"])
def test_exchanges_without_an_answer_free_their_bodies(is_silent: bool) -> None:
    """Guard against bodies for a backend server that fails."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            if is_silent:
                await reader.read()
        finally:
            writer.transport.abort()

    async def scenario() -> int:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = BackendClient(
            f"127.0.0.1:{port}", clock=Clock(), body_limit_bytes=BODY_LIMIT_BYTES
        )

        async def call() -> None:
            request = HttpRequest("POST", "/", (), b"x" * BODY_BYTES)
            with pytest.raises(ExchangeError):
                await client.exchange(request, timeout_ms=TIMEOUT_MS)

        kept_bytes = await count_kept_bytes(call)
        client.close()
        server.close()
        return kept_bytes

    with without_collections():
        assert asyncio.run(scenario()) < BODY_BYTES
