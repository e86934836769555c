"""HTTP/1.1 server: asyncio with the httptools codec.

Serves the listeners for callers and backend servers, and those of the mesh.
"""

import ssl
from collections.abc import Awaitable, Callable

from eelgrassweir.daemon.connection_limit import ConnectionLimit
from eelgrassweir.daemon.connection_table import ConnectionTable
from eelgrassweir.daemon.held_bytes import HeldBytes
from eelgrassweir.daemon.http_connection import HttpConnection
from eelgrassweir.daemon.http_message import (
    HttpRequest,
    HttpResponse,
)
from eelgrassweir.daemon.listening import Listener, start_listener
from eelgrassweir.daemon.parse_turns import ParseTurns
from eelgrassweir.daemon.read_turns import ReadTurns
from eelgrassweir.daemon.start_queue import StartQueue
from eelgrassweir.requests.refusal import (
    Refusal,
    http_status,
    to_json,
)

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
# Called with a request whose connection ends before its answer, and why.
UnansweredHandler = Callable[[HttpRequest, str], None]

MAX_HEAD_BYTES = 32_768
# Default bounds of the connections of a listener.
CONNECTIONS_PERCENT = 50
MAX_CONNECTIONS = 2_048
# A connection without a new request for this time is closed.
IDLE_TIMEOUT_S = 75.0
# A request whose head or body is not complete within this time is aborted.
RECEIVE_TIMEOUT_S = 30.0
# A connection whose peer accepts no bytes of an answer for this time is
# aborted. Otherwise a silent peer would hold the answer in memory forever.
WRITE_TIMEOUT_S = 10.0


class HttpServer:
    """Serve one listener and track its open connections.

    ``render`` converts a refusal by the server itself into an answer. With
    ``sends_idle_refusal`` the server sends a refusal on an idle connection
    before it closes the connection. ``on_read`` is called for each read, and
    ``on_unanswered`` for each queued request whose answer cannot be sent.
    ``held`` bounds the requests and unsent answers together with the other
    messages that the daemon holds. ``start_queue`` starts requests with the
    others of the daemon, by the priority from ``get_priority``, and
    ``parse_turns`` shares its processor time among its connections.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        body_limit_bytes: int,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        render: "Callable[[Refusal], HttpResponse] | None" = None,
        sends_idle_refusal: bool = True,
        on_read: "Callable[[], None] | None" = None,
        on_unanswered: UnansweredHandler | None = None,
        held: HeldBytes | None = None,
        start_queue: StartQueue | None = None,
        get_priority: Callable[[HttpRequest], int] | None = None,
        connection_limit: ConnectionLimit | None = None,
        parse_turns: ParseTurns | None = None,
    ) -> None:
        self.handler = handler
        self.parse_turns = parse_turns or ParseTurns()
        self.read_turns = ReadTurns()
        self.start_queue = start_queue or StartQueue()
        self.get_priority = get_priority or get_equal_priority
        self.on_unanswered = on_unanswered
        self.held = held or HeldBytes()
        self.on_read = on_read
        self.render = render or make_refusal_response
        self.sends_idle_refusal = sends_idle_refusal
        self.idle_timeout_s = idle_timeout_s
        self.receive_timeout_s = min(idle_timeout_s, RECEIVE_TIMEOUT_S)
        self.head_timeout_s = self.receive_timeout_s
        self.head_limit_bytes = MAX_HEAD_BYTES
        self.write_timeout_s = min(idle_timeout_s, WRITE_TIMEOUT_S)
        self.body_limit_bytes = body_limit_bytes
        self.is_closing = False
        # Connections so far.
        self.accepted_count = 0
        self._connections: ConnectionTable[HttpConnection] = ConnectionTable(
            connection_limit
            or ConnectionLimit(
                percent=CONNECTIONS_PERCENT, max_connections=MAX_CONNECTIONS
            )
        )
        self._listener: Listener | None = None

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen on ``host`` and ``port``."""
        self._listener = await start_listener(
            lambda: HttpConnection(self),
            host,
            port,
            tls,
            connection_limit=self._connections.limit,
        )

    @property
    def is_listening(self) -> bool:
        """Return whether the listener has been opened."""
        return self._listener is not None

    def set_closing(self, is_closing: bool = True) -> None:
        """Set whether connections close after their next answer."""
        self.is_closing = is_closing

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        self.is_closing = True
        for connection in self._connections:
            connection.close_if_idle()

    def fail_pending_requests(self) -> None:
        """Answer the requests still in progress with a refusal.

        Completed answers that wait behind them can then be sent.
        """
        self.is_closing = True
        for connection in self._connections:
            connection.fail_pending_requests()

    def stop_listening(self) -> None:
        """Close the listener; open connections remain."""
        if self._listener is not None:
            self._listener.close()

    @property
    def port(self) -> int:
        """Return the port of the listener; the system may have chosen it."""
        assert self._listener is not None
        return self._listener.port

    async def stop(self) -> None:
        """Close the listener and abort open connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in self._connections:
            connection.abort("the daemon stops")

    def add_connection(self, connection: "HttpConnection") -> None:
        """Track an open connection."""
        self.accepted_count += 1
        self._connections.add(connection)

    def record_request(self, connection: "HttpConnection") -> None:
        """Record that a whole request has been read from a connection."""
        self._connections.record_request(connection)

    def remove_connection(self, connection: "HttpConnection") -> None:
        """Stop tracking a closed connection."""
        self._connections.discard(connection)
        self._connections.limit.record_close()

    @property
    def busy_count(self) -> int:
        """Return the number of connections with a request in flight."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)


def get_equal_priority(_request: HttpRequest) -> int:
    """Return one priority for all requests."""
    return 0


def make_refusal_response(refusal: Refusal) -> HttpResponse:
    """Return the HTTP answer of a refusal.

    ``Retry-After`` is in whole seconds, rounded up.
    """
    headers = [
        ("Content-Type", "application/json"),
        ("Eelgrassweir-Refusal", refusal.code),
    ]
    if refusal.retry_after_ms > 0:
        retry_after_s = -(-refusal.retry_after_ms // 1_000)
        headers.append(("Retry-After", str(retry_after_s)))
    return HttpResponse(http_status(refusal.code), tuple(headers), to_json(refusal))
