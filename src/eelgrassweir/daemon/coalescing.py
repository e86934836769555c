"""Coalescing of wake-ups: handle more reads at a time under load.

Each wake-up of the event loop has a cost of its own, so that the same reads
take less processor time in fewer wake-ups.
"""

import asyncio
import time
from collections.abc import Callable

from eelgrassweir.clock import Clock

# No pause up to the first rate, the longest one from the second rate on.
MIN_READS_PER_S = 1_200.0
MAX_READS_PER_S = 3_000.0
MAX_PAUSE_MS = 1.5
# Turns of the event loop from a read to the pause. Within them a request that
# was read is started, runs and is sent on.
TURNS_BEFORE_PAUSE = 3


class WakeupCoalescer:
    """Pause the event loop after its wake-ups while there are many reads.

    ``update`` is called periodically and sets the pause from the rate of reads
    since the last call.
    """

    def __init__(
        self, clock: Clock, *, sleep_s: Callable[[float], None] = time.sleep
    ) -> None:
        self._clock = clock
        self._sleep_s = sleep_s
        self._reads = 0
        self._updated_ms = clock.now_ms()
        self._is_scheduled = False
        self.pause_ms = 0.0

    def record_read(self) -> None:
        """Count a read, and pause after the wake-up that it belongs to."""
        self._reads += 1
        if not self.pause_ms or self._is_scheduled:
            return
        self._is_scheduled = True
        self._count_down(TURNS_BEFORE_PAUSE)

    def update(self) -> None:
        """Set the pause from the rate of reads since the last update."""
        now_ms = self._clock.now_ms()
        elapsed_s = max(1.0, now_ms - self._updated_ms) / 1e3
        excess_per_s = self._reads / elapsed_s - MIN_READS_PER_S
        share = excess_per_s / (MAX_READS_PER_S - MIN_READS_PER_S)
        self.pause_ms = MAX_PAUSE_MS * min(1.0, max(0.0, share))
        self._reads = 0
        self._updated_ms = now_ms

    def _count_down(self, turns: int) -> None:
        loop = asyncio.get_running_loop()
        if turns > 1:
            loop.call_soon(self._count_down, turns - 1)
        else:
            loop.call_soon(self._pause)

    def _pause(self) -> None:
        self._is_scheduled = False
        self._sleep_s(self.pause_ms / 1e3)
