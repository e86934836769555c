"""HTTP/1.1 client with a connection pool: asyncio with the httptools codec.

Used for requests to the local backend server and to the platform's store.
"""

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
from eelgrassweir.daemon.deadlines import Deadlines
from eelgrassweir.daemon.held_bytes import (
    COPIES,
    FIELD_OVERHEAD_BYTES,
    HeldBytes,
    HeldMessage,
)
from eelgrassweir.daemon.http_message import (
    INLINE_BODY_BYTES,
    Headers,
    HttpRequest,
    HttpResponse,
    encode_request,
    find_header,
)
from eelgrassweir.daemon.parse_turns import PacedReads, ParseTurns
from eelgrassweir.errors import StepError
from eelgrassweir.requests.calls import ResponseMatch

CONNECT_TIMEOUT_MS = 1_000
# A backend server may close an idle connection at any time, and a request
# sent at that moment is lost. Only connections used this recently are reused.
MAX_REUSE_IDLE_MS = 2_000
# A second answer to a request would be taken for the answer to the next
# request. If it arrives within this time, the connection is still idle and is
# closed.
MIN_REUSE_IDLE_MS = 50
# After unsolicited bytes from a backend server, its connections are not
# reused for this time.
NO_REUSE_MS = 60_000
# Interval of TCP keep-alive probes, the shortest that Linux offers.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
# A pooled connection is suspected to be silent when its answer takes longer
# than this multiple of the mean exchange time, and longer than the minimum.
SUSPECT_FACTOR = 8.0
SUSPECT_MIN_MS = 40.0
# Size of a response head; a faulty server may send one without end.
MAX_HEAD_BYTES = 65_536
# An answer without room for its next bytes waits so long for it, in steps,
# before its exchange fails.
MAX_PAUSE_S = 1.0
PAUSE_STEP_S = 0.02
NO_MEMORY = "no memory left for an incomplete answer"
# Start of a status line. Within a reason phrase or a header value it is that
# of the next response, which follows a response that was cut off.
STATUS_LINE_START = "HTTP/1."
INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
# Parts in which a long body is written, as fast as the server reads them.
WRITE_BYTES = 65_536
# Weight of the newest exchange in the exponential moving average.
MEAN_WEIGHT = 0.1


class SendStatus(enum.Enum):
    """Whether a failed request can have reached the backend server."""

    NOT_SENT = "not_sent"
    MAYBE_SENT = "maybe_sent"


@attrs.frozen
class ExchangeError(StepError):
    """An exchange ended without a complete answer."""

    sent: SendStatus = SendStatus.MAYBE_SENT
    is_timeout: bool = False
    # A pooled connection received no byte of the answer for some time; a
    # second exchange would use a new connection.
    is_silent: bool = False
    # The answer exceeds the limits of the client.
    is_too_large: bool = False


def _accept_any_response(_request: HttpRequest, _answer: Headers) -> ResponseMatch:
    return ResponseMatch.OWN


def _can_always_send() -> bool:
    return True


@attrs.frozen(kw_only=True)
class ClientOptions:
    """Options of a client, for servers that differ from the defaults."""

    connect_timeout_ms: int = CONNECT_TIMEOUT_MS
    # Time that the server's host may leave bytes or probes unacknowledged; 0
    # keeps the system's default. The server may take longer to answer.
    tcp_user_timeout_ms: int = 0
    # Time that a connection must be idle before it is reused.
    min_idle_ms: int = MIN_REUSE_IDLE_MS
    # Time without reuse of connections after unsolicited bytes.
    no_reuse_ms: int = NO_REUSE_MS
    # Whether the Host field of the request is forwarded to the server.
    forwards_host: bool = False
    # Whether an answer without a length may end with its connection.
    accepts_close_delimited: bool = False
    # Tells whether header fields belong to the answer of the request. Other
    # answers are skipped. One that cannot be told is accepted only on a new
    # connection, which carries no answers to earlier requests.
    match_response: Callable[[HttpRequest, Headers], ResponseMatch] = (
        _accept_any_response
    )
    # Called for each read of an answer.
    on_read: Callable[[], None] | None = None


class BackendClient:
    """Send requests to one backend server over pooled connections.

    ``body_limit_bytes`` bounds the body of one answer, ``held`` the incomplete
    answers together with the other messages that the daemon holds; without it,
    incomplete answers may take as much as one answer at its limit.
    ``parse_turns`` shares the processor time of the daemon.
    """

    def __init__(
        self,
        address: str,
        *,
        clock: Clock,
        body_limit_bytes: int,
        options: ClientOptions | None = None,
        held: HeldBytes | None = None,
        parse_turns: ParseTurns | None = None,
    ) -> None:
        self.address = address
        self._options = options or ClientOptions()
        self._clock = clock
        self._body_limit_bytes = body_limit_bytes
        limit_bytes = COPIES * (body_limit_bytes + MAX_HEAD_BYTES)
        self._held = held or HeldBytes(limit_bytes)
        self._parse_turns = parse_turns or ParseTurns()
        # Ordered by the time at which the connections became idle.
        self._idle: list[BackendConnection] = []
        self._deadlines = Deadlines()
        self._is_closed = False
        self._reuse_from_ms = -math.inf
        # Start of each exchange whose pooled connection may turn out silent.
        self._watched_started_ms: dict[BackendConnection, float] = {}
        self._mean_exchange_ms = 0.0

    async def exchange(
        self,
        request: HttpRequest,
        *,
        timeout_ms: float,
        silence_ms: float = 0.0,
        is_alive: Callable[[], bool] = bool,
        can_send: Callable[[], bool] = _can_always_send,
    ) -> HttpResponse:
        """Send a request and return the complete answer.

        ``can_send`` is checked again once a new connection is open.

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
            self._check_can_send(connection, can_send)
        is_complete = False
        if is_pooled and 0 < silence_ms < timeout_ms:
            connection.start_silence_timer(silence_ms, is_alive)
            self._watched_started_ms[connection] = started_ms
        deadline = self._deadlines.add(
            timeout_ms, lambda: connection.expire(timeout_ms)
        )
        try:
            response = await connection.exchange(request)
            is_complete = True
            took_ms = self._clock.now_ms() - started_ms
            self._mean_exchange_ms += MEAN_WEIGHT * (took_ms - self._mean_exchange_ms)
        except ExchangeError as error:
            is_unanswered = is_pooled and not connection.has_received
            if error.is_silent or (error.is_timeout and is_unanswered):
                self._close_unproven_idle(started_ms)
            raise
        finally:
            deadline.cancel()
            self._watched_started_ms.pop(connection, None)
            # After an incomplete exchange, a late answer could be taken for
            # the answer to the next request.
            if is_complete and self._can_reuse(connection):
                connection.idle_since_ms = self._clock.now_ms()
                self._idle.append(connection)
            else:
                connection.close()
        return response

    def _check_can_send(
        self, connection: "BackendConnection", can_send: Callable[[], bool]
    ) -> None:
        """Close a connection that opened too late for its request."""
        if can_send():
            return
        connection.close()
        raise ExchangeError(
            "backend connect",
            self.address,
            "connected too late",
            SendStatus.NOT_SENT,
        )

    def _can_reuse(self, connection: "BackendConnection") -> bool:
        if self._is_closed or not connection.is_reusable:
            return False
        return self._clock.now_ms() >= self._reuse_from_ms

    def _handle_unsolicited_data(self, connection: "BackendConnection") -> None:
        """Stop reusing connections after unsolicited bytes from the server."""
        now_ms = self._clock.now_ms()
        if connection in self._idle:
            self._idle.remove(connection)
            # Some servers send a 408 before they close an idle connection.
            if now_ms - connection.idle_since_ms > MAX_REUSE_IDLE_MS:
                return
        self._reuse_from_ms = now_ms + self._options.no_reuse_ms
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def close(self) -> None:
        """Close idle connections; exchanges in progress are completed."""
        self._is_closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _close_unproven_idle(self, started_ms: float) -> None:
        """Close the idle connections without an answer since ``started_ms``.

        A fault that silences one connection also silences others that were
        open at the time.
        """
        for connection in self._idle:
            if connection.idle_since_ms <= started_ms:
                connection.close()
        self._idle = [idle for idle in self._idle if idle.is_open]

    def _find_suspected_start_ms(self, now_ms: float) -> float:
        """Return the start of the newest exchange that is suspected silent.

        Connections without an answer since then are not used meanwhile: each
        would delay its request until the silence is certain.
        """
        threshold_ms = max(SUSPECT_MIN_MS, SUSPECT_FACTOR * self._mean_exchange_ms)
        return max(
            (
                started_ms
                for connection, started_ms in self._watched_started_ms.items()
                if now_ms - started_ms > threshold_ms and not connection.has_received
            ),
            default=-math.inf,
        )

    def _take_idle(self) -> "BackendConnection | None":
        """Return the most recently used connection that may be reused."""
        now_ms = self._clock.now_ms()
        suspected_start_ms = self._find_suspected_start_ms(now_ms)
        if self._idle and now_ms - self._idle[0].idle_since_ms > MAX_REUSE_IDLE_MS:
            self._idle.pop(0).close()
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            idle_ms = now_ms - connection.idle_since_ms
            if not connection.is_open:
                del self._idle[index]
            elif idle_ms > MAX_REUSE_IDLE_MS:
                break
            elif connection.idle_since_ms <= suspected_start_ms:
                return None
            elif idle_ms >= self._options.min_idle_ms:
                del self._idle[index]
                return connection
        else:
            return None
        # Connections that became idle earlier have expired as well.
        for connection in self._idle[: index + 1]:
            connection.close()
        del self._idle[: index + 1]
        return None

    async def _connect(self, timeout_ms: float) -> "BackendConnection":
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(self.address)
            async with asyncio.timeout(timeout_ms / 1e3):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(
                        self.address,
                        self._body_limit_bytes,
                        self._held,
                        self._handle_unsolicited_data,
                        self._options,
                        self._parse_turns,
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
        except (OSError, ValueError) as error:
            # A ValueError is raised for an address without a valid port.
            raise ExchangeError(
                "backend connect",
                self.address,
                describe_connect_error(error),
                SendStatus.NOT_SENT,
            ) from None
        if self._options.tcp_user_timeout_ms:
            connection.set_tcp_timeouts(self._options.tcp_user_timeout_ms)
        return connection


def describe_connect_error(error: OSError | ValueError) -> str:
    """Return the reason why a connection could not be opened."""
    if isinstance(error, OSError):
        return error.strerror or type(error).__name__
    return str(error)


class BackendConnection(asyncio.BufferedProtocol):
    """Connection to a server with one exchange at a time."""

    def __init__(
        self,
        address: str,
        body_limit_bytes: int,
        held: HeldBytes,
        on_unsolicited_data: Callable[["BackendConnection"], None],
        options: ClientOptions,
        parse_turns: ParseTurns,
    ) -> None:
        self._reads = PacedReads(
            parse_turns, feed=self._feed_part, is_bulk=lambda: self._has_head
        )
        # Fields and chunks that were parsed.
        self._events = 0
        # Rest of a long body, which is written as the server reads it.
        self._unwritten: memoryview | None = None
        self._is_write_paused = False
        # Whether a timer looks for room for the answer.
        self._waits_for_room = False
        self._on_unsolicited_data = on_unsolicited_data
        self._options = options
        # What this exchange has received.
        self._held_answer = HeldMessage(held)
        self._held = held
        self._paused_s = 0.0
        self._exchange_count = 0
        self._request: HttpRequest | None = None
        self._is_mismatched = False
        self._is_close_delimited = False
        self._response: HttpResponse | None = None
        # Whether no exchange has ended with an answer since the last request.
        self._is_abandoned = False
        self._is_desynchronized = False
        self._address = address
        self._body_limit_bytes = body_limit_bytes
        self._transport: asyncio.Transport | None = None
        self._done: asyncio.Future[HttpResponse] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._has_received_since_check = False
        self.idle_since_ms = 0.0
        self.is_reusable = False
        # Whether bytes were received during this exchange.
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
        self._is_abandoned = True
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = request.method == "HEAD"
        self._start_message()
        self._has_skipped_response = False
        self._exchange_count += 1
        self.is_reusable = False
        self.has_received = False
        self._response = None
        self._is_desynchronized = False
        self._request = request
        self._paused_s = 0.0
        host = self._address
        if self._options.forwards_host:
            host = find_header(request.headers, "host") or host
        self._transport.write(encode_request(request, host))
        if len(request.body) > INLINE_BODY_BYTES:
            self._unwritten = memoryview(request.body)
            self._write_body()
        try:
            response = await self._done
            self._is_abandoned = False
            # Those are bytes beyond the answer.
            self.is_reusable &= not self._reads.is_waiting
            # The server would take the next request for the rest of the body.
            self.is_reusable &= self._unwritten is None
            return response
        finally:
            # Idle connections would keep the answer, and the error of a failed
            # exchange refers to this frame: in a cycle, it would keep the
            # request until the next collection.
            self._done = None
            self._held_answer.release()
            self._request = self._response = self._unwritten = None
            # The parser refers to this object, so it is freed late.
            self._start_message()
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None

    def set_tcp_timeouts(self, timeout_ms: int) -> None:
        """Let the system close the connection if its peer stops responding."""
        if self._transport is None:
            return
        tcp_socket = self._transport.get_extra_info("socket")
        for option, value in (
            (socket.TCP_USER_TIMEOUT, timeout_ms),
            (socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT),
        ):
            tcp_socket.setsockopt(socket.IPPROTO_TCP, option, value)
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def start_silence_timer(
        self, silence_ms: float, is_alive: Callable[[], bool]
    ) -> None:
        """Fail the next exchange if no byte arrives for ``silence_ms``.

        ``is_alive`` may extend the wait.
        """
        loop = asyncio.get_running_loop()
        self._has_received_since_check = False
        self._timer = loop.call_later(
            silence_ms / 1e3, self._check_silence, silence_ms, is_alive
        )

    def _check_silence(self, silence_ms: float, is_alive: Callable[[], bool]) -> None:
        if is_alive() or self._has_received_since_check:
            self.start_silence_timer(silence_ms, is_alive)
            return
        self._fail(f"silent for {silence_ms:.0f} ms", is_silent=True)

    def expire(self, timeout_ms: float) -> None:
        """Fail the exchange, whose answer is not complete in time."""
        self._fail(f"no complete answer in {timeout_ms:.0f} ms", is_timeout=True)

    def close(self) -> None:
        """Close immediately; unsent bytes are dropped."""
        if self._transport is not None:
            self._transport.abort()

    def _start_message(self) -> None:
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._head_bytes = 0
        self._has_head = False
        self._has_length = False
        self._is_mismatched = False
        self._is_close_delimited = False
        # Header fields whose objects are not counted yet.
        self._uncounted_fields = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        self._reads.start(transport)

    def pause_writing(self) -> None:
        """Wait with the rest of a long body until the server reads."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Write more of a long body."""
        self._is_write_paused = False
        self._write_body()

    def _write_body(self) -> None:
        while self._unwritten is not None and not self._is_write_paused:
            if not self.is_open or self._transport is None:
                return
            part = bytes(self._unwritten[:WRITE_BYTES])
            rest = self._unwritten[WRITE_BYTES:]
            self._unwritten = rest if rest else None
            self._transport.write(part)

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection."""
        if self._is_close_delimited and not self._is_mismatched:
            self._finish(self._parser.get_status_code())
            self.is_reusable = False
            if self._response is not None and self._done and not self._done.done():
                self._done.set_result(self._response)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an exchange whose answer is incomplete."""
        self._transport = None
        self._reads.stop()
        self.is_reusable = False
        self._fail("connection closed before the answer was complete")

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer of the next read."""
        return self._reads.get_buffer()

    def buffer_updated(self, size_bytes: int) -> None:
        """Take the bytes of a read."""
        self.data_received(self._reads.take_read(size_bytes))

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._options.on_read is not None:
            self._options.on_read()
        if self._is_exchanging:
            self.has_received = self._has_received_since_check = True
        self._reads.receive(data)

    @property
    def _is_exchanging(self) -> bool:
        return self._done is not None and not self._done.done()

    def _feed_part(self, data: bytes) -> int:
        """Parse a part of what was read; return its fields and chunks."""
        if self._is_ended_unanswered:
            # The exchange closes the connection.
            return 0
        if self._done is None or self._done.done():
            # Unsolicited bytes: requests and answers no longer match.
            self.is_reusable = False
            self.close()
            self._on_unsolicited_data(self)
            return 0
        events = self._events
        with contextlib.suppress(asyncio.InvalidStateError):
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError as error:
                # After a complete answer these are bytes beyond its length,
                # so the length and the answer are wrong.
                self._fail(f"not HTTP/1.1 ({type(error).__name__})")
            self._check_size(len(data))
            if self._is_desynchronized:
                self.is_reusable = False
                self._on_unsolicited_data(self)
            if self._response is not None and not self._done.done():
                self._done.set_result(self._response)
        return self._events - events

    def _check_size(self, read_bytes: int) -> None:
        """Fail an answer that is too large and still incomplete."""
        if self._response is not None:
            return
        if not self._has_head:
            self._head_bytes += read_bytes
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(f"head above {MAX_HEAD_BYTES} bytes")
            return
        more_bytes = read_bytes + FIELD_OVERHEAD_BYTES * self._uncounted_fields
        self._uncounted_fields = 0
        if not self._held_answer.try_grow(more_bytes):
            # The bytes are held already; no more are read.
            self._held_answer.grow(more_bytes)
            self._pause_reading()

    def _pause_reading(self) -> None:
        """Read on once there may be room for the rest of the answer."""
        if not self._held.has_room_to_wait():
            if not self._held.can_hold(0, drops_waiting=True):
                self._fail(NO_MEMORY, is_too_large=True)
        elif not self._waits_for_room:
            self._reads.pause()
            self._wait_for_room()

    def _wait_for_room(self) -> None:
        self._waits_for_room = True
        loop = asyncio.get_running_loop()
        loop.call_later(PAUSE_STEP_S, self._resume_reading)

    def _resume_reading(self) -> None:
        """Read on if there is room; fail if there is none for too long."""
        self._waits_for_room = False
        if self._transport is None or self._transport.is_closing():
            return
        if self._done is None or self._done.done():
            return
        # The server may have sent; this end does not read.
        self._has_received_since_check = True
        self._paused_s += PAUSE_STEP_S
        is_last_attempt = self._paused_s >= MAX_PAUSE_S
        if self._held.can_hold(0, drops_waiting=is_last_attempt):
            self._reads.resume()
        elif is_last_attempt:
            self._fail(NO_MEMORY, is_too_large=True)
        else:
            self._wait_for_room()

    @property
    def _is_ended_unanswered(self) -> bool:
        """Return whether the last request ended without an answer."""
        if not self._is_abandoned:
            return False
        done = self._done
        if done is None:
            return True
        return done.done() and (done.cancelled() or done.exception() is not None)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Detect a second answer."""
        if self._response is not None:
            self._is_desynchronized = True

    def on_status(self, reason: bytes) -> None:
        """Reject a head that was cut off in its first line."""
        self._reject_cut_head(reason.decode("latin-1"))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._events += 1
        field = name.decode("latin-1")
        self._reject_cut_head(value.decode("latin-1"))
        if field.lower() in ("content-length", "transfer-encoding"):
            self._has_length = True
        self._headers.append((field, value.decode("latin-1")))
        self._uncounted_fields += 1

    def on_headers_complete(self) -> None:
        """Complete answers without a body and check the framing of others."""
        self._has_head = True
        status = self._parser.get_status_code()
        if status in INTERIM_STATUSES:
            return
        assert self._request is not None
        match = self._options.match_response(self._request, tuple(self._headers))
        if match is ResponseMatch.UNKNOWN and self._exchange_count > 1:
            self._fail("answer without a request id on a reused connection")
            return
        self._is_mismatched = match is ResponseMatch.OTHER
        self._has_skipped_response |= self._is_mismatched
        if status not in FINAL_STATUSES and not self._is_mismatched:
            # The run may have happened.
            self._fail(f"status {status:03d} is neither interim nor final")
            return
        if self._is_head:
            self._finish(status)
        elif status in (204, 304) or self._has_length:
            return
        elif self._options.accepts_close_delimited:
            self._is_close_delimited = True
        else:
            # The end of such a body looks the same as a broken connection.
            self._fail("answer without a length")

    def on_body(self, body: bytes) -> None:
        """Collect the body up to the limit."""
        self._events += 1
        if self._is_mismatched:
            return
        self._body += body
        if len(self._body) > self._body_limit_bytes:
            reason = f"answer above {self._body_limit_bytes} bytes"
            self._fail(reason, is_too_large=True)

    def on_message_complete(self) -> None:
        """Finish the exchange, unless the answer was interim or mismatched."""
        status = self._parser.get_status_code()
        if status not in FINAL_STATUSES or self._is_mismatched:
            self._start_message()
            return
        self._finish(status)

    def _reject_cut_head(self, text: str) -> None:
        """Fail if another response begins within this part of the head."""
        if STATUS_LINE_START in text:
            self._fail("two answers run into each other")

    def _finish(self, status: int) -> None:
        if self._response is not None:
            return
        # After an answer that no request asked for, more of them may follow.
        is_in_step = not self._is_head and not self._has_skipped_response
        self.is_reusable = self._parser.should_keep_alive() and is_in_step
        self._response = HttpResponse(status, tuple(self._headers), bytes(self._body))

    def _fail(
        self,
        reason: str,
        *,
        is_silent: bool = False,
        is_timeout: bool = False,
        is_too_large: bool = False,
    ) -> None:
        if self._done is not None and not self._done.done():
            error = ExchangeError(
                "backend exchange",
                self._address,
                reason,
                is_silent=is_silent,
                is_timeout=is_timeout,
                is_too_large=is_too_large,
            )
            self._done.set_exception(error)
