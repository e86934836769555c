"""Time that the messages of one peer waited on their way.

Used by ``link_server``, since a deadline counts from the sending of a request.
"""

import math

# The clocks of two VMs drift apart, so the least difference is renewed.
WINDOW_MS = 30_000.0


class TransitTime:
    """Estimate waits from the times of sending and reading of messages.

    The clocks of both ends differ by a constant, which is contained in the
    least difference of the two times, that of a message that did not wait. A
    wait is what another message took beyond it. It is underestimated if all
    recent messages have waited, and never overestimated by more than the drift
    of the clocks in two windows.
    """

    def __init__(self) -> None:
        self._window_end_ms = -math.inf
        self._least_ms = math.inf
        self._previous_least_ms = math.inf

    def measure_wait_ms(self, sent_ms: float, read_ms: float) -> float:
        """Record a message and return the time that it waited."""
        if read_ms >= self._window_end_ms:
            self._window_end_ms = read_ms + WINDOW_MS
            self._previous_least_ms = self._least_ms
            self._least_ms = math.inf
        difference_ms = read_ms - sent_ms
        self._least_ms = min(self._least_ms, difference_ms)
        return difference_ms - min(self._least_ms, self._previous_least_ms)
