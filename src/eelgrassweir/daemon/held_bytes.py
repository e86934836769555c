"""Bound the memory of the requests and answers that a daemon holds.

The HTTP servers and clients and the links of a daemon share one pool, because
each of them alone may take up the memory of the process.
"""

from collections.abc import Callable
from typing import Protocol

import attrs

from eelgrassweir.daemon.http_message import INLINE_BODY_BYTES
from eelgrassweir.daemon.incomplete_heads import (
    IncompleteHeads,
    compute_heads_limit_bytes,
)
from eelgrassweir.daemon.sparse_log import SparseLog

BODY_REFUSED_MESSAGE_TYPE = "body:refused"

# Memory of a VM that does not say how much it has: that of a small one.
DEFAULT_MEMORY_MB = 200
# Memory of a daemon without its messages, and what its allocator keeps.
RESERVED_MEMORY_MB = 100
MIN_LIMIT_BYTES = 16_777_216
# Part of each message that is not counted, so that usual requests are served
# while long ones take up the pool. It is bounded by the number of connections.
SMALL_MESSAGE_BYTES = 16_384
# A message is copied from the received bytes into an object and from there
# into the bytes to send, and the copies exist at the same time. Of the body of
# a request only the first INLINE_BODY_BYTES are.
COPIES = 4
# Part of the pool that long bodies of requests leave to other messages.
SPARE_PART = 8
# Memory of the objects of one header field, beside its bytes, in each copy.
FIELD_OVERHEAD_BYTES = 64
# Usual heads have fewer fields and are not counted.
FIELDS_PER_COUNT = 64
# Enough for the largest body that a link carries, 64 MiB.
MAX_LIMIT_BYTES = COPIES * 68_157_440
# A peer that has accepted or sent no bytes for this time makes room for a
# message.
MIN_STALLED_S = 0.5
# Part of the pool that received bytes without room may take beside it.
WAITING_PART = 8


def compute_limit_bytes(memory_mb: float) -> int:
    """Return the limit of the pool of a daemon that may use so much memory."""
    free_bytes = int((memory_mb - RESERVED_MEMORY_MB) * 1e6)
    return min(max(free_bytes, MIN_LIMIT_BYTES), MAX_LIMIT_BYTES)


class SlowPeer(Protocol):
    """Connection that holds bytes for a peer that is slow or silent."""

    @property
    def size_bytes(self) -> int:
        """Return the memory that is counted for the bytes."""

    @property
    def is_slow(self) -> bool:
        """Return whether the peer is to accept bytes, or to send more."""

    def get_stalled_s(self) -> float:
        """Return the time for which the peer has not done so."""

    def give_way(self) -> None:
        """Drop the bytes or the connection, and stop counting them."""


@attrs.define(eq=False)
class HeldBytes:
    """Memory of the messages in progress, up to ``limit_bytes``."""

    limit_bytes: int = compute_limit_bytes(DEFAULT_MEMORY_MB)
    used_bytes: int = 0
    # Sizes of the write buffers of peers that read slowly.
    _unsent: set[Callable[[], int]] = attrs.field(factory=set)
    # Peers whose connections may be ended for the sake of other messages.
    _slow_peers: set[SlowPeer] = attrs.field(factory=set)
    refused_bodies_log: SparseLog = attrs.field(
        factory=lambda: SparseLog(BODY_REFUSED_MESSAGE_TYPE)
    )
    # Heads of requests that have not arrived as a whole, beside the pool.
    incomplete_heads: IncompleteHeads = attrs.field(init=False)

    @incomplete_heads.default
    def _make_incomplete_heads(self) -> IncompleteHeads:
        return IncompleteHeads(compute_heads_limit_bytes(self.limit_bytes))

    @property
    def message_limit_bytes(self) -> int:
        """Return the size of the largest message that can be held."""
        return self.limit_bytes // COPIES

    def can_hold(self, size_bytes: int, *, drops_waiting: bool = False) -> bool:
        """Return whether so much more memory may be used.

        Peers that have accepted no bytes for some time make room, and with
        ``drops_waiting`` also answers that wait for earlier ones.
        """
        missing_bytes = self._count_missing(size_bytes)
        return missing_bytes <= 0 or self._make_room(missing_bytes, drops_waiting)

    def has_room_to_wait(self) -> bool:
        """Return whether received bytes without room may be kept for now."""
        return self._count_missing(0) <= self.limit_bytes // WAITING_PART

    def _count_missing(self, size_bytes: int) -> int:
        unsent_bytes = sum(get_bytes() for get_bytes in self._unsent)
        return self.used_bytes + unsent_bytes + size_bytes - self.limit_bytes

    def _make_room(self, missing_bytes: int, drops_waiting: bool) -> bool:
        """Let stalled peers give way, the longest first, if it is enough."""
        stalled_s = {peer: peer.get_stalled_s() for peer in self._slow_peers}
        peers = [
            peer
            for peer in stalled_s
            if stalled_s[peer] >= MIN_STALLED_S or (drops_waiting and not peer.is_slow)
        ]
        if sum(peer.size_bytes for peer in peers) < missing_bytes:
            return False
        for peer in sorted(peers, key=stalled_s.__getitem__, reverse=True):
            if missing_bytes <= 0:
                break
            missing_bytes -= peer.size_bytes
            peer.give_way()
        return True

    def add_slow_peer(self, peer: SlowPeer) -> None:
        """Let a connection make room while it holds bytes for its peer."""
        self._slow_peers.add(peer)

    def remove_slow_peer(self, peer: SlowPeer) -> None:
        """Forget a connection whose peer has accepted all bytes."""
        self._slow_peers.discard(peer)

    def add_unsent(self, get_bytes: Callable[[], int]) -> None:
        """Count the write buffer of a connection from now on."""
        self._unsent.add(get_bytes)

    def remove_unsent(self, get_bytes: Callable[[], int]) -> None:
        """Stop counting a write buffer."""
        self._unsent.discard(get_bytes)


@attrs.define(eq=False)
class HeldMessage:
    """Memory of one message, which grows while the message arrives."""

    _pool: HeldBytes
    _size_bytes: int = 0
    _counted_bytes: int = 0

    @property
    def counted_bytes(self) -> int:
        """Return the memory that is counted for the message."""
        return self._counted_bytes

    def try_grow(self, size_bytes: int, *, drops_waiting: bool = False) -> bool:
        """Return whether so many more bytes of the message may be held."""
        more_bytes = self._count_more(size_bytes)
        needed_bytes = more_bytes + self._count_spare()
        if more_bytes and not self._pool.can_hold(
            needed_bytes, drops_waiting=drops_waiting
        ):
            return False
        self._add(size_bytes, more_bytes)
        return True

    def grow(self, size_bytes: int) -> None:
        """Count bytes that are already held."""
        self._add(size_bytes, self._count_more(size_bytes))

    def release(self) -> None:
        """Stop counting the message, which is no longer held."""
        self._pool.used_bytes -= self._counted_bytes
        self._size_bytes = self._counted_bytes = 0

    def _count_more(self, size_bytes: int) -> int:
        """Return the memory to count for more bytes of the message."""
        weight_bytes = self._weigh(self._size_bytes + size_bytes)
        return max(0, weight_bytes - self._counted_bytes)

    def _weigh(self, size_bytes: int) -> int:
        """Return the memory of a message of this size and of its copies."""
        return COPIES * (size_bytes - SMALL_MESSAGE_BYTES)

    def _count_spare(self) -> int:
        """Return the memory that must stay free beside the message."""
        return 0

    def _add(self, size_bytes: int, counted_bytes: int) -> None:
        self._size_bytes += size_bytes
        self._counted_bytes += counted_bytes
        self._pool.used_bytes += counted_bytes


@attrs.define(eq=False)
class HeldRequest(HeldMessage):
    """Memory of one request, whose long body is passed on without copies."""

    _body_bytes: int = 0

    def try_grow_body(self, size_bytes: int) -> bool:
        """Return whether so many more bytes of the body may be held."""
        self._body_bytes += size_bytes
        is_held = self.try_grow(size_bytes)
        if not is_held:
            self._body_bytes -= size_bytes
        return is_held

    def release(self) -> None:
        """Stop counting the request, which is no longer held."""
        super().release()
        self._body_bytes = 0

    @property
    def _uncopied_bytes(self) -> int:
        return max(0, self._body_bytes - INLINE_BODY_BYTES)

    def _weigh(self, size_bytes: int) -> int:
        uncopied_bytes = self._uncopied_bytes
        return super()._weigh(size_bytes - uncopied_bytes) + uncopied_bytes

    def _count_spare(self) -> int:
        """Return what a long body leaves to shorter requests."""
        return self._pool.limit_bytes // SPARE_PART if self._uncopied_bytes else 0
