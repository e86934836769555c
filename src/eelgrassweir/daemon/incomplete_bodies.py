"""Let bodies that stop arriving make room for other messages.

A client may stop short of the end of a long body and stay. Its body would
hold room until the time for a request is over.
"""

import asyncio
from collections.abc import Callable

from eelgrassweir.daemon.held_bytes import HeldBytes, HeldRequest

# A body of which less arrives within MIN_STALLED_S may have to make room.
MIN_PROGRESS_BYTES = 65_536


class IncompleteBody:
    """Body of one request, while it arrives.

    ``refuse`` refuses the request, and ``is_held_up`` returns whether received
    bytes of it wait at this end.
    """

    # The peer owes bytes, as one that reads slowly does.
    is_slow = True

    def __init__(
        self,
        pool: HeldBytes,
        held: HeldRequest,
        *,
        refuse: Callable[[], None],
        is_held_up: Callable[[], bool] = bool,
    ) -> None:
        self._pool = pool
        self._held = held
        self._refuse = refuse
        self._is_held_up = is_held_up
        self._progress_s = 0.0
        self._progress_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Return the room that the body would make."""
        return self._held.counted_bytes

    def try_grow(self, size_bytes: int) -> bool:
        """Return whether so many more bytes may be held."""
        # The body does not make room for itself.
        self._pool.remove_slow_peer(self)
        if not self._held.try_grow_body(size_bytes):
            return False
        self._progress_bytes += size_bytes
        if not self._progress_s or self._progress_bytes >= MIN_PROGRESS_BYTES:
            self._progress_s = asyncio.get_running_loop().time()
            self._progress_bytes = 0
        if self.size_bytes:
            self._pool.add_slow_peer(self)
        return True

    def release(self) -> None:
        """Let the body keep its room: it is complete, or dropped."""
        self._pool.remove_slow_peer(self)

    def get_stalled_s(self) -> float:
        """Return the time since enough of the body has arrived."""
        if self._is_held_up():
            return 0.0
        return asyncio.get_running_loop().time() - self._progress_s

    def give_way(self) -> None:
        """Refuse the request, whose room is needed for another message."""
        self._pool.refused_bodies_log.record(
            asyncio.get_running_loop().time(),
            counted_bytes=self.size_bytes,
            stalled_ms=int(1e3 * self.get_stalled_s()),
            used_bytes=self._pool.used_bytes,
            limit_bytes=self._pool.limit_bytes,
        )
        self.release()
        self._refuse()
