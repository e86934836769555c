"""Bound the memory of incomplete request heads over all connections.

Most heads arrive in one read and are never counted. When the incomplete ones
exceed the budget, the oldest are refused: that of a usual client is complete
long before those of clients that hold theirs.
"""

import asyncio
from collections.abc import Callable

import attrs

from eelgrassweir.daemon.sparse_log import SparseLog

# Memory of the objects of one header field, beside its bytes: two strings and
# a tuple, measured with short names and values.
FIELD_OBJECTS_BYTES = 192
# Part of the pool of the messages that a daemon holds which incomplete heads
# may take beside it, and the least: some of the longest heads.
HEADS_PART = 8
MIN_LIMIT_BYTES = 4_194_304

REFUSED_MESSAGE_TYPE = "head:refused"


def compute_heads_limit_bytes(pool_limit_bytes: int) -> int:
    """Return the budget of the incomplete heads of a daemon."""
    return max(MIN_LIMIT_BYTES, pool_limit_bytes // HEADS_PART)


@attrs.define(eq=False)
class IncompleteHead:
    """Head of one connection; ``refuse`` frees it."""

    _heads: "IncompleteHeads"
    refuse: Callable[[], None]
    size_bytes: int = 0

    def update(self, head_bytes: int, fields: int) -> None:
        """Count what has arrived of the head; refuse older ones if needed."""
        self._heads.resize(self, head_bytes + FIELD_OBJECTS_BYTES * fields)

    def release(self) -> None:
        """Stop counting the head, which is complete or dropped."""
        if self.size_bytes:
            self._heads.remove(self)


@attrs.define(eq=False)
class IncompleteHeads:
    """Incomplete heads of a daemon, up to ``limit_bytes`` and the newest."""

    limit_bytes: int
    used_bytes: int = 0
    # Oldest first.
    _heads: dict[IncompleteHead, None] = attrs.field(factory=dict)
    _log: SparseLog = attrs.field(factory=lambda: SparseLog(REFUSED_MESSAGE_TYPE))

    def resize(self, head: IncompleteHead, size_bytes: int) -> None:
        """Set the size of a head; without room, refuse the oldest others."""
        self.used_bytes += size_bytes - head.size_bytes
        head.size_bytes = size_bytes
        self._heads.setdefault(head)
        while self.used_bytes > self.limit_bytes:
            oldest = self._find_oldest(head)
            if oldest is None:
                return
            self._refuse(oldest)

    def _refuse(self, head: IncompleteHead) -> None:
        self._log.record(
            asyncio.get_running_loop().time(),
            head_bytes=head.size_bytes,
            used_bytes=self.used_bytes,
            limit_bytes=self.limit_bytes,
        )
        self.remove(head)
        head.refuse()

    def remove(self, head: IncompleteHead) -> None:
        """Stop counting a head."""
        self.used_bytes -= head.size_bytes
        head.size_bytes = 0
        self._heads.pop(head, None)

    def _find_oldest(self, newest: IncompleteHead) -> IncompleteHead | None:
        return next((head for head in self._heads if head is not newest), None)
