"""Calling side of one link: concurrent requests over one connection.

``link_pool`` keeps one for each daemon that is called.
"""

import asyncio
import ssl
from collections.abc import Callable, Iterable

import attrs

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.deadlines import Deadlines
from eelgrassweir.daemon.held_bytes import HeldBytes
from eelgrassweir.daemon.http_message import INLINE_BODY_BYTES, Body
from eelgrassweir.daemon.link_bodies import OutgoingBodies
from eelgrassweir.daemon.link_frames import FrameProtocol
from eelgrassweir.daemon.start_queue import StartQueue
from eelgrassweir.errors import StepError
from eelgrassweir.proto import link_pb2

CONNECT_TIMEOUT_MS = 1_000
# A connection without requests for this time is closed. Links to targets that
# an entry rarely calls would otherwise stay open forever.
IDLE_TIMEOUT_MS = 60_000
FRAME_OVERHEAD_BYTES = 131_072
# A round trip that is longer than the average mostly shows that one end was
# busy, so it counts little.
ROUND_TRIP_INCREASE_GAIN = 0.1

Reply = link_pb2.Response | link_pb2.Refusal
StreamRequest = (
    link_pb2.Request
    | link_pb2.Borrow
    | link_pb2.Follow
    | link_pb2.RenewLease
    | link_pb2.ShareLeaves
)
StreamReply = (
    Reply | link_pb2.Lent | link_pb2.Update | link_pb2.Renewal | link_pb2.KnownLeaves
)


@attrs.frozen
class LinkError(StepError):
    """A call got no reply; ``maybe_sent`` if the peer can have received it."""

    maybe_sent: bool = True
    is_timeout: bool = False


@attrs.frozen(kw_only=True)
class LinkOptions:
    """Options of all links of a daemon.

    A link that receives nothing for ``silence_ms`` after a request is closed,
    also if the request has ended by then. Until something is received it is
    pinged after ``ping_ms`` without traffic. ``on_read`` is
    called for each read, ``on_cancel_sent`` with the request id and the
    address of the peer, ``on_cancel_received`` with the request id, the VM of
    the peer and the time in ms since the request was read.

    With ``waits_for_runs``, a silent link is only closed once it has no
    non-idempotent requests: these cannot be repeated, and their peer may be
    paused or cut off for a moment.
    """

    vm: str
    incarnation: str
    ping_ms: int
    silence_ms: int
    body_limit_bytes: int
    tls: ssl.SSLContext | None = None
    connect_timeout_ms: int = CONNECT_TIMEOUT_MS
    on_read: Callable[[], None] | None = None
    on_cancel_sent: Callable[[str, str], None] | None = None
    on_cancel_received: Callable[[str, str, float], None] | None = None
    waits_for_runs: bool = False
    # Memory of the frames, shared with the other connections of the daemon.
    held: HeldBytes = attrs.field(factory=HeldBytes)
    # Order of the requests that the daemon starts, of links and of callers.
    start_queue: StartQueue = attrs.field(factory=StartQueue)


# Kinds of replies to each kind of request.
REPLY_TYPES: dict[type[StreamRequest], tuple[type[StreamReply], ...]] = {
    link_pb2.Request: (link_pb2.Response, link_pb2.Refusal),
    link_pb2.Borrow: (link_pb2.Lent,),
    link_pb2.Follow: (link_pb2.Update,),
    link_pb2.RenewLease: (link_pb2.Renewal,),
    link_pb2.ShareLeaves: (link_pb2.KnownLeaves,),
}


class LinkConnection(FrameProtocol):
    """Connection that sends requests and matches replies by stream id."""

    def __init__(self, address: str, options: LinkOptions, clock: Clock) -> None:
        super().__init__(
            options.body_limit_bytes + FRAME_OVERHEAD_BYTES,
            held=options.held,
            on_read=options.on_read,
        )
        self._address = address
        self._options = options
        self._clock = clock
        self._streams: dict[int, asyncio.Future[StreamReply]] = {}
        # Streams that may wait long for their reply. They time out by
        # themselves, and are not pinged.
        self._waiting_stream_ids: set[int] = set()
        # Streams whose request cannot be repeated.
        self._run_stream_ids: set[int] = set()
        # Whether the link was silent too long; it gets no new requests.
        self.is_suspected = False
        self._deadlines = Deadlines()
        self._bodies = OutgoingBodies(
            send=self.send, can_send=lambda: self.is_open and not self.is_write_paused
        )
        self._next_stream_id = 1
        self._last_received_ms = clock.now_ms()
        self._last_used_ms = self._last_received_ms
        # Time of the first request since the last read, for whose reply or a
        # pong this end waits.
        self._silent_since_ms: float | None = None
        # Time of the hello or of the last ping without its pong.
        self._probe_sent_ms: float | None = None
        # Round trip without the time of a request; None until it is measured.
        self.round_trip_ms: float | None = None
        self.hello: asyncio.Future[link_pb2.Hello] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def is_open(self) -> bool:
        """Return whether requests can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the VM and incarnation of this daemon."""
        super().connection_made(transport)
        hello = link_pb2.Hello(
            vm=self._options.vm,
            incarnation=self._options.incarnation,
            sent_ms=self._clock.now_ms(),
            takes_body_parts=True,
        )
        self._probe_sent_ms = hello.sent_ms
        self.send(link_pb2.Frame(hello=hello))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all requests in progress."""
        super().connection_lost(exc)
        self._fail_all("connection closed")
        self._bodies.clear()
        self._deadlines.close()

    def resume_writing(self) -> None:
        """Send more of the bodies."""
        super().resume_writing()
        self._bodies.send_more()

    def data_received(self, data: bytes) -> None:
        """Record that the peer is alive and decode the frames."""
        self._last_received_ms = self._clock.now_ms()
        self._silent_since_ms = None
        super().data_received(data)

    def frame_received(self, frame: link_pb2.Frame) -> None:
        """Pass a reply to the call that waits for it."""
        kind = frame.WhichOneof("kind")
        if kind == "response":
            self._resolve(frame.response.stream_id, frame.response)
        elif kind == "refusal":
            self._resolve(frame.refusal.stream_id, frame.refusal)
        elif kind == "lent":
            self._resolve(frame.lent.stream_id, frame.lent)
        elif kind == "update":
            self._resolve(frame.update.stream_id, frame.update)
        elif kind == "renewal":
            self._resolve(frame.renewal.stream_id, frame.renewal)
        elif kind == "known_leaves":
            self._resolve(frame.known_leaves.stream_id, frame.known_leaves)
        elif kind == "hello" and not self.hello.done():
            self._record_round_trip()
            self.hello.set_result(frame.hello)
        elif kind == "pong":
            self._record_round_trip()

    def _record_round_trip(self) -> None:
        if self._probe_sent_ms is None:
            return
        sample_ms = self._clock.now_ms() - self._probe_sent_ms
        self._probe_sent_ms = None
        if self.round_trip_ms is None or sample_ms < self.round_trip_ms:
            self.round_trip_ms = sample_ms
            return
        increase_ms = sample_ms - self.round_trip_ms
        self.round_trip_ms += ROUND_TRIP_INCREASE_GAIN * increase_ms

    async def call(
        self, request: link_pb2.Request, *, timeout_ms: float, body: Body = b""
    ) -> Reply:
        """Send a request and return its reply.

        A long body is sent in parts behind the request, unless the peer is of
        a version that does not take them.

        :raises LinkError: if there is no reply within ``timeout_ms``.
        """
        if len(body) > INLINE_BODY_BYTES and self._takes_body_parts:
            request.body_bytes = len(body)
        elif body:
            request.body = bytes(body)
            body = b""
        stream_reply = await self._send_and_wait(request, timeout_ms, body)
        assert isinstance(stream_reply, link_pb2.Response | link_pb2.Refusal)
        return stream_reply

    @property
    def _takes_body_parts(self) -> bool:
        return self.hello.done() and self.hello.result().takes_body_parts

    async def borrow(self, request: bytes, *, timeout_ms: float) -> bytes:
        """Ask the peer, a share holder, for tokens and return its reply.

        Request and reply are serialized messages.

        :raises LinkError: if there is no reply within ``timeout_ms``.
        """
        stream_reply = await self._send_and_wait(
            link_pb2.Borrow(request=request), timeout_ms
        )
        assert isinstance(stream_reply, link_pb2.Lent)
        return stream_reply.reply

    async def follow(
        self, request: link_pb2.Follow, *, timeout_ms: float
    ) -> link_pb2.Update:
        """Wait for news of the store from the peer.

        :raises LinkError: if there is no update within ``timeout_ms``.
        """
        stream_reply = await self._send_and_wait(request, timeout_ms)
        assert isinstance(stream_reply, link_pb2.Update)
        return stream_reply

    async def renew_lease(
        self, request: link_pb2.RenewLease, *, timeout_ms: float
    ) -> link_pb2.Renewal:
        """Let the peer renew a lease of the store.

        :raises LinkError: if there is no reply within ``timeout_ms``.
        """
        stream_reply = await self._send_and_wait(request, timeout_ms)
        assert isinstance(stream_reply, link_pb2.Renewal)
        return stream_reply

    async def share_leaves(
        self, request: link_pb2.ShareLeaves, *, timeout_ms: float
    ) -> link_pb2.KnownLeaves:
        """Let the peer remember leaves and return those that it knows.

        :raises LinkError: if there is no reply within ``timeout_ms``.
        """
        stream_reply = await self._send_and_wait(request, timeout_ms)
        assert isinstance(stream_reply, link_pb2.KnownLeaves)
        return stream_reply

    async def _send_and_wait(
        self, stream_request: StreamRequest, timeout_ms: float, body: Body = b""
    ) -> StreamReply:
        now_ms = self._clock.now_ms()
        self._last_used_ms = now_ms
        if self._silent_since_ms is None and not isinstance(
            stream_request, link_pb2.Follow
        ):
            self._silent_since_ms = now_ms
        if isinstance(stream_request, link_pb2.Request):
            stream_request.sent_ms = now_ms
        stream_id = self._next_stream_id
        self._next_stream_id += 1
        stream_request.stream_id = stream_id
        future: asyncio.Future[StreamReply] = asyncio.get_running_loop().create_future()
        if not self.send(_make_frame(stream_request)):
            raise LinkError("link send", self._address, "connection closed", False)
        self._streams[stream_id] = future
        if isinstance(stream_request, link_pb2.Follow):
            self._waiting_stream_ids.add(stream_id)
        elif self._options.waits_for_runs and _is_unrepeatable(stream_request):
            self._run_stream_ids.add(stream_id)
        deadline = self._deadlines.add(
            timeout_ms, lambda: self._expire(stream_id, timeout_ms)
        )
        if body:
            self._bodies.add(stream_id, body)
        is_answered = False
        try:
            reply = await future
            is_answered = True
            if not isinstance(reply, REPLY_TYPES[type(stream_request)]):
                self.reject("a reply of another kind than its request")
                reason = "reply of another kind"
                raise LinkError("link call", self._address, reason)
            return reply
        finally:
            # The error of a failed call refers to this frame, and would stay
            # with the request in a cycle until the next collection.
            del future
            deadline.cancel()
            self._streams.pop(stream_id, None)
            self._bodies.discard(stream_id)
            self._waiting_stream_ids.discard(stream_id)
            self._run_stream_ids.discard(stream_id)
            if not is_answered:
                self._send_cancel(stream_request)

    def _send_cancel(self, stream_request: StreamRequest) -> None:
        """Tell the peer that nobody waits for the reply any more."""
        cancel = link_pb2.Cancel(stream_id=stream_request.stream_id)
        is_sent = self.send(link_pb2.Frame(cancel=cancel))
        on_cancel_sent = self._options.on_cancel_sent
        if not is_sent or on_cancel_sent is None:
            return
        if isinstance(stream_request, link_pb2.Request):
            on_cancel_sent(stream_request.context.request_id, self._address)

    def _expire(self, stream_id: int, timeout_ms: float) -> None:
        """Fail a call whose reply did not arrive in time."""
        future = self._streams.get(stream_id)
        if future is None or future.done():
            return
        reason = f"no reply in {timeout_ms:.0f} ms"
        maybe_sent = not self._bodies.is_unsent(stream_id)
        future.set_exception(
            LinkError("link call", self._address, reason, maybe_sent, is_timeout=True)
        )

    @property
    def in_flight_count(self) -> int:
        """Return the number of requests without a reply."""
        return len(self._streams)

    @property
    def _is_reply_due(self) -> bool:
        """Return whether the peer should reply to a request soon."""
        return len(self._streams) > len(self._waiting_stream_ids)

    def _resolve(self, stream_id: int, reply: StreamReply) -> None:
        future = self._streams.get(stream_id)
        if future is not None and not future.done():
            future.set_result(reply)

    def _fail_all(self, reason: str) -> None:
        self._fail_streams(self._streams.keys(), reason)
        if not self.hello.done():
            self.hello.set_exception(
                LinkError("link connect", self._address, reason, False)
            )
            self.hello.exception()

    def _fail_streams(self, stream_ids: Iterable[int], reason: str) -> None:
        for stream_id in stream_ids:
            future = self._streams[stream_id]
            if not future.done():
                # A request without its whole body does not run.
                maybe_sent = not self._bodies.is_unsent(stream_id)
                future.set_exception(
                    LinkError("link call", self._address, reason, maybe_sent)
                )

    def _suspect(self) -> None:
        """Give up what can be repeated; close the link if nothing is left."""
        self.is_suspected = True
        repeatable_ids = self._streams.keys() - self._run_stream_ids
        reason = f"silent for {self._options.silence_ms} ms"
        self._fail_streams(repeatable_ids, reason)
        if not self._run_stream_ids:
            self.reset()

    def excuse_silence(self, paused_ms: float) -> None:
        """Do not count a time in which this end has read nothing."""
        self._last_received_ms += paused_ms
        if self._silent_since_ms is not None:
            self._silent_since_ms += paused_ms

    def _ping(self, now_ms: float) -> None:
        if self._probe_sent_ms is None:
            self._probe_sent_ms = now_ms
        self.send(link_pb2.Frame(ping=link_pb2.Ping(id=int(now_ms))))

    def check_liveness(self, now_ms: float) -> None:
        """Ping while requests wait; close a silent or unused connection."""
        if self.is_read_paused:
            # The peer may have sent; this end does not read.
            self._silent_since_ms = None
            self._last_received_ms = now_ms
        if self._is_reply_due and self._silent_since_ms is None:
            self._silent_since_ms = self._last_received_ms
        if self._silent_since_ms is not None:
            if now_ms - self._silent_since_ms > self._options.silence_ms:
                self.shrink_stalled_frame()
                self._suspect()
            inactive_since_ms = min(self._last_received_ms, self._last_used_ms)
            if now_ms - inactive_since_ms >= self._options.ping_ms:
                self._ping(now_ms)
        elif self.is_suspected or now_ms - self._last_used_ms > IDLE_TIMEOUT_MS:
            self.close()


def _is_unrepeatable(stream_request: StreamRequest) -> bool:
    if not isinstance(stream_request, link_pb2.Request):
        return False
    return not stream_request.context.idempotent


def _make_frame(stream_request: StreamRequest) -> link_pb2.Frame:
    if isinstance(stream_request, link_pb2.Borrow):
        return link_pb2.Frame(borrow=stream_request)
    if isinstance(stream_request, link_pb2.Follow):
        return link_pb2.Frame(follow=stream_request)
    if isinstance(stream_request, link_pb2.RenewLease):
        return link_pb2.Frame(renew_lease=stream_request)
    if isinstance(stream_request, link_pb2.ShareLeaves):
        return link_pb2.Frame(share_leaves=stream_request)
    return link_pb2.Frame(request=stream_request)
