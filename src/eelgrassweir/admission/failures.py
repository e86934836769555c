"""Recent share of failures among runs or calls."""

import math

# One failure among many good runs must not move traffic.
SAMPLE_WEIGHT = 0.05
# Without runs nothing shows that they still fail, and only new runs can show
# that they do not.
HALF_LIFE_MS = 2_000.0


class FailureRate:
    """Average outcomes, newer ones more."""

    def __init__(self) -> None:
        self._share = 0.0
        self._sampled_ms = 0.0

    def record(self, *, failed: bool, now_ms: float) -> None:
        """Count one run."""
        share = self.rate(now_ms)
        self._share = share + SAMPLE_WEIGHT * (float(failed) - share)
        self._sampled_ms = now_ms

    def rate(self, now_ms: float) -> float:
        """Return the share of failed runs, between 0 and 1."""
        age_ms = max(0.0, now_ms - self._sampled_ms)
        return self._share * math.exp2(-age_ms / HALF_LIFE_MS)
