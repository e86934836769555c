"""Listening sockets, and the acceptance of their connections."""

import asyncio
import socket
import ssl
from collections.abc import Callable, Sequence
from typing import Any

from eliot import log_message

from eelgrassweir.daemon.connection_limit import ConnectionLimit

BACKLOG_CONNECTIONS = 1_024
# Connections that are accepted before others get their turn.
MAX_ACCEPTS_PER_TURN = 128
# Time for which connections wait if the system has no descriptor for them.
ACCEPT_PAUSE_S = 0.1
# Time for which they wait until some of too many connections are closed.
LIMIT_PAUSE_S = 0.005


class Listener:
    """Accept the connections to the addresses of one host and port.

    All connections that wait are accepted at once. The event loop of the
    daemons accepts one in a turn, so that under load connections, with the
    requests and the closes of their callers, wait for seconds.
    """

    def __init__(
        self,
        sockets: Sequence[socket.socket],
        make_protocol: Callable[[], asyncio.BaseProtocol],
        tls: ssl.SSLContext | None,
        connection_limit: ConnectionLimit | None,
    ) -> None:
        self._connection_limit = connection_limit
        self._sockets = sockets
        self._make_protocol = make_protocol
        self._tls = tls
        # The event loop keeps weak references only.
        self._opening: set[asyncio.Task[None]] = set()
        self._is_closed = False
        for listening in sockets:
            self._watch(listening)

    @property
    def port(self) -> int:
        """Return the port of the first socket; the system may choose it."""
        return int(self._sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening; connections that are not accepted yet are reset."""
        if self._is_closed:
            return
        self._is_closed = True
        for listening in self._sockets:
            asyncio.get_running_loop().remove_reader(listening)
            listening.close()

    def _watch(self, listening: socket.socket) -> None:
        if not self._is_closed:
            loop = asyncio.get_running_loop()
            loop.add_reader(listening, self._accept_waiting, listening)

    def _accept_waiting(self, listening: socket.socket) -> None:
        limit = self._connection_limit
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if limit is not None and not limit.has_room():
                self._watch_later(listening, LIMIT_PAUSE_S)
                return
            try:
                connection, _address = listening.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:
                # The caller has left.
                continue
            except OSError as error:
                self._pause(listening, error)
                return
            connection.setblocking(False)
            if limit is not None:
                limit.record_open()
            task = asyncio.get_running_loop().create_task(self._open(connection))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    def _pause(self, listening: socket.socket, error: OSError) -> None:
        """Accept again later, since descriptors or memory are used up."""
        log_message(message_type="listener:paused", reason=str(error))
        self._watch_later(listening, ACCEPT_PAUSE_S)

    def _watch_later(self, listening: socket.socket, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening)
        loop.call_later(pause_s, self._watch, listening)

    async def _open(self, connection: socket.socket) -> None:
        """Hand a connection over to its protocol."""
        loop = asyncio.get_running_loop()
        limit = self._connection_limit
        try:
            await loop.connect_accepted_socket(
                self._make_protocol, connection, ssl=self._tls
            )
        except OSError as error:
            # The caller has left, or the TLS handshake has failed.
            log_message(message_type="listener:not_opened", reason=str(error))
            connection.close()
            if limit is not None:
                limit.record_close()


async def start_listener(
    make_protocol: Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    tls: ssl.SSLContext | None = None,
    *,
    connection_limit: ConnectionLimit | None = None,
) -> Listener:
    """Return a listener on ``host`` and ``port``.

    The protocols record the close of the connections that it has accepted.

    :raises OSError: if it cannot listen.
    """
    sockets: list[socket.socket] = []
    try:
        for family, address in await _resolve(host, port):
            sockets.append(_open_socket(family, host, port))
            sockets[-1].bind(address)
            sockets[-1].listen(BACKLOG_CONNECTIONS)
    except OSError:
        for listening in sockets:
            listening.close()
        raise
    return Listener(sockets, make_protocol, tls, connection_limit)


async def _resolve(host: str, port: int) -> list[tuple[int, Any]]:
    """Return the families and addresses; a number needs no descriptor."""
    try:
        found = socket.getaddrinfo(
            host, port, type=socket.SOCK_STREAM, flags=socket.AI_NUMERICHOST
        )
    except socket.gaierror:
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    return [(family, address) for family, *_kind, address in found]


def _open_socket(family: int, host: str, port: int) -> socket.socket:
    try:
        listening = socket.socket(family, socket.SOCK_STREAM)
    except OSError as error:
        reason = f"no socket to listen on {host}:{port}: {error.strerror}"
        raise OSError(error.errno, reason) from None
    listening.setblocking(False)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if family == socket.AF_INET6:
        listening.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
    return listening
