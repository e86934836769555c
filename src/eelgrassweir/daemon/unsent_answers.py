"""Count the answers that a caller has not accepted yet.

They are held for it, so they count in the pool of the daemon. When the pool is
full, the callers that have accepted no bytes for longest are disconnected, and
answers that wait for earlier ones of their connection are dropped.
"""

import asyncio
from collections.abc import Callable

from eliot import log_message

from eelgrassweir.daemon.held_bytes import HeldBytes

# Interval at which the write buffer of a slow caller is looked at.
SAMPLE_INTERVAL_S = 0.25


class UnsentAnswers:
    """Unsent answers of one connection.

    ``end`` aborts the connection, ``drop_waiting`` replaces the answers that
    wait for earlier ones. While the write buffer is watched, ``on_progress``
    is called when the caller has accepted bytes.
    """

    def __init__(
        self,
        pool: HeldBytes,
        *,
        get_buffer_bytes: Callable[[], int],
        on_progress: Callable[[], None],
        end: Callable[[str], None],
        drop_waiting: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._get_buffer_bytes = get_buffer_bytes
        self._on_progress = on_progress
        self._end = end
        self._drop_waiting = drop_waiting
        self._buffer_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._progress_s = 0.0
        self.size_bytes = 0

    def add(self, size_bytes: int) -> None:
        """Count an answer that cannot be sent at once."""
        self.size_bytes += size_bytes
        self._pool.used_bytes += size_bytes
        self._pool.add_slow_peer(self)

    def remove(self, size_bytes: int) -> None:
        """Stop counting answers that the caller has accepted."""
        size_bytes = min(size_bytes, self.size_bytes)
        self.size_bytes -= size_bytes
        self._pool.used_bytes -= size_bytes
        if not self.size_bytes:
            self._pool.remove_slow_peer(self)

    def watch(self) -> None:
        """Watch the write buffer, which the caller accepts slowly."""
        if self._timer is None:
            self._progress_s = asyncio.get_running_loop().time()
            self._start_timer()

    def unwatch(self) -> None:
        """Stop watching the write buffer, which is nearly empty."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def clear(self) -> None:
        """Forget the answers of a connection that has ended."""
        self.unwatch()
        self.remove(self.size_bytes)

    @property
    def is_slow(self) -> bool:
        """Return whether the caller has not accepted what was written."""
        return self._timer is not None

    def get_stalled_s(self) -> float:
        """Return the time for which the caller has accepted no bytes."""
        if not self.is_slow:
            return 0.0
        return asyncio.get_running_loop().time() - self._progress_s

    def give_way(self) -> None:
        """Free the answers, whose memory is needed for another message."""
        unsent_bytes, held_bytes = self.size_bytes, self._pool.used_bytes
        if not self.is_slow:
            log_message(
                message_type="answer:dropped",
                unsent_bytes=unsent_bytes,
                held_bytes=held_bytes,
            )
            self._drop_waiting()
            return
        log_message(
            message_type="caller:unread",
            unsent_bytes=unsent_bytes,
            stalled_ms=int(1e3 * self.get_stalled_s()),
            held_bytes=held_bytes,
        )
        self.clear()
        self._end("its caller left answers unread while memory was short")

    def _start_timer(self) -> None:
        self._buffer_bytes = self._get_buffer_bytes()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SAMPLE_INTERVAL_S, self._sample)

    def _sample(self) -> None:
        """Record whether the caller has accepted bytes since the last time."""
        if self._get_buffer_bytes() < self._buffer_bytes:
            self._progress_s = asyncio.get_running_loop().time()
            self._on_progress()
        self._start_timer()
