"""Bound the memory of the requests and answers that a daemon holds.

The HTTP servers and clients and the links of a daemon share one pool, because
each of them alone may take up the memory of the process.
"""

from collections.abc import Callable

import attrs

# Memory of a VM that does not say how much it has: that of a small one.
DEFAULT_MEMORY_MB = 200
# Memory of a daemon without its messages, and what its allocator keeps.
RESERVED_MEMORY_MB = 100
MIN_LIMIT_BYTES = 16_777_216
# Part of each message that is not counted, so that usual requests are served
# while long ones take up the pool. It is bounded by the number of connections.
SMALL_MESSAGE_BYTES = 16_384
# A message is copied from the received bytes into an object and from there
# into the bytes to send, and the copies exist at the same time.
COPIES = 4
# Enough for the largest body that a link carries, 64 MiB.
MAX_LIMIT_BYTES = COPIES * 68_157_440


def compute_limit_bytes(memory_mb: float) -> int:
    """Return the limit of the pool of a daemon that may use so much memory."""
    free_bytes = int((memory_mb - RESERVED_MEMORY_MB) * 1e6)
    return min(max(free_bytes, MIN_LIMIT_BYTES), MAX_LIMIT_BYTES)


@attrs.define(eq=False)
class HeldBytes:
    """Memory of the messages in progress, up to ``limit_bytes``."""

    limit_bytes: int = compute_limit_bytes(DEFAULT_MEMORY_MB)
    used_bytes: int = 0
    # Sizes of the write buffers of peers that read slowly.
    _unsent: set[Callable[[], int]] = attrs.field(factory=set)

    @property
    def message_limit_bytes(self) -> int:
        """Return the size of the largest message that can be held."""
        return self.limit_bytes // COPIES

    def can_hold(self, size_bytes: int) -> bool:
        """Return whether so much more memory may be used."""
        unsent_bytes = sum(get_bytes() for get_bytes in self._unsent)
        return self.used_bytes + unsent_bytes + size_bytes <= self.limit_bytes

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

    def try_grow(self, size_bytes: int) -> bool:
        """Return whether so many more bytes of the message may be held."""
        more_bytes = self._count_more(size_bytes)
        if more_bytes and not self._pool.can_hold(more_bytes):
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
        beyond_bytes = self._size_bytes + size_bytes - SMALL_MESSAGE_BYTES
        return max(0, COPIES * beyond_bytes - self._counted_bytes)

    def _add(self, size_bytes: int, counted_bytes: int) -> None:
        self._size_bytes += size_bytes
        self._counted_bytes += counted_bytes
        self._pool.used_bytes += counted_bytes
