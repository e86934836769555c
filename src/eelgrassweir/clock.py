"""Clock in milliseconds."""

import time


class Clock:
    """Read the time in ms."""

    def now_ms(self) -> float:
        """Return the monotonic time in ms, time suspended included."""
        # CLOCK_MONOTONIC stands still while a VM is suspended, and a lease
        # must not outlive such a pause.
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6

    def wall_ms(self) -> int:
        """Return the time since the Unix epoch in ms."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """Stand still until told to advance, for tests and simulations."""

    def __init__(self, start_ms: float = 0.0, wall_start_ms: int = 0) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = wall_start_ms - start_ms

    def now_ms(self) -> float:
        """Return the time set so far, in ms."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the time set so far plus the offset of the start, in ms."""
        return int(self._now_ms + self._wall_offset_ms)

    def advance(self, step_ms: float) -> None:
        """Move the time on by ``step_ms``."""
        self._now_ms += step_ms
