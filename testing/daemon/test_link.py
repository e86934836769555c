"""Guard against replies that are lost, mixed up or of another incarnation."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
import pytest

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.link_client import LinkError, LinkOptions, Reply
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.daemon.link_server import LinkServer
from eelgrassweir.proto import link_pb2
from testing.stand_ins.tcp_proxy import TcpProxy

OPTIONS = LinkOptions(
    vm="a", incarnation="1", ping_ms=20, silence_ms=100, body_limit_bytes=10_000
)


async def echo(request: link_pb2.Request, peer: str) -> Reply:
    """Answer with the path, after as many milliseconds as it says."""
    await asyncio.sleep(int(request.path) / 1e3)
    return link_pb2.Response(status=200, body=request.path.encode())


@asynccontextmanager
async def open_link(
    handler: Callable[[link_pb2.Request, str], Awaitable[Reply]] = echo,
) -> AsyncIterator[tuple[LinkPool, str]]:
    """Start a link server; yield a pool that calls it and its address."""
    server = LinkServer(OPTIONS, handler, Clock())
    await server.start("127.0.0.1", 0)
    pool = LinkPool(OPTIONS, Clock())
    try:
        yield pool, f"127.0.0.1:{server.port}"
    finally:
        pool.close()
        await server.stop()


def test_each_call_gets_its_own_reply() -> None:
    """Guard against replies given to another concurrent call."""

    async def scenario() -> None:
        async with open_link() as (pool, address):

            async def call(delay_ms: int) -> None:
                request = link_pb2.Request(path=str(delay_ms))
                reply = await pool.call(address, "1", request, timeout_ms=5_000)
                assert isinstance(reply, link_pb2.Response)
                assert reply.body == str(delay_ms).encode()

            await asyncio.gather(*(call(50 - delay_ms) for delay_ms in range(50)))

    asyncio.run(scenario())


def test_late_reply_is_not_given_to_a_later_call() -> None:
    """Guard against a timed-out call's reply given to the next call."""

    async def scenario() -> None:
        async with open_link() as (pool, address):
            with pytest.raises(LinkError) as caught:
                request = link_pb2.Request(path="60")
                await pool.call(address, "1", request, timeout_ms=20)
            assert caught.value.is_timeout
            for _ in range(10):
                request = link_pb2.Request(path="10")
                reply = await pool.call(address, "1", request, timeout_ms=5_000)
                assert isinstance(reply, link_pb2.Response)
                assert reply.body == b"10"

    asyncio.run(scenario())


def test_other_incarnation_gets_no_request() -> None:
    """Guard against a request that runs at a restarted daemon."""

    async def scenario() -> None:
        async with open_link() as (pool, address):
            with pytest.raises(LinkError) as caught:
                request = link_pb2.Request(path="0")
                await pool.call(address, "2", request, timeout_ms=5_000)
            assert not caught.value.maybe_sent

    asyncio.run(scenario())


def test_cancelled_call_is_cancelled_at_the_peer() -> None:
    """Guard against work for calls that have been abandoned."""

    async def scenario() -> None:
        cancelled = asyncio.Event()

        async def handler(request: link_pb2.Request, peer: str) -> Reply:
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                cancelled.set()
                raise
            return link_pb2.Response()

        async with open_link(handler) as (pool, address):
            with pytest.raises(LinkError):
                await pool.call(address, "1", link_pb2.Request(), timeout_ms=50)
            await asyncio.wait_for(cancelled.wait(), 5)

    asyncio.run(scenario())


def test_silent_peer_is_detected_and_a_new_link_works() -> None:
    """Guard against calls that wait for their deadline on a broken link.

    The peer sends its greeting and then nothing.
    """

    async def scenario() -> None:
        connections = 0

        async def tcp_proxy(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal connections
            connections += 1
            is_silent = connections == 1
            target_reader, target_writer = await asyncio.open_connection(
                *address.split(":")
            )

            async def forward(
                source: asyncio.StreamReader,
                sink: asyncio.StreamWriter,
                greeting_bytes: int,
            ) -> None:
                sent = 0
                while data := await source.read(65_536):
                    if not is_silent or sent < greeting_bytes:
                        sink.write(data)
                    sent += len(data)

            # The first connection forwards the greeting and nothing more.
            try:
                await asyncio.gather(
                    forward(reader, target_writer, 1), forward(target_reader, writer, 1)
                )
            finally:
                target_writer.close()
                writer.close()

        async with open_link() as (pool, address):
            server = await asyncio.start_server(tcp_proxy, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            clock = Clock()
            started_ms = clock.now_ms()
            with pytest.raises(LinkError) as caught:
                request = link_pb2.Request(path="0")
                await pool.call(f"{host}:{port}", "1", request, timeout_ms=10_000)
            assert caught.value.maybe_sent
            assert clock.now_ms() - started_ms < 1_000
            request = link_pb2.Request(path="0")
            reply = await pool.call(f"{host}:{port}", "1", request, timeout_ms=5_000)
            assert isinstance(reply, link_pb2.Response)
            server.close()

    asyncio.run(scenario())


def test_run_on_a_silent_link_is_waited_for() -> None:
    """Guard against giving up a run whose VM is only silent for a while.

    Requests that can be repeated fail at once, and new ones use a new link.
    """
    options = attrs.evolve(OPTIONS, waits_for_runs=True)
    runs: list[str] = []

    async def run(request: link_pb2.Request, _peer: str) -> Reply:
        runs.append(request.path)
        await asyncio.sleep(0.1)
        return link_pb2.Response(status=200, body=request.path.encode())

    async def scenario() -> None:
        server = LinkServer(options, run, Clock())
        await server.start("127.0.0.1", 0)
        pool = LinkPool(options, Clock())
        with TcpProxy() as proxy:
            address = proxy.listen("link", f"127.0.0.1:{server.port}")

            async def call(path: str, *, idempotent: bool) -> bytes:
                context = link_pb2.CallContext(idempotent=idempotent)
                request = link_pb2.Request(path=path, context=context)
                reply = await pool.call(address, "1", request, timeout_ms=10_000)
                assert isinstance(reply, link_pb2.Response)
                return reply.body

            unsafe = asyncio.create_task(call("unsafe", idempotent=False))
            safe = asyncio.create_task(call("safe", idempotent=True))
            async with asyncio.timeout(5):
                while len(runs) < 2:
                    await asyncio.sleep(0.001)
            # Longer than both sides' limits of silence.
            proxy.delay("link", 1_000.0)
            with pytest.raises(LinkError):
                await safe
            await asyncio.sleep(0.5)
            assert not unsafe.done()
            proxy.delay("link", 0.0)
            async with asyncio.timeout(5):
                assert await unsafe == b"unsafe"
                assert await call("later", idempotent=True) == b"later"
            assert runs == ["unsafe", "safe", "later"]
        pool.close()
        await server.stop()

    asyncio.run(scenario())


def test_exception_in_the_handler_is_a_reply() -> None:
    """Guard against a call that gets no reply after a handler error."""

    async def handler(request: link_pb2.Request, peer: str) -> Reply:
        raise KeyError(request.path)

    async def scenario() -> None:
        async with open_link(handler) as (pool, address):
            request = link_pb2.Request(path="0")
            reply = await pool.call(address, "1", request, timeout_ms=5_000)
            assert isinstance(reply, link_pb2.Refusal)
            assert reply.code == "outcome_unknown"
            assert not reply.not_run

    asyncio.run(scenario())
