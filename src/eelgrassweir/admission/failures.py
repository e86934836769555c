"""Recent failure rate of runs or calls.

The overload throttle and the mesh daemon's load reports use it.
"""

import math

# Low enough that one failure among many successful runs moves no traffic.
SAMPLE_WEIGHT = 0.05
# Without runs the rate decays, since it is no longer known whether they would
# fail and only new runs can show that they would not.
HALF_LIFE_MS = 2_000.0


class FailureRate:
    """Exponential moving average of failures that decays with time."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._sampled_ms = 0.0

    def record(self, *, failed: bool, now_ms: float) -> None:
        """Count one finished run or call."""
        rate = self.rate(now_ms)
        self._rate = rate + SAMPLE_WEIGHT * (float(failed) - rate)
        self._sampled_ms = now_ms

    def rate(self, now_ms: float) -> float:
        """Return the failure rate, between 0 and 1."""
        age_ms = max(0.0, now_ms - self._sampled_ms)
        return self._rate * math.exp2(-age_ms / HALF_LIFE_MS)
