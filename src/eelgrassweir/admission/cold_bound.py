"""Bound of the requests that a cold backend server gets in one second.

Load condition: a backend server has just started, or has become cold again,
and crashes if it gets requests at its usual rate.
"""

import collections
import math

import attrs

# The bound holds for the arrivals in any one second. Requests that are sent in
# a longer time can arrive within it, since each is under way for a different
# time; on one VM these times differ by less than the rest of this window.
WINDOW_MS = 1_200.0


@attrs.frozen
class ColdLimits:
    """Most requests that are sent in one window, and that are unanswered."""

    sent_calls: int
    open_calls: int


def compute_limits(per_s: float, overage: float, slack_calls: float) -> ColdLimits:
    """Return the limits of a target that tolerates ``per_s`` while it is cold.

    At most ``per_s`` x ``overage`` + ``slack_calls`` requests a second are
    allowed. The slack is the margin of the rate: a steady rate that uses it is
    well above the one that the target tolerates. A paused target gets what is
    unanswered at once when it goes on, so this is limited to the slack.
    """
    allowed_calls = math.floor(per_s * overage + slack_calls)
    sent_calls = min(allowed_calls, max(1, math.floor(per_s * overage)))
    return ColdLimits(sent_calls, max(sent_calls, allowed_calls - sent_calls))


class SendWindow:
    """Count the requests of the last window, up to a limit.

    All sends are recorded, also those of a target that is not cold, so that
    they count if it turns cold.
    """

    def __init__(self) -> None:
        self._sent_ms: collections.deque[float] = collections.deque(maxlen=1)

    def set_limit(self, limit_calls: int) -> None:
        """Keep the times of as many sends as the limit."""
        if self._sent_ms.maxlen != limit_calls:
            self._sent_ms = collections.deque(self._sent_ms, maxlen=limit_calls)

    def has_room(self, now_ms: float) -> bool:
        """Return whether one more request may be sent now."""
        sent_ms = self._sent_ms
        if len(sent_ms) < (sent_ms.maxlen or 0):
            return True
        return bool(sent_ms) and now_ms - sent_ms[0] >= WINDOW_MS

    def record(self, now_ms: float) -> None:
        """Record that a request is sent."""
        self._sent_ms.append(now_ms)
