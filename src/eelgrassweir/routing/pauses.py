"""Detection of paused targets, and the share of calls that probes them.

Load condition addressed: backend servers that pause for some hundred ms, or
become slow for seconds, while their links stay alive.
"""

import attrs

from eelgrassweir.routing.completion import ServiceMeans
from eelgrassweir.routing.target_view import TargetView

# A call is late if it takes this many mean deviations longer than the mean of
# its service, and twice the mean. Factor and weights are those of TCP's
# retransmission timeout (RFC 6298).
LATE_DEVIATIONS = 4.0
MIN_LATE_FACTOR = 2.0
MIN_LATE_MS = 50.0
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
# A reported stall, and a late call that ended without a response, count for
# this long, so that the next call is a probe about a second later.
PAUSE_HOLD_MS = 1_000.0
# Share of its usual calls that probes a paused or very slow target.
PROBE_SHARE = 0.05
MIN_PROBES_PER_S = 1.0


@attrs.define
class AnswerTimes:
    """Mean and mean deviation of the answer times of a service."""

    mean_ms: float = 0.0
    deviation_ms: float = 0.0

    def record(self, answer_ms: float) -> None:
        """Record the time from the start of a call to its response."""
        if not self.mean_ms:
            self.mean_ms, self.deviation_ms = answer_ms, answer_ms / 2
            return
        error_ms = answer_ms - self.mean_ms
        self.deviation_ms += DEVIATION_WEIGHT * (abs(error_ms) - self.deviation_ms)
        self.mean_ms += MEAN_WEIGHT * error_ms

    def late_ms(self) -> float | None:
        """Return the time after which a call is late, None if unknown."""
        if not self.mean_ms:
            return None
        deviations_ms = LATE_DEVIATIONS * self.deviation_ms
        usual_ms = max(MIN_LATE_FACTOR * self.mean_ms, self.mean_ms + deviations_ms)
        return max(MIN_LATE_MS, usual_ms)


def is_paused(view: TargetView, late_ms: float | None, now_ms: float) -> bool:
    """Return whether the target is taken to be paused.

    A late call alone may be a long run, so no other call may have been
    answered for as long.
    """
    if late_ms is None:
        return False
    if now_ms < view.paused_until_ms:
        return True
    if view.stalled_ms > late_ms and now_ms - view.reported_ms < PAUSE_HOLD_MS:
        return True
    if not view.starts_ms:
        return False
    oldest_ms = next(iter(view.starts_ms.values()))
    return now_ms - max(oldest_ms, view.answered_ms) > late_ms


def hold_pause(
    view: TargetView, started_ms: float, late_ms: float | None, now_ms: float
) -> None:
    """Remember a late call that ended without a response."""
    unanswered_ms = now_ms - max(started_ms, view.answered_ms)
    if late_ms is not None and unanswered_ms > late_ms:
        view.paused_until_ms = now_ms + PAUSE_HOLD_MS


def probe_share(means: ServiceMeans) -> float:
    """Return the share of a target's usual calls that probes it.

    It is the same at all entries, so that they probe a target about once a
    second together, however few calls each of them sends.
    """
    if not means.service_ms or not means.limit_calls:
        return PROBE_SHARE
    calls = means.utilization * means.limit_calls
    calls_per_s = 1e3 * calls / means.service_ms
    if calls_per_s <= MIN_PROBES_PER_S:
        return 1.0
    return max(PROBE_SHARE, MIN_PROBES_PER_S / calls_per_s)
