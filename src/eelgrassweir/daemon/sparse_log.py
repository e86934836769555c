"""Log lines about events that clients can cause at any rate."""

import math
from typing import Any

import attrs
from eliot import log_message

MIN_INTERVAL_S = 1.0


@attrs.define(eq=False)
class SparseLog:
    """Write one line a second with the number of events since the last."""

    message_type: str
    _count: int = 0
    _logged_s: float = -math.inf

    def record(self, now_s: float, **fields: Any) -> None:
        """Count an event, and log it unless there was a line just before."""
        self._count += 1
        if now_s - self._logged_s < MIN_INTERVAL_S:
            return
        log_message(message_type=self.message_type, count=self._count, **fields)
        self._count = 0
        self._logged_s = now_s
