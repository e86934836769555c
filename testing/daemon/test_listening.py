"""Guard against connections that wait to be accepted."""

import asyncio
import errno
import socket

import pytest
import uvloop

from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer

CALLERS = 60
LIMIT_S = 5.0


async def answer(_request: HttpRequest) -> HttpResponse:
    """Answer at once."""
    return HttpResponse(200, (), b"")


async def start_server() -> HttpServer:
    """Start a server on a free port."""
    server = HttpServer(answer, body_limit_bytes=1_000)
    await server.start("127.0.0.1", 0)
    return server


def connect(server: HttpServer) -> socket.socket:
    """Open a connection, which the system accepts for the server."""
    return socket.create_connection(("127.0.0.1", server.port))


def test_connections_that_wait_are_accepted_in_few_turns() -> None:
    """Guard against requests and closes that wait for one turn a connection.

    The event loop of the daemons accepts one connection in a turn.
    """

    async def scenario() -> None:
        server = await start_server()
        callers = [connect(server) for _ in range(CALLERS)]
        for _ in range(10):
            await asyncio.sleep(0)
        assert server.accepted_count == CALLERS
        for caller in callers:
            caller.close()
        await server.stop()

    uvloop.run(scenario())


def test_connection_without_a_free_descriptor_is_accepted_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a listener that ends, or takes up the processor."""
    attempts = 0
    accept = socket.socket.accept

    def accept_late(listening: socket.socket) -> tuple[socket.socket, object]:
        nonlocal attempts
        attempts += 1
        if attempts <= 2:
            raise OSError(errno.EMFILE, "too many open files")
        return accept(listening)

    async def scenario() -> None:
        server = await start_server()
        monkeypatch.setattr(socket.socket, "accept", accept_late)
        caller = connect(server)
        async with asyncio.timeout(LIMIT_S):
            while not server.accepted_count:
                await asyncio.sleep(0.01)
        assert attempts <= 4
        caller.close()
        await server.stop()

    asyncio.run(scenario())


def test_callers_that_left_before_they_were_accepted_do_no_harm() -> None:
    """Guard against a listener that ends with the connection of a caller."""

    async def scenario() -> None:
        server = await start_server()
        for _ in range(5):
            caller = connect(server)
            linger = b"\1\0\0\0\0\0\0\0"
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            caller.close()
        caller = connect(server)
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(caller, b"GET / HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(LIMIT_S):
            assert b" 200 " in await loop.sock_recv(caller, 100)
        caller.close()
        await server.stop()

    uvloop.run(scenario())
