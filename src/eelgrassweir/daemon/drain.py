"""Drain of a daemon: leave without cutting a request."""

from eelgrassweir.clock import Clock


class DrainState:
    """Tell since when a daemon is leaving and what it still takes."""

    def __init__(self, clock: Clock, *, notice_ms: int) -> None:
        self._clock = clock
        self._notice_ms = notice_ms
        self._reasons: set[str] = set()
        self._started_ms: float | None = None

    @property
    def is_draining(self) -> bool:
        """Return whether the daemon is leaving."""
        return self._started_ms is not None

    @property
    def reasons(self) -> list[str]:
        """Return why the daemon is leaving."""
        return sorted(self._reasons)

    def begin(self, reason: str) -> bool:
        """Start to leave for ``reason``; return whether the state changed."""
        self._reasons.add(reason)
        if self._started_ms is not None:
            return False
        self._started_ms = self._clock.now_ms()
        return True

    def cancel(self, reason: str) -> bool:
        """Drop ``reason``; return whether the daemon is ready again."""
        self._reasons.discard(reason)
        if self._started_ms is None or self._reasons:
            return False
        self._started_ms = None
        return True

    def refuses_new_work(self) -> bool:
        """Return whether new work is refused.

        Entry daemons need a moment to learn of the drain; until then the work
        that they send is still taken.
        """
        if self._started_ms is None:
            return False
        return self._clock.now_ms() - self._started_ms >= self._notice_ms
