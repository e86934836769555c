"""Tokens that an entry daemon has borrowed, and what it asks for next."""

import math
from bisect import insort
from collections.abc import Sequence

import attrs

from eelgrassweir.proto import control_pb2
from eelgrassweir.shares.holder import REFUND_MS
from eelgrassweir.shares.permit import shortened_ms

# Demand is covered for this long ahead. While all holders run out of tokens
# the time shrinks, so that no token lies idle at one daemon while a request
# waits at another. A rate of 1000/s with a burst of 50 needs 20 ms.
_MAX_AHEAD_MS = 250.0
_MIN_AHEAD_MS = 20.0
_SHRINK_FACTOR = 0.4
_GROWTH_MS = 2.0
# Below this number of calls expected in the time covered, requests wait for
# their token.
_LEAST_EXPECTED = 0.25
# Tokens of teams that run low are asked for together, at least this far apart.
_BATCH_MS = 100.0
# Spent tokens count against the burst until they are reported.
_REPORT_MS = 100.0
_SHORT_MEMORY_MS = 1000.0
_RATE_MEMORY_MS = 500.0
# A team with less demand than this and no tokens is forgotten.
_IDLE_RATE_PER_S = 0.05
# Tokens with less life than the first are replaced, and with less than the
# second given back, early enough to arrive before the holder expires them.
_RENEW_MS = 150.0
_GIVE_BACK_MS = 75.0
# A call without an answer for this long is no longer counted on.
_HEDGE_MS = 10.0
_MIN_GAP_MS = 5.0
# A holder that is short again and again is asked less often: at three times
# the rate, 8 daemons made 9 calls for each token before.
_SHORT_BACKOFF = 1.3
_MAX_SHORT_REPLIES = 20
_MAX_EMPTY_MS = 100.0
# A bucket that still lends something must be asked before it is full again.
_MAX_PARTIAL_MS = 40.0
_NO_PERMIT_MS = 100.0
_FIRST_BACKOFF_MS = 50.0
_MAX_BACKOFF_MS = 1000.0


@attrs.define(kw_only=True, eq=False)
class _Held:
    team: str
    domain: str
    holder_incarnation: str
    grant_id: int
    tokens: int
    expires_ms: float
    spent: int = 0
    returned: int = 0
    known_spent: int = 0
    refunded: int = 0
    known_returned: int = 0
    known_refunded: int = 0
    unreported_since_ms: float = math.inf

    def left(self) -> int:
        return self.tokens - self.spent - self.returned

    def has_news(self) -> bool:
        known = (self.known_spent, self.known_returned, self.known_refunded)
        return (self.spent, self.returned, self.refunded) != known


@attrs.frozen(eq=False)
class Token:
    """One spent token, known by the grant that it came from."""

    grant: _Held


@attrs.define(kw_only=True)
class _Team:
    held: list[_Held] = attrs.field(factory=list)
    rate_per_s: float = 0.0
    rate_at_ms: float = 0.0
    waiting: int = 0
    ahead_ms: float = _MAX_AHEAD_MS
    shrunk_at_ms: float = -math.inf

    def rate_now(self, now_ms: float) -> float:
        age_ms = max(0.0, now_ms - self.rate_at_ms)
        return self.rate_per_s * math.exp(-age_ms / _RATE_MEMORY_MS)

    def ahead_calls(self, now_ms: float) -> int:
        expected = self.rate_now(now_ms) * self.ahead_ms / 1000.0
        if self.ahead_ms == _MAX_AHEAD_MS and expected >= _LEAST_EXPECTED:
            # Arrivals vary by about the square root; a single token is enough
            # where less than one call is expected.
            spare = math.sqrt(expected) if expected >= 1.0 else 0.0
            return math.ceil(expected + spare)
        # Holders run out, so a token that may not be needed is not kept.
        return max(0, math.ceil(expected - 0.5))

    def shrink_ahead(self, now_ms: float) -> None:
        """Keep less ahead, at most once in the time that is covered."""
        if now_ms - self.shrunk_at_ms >= self.ahead_ms:
            self.shrunk_at_ms = now_ms
            self.ahead_ms = max(_MIN_AHEAD_MS, self.ahead_ms * _SHRINK_FACTOR)

    def grow_ahead(self) -> None:
        """Keep more ahead again."""
        self.ahead_ms = min(_MAX_AHEAD_MS, self.ahead_ms + _GROWTH_MS)

    def left(self, after_ms: float) -> int:
        return sum(held.left() for held in self.held if held.expires_ms > after_ms)


@attrs.define(kw_only=True, eq=False)
class BorrowCall:
    """One call to the holder of one failure domain."""

    domain: str
    sent_ms: float
    wanted: dict[str, int]
    reports: list[tuple[_Held, int, int, int]]

    def message(self, vm: str, incarnation: str) -> control_pb2.BorrowRequest:
        """Return the request to send."""
        request = control_pb2.BorrowRequest(vm=vm, incarnation=incarnation)
        for team, wanted in self.wanted.items():
            request.requests.add(team=team, wanted=wanted)
        for held, spent, returned, refunded in self.reports:
            request.reports.add(
                grant_id=held.grant_id,
                spent=spent,
                returned=returned,
                refunded=refunded,
            )
        return request


@attrs.define(kw_only=True)
class _Peer:
    call: BorrowCall | None = None
    down_until_ms: float = -math.inf
    failures: int = 0
    last_sent_ms: float = -math.inf
    short_at_ms: dict[str, float] = attrs.field(factory=dict)
    short_until_ms: dict[str, float] = attrs.field(factory=dict)
    short_replies: dict[str, int] = attrs.field(factory=dict)
    held: dict[tuple[str, int], _Held] = attrs.field(factory=dict)


class Borrower:
    """Spend borrowed tokens and plan the calls that borrow and report.

    A grant ends at the time the call was sent plus its life, which is before
    the holder expires it. Reports carry totals per grant and are repeated
    until a reply shows that they arrived.
    """

    def __init__(self) -> None:
        self._teams: dict[str, _Team] = {}
        self._peers: dict[str, _Peer] = {}
        self._seen: dict[tuple[str, str, int], float] = {}
        self._domains: tuple[str, ...] = ()
        self._asked_at_ms = -math.inf

    def record_demand(self, team: str, now_ms: float) -> None:
        """Count one request of the team, whether it gets a token or not."""
        state = self._teams.get(team)
        if state is None:
            state = self._teams[team] = _Team(rate_at_ms=now_ms)
        state.rate_per_s = state.rate_now(now_ms) + 1000.0 / _RATE_MEMORY_MS
        state.rate_at_ms = now_ms

    def set_waiting(self, team: str, waiting: int) -> None:
        """Set the number of requests that wait for a token of the team."""
        state = self._teams.setdefault(team, _Team())
        state.waiting = waiting

    def take(self, team: str, now_ms: float) -> Token | None:
        """Spend and return one token if there is a live one."""
        state = self._teams.get(team)
        if state is None:
            return None
        held = state.held
        while held and (held[0].expires_ms <= now_ms or held[0].left() == 0):
            held.pop(0)
        if not held:
            return None
        held[0].spent += 1
        held[0].unreported_since_ms = min(held[0].unreported_since_ms, now_ms)
        return Token(held[0])

    def refund(self, token: Token, now_ms: float) -> None:
        """Ask the holder to put back a token whose call did not run."""
        held = token.grant
        if held.expires_ms <= now_ms - shortened_ms(REFUND_MS):
            return
        held.refunded += 1
        held.unreported_since_ms = min(held.unreported_since_ms, now_ms)

    def needs_call(self, team: str, now_ms: float) -> bool:
        """Say whether tokens of the team must be asked for now."""
        missing, is_due = self._missing(team, now_ms)
        return missing > 0 and is_due

    def is_idle(self) -> bool:
        """Say whether nothing is held, wanted or left to report."""
        return not self._teams and not any(peer.held for peer in self._peers.values())

    def plan(self, domains: Sequence[str], now_ms: float) -> list[BorrowCall]:
        """Return the calls to send now; own domain first in ``domains``."""
        self._domains = tuple(domains)
        self._forget_expired(now_ms)
        wanted: dict[str, dict[str, int]] = {}
        others: dict[str, int] = {}
        for team in self._teams:
            self._give_back(team, now_ms)
            missing, is_due = self._missing(team, now_ms)
            if missing > 0 and is_due:
                self._spread(team, missing, domains, wanted, now_ms)
            elif missing > 0:
                others[team] = missing
        self._add_others(others, domains, wanted, now_ms)
        if wanted:
            self._asked_at_ms = now_ms
        calls = []
        for domain in domains:
            call = self._call(domain, wanted.get(domain, {}), now_ms)
            if call is not None:
                calls.append(call)
        return calls

    def settle(
        self, call: BorrowCall, reply: control_pb2.BorrowReply | None, now_ms: float
    ) -> None:
        """Apply the reply to a call, or its failure (None)."""
        peer = self._peer(call.domain)
        if peer.call is call:
            peer.call = None
        if reply is None:
            backoff_ms = min(_MAX_BACKOFF_MS, _FIRST_BACKOFF_MS * 2**peer.failures)
            peer.failures = min(peer.failures + 1, 10)
            peer.down_until_ms = now_ms + backoff_ms
            return
        peer.failures = 0
        peer.down_until_ms = -math.inf if reply.is_holder else now_ms + _NO_PERMIT_MS
        self._confirm_reports(peer, call, now_ms)
        for grant in reply.grants:
            self._accept(peer, call, reply.holder_incarnation, grant, now_ms)
            self._note_supply(peer, call, grant, now_ms)

    def retry_after_ms(self, team: str, domains: Sequence[str], now_ms: float) -> int:
        """Return when the first holder is expected to have a token again."""
        waits = [
            max(peer.short_until_ms.get(team, now_ms), peer.down_until_ms) - now_ms
            for peer in (self._peer(domain) for domain in domains)
        ]
        return max(1, math.ceil(min(waits, default=_MAX_BACKOFF_MS)))

    def state(self, now_ms: float) -> dict[str, object]:
        """Return tokens and demand of each team for the dump."""
        return {
            "teams": {
                team: {
                    "tokens": state.left(now_ms),
                    "waiting_calls": state.waiting,
                    "demand_per_s": round(state.rate_now(now_ms), 3),
                    "ahead_ms": round(state.ahead_ms, 1),
                }
                for team, state in self._teams.items()
            },
            "holders": {
                domain: {
                    "is_calling": peer.call is not None,
                    "is_down": now_ms < peer.down_until_ms,
                    "failures": peer.failures,
                    "open_grants": len(peer.held),
                }
                for domain, peer in self._peers.items()
            },
        }

    def _peer(self, domain: str) -> _Peer:
        peer = self._peers.get(domain)
        if peer is None:
            peer = self._peers[domain] = _Peer()
        return peer

    def _pending(self, team: str, now_ms: float) -> int:
        return sum(
            peer.call.wanted.get(team, 0)
            for peer in self._peers.values()
            if peer.call is not None and now_ms - peer.call.sent_ms < _HEDGE_MS
        )

    def _missing(self, team: str, now_ms: float) -> tuple[int, bool]:
        """Return how many tokens are missing, and whether to ask now."""
        state = self._teams.get(team)
        if state is None:
            return 0, False
        ahead = state.ahead_calls(now_ms)
        have = state.left(now_ms + _RENEW_MS) + self._pending(team, now_ms)
        missing = state.waiting + ahead - have
        if have < state.waiting:
            return missing, True
        if have - state.waiting >= ahead / 2:
            return missing, False
        gap_ms = min(_BATCH_MS, state.ahead_ms / 2)
        return missing, now_ms - self._asked_at_ms >= gap_ms

    def _add_others(
        self,
        others: dict[str, int],
        domains: Sequence[str],
        wanted: dict[str, dict[str, int]],
        now_ms: float,
    ) -> None:
        """Fill up the tokens of other teams with the calls that are made."""
        for team, missing in others.items():
            for domain in domains:
                if domain in wanted and self._is_free(domain, team, now_ms):
                    wanted[domain][team] = missing
                    break

    def _spread(
        self,
        team: str,
        deficit: int,
        domains: Sequence[str],
        wanted: dict[str, dict[str, int]],
        now_ms: float,
    ) -> None:
        """Ask the own holder, or else all others for a part each."""
        free = [domain for domain in domains if self._is_free(domain, team, now_ms)]
        if not free:
            return
        own = self._peer(domains[0])
        if free[0] == domains[0]:
            free = free[:1]
        elif own.call is not None and now_ms - own.call.sent_ms < _HEDGE_MS:
            return
        part = -(-deficit // len(free))
        if own.call is not None and free[0] != domains[0]:
            # The own call may be lost, and so may the next one; what is too
            # much is given back.
            for domain in free:
                wanted.setdefault(domain, {})[team] = deficit
            return
        for domain in free:
            wanted.setdefault(domain, {})[team] = min(part, deficit)
            deficit -= min(part, deficit)
            if deficit == 0:
                return

    def _is_free(self, domain: str, team: str, now_ms: float) -> bool:
        peer = self._peer(domain)
        if peer.call is not None or now_ms < peer.down_until_ms:
            return False
        return now_ms >= peer.short_until_ms.get(team, -math.inf)

    def _give_back(self, team: str, now_ms: float) -> None:
        state = self._teams[team]
        ahead = state.ahead_calls(now_ms)
        excess = state.left(now_ms) - state.waiting - ahead
        if excess <= ahead:
            excess = 0
        for held in state.held:
            count = min(held.left(), excess)
            if held.expires_ms <= now_ms + _GIVE_BACK_MS and state.waiting == 0:
                count = held.left()
            if count <= 0:
                continue
            held.returned += count
            excess -= count
            held.unreported_since_ms = -math.inf

    def _call(
        self, domain: str, wanted: dict[str, int], now_ms: float
    ) -> BorrowCall | None:
        peer = self._peer(domain)
        if peer.call is not None or now_ms < peer.down_until_ms:
            return None
        if not wanted and not self._has_due_report(peer, now_ms):
            return None
        reports = [
            (held, held.spent, held.returned, held.refunded)
            for held in peer.held.values()
            if held.has_news()
        ]
        call = BorrowCall(domain=domain, sent_ms=now_ms, wanted=wanted, reports=reports)
        peer.call = call
        peer.last_sent_ms = now_ms
        return call

    def _has_due_report(self, peer: _Peer, now_ms: float) -> bool:
        for held in peer.held.values():
            if not held.has_news():
                continue
            state = self._teams.get(held.team)
            wait_ms = _REPORT_MS if state is None else min(_REPORT_MS, state.ahead_ms)
            if now_ms - held.unreported_since_ms >= wait_ms:
                return now_ms - peer.last_sent_ms >= _MIN_GAP_MS
        return False

    def _confirm_reports(self, peer: _Peer, call: BorrowCall, now_ms: float) -> None:
        for held, spent, returned, refunded in call.reports:
            held.known_spent = max(held.known_spent, spent)
            held.known_returned = max(held.known_returned, returned)
            held.known_refunded = max(held.known_refunded, refunded)
            held.unreported_since_ms = now_ms if held.has_news() else math.inf

    def _note_supply(
        self,
        peer: _Peer,
        call: BorrowCall,
        grant: control_pb2.TokenGrant,
        now_ms: float,
    ) -> None:
        """Adapt to whether the holder had as many tokens as were wanted."""
        team = grant.team
        state = self._teams.get(team)
        is_short = grant.tokens < call.wanted.get(team, 0)
        if is_short:
            count = peer.short_replies.get(team, 0)
            peer.short_replies[team] = min(count + 1, _MAX_SHORT_REPLIES)
            most_ms = _MAX_PARTIAL_MS if grant.tokens else _MAX_EMPTY_MS
            backoff_ms = min(most_ms, _MIN_GAP_MS * _SHORT_BACKOFF**count)
            retry_ms = max(grant.retry_after_ms, backoff_ms)
            peer.short_until_ms[team] = now_ms + retry_ms
        else:
            peer.short_replies.pop(team, None)
            peer.short_until_ms.pop(team, None)
        # A wait after a full grant means that it emptied the bucket.
        if not is_short and grant.retry_after_ms == 0:
            peer.short_at_ms.pop(team, None)
            if state is not None:
                state.grow_ahead()
            return
        peer.short_at_ms[team] = now_ms
        if state is not None and self._are_all_short(team, now_ms):
            state.shrink_ahead(now_ms)

    def _are_all_short(self, team: str, now_ms: float) -> bool:
        peers = [self._peer(domain) for domain in self._domains]
        return all(
            now_ms < peer.down_until_ms
            or now_ms < peer.short_until_ms.get(team, -math.inf)
            or now_ms - peer.short_at_ms.get(team, -math.inf) < _SHORT_MEMORY_MS
            for peer in peers
        )

    def _accept(
        self,
        peer: _Peer,
        call: BorrowCall,
        holder_incarnation: str,
        grant: control_pb2.TokenGrant,
        now_ms: float,
    ) -> None:
        expires_ms = call.sent_ms + shortened_ms(grant.life_ms)
        key = (call.domain, holder_incarnation, grant.grant_id)
        if grant.tokens == 0 or expires_ms <= now_ms or key in self._seen:
            return
        # A second copy of the reply after this time has expired by itself.
        self._seen[key] = expires_ms
        held = _Held(
            team=grant.team,
            domain=call.domain,
            holder_incarnation=holder_incarnation,
            grant_id=grant.grant_id,
            tokens=grant.tokens,
            expires_ms=expires_ms,
        )
        peer.held[(holder_incarnation, grant.grant_id)] = held
        state = self._teams.setdefault(grant.team, _Team())
        insort(state.held, held, key=lambda item: item.expires_ms)

    def _forget_expired(self, now_ms: float) -> None:
        self._seen = {k: v for k, v in self._seen.items() if v > now_ms}
        for peer in self._peers.values():
            oldest_ms = now_ms - shortened_ms(REFUND_MS)
            ended = [k for k, v in peer.held.items() if v.expires_ms <= oldest_ms]
            for key in ended:
                del peer.held[key]
        idle = []
        for team, state in self._teams.items():
            state.held = [h for h in state.held if h.expires_ms > now_ms and h.left()]
            is_quiet = state.rate_now(now_ms) < _IDLE_RATE_PER_S
            if is_quiet and not state.held and not state.waiting:
                idle.append(team)
        for team in idle:
            del self._teams[team]
            for peer in self._peers.values():
                peer.short_at_ms.pop(team, None)
                peer.short_until_ms.pop(team, None)
                peer.short_replies.pop(team, None)
