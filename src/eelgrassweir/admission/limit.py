"""Adaptive limit of the concurrent calls to one backend server.

The daemon's gate admits calls up to this limit.
"""

import enum
import math

import attrs

# Load on a backend server shows first in its latency. The limit may grow while
# the ratio of latency to baseline is below HEALTHY_RATIO and shrinks above
# SLOW_RATIO. Ratios of 1.15 and 1.4 sometimes prevented recovery; ratios of
# 1.4 and 2.0 kept the limit too far above the knee of the latency curve.
HEALTHY_RATIO = 1.25
SLOW_RATIO = 1.6
# Factors as low as 0.5 for higher latencies slowed down recovery.
DECREASE_FACTOR = 0.75
# A refusal costs the backend server little, so it decreases the limit less.
REFUSED_DECREASE_FACTOR = 0.9
# Latency caused by concurrency falls with it. If the latency stays above the
# second factor of its peak although concurrency fell below the first factor
# (three decreases), the service itself is slow and the baseline is reset.
BASELINE_RESET_CALLS_FACTOR = 0.5
BASELINE_RESET_LATENCY_FACTOR = 0.8
RECOVERY_FACTOR = 1.6
# While fewer calls than this share of the limit are in flight, they do not
# show that the limit is safe. Raising it regardless let a burst overload the
# server: goodput fell from 440 to 0 without announced slots.
RECOVERY_MIN_UTILIZATION = 0.5
MIN_LIMIT_CALLS = 3.0
# Ceiling until the backend server has announced its slots.
DEFAULT_CEILING_CALLS = 1000
INITIAL_LIMIT_CALLS = 16.0
# With 16 samples a slowdown of the service is detected a second later.
WINDOW_SAMPLES = 8
STANDARD_ERRORS = 2.0
VARIANCE_WEIGHT = 0.1
MIN_LATENCY_MS = 0.01
MIN_WINDOW_MS = 10.0
BASELINE_WINDOW_MS = 10_000.0
# A baseline measured under constant full use may lie above the knee of the
# latency curve. Lowering the limit for one latency reveals the true minimum.
# With a factor of 0.5, 0.1% of the calls missed their deadlines at 0.9x load,
# with 0.7 none did.
PROBE_FACTOR = 0.7
PROBE_INTERVAL_MS = 3_000.0
PROBE_INTERVAL_LATENCIES = 50.0


class Outcome(enum.Enum):
    """Outcome of a call to the backend server."""

    OK = "ok"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.define
class _Window:
    """Latency samples that span at least about one call latency.

    Averaging logarithms limits the weight of a few long calls. The standard
    error says how far a mix of short and long calls can move the mean by
    chance.
    """

    start_ms: float
    samples: int = 0
    log_sum: float = 0.0
    square_sum: float = 0.0
    peak_calls: int = 0

    def add(self, latency_ms: float, in_flight_calls: int) -> None:
        log = math.log(max(latency_ms, MIN_LATENCY_MS))
        self.samples += 1
        self.log_sum += log
        self.square_sum += log * log
        self.peak_calls = max(self.peak_calls, in_flight_calls)

    @property
    def variance(self) -> float:
        mean = self.log_sum / self.samples
        return max(0.0, self.square_sum / self.samples - mean * mean)

    def latency_ms(self, errors: float = 0.0, variance: float = 0.0) -> float:
        """Return the geometric mean plus ``errors`` standard errors.

        ``variance`` is a lower bound for the variance of the logarithms.
        """
        error = math.sqrt(max(variance, self.variance) / self.samples)
        return math.exp(self.log_sum / self.samples + errors * error)


class ConcurrencyLimit:
    """Adapt the number of concurrent calls to latency and refusals.

    The limit follows additive increase, multiplicative decrease: it grows by
    one while it is used and the latency is near the recent minimum, and
    shrinks by a factor at most once per latency. After a slow period it
    recovers by a factor to about its previous value. If the service itself has
    become slower, the baseline is reset and the limit recovers.
    """

    def __init__(self, *, ceiling_calls: int = DEFAULT_CEILING_CALLS) -> None:
        self._ceiling_calls = float(ceiling_calls)
        self._limit_calls = min(INITIAL_LIMIT_CALLS, self._ceiling_calls)
        self._recovery_target_calls = self._ceiling_calls
        self._window: _Window | None = None
        self._baselines: list[tuple[float, float]] = []
        self._decreased_ms = float("-inf")
        self._is_slow = False
        self._slow_peak_latency_ms = 0.0
        self._slow_peak_calls = 0
        self._variance = 0.0
        self._probed_ms = float("-inf")

    @property
    def limit_calls(self) -> int:
        """Return the number of calls that may run at once."""
        return max(1, int(self._limit_calls))

    @property
    def baseline_ms(self) -> float | None:
        """Return the lowest recent latency, or None without samples."""
        if not self._baselines:
            return None
        return min(latency_ms for _, latency_ms in self._baselines)

    def set_ceiling(self, slots: int) -> None:
        """Set the upper bound of the limit; 0 means no slots announced."""
        ceiling_calls = float(slots if slots > 0 else DEFAULT_CEILING_CALLS)
        if ceiling_calls > self._ceiling_calls:
            self._recovery_target_calls = ceiling_calls
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
        """Update the limit from a finished call.

        :param latency_ms: time of the call without that of its child calls.
        """
        # A call that started before the last decrease doesn't show its effect.
        if now_ms - latency_ms < self._decreased_ms:
            return
        if outcome is Outcome.TIMEOUT:
            self._decrease(now_ms, DECREASE_FACTOR)
            return
        if outcome is Outcome.REFUSED:
            self._record_refusal(now_ms)
            return
        if not self._is_sample(latency_ms, outcome):
            return
        window = self._window
        if window is None:
            window = self._window = _Window(start_ms=now_ms - latency_ms)
        window.add(latency_ms, in_flight_calls)
        self._close_window(window, now_ms)

    def _record_refusal(self, now_ms: float) -> None:
        # A refusal returns early, so its own latency does not tell when the
        # last decrease takes effect.
        if now_ms - self._decreased_ms >= (self.baseline_ms or 0.0):
            self._decrease(now_ms, REFUSED_DECREASE_FACTOR)

    def _is_sample(self, latency_ms: float, outcome: Outcome) -> bool:
        if outcome is Outcome.OK:
            return True
        # The latency of a cancelled call is only a lower bound. High ones are
        # counted, since callers that give up early would hide an overload.
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
        if now_ms - window.start_ms < max(MIN_WINDOW_MS, latency_ms):
            return
        self._window = None
        variance = self._variance
        self._variance += VARIANCE_WEIGHT * (window.variance - variance)
        self._add_baseline(window.latency_ms(STANDARD_ERRORS, variance), now_ms)
        baseline_ms = self.baseline_ms or latency_ms
        if window.latency_ms(-STANDARD_ERRORS, variance) > SLOW_RATIO * baseline_ms:
            self._handle_slow_window(window, now_ms)
            return
        if self._is_probe_due(window, latency_ms, now_ms):
            self._probe(now_ms)
            return
        if latency_ms <= HEALTHY_RATIO * baseline_ms:
            self._increase(window.peak_calls)

    def _is_probe_due(self, window: _Window, latency_ms: float, now_ms: float) -> bool:
        is_underused = window.peak_calls < PROBE_FACTOR * self._limit_calls
        if is_underused or math.isinf(self._probed_ms):
            self._probed_ms = now_ms
        interval_ms = max(PROBE_INTERVAL_MS, PROBE_INTERVAL_LATENCIES * latency_ms)
        return now_ms - self._probed_ms >= interval_ms

    def _probe(self, now_ms: float) -> None:
        if self._limit_calls >= self._recovery_target_calls:
            self._recovery_target_calls = self._limit_calls
        self._probed_ms = self._decreased_ms = now_ms
        self._set_limit(self._limit_calls * PROBE_FACTOR)

    def _add_baseline(self, latency_ms: float, now_ms: float) -> None:
        oldest_ms = now_ms - BASELINE_WINDOW_MS
        kept = [b for b in self._baselines if b[0] > oldest_ms and b[1] < latency_ms]
        self._baselines = [*kept, (now_ms, latency_ms)]

    def _handle_slow_window(self, window: _Window, now_ms: float) -> None:
        latency_ms = window.latency_ms()
        if not self._is_slow:
            self._slow_peak_latency_ms = 0.0
            self._slow_peak_calls = 0
        has_reduced_concurrency = (
            window.peak_calls < BASELINE_RESET_CALLS_FACTOR * self._slow_peak_calls
        )
        is_service_slow = has_reduced_concurrency and (
            latency_ms > BASELINE_RESET_LATENCY_FACTOR * self._slow_peak_latency_ms
        )
        self._slow_peak_latency_ms = max(self._slow_peak_latency_ms, latency_ms)
        self._slow_peak_calls = max(self._slow_peak_calls, window.peak_calls)
        if is_service_slow or self._limit_calls <= self._min_limit_calls:
            self._baselines = [(now_ms, latency_ms)]
            return
        self._decrease(now_ms, DECREASE_FACTOR)

    @property
    def _min_limit_calls(self) -> float:
        return min(MIN_LIMIT_CALLS, self._ceiling_calls)

    def _decrease(self, now_ms: float, factor: float) -> None:
        if not self._is_slow:
            self._is_slow = True
            self._recovery_target_calls = self._limit_calls * factor
        self._decreased_ms = now_ms
        self._window = None
        self._set_limit(self._limit_calls * factor)

    def _increase(self, peak_calls: int) -> None:
        self._is_slow = False
        if self._limit_calls < self._recovery_target_calls:
            if peak_calls < RECOVERY_MIN_UTILIZATION * self._limit_calls:
                return
            raised_calls = self._limit_calls * RECOVERY_FACTOR
            self._set_limit(min(raised_calls, self._recovery_target_calls))
            return
        if peak_calls * 1.25 >= self._limit_calls:
            self._set_limit(self._limit_calls + 1.0)

    def _set_limit(self, limit_calls: float) -> None:
        self._limit_calls = min(
            self._ceiling_calls, max(self._min_limit_calls, limit_calls)
        )


class NoLimit(ConcurrencyLimit):
    """Disabled limit that admits all calls, for comparison in experiments."""

    @property
    def limit_calls(self) -> int:
        """Return a number that is not reached in practice."""
        return 1_000_000

    def set_ceiling(self, slots: int) -> None:
        """Ignore the announced slots."""
