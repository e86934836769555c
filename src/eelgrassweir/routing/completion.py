"""Expected completion of a call at a target.

Load condition addressed: targets of one service that differ in speed, seen
through reports that are several seconds old.
"""

import math
from collections.abc import Iterable

import attrs

from eelgrassweir.routing.target_view import TargetView

# A reported load is outdated after some seconds, a reported speed later. Both
# then tend to the mean of the service: a target taken to be idle because its
# report is old would attract all entries.
LOAD_HALF_LIFE_MS = 1_500.0
SPEED_HALF_LIFE_MS = 5_000.0
MEANS_HALF_LIFE_MS = 2_000.0
# Below this utilization calls do not wait, so the run time alone decides.
HALF_FULL = 0.5
# Growth of the expected completion above half full. With 1.0, entries with old
# views overfilled the fast targets: at 0.95 of the capacity of 30 targets, the
# median latency was 693 ms, with 3.0 and the longer half-life 330 ms.
FULLNESS_EXPONENT = 3.0
# Bounds of a target's run time relative to the service's mean.
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 8.0
# A target this much slower than the others has become slow and gets probe
# traffic only: lasting differences are smaller. An entry that sends it a call
# every few seconds never sends a probe, so it tries the target again after
# this time.
SLOW_TARGET = 2.5
SLOW_HOLD_MS = 2_000.0


@attrs.frozen
class ServiceMeans:
    """Means over the targets of a service; 0 if unknown."""

    service_ms: float = 0.0
    utilization: float = 0.0
    limit_calls: float = 0.0


def compute_means(views: Iterable[TargetView], now_ms: float) -> ServiceMeans:
    """Average the reports, with less weight for older ones."""
    weight = speed_weight = service_ms = utilization = limit_calls = 0.0
    for view in views:
        if not view.has_report or not view.limit_calls:
            continue
        factor = math.exp2((view.reported_ms - now_ms) / MEANS_HALF_LIFE_MS)
        weight += factor
        utilization += factor * view.reported_calls / view.limit_calls
        limit_calls += factor * view.limit_calls
        if view.service_ms:
            speed_weight += factor
            service_ms += factor * view.service_ms
    return ServiceMeans(
        service_ms=service_ms / speed_weight if speed_weight else 0.0,
        utilization=utilization / weight if weight else 0.0,
        limit_calls=limit_calls / weight if weight else 0.0,
    )


def estimate_slowness(view: TargetView, means: ServiceMeans, now_ms: float) -> float:
    """Return the run time at the target relative to the service's mean."""
    if not view.service_ms or not means.service_ms:
        return 1.0
    ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, view.service_ms / means.service_ms))
    age_ms = now_ms - view.reported_ms
    if ratio > SLOW_TARGET and age_ms > SLOW_HOLD_MS:
        return 1.0
    return float(ratio ** math.exp2(-age_ms / SPEED_HALF_LIFE_MS))


def estimate_utilization(
    view: TargetView, means: ServiceMeans, limit_calls: int, now_ms: float
) -> float:
    """Return the utilization of the target with one more call."""
    reported = means.utilization
    if view.has_report:
        trust = math.exp2((view.reported_ms - now_ms) / LOAD_HALF_LIFE_MS)
        reported += trust * (view.reported_calls / limit_calls - means.utilization)
    return reported + (len(view.starts_ms) + 1) / limit_calls


def expected_completion(slowness: float, utilization: float) -> float:
    """Return the expected time of a call, in run times of a mean target.

    Above half full, it grows with the utilization, since calls then wait.
    """
    fullness = max(1.0, utilization / HALF_FULL)
    return float(slowness * fullness**FULLNESS_EXPONENT)
