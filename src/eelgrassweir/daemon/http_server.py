"""HTTP/1.1 server on the request path: asyncio with the httptools codec."""

import asyncio
import collections
import ssl
from collections.abc import Awaitable, Callable
from typing import cast

import attrs
import httptools
from eliot import write_traceback

from eelgrassweir.daemon.http_message import (
    HttpRequest,
    HttpResponse,
    encode_response,
)
from eelgrassweir.requests.refusal import (
    Refusal,
    clear_not_run_if_ticketed,
    http_status,
    make_internal_refusal,
    to_json,
)

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

HEAD_LIMIT_BYTES = 32_768
PIPELINE_LIMIT = 4
# Requests of these methods are safe (RFC 9110 section 9.2.1): those that were
# sent together run together, and a copy sent again does no harm.
CONCURRENT_METHODS = frozenset(("GET", "HEAD"))
# A connection on which no request has started for this long is closed.
IDLE_LIMIT_S = 75.0
# A request whose bytes stop arriving is given up after this long.
RECEIVE_LIMIT_S = 30.0
# A connection that takes no bytes of its answers is given up after this long;
# without a limit a silent one would keep its answer for good.
WRITE_LIMIT_S = 10.0
# After the last answer the connection is still read for this long, since
# unread bytes would reset it and take the answer with them.
LINGER_S = 1.0
# Sent to an idle connection before it is closed. A request that crosses the
# close is then answered, and its caller knows that it may send it again.
CLOSING = Refusal(
    code="draining",
    not_run=False,
    reason="the daemon closed this connection before it read the request",
    step="receive",
    peer="",
)

# Sent in place of an answer that did not come before the daemon has to end.
GIVEN_UP = Refusal(
    code="outcome_unknown",
    not_run=False,
    reason="the daemon ends before the answer has come",
    step="stop",
    peer="",
)


@attrs.define(eq=False)
class _Exchange:
    """Hold one request of a connection until its answer is written."""

    request: HttpRequest
    keep_alive: bool
    task: "asyncio.Task[None] | None" = None
    response: HttpResponse | None = None


class HttpServer:
    """Serve one listener and keep its open connections.

    ``render`` turns a refusal of the server itself into an answer. With
    ``sends_idle_refusal`` the server sends a refusal on an idle connection
    before it closes the connection.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        body_limit_bytes: int,
        idle_limit_s: float = IDLE_LIMIT_S,
        render: "Callable[[Refusal], HttpResponse] | None" = None,
        sends_idle_refusal: bool = True,
    ) -> None:
        self.handler = handler
        self.render = render or refusal_response
        self.sends_idle_refusal = sends_idle_refusal
        self.idle_limit_s = idle_limit_s
        self.receive_limit_s = min(idle_limit_s, RECEIVE_LIMIT_S)
        self.head_limit_s = self.receive_limit_s
        self.head_limit_bytes = HEAD_LIMIT_BYTES
        self.write_limit_s = min(idle_limit_s, WRITE_LIMIT_S)
        self.body_limit_bytes = body_limit_bytes
        self.is_closing = False
        self._connections: set[HttpConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen on ``host`` and ``port``."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpConnection(self), host, port, ssl=tls, backlog=1024
        )

    def set_closing(self, is_closing: bool = True) -> None:
        """Say with each answer whether the connection ends with it."""
        self.is_closing = is_closing

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        self.is_closing = True
        for connection in list(self._connections):
            connection.close_if_idle()

    def fail_pending_requests(self) -> None:
        """Answer what still runs, so that the answers behind it get out."""
        self.is_closing = True
        for connection in list(self._connections):
            connection.fail_pending_requests()

    def stop_listening(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()

    @property
    def port(self) -> int:
        """Return the port of the listener; the settings may leave it open."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening and close at once what is open."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def opened(self, connection: "HttpConnection") -> None:
        """Note an open connection."""
        self._connections.add(connection)

    def closed(self, connection: "HttpConnection") -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)

    @property
    def busy_count(self) -> int:
        """Return the connections with a request or an answer under way."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)


class HttpConnection(asyncio.Protocol):
    """Parse requests of one connection and answer them in order."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: collections.deque[_Exchange] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None
        self._peer = ""
        self._is_ended = False
        self._can_write = True
        self._is_read_paused = False
        self._reset()

    def _reset(self) -> None:
        self._path = b""
        self._headers: list[tuple[str, str]] = []
        self._head_bytes = 0
        self._body = bytearray()
        self._refused = False
        self._is_receiving = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._peer = f"{peer[0]}:{peer[1]}" if peer else ""
        self._server.opened(self)
        self._set_timer(self._server.idle_limit_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress; its caller is gone."""
        self._server.closed(self)
        self._transport = None
        self._clear_timer()
        for exchange in self._pending:
            if exchange.task is not None:
                exchange.task.cancel()

    def pause_writing(self) -> None:
        """Wait with further answers until the caller takes what was sent."""
        self._can_write = False
        if not self._is_ended:
            # A caller that takes no bytes is given up.
            self._set_timer(self._server.write_limit_s)

    def resume_writing(self) -> None:
        """Go on with further answers."""
        self._can_write = True
        if not self._is_ended:
            self._clear_timer()
            self._write_answers()

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._refused or self._is_ended:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse("bad_request", "upgrade of the protocol is not served")
        except httptools.HttpParserError as error:
            self._refuse("bad_request", f"not HTTP/1.1 ({type(error).__name__})")

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self._is_receiving = True
        self._set_timer(self._server.head_limit_s)

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._path += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field."""
        self._count_head(len(name) + len(value))
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Answer ``Expect: 100-continue`` and wait for the body."""
        if not self._is_ended:
            self._set_timer(self._server.receive_limit_s)
        for name, value in self._headers:
            if name.lower() == "expect" and value.lower() == "100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect the body up to the limit."""
        self._body += body
        if len(self._body) > self._server.body_limit_bytes:
            limit = self._server.body_limit_bytes
            self._refuse("body_too_large", f"body above {limit} bytes")

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        if self._refused:
            return
        self._is_receiving = False
        if self._can_write:
            self._clear_timer()
        request = HttpRequest(
            method=self._parser.get_method().decode("ascii"),
            path=self._path.decode("latin-1"),
            headers=tuple(self._headers),
            body=bytes(self._body),
            peer=self._peer,
        )
        exchange = _Exchange(request, self._parser.should_keep_alive())
        self._pending.append(exchange)
        self._begin_allowed()
        if len(self._pending) >= PIPELINE_LIMIT and self._transport is not None:
            self._is_read_paused = True
            self._transport.pause_reading()

    # Answers

    def _begin_allowed(self) -> None:
        """Start to work on the first request, and on safe ones behind it.

        Their number is bounded, since their answers are held until the caller
        has taken the first one.
        """
        for number, exchange in enumerate(self._pending):
            if number >= PIPELINE_LIMIT or not self._can_write:
                return
            if number and exchange.request.method not in CONCURRENT_METHODS:
                return
            if exchange.task is None:
                loop = asyncio.get_running_loop()
                exchange.task = loop.create_task(self._answer(exchange))
            if exchange.request.method not in CONCURRENT_METHODS:
                return

    async def _answer(self, exchange: _Exchange) -> None:
        exchange.response = await self._handle(exchange.request)
        self._write_answers()

    def _write_answers(self) -> None:
        """Write the answers that are due, in the order of their requests."""
        while self._pending and self._can_write:
            response = self._pending[0].response
            if response is None:
                self._begin_allowed()
                return
            exchange = self._pending.popleft()
            close = not exchange.keep_alive or (
                self._server.is_closing and not self._has_begun()
            )
            is_head = exchange.request.method == "HEAD"
            self._write(encode_response(response, is_head=is_head, close=close))
            if close or (self._refused and not self._pending):
                self._drop_pending()
                self.close()
                return
            if self._is_read_paused and self._transport is not None:
                self._is_read_paused = False
                self._transport.resume_reading()
        if not self._pending and self._can_write:
            self._set_timer(self._server.idle_limit_s)

    def _has_begun(self) -> bool:
        """Return whether a target may already work on a pending request."""
        return any(exchange.task is not None for exchange in self._pending)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request, also if the handler has a fault."""
        try:
            return await self._server.handler(request)
        except Exception as error:
            write_traceback()
            refusal = make_internal_refusal("handle a request", self._peer, error)
            return self._server.render(refusal)

    def fail_pending_requests(self) -> None:
        """Answer the pending requests that have no answer yet."""
        for exchange in self._pending:
            if exchange.response is not None:
                continue
            if exchange.task is None:
                # It was not passed on; its caller sees the connection close.
                break
            exchange.task.cancel()
            exchange.response = self._server.render(GIVEN_UP)
        self._write_answers()

    def _drop_pending(self) -> None:
        """Cancel requests behind the last answer; callers send them again."""
        for exchange in self._pending:
            if exchange.task is not None:
                exchange.task.cancel()
        self._pending.clear()

    def _refuse(self, code: str, reason: str) -> None:
        self._refused = True
        refusal = Refusal(
            code=code, not_run=True, reason=reason, step="receive", peer=self._peer
        )
        if self._pending:
            # The requests before this one still get their answers.
            return
        response = self._server.render(
            clear_not_run_if_ticketed(refusal, self._headers)
        )
        self._write(encode_response(response, is_head=False, close=True))
        self.close()

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        limit_bytes = self._server.head_limit_bytes
        if self._head_bytes > limit_bytes and not self._refused:
            self._refuse("bad_request", f"head above {limit_bytes} bytes")

    def _write(self, data: bytes) -> None:
        if self._transport is None or self._is_ended or self._transport.is_closing():
            return
        self._transport.write(data)

    @property
    def is_busy(self) -> bool:
        """Return whether a request or an answer is under way."""
        return bool(self._pending) or self._is_receiving or not self._is_flushed

    @property
    def _is_flushed(self) -> bool:
        return self._transport is None or self._transport.get_write_buffer_size() == 0

    def close(self) -> None:
        """Close the connection after what was written."""
        if self._transport is None or self._is_ended:
            return
        self._is_ended = True
        if self._transport.can_write_eof():
            self._transport.write_eof()
            limit_s = LINGER_S if self._is_flushed else self._server.write_limit_s
            self._set_timer(limit_s)
            return
        self._transport.close()
        self._set_timer(self._server.write_limit_s)

    def abort(self) -> None:
        """Close at once; unsent bytes are dropped.

        A silent caller never takes them, and a close would wait for that.
        """
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self._is_ended or self.is_busy:
            return
        if self._server.sends_idle_refusal:
            response = self._server.render(CLOSING)
            self._write(encode_response(response, is_head=False, close=True))
        self.close()

    def _set_timer(self, limit_s: float) -> None:
        self._clear_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(limit_s, self.abort)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def refusal_response(refusal: Refusal) -> HttpResponse:
    """Return the HTTP answer of a refusal."""
    headers = [
        ("Content-Type", "application/json"),
        ("Eelgrassweir-Refusal", refusal.code),
    ]
    if refusal.retry_after_ms > 0:
        retry_after_s = -(-refusal.retry_after_ms // 1_000)
        headers.append(("Retry-After", str(retry_after_s)))
    return HttpResponse(http_status(refusal.code), tuple(headers), to_json(refusal))
