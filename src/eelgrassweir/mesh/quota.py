"""A daemon's part of every team's rate."""

from collections.abc import Callable

import attrs

from eelgrassweir.clock import Clock
from eelgrassweir.routing.rules import TeamRule

# Part of one second's rate that a bucket holds beyond the burst. The rate is
# judged over a window of several seconds with some overage, so the buckets of
# all daemons together may hold this much more.
EXTRA_DEPTH_S = 0.4
# A process that has just started cannot know what the one before it spent.
START_LEVEL = 0.5
LEAST_DEPTH_CALLS = 2.0
LONGEST_RETRY_MS = 1_000.0


@attrs.define
class _Bucket:
    level_calls: float
    updated_ms: float


class QuotaShare:
    """Split each team's rate evenly over the daemons."""

    def __init__(self, clock: Clock, daemons: Callable[[], int]) -> None:
        self._clock = clock
        self._daemons = daemons
        self._buckets: dict[str, _Bucket] = {}

    def take(self, team: TeamRule) -> int:
        """Take one call of the team's rate.

        Return 0 if it is allowed, else the ms after which it may be.
        """
        if team.rate_per_s <= 0:
            return 0
        now_ms = self._clock.now_ms()
        daemons = max(1, self._daemons())
        rate_per_ms = team.rate_per_s / daemons / 1e3
        depth = team.burst_calls + EXTRA_DEPTH_S * team.rate_per_s
        depth_calls = max(LEAST_DEPTH_CALLS, depth / daemons)
        bucket = self._buckets.get(team.name)
        if bucket is None:
            bucket = _Bucket(depth_calls * START_LEVEL, now_ms)
            self._buckets[team.name] = bucket
        added = (now_ms - bucket.updated_ms) * rate_per_ms
        bucket.level_calls = min(depth_calls, bucket.level_calls + added)
        bucket.updated_ms = now_ms
        if bucket.level_calls >= 1.0:
            bucket.level_calls -= 1.0
            return 0
        wait_ms = (1.0 - bucket.level_calls) / rate_per_ms
        return max(1, int(min(LONGEST_RETRY_MS, wait_ms)))

    def give_back(self, team: TeamRule) -> None:
        """Put back a call that did not run."""
        bucket = self._buckets.get(team.name)
        if bucket is not None:
            bucket.level_calls += 1.0

    def state(self) -> dict[str, float]:
        """Return the levels for the dump."""
        return {name: bucket.level_calls for name, bucket in self._buckets.items()}
