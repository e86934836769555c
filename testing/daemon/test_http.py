"""Guard against answers that are truncated, mixed up or late."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from unittest import mock

import pytest

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.held_bytes import HeldBytes
from eelgrassweir.daemon.http_client import (
    BackendClient,
    BackendConnection,
    ClientOptions,
    ExchangeError,
    SendStatus,
)
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer
from eelgrassweir.daemon.parse_turns import ParseTurns
from eelgrassweir.requests.calls import ResponseMatch

ServerScript = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
GET = HttpRequest("GET", "/", (), b"")
OK_HEAD_10_BYTES = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"


async def serve_script(
    script: ServerScript, options: ClientOptions | None = None
) -> tuple[asyncio.Server, BackendClient]:
    """Start a server that runs ``script`` on each connection, and a client."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A writer that is still open after the end of the event loop raises
        # in its finalizer, which may run while pytest parses a module.
        with contextlib.closing(writer):
            await script(reader, writer)

    server = await asyncio.start_server(run, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = BackendClient(
        f"{host}:{port}", clock=Clock(), body_limit_bytes=1_000, options=options
    )
    return server, client


async def exchange_with(answer: bytes) -> HttpResponse:
    """Return the client's response to ``answer`` and the end of the stream."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    server, client = await serve_script(script)
    async with server:
        return await client.exchange(GET, timeout_ms=2_000)


def test_complete_answer_is_returned() -> None:
    """Guard against the loss of an answer that ends with its connection."""
    response = asyncio.run(exchange_with(OK_HEAD_10_BYTES + b"0123456789"))
    assert response.body == b"0123456789"


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        OK_HEAD_10_BYTES + b"01234",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"not HTTP at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2_000,
    ],
)
def test_incomplete_answer_is_an_error(answer: bytes) -> None:
    """Guard against a truncated or malformed answer that is returned."""
    with pytest.raises(ExchangeError) as caught:
        asyncio.run(exchange_with(answer))
    assert caught.value.sent is SendStatus.MAYBE_SENT


def test_late_answer_is_not_taken_for_the_next_request() -> None:
    """Guard against a timed-out request's answer given to the next one."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split()[1]
            if path == b"/late":
                await asyncio.sleep(0.15)
            body = path.rjust(10)
            writer.write(OK_HEAD_10_BYTES + body)

    async def scenario() -> None:
        server, client = await serve_script(script)
        async with server:
            with pytest.raises(ExchangeError):
                await client.exchange(
                    HttpRequest("GET", "/late", (), b""), timeout_ms=30
                )
            for number in range(20):
                path = f"/{number}"
                request = HttpRequest("GET", path, (), b"")
                response = await client.exchange(request, timeout_ms=2_000)
                assert response.body.strip() == path.encode()
                await asyncio.sleep(0.01)

    asyncio.run(scenario())


def test_second_answer_to_one_request_is_dropped() -> None:
    """Guard against a duplicate answer given to the next request."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            body = head.split()[1].rjust(10)
            writer.write((OK_HEAD_10_BYTES + body) * 2)

    async def scenario() -> None:
        server, client = await serve_script(script)
        async with server:
            for number in range(20):
                path = f"/{number}"
                request = HttpRequest("GET", path, (), b"")
                response = await client.exchange(request, timeout_ms=2_000)
                assert response.body.strip() == path.encode()

    asyncio.run(scenario())


def test_answer_to_a_cancelled_request_does_not_end_reuse() -> None:
    """Guard against a cancelled request that marks the server as faulty.

    The cancellation and the answer can come in one iteration of the event
    loop. The answer was requested, so it is not unsolicited.
    """
    unsolicited: list[BackendConnection] = []

    async def scenario() -> None:
        connection = BackendConnection(
            "127.0.0.1:1",
            1_000,
            HeldBytes(),
            unsolicited.append,
            ClientOptions(),
            ParseTurns(),
        )
        transport = mock.create_autospec(asyncio.Transport, instance=True)
        transport.is_closing.return_value = False
        connection.connection_made(transport)
        exchange = asyncio.ensure_future(connection.exchange(GET))
        await asyncio.sleep(0)
        exchange.cancel()
        connection.data_received(OK_HEAD_10_BYTES + b"0123456789")
        await asyncio.wait([exchange])
        assert exchange.cancelled()
        assert not connection.is_reusable

    asyncio.run(scenario())
    assert unsolicited == []


def test_requests_avoid_connections_as_old_as_a_silent_one() -> None:
    """Guard against requests that each wait for their own silence timeout.

    Each would hold a slot meanwhile.
    """
    silent: set[asyncio.StreamWriter] = set()
    accepted: set[asyncio.StreamWriter] = set()

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        accepted.add(writer)
        while await reader.readuntil(b"\r\n\r\n"):
            await asyncio.sleep(0.005)
            if writer not in silent:
                writer.write(OK_HEAD_10_BYTES + b"0123456789")

    async def scenario() -> None:
        server, client = await serve_script(script, ClientOptions(min_idle_ms=0))

        async def send_get(timeout_ms: float) -> HttpResponse:
            return await client.exchange(GET, timeout_ms=timeout_ms, silence_ms=1_500)

        async with server:
            await asyncio.gather(*(send_get(2_000) for _ in range(5)))
            silent.update(accepted)
            first = asyncio.ensure_future(send_get(2_000))
            await asyncio.sleep(0.2)
            await asyncio.gather(*(send_get(1_000) for _ in range(4)))
            first.cancel()
            await asyncio.wait([first])

    asyncio.run(scenario())


def test_connection_is_probed_while_an_answer_is_awaited() -> None:
    """Guard against a connection that stays silent and is never probed."""
    socket_options: list[tuple[int, int]] = []

    async def scenario() -> None:
        connection = BackendConnection(
            "127.0.0.1:1",
            1_000,
            HeldBytes(),
            lambda _: None,
            ClientOptions(),
            ParseTurns(),
        )
        with socket.socket() as tcp_socket:
            transport = mock.create_autospec(asyncio.Transport, instance=True)
            transport.get_extra_info.return_value = tcp_socket
            connection.connection_made(transport)
            connection.set_tcp_timeouts(700)
            tcp = socket.IPPROTO_TCP
            socket_options.append(
                (
                    tcp_socket.getsockopt(tcp, socket.TCP_USER_TIMEOUT),
                    tcp_socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                )
            )

    asyncio.run(scenario())
    assert socket_options == [(700, 1)]


def test_refused_connection_is_reported_as_not_sent() -> None:
    """Guard against a request that counts as sent without a connection."""

    async def scenario() -> None:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.close()

        server, client = await serve_script(script)
        server.close()
        await server.wait_closed()
        with pytest.raises(ExchangeError) as caught:
            await client.exchange(GET, timeout_ms=1_000)
        assert caught.value.sent is SendStatus.NOT_SENT

    asyncio.run(scenario())


def test_request_is_not_sent_on_a_connection_that_opens_too_late() -> None:
    """Guard against a request that reaches a server after its drain time."""

    async def scenario() -> None:
        received: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received.set_result(await reader.read())
            writer.close()

        server, client = await serve_script(script)
        async with server:
            with pytest.raises(ExchangeError) as caught:
                await client.exchange(GET, timeout_ms=1_000, can_send=lambda: False)
            assert caught.value.sent is SendStatus.NOT_SENT
            assert await received == b""

    asyncio.run(scenario())


async def echo(request: HttpRequest) -> HttpResponse:
    """Answer with the path and the body."""
    return HttpResponse(200, (), request.path.encode() + request.body)


async def raw_exchange(data: bytes, body_limit_bytes: int = 1_000) -> bytes:
    """Send ``data`` to a server that echoes bodies; return all it sends."""
    server = HttpServer(echo, body_limit_bytes=body_limit_bytes)
    await server.start("127.0.0.1", 0)
    assert server.port
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(), 5)
    await server.stop()
    return answer


def test_pipelined_requests_are_answered_in_order() -> None:
    """Guard against lost or reordered answers to pipelined requests."""
    data = b"GET /1 HTTP/1.1\r\n\r\n" * 9
    data += b"GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n"
    answer = asyncio.run(raw_exchange(data))
    assert answer.count(b"HTTP/1.1 200") == 10
    assert answer.endswith(b"/2")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b" 400 "),
        (b"POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2_000, b" 413 "),
        (b"GET / HTTP/1.1\r\nA: " + b"x" * 40_000 + b"\r\n\r\n", b" 400 "),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b" 400 ",
        ),
    ],
)
def test_request_that_cannot_be_served_is_refused(data: bytes, status: bytes) -> None:
    """Guard against malformed or oversized requests that reach the handler."""
    assert status in asyncio.run(raw_exchange(data)).split(b"\r\n")[0]


def test_disconnected_caller_cancels_its_request() -> None:
    """Guard against work for callers that have closed their connection."""

    async def scenario() -> None:
        cancelled = asyncio.Event()
        started = asyncio.Event()

        async def handler(request: HttpRequest) -> HttpResponse:
            started.set()
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                cancelled.set()
                raise
            return HttpResponse(200, (), b"")

        server = HttpServer(handler, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await asyncio.wait_for(started.wait(), 5)
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 5)
        await server.stop()

    asyncio.run(scenario())


def test_exception_in_the_handler_is_answered() -> None:
    """Guard against a caller that never gets an answer."""

    async def scenario() -> bytes:
        async def handler(request: HttpRequest) -> HttpResponse:
            raise KeyError(request.path)

        server = HttpServer(handler, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET /secret HTTP/1.1\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), 5)
        await server.stop()
        return answer

    answer = asyncio.run(scenario())
    assert b" 502 " in answer.split(b"\r\n")[0]
    assert b'"not_run": false' in answer
    assert b"secret" not in answer


def test_safe_pipelined_requests_run_together() -> None:
    """Guard against a safe request that waits for the one before it."""

    async def scenario() -> list[str]:
        running: list[str] = []
        both = asyncio.Event()

        async def handler(request: HttpRequest) -> HttpResponse:
            running.append(request.path)
            if len(running) == 2:
                both.set()
            await asyncio.wait_for(both.wait(), 5)
            return HttpResponse(200, (), request.path.encode())

        server = HttpServer(handler, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n")
        writer.write(b"Connection: close\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), 5)
        await server.stop()
        return [part[-2:].decode() for part in answer.split(b"HTTP/1.1 ")[1:]]

    assert asyncio.run(scenario()) == ["/1", "/2"]


def test_unsafe_pipelined_request_waits_for_earlier_ones() -> None:
    """Guard against a filing that runs although its connection then closes."""

    async def scenario() -> int:
        max_running = 0
        running = 0

        async def handler(request: HttpRequest) -> HttpResponse:
            nonlocal max_running, running
            running += 1
            max_running = max(max_running, running)
            await asyncio.sleep(0.02)
            running -= 1
            return HttpResponse(200, (), b"")

        server = HttpServer(handler, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\n")
        writer.write(b"Content-Length: 0\r\n\r\n")
        writer.write(b"GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), 5)
        await server.stop()
        assert answer.count(b" 200 ") == 3
        return max_running

    assert asyncio.run(scenario()) == 1


PLATFORM_OPTIONS = ClientOptions(
    min_idle_ms=0,
    no_reuse_ms=0,
    accepts_close_delimited=True,
    match_response=lambda request, headers: (
        ResponseMatch.OWN if ("X-Id", "own") in headers else ResponseMatch.OTHER
    ),
)
OWN_HEAD_2_BYTES = b"HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 2\r\n\r\n"


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno"
        + OWN_HEAD_2_BYTES,
        b"HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\n",
    ],
)
def test_matching_answer_is_returned(answer: bytes) -> None:
    """Guard against another request's answer, and one without a length."""

    async def scenario() -> bytes:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await asyncio.sleep(0.02)
            writer.write(b"ok")
            writer.close()

        server, client = await serve_script(script, PLATFORM_OPTIONS)
        async with server:
            return (await client.exchange(GET, timeout_ms=2_000)).body

    assert asyncio.run(scenario()) == b"ok"


def test_reset_close_delimited_answer_is_incomplete() -> None:
    """Guard against a truncated answer that looks complete."""

    async def scenario() -> None:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nhalf")
            await asyncio.sleep(0.02)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.close()

        server, client = await serve_script(script, PLATFORM_OPTIONS)
        async with server:
            with pytest.raises(ExchangeError):
                await client.exchange(GET, timeout_ms=2_000)

    asyncio.run(scenario())


@pytest.mark.parametrize(("limit_bytes", "status"), [(2_000, b"200"), (500, b"400")])
def test_head_is_bounded_by_the_limit_in_force(limit_bytes: int, status: bytes) -> None:
    """Guard against a configured head limit that is not applied."""

    async def scenario() -> None:
        server = HttpServer(echo, body_limit_bytes=1_000)
        server.head_limit_bytes = limit_bytes
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        padding = b"x" * 1_000
        writer.write(b"GET / HTTP/1.1\r\nPadding: " + padding + b"\r\n\r\n")
        assert (await reader.readline()).split()[1] == status
        writer.close()
        await server.stop()

    asyncio.run(scenario())


def test_head_field_without_end_is_refused_at_the_limit() -> None:
    """Guard against a field that is only counted once it has ended."""

    async def scenario() -> None:
        server = HttpServer(echo, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET / HTTP/1.1\r\nPadding: ")
        sent_bytes = 0
        answer = asyncio.create_task(reader.readline())
        async with asyncio.timeout(2.0):
            while not answer.done():
                writer.write(b"x" * 4_096)
                sent_bytes += 4_096
                await asyncio.sleep(0.001)
        assert (await answer).split()[1] == b"400"
        assert sent_bytes < 1_000_000
        writer.close()
        await server.stop()

    asyncio.run(scenario())


def test_head_that_does_not_end_in_time_closes_the_connection() -> None:
    """Guard against callers that hold connections with incomplete heads."""

    async def scenario() -> None:
        server = HttpServer(echo, body_limit_bytes=1_000)
        server.head_timeout_s = 0.1
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\n")
        with contextlib.suppress(ConnectionResetError):
            assert await asyncio.wait_for(reader.read(), 2.0) == b""
        writer.close()
        # A body may take longer than the head.
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n")
        await asyncio.sleep(0.2)
        writer.write(b"ab")
        assert (await reader.readline()).split()[1] == b"200"
        writer.close()
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("target", "path", "host"),
    [
        ("http://notes.example/a/1?b=http://c/", "/a/1?b=http://c/", "notes.example"),
        ("HTTP://notes.example:80/a/1", "/a/1", "notes.example:80"),
        ("http://notes.example", "/", "notes.example"),
        ("http://notes.example?a=1", "/?a=1", "notes.example"),
        ("/a/1?b=http://c/", "/a/1?b=http://c/", "other.example"),
    ],
)
def test_absolute_form_of_a_request_is_that_of_its_host(
    target: str, path: str, host: str
) -> None:
    """Guard against a 404 for the form that clients of a proxy send."""
    received: list[HttpRequest] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        received.append(request)
        return HttpResponse(200, (), b"")

    async def scenario() -> None:
        server = HttpServer(handle, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        head = f"GET {target} HTTP/1.1\r\nHost: other.example\r\n\r\n"
        writer.write(head.encode())
        assert b"200" in await reader.readline()
        writer.close()
        await server.stop()

    asyncio.run(scenario())
    (request,) = received
    assert request.path == path
    hosts = [value for name, value in request.headers if name.lower() == "host"]
    assert hosts == [host]
