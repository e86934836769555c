"""WSGI server of the admin listener, with bounds on its clients."""

import socket
import threading
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

from cheroot import server, wsgi

# The library reads heads of any size by default.
MAX_HEAD_BYTES = 32_768
# The library limits the time of each read only.
HEAD_TIMEOUT_S = 5.0
# Connections that wait for a thread; the library accepts any number. Those
# beyond are closed at once.
MAX_WAITING_CONNECTIONS = 32
STOP_TIMEOUT_S = 5
# Bytes that are read after a refusal.
MAX_DRAINED_READS = 4
DRAINED_READ_BYTES = 65_536
_SOCKET_TIMEOUT_S = 10


class _TimedRequest(server.HTTPRequest):  # type: ignore[misc, unused-ignore]
    """Request whose head must be complete in time."""

    def parse_request(self) -> None:
        """Read the head; end the connection if that takes too long."""
        timer = threading.Timer(HEAD_TIMEOUT_S, _shut_down, (self.conn.socket,))
        timer.daemon = True
        timer.start()
        try:
            super().parse_request()
        finally:
            timer.cancel()


class _Connection(server.HTTPConnection):  # type: ignore[misc, unused-ignore]
    """Connection whose socket is closed also after a refusal.

    The library leaves that to the garbage collector.
    """

    RequestHandlerClass = _TimedRequest

    def close(self) -> None:
        """Close the connection."""
        is_refused = self.linger
        super().close()
        if is_refused:
            _drain_and_close(self.socket)


def _drain_and_close(connection: socket.socket) -> None:
    """Read what has arrived, which would reset the connection, and close."""
    with suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
        connection.setblocking(False)
        for _ in range(MAX_DRAINED_READS):
            if not connection.recv(DRAINED_READ_BYTES):
                break
    connection.close()


def _shut_down(connection: socket.socket) -> None:
    """End the reads of the thread that serves the connection."""
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def make_wsgi_server(
    address: tuple[str, int],
    serve: Callable[[dict[str, Any], Any], Iterable[bytes]],
    *,
    threads: int,
    body_limit_bytes: int,
) -> wsgi.Server:
    """Return a server that is not started yet."""
    made = wsgi.Server(
        address,
        serve,
        numthreads=threads,
        accepted_queue_size=MAX_WAITING_CONNECTIONS,
        accepted_queue_timeout=0,
    )
    made.ConnectionClass = _Connection
    made.timeout = _SOCKET_TIMEOUT_S
    made.shutdown_timeout = STOP_TIMEOUT_S
    made.max_request_body_size = body_limit_bytes
    made.max_request_header_size = MAX_HEAD_BYTES
    return made
