"""Guard against long bodies that are copied, cut or hold up other requests."""

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator, Callable

import pytest

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.held_bytes import HeldBytes
from eelgrassweir.daemon.http_client import (
    BackendClient,
    ExchangeError,
    SendStatus,
)
from eelgrassweir.daemon.http_message import (
    INLINE_BODY_BYTES,
    Body,
    HttpRequest,
    HttpResponse,
)
from eelgrassweir.daemon.http_server import HttpServer
from eelgrassweir.daemon.link_bodies import PART_BYTES, OutgoingBodies
from eelgrassweir.daemon.link_client import LinkError, LinkOptions, Reply
from eelgrassweir.daemon.link_frames import LENGTH, encode_frame
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.daemon.link_server import LinkServer
from eelgrassweir.proto import link_pb2

BODY_LIMIT_BYTES = 16_000_000
# Each byte differs from those of other parts.
LONG_BODY = b"".join(number.to_bytes(4, "big") for number in range(1_500_000))
TIMEOUT_MS = 20_000


def make_options(vm: str, held: HeldBytes | None = None) -> LinkOptions:
    """Return the options of the links of one daemon."""
    return LinkOptions(
        vm=vm,
        incarnation=f"{vm}#1",
        ping_ms=100,
        silence_ms=5_000,
        body_limit_bytes=BODY_LIMIT_BYTES,
        held=held or HeldBytes(),
    )


async def digest(request: link_pb2.Request, _peer: str, body: Body) -> Reply:
    """Answer with the digest of the body."""
    return link_pb2.Response(status=200, body=hashlib.sha256(body).digest())


class Peer:
    """Link server that keeps the requests that it has run."""

    def __init__(self, held: HeldBytes | None = None) -> None:
        self.runs: list[str] = []
        self.server = LinkServer(make_options("s", held), self._handle, Clock())

    async def _handle(
        self, request: link_pb2.Request, peer: str, body: Body
    ) -> link_pb2.Response | link_pb2.Refusal:
        self.runs.append(request.path)
        return await digest(request, peer, body)


@contextlib.asynccontextmanager
async def run_peer(peer: Peer) -> AsyncIterator[tuple[LinkPool, str]]:
    """Run a peer; yield links to it and its address."""
    await peer.server.start("127.0.0.1", 0)
    links = LinkPool(make_options("c"), Clock())
    try:
        yield links, f"127.0.0.1:{peer.server.port}"
    finally:
        links.close()
        await peer.server.stop()


@pytest.mark.parametrize("kind", [bytes, bytearray])
def test_long_body_arrives_over_a_link_beside_other_requests(
    kind: Callable[[bytes], Body],
) -> None:
    """Guard against bodies that are mixed up with others of their link."""

    async def scenario() -> None:
        held = HeldBytes()
        async with run_peer(Peer(held)) as (links, address):

            async def call(body: bytes) -> None:
                reply = await links.call(
                    address,
                    "s#1",
                    link_pb2.Request(path="/"),
                    timeout_ms=TIMEOUT_MS,
                    body=kind(body),
                )
                assert isinstance(reply, link_pb2.Response)
                assert reply.body == hashlib.sha256(body).digest()

            sizes = (0, 1, PART_BYTES, INLINE_BODY_BYTES, INLINE_BODY_BYTES + 1)
            bodies = [LONG_BODY, LONG_BODY[1_000:], *(LONG_BODY[:n] for n in sizes)]
            await asyncio.gather(*map(call, bodies))
            assert held.used_bytes == 0

    asyncio.run(scenario())


def test_parts_of_bodies_take_turns() -> None:
    """Guard against a short body that waits behind all of a long one."""
    sent: list[tuple[int, int]] = []
    room = 0

    def send(frame: link_pb2.Frame) -> bool:
        nonlocal room
        room -= 1
        sent.append((frame.body_part.stream_id, len(frame.body_part.content)))
        return True

    bodies = OutgoingBodies(send=send, can_send=lambda: room > 0)
    bodies.add(1, LONG_BODY)
    bodies.add(2, LONG_BODY[: 2 * PART_BYTES + 1])
    assert bodies.is_unsent(2)
    for _ in range(6):
        room = 1
        bodies.send_more()
    assert [stream_id for stream_id, _ in sent] == [1, 2, 1, 2, 1, 2]
    assert [size for stream_id, size in sent if stream_id == 2] == [
        PART_BYTES,
        PART_BYTES,
        1,
    ]
    assert not bodies.is_unsent(2)
    assert bodies.is_unsent(1)
    bodies.discard(1)
    room = 1
    bodies.send_more()
    assert len(sent) == 6


def test_body_without_room_is_refused_and_its_link_stays() -> None:
    """Guard against a link that waits or closes for one body without room.

    The other requests of the link waited for up to 500 ms, then failed.
    """

    async def scenario() -> None:
        held = HeldBytes(limit_bytes=4_000_000)
        peer = Peer(held)
        async with run_peer(peer) as (links, address):
            refused, served = await asyncio.gather(
                links.call(
                    address,
                    "s#1",
                    link_pb2.Request(path="/long"),
                    timeout_ms=TIMEOUT_MS,
                    body=LONG_BODY,
                ),
                links.call(
                    address,
                    "s#1",
                    link_pb2.Request(path="/short"),
                    timeout_ms=TIMEOUT_MS,
                    body=b"a",
                ),
            )
            assert isinstance(refused, link_pb2.Refusal)
            assert refused.not_run
            assert refused.retry_after_ms > 0
            assert isinstance(served, link_pb2.Response)
            assert peer.runs == ["/short"]
            assert held.used_bytes == 0

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def run_raw_peer(
    hello: link_pb2.Hello, received: list[link_pb2.Frame], *, reads: int
) -> AsyncIterator[str]:
    """Run a peer that reads some frames and closes; yield its address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            writer.write(b"".join(encode_frame(link_pb2.Frame(hello=hello))))
            for _ in range(reads):
                (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
                frame = link_pb2.Frame.FromString(await reader.readexactly(length))
                received.append(frame)
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=65_536)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


@pytest.mark.parametrize("takes_parts", [True, False])
def test_request_without_its_whole_body_has_not_run(takes_parts: bool) -> None:
    """Guard against 'may have run' for a request that no peer had whole."""

    async def scenario() -> None:
        hello = link_pb2.Hello(vm="s", incarnation="s#1", takes_body_parts=takes_parts)
        received: list[link_pb2.Frame] = []
        async with run_raw_peer(hello, received, reads=2) as address:
            links = LinkPool(make_options("c"), Clock())
            with pytest.raises(LinkError) as caught:
                await links.call(
                    address,
                    "s#1",
                    link_pb2.Request(path="/"),
                    timeout_ms=TIMEOUT_MS,
                    body=LONG_BODY,
                )
            # A peer of an earlier version gets it in one frame.
            assert caught.value.maybe_sent is not takes_parts
            request = received[1].request
            assert (request.body == LONG_BODY) is not takes_parts
            assert request.body_bytes == (len(LONG_BODY) if takes_parts else 0)
            links.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("content", [b"", b"a" * 101])
def test_part_that_does_not_fit_its_body_closes_the_link(content: bytes) -> None:
    """Guard against requests that run with another body than their own."""

    async def scenario() -> None:
        peer = Peer()
        await peer.server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", peer.server.port)
        hello = link_pb2.Hello(vm="c", incarnation="c#1", takes_body_parts=True)
        request = link_pb2.Request(stream_id=1, path="/", body_bytes=100)
        part = link_pb2.BodyPart(stream_id=1, content=content)
        unknown = link_pb2.BodyPart(stream_id=7, content=b"a")
        for frame in (
            link_pb2.Frame(hello=hello),
            link_pb2.Frame(body_part=unknown),
            link_pb2.Frame(request=request),
            link_pb2.Frame(body_part=part),
        ):
            writer.write(b"".join(encode_frame(frame)))
        with contextlib.suppress(ConnectionError):
            await asyncio.wait_for(reader.read(), 5)
        assert peer.runs == []
        writer.close()
        await peer.server.stop()

    asyncio.run(scenario())


def make_client(port: int) -> BackendClient:
    """Return a client of a server on this port."""
    return BackendClient(
        f"127.0.0.1:{port}", clock=Clock(), body_limit_bytes=BODY_LIMIT_BYTES
    )


def test_long_body_reaches_the_backend_server() -> None:
    """Guard against bodies that are cut or changed on their way."""

    async def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, (), hashlib.sha256(request.body).digest())

    async def scenario() -> None:
        server = HttpServer(handle, body_limit_bytes=BODY_LIMIT_BYTES)
        await server.start("127.0.0.1", 0)
        client = make_client(server.port)
        for body in (LONG_BODY, bytearray(LONG_BODY), LONG_BODY[:INLINE_BODY_BYTES]):
            request = HttpRequest("POST", "/", (), body)
            response = await client.exchange(request, timeout_ms=TIMEOUT_MS)
            assert response.body == hashlib.sha256(body).digest()
            await asyncio.sleep(0.1)
        assert server.accepted_count == 1
        client.close()
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("answers", [True, False])
def test_server_that_does_not_read_the_body(answers: bool) -> None:
    """Guard against a request that a server takes for the rest of a body.

    A server may answer before it has read a long body, or not at all.
    """
    connections = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            if answers:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await asyncio.Event().wait()
        finally:
            writer.transport.abort()

    async def scenario() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=65_536)
        client = make_client(server.sockets[0].getsockname()[1])
        request = HttpRequest("POST", "/", (), LONG_BODY * 2)
        for _ in range(2):
            if answers:
                response = await client.exchange(request, timeout_ms=TIMEOUT_MS)
                assert response.body == b"ok"
                await asyncio.sleep(0.1)
                continue
            with pytest.raises(ExchangeError) as caught:
                await client.exchange(request, timeout_ms=300)
            assert caught.value.sent is SendStatus.MAYBE_SENT
        assert connections == 2
        client.close()
        server.close()

    asyncio.run(scenario())
