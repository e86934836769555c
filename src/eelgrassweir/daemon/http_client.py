"""HTTP/1.1 client for the local backend server, with a pool of connections."""

import asyncio
import contextlib
import enum
import math
import socket
from collections.abc import Callable
from typing import cast

import attrs
import httptools

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.address import split_address
from eelgrassweir.daemon.http_message import (
    Headers,
    HttpRequest,
    HttpResponse,
    encode_request,
    find_header,
)
from eelgrassweir.errors import StepError

CONNECT_TIMEOUT_MS = 1_000
# A backend server may close an idle connection at any moment. A request that
# must not be lost to that race takes a connection used this recently.
REUSE_IDLE_MS = 2_000
# A second answer to one request would be taken for that to the next. One that
# comes within this time finds the connection idle and closes it.
REST_MS = 50
# A backend server that sent bytes that nobody asked for gets one request a
# connection for this long.
DISTRUST_MS = 60_000
# Interval of keep-alive probes, the shortest that the system offers.
KEEP_ALIVE_S = 1
KEEP_ALIVE_PROBES = 2
# A pooled connection is suspected of silence once its answer takes this much
# longer than answers usually do, and at least this long.
SUSPECT_FACTOR = 8.0
SUSPECT_FROM_MS = 40.0
# Weight of the newest answer in the usual time.
USUAL_WEIGHT = 0.1


class SendStatus(enum.Enum):
    """Say whether a failed request can have reached the backend server."""

    NOT_SENT = "not_sent"
    MAYBE_SENT = "maybe_sent"


@attrs.frozen
class ExchangeError(StepError):
    """Report an exchange without a complete answer."""

    sent: SendStatus = SendStatus.MAYBE_SENT
    is_timeout: bool = False
    # A pooled connection carried no byte of the answer for a while; another
    # exchange would use a new connection.
    is_silent: bool = False


def _is_any(_request: HttpRequest, _answer: Headers) -> bool:
    return True


@attrs.frozen(kw_only=True)
class ClientOptions:
    """Hold how a server is spoken to."""

    connect_timeout_ms: int = CONNECT_TIMEOUT_MS
    # How long the server's host may leave bytes or probes unacknowledged; 0
    # leaves this to the system. The server itself may take longer to answer.
    tcp_user_timeout_ms: int = 0
    min_idle_ms: int = REST_MS
    no_reuse_ms: int = DISTRUST_MS
    # Whether the server is sent the host that the request names.
    forwards_host: bool = False
    # Whether an answer without a length ends with its connection.
    accepts_close_delimited: bool = False
    # Whether the fields of an answer belong to the request; another answer is
    # skipped.
    is_matching_response: Callable[[HttpRequest, Headers], bool] = _is_any


class BackendClient:
    """Send requests to one backend server over pooled connections."""

    def __init__(
        self,
        address: str,
        *,
        clock: Clock,
        body_limit_bytes: int,
        options: ClientOptions | None = None,
    ) -> None:
        self.address = address
        self._options = options or ClientOptions()
        self._clock = clock
        self._body_limit_bytes = body_limit_bytes
        # In the order in which the connections became idle.
        self._idle: list[BackendConnection] = []
        self._is_closed = False
        self._reuse_from_ms = -math.inf
        # Watched exchanges over pooled connections, and when they began.
        self._watched: dict[BackendConnection, float] = {}
        self._usual_ms = 0.0

    async def exchange(
        self,
        request: HttpRequest,
        *,
        timeout_ms: float,
        silence_ms: float = 0.0,
        is_alive: Callable[[], bool] = bool,
    ) -> HttpResponse:
        """Return the complete answer.

        With ``silence_ms``, a pooled connection that receives no byte for this
        time is abandoned before ``timeout_ms``, unless ``is_alive`` reports
        that the backend server worked on the request since the last check.

        :raises ExchangeError: if there is no complete answer; ``sent`` says
            whether the backend server can have received the request.
        """
        started_ms = self._clock.now_ms()
        connection = self._take_idle()
        is_pooled = connection is not None
        if connection is None:
            connection = await self._connect(
                min(timeout_ms, self._options.connect_timeout_ms)
            )
        is_complete = False
        if is_pooled and 0 < silence_ms < timeout_ms:
            connection.watch(silence_ms, is_alive)
            self._watched[connection] = started_ms
        try:
            async with asyncio.timeout(timeout_ms / 1e3):
                response = await connection.exchange(request)
            is_complete = True
            took_ms = self._clock.now_ms() - started_ms
            self._usual_ms += USUAL_WEIGHT * (took_ms - self._usual_ms)
        except ExchangeError as error:
            if error.is_silent:
                self._distrust(started_ms)
            raise
        except TimeoutError:
            if is_pooled and not connection.has_received:
                self._distrust(started_ms)
            raise ExchangeError(
                "backend exchange",
                self.address,
                f"no complete answer in {timeout_ms:.0f} ms",
                is_timeout=True,
            ) from None
        finally:
            self._watched.pop(connection, None)
            # After anything but a complete exchange a late answer could be
            # taken for that of the next request.
            if is_complete and self._may_reuse(connection):
                connection.idle_since_ms = self._clock.now_ms()
                self._idle.append(connection)
            else:
                connection.close()
        return response

    def _may_reuse(self, connection: "BackendConnection") -> bool:
        if self._is_closed or not connection.is_reusable:
            return False
        return self._clock.now_ms() >= self._reuse_from_ms

    def _note_unasked(self, connection: "BackendConnection") -> None:
        """Stop to reuse connections to a server that is out of step."""
        now_ms = self._clock.now_ms()
        if connection in self._idle:
            self._idle.remove(connection)
            # Some servers say 408 before they close an idle connection.
            if now_ms - connection.idle_since_ms > REUSE_IDLE_MS:
                return
        self._reuse_from_ms = now_ms + self._options.no_reuse_ms
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def close(self) -> None:
        """Close idle connections; exchanges in progress end on their own."""
        self._is_closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _distrust(self, started_ms: float) -> None:
        """Close the connections that proved nothing since ``started_ms``.

        What silences one connection silences others of its age with it.
        """
        for connection in self._idle:
            if connection.idle_since_ms <= started_ms:
                connection.close()
        self._idle = [idle for idle in self._idle if idle.is_open]

    def _suspected_ms(self, now_ms: float) -> float:
        """Return when the newest exchange began that seems to be silent.

        Connections that proved nothing since then are not used meanwhile:
        each would hold its request until the silence is certain.
        """
        timeout_ms = max(SUSPECT_FROM_MS, SUSPECT_FACTOR * self._usual_ms)
        return max(
            (
                started_ms
                for connection, started_ms in self._watched.items()
                if now_ms - started_ms > timeout_ms and not connection.has_received
            ),
            default=-math.inf,
        )

    def _take_idle(self) -> "BackendConnection | None":
        """Return the connection that became idle last and has rested."""
        now_ms = self._clock.now_ms()
        suspected_ms = self._suspected_ms(now_ms)
        if self._idle and now_ms - self._idle[0].idle_since_ms > REUSE_IDLE_MS:
            self._idle.pop(0).close()
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            idle_ms = now_ms - connection.idle_since_ms
            if not connection.is_open:
                del self._idle[index]
            elif idle_ms > REUSE_IDLE_MS:
                break
            elif connection.idle_since_ms <= suspected_ms:
                return None
            elif idle_ms >= self._options.min_idle_ms:
                del self._idle[index]
                return connection
        else:
            return None
        # What became idle before this one is too old as well.
        for connection in self._idle[: index + 1]:
            connection.close()
        del self._idle[: index + 1]
        return None

    async def _connect(self, timeout_ms: float) -> "BackendConnection":
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_ms / 1e3):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(
                        self.address,
                        self._body_limit_bytes,
                        self._note_unasked,
                        self._options,
                    ),
                    host,
                    port,
                )
        except TimeoutError:
            raise ExchangeError(
                "backend connect",
                self.address,
                f"no connection in {timeout_ms:.0f} ms",
                SendStatus.NOT_SENT,
                is_timeout=True,
            ) from None
        except OSError as error:
            raise ExchangeError(
                "backend connect",
                self.address,
                error.strerror or type(error).__name__,
                SendStatus.NOT_SENT,
            ) from None
        if self._options.tcp_user_timeout_ms:
            connection.detect_silence(self._options.tcp_user_timeout_ms)
        return connection


class BackendConnection(asyncio.Protocol):
    """Carry one exchange at a time."""

    def __init__(
        self,
        address: str,
        body_limit_bytes: int,
        on_unasked: Callable[["BackendConnection"], None],
        options: ClientOptions,
    ) -> None:
        self._on_unasked = on_unasked
        self._options = options
        self._request: HttpRequest | None = None
        self._is_foreign = False
        self._ends_with_connection = False
        self._response: HttpResponse | None = None
        self._is_out_of_step = False
        self._address = address
        self._body_limit_bytes = body_limit_bytes
        self._transport: asyncio.Transport | None = None
        self._done: asyncio.Future[HttpResponse] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._was_heard = False
        self.idle_since_ms = 0.0
        self.is_reusable = False
        # Whether bytes came in during this exchange.
        self.has_received = False

    @property
    def is_open(self) -> bool:
        """Return whether the connection can take a request."""
        return self._transport is not None and not self._transport.is_closing()

    async def exchange(self, request: HttpRequest) -> HttpResponse:
        """Send a request and return the complete answer."""
        if self._transport is None or self._transport.is_closing():
            raise ExchangeError(
                "backend exchange",
                self._address,
                "connection closed",
                SendStatus.NOT_SENT,
            )
        self._done = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = request.method == "HEAD"
        self._start_message()
        self.is_reusable = False
        self.has_received = False
        self._response = None
        self._is_out_of_step = False
        self._request = request
        host = self._address
        if self._options.forwards_host:
            host = find_header(request.headers, "host") or host
        self._transport.write(encode_request(request, host))
        try:
            return await self._done
        finally:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None

    def detect_silence(self, timeout_ms: int) -> None:
        """Let the system end the connection when its peer's host is silent."""
        if self._transport is None:
            return
        connected = self._transport.get_extra_info("socket")
        for option, value in (
            (socket.TCP_USER_TIMEOUT, timeout_ms),
            (socket.TCP_KEEPIDLE, KEEP_ALIVE_S),
            (socket.TCP_KEEPINTVL, KEEP_ALIVE_S),
            (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        ):
            connected.setsockopt(socket.IPPROTO_TCP, option, value)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def watch(self, silence_ms: float, is_alive: Callable[[], bool]) -> None:
        """Fail the next exchange when no byte arrives for ``silence_ms``."""
        loop = asyncio.get_running_loop()
        self._was_heard = False
        self._timer = loop.call_later(
            silence_ms / 1e3, self._check, silence_ms, is_alive
        )

    def _check(self, silence_ms: float, is_alive: Callable[[], bool]) -> None:
        if is_alive() or self._was_heard:
            self.watch(silence_ms, is_alive)
            return
        self._fail(f"silent for {silence_ms:.0f} ms", is_silent=True)

    def close(self) -> None:
        """Close at once; unsent bytes are dropped."""
        if self._transport is not None:
            self._transport.abort()

    def _start_message(self) -> None:
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._has_length = False
        self._is_foreign = False
        self._ends_with_connection = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport

    def eof_received(self) -> bool:
        """End an answer that had no length."""
        if self._ends_with_connection and not self._is_foreign:
            self._finish(self._parser.get_status_code())
            self.is_reusable = False
            if self._response is not None and self._done and not self._done.done():
                self._done.set_result(self._response)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an exchange whose answer is not complete."""
        self._transport = None
        self.is_reusable = False
        self._fail("connection closed before the answer was complete")

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._is_given_up():
            # The answer to a request that was cancelled in this turn of the
            # loop; its exchange closes the connection in the next.
            return
        if self._done is None or self._done.done():
            # Bytes that nobody asked for: the connection is out of step.
            self.is_reusable = False
            self.close()
            self._on_unasked(self)
            return
        self.has_received = self._was_heard = True
        with contextlib.suppress(asyncio.InvalidStateError):
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError as error:
                # After a whole answer these are bytes beyond its length: the
                # length was wrong, and so is the answer.
                self._fail(f"not HTTP/1.1 ({type(error).__name__})")
            if self._is_out_of_step:
                self.is_reusable = False
                self._on_unasked(self)
            if self._response is not None and not self._done.done():
                self._done.set_result(self._response)

    def _is_given_up(self) -> bool:
        """Return whether the last request ended without an answer."""
        done = self._done
        if done is None or not done.done():
            return False
        return done.cancelled() or done.exception() is not None

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Notice a second answer."""
        if self._response is not None:
            self._is_out_of_step = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field."""
        field = name.decode("latin-1")
        if field.lower() in ("content-length", "transfer-encoding"):
            self._has_length = True
        self._headers.append((field, value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """End answers without a body."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        assert self._request is not None
        headers = tuple(self._headers)
        self._is_foreign = not self._options.is_matching_response(
            self._request, headers
        )
        if self._is_head:
            self._finish(status)
        elif status in (204, 304) or self._has_length:
            return
        elif self._options.accepts_close_delimited:
            self._ends_with_connection = True
        else:
            # The end of such a body cannot be told from a broken connection.
            self._fail("answer without a length")

    def on_body(self, body: bytes) -> None:
        """Collect the body up to the limit."""
        self._body += body
        if len(self._body) > self._body_limit_bytes:
            self._fail(f"answer above {self._body_limit_bytes} bytes")

    def on_message_complete(self) -> None:
        """Finish the exchange, unless the message was an interim answer."""
        status = self._parser.get_status_code()
        if status < 200 or self._is_foreign:
            self._start_message()
            return
        self._finish(status)

    def _finish(self, status: int) -> None:
        if self._response is not None:
            return
        self.is_reusable = self._parser.should_keep_alive() and not self._is_head
        self._response = HttpResponse(status, tuple(self._headers), bytes(self._body))

    def _fail(self, reason: str, *, is_silent: bool = False) -> None:
        if self._done is not None and not self._done.done():
            error = ExchangeError(
                "backend exchange", self._address, reason, is_silent=is_silent
            )
            self._done.set_exception(error)
