"""Drain state of a daemon for a graceful shutdown."""

from eelgrassweir.clock import Clock


class DrainState:
    """Track why and since when a daemon drains.

    The drain lasts while at least one reason for it stands.
    """

    def __init__(self, clock: Clock, *, notice_ms: int) -> None:
        self._clock = clock
        self._notice_ms = notice_ms
        self._reasons: set[str] = set()
        self._started_ms: float | None = None

    @property
    def is_draining(self) -> bool:
        """Return whether the daemon drains."""
        return self._started_ms is not None

    @property
    def reasons(self) -> list[str]:
        """Return the reasons of the drain in alphabetical order."""
        return sorted(self._reasons)

    def begin(self, reason: str) -> bool:
        """Add ``reason``; return whether the drain started with it."""
        self._reasons.add(reason)
        if self._started_ms is not None:
            return False
        self._started_ms = self._clock.now_ms()
        return True

    def cancel(self, reason: str) -> bool:
        """Remove ``reason``; return whether the drain ended with it."""
        self._reasons.discard(reason)
        if self._started_ms is None or self._reasons:
            return False
        self._started_ms = None
        return True

    def refuses_new_work(self) -> bool:
        """Return whether new work is refused.

        Entry daemons need ``notice_ms`` to learn of the drain; until then the
        work that they send is accepted.
        """
        if self._started_ms is None:
            return False
        return self._clock.now_ms() - self._started_ms >= self._notice_ms
