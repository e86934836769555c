"""Monotonic and wall time in ms, with a manual clock for tests."""

from time import CLOCK_BOOTTIME, clock_gettime, time_ns


class Clock:
    """Clock of this machine."""

    def now_ms(self) -> float:
        """Return the monotonic time in ms, including suspended time."""
        # CLOCK_MONOTONIC stops while a VM is suspended, but leases must expire
        # during that time.
        return clock_gettime(CLOCK_BOOTTIME) * 1e3

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch in ms."""
        return time_ns() // 1_000_000


class ManualClock(Clock):
    """Clock that moves only by ``advance``, for tests and simulations."""

    def __init__(self, start_ms: float = 0.0, wall_start_ms: int = 0) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = wall_start_ms - start_ms

    def now_ms(self) -> float:
        """Return the current manual time in ms."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the manual time plus the initial wall offset, in ms."""
        return int(self._now_ms + self._wall_offset_ms)

    def advance(self, step_ms: float) -> None:
        """Advance the time by ``step_ms``."""
        self._now_ms += step_ms
