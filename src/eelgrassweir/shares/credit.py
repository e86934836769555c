"""Token buckets of teams whose tokens count as spent when they are lent.

A holder keeps one bucket per team, and entries report nothing back, so an
entry that dies or pauses cannot create tokens. One call covers half a second
of demand. ``compute_bucket_limits`` allows for the tokens that entries hold.
The mesh lends tokens in this way.
"""

import collections
import math
from collections.abc import Mapping

import attrs

# Tokens are borrowed to cover the demand of LOOKAHEAD_S, and requested again
# when they cover less than LOW_WATER_S.
LOOKAHEAD_S = 0.5
LOW_WATER_S = 0.2
# Tokens are borrowed ahead only for a demand of several requests a time
# constant. An entry that seldom sees a team would keep them unused.
MIN_AHEAD_DEMAND_PER_S = 2.5
# Time constant of the exponential moving average of the demand.
DEMAND_TIME_CONSTANT_MS = 1_000.0
# Every window over which a rate is judged allows one burst. This fraction of
# it can be lent at once, the rest is spread over the window.
DEPTH_FRACTION = 0.35
# Parts of the slack of a window that deepen the bucket and add to its rate.
# The rest covers tokens that two holders lend at the same time.
DEPTH_SLACK_SHARE = 0.4
REFILL_SLACK_SHARE = 0.2
# Buckets start at this fraction of their depth, because a new holder does not
# know what its predecessor lent.
INITIAL_LEVEL_FRACTION = 0.4
# Tokens lapse this long after they were borrowed. Without an end, those that
# many entries have left over would be spent beside a whole window's tokens.
TOKEN_LIFETIME_MS = 2_000.0
# Bounds of the time after which an entry without tokens asks again.
MIN_RETRY_MS = 60
MAX_RETRY_MS = 1_000


@attrs.frozen(kw_only=True)
class BucketLimits:
    """Rate and depth of one team's bucket at one holder.

    ``rate_per_s`` is in calls per second.
    """

    rate_per_s: float
    depth_calls: float

    def split(self, count: int) -> "BucketLimits":
        """Return the limits of one of ``count`` equal parts."""
        return BucketLimits(
            rate_per_s=self.rate_per_s / count,
            depth_calls=max(1.0, self.depth_calls / count),
        )


def compute_bucket_limits(
    *,
    rate_per_s: float,
    burst_calls: float,
    window_s: float,
    factor: float,
    slack_calls: float = 0.0,
) -> BucketLimits:
    """Return the bucket of a team over all holders.

    In any window of ``window_s``, the bucket and the tokens that entries hold
    admit at most ``factor * (rate_per_s * window_s + burst_calls)`` calls, and
    in addition the part of ``slack_calls`` that may be lent.
    """
    allowed_calls = (rate_per_s * window_s + burst_calls) * factor
    depth_calls = max(1.0, burst_calls * DEPTH_FRACTION)
    refilled_calls = max(0.0, allowed_calls - depth_calls)
    refilled_calls += slack_calls * REFILL_SLACK_SHARE
    return BucketLimits(
        rate_per_s=refilled_calls / (window_s + LOOKAHEAD_S),
        depth_calls=depth_calls + slack_calls * DEPTH_SLACK_SHARE,
    )


@attrs.define
class _Bucket:
    limits: BucketLimits
    level_calls: float
    updated_ms: float

    def refill(self, now_ms: float) -> None:
        added = self.limits.rate_per_s * (now_ms - self.updated_ms) / 1e3
        self.level_calls = min(self.limits.depth_calls, self.level_calls + added)
        self.updated_ms = now_ms


@attrs.frozen
class CreditGrant:
    """Tokens lent, or the time after which to ask again if none."""

    tokens: int
    retry_after_ms: int


class CreditHolder:
    """Lend the tokens of one failure domain."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def set_limits(
        self, limits_by_team: Mapping[str, BucketLimits], now_ms: float
    ) -> None:
        """Replace the limits of all teams; a team not listed gets nothing."""
        for team in self._buckets.keys() - limits_by_team.keys():
            del self._buckets[team]
        for team, limits in limits_by_team.items():
            bucket = self._buckets.get(team)
            if bucket is None:
                level_calls = limits.depth_calls * INITIAL_LEVEL_FRACTION
                self._buckets[team] = _Bucket(limits, level_calls, now_ms)
                continue
            bucket.refill(now_ms)
            bucket.limits = limits
            bucket.refill(now_ms)

    def lend(self, team: str, wanted: int, now_ms: float) -> CreditGrant:
        """Lend up to ``wanted`` tokens, at most half of those left."""
        bucket = self._buckets.get(team)
        if bucket is None or wanted <= 0:
            return CreditGrant(0, MAX_RETRY_MS)
        bucket.refill(now_ms)
        tokens = min(wanted, math.ceil(math.floor(bucket.level_calls) / 2))
        bucket.level_calls -= tokens
        if tokens:
            return CreditGrant(tokens, 0)
        missing_calls = 1.0 - bucket.level_calls
        rate_per_ms = bucket.limits.rate_per_s / 1e3
        wait_ms = missing_calls / rate_per_ms if rate_per_ms else MAX_RETRY_MS
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))
        return CreditGrant(0, int(retry_ms))

    def state(self, now_ms: float) -> dict[str, float]:
        """Return the bucket level of each team for the dump."""
        for bucket in self._buckets.values():
            bucket.refill(now_ms)
        return {team: bucket.level_calls for team, bucket in self._buckets.items()}


@attrs.define
class _LentTokens:
    """Tokens that were lent together and lapse together."""

    count: float
    lapse_ms: float


@attrs.define
class _Account:
    # The oldest first.
    _lent: collections.deque[_LentTokens] = attrs.field(factory=collections.deque)
    level_calls: float = 0.0
    demand_per_s: float = 0.0
    demand_updated_ms: float = 0.0
    backoff_until_ms: float = 0.0

    def current_demand_per_s(self, now_ms: float) -> float:
        age_ms = max(0.0, now_ms - self.demand_updated_ms)
        return self.demand_per_s * math.exp(-age_ms / DEMAND_TIME_CONSTANT_MS)

    def add(self, tokens: float, now_ms: float) -> None:
        """Add tokens that were lent now."""
        self._lent.append(_LentTokens(tokens, now_ms + TOKEN_LIFETIME_MS))
        self.level_calls += tokens

    def spend(self, tokens: float) -> None:
        """Remove tokens that are there, the oldest first."""
        self.level_calls -= tokens
        while tokens > 0.0 and self._lent:
            oldest = self._lent[0]
            spent = min(tokens, oldest.count)
            oldest.count -= spent
            tokens -= spent
            if oldest.count <= 0.0:
                self._lent.popleft()

    def drop_lapsed(self, now_ms: float) -> None:
        """Remove the tokens whose time is over."""
        while self._lent and self._lent[0].lapse_ms <= now_ms:
            self.level_calls -= self._lent.popleft().count
        if not self._lent:
            self.level_calls = 0.0


class CreditAccounts:
    """Spend the tokens that one entry holds and plan what to borrow."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    def record_demand(self, team: str, now_ms: float) -> None:
        """Count one request of the team, whether it gets a token or not."""
        account = self._accounts.setdefault(team, _Account(demand_updated_ms=now_ms))
        account.demand_per_s = (
            account.current_demand_per_s(now_ms) + 1e3 / DEMAND_TIME_CONSTANT_MS
        )
        account.demand_updated_ms = now_ms

    def take(self, team: str, now_ms: float) -> bool:
        """Spend one token and return whether there was one."""
        account = self._accounts.get(team)
        if account is None:
            return False
        account.drop_lapsed(now_ms)
        if account.level_calls < 1.0:
            return False
        account.spend(1.0)
        return True

    def add(self, team: str, tokens: float, now_ms: float) -> None:
        """Add lent tokens, or the token of a request that did not run."""
        account = self._accounts.setdefault(team, _Account())
        account.add(tokens, now_ms)
        account.backoff_until_ms = 0.0

    def back_off(self, team: str, retry_after_ms: int, now_ms: float) -> None:
        """Request no tokens of the team for ``retry_after_ms``."""
        account = self._accounts.setdefault(team, _Account())
        account.backoff_until_ms = now_ms + retry_after_ms

    def backoff_left_ms(self, team: str, now_ms: float) -> int:
        """Return the time until tokens of the team are requested again."""
        account = self._accounts.get(team)
        left_ms = account.backoff_until_ms - now_ms if account else 0.0
        return max(0, math.ceil(left_ms))

    def is_low(self, team: str, now_ms: float) -> bool:
        """Return whether tokens of the team should be requested."""
        return self._is_low(self._accounts[team], now_ms)

    def plan_borrow(self, now_ms: float, needed: str) -> dict[str, int]:
        """Return the tokens to request by team.

        They are for the team ``needed`` and all others that run low.
        """
        wanted = {}
        for team, account in self._accounts.items():
            account.drop_lapsed(now_ms)
            if team != needed and not self._is_low(account, now_ms):
                continue
            expected_calls = self._demand_ahead_per_s(account, now_ms) * LOOKAHEAD_S
            wanted[team] = max(1, math.ceil(expected_calls - account.level_calls))
        return wanted

    def state(self, now_ms: float) -> dict[str, dict[str, float]]:
        """Return the tokens and demand of each team for the dump."""
        for account in self._accounts.values():
            account.drop_lapsed(now_ms)
        return {
            team: {
                "level_calls": account.level_calls,
                "demand_per_s": account.current_demand_per_s(now_ms),
            }
            for team, account in self._accounts.items()
        }

    def _is_low(self, account: _Account, now_ms: float) -> bool:
        if now_ms < account.backoff_until_ms:
            return False
        demand_per_s = self._demand_ahead_per_s(account, now_ms)
        return account.level_calls < demand_per_s * LOW_WATER_S

    @staticmethod
    def _demand_ahead_per_s(account: _Account, now_ms: float) -> float:
        """Return the demand for which tokens are borrowed ahead."""
        demand_per_s = account.current_demand_per_s(now_ms)
        return demand_per_s if demand_per_s >= MIN_AHEAD_DEMAND_PER_S else 0.0
