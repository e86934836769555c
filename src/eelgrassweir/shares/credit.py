"""Rate of teams by prepaid tokens: spent when lent, nothing is reported back.

A holder keeps one bucket a team. What it lends counts as spent, so an entry
that dies or pauses creates nothing, and one call covers half a second of
demand. ``lent_rate`` leaves room for the tokens that entries hold.
"""

import math
from collections.abc import Mapping

import attrs

# Demand is covered for this long ahead, and asked for again below the second.
AHEAD_S = 0.5
LOW_WATER_S = 0.2
DEMAND_MEMORY_MS = 1_000.0
# A burst may come in every window over which a rate is judged. This share of
# it can be lent at once, the rest is spread over the window.
DEPTH_SHARE = 0.35
# A new holder cannot know what the one before it lent.
START_SHARE = 0.4
# An entry that found no tokens asks again after this time at the earliest.
SHORTEST_PAUSE_MS = 60
LONGEST_PAUSE_MS = 1_000


@attrs.frozen(kw_only=True)
class BucketLimits:
    """Rate and depth of one team's bucket at one holder."""

    rate_per_s: float
    depth_calls: float


def compute_bucket_limits(
    *, rate_per_s: float, burst_calls: float, window_s: float, factor: float
) -> BucketLimits:
    """Return the bucket of a team over all holders.

    In no window do the bucket and the tokens that entries hold let more
    through than ``factor`` times the rate over the window and the burst.
    """
    allowed_calls = (rate_per_s * window_s + burst_calls) * factor
    depth_calls = max(1.0, burst_calls * DEPTH_SHARE)
    rate_per_s = max(0.0, allowed_calls - depth_calls) / (window_s + AHEAD_S)
    return BucketLimits(rate_per_s=rate_per_s, depth_calls=depth_calls)


@attrs.define
class _Bucket:
    part: BucketLimits
    level_calls: float
    updated_ms: float

    def refill(self, now_ms: float) -> None:
        added = self.part.rate_per_s * (now_ms - self.updated_ms) / 1e3
        self.level_calls = min(self.part.depth_calls, self.level_calls + added)
        self.updated_ms = now_ms


@attrs.frozen
class Credit:
    """Hold the tokens lent, or when to ask again if there are none."""

    tokens: int
    retry_after_ms: int


class CreditHolder:
    """Lend the tokens of one failure domain."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def set_limits(self, parts: Mapping[str, BucketLimits], now_ms: float) -> None:
        """Replace the parts of all teams; a team not listed gets nothing."""
        for team in self._buckets.keys() - parts.keys():
            del self._buckets[team]
        for team, part in parts.items():
            bucket = self._buckets.get(team)
            if bucket is None:
                level_calls = part.depth_calls * START_SHARE
                self._buckets[team] = _Bucket(part, level_calls, now_ms)
                continue
            bucket.refill(now_ms)
            bucket.part = part
            bucket.refill(now_ms)

    def lend(self, team: str, wanted: int, now_ms: float) -> Credit:
        """Lend up to ``wanted`` tokens, half of what is left at most."""
        bucket = self._buckets.get(team)
        if bucket is None or wanted <= 0:
            return Credit(0, LONGEST_PAUSE_MS)
        bucket.refill(now_ms)
        tokens = min(wanted, math.ceil(math.floor(bucket.level_calls) / 2))
        bucket.level_calls -= tokens
        if tokens:
            return Credit(tokens, 0)
        missing_calls = 1.0 - bucket.level_calls
        rate_per_ms = bucket.part.rate_per_s / 1e3
        wait_ms = missing_calls / rate_per_ms if rate_per_ms else LONGEST_PAUSE_MS
        pause_ms = min(LONGEST_PAUSE_MS, max(SHORTEST_PAUSE_MS, wait_ms))
        return Credit(0, int(pause_ms))

    def state(self, now_ms: float) -> dict[str, float]:
        """Return the levels for the dump."""
        for bucket in self._buckets.values():
            bucket.refill(now_ms)
        return {team: bucket.level_calls for team, bucket in self._buckets.items()}


@attrs.define
class _Account:
    level_calls: float = 0.0
    demand_per_s: float = 0.0
    noted_ms: float = 0.0
    refused_until_ms: float = 0.0

    def demand_now(self, now_ms: float) -> float:
        age_ms = max(0.0, now_ms - self.noted_ms)
        return self.demand_per_s * math.exp(-age_ms / DEMAND_MEMORY_MS)


class CreditAccounts:
    """Spend the tokens that one entry holds and say what to ask for."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    def record_demand(self, team: str, now_ms: float) -> None:
        """Count one request, whether it gets a token or not."""
        account = self._accounts.setdefault(team, _Account(noted_ms=now_ms))
        account.demand_per_s = account.demand_now(now_ms) + 1e3 / DEMAND_MEMORY_MS
        account.noted_ms = now_ms

    def take(self, team: str) -> bool:
        """Spend one token if there is one."""
        account = self._accounts.get(team)
        if account is None or account.level_calls < 1.0:
            return False
        account.level_calls -= 1.0
        return True

    def add(self, team: str, tokens: float) -> None:
        """Take in lent tokens, or one whose request did not run."""
        account = self._accounts.setdefault(team, _Account())
        account.level_calls += tokens
        account.refused_until_ms = 0.0

    def back_off(self, team: str, retry_after_ms: int, now_ms: float) -> None:
        """Ask no holder again before ``retry_after_ms`` have passed."""
        account = self._accounts.setdefault(team, _Account())
        account.refused_until_ms = now_ms + retry_after_ms

    def backoff_left_ms(self, team: str, now_ms: float) -> int:
        """Return for how long no holder is asked for the team."""
        account = self._accounts.get(team)
        left_ms = account.refused_until_ms - now_ms if account else 0.0
        return max(0, math.ceil(left_ms))

    def is_low(self, team: str, now_ms: float) -> bool:
        """Tell whether tokens of the team should be asked for."""
        return self._is_low(self._accounts[team], now_ms)

    def plan_borrow(self, now_ms: float, needed: str) -> dict[str, int]:
        """Return what to ask for: ``needed`` and all teams that run low."""
        wanted = {}
        for team, account in self._accounts.items():
            if team != needed and not self._is_low(account, now_ms):
                continue
            ahead_calls = account.demand_now(now_ms) * AHEAD_S
            wanted[team] = max(1, math.ceil(ahead_calls - account.level_calls))
        return wanted

    def state(self, now_ms: float) -> dict[str, dict[str, float]]:
        """Return tokens and demand for the dump."""
        return {
            team: {
                "level_calls": account.level_calls,
                "demand_per_s": account.demand_now(now_ms),
            }
            for team, account in self._accounts.items()
        }

    def _is_low(self, account: _Account, now_ms: float) -> bool:
        if now_ms < account.refused_until_ms:
            return False
        return account.level_calls < account.demand_now(now_ms) * LOW_WATER_S
