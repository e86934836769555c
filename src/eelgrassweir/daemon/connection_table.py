"""Open connections of an HTTP listener, and which to end for others."""

import asyncio
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

import attrs

from eelgrassweir.daemon.connection_limit import ConnectionLimit
from eelgrassweir.daemon.sparse_log import SparseLog

FULL_MESSAGE_TYPE = "listener:full"


class Connection(Protocol):
    """Connection of a client."""

    @property
    def is_busy(self) -> bool:
        """Return whether a request or an answer is in flight."""

    def abort(self, reason: str) -> None:
        """Close immediately."""


T = TypeVar("T", bound=Connection)


@attrs.define(eq=False)
class ConnectionTable(Generic[T]):
    """Track connections, in the order in which they are ended for others."""

    limit: ConnectionLimit
    # Those that have not sent a request yet, oldest first.
    _new: dict[T, None] = attrs.field(factory=dict)
    # The others; the one without a request for longest is first.
    _used: dict[T, None] = attrs.field(factory=dict)
    _log: SparseLog = attrs.field(factory=lambda: SparseLog(FULL_MESSAGE_TYPE))

    def add(self, connection: T) -> None:
        """Track an open connection; end another one if there are too many."""
        self._new[connection] = None
        if len(self) > self.limit.get_limit():
            self._end_least_used()

    def record_request(self, connection: T) -> None:
        """Keep the connection rather than those without a recent request."""
        self.discard(connection)
        self._used[connection] = None

    def discard(self, connection: T) -> None:
        """Stop tracking a connection."""
        self._new.pop(connection, None)
        self._used.pop(connection, None)

    def __iter__(self) -> Iterator[T]:
        return iter([*self._new, *self._used])

    def __len__(self) -> int:
        return len(self._new) + len(self._used)

    def _end_least_used(self) -> None:
        """End the oldest connection without a request, else the newest."""
        ended = next(iter(self._new))
        if len(self._new) == 1:
            idle = (each for each in self._used if not each.is_busy)
            ended = next(idle, ended)
        now_s = asyncio.get_running_loop().time()
        self._log.record(now_s, connections=len(self), limit=self.limit.get_limit())
        # Its end is noticed only later.
        self.discard(ended)
        ended.abort("there are too many connections")
