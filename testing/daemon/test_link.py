"""Guard against replies that are lost, mixed up or of another incarnation."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
import pytest

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.held_bytes import HeldBytes
from eelgrassweir.daemon.http_message import Body
from eelgrassweir.daemon.link_client import LinkError, LinkOptions, Reply
from eelgrassweir.daemon.link_frames import (
    LENGTH,
    MAX_FRAMES_PER_TURN,
    encode_frame,
)
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.daemon.link_server import LinkServer
from eelgrassweir.proto import link_pb2
from testing.stand_ins.tcp_proxy import TcpProxy

OPTIONS = LinkOptions(
    vm="a", incarnation="1", ping_ms=20, silence_ms=100, body_limit_bytes=10_000
)


async def echo(request: link_pb2.Request, peer: str, _body: Body) -> Reply:
    """Answer with the path, after as many milliseconds as it says."""
    await asyncio.sleep(int(request.path) / 1e3)
    return link_pb2.Response(status=200, body=request.path.encode())


def encode(*frames: link_pb2.Frame) -> bytes:
    """Return the bytes of frames in turn."""
    return b"".join(part for frame in frames for part in encode_frame(frame))


async def read_frame(reader: asyncio.StreamReader) -> link_pb2.Frame:
    """Read the next frame."""
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    return link_pb2.Frame.FromString(await reader.readexactly(length))


@asynccontextmanager
async def open_link(
    handler: Callable[[link_pb2.Request, str, Body], Awaitable[Reply]] = echo,
    options: LinkOptions = OPTIONS,
) -> AsyncIterator[tuple[LinkPool, str]]:
    """Start a link server; yield a pool that calls it and its address."""
    server = LinkServer(options, handler, Clock())
    await server.start("127.0.0.1", 0)
    pool = LinkPool(options, Clock())
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


def test_round_trip_excludes_the_time_of_the_call() -> None:
    """Guard against slow runs that make a link look long."""

    async def scenario() -> None:
        async with open_link() as (pool, address):
            assert pool.round_trip_ms(address, "1") is None
            request = link_pb2.Request(path="300")
            await pool.call(address, "1", request, timeout_ms=5_000)
            round_trip_ms = pool.round_trip_ms(address, "1")
            assert round_trip_ms is not None
            assert 0.0 < round_trip_ms < 150.0

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

        async def handler(request: link_pb2.Request, peer: str, _body: Body) -> Reply:
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


def test_silent_peer_is_detected_by_calls_that_time_out_sooner() -> None:
    """Guard against a silent link that is kept, and delivers its calls late.

    Each call ends before the limit of silence, and none overlaps another.
    """

    async def scenario() -> None:
        async with open_link() as (pool, address):
            with TcpProxy() as proxy:
                silent_address = proxy.listen("link", address)

                async def call() -> bool:
                    try:
                        await pool.call(
                            silent_address,
                            "1",
                            link_pb2.Request(path="0"),
                            timeout_ms=OPTIONS.silence_ms / 2,
                        )
                    except LinkError:
                        return False
                    return True

                assert await call()
                proxy.silence("link")
                assert not await call()
                async with asyncio.timeout(20 * OPTIONS.silence_ms / 1e3):
                    while not await call():
                        pass

    asyncio.run(scenario())


def test_link_that_is_given_up_is_reset() -> None:
    """Guard against calls that are delivered after their link was closed."""

    async def scenario() -> None:
        ends: asyncio.Queue[Exception | None] = asyncio.Queue()

        async def read_late(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(
                encode(link_pb2.Frame(hello=link_pb2.Hello(vm="b", incarnation="1")))
            )
            await asyncio.sleep(5 * OPTIONS.silence_ms / 1e3)
            end = None
            try:
                while await reader.read(65_536):
                    pass
            except ConnectionResetError as error:
                end = error
            writer.close()
            await ends.put(end)

        server = await asyncio.start_server(read_late, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = LinkPool(OPTIONS, Clock())
        with pytest.raises(LinkError):
            request = link_pb2.Request(path="0")
            await pool.call(f"{host}:{port}", "1", request, timeout_ms=10_000)
        async with asyncio.timeout(5):
            assert isinstance(await ends.get(), ConnectionResetError)
        pool.close()
        server.close()

    asyncio.run(scenario())


def test_run_on_a_silent_link_is_waited_for() -> None:
    """Guard against giving up a run whose VM is only silent for a while.

    Requests that can be repeated fail at once, and new ones use a new link.
    """
    options = attrs.evolve(OPTIONS, waits_for_runs=True)
    runs: list[str] = []

    async def run(request: link_pb2.Request, _peer: str, _body: Body) -> Reply:
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

    async def handler(request: link_pb2.Request, peer: str, _body: Body) -> Reply:
        raise KeyError(request.path)

    async def scenario() -> None:
        async with open_link(handler) as (pool, address):
            request = link_pb2.Request(path="0")
            reply = await pool.call(address, "1", request, timeout_ms=5_000)
            assert isinstance(reply, link_pb2.Refusal)
            assert reply.code == "outcome_unknown"
            assert not reply.not_run

    asyncio.run(scenario())


HELLO = link_pb2.Frame(hello=link_pb2.Hello(vm="b", incarnation="2"))
PING = link_pb2.Frame(ping=link_pb2.Ping(id=7))
FOLLOW = link_pb2.Frame(follow=link_pb2.Follow(stream_id=1))
REQUEST = link_pb2.Frame(request=link_pb2.Request(stream_id=1, path="60000"))


WRONG_BYTES = {
    "empty frame": b"\0\0\0\0",
    "no hello": encode(PING),
    "two hellos": encode(HELLO, HELLO),
    "empty frame behind a hello": encode(HELLO) + b"\0\0\0\0",
    "request in progress": encode(HELLO, REQUEST, REQUEST),
    "follower in progress": encode(HELLO, FOLLOW, FOLLOW),
    "long hello": b"\0\0\x10\1",
    "no protobuf": encode(HELLO) + b"\0\0\0\1\xff",
}


@pytest.mark.parametrize("sent", WRONG_BYTES.values(), ids=WRONG_BYTES)
def test_wrong_bytes_close_a_link(sent: bytes) -> None:
    """Guard against a program that is no daemon and keeps one busy."""

    async def follow(_request: link_pb2.Follow) -> link_pb2.Update:
        await asyncio.sleep(60)
        return link_pb2.Update()

    async def scenario() -> None:
        options = attrs.evolve(OPTIONS, silence_ms=60_000)
        server = LinkServer(options, echo, Clock(), follow_handler=follow)
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(sent)
        async with asyncio.timeout(5):
            with contextlib.suppress(ConnectionResetError):
                while await reader.read(1_024):
                    pass
        writer.close()
        await server.stop()

    asyncio.run(scenario())


def test_frames_beyond_a_turn_are_answered_in_order() -> None:
    """Guard against frames that stay unread behind many others."""

    async def scenario() -> None:
        async with open_link() as (_, address):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            count = 3 * MAX_FRAMES_PER_TURN
            pings = [link_pb2.Frame(ping=link_pb2.Ping(id=n)) for n in range(count)]
            writer.write(encode(HELLO, *pings))
            async with asyncio.timeout(5):
                greeting = await read_frame(reader)
                pongs = [await read_frame(reader) for _ in pings]
            assert greeting.HasField("hello")
            assert [frame.pong.id for frame in pongs] == list(range(count))
            writer.close()

    asyncio.run(scenario())


def test_link_of_a_peer_that_reads_nothing_is_closed() -> None:
    """Guard against replies without end in the memory of a daemon."""

    async def scenario() -> None:
        async with open_link() as (_, address):
            host, _, port = address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(HELLO))
            with pytest.raises(ConnectionError):
                async with asyncio.timeout(20):
                    while True:
                        writer.write(encode(PING) * 10_000)
                        await writer.drain()
            writer.close()

    asyncio.run(scenario())


def test_frame_of_an_unknown_kind_is_ignored() -> None:
    """Guard against links that a newer daemon cannot use."""
    # Field 99, which is of no kind, with two bytes.
    unknown = b"\0\0\0\5\x9a\6\2ab"

    async def scenario() -> None:
        async with open_link() as (_, address):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(HELLO) + unknown + encode(PING))
            async with asyncio.timeout(5):
                assert (await read_frame(reader)).HasField("hello")
                assert (await read_frame(reader)).pong.id == 7
            writer.close()

    asyncio.run(scenario())


def test_reply_of_another_kind_is_a_link_error() -> None:
    """Guard against a call that fails in a way that no caller handles."""
    closed = asyncio.Event()

    async def answer_wrongly(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        hello = link_pb2.Hello(vm="b", incarnation="1")
        writer.write(encode(link_pb2.Frame(hello=hello)))
        await read_frame(reader)
        stream_id = (await read_frame(reader)).request.stream_id
        renewal = link_pb2.Renewal(stream_id=stream_id)
        writer.write(encode(link_pb2.Frame(renewal=renewal)))
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        writer.close()
        closed.set()

    async def scenario() -> None:
        server = await asyncio.start_server(answer_wrongly, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = LinkPool(OPTIONS, Clock())
        with pytest.raises(LinkError) as caught:
            request = link_pb2.Request(path="0")
            await pool.call(f"127.0.0.1:{port}", "1", request, timeout_ms=5_000)
        assert caught.value.maybe_sent
        assert not caught.value.is_timeout
        async with asyncio.timeout(5):
            await closed.wait()
        pool.close()
        server.close()

    asyncio.run(scenario())


def test_peer_that_falls_silent_within_a_frame_leaves_the_memory_to_others() -> None:
    """Guard against links that are closed for want of memory nobody uses."""

    async def scenario() -> None:
        held = HeldBytes(limit_bytes=40_000_000)
        options = attrs.evolve(OPTIONS, held=held, body_limit_bytes=20_000_000)
        server = LinkServer(options, echo, Clock())
        await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        hello = link_pb2.Frame(hello=link_pb2.Hello(vm="b", incarnation="1"))
        writer.write(encode(hello) + LENGTH.pack(10_000_000) + b"x" * 10)
        async with asyncio.timeout(5.0):
            while not held.used_bytes:
                await asyncio.sleep(0.01)
            while held.used_bytes:
                await asyncio.sleep(0.01)
        writer.close()
        await server.stop()

    asyncio.run(scenario())
