"""Adaptive limit of the calls that run at once on one backend server."""

import enum
import math

import attrs

# Load of the backend server shows first in the latency. Below the first ratio
# to the baseline the limit may grow, above the second one it shrinks. Closer
# ratios (1.15, 1.4) sometimes kept a recovery out, wider ones (1.4, 2.0) held
# the limit too far above the knee.
HEALTHY_RATIO = 1.25
SLOW_RATIO = 1.6
# A factor down to 0.5 for higher latencies made recovery slower.
DECREASE_FACTOR = 0.75
# A refusal costs the backend server little, so the step is smaller.
REFUSED_FACTOR = 0.9
# Latency from concurrency falls with it. When so much less concurrency (three
# decreases) leaves so much of the latency, the service itself is slow.
USELESS_USE_FACTOR = 0.5
USELESS_LATENCY_FACTOR = 0.8
CLIMB_FACTOR = 1.6
# A limit far above the calls in flight is not tested by them. A burst then
# runs into it: goodput fell from 440 to 0 without announced slots.
CLIMB_USE = 0.5
FLOOR_CALLS = 3.0
# Used until the backend server has announced its slots.
DEFAULT_CEILING_CALLS = 1000
START_CALLS = 16.0
# 16 samples see a slower service a second later.
WINDOW_SAMPLES = 8
ERRORS = 2.0
VARIANCE_WEIGHT = 0.1
SHORTEST_MS = 0.01
WINDOW_MIN_MS = 10.0
BASELINE_SPAN_MS = 10_000.0
# While the limit is in use all the time, the baseline may have been measured
# over the knee. A lower limit for one latency shows it. A factor of 0.5 made
# 0.1% of the calls miss their deadlines at 0.9x load, 0.7 made none.
PROBE_FACTOR = 0.7
PROBE_INTERVAL_MS = 3_000.0
PROBE_INTERVAL_LATENCIES = 50.0


class Outcome(enum.Enum):
    """How a call to the backend server ended."""

    OK = "ok"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.define
class _Window:
    """Samples of about one latency.

    The logarithm keeps a few long calls from deciding alone. The error of the
    mean says how far a mix of short and long calls can move it by chance.
    """

    start_ms: float
    samples: int = 0
    log_sum: float = 0.0
    square_sum: float = 0.0
    peak_calls: int = 0

    def add(self, latency_ms: float, in_flight_calls: int) -> None:
        log = math.log(max(latency_ms, SHORTEST_MS))
        self.samples += 1
        self.log_sum += log
        self.square_sum += log * log
        self.peak_calls = max(self.peak_calls, in_flight_calls)

    @property
    def variance(self) -> float:
        mean = self.log_sum / self.samples
        return max(0.0, self.square_sum / self.samples - mean * mean)

    def latency_ms(self, errors: float = 0.0, variance: float = 0.0) -> float:
        """Return the geometric mean plus some standard errors."""
        error = math.sqrt(max(variance, self.variance) / self.samples)
        return math.exp(self.log_sum / self.samples + errors * error)


class ConcurrencyLimit:
    """Follow latency, use and refusals with a limit of concurrent calls.

    The limit grows by steps while it is in use and the latency is near the
    recent minimum, and shrinks by a factor at most once per latency. After a
    slow spell it climbs by a factor to where it was before. A service that has
    become slower by itself gets its limit back with a new baseline.
    """

    def __init__(self, *, ceiling_calls: int = DEFAULT_CEILING_CALLS) -> None:
        self._ceiling_calls = float(ceiling_calls)
        self._limit_calls = min(START_CALLS, self._ceiling_calls)
        self._climb_to_calls = self._ceiling_calls
        self._window: _Window | None = None
        self._baselines: list[tuple[float, float]] = []
        self._decreased_ms = float("-inf")
        self._is_slow = False
        self._worst_ms = 0.0
        self._worst_calls = 0
        self._variance = 0.0
        self._probed_ms = float("-inf")

    @property
    def limit_calls(self) -> int:
        """Return the number of calls that may run at once."""
        return max(1, int(self._limit_calls))

    @property
    def baseline_ms(self) -> float | None:
        """Return the lowest recent latency, None without any sample."""
        if not self._baselines:
            return None
        return min(latency_ms for _, latency_ms in self._baselines)

    def set_ceiling(self, slots: int) -> None:
        """Bound the limit by the announced slots; 0 means not announced."""
        ceiling_calls = float(slots if slots > 0 else DEFAULT_CEILING_CALLS)
        if ceiling_calls > self._ceiling_calls:
            self._climb_to_calls = ceiling_calls
        self._ceiling_calls = ceiling_calls
        self._set_limit(self._limit_calls)

    def record(
        self,
        *,
        latency_ms: float,
        outcome: Outcome,
        in_flight_calls: int,
        now_ms: float,
    ) -> None:
        """Learn from one call that ended; the latency excludes child calls."""
        # A call that started before the last decrease says nothing about it.
        if now_ms - latency_ms < self._decreased_ms:
            return
        if outcome is Outcome.TIMEOUT:
            self._decrease(now_ms, DECREASE_FACTOR)
            return
        if outcome is Outcome.REFUSED:
            self._record_refused(now_ms)
            return
        if not self._is_sample(latency_ms, outcome):
            return
        window = self._window
        if window is None:
            window = self._window = _Window(start_ms=now_ms - latency_ms)
        window.add(latency_ms, in_flight_calls)
        self._close_window(window, now_ms)

    def _record_refused(self, now_ms: float) -> None:
        # A refusal comes back early, so its own latency is no measure of when
        # the last decrease shows.
        if now_ms - self._decreased_ms >= (self.baseline_ms or 0.0):
            self._decrease(now_ms, REFUSED_FACTOR)

    def _is_sample(self, latency_ms: float, outcome: Outcome) -> bool:
        if outcome is Outcome.OK:
            return True
        # The latency of a cancelled call is a lower bound. It counts when it
        # is high, else callers that give up early would hide an overload.
        baseline_ms = self.baseline_ms
        return (
            outcome is Outcome.CANCELLED
            and baseline_ms is not None
            and latency_ms > SLOW_RATIO * baseline_ms
        )

    def _close_window(self, window: _Window, now_ms: float) -> None:
        if window.samples < WINDOW_SAMPLES:
            return
        latency_ms = window.latency_ms()
        if now_ms - window.start_ms < max(WINDOW_MIN_MS, latency_ms):
            return
        self._window = None
        variance = self._variance
        self._variance += VARIANCE_WEIGHT * (window.variance - variance)
        self._add_baseline(window.latency_ms(ERRORS, variance), now_ms)
        baseline_ms = self.baseline_ms or latency_ms
        if window.latency_ms(-ERRORS, variance) > SLOW_RATIO * baseline_ms:
            self._slow_window(window, now_ms)
            return
        if self._is_probe_due(window, latency_ms, now_ms):
            self._probe(now_ms)
            return
        if latency_ms <= HEALTHY_RATIO * baseline_ms:
            self._increase(window.peak_calls)

    def _is_probe_due(self, window: _Window, latency_ms: float, now_ms: float) -> bool:
        is_idle = window.peak_calls < PROBE_FACTOR * self._limit_calls
        if is_idle or math.isinf(self._probed_ms):
            self._probed_ms = now_ms
        interval_ms = max(PROBE_INTERVAL_MS, PROBE_INTERVAL_LATENCIES * latency_ms)
        return now_ms - self._probed_ms >= interval_ms

    def _probe(self, now_ms: float) -> None:
        if self._limit_calls >= self._climb_to_calls:
            self._climb_to_calls = self._limit_calls
        self._probed_ms = self._decreased_ms = now_ms
        self._set_limit(self._limit_calls * PROBE_FACTOR)

    def _add_baseline(self, latency_ms: float, now_ms: float) -> None:
        oldest_ms = now_ms - BASELINE_SPAN_MS
        kept = [b for b in self._baselines if b[0] > oldest_ms and b[1] < latency_ms]
        self._baselines = [*kept, (now_ms, latency_ms)]

    def _slow_window(self, window: _Window, now_ms: float) -> None:
        latency_ms = window.latency_ms()
        if not self._is_slow:
            self._worst_ms = 0.0
            self._worst_calls = 0
        has_little_use = window.peak_calls < USELESS_USE_FACTOR * self._worst_calls
        is_useless = has_little_use and (
            latency_ms > USELESS_LATENCY_FACTOR * self._worst_ms
        )
        self._worst_ms = max(self._worst_ms, latency_ms)
        self._worst_calls = max(self._worst_calls, window.peak_calls)
        if is_useless or self._limit_calls <= self._floor_calls:
            self._baselines = [(now_ms, latency_ms)]
            return
        self._decrease(now_ms, DECREASE_FACTOR)

    @property
    def _floor_calls(self) -> float:
        return min(FLOOR_CALLS, self._ceiling_calls)

    def _decrease(self, now_ms: float, factor: float) -> None:
        if not self._is_slow:
            self._is_slow = True
            self._climb_to_calls = self._limit_calls * factor
        self._decreased_ms = now_ms
        self._window = None
        self._set_limit(self._limit_calls * factor)

    def _increase(self, peak_calls: int) -> None:
        self._is_slow = False
        if self._limit_calls < self._climb_to_calls:
            if peak_calls < CLIMB_USE * self._limit_calls:
                return
            climbed_calls = self._limit_calls * CLIMB_FACTOR
            self._set_limit(min(climbed_calls, self._climb_to_calls))
            return
        if peak_calls * 1.25 >= self._limit_calls:
            self._set_limit(self._limit_calls + 1.0)

    def _set_limit(self, limit_calls: float) -> None:
        self._limit_calls = min(
            self._ceiling_calls, max(self._floor_calls, limit_calls)
        )


class NoLimit(ConcurrencyLimit):
    """Let every call run; the baseline of measurements."""

    @property
    def limit_calls(self) -> int:
        """Return a number that is never reached."""
        return 1_000_000

    def set_ceiling(self, slots: int) -> None:
        """Ignore the announced slots."""
