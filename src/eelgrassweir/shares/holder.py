"""Token buckets of one failure domain, lent to entry daemons as grants.

The share service owns one ``ShareHolder`` while its daemon is the share
holder; ``borrower`` is the other side of the exchange.
"""

import hashlib
from collections import deque
from collections.abc import Mapping, Sequence

import attrs

# Rates are kept in millionths of a token per second and times in ns, so that
# levels are integers and rounding errors cannot add up to a token. The unit of
# a level is that of a rate times one ns.
_RATE_SCALE = 10**6
_NS_PER_MS = 10**6
# Refunds are accepted for this long after a grant expired: a call may wait
# this long in queues before it is refused without a run.
REFUND_WINDOW_MS = 3_000
# Peaks within this time are merged, which leaves few of them per grant life.
_PEAK_INTERVAL_NS = 5 * _NS_PER_MS
_UNITS_PER_TOKEN = _RATE_SCALE * 10**9
# Borrowers that sent a request within this time share the remaining tokens.
_BORROWER_ACTIVE_MS = 1000
# The retry interval grows with the number of active borrowers, so that all
# borrowers without tokens together call a holder about once per this time.
_RETRY_MS_PER_BORROWER = 2
_MIN_RETRY_MS = 10
# Only whole tokens are lent, so each domain leaves half a token unused on
# average. In tests, bursts of 10 split over four domains refused 1% of the
# calls of a team within its rate.
_MIN_DOMAIN_BURST_CALLS = 4
# If one of the two domains has no holder, the other still serves the team.
_MIN_SERVING_DOMAINS = 2
_MAX_RETRY_MS = 10_000


@attrs.frozen(kw_only=True)
class RateLimit:
    """Rate and burst of one team in one failure domain.

    ``rate_per_s`` is in calls per second.
    """

    rate_per_s: float
    burst_calls: int


@attrs.frozen(kw_only=True)
class Grant:
    """Tokens lent for one request, valid for ``life_ms``.

    ``tokens`` may be zero. ``retry_after_ms`` is the time until the next
    token is expected, or 0 if the bucket has some left.
    """

    team: str
    grant_id: int
    tokens: int
    life_ms: int
    retry_after_ms: int


@attrs.define(kw_only=True)
class _LentGrant:
    team: str
    borrower: str
    tokens: int
    expires_ns: int
    spent: int = 0
    returned: int = 0
    refunded: int = 0
    # Serial of the first peak that does not include the spent tokens.
    spent_peak_serial: int = -1

    def unreported_tokens(self) -> int:
        return self.tokens - self.spent - self.returned


@attrs.define
class _PeakSum:
    at_ns: int
    units: int
    serial: int


@attrs.define(kw_only=True)
class _Bucket:
    rate_units_per_ns: int
    burst_calls: int
    updated_ns: int
    level_units: int = 0
    outstanding_tokens: int = 0
    grants: deque[_LentGrant] = attrs.field(factory=deque)
    last_request_ns: dict[str, int] = attrs.field(factory=dict)
    # Peaks of the sum of level and outstanding tokens, in order of time.
    peaks: deque[_PeakSum] = attrs.field(factory=deque)

    def advance(self, now_ns: int) -> None:
        """Expire grants and refill up to ``now_ns``, in order of time."""
        while self.grants and self.grants[0].expires_ns <= now_ns:
            lent = self.grants.popleft()
            self._refill(lent.expires_ns)
            self.outstanding_tokens -= lent.unreported_tokens()
            lent.spent = lent.tokens - lent.returned
            if lent.spent_peak_serial < 0:
                lent.spent_peak_serial = self.add_peak(lent.expires_ns)
        self._refill(now_ns)

    def cap_level(self) -> None:
        """Cap the level so that it fits the burst with what is outstanding."""
        available = max(0, self.burst_calls - self.outstanding_tokens)
        self.level_units = min(self.level_units, available * _UNITS_PER_TOKEN)

    def _refill(self, now_ns: int) -> None:
        if now_ns <= self.updated_ns:
            return
        self.level_units += self.rate_units_per_ns * (now_ns - self.updated_ns)
        self.updated_ns = now_ns
        self.cap_level()
        self._record_peak(now_ns)

    def _record_peak(self, now_ns: int) -> None:
        """Record the current sum after a refill, which alone can raise it."""
        last = self.peaks[-1] if self.peaks else None
        if last is None or now_ns - last.at_ns >= _PEAK_INTERVAL_NS:
            self.add_peak(now_ns)
            return
        last.units = max(last.units, self.units())

    def add_peak(self, now_ns: int) -> int:
        """Add a peak at the current sum and return its serial."""
        serial = self.peaks[-1].serial + 1 if self.peaks else 0
        self.peaks.append(_PeakSum(now_ns, self.units(), serial))
        return serial

    def units(self) -> int:
        """Return the sum of level and outstanding tokens, in units."""
        return self.level_units + self.outstanding_tokens * _UNITS_PER_TOKEN

    def refund(self, tokens: int, serial: int) -> None:
        """Put back spent tokens as far as the burst would have held them.

        Without the spending, each peak from ``serial`` on would have been
        higher by ``tokens``. What would have exceeded the burst is not put
        back.
        """
        later_peaks = [peak for peak in self.peaks if peak.serial >= serial]
        highest = max([self.units(), *(peak.units for peak in later_peaks)])
        available = self.burst_calls * _UNITS_PER_TOKEN - highest
        added = max(0, min(tokens * _UNITS_PER_TOKEN, available))
        self.level_units += added
        for peak in later_peaks:
            peak.units += added


def _to_ns(time_ms: float) -> int:
    return round(time_ms * _NS_PER_MS)


def split_parts(
    rate_per_s: float, burst_calls: int, domains: Sequence[str], team: str
) -> dict[str, RateLimit]:
    """Split a team's rate and burst over the failure domains.

    Returns one limit for each domain. The bursts are integers that sum to
    ``burst_calls``. A small burst goes to a few domains only, and the rate
    with it, because a domain with a burst of zero can never grant a token.
    """
    sorted_domains = sorted(set(domains))
    if not sorted_domains:
        return {}
    # The first domain depends on the team, which spreads the remainders.
    digest = hashlib.sha256(team.encode()).digest()
    first = int.from_bytes(digest[:4], "big") % len(sorted_domains)
    domain_count = max(_MIN_SERVING_DOMAINS, burst_calls // _MIN_DOMAIN_BURST_CALLS)
    domain_count = max(1, min(domain_count, len(sorted_domains), burst_calls))
    base_calls, remainder = divmod(burst_calls, domain_count)
    parts = dict.fromkeys(sorted_domains, RateLimit(rate_per_s=0.0, burst_calls=0))
    for index in range(domain_count):
        domain_burst_calls = base_calls + (index < remainder)
        domain_rate_per_s = rate_per_s / domain_count if domain_burst_calls else 0.0
        name = sorted_domains[(first + index) % len(sorted_domains)]
        parts[name] = RateLimit(
            rate_per_s=domain_rate_per_s, burst_calls=domain_burst_calls
        )
    return parts


class ShareHolder:
    """Lend the tokens of one failure domain.

    For each team, the sum of bucket level and outstanding tokens never
    exceeds the burst, so at most ``rate * t + burst`` calls are admitted in
    any window of length ``t``. A new holder does not know what its
    predecessor lent, so its buckets start empty and refill only after one
    grant life.
    ``epoch`` must be unique to each holder, because grant ids derive from it.
    """

    def __init__(
        self,
        *,
        epoch: str,
        grant_life_ms: int,
        now_ms: float,
        parts: Mapping[str, RateLimit] | None = None,
    ) -> None:
        digest = hashlib.sha256(epoch.encode()).digest()
        self._next_id = (int.from_bytes(digest[:4], "big") << 32) + 1
        self._life_ms = grant_life_ms
        self._refill_start_ns = _to_ns(now_ms + grant_life_ms)
        self._buckets: dict[str, _Bucket] = {}
        self._removed_ns: dict[str, int] = {}
        self._grants: dict[int, _LentGrant] = {}
        self._last_discard_ns = _to_ns(now_ms)
        self.set_limits(parts or {}, now_ms)

    def set_limits(self, limits: Mapping[str, RateLimit], now_ms: float) -> None:
        """Replace the limits of all teams; a team not listed gets nothing."""
        now_ns = _to_ns(now_ms)
        for team in self._buckets.keys() - limits.keys():
            del self._buckets[team]
            self._removed_ns[team] = now_ns + self._life_ms * _NS_PER_MS
        # A late report must not change a bucket that did not lend the grant.
        self._grants = {k: v for k, v in self._grants.items() if v.team in limits}
        for team, limit in limits.items():
            self._set_limit(team, limit, now_ns)

    def _set_limit(self, team: str, limit: RateLimit, now_ns: int) -> None:
        rate_units_per_ns = int(limit.rate_per_s * _RATE_SCALE)
        bucket = self._buckets.get(team)
        if bucket is None:
            # A team that is new to this holder may have used its burst at
            # another one since this holder started, but not before that.
            removed_ns = self._removed_ns.pop(team, self._refill_start_ns)
            start_ns = max(self._refill_start_ns, removed_ns)
            self._buckets[team] = _Bucket(
                rate_units_per_ns=rate_units_per_ns,
                burst_calls=limit.burst_calls,
                updated_ns=start_ns,
            )
            return
        bucket.advance(now_ns)
        bucket.rate_units_per_ns = rate_units_per_ns
        bucket.burst_calls = limit.burst_calls
        bucket.cap_level()

    def grant(self, borrower: str, team: str, wanted: int, now_ms: float) -> Grant:
        """Lend up to ``wanted`` tokens as a new grant.

        ``borrower`` identifies the process that may report on the grant.
        """
        now_ns = _to_ns(now_ms)
        self._discard_expired(now_ns)
        bucket = self._buckets.get(team)
        if bucket is None:
            return self._make_grant(team, 0, 0, _MAX_RETRY_MS)
        bucket.advance(now_ns)
        bucket.last_request_ns[borrower] = now_ns
        whole_tokens = bucket.level_units // _UNITS_PER_TOKEN
        # With several active borrowers, half is left for the others.
        available = (
            whole_tokens
            if len(bucket.last_request_ns) == 1
            else (whole_tokens + 1) // 2
        )
        tokens = max(0, min(wanted, available))
        retry_ms = self._retry_after_ms(bucket, tokens)
        if tokens == 0:
            return self._make_grant(team, 0, 0, retry_ms)
        grant_id = self._next_id
        self._next_id += 1
        lent = _LentGrant(
            team=team,
            borrower=borrower,
            tokens=tokens,
            expires_ns=now_ns + self._life_ms * _NS_PER_MS,
        )
        self._grants[grant_id] = lent
        bucket.grants.append(lent)
        bucket.level_units -= tokens * _UNITS_PER_TOKEN
        bucket.outstanding_tokens += tokens
        return self._make_grant(team, grant_id, tokens, retry_ms)

    def report(
        self, borrower: str, grant_id: int, spent: int, returned: int, now_ms: float
    ) -> None:
        """Apply the totals of tokens spent and returned so far of a grant.

        Totals only grow, so duplicated and reordered reports have no effect.
        Ignores unknown and expired grants and totals above the tokens lent.
        """
        lent = self._grants.get(grant_id)
        if lent is None or lent.borrower != borrower:
            return
        bucket = self._buckets.get(lent.team)
        if bucket is None or spent + returned > lent.tokens:
            return
        bucket.advance(_to_ns(now_ms))
        newly_spent = max(0, spent - lent.spent)
        newly_returned = max(0, returned - lent.returned)
        if newly_spent + newly_returned > lent.unreported_tokens():
            return
        lent.spent += newly_spent
        lent.returned += newly_returned
        bucket.outstanding_tokens -= newly_spent + newly_returned
        bucket.level_units += newly_returned * _UNITS_PER_TOKEN
        bucket.cap_level()
        if newly_spent and lent.spent_peak_serial < 0:
            lent.spent_peak_serial = bucket.add_peak(_to_ns(now_ms))

    def refund(
        self, borrower: str, grant_id: int, refunded: int, now_ms: float
    ) -> None:
        """Put back spent tokens whose calls did not run.

        ``refunded`` is the total of the grant so far. Refunds are ignored
        later than ``REFUND_WINDOW_MS`` after the grant expired.
        """
        now_ns = _to_ns(now_ms)
        lent = self._grants.get(grant_id)
        if lent is None or lent.borrower != borrower:
            return
        if lent.expires_ns + REFUND_WINDOW_MS * _NS_PER_MS <= now_ns:
            return
        bucket = self._buckets.get(lent.team)
        newly_refunded = refunded - lent.refunded
        if bucket is None or newly_refunded <= 0 or refunded > lent.spent:
            return
        bucket.advance(now_ns)
        lent.refunded = refunded
        bucket.refund(newly_refunded, lent.spent_peak_serial)

    def state(self, now_ms: float) -> dict[str, dict[str, float]]:
        """Return the bucket of each team for the dump."""
        for bucket in self._buckets.values():
            bucket.advance(_to_ns(now_ms))
        return {
            team: {
                "level_calls": bucket.level_units / _UNITS_PER_TOKEN,
                "outstanding_calls": bucket.outstanding_tokens,
                "burst_calls": bucket.burst_calls,
                "rate_per_s": bucket.rate_units_per_ns / _RATE_SCALE,
            }
            for team, bucket in self._buckets.items()
        }

    def _make_grant(
        self, team: str, grant_id: int, tokens: int, retry_ms: int
    ) -> Grant:
        return Grant(
            team=team,
            grant_id=grant_id,
            tokens=tokens,
            life_ms=self._life_ms,
            retry_after_ms=retry_ms,
        )

    def _retry_after_ms(self, bucket: _Bucket, tokens: int) -> int:
        """Return when to ask again after ``tokens`` are lent; 0 for now."""
        poll_ms = max(
            _MIN_RETRY_MS, _RETRY_MS_PER_BORROWER * len(bucket.last_request_ns)
        )
        left_units = bucket.level_units - tokens * _UNITS_PER_TOKEN
        if left_units >= _UNITS_PER_TOKEN:
            return 0
        if bucket.rate_units_per_ns == 0:
            return _MAX_RETRY_MS
        if bucket.outstanding_tokens + tokens >= bucket.burst_calls:
            # The bucket refills only after a report or an expiry, which may
            # come at any time.
            return poll_ms
        missing_ns = (_UNITS_PER_TOKEN - left_units) // bucket.rate_units_per_ns + 1
        return min(_MAX_RETRY_MS, max(poll_ms, missing_ns // _NS_PER_MS + 1))

    def _discard_expired(self, now_ns: int) -> None:
        """Discard expired grants, old peaks and inactive borrowers."""
        if now_ns - self._last_discard_ns < _BORROWER_ACTIVE_MS * _NS_PER_MS:
            return
        self._last_discard_ns = now_ns
        oldest_request_ns = now_ns - _BORROWER_ACTIVE_MS * _NS_PER_MS
        oldest_expiry_ns = now_ns - REFUND_WINDOW_MS * _NS_PER_MS
        self._grants = {
            k: v for k, v in self._grants.items() if v.expires_ns > oldest_expiry_ns
        }
        oldest_peak_ns = oldest_expiry_ns - self._life_ms * _NS_PER_MS
        for bucket in self._buckets.values():
            while bucket.peaks and bucket.peaks[0].at_ns < oldest_peak_ns:
                bucket.peaks.popleft()
            bucket.last_request_ns = {
                k: v
                for k, v in bucket.last_request_ns.items()
                if v >= oldest_request_ns
            }
