"""Token buckets of one failure domain, lent out as grants."""

import hashlib
from collections import deque
from collections.abc import Mapping, Sequence

import attrs

# Rates are kept in millionths of a token per second and times in ns, so that
# levels are integers and no rounding error can add up to a token.
_RATE_SCALE = 10**6
_NS_PER_MS = 10**6
# A call may wait this long in queues before it is refused without a run.
REFUND_MS = 3_000
# Sums within this time are kept as one; a grant life has few of them.
_PEAK_STEP_NS = 5 * _NS_PER_MS
_UNITS_PER_TOKEN = _RATE_SCALE * 10**9
# A borrower that asked this recently competes for what is left.
_ASKER_MEMORY_MS = 1000
# Calls per second that borrowers without tokens may cause at one holder stay
# near one per this many ms, however many borrowers there are.
_PACE_MS_PER_ASKER = 2
_MIN_RETRY_MS = 10
# Whole tokens are lent, so every part has on average half a token lying idle.
# Bursts of 10 split over four domains refused 1% of the calls of a team within
# its rate in tests; two domains at least keep one of them serving when the
# other has no holder.
_MIN_PART_CALLS = 4
_MIN_SERVING_DOMAINS = 2
_MAX_RETRY_MS = 10_000


@attrs.frozen(kw_only=True)
class RateLimit:
    """Rate and burst of one team in one failure domain."""

    rate_per_s: float
    burst_calls: int


@attrs.frozen(kw_only=True)
class Grant:
    """Answer to one request for tokens; ``tokens`` may be zero."""

    team: str
    grant_id: int
    tokens: int
    life_ms: int
    retry_after_ms: int


@attrs.define(kw_only=True)
class _Lent:
    team: str
    borrower: str
    tokens: int
    expires_ns: int
    spent: int = 0
    returned: int = 0
    refunded: int = 0
    # Serial of the first sum that no longer counts its spent tokens.
    spent_serial: int = -1

    def open_tokens(self) -> int:
        return self.tokens - self.spent - self.returned


@attrs.define
class _Peak:
    at_ns: int
    units: int
    serial: int


@attrs.define(kw_only=True)
class _Bucket:
    rate: int
    burst_calls: int
    updated_ns: int
    level: int = 0
    outstanding: int = 0
    lent: deque[_Lent] = attrs.field(factory=deque)
    askers: dict[str, int] = attrs.field(factory=dict)
    # Highest sums of level and outstanding tokens with their times.
    peaks: deque[_Peak] = attrs.field(factory=deque)

    def settle(self, now_ns: int) -> None:
        """Expire grants and refill, in the order of time."""
        while self.lent and self.lent[0].expires_ns <= now_ns:
            lent = self.lent.popleft()
            self._refill(lent.expires_ns)
            self.outstanding -= lent.open_tokens()
            lent.spent = lent.tokens - lent.returned
            if lent.spent_serial < 0:
                lent.spent_serial = self.start_peak(lent.expires_ns)
        self._refill(now_ns)

    def clip(self) -> None:
        """Keep level plus outstanding tokens within the burst."""
        room = max(0, self.burst_calls - self.outstanding)
        self.level = min(self.level, room * _UNITS_PER_TOKEN)

    def _refill(self, now_ns: int) -> None:
        if now_ns <= self.updated_ns:
            return
        self.level += self.rate * (now_ns - self.updated_ns)
        self.updated_ns = now_ns
        self.clip()
        self._note_peak(now_ns)

    def _note_peak(self, now_ns: int) -> None:
        """Keep the highest sums; only a refill raises them."""
        last = self.peaks[-1] if self.peaks else None
        if last is None or now_ns - last.at_ns >= _PEAK_STEP_NS:
            self.start_peak(now_ns)
            return
        last.units = max(last.units, self.units())

    def start_peak(self, now_ns: int) -> int:
        """Note the sum apart from earlier ones and return its serial."""
        serial = self.peaks[-1].serial + 1 if self.peaks else 0
        self.peaks.append(_Peak(now_ns, self.units(), serial))
        return serial

    def units(self) -> int:
        """Return level plus outstanding tokens."""
        return self.level + self.outstanding * _UNITS_PER_TOKEN

    def refund(self, tokens: int, serial: int) -> None:
        """Put back spent tokens as far as the burst would have held them.

        Had they not been spent, every sum from ``serial`` on would have been
        higher by as much. What a full bucket would have lost stays lost.
        """
        since = [peak for peak in self.peaks if peak.serial >= serial]
        highest = max([self.units(), *(peak.units for peak in since)])
        room = self.burst_calls * _UNITS_PER_TOKEN - highest
        added = max(0, min(tokens * _UNITS_PER_TOKEN, room))
        self.level += added
        for peak in since:
            peak.units += added


def _to_ns(time_ms: float) -> int:
    return round(time_ms * _NS_PER_MS)


def split_parts(
    rate_per_s: float, burst_calls: int, domains: Sequence[str], team: str
) -> dict[str, RateLimit]:
    """Split a team's rate and burst over the failure domains.

    The bursts are integers that sum to ``burst_calls``. A small burst goes to
    a few domains only, and the rate with it, since a domain whose burst is
    zero could never grant a token.
    """
    names = sorted(set(domains))
    if not names:
        return {}
    # The start depends on the team so that remainders spread over domains.
    digest = hashlib.sha256(team.encode()).digest()
    start = int.from_bytes(digest[:4], "big") % len(names)
    serving = max(_MIN_SERVING_DOMAINS, burst_calls // _MIN_PART_CALLS)
    serving = max(1, min(serving, len(names), burst_calls))
    whole, rest = divmod(burst_calls, serving)
    parts = dict.fromkeys(names, RateLimit(rate_per_s=0.0, burst_calls=0))
    for place in range(serving):
        burst = whole + (place < rest)
        rate = rate_per_s / serving if burst else 0.0
        name = names[(start + place) % len(names)]
        parts[name] = RateLimit(rate_per_s=rate, burst_calls=burst)
    return parts


class ShareHolder:
    """Lend the tokens of one failure domain.

    For each team the level of the bucket plus the tokens outstanding never
    exceeds the burst, so at most ``rate * t + burst`` calls are admitted in
    any window of t. A new holder cannot know what its predecessor lent; it
    starts with empty buckets that refill only after one grant life.
    ``epoch`` must differ between all holders, so that grant ids do.
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
        self._start_ns = _to_ns(now_ms + grant_life_ms)
        self._buckets: dict[str, _Bucket] = {}
        self._removed_ns: dict[str, int] = {}
        self._lent: dict[int, _Lent] = {}
        self._sweep_ns = _to_ns(now_ms)
        self.set_limits(parts or {}, now_ms)

    def set_limits(self, parts: Mapping[str, RateLimit], now_ms: float) -> None:
        """Replace the parts of all teams; a team not listed gets nothing."""
        now_ns = _to_ns(now_ms)
        for team in self._buckets.keys() - parts.keys():
            del self._buckets[team]
            self._removed_ns[team] = now_ns + self._life_ms * _NS_PER_MS
        # A report must not change a bucket that did not lend the grant.
        self._lent = {k: v for k, v in self._lent.items() if v.team in parts}
        for team, part in parts.items():
            self._set_part(team, part, now_ns)

    def _set_part(self, team: str, part: RateLimit, now_ns: int) -> None:
        rate = int(part.rate_per_s * _RATE_SCALE)
        bucket = self._buckets.get(team)
        if bucket is None:
            # A team that is new here may have spent its burst elsewhere since
            # the start of this holder, but not before it.
            removed_ns = self._removed_ns.pop(team, self._start_ns)
            start_ns = max(self._start_ns, removed_ns)
            self._buckets[team] = _Bucket(
                rate=rate, burst_calls=part.burst_calls, updated_ns=start_ns
            )
            return
        bucket.settle(now_ns)
        bucket.rate = rate
        bucket.burst_calls = part.burst_calls
        bucket.clip()

    def grant(self, borrower: str, team: str, wanted: int, now_ms: float) -> Grant:
        """Lend up to ``wanted`` tokens; each call makes a grant of its own."""
        now_ns = _to_ns(now_ms)
        self._sweep(now_ns)
        bucket = self._buckets.get(team)
        if bucket is None:
            return self._answer(team, 0, 0, _MAX_RETRY_MS)
        bucket.settle(now_ns)
        bucket.askers[borrower] = now_ns
        whole = bucket.level // _UNITS_PER_TOKEN
        # With several borrowers, each leaves half for the others.
        room = whole if len(bucket.askers) == 1 else (whole + 1) // 2
        tokens = max(0, min(wanted, room))
        retry_ms = self._retry_after_ms(bucket, tokens)
        if tokens == 0:
            return self._answer(team, 0, 0, retry_ms)
        grant_id = self._next_id
        self._next_id += 1
        lent = _Lent(
            team=team,
            borrower=borrower,
            tokens=tokens,
            expires_ns=now_ns + self._life_ms * _NS_PER_MS,
        )
        self._lent[grant_id] = lent
        bucket.lent.append(lent)
        bucket.level -= tokens * _UNITS_PER_TOKEN
        bucket.outstanding += tokens
        return self._answer(team, grant_id, tokens, retry_ms)

    def report(
        self, borrower: str, grant_id: int, spent: int, returned: int, now_ms: float
    ) -> None:
        """Take the totals spent and returned so far of one grant.

        The totals only grow, so doubled and reordered reports change nothing.
        Reports of unknown or expired grants and impossible totals are ignored.
        """
        lent = self._lent.get(grant_id)
        if lent is None or lent.borrower != borrower:
            return
        bucket = self._buckets.get(lent.team)
        if bucket is None or spent + returned > lent.tokens:
            return
        bucket.settle(_to_ns(now_ms))
        more_spent = max(0, spent - lent.spent)
        more_returned = max(0, returned - lent.returned)
        if more_spent + more_returned > lent.open_tokens():
            return
        lent.spent += more_spent
        lent.returned += more_returned
        bucket.outstanding -= more_spent + more_returned
        bucket.level += more_returned * _UNITS_PER_TOKEN
        bucket.clip()
        if more_spent and lent.spent_serial < 0:
            lent.spent_serial = bucket.start_peak(_to_ns(now_ms))

    def refund(
        self, borrower: str, grant_id: int, refunded: int, now_ms: float
    ) -> None:
        """Take the total of spent tokens whose calls did not run."""
        now_ns = _to_ns(now_ms)
        lent = self._lent.get(grant_id)
        if lent is None or lent.borrower != borrower:
            return
        if lent.expires_ns + REFUND_MS * _NS_PER_MS <= now_ns:
            return
        bucket = self._buckets.get(lent.team)
        more = refunded - lent.refunded
        if bucket is None or more <= 0 or refunded > lent.spent:
            return
        bucket.settle(now_ns)
        lent.refunded = refunded
        bucket.refund(more, lent.spent_serial)

    def state(self, now_ms: float) -> dict[str, dict[str, float]]:
        """Return level and outstanding tokens of each team for the dump."""
        for bucket in self._buckets.values():
            bucket.settle(_to_ns(now_ms))
        return {
            team: {
                "level_calls": bucket.level / _UNITS_PER_TOKEN,
                "outstanding_calls": bucket.outstanding,
                "burst_calls": bucket.burst_calls,
                "rate_per_s": bucket.rate / _RATE_SCALE,
            }
            for team, bucket in self._buckets.items()
        }

    def _answer(self, team: str, grant_id: int, tokens: int, retry_ms: int) -> Grant:
        return Grant(
            team=team,
            grant_id=grant_id,
            tokens=tokens,
            life_ms=self._life_ms,
            retry_after_ms=retry_ms,
        )

    def _retry_after_ms(self, bucket: _Bucket, tokens: int) -> int:
        pace_ms = max(_MIN_RETRY_MS, _PACE_MS_PER_ASKER * len(bucket.askers))
        left = bucket.level - tokens * _UNITS_PER_TOKEN
        if left >= _UNITS_PER_TOKEN:
            return 0
        if bucket.rate == 0:
            return _MAX_RETRY_MS
        if bucket.outstanding + tokens >= bucket.burst_calls:
            # Nothing refills before a report or an expiry; it may come soon.
            return pace_ms
        missing_ns = (_UNITS_PER_TOKEN - left) // bucket.rate + 1
        return min(_MAX_RETRY_MS, max(pace_ms, missing_ns // _NS_PER_MS + 1))

    def _sweep(self, now_ns: int) -> None:
        if now_ns - self._sweep_ns < _ASKER_MEMORY_MS * _NS_PER_MS:
            return
        self._sweep_ns = now_ns
        oldest_ns = now_ns - _ASKER_MEMORY_MS * _NS_PER_MS
        oldest_lent_ns = now_ns - REFUND_MS * _NS_PER_MS
        self._lent = {
            k: v for k, v in self._lent.items() if v.expires_ns > oldest_lent_ns
        }
        oldest_peak_ns = oldest_lent_ns - self._life_ms * _NS_PER_MS
        for bucket in self._buckets.values():
            while bucket.peaks and bucket.peaks[0].at_ns < oldest_peak_ns:
                bucket.peaks.popleft()
            bucket.askers = {k: v for k, v in bucket.askers.items() if v >= oldest_ns}
