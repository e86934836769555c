"""Connection of the HTTP/1.1 server: parse requests, and answer in order."""

import asyncio
import collections
import functools
import math
from typing import TYPE_CHECKING, cast

import attrs
import httptools
from eliot import write_traceback

from eelgrassweir.daemon.held_bytes import (
    FIELD_OVERHEAD_BYTES,
    FIELDS_PER_COUNT,
    HeldMessage,
    HeldRequest,
)
from eelgrassweir.daemon.http_message import (
    INLINE_BODY_BYTES,
    HttpRequest,
    HttpResponse,
    encode_response,
    split_absolute_form,
)
from eelgrassweir.daemon.incomplete_bodies import IncompleteBody
from eelgrassweir.daemon.incomplete_heads import IncompleteHead
from eelgrassweir.daemon.parse_turns import PacedReads
from eelgrassweir.daemon.request_bounds import RequestBounds
from eelgrassweir.daemon.start_queue import QueuedStart, Wait
from eelgrassweir.daemon.unsent_answers import UnsentAnswers
from eelgrassweir.requests.refusal import (
    Refusal,
    clear_not_run_if_ticketed,
    make_internal_refusal,
)

if TYPE_CHECKING:
    from eelgrassweir.daemon.http_server import HttpServer

# Work of a request beside its fields, its chunks and its bytes, as they are
# counted in a turn.
REQUEST_EVENTS = 16
# Requests of one connection that run at a time, since the answers behind the
# first one are held in memory.
MAX_PIPELINED_REQUESTS = 4
# Requests of one connection that wait or run, and their bytes. Beyond these
# limits what is read is kept as it is until there is room.
MAX_PENDING_REQUESTS = 64
MAX_PENDING_BYTES = 65_536
# Bytes of one connection that are kept so. The connection is read also beyond
# this limit, so that its end is noticed, but then takes no more requests.
MAX_UNPARSED_BYTES = 262_144
# Safe methods (RFC 9110 section 9.2.1). Pipelined requests of these methods
# run concurrently, and sending one again does no harm.
SAFE_METHODS = frozenset(("GET", "HEAD"))
# The connection is still read for this time after the last answer, since
# unread bytes would reset it and the answer would be lost.
LINGER_TIMEOUT_S = 1.0
# Shorter waits of requests are not told to the handler.
MIN_REPORTED_WAIT_MS = 5.0
# Time after which a request may fit that the daemon has no memory for now.
NO_MEMORY_RETRY_AFTER_MS = 500
# Sent on an idle connection before it is closed. A request that is in flight
# at that moment gets it as an answer, so its caller knows that it may send the
# request again.
IDLE_CLOSE_REFUSAL = Refusal(
    code="draining",
    not_run=False,
    reason="the daemon closed this connection before it read the request",
    step="receive",
    peer="",
)

# Sent in place of an answer that waits for an earlier one of its connection.
NO_MEMORY_REFUSAL = Refusal(
    code="outcome_unknown",
    not_run=False,
    reason="no memory left for an answer behind an unfinished one",
    step="respond",
    peer="",
)

# Sent for a request that waits for its start when the daemon has to stop.
UNSTARTED_REFUSAL = Refusal(
    code="draining",
    not_run=True,
    reason="the daemon ends before the request has started",
    step="stop",
    peer="",
)

# Sent for a request that has no answer yet when the daemon has to stop.
SHUTDOWN_REFUSAL = Refusal(
    code="outcome_unknown",
    not_run=False,
    reason="the daemon ends before the answer has come",
    step="stop",
    peer="",
)


@attrs.define(eq=False)
class _Exchange:
    """One request of a connection, kept until its answer is written."""

    request: HttpRequest
    keep_alive: bool
    held: HeldMessage
    size_bytes: int
    queued: QueuedStart | None = None
    task: "asyncio.Task[None] | None" = None
    response: HttpResponse | None = None
    is_written: bool = False
    # Counted bytes of an answer that waits for earlier ones.
    waiting_bytes: int = 0


class HttpConnection(asyncio.BufferedProtocol):
    """Parse requests of one connection and answer them in order."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: collections.deque[_Exchange] = collections.deque()
        # The timer may fire earlier than the deadline, and is then set again.
        self._deadline_s = math.inf
        # Timeout of a part of a request that has begun since the last read.
        self._new_timeout_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_s = math.inf
        self._peer = ""
        self._is_write_closed = False
        # No more requests are taken: a refusal is the last answer of a
        # connection, and so is the one before bytes that were dropped.
        self._has_refused = False
        # Why this end closes the connection, for the log.
        self._end_reason = ""
        self._can_write = True
        self._reads = PacedReads(
            server.parse_turns, feed=self._feed_part, is_bulk=lambda: self._is_in_body
        )
        # Fields and chunks that were parsed, and a part of each request.
        self._events = 0
        # Bytes that are read while there is no room for more requests.
        self._unparsed = bytearray()
        self._held_unparsed = HeldMessage(server.held)
        self._is_parsing_paused = False
        # The request that is being received.
        self._held = HeldRequest(server.held)
        self._incomplete_body = self._make_incomplete_body()
        self._incomplete_head = IncompleteHead(
            server.held.incomplete_heads, self._refuse_incomplete_head
        )
        self._bounds = RequestBounds()
        self._unsent = UnsentAnswers(
            server.held,
            get_buffer_bytes=self._count_unsent_bytes,
            on_progress=self._extend_write_deadline,
            end=self.abort,
            drop_waiting=self._drop_waiting_answers,
        )
        # Answers that were written since the caller fell behind.
        self._unaccepted_bytes = 0
        self._reset()

    def _make_incomplete_body(self) -> IncompleteBody:
        return IncompleteBody(
            self._server.held,
            self._held,
            refuse=self._refuse_incomplete_body,
            is_held_up=lambda: self._reads.is_waiting,
        )

    def _reset(self) -> None:
        self._drop_body()
        self._incomplete_head.release()
        self._bounds.reset()
        self._path = b""
        self._headers: list[tuple[str, str]] = []
        self._head_bytes = 0
        # Parts of the head that have been parsed, and those since the last
        # one in which a field has ended.
        self._read_head_bytes = 0
        self._field_bytes = 0
        self._has_head = False
        self._is_receiving = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timeout."""
        transport = cast(asyncio.Transport, transport)
        self._transport = transport
        self._reads.start(transport)
        peer = transport.get_extra_info("peername")
        self._peer = f"{peer[0]}:{peer[1]}" if peer else ""
        self._server.add_connection(self)
        self._set_deadline(self._server.idle_timeout_s)
        self._start_timer()

    def eof_received(self) -> None:
        """Drop the requests before those that were read with the end start."""
        self._cancel_pending(describe_lost(None))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel requests in progress, since their caller is gone."""
        self._server.remove_connection(self)
        self._server.read_turns.discard(self._resume_dropped_reads)
        self._reads.stop()
        self._transport = None
        self._cancel_timer()
        self._unsent.clear()
        self._drop_request()
        self._drop_unparsed()
        self._cancel_pending(self._end_reason or describe_lost(exc))

    def pause_writing(self) -> None:
        """Hold back further answers until the caller accepts bytes again."""
        self._can_write = False
        self._unsent.watch()
        # Abort the connection of a caller that accepts no bytes.
        self._extend_write_deadline()
        self._start_timer()

    def resume_writing(self) -> None:
        """Resume writing answers."""
        self._can_write = True
        self._unsent.remove(self._unaccepted_bytes)
        self._unaccepted_bytes = 0
        if not self._is_write_closed:
            self._unsent.unwatch()
            self._clear_deadline()
            if self._is_receiving:
                self._set_deadline(self._get_receive_timeout_s())
                self._start_timer()
            self._write_answers()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer of the next read."""
        return self._reads.get_buffer()

    def buffer_updated(self, size_bytes: int) -> None:
        """Take the bytes of a read."""
        self.data_received(self._reads.take_read(size_bytes))

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._server.on_read is not None:
            self._server.on_read()
        if not self._drops_reads:
            self._reads.receive(data)
        if self._drops_reads:
            self._pause_dropped_reads()

    @property
    def _drops_reads(self) -> bool:
        """Return whether no more requests of the connection are taken."""
        return self._has_refused or self._is_write_closed

    def _pause_dropped_reads(self) -> None:
        """Read on when it is the turn of this connection."""
        if self._transport is not None and not self._transport.is_closing():
            self._reads.stop()
            self._reads.pause()
            self._server.read_turns.add(self._resume_dropped_reads)

    def _resume_dropped_reads(self) -> None:
        self._reads.resume()

    def _feed_part(self, data: bytes) -> int:
        """Parse a part of what was read; return its fields and chunks."""
        if self._drops_reads:
            return 0
        if self._is_parsing_paused:
            self._keep_unparsed(data)
            return 0
        events = self._events
        self._parse_part(data)
        if self._drops_reads:
            self._drop_request()
            return self._events - events
        if self._is_receiving and not self._has_head:
            self._incomplete_head.update(self._read_head_bytes, len(self._headers))
        if not self._is_parsing_paused:
            self._start_receive_deadline()
        return self._events - events

    def _parse_part(self, data: bytes) -> None:
        """Parse bytes, and refuse a request that exceeds a limit."""
        if not self._is_receiving:
            self._refuse_for(self._bounds.add_before_request(data))
        if self._has_refused:
            return
        headers, was_in_body = self._headers, self._is_in_body
        content_bytes, head_bytes = len(self._body), self._head_bytes
        self._feed_all(data)
        if self._drops_reads:
            return
        is_same = headers is self._headers
        if is_same and was_in_body and self._is_in_body:
            has_content = len(self._body) > content_bytes
            limit_bytes = self._server.head_limit_bytes
            reason = self._bounds.add_to_body(len(data), has_content, limit_bytes)
            self._refuse_for(reason)
        self._read_head_bytes += len(data)
        has_field = self._head_bytes > head_bytes
        self._check_incomplete_head(len(data) if is_same and not has_field else 0)

    def _feed_all(self, data: bytes) -> None:
        try:
            self._feed_parser(data)
        except httptools.HttpParserError as error:
            if not self._has_refused:
                self._refuse_for(f"not HTTP/1.1 ({type(error).__name__})")

    def _refuse_for(self, reason: str) -> None:
        """Refuse the request if there is a reason."""
        if reason:
            self._refuse("bad_request", reason)

    @property
    def _is_in_body(self) -> bool:
        """Return whether the head of the received request is complete."""
        return self._is_receiving and self._has_head

    def _keep_unparsed(self, data: bytes) -> None:
        """Keep bytes until there is room for more requests, or drop them.

        The caller sends requests again that were dropped, since the connection
        closes before their answers.
        """
        size_bytes = len(self._unparsed) + len(data)
        has_room = size_bytes <= MAX_UNPARSED_BYTES
        if has_room and self._held_unparsed.try_grow(len(data)):
            self._unparsed += data
            return
        self._has_refused = True
        self._drop_unparsed()
        self._drop_body()

    def _drop_unparsed(self) -> None:
        self._unparsed = bytearray()
        self._held_unparsed.release()

    def _feed_parser(self, data: bytes) -> None:
        """Parse bytes; an offer of another protocol is ignored.

        The parser stops behind a head with such an offer (RFC 9110 section
        7.8), also if a body follows. A new one reads the head without it.
        """
        while data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                if self._has_refused:
                    return
                if self._parser.get_method() == b"CONNECT":
                    self._refuse("bad_request", "tunnels are not served")
                    return
                data = self._encode_head_without_offer() + data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
            else:
                return

    def _encode_head_without_offer(self) -> bytes:
        """Return the head that was read last without its Upgrade fields."""
        method = self._parser.get_method()
        version = self._parser.get_http_version().encode("ascii")
        lines = [b"%b %b HTTP/%b" % (method, self._path, version)]
        lines += [
            f"{name}: {value}".encode("latin-1")
            for name, value in self._headers
            if name.lower() != "upgrade"
        ]
        return b"\r\n".join([*lines, b"", b""])

    def _start_receive_deadline(self) -> None:
        """Limit the time for the rest of a request that has begun.

        A request that is complete by now needs no deadline.
        """
        if self._new_timeout_s and not self._is_write_closed:
            self._set_deadline(self._new_timeout_s)
            self._new_timeout_s = 0.0
        self._start_timer()

    def _check_incomplete_head(self, field_bytes: int) -> None:
        """Refuse a head that exceeds the limit before its last field ends.

        ``field_bytes`` are those of a part in which no field has ended.
        """
        if not self._is_receiving or self._has_head or self._has_refused:
            return
        limit_bytes = self._server.head_limit_bytes
        self._field_bytes = self._field_bytes + field_bytes if field_bytes else 0
        if self._head_bytes + self._field_bytes > limit_bytes:
            self._refuse("bad_request", f"head above {limit_bytes} bytes")

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        self._events += REQUEST_EVENTS
        self._reset()
        self._is_receiving = True
        self._new_timeout_s = self._server.head_timeout_s

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._path += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._events += 1
        self._add_head_bytes(len(name) + len(value))
        if self._has_refused:
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))
        if len(self._headers) % FIELDS_PER_COUNT == 0:
            self._count_fields()

    def _count_fields(self) -> None:
        """Count the last header fields, or refuse them without room."""
        if not self._held.try_grow(FIELDS_PER_COUNT * FIELD_OVERHEAD_BYTES):
            reason = "no memory left for the head of the request"
            self._refuse("overloaded", reason, NO_MEMORY_RETRY_AFTER_MS)

    def on_headers_complete(self) -> None:
        """Answer ``Expect: 100-continue`` and wait for the body."""
        if self._parser.should_upgrade():
            # The head is read again without the offer.
            return
        self._has_head = True
        self._incomplete_head.release()
        self._new_timeout_s = self._server.receive_timeout_s
        for name, value in self._headers:
            if name.lower() == "expect" and value.lower() == "100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect the body up to the limit."""
        self._events += 1
        if self._has_refused:
            return
        limit_bytes = self._server.body_limit_bytes
        if len(self._body) + len(body) > limit_bytes:
            self._refuse("body_too_large", f"body above {limit_bytes} bytes")
        elif not self._incomplete_body.try_grow(len(body)):
            reason = "no memory left for the body of the request"
            self._refuse("overloaded", reason, NO_MEMORY_RETRY_AFTER_MS)
        else:
            self._body += body

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        if self._has_refused or self._parser.should_upgrade():
            return
        self._is_receiving = False
        self._server.record_request(self)
        self._new_timeout_s = 0.0
        if self._can_write:
            self._clear_deadline()
        path, headers = split_absolute_form(
            self._path.decode("latin-1"), tuple(self._headers)
        )
        size_bytes = self._head_bytes + len(self._body)
        # A long body is passed on as it is, without a copy.
        is_inline = len(self._body) <= INLINE_BODY_BYTES
        request = HttpRequest(
            method=self._parser.get_method().decode("ascii"),
            path=path,
            headers=headers,
            body=bytes(self._body) if is_inline else self._body,
            peer=self._peer,
        )
        self._incomplete_body.release()
        held, self._held = self._held, HeldRequest(self._server.held)
        self._incomplete_body = self._make_incomplete_body()
        self._drop_body()
        keep_alive = self._parser.should_keep_alive()
        self._pending.append(_Exchange(request, keep_alive, held, size_bytes))
        self._start_allowed()
        self._is_parsing_paused = self._is_pending_full

    @property
    def _is_pending_full(self) -> bool:
        """Return whether there is no room for more requests for now."""
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            return True
        size_bytes = sum(exchange.size_bytes for exchange in self._pending)
        return len(self._pending) > 1 and size_bytes > MAX_PENDING_BYTES

    # Answers

    def _start_allowed(self) -> None:
        """Start the first request, and safe requests pipelined behind it.

        Their number is bounded, since their answers are held in memory until
        the first answer has been written.
        """
        for index, exchange in enumerate(self._pending):
            if index >= MAX_PIPELINED_REQUESTS or not self._can_write:
                return
            if index and exchange.request.method not in SAFE_METHODS:
                return
            if exchange.queued is None:
                exchange.queued = self._server.start_queue.add(
                    functools.partial(self._start, exchange),
                    priority=self._server.get_priority(exchange.request),
                )
            if exchange.request.method not in SAFE_METHODS:
                return

    def _start(self, exchange: _Exchange, wait: Wait) -> None:
        if wait.waited_ms >= MIN_REPORTED_WAIT_MS:
            exchange.request = attrs.evolve(
                exchange.request,
                waited_ms=wait.waited_ms,
                has_waited_too_long=wait.is_too_long,
            )
        loop = asyncio.get_running_loop()
        exchange.task = loop.create_task(self._answer(exchange))

    async def _answer(self, exchange: _Exchange) -> None:
        exchange.response = await self._handle(exchange.request)
        self._write_answers()
        if not exchange.is_written and self._transport is not None:
            exchange.waiting_bytes = len(exchange.response.body)
            self._unsent.add(exchange.waiting_bytes)

    def _write_answers(self) -> None:
        """Write the available answers in the order of their requests."""
        while self._pending and self._can_write:
            response = self._pending[0].response
            if response is None:
                self._start_allowed()
                return
            exchange = self._pending.popleft()
            exchange.is_written = True
            exchange.held.release()
            self._unsent.remove(exchange.waiting_bytes)
            is_last = self._has_refused and not self._pending
            close = not exchange.keep_alive or is_last
            if self._server.is_closing and not self._has_started_request():
                close = True
            is_head = exchange.request.method == "HEAD"
            self._write(encode_response(response, is_head=is_head, close=close))
            if close:
                self._cancel_pending("the connection ends with an earlier answer")
                self.close()
                return
            self._resume_parsing()
        if not self._pending and self._can_write and not self._is_receiving:
            self._set_deadline(self._server.idle_timeout_s)
            self._start_timer()

    def _get_receive_timeout_s(self) -> float:
        """Return the time for the part of the request that is received."""
        if self._has_head:
            return self._server.receive_timeout_s
        return self._server.head_timeout_s

    def _resume_parsing(self) -> None:
        """Parse the bytes that were kept if there is room again."""
        if self._is_parsing_paused and not self._is_pending_full:
            asyncio.get_running_loop().call_soon(self._parse_unparsed)

    def _parse_unparsed(self) -> None:
        if not self._is_parsing_paused or self._is_pending_full:
            return
        self._is_parsing_paused = False
        if self._transport is None or self._has_refused or self._is_write_closed:
            return
        data = bytes(self._unparsed)
        self._drop_unparsed()
        # The time in which requests had to wait is not the caller's.
        self._reads.receive_again(data)

    def _has_started_request(self) -> bool:
        """Return whether a target may already run a pending request."""
        return any(exchange.task is not None for exchange in self._pending)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request, even if the handler raises an exception."""
        try:
            return await self._server.handler(request)
        except Exception as error:
            write_traceback()
            refusal = make_internal_refusal("handle a request", self._peer, error)
            return self._server.render(refusal)

    def fail_pending_requests(self) -> None:
        """Refuse the pending requests that have no answer yet."""
        for exchange in self._pending:
            if exchange.response is not None:
                continue
            if exchange.queued is None:
                # It is behind others; its caller sees the connection close.
                break
            refusal = SHUTDOWN_REFUSAL
            if exchange.task is not None:
                exchange.task.cancel()
            else:
                exchange.queued.cancel()
                headers = exchange.request.headers
                refusal = clear_not_run_if_ticketed(UNSTARTED_REFUSAL, headers)
            exchange.response = self._server.render(refusal)
        self._write_answers()

    def _cancel_pending(self, reason: str) -> None:
        """Cancel the pending requests, whose answers cannot be sent."""
        for exchange in self._pending:
            exchange.held.release()
            if exchange.queued is None:
                continue
            exchange.queued.cancel()
            if exchange.task is not None:
                exchange.task.cancel()
                # A cancelled task refers to its frames, and so to the request.
                exchange.task = None
            if self._server.on_unanswered is not None:
                self._server.on_unanswered(exchange.request, reason)
        self._pending.clear()

    def _drop_waiting_answers(self) -> None:
        """Refuse the requests whose answers wait for earlier ones."""
        for exchange in self._pending:
            if exchange.waiting_bytes:
                self._unsent.remove(exchange.waiting_bytes)
                exchange.waiting_bytes = 0
                exchange.response = self._server.render(NO_MEMORY_REFUSAL)

    def _drop_body(self) -> None:
        """Free the received body; the parser keeps this object alive."""
        self._body = bytearray()
        self._incomplete_body.release()
        self._held.release()

    def _drop_request(self) -> None:
        """Free what was received of a request that will not be complete.

        The parser keeps an incomplete field, and this connection.
        """
        self._drop_body()
        self._incomplete_head.release()
        self._path = b""
        self._headers = []
        self._parser = None

    def _refuse_incomplete_head(self) -> None:
        """Refuse the request whose head takes room that others need."""
        reason = "no memory left for the incomplete head of the request"
        self._refuse("overloaded", reason, NO_MEMORY_RETRY_AFTER_MS)
        self._drop_request()

    def _refuse_incomplete_body(self) -> None:
        """Refuse the request whose body takes room and does not arrive."""
        reason = "no memory left for a body that has stopped arriving"
        self._refuse("overloaded", reason, NO_MEMORY_RETRY_AFTER_MS)
        self._drop_request()

    def _count_unsent_bytes(self) -> int:
        """Return the size of the answers that the caller has not accepted."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def _refuse(self, code: str, reason: str, retry_after_ms: int = 0) -> None:
        self._has_refused = True
        self._drop_body()
        refusal = Refusal(
            code=code,
            not_run=True,
            reason=reason,
            step="receive",
            peer=self._peer,
            retry_after_ms=retry_after_ms,
        )
        if self._pending:
            # Earlier requests of the connection still get their answers.
            return
        response = self._server.render(
            clear_not_run_if_ticketed(refusal, self._headers)
        )
        self._write(encode_response(response, is_head=False, close=True))
        self.close()

    def _add_head_bytes(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        limit_bytes = self._server.head_limit_bytes
        if self._head_bytes > limit_bytes and not self._has_refused:
            self._refuse("bad_request", f"head above {limit_bytes} bytes")

    def _write(self, data: bytes) -> None:
        if (
            self._transport is None
            or self._is_write_closed
            or self._transport.is_closing()
        ):
            return
        self._transport.write(data)
        if not self._can_write:
            self._unaccepted_bytes += len(data)
            self._unsent.add(len(data))

    @property
    def is_busy(self) -> bool:
        """Return whether a request or an answer is in flight."""
        is_receiving = self._is_receiving or self._reads.is_waiting
        return bool(self._pending) or is_receiving or not self._is_flushed

    @property
    def _is_flushed(self) -> bool:
        return self._transport is None or self._transport.get_write_buffer_size() == 0

    def close(self) -> None:
        """Close the connection gracefully, after the bytes already written."""
        if self._transport is None or self._is_write_closed:
            return
        self._is_write_closed = True
        self._drop_unparsed()
        if self._transport.can_write_eof():
            try:
                self._transport.write_eof()
            except OSError as error:
                # The caller has left, and asyncio raises the error here. The
                # call may come from the read of another connection whose head
                # needs room, and the error would end that one.
                self.abort(describe_lost(error))
                return
            timeout_s = (
                LINGER_TIMEOUT_S if self._is_flushed else self._server.write_timeout_s
            )
            self._set_deadline(timeout_s)
            self._start_timer()
        else:
            self._transport.close()
            self._extend_write_deadline()
            self._start_timer()
        if not self._is_flushed:
            self._unsent.watch()

    def abort(self, reason: str) -> None:
        """Close immediately; unsent bytes are dropped.

        A silent caller never accepts them, and a graceful close would wait.
        """
        self._end_reason = reason
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self._is_write_closed or self.is_busy:
            return
        if self._server.sends_idle_refusal:
            response = self._server.render(IDLE_CLOSE_REFUSAL)
            self._write(encode_response(response, is_head=False, close=True))
        self.close()

    def _set_deadline(self, timeout_s: float) -> None:
        """Abort the connection after this time, unless the deadline moves."""
        self._deadline_s = asyncio.get_running_loop().time() + timeout_s

    def _extend_write_deadline(self) -> None:
        """Wait for a caller that has accepted bytes of its answers."""
        self._set_deadline(self._server.write_timeout_s)

    def _clear_deadline(self) -> None:
        self._deadline_s = math.inf

    def _start_timer(self) -> None:
        """Let the timer fire at the deadline or earlier."""
        if self._deadline_s >= self._timer_due_s or self._transport is None:
            return
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer_due_s = self._deadline_s
        self._timer = loop.call_at(self._timer_due_s, self._check_deadline)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_due_s = math.inf

    def _check_deadline(self) -> None:
        """End the connection if its deadline has passed."""
        is_due = self._deadline_s <= self._timer_due_s
        self._cancel_timer()
        if not is_due:
            self._start_timer()
        elif self._pending and self._can_write and not self._is_write_closed:
            # Earlier requests of the connection still get their answers.
            self._clear_deadline()
            self._refuse("bad_request", "the request was not complete in time")
        else:
            self.abort("a timeout of the connection has passed")


def describe_lost(error: Exception | None) -> str:
    """Return why a connection ended that this end did not close."""
    if error is None:
        return "the caller closed the connection"
    return f"the connection failed ({type(error).__name__}: {error})"
