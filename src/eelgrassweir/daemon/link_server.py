"""Serving side of links: runs the requests of other daemons."""

import asyncio
import functools
import ssl
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import attrs
from eliot import write_traceback

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.connection_limit import ConnectionLimit
from eelgrassweir.daemon.connection_table import FULL_MESSAGE_TYPE
from eelgrassweir.daemon.held_bytes import HeldRequest
from eelgrassweir.daemon.http_message import Body
from eelgrassweir.daemon.incomplete_bodies import IncompleteBody
from eelgrassweir.daemon.link_client import (
    FRAME_OVERHEAD_BYTES,
    IDLE_TIMEOUT_MS,
    LinkOptions,
    Reply,
)
from eelgrassweir.daemon.link_frames import FrameProtocol
from eelgrassweir.daemon.listening import Listener, start_listener
from eelgrassweir.daemon.sparse_log import SparseLog
from eelgrassweir.daemon.start_queue import QueuedStart, Wait
from eelgrassweir.daemon.transit_time import TransitTime
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.refusal import make_internal_refusal

# The calling side closes an unused link earlier, and pings one with requests.
# A link that receives nothing for this time is silent or its peer is gone, and
# the end of a silent link is never received.
SILENCE_TIMEOUT_MS = IDLE_TIMEOUT_MS + 15_000
# A caller that receives nothing for the silence limit abandons its requests.
# Several checks in a row leave a margin for a pause of this process.
MAX_SILENT_CHECKS = 3
# Bounds of the links, of which another daemon opens one or two.
LINKS_PERCENT = 20
MAX_LINKS = 1_024
# The hello is the first that a daemon sends.
HELLO_TIMEOUT_S = 10.0
# Followers and renewals of one link at a time. A daemon has one of each.
MAX_CONTROL_TASKS = 64
# Frames for a peer that does not read them. A caller stops sending to a silent
# link, so it has far fewer replies to get.
MAX_UNSENT_FRAMES = 4_096

# A request that took longer on its way than others may have been held up with
# its cancel behind it, so the next bytes are awaited before it starts.
LATE_REQUEST_MS = 250.0
LATE_REQUEST_DELAY_MS = 100.0
BEHIND_RETRY_AFTER_MS = 500
NO_MEMORY_RETRY_AFTER_MS = 500

# Called with a request, the VM of its sender, and its body.
RequestHandler = Callable[[link_pb2.Request, str, Body], Awaitable[Reply]]
# Returns a serialized BorrowReply for a serialized BorrowRequest.
BorrowHandler = Callable[[bytes], bytes]
FollowHandler = Callable[[link_pb2.Follow], Awaitable[link_pb2.Update]]
RenewalHandler = Callable[[link_pb2.RenewLease], Awaitable[link_pb2.Renewal]]
# Returns the load to report with a refusal of the link itself.
LoadHandler = Callable[[], link_pb2.Load]
LeavesHandler = Callable[[link_pb2.ShareLeaves], link_pb2.KnownLeaves]


class LinkServer:
    """Accept links of other daemons and track their sessions."""

    def __init__(
        self,
        options: LinkOptions,
        handler: RequestHandler,
        clock: Clock,
        borrow_handler: BorrowHandler | None = None,
        follow_handler: FollowHandler | None = None,
        renewal_handler: RenewalHandler | None = None,
        leaves_handler: LeavesHandler | None = None,
        load_handler: LoadHandler = link_pb2.Load,
    ) -> None:
        self.borrow_handler = borrow_handler
        self.follow_handler = follow_handler
        self.renewal_handler = renewal_handler
        self.leaves_handler = leaves_handler
        self.load_handler = load_handler
        self.options = options
        self.handler = handler
        self.clock = clock
        self._listener: Listener | None = None
        self.connection_limit = ConnectionLimit(
            percent=LINKS_PERCENT, max_connections=MAX_LINKS
        )
        self._sessions: set[LinkSession] = set()
        # Those without a hello, oldest first.
        self._unknown: dict[LinkSession, None] = {}
        self._full_log = SparseLog(FULL_MESSAGE_TYPE)
        self._timer: asyncio.TimerHandle | None = None

    async def start(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen on ``host`` and ``port``."""
        self._listener = await start_listener(
            lambda: LinkSession(self),
            host,
            port,
            tls,
            connection_limit=self.connection_limit,
        )
        self._schedule_check()

    @property
    def port(self) -> int:
        """Return the port of the listener; the system may have chosen it."""
        assert self._listener is not None
        return self._listener.port

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self._timer is not None:
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for session in list(self._sessions):
            session.close()

    @property
    def busy_count(self) -> int:
        """Return the number of requests in progress and unsent replies."""
        return sum(session.busy_count for session in self._sessions)

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            self.options.silence_ms / 1e3, self._check_sessions
        )

    def _check_sessions(self) -> None:
        """Close silent links."""
        now_ms = self.clock.now_ms()
        for session in list(self._sessions):
            session.close_if_silent(now_ms)
        self._schedule_check()

    def add_session(self, session: "LinkSession") -> None:
        """Track an open link; without room, close one without a hello."""
        self._sessions.add(session)
        self._unknown[session] = None
        if len(self._sessions) > self.connection_limit.get_limit():
            oldest = next(iter(self._unknown))
            now_s = asyncio.get_running_loop().time()
            self._full_log.record(
                now_s,
                connections=len(self._sessions),
                limit=self.connection_limit.get_limit(),
            )
            self.remove_session(oldest)
            oldest.close()

    def record_hello(self, session: "LinkSession") -> None:
        """Keep the link of a peer that is a daemon."""
        self._unknown.pop(session, None)

    def close_if_unknown(self, session: "LinkSession") -> None:
        """Close a link whose peer has sent no hello in time."""
        if session in self._unknown:
            session.close()

    def remove_session(self, session: "LinkSession") -> None:
        """Stop tracking a closed link."""
        self._sessions.discard(session)
        self._unknown.pop(session, None)


@attrs.define(eq=False)
class _RunningRequest:
    """One request of a link, from its read to its reply.

    ``missing_bytes`` of the body have not arrived yet.
    """

    message: link_pb2.Request
    read_ms: float
    held: HeldRequest
    body: Body
    missing_bytes: int = 0
    incomplete_body: IncompleteBody | None = None
    wait_ms: float = 0.0
    queued: QueuedStart | None = None
    task: asyncio.Task[None] | None = None

    def cancel(self) -> None:
        """Drop the request or cancel its run."""
        if self.queued is not None:
            self.queued.cancel()
        if self.task is not None:
            self.task.cancel()
            # A cancelled task refers to its frames, and so to this request.
            self.task = None
        self.end_body()
        self.held.release()

    def end_body(self) -> None:
        """Let the body keep its room: it is complete, or dropped.

        The two refer to each other, and would keep the body in a cycle.
        """
        if self.incomplete_body is not None:
            self.incomplete_body.release()
            self.incomplete_body = None


class LinkSession(FrameProtocol):
    """Serving end of one link; runs its requests concurrently."""

    def __init__(self, server: LinkServer) -> None:
        super().__init__(
            server.options.body_limit_bytes + FRAME_OVERHEAD_BYTES,
            held=server.options.held,
            on_read=server.options.on_read,
        )
        self._server = server
        self._running: dict[int, _RunningRequest] = {}
        # Followers that wait for news, and renewals of their leases. They do
        # not delay a planned stop.
        self._control_tasks: dict[int, asyncio.Task[None]] = {}
        # Requests that are not cancelled because the link is silent.
        self._run_stream_ids: set[int] = set()
        self._peer_vm = ""
        self._last_received_ms = server.clock.now_ms()
        self._transit_time = TransitTime()
        self._hello_timer: asyncio.TimerHandle | None = None
        # Consecutive checks that found the link silent.
        self._silent_checks = 0
        # Frames written while the peer accepts no bytes.
        self._unsent_frames = 0

    @property
    def busy_count(self) -> int:
        """Return the requests in progress, or 1 while bytes are unsent."""
        if self.transport is None:
            return 0
        return len(self._running) or int(self.transport.get_write_buffer_size() > 0)

    def close_if_silent(self, now_ms: float) -> None:
        """Close a link that its peer has abandoned."""
        if self.is_read_paused:
            # The peer may have sent; this end does not read.
            self._last_received_ms = now_ms
        silent_ms = now_ms - self._last_received_ms
        is_silent = silent_ms > self._server.options.silence_ms
        self._silent_checks = self._silent_checks + 1 if is_silent else 0
        if is_silent:
            self.shrink_stalled_frame()
        if silent_ms > SILENCE_TIMEOUT_MS:
            self.close()
        elif self._running and self._silent_checks > MAX_SILENT_CHECKS:
            self._abandon()

    def _abandon(self) -> None:
        """Cancel what the caller can repeat; close if nothing is left."""
        for stream_id in self._running.keys() - self._run_stream_ids:
            self._running.pop(stream_id).cancel()
        if not self._run_stream_ids:
            self.close()

    def data_received(self, data: bytes) -> None:
        """Record that the peer is alive and decode the frames."""
        self._last_received_ms = self._server.clock.now_ms()
        super().data_received(data)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the VM and incarnation of this daemon."""
        super().connection_made(transport)
        self._server.add_session(self)
        loop = asyncio.get_running_loop()
        self._hello_timer = loop.call_later(
            HELLO_TIMEOUT_S, self._server.close_if_unknown, self
        )
        options = self._server.options
        hello = link_pb2.Hello(
            vm=options.vm, incarnation=options.incarnation, takes_body_parts=True
        )
        self.send(link_pb2.Frame(hello=hello))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of this link, since their caller is gone."""
        super().connection_lost(exc)
        self._server.remove_session(self)
        self._server.connection_limit.record_close()
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        for running in self._running.values():
            running.cancel()
        for task in self._control_tasks.values():
            task.cancel()

    def resume_writing(self) -> None:
        """Stop counting the frames that the peer did not accept."""
        super().resume_writing()
        self._unsent_frames = 0

    def send(self, frame: link_pb2.Frame) -> bool:
        """Send one frame; close the link of a peer that leaves many unread."""
        if self.is_write_paused:
            self._unsent_frames += 1
            if self._unsent_frames > MAX_UNSENT_FRAMES:
                self.reject("the peer reads no replies")
        return super().send(frame)

    def frame_received(self, frame: link_pb2.Frame) -> None:
        """Start or cancel a request, or answer a ping or a borrow request."""
        kind = frame.WhichOneof("kind")
        if kind == "request":
            self._take_request(frame.request)
        elif kind == "body_part":
            self._take_body_part(frame.body_part)
        elif kind == "cancel":
            self._cancel(frame.cancel.stream_id)
        elif kind == "follow":
            if self._can_start_control(frame.follow.stream_id):
                self._start_control(frame.follow.stream_id, self._follow(frame.follow))
        elif kind == "renew_lease":
            request = frame.renew_lease
            if self._can_start_control(request.stream_id):
                self._start_control(request.stream_id, self._renew_lease(request))
        elif kind == "borrow" and self._server.borrow_handler is not None:
            reply = self._server.borrow_handler(frame.borrow.request)
            lent = link_pb2.Lent(stream_id=frame.borrow.stream_id, reply=reply)
            self.send(link_pb2.Frame(lent=lent))
        elif kind == "share_leaves" and self._server.leaves_handler is not None:
            known = self._server.leaves_handler(frame.share_leaves)
            known.stream_id = frame.share_leaves.stream_id
            self.send(link_pb2.Frame(known_leaves=known))
        elif kind == "ping":
            self.send(link_pb2.Frame(pong=link_pb2.Pong(id=frame.ping.id)))
        elif kind == "hello":
            self._peer_vm = frame.hello.vm
            self._server.record_hello(self)
            self._measure_wait_ms(frame.hello.sent_ms)

    def _cancel(self, stream_id: int) -> None:
        """Cancel a request that the peer no longer waits for."""
        control_task = self._control_tasks.pop(stream_id, None)
        if control_task is not None:
            control_task.cancel()
        running = self._running.pop(stream_id, None)
        if running is None:
            return
        running.cancel()
        self._run_stream_ids.discard(stream_id)
        on_cancel_received = self._server.options.on_cancel_received
        if on_cancel_received is not None:
            age_ms = self._server.clock.now_ms() - running.read_ms
            request_id = running.message.context.request_id
            on_cancel_received(request_id, self._peer_vm, age_ms)

    def _can_start_control(self, stream_id: int) -> bool:
        """Return whether there is room; close the link if there is none."""
        if stream_id in self._control_tasks:
            self.reject(f"stream {stream_id} is in use")
        elif len(self._control_tasks) >= MAX_CONTROL_TASKS:
            self.reject("too many followers and renewals")
        else:
            return True
        return False

    def _start_control(self, stream_id: int, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._control_tasks[stream_id] = task
        task.add_done_callback(lambda _: self._control_tasks.pop(stream_id, None))

    async def _follow(self, request: link_pb2.Follow) -> None:
        if self._server.follow_handler is None:
            return
        update = await self._server.follow_handler(request)
        update.stream_id = request.stream_id
        self.send(link_pb2.Frame(update=update))

    async def _renew_lease(self, request: link_pb2.RenewLease) -> None:
        if self._server.renewal_handler is None:
            return
        renewal = await self._server.renewal_handler(request)
        renewal.stream_id = request.stream_id
        self.send(link_pb2.Frame(renewal=renewal))

    def _take_request(self, request: link_pb2.Request) -> None:
        if request.stream_id in self._running:
            self.reject(f"stream {request.stream_id} is in use")
            return
        options = self._server.options
        if request.body_bytes > options.body_limit_bytes:
            self.reject(f"a body of {request.body_bytes} bytes")
            return
        wait_ms = self._measure_wait_ms(request.sent_ms)
        _reduce_remaining(request, wait_ms)
        running = _RunningRequest(
            message=request,
            read_ms=self._server.clock.now_ms(),
            held=HeldRequest(options.held),
            body=bytearray() if request.body_bytes else request.body,
            missing_bytes=request.body_bytes,
            wait_ms=wait_ms,
        )
        running.held.grow(len(request.body))
        self._running[request.stream_id] = running
        if options.waits_for_runs and not request.context.idempotent:
            self._run_stream_ids.add(request.stream_id)
        if not running.missing_bytes:
            self._queue(running)
            return
        running.incomplete_body = IncompleteBody(
            options.held,
            running.held,
            refuse=functools.partial(self._refuse_body, running),
        )

    def _take_body_part(self, part: link_pb2.BodyPart) -> None:
        """Add a part to its body, unless the request has ended already."""
        running = self._running.get(part.stream_id)
        if running is None:
            return
        size_bytes = len(part.content)
        incomplete_body = running.incomplete_body
        if incomplete_body is None or not 0 < size_bytes <= running.missing_bytes:
            self.reject(f"a part of {size_bytes} bytes beyond its body")
        elif not incomplete_body.try_grow(size_bytes):
            self._refuse_body(running)
        else:
            running.body += part.content
            running.missing_bytes -= size_bytes
            if not running.missing_bytes:
                running.end_body()
                self._queue(running)

    def _refuse_body(self, running: _RunningRequest) -> None:
        reason = "no memory left for the body of the request"
        self._refuse(running, reason, NO_MEMORY_RETRY_AFTER_MS)

    def _queue(self, running: _RunningRequest) -> None:
        """Let a request start that has arrived as a whole."""
        is_late = running.wait_ms >= LATE_REQUEST_MS
        running.queued = self._server.options.start_queue.add(
            functools.partial(self._start, running),
            priority=running.message.context.priority,
            delay_ms=LATE_REQUEST_DELAY_MS if is_late else 0.0,
        )

    def _start(self, running: _RunningRequest, wait: Wait) -> None:
        request = running.message
        _reduce_remaining(request, self._server.clock.now_ms() - running.read_ms)
        if wait.is_too_long and _is_shed_when_behind(request.context):
            reason = f"this daemon is {wait.waited_ms:.0f} ms behind"
            self._refuse(running, reason, BEHIND_RETRY_AFTER_MS)
            return
        running.task = asyncio.get_running_loop().create_task(self._run(running))

    def _refuse(
        self, running: _RunningRequest, reason: str, retry_after_ms: int
    ) -> None:
        """Refuse a request that has not started."""
        stream_id = running.message.stream_id
        running.cancel()
        del self._running[stream_id]
        self._run_stream_ids.discard(stream_id)
        refusal = link_pb2.Refusal(
            stream_id=stream_id,
            code="overloaded",
            not_run=True,
            reason=reason,
            step="link",
            peer=self._server.options.vm,
            retry_after_ms=retry_after_ms,
            load=self._server.load_handler(),
        )
        self.send(link_pb2.Frame(refusal=refusal))

    def _measure_wait_ms(self, sent_ms: float) -> float:
        """Return how long a message waited before it was read."""
        if not sent_ms:
            # Daemons of earlier versions do not send it.
            return 0.0
        now_ms = self._server.clock.now_ms()
        return self._transit_time.measure_wait_ms(sent_ms, now_ms)

    async def _run(self, running: _RunningRequest) -> None:
        request = running.message
        try:
            reply = await self._handle(running)
        finally:
            running.held.release()
            self._running.pop(request.stream_id, None)
            self._run_stream_ids.discard(request.stream_id)
        reply.stream_id = request.stream_id
        if isinstance(reply, link_pb2.Response):
            self.send(link_pb2.Frame(response=reply))
        else:
            self.send(link_pb2.Frame(refusal=reply))

    async def _handle(self, running: _RunningRequest) -> Reply:
        """Run one request; if the handler raises, return a refusal."""
        try:
            return await self._server.handler(
                running.message, self._peer_vm, running.body
            )
        except Exception as error:
            write_traceback()
            refusal = make_internal_refusal("handle a call", self._peer_vm, error)
            return link_pb2.Refusal(**attrs.asdict(refusal, filter=_is_sent))


def _is_shed_when_behind(context: link_pb2.CallContext) -> bool:
    """Return whether a request may be refused without a look at its record.

    A request with a ticket may be a copy of one that has run.
    """
    return context.priority < link_pb2.CRITICAL and not context.ticket


def _reduce_remaining(request: link_pb2.Request, waited_ms: float) -> None:
    """Take the time that a request has waited from the time left for it."""
    remaining_ms = request.context.remaining_ms - int(waited_ms)
    request.context.remaining_ms = max(remaining_ms, 0)


def _is_sent(attribute: "attrs.Attribute[object]", _value: object) -> bool:
    """Exclude the ticket, which only answers to callers contain."""
    return attribute.name != "ticket"
