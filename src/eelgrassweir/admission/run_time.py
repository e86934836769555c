"""Mean run time and stalls of the local backend server.

Load condition addressed: backend servers of one service that differ in speed,
pause, or become slow. The mesh daemon's load reports use it.
"""

import math

import attrs

# The mean follows a change of the backend server's speed within about 1 s.
HALF_LIFE_MS = 1_000.0
# With less weight than that of about one recent run the mean is chance.
MIN_WEIGHT = 0.5
# A backend server with a single run in progress ends one in each run time.
STALLED_RUN_TIMES = 2.0


@attrs.define
class RunTimes:
    """Decayed mean of recent run times, and the last end of a run."""

    _running_calls: int = 0
    _weight: float = 0.0
    _weighted_sum_ms: float = 0.0
    _decayed_ms: float = 0.0
    _progress_ms: float = 0.0

    def record_start(self, now_ms: float) -> None:
        """Count a run that starts."""
        if not self._running_calls:
            self._progress_ms = now_ms
        self._running_calls += 1

    def record_end(self) -> None:
        """Count the end of a run, whatever its outcome."""
        self._running_calls = max(0, self._running_calls - 1)

    def record_answer(self, run_ms: float, now_ms: float, *, is_failed: bool) -> None:
        """Record a response; failed runs may be short and are no samples."""
        self._progress_ms = now_ms
        if is_failed:
            return
        self._decay(now_ms)
        self._weight += 1.0
        self._weighted_sum_ms += run_ms

    def service_ms(self, now_ms: float) -> float:
        """Return the mean time of recent runs, 0 without any."""
        self._decay(now_ms)
        if self._weight < MIN_WEIGHT:
            return 0.0
        return self._weighted_sum_ms / self._weight

    def stalled_ms(self, now_ms: float) -> float:
        """Return the time without progress, 0 if it is a usual one."""
        if not self._running_calls:
            return 0.0
        stalled_ms = now_ms - self._progress_ms
        mean_ms = self._weighted_sum_ms / self._weight if self._weight else math.inf
        return stalled_ms if stalled_ms > STALLED_RUN_TIMES * mean_ms else 0.0

    def _decay(self, now_ms: float) -> None:
        factor = math.exp2((self._decayed_ms - now_ms) / HALF_LIFE_MS)
        self._weight *= factor
        self._weighted_sum_ms *= factor
        self._decayed_ms = now_ms
