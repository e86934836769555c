"""Offered utilization of a target, and the share of its demand that fits.

Load condition: the calls of the admitted call trees need more slots than a
service below the roots has. The daemon beside each target updates this state
about every 100 ms and reports the share with its replies.
"""

import collections

import attrs

# Utilization of the gate's limit while the share is reduced. The limit is 95%
# of the announced slots, so about 90% of these are used.
TARGET_UTILIZATION = 0.95
# Without queueing the utilization may approach the limit, so that a target
# that has enough room for its demand refuses none of it.
MAX_TARGET_UTILIZATION = 0.99
TARGET_INCREASE = 0.004
BUCKET_COUNT = 4
# Trees arrive at a leaf this long after the share was in force: transit of the
# report, time above the leaf, and half of the window of the measurement.
MIN_DELAY_MS = 400.0
MAX_DELAY_MS = 1_100.0
# The calls of a tree follow one another, so the arriving ones belong to trees
# that began earlier by up to so many waits of a call.
EARLIER_CALLS = 5.0
HISTORY_MS = 4_000.0
# The backlog is to be worked off within this time, but with at most this part
# of the limit.
DRAIN_MS = 500.0
MAX_BACKLOG = 0.3
# A refused call is offered to up to four targets.
REFUSED_WEIGHT = 0.3
WAIT_SHARE = 0.25
MIN_SHARE = 0.05
DECREASE_WEIGHT = 0.6
INCREASE_PER_S = 0.5
# A target is short of capacity until this long after the last sign of it.
HOLD_MS = 500.0
# Backend servers may refuse at any load; below this utilization a refusal
# does not show a lack of slots.
MIN_REFUSAL_UTILIZATION = 0.8
# Roots are ordered and shed by the gate itself. Only where calls take up this
# part of the arrivals can shedding waste the work of other services.
MIN_CALLS_SHARE = 0.1


@attrs.define
class _Bucket:
    """Events at the gate between two updates."""

    duration_ms: float = 0.0
    arrivals: int = 0
    calls: int = 0
    refused: int = 0
    refused_by_backend: int = 0
    runs: int = 0
    run_ms: float = 0.0
    wait_ms: float = 0.0


class OfferedLoad:
    """Estimate demand at a target, and the share of it that has room.

    The demand is the offered utilization divided by the share that was in
    force when the trees were admitted whose calls arrive now. A control loop
    that integrates the utilization instead oscillates with this delay.
    """

    def __init__(self) -> None:
        self._bucket = _Bucket()
        self._buckets: collections.deque[_Bucket] = collections.deque(
            maxlen=BUCKET_COUNT
        )
        # Share in force over time, oldest first.
        self._history: collections.deque[tuple[float, float]] = collections.deque()
        self._updated_ms: float | None = None
        self._run_ms = 0.0
        self._backlog = 0.0
        self._wait_ms = 0.0
        self._target = TARGET_UTILIZATION
        self._overloaded_ms = float("-inf")
        self._reduced_ms = float("-inf")
        self.share = 1.0
        self.utilization = 0.0

    def record_arrival(self, *, is_call: bool) -> None:
        """Count a request that arrives at the gate."""
        self._bucket.arrivals += 1
        self._bucket.calls += is_call

    def record_refusal(self, *, by_backend: bool) -> None:
        """Count a request that the gate or the backend server refused."""
        self._bucket.refused += 1
        self._bucket.refused_by_backend += by_backend

    def record_run(self, run_ms: float, wait_ms: float) -> None:
        """Record a finished run and its wait at the gate."""
        self._bucket.runs += 1
        self._bucket.run_ms += run_ms
        self._bucket.wait_ms += wait_ms

    def update(self, *, limit_calls: int, queued_calls: int, now_ms: float) -> None:
        """Close the current bucket and adjust the share."""
        elapsed_ms = now_ms - (self._updated_ms or now_ms)
        is_first = self._updated_ms is None
        self._updated_ms = now_ms
        if is_first or elapsed_ms <= 0:
            return
        self._bucket.duration_ms = elapsed_ms
        self._buckets.append(self._bucket)
        self._bucket = _Bucket()
        if len(self._buckets) < BUCKET_COUNT:
            return
        window = _sum_buckets(self._buckets)
        self._measure(window, limit_calls, queued_calls)
        self._detect_overload(window, now_ms)
        self._adjust_share(elapsed_ms, now_ms)

    def is_reported(self, now_ms: float, keep_ms: float) -> bool:
        """Return whether the share is below 1 or was so recently."""
        return now_ms - self._reduced_ms <= keep_ms

    def _measure(self, window: _Bucket, limit_calls: int, queued_calls: int) -> None:
        if window.runs:
            self._run_ms = window.run_ms / window.runs
            self._wait_ms = window.wait_ms / window.runs
        extra_refused = (1.0 - REFUSED_WEIGHT) * window.refused
        arrivals = max(0.0, window.arrivals - extra_refused)
        run_share = self._run_ms / max(1, limit_calls)
        utilization = arrivals / window.duration_ms * run_share
        self._backlog = min(MAX_BACKLOG, queued_calls / DRAIN_MS * run_share)
        self.utilization = utilization

    def _detect_overload(self, window: _Bucket, now_ms: float) -> None:
        if window.calls < MIN_CALLS_SHARE * window.arrivals:
            return
        waits = window.wait_ms > WAIT_SHARE * window.run_ms
        refused = window.refused
        if self.utilization < MIN_REFUSAL_UTILIZATION:
            refused -= window.refused_by_backend
        if waits or refused > 0:
            self._overloaded_ms = now_ms
            self._target = TARGET_UTILIZATION
        else:
            self._target = min(MAX_TARGET_UTILIZATION, self._target + TARGET_INCREASE)

    def _adjust_share(self, elapsed_ms: float, now_ms: float) -> None:
        wanted = 1.0
        is_overloaded = now_ms - self._overloaded_ms <= HOLD_MS
        if is_overloaded or self.share < 1.0:
            demand = self.utilization / self._share_of_arrivals(now_ms)
            target = self._target - self._backlog
            wanted = min(1.0, target / max(demand, 0.01))
        change = wanted - self.share
        if change < 0:
            change *= DECREASE_WEIGHT
        else:
            change = min(change, INCREASE_PER_S * elapsed_ms / 1e3)
        self.share = max(MIN_SHARE, self.share + change)
        if self.share < 1.0:
            self._reduced_ms = now_ms
        self._history.append((now_ms, self.share))
        while self._history[0][0] < now_ms - HISTORY_MS:
            self._history.popleft()

    def _share_of_arrivals(self, now_ms: float) -> float:
        """Return the mean share in force when the arriving trees began."""
        earliest_ms = now_ms - MAX_DELAY_MS - EARLIER_CALLS * self._wait_ms
        latest_ms = now_ms - MIN_DELAY_MS
        shares = [
            share for at_ms, share in self._history if earliest_ms <= at_ms <= latest_ms
        ]
        return sum(shares) / len(shares) if shares else 1.0


def _sum_buckets(buckets: collections.deque[_Bucket]) -> _Bucket:
    total = _Bucket()
    for bucket in buckets:
        total.duration_ms += bucket.duration_ms
        total.arrivals += bucket.arrivals
        total.calls += bucket.calls
        total.refused += bucket.refused
        total.refused_by_backend += bucket.refused_by_backend
        total.runs += bucket.runs
        total.run_ms += bucket.run_ms
        total.wait_ms += bucket.wait_ms
    return total
