"""Tokens that an entry daemon has borrowed, and the calls to borrow more.

``Borrower`` does no input or output: the daemon's token service sends the
calls that it plans to the share holders and passes their replies back.
"""

import math
from bisect import insort
from collections.abc import Sequence

import attrs

from eelgrassweir.proto import control_pb2
from eelgrassweir.shares.holder import REFUND_WINDOW_MS
from eelgrassweir.shares.permit import drift_safe_ms

# Tokens are borrowed to cover the demand of this time ahead. It shrinks while
# all holders run out of tokens, so that no token is left unused at one daemon
# while a request waits at another. A rate of 1000/s with a burst of 50 needs
# 20 ms.
_MAX_LOOKAHEAD_MS = 250.0
_MIN_LOOKAHEAD_MS = 20.0
_LOOKAHEAD_SHRINK_FACTOR = 0.4
_LOOKAHEAD_GROWTH_MS = 2.0
# With fewer calls than this expected in the lookahead, no token is borrowed
# in advance and requests wait for theirs.
_MIN_EXPECTED_CALLS = 0.25
# Tokens of teams that run low are requested in batches, at most this often.
_BATCH_INTERVAL_MS = 100.0
# Spent tokens count against the burst until they are reported.
_REPORT_DELAY_MS = 100.0
_SHORT_MEMORY_MS = 1000.0
# Time constant of the exponential moving average of the demand.
_DEMAND_TIME_CONSTANT_MS = 500.0
# The state of a team with less demand than this and no tokens is discarded.
_IDLE_DEMAND_PER_S = 0.05
# Tokens are replaced and returned this long before they expire, so that the
# reports arrive before the holder expires them.
_RENEW_BEFORE_EXPIRY_MS = 150.0
_RETURN_BEFORE_EXPIRY_MS = 75.0
# After this time without a reply, the tokens that a call requested are
# requested from other holders too.
_HEDGE_MS = 10.0
_MIN_CALL_INTERVAL_MS = 5.0
# A holder that repeatedly has too few tokens is called less often. Without
# this backoff, 8 daemons at three times the rate made 9 calls for each token.
_SHORT_BACKOFF_FACTOR = 1.3
_MAX_SHORT_REPLIES = 20
_MAX_EMPTY_BACKOFF_MS = 100.0
# A bucket that still lends some tokens must be asked before it is full again.
_MAX_PARTIAL_BACKOFF_MS = 40.0
_NOT_HOLDER_BACKOFF_MS = 100.0
_INITIAL_BACKOFF_MS = 50.0
_MAX_BACKOFF_MS = 1000.0


@attrs.define(kw_only=True, eq=False)
class _HeldGrant:
    team: str
    domain: str
    holder_incarnation: str
    grant_id: int
    tokens: int
    expires_ms: float
    spent: int = 0
    returned: int = 0
    acked_spent: int = 0
    refunded: int = 0
    acked_returned: int = 0
    acked_refunded: int = 0
    unreported_since_ms: float = math.inf

    def unused_tokens(self) -> int:
        return self.tokens - self.spent - self.returned

    def has_unreported(self) -> bool:
        known = (self.acked_spent, self.acked_returned, self.acked_refunded)
        return (self.spent, self.returned, self.refunded) != known


@attrs.frozen(eq=False)
class Token:
    """One spent token, identified by the grant that it came from."""

    grant: _HeldGrant


@attrs.define(kw_only=True)
class _TeamState:
    held: list[_HeldGrant] = attrs.field(factory=list)
    demand_per_s: float = 0.0
    demand_updated_ms: float = 0.0
    waiting: int = 0
    lookahead_ms: float = _MAX_LOOKAHEAD_MS
    shrunk_at_ms: float = -math.inf

    def current_demand_per_s(self, now_ms: float) -> float:
        age_ms = max(0.0, now_ms - self.demand_updated_ms)
        return self.demand_per_s * math.exp(-age_ms / _DEMAND_TIME_CONSTANT_MS)

    def lookahead_calls(self, now_ms: float) -> int:
        expected = self.current_demand_per_s(now_ms) * self.lookahead_ms / 1000.0
        if self.lookahead_ms == _MAX_LOOKAHEAD_MS and expected >= _MIN_EXPECTED_CALLS:
            # The number of arrivals varies by about its square root. Where
            # less than one call is expected, a single token is enough.
            spare = math.sqrt(expected) if expected >= 1.0 else 0.0
            return math.ceil(expected + spare)
        # Holders run out of tokens, so none is kept that may not be needed.
        return max(0, math.ceil(expected - 0.5))

    def shrink_lookahead(self, now_ms: float) -> None:
        """Shorten the lookahead, at most once in its duration."""
        if now_ms - self.shrunk_at_ms >= self.lookahead_ms:
            self.shrunk_at_ms = now_ms
            self.lookahead_ms = max(
                _MIN_LOOKAHEAD_MS, self.lookahead_ms * _LOOKAHEAD_SHRINK_FACTOR
            )

    def grow_lookahead(self) -> None:
        """Lengthen the lookahead by one step."""
        self.lookahead_ms = min(
            _MAX_LOOKAHEAD_MS, self.lookahead_ms + _LOOKAHEAD_GROWTH_MS
        )

    def unused_tokens(self, after_ms: float) -> int:
        return sum(
            held.unused_tokens() for held in self.held if held.expires_ms > after_ms
        )


@attrs.define(kw_only=True, eq=False)
class BorrowCall:
    """One call to the holder of one failure domain.

    ``wanted`` is the number of tokens to borrow by team. ``reports`` holds
    grants with their totals of spent, returned and refunded tokens.
    """

    domain: str
    sent_ms: float
    wanted: dict[str, int]
    reports: list[tuple[_HeldGrant, int, int, int]]

    def message(self, vm: str, incarnation: str) -> control_pb2.BorrowRequest:
        """Return the request to send to the holder."""
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
class _HolderState:
    call: BorrowCall | None = None
    down_until_ms: float = -math.inf
    failures: int = 0
    last_sent_ms: float = -math.inf
    last_answer_ms: dict[str, float] = attrs.field(factory=dict)
    last_short_ms: dict[str, float] = attrs.field(factory=dict)
    backoff_until_ms: dict[str, float] = attrs.field(factory=dict)
    short_replies: dict[str, int] = attrs.field(factory=dict)
    held: dict[tuple[str, int], _HeldGrant] = attrs.field(factory=dict)


class Borrower:
    """Spend borrowed tokens and plan the calls that borrow and report.

    A grant's life counts from when the call was sent, so it ends here before
    the holder expires it. Reports carry totals per grant and are repeated
    until a reply acknowledges them.
    """

    def __init__(self) -> None:
        self._teams: dict[str, _TeamState] = {}
        self._holders: dict[str, _HolderState] = {}
        self._seen_grants: dict[tuple[str, str, int], float] = {}
        self._domains: tuple[str, ...] = ()
        self._requested_at_ms = -math.inf

    def record_demand(self, team: str, now_ms: float) -> None:
        """Count one request of the team, whether it gets a token or not."""
        state = self._teams.get(team)
        if state is None:
            state = self._teams[team] = _TeamState(demand_updated_ms=now_ms)
        state.demand_per_s = (
            state.current_demand_per_s(now_ms) + 1000.0 / _DEMAND_TIME_CONSTANT_MS
        )
        state.demand_updated_ms = now_ms

    def set_waiting(self, team: str, waiting: int) -> None:
        """Set the number of requests that wait for a token of the team."""
        state = self._teams.setdefault(team, _TeamState())
        state.waiting = waiting

    def take(self, team: str, now_ms: float) -> Token | None:
        """Spend and return one unexpired token, or return None."""
        state = self._teams.get(team)
        if state is None:
            return None
        held = state.held
        while held and (held[0].expires_ms <= now_ms or held[0].unused_tokens() == 0):
            held.pop(0)
        if not held:
            return None
        held[0].spent += 1
        held[0].unreported_since_ms = min(held[0].unreported_since_ms, now_ms)
        return Token(held[0])

    def refund(self, token: Token, now_ms: float) -> None:
        """Report to the holder a spent token whose call did not run."""
        held = token.grant
        if held.expires_ms <= now_ms - drift_safe_ms(REFUND_WINDOW_MS):
            return
        held.refunded += 1
        held.unreported_since_ms = min(held.unreported_since_ms, now_ms)

    def needs_call(self, team: str, now_ms: float) -> bool:
        """Return whether tokens of the team must be requested now."""
        missing, is_due = self._count_missing(team, now_ms)
        return missing > 0 and is_due

    def is_undecided(self, team: str, since_ms: float) -> bool:
        """Return whether a reply is pending and none came since then.

        Until a holder has answered, the team may be within its rate.
        """
        holders = self._holders.values()
        is_pending = any(
            holder.call is not None and team in holder.call.wanted for holder in holders
        )
        return is_pending and all(
            holder.last_answer_ms.get(team, -math.inf) < since_ms for holder in holders
        )

    def is_idle(self) -> bool:
        """Return whether nothing is held, wanted or left to report."""
        return not self._teams and not any(
            holder.held for holder in self._holders.values()
        )

    def plan(self, domains: Sequence[str], now_ms: float) -> list[BorrowCall]:
        """Return the calls to send now.

        ``domains`` lists the failure domains with a holder, own domain first.
        """
        self._domains = tuple(domains)
        self._discard_expired(now_ms)
        wanted: dict[str, dict[str, int]] = {}
        deferred: dict[str, int] = {}
        for team in self._teams:
            self._return_unused(team, now_ms)
            missing, is_due = self._count_missing(team, now_ms)
            if missing > 0 and is_due:
                self._assign_request(team, missing, domains, wanted, now_ms)
            elif missing > 0:
                deferred[team] = missing
        self._piggyback_requests(deferred, domains, wanted, now_ms)
        if wanted:
            self._requested_at_ms = now_ms
        calls = []
        for domain in domains:
            call = self._make_call(domain, wanted.get(domain, {}), now_ms)
            if call is not None:
                calls.append(call)
        return calls

    def settle(
        self, call: BorrowCall, reply: control_pb2.BorrowReply | None, now_ms: float
    ) -> None:
        """Apply the reply to a call, or None if the call failed."""
        holder = self._get_holder(call.domain)
        if holder.call is call:
            holder.call = None
        if reply is None:
            backoff_ms = min(_MAX_BACKOFF_MS, _INITIAL_BACKOFF_MS * 2**holder.failures)
            holder.failures = min(holder.failures + 1, 10)
            holder.down_until_ms = now_ms + backoff_ms
            return
        holder.failures = 0
        holder.down_until_ms = (
            -math.inf if reply.is_holder else now_ms + _NOT_HOLDER_BACKOFF_MS
        )
        self._acknowledge_reports(holder, call, now_ms)
        for grant in reply.grants:
            self._add_grant(holder, call, reply.holder_incarnation, grant, now_ms)
            self._update_supply(holder, call, grant, now_ms)

    def retry_after_ms(self, team: str, domains: Sequence[str], now_ms: float) -> int:
        """Return the time until a holder is expected to have a token."""
        waits = [
            max(holder.backoff_until_ms.get(team, now_ms), holder.down_until_ms)
            - now_ms
            for holder in (self._get_holder(domain) for domain in domains)
        ]
        return max(1, math.ceil(min(waits, default=_MAX_BACKOFF_MS)))

    def state(self, now_ms: float) -> dict[str, object]:
        """Return tokens and demand of each team for the dump."""
        return {
            "teams": {
                team: {
                    "tokens": state.unused_tokens(now_ms),
                    "waiting_calls": state.waiting,
                    "demand_per_s": round(state.current_demand_per_s(now_ms), 3),
                    "ahead_ms": round(state.lookahead_ms, 1),
                }
                for team, state in self._teams.items()
            },
            "holders": {
                domain: {
                    "is_calling": holder.call is not None,
                    "is_down": now_ms < holder.down_until_ms,
                    "failures": holder.failures,
                    "open_grants": len(holder.held),
                }
                for domain, holder in self._holders.items()
            },
        }

    def _get_holder(self, domain: str) -> _HolderState:
        holder = self._holders.get(domain)
        if holder is None:
            holder = self._holders[domain] = _HolderState()
        return holder

    def _pending_tokens(self, team: str, now_ms: float) -> int:
        """Return the tokens requested by recent calls without a reply."""
        return sum(
            holder.call.wanted.get(team, 0)
            for holder in self._holders.values()
            if holder.call is not None and now_ms - holder.call.sent_ms < _HEDGE_MS
        )

    def _count_missing(self, team: str, now_ms: float) -> tuple[int, bool]:
        """Return the missing tokens and whether to request them now."""
        state = self._teams.get(team)
        if state is None:
            return 0, False
        ahead = state.lookahead_calls(now_ms)
        have = state.unused_tokens(
            now_ms + _RENEW_BEFORE_EXPIRY_MS
        ) + self._pending_tokens(team, now_ms)
        missing = state.waiting + ahead - have
        if have < state.waiting:
            return missing, True
        if have - state.waiting >= ahead / 2:
            return missing, False
        gap_ms = min(_BATCH_INTERVAL_MS, state.lookahead_ms / 2)
        return missing, now_ms - self._requested_at_ms >= gap_ms

    def _piggyback_requests(
        self,
        deferred: dict[str, int],
        domains: Sequence[str],
        wanted: dict[str, dict[str, int]],
        now_ms: float,
    ) -> None:
        """Add teams that need no call of their own to the planned calls."""
        for team, missing in deferred.items():
            for domain in domains:
                if domain in wanted and self._can_call(domain, team, now_ms):
                    wanted[domain][team] = missing
                    break

    def _assign_request(
        self,
        team: str,
        missing: int,
        domains: Sequence[str],
        wanted: dict[str, dict[str, int]],
        now_ms: float,
    ) -> None:
        """Request from the own holder, or else split over all others."""
        free = [domain for domain in domains if self._can_call(domain, team, now_ms)]
        if not free:
            return
        own = self._get_holder(domains[0])
        if free[0] == domains[0]:
            free = free[:1]
        elif own.call is not None and now_ms - own.call.sent_ms < _HEDGE_MS:
            return
        part = -(-missing // len(free))
        if own.call is not None and free[0] != domains[0]:
            # The call to the own holder may be lost, and so may the next
            # one. Surplus tokens are returned.
            for domain in free:
                wanted.setdefault(domain, {})[team] = missing
            return
        for domain in free:
            wanted.setdefault(domain, {})[team] = min(part, missing)
            missing -= min(part, missing)
            if missing == 0:
                return

    def _can_call(self, domain: str, team: str, now_ms: float) -> bool:
        holder = self._get_holder(domain)
        if holder.call is not None or now_ms < holder.down_until_ms:
            return False
        return now_ms >= holder.backoff_until_ms.get(team, -math.inf)

    def _return_unused(self, team: str, now_ms: float) -> None:
        """Mark surplus and soon expiring tokens as returned."""
        state = self._teams[team]
        ahead = state.lookahead_calls(now_ms)
        excess = state.unused_tokens(now_ms) - state.waiting - ahead
        if excess <= ahead:
            excess = 0
        for held in state.held:
            count = min(held.unused_tokens(), excess)
            if (
                held.expires_ms <= now_ms + _RETURN_BEFORE_EXPIRY_MS
                and state.waiting == 0
            ):
                count = held.unused_tokens()
            if count <= 0:
                continue
            held.returned += count
            excess -= count
            held.unreported_since_ms = -math.inf

    def _make_call(
        self, domain: str, wanted: dict[str, int], now_ms: float
    ) -> BorrowCall | None:
        holder = self._get_holder(domain)
        if holder.call is not None or now_ms < holder.down_until_ms:
            return None
        if not wanted and not self._has_due_report(holder, now_ms):
            return None
        reports = [
            (held, held.spent, held.returned, held.refunded)
            for held in holder.held.values()
            if held.has_unreported()
        ]
        call = BorrowCall(domain=domain, sent_ms=now_ms, wanted=wanted, reports=reports)
        holder.call = call
        holder.last_sent_ms = now_ms
        return call

    def _has_due_report(self, holder: _HolderState, now_ms: float) -> bool:
        for held in holder.held.values():
            if not held.has_unreported():
                continue
            state = self._teams.get(held.team)
            wait_ms = (
                _REPORT_DELAY_MS
                if state is None
                else min(_REPORT_DELAY_MS, state.lookahead_ms)
            )
            if now_ms - held.unreported_since_ms >= wait_ms:
                return now_ms - holder.last_sent_ms >= _MIN_CALL_INTERVAL_MS
        return False

    def _acknowledge_reports(
        self, holder: _HolderState, call: BorrowCall, now_ms: float
    ) -> None:
        for held, spent, returned, refunded in call.reports:
            held.acked_spent = max(held.acked_spent, spent)
            held.acked_returned = max(held.acked_returned, returned)
            held.acked_refunded = max(held.acked_refunded, refunded)
            held.unreported_since_ms = now_ms if held.has_unreported() else math.inf

    def _update_supply(
        self,
        holder: _HolderState,
        call: BorrowCall,
        grant: control_pb2.TokenGrant,
        now_ms: float,
    ) -> None:
        """Adapt backoff and lookahead to how many tokens were granted."""
        team = grant.team
        holder.last_answer_ms[team] = now_ms
        state = self._teams.get(team)
        is_short = grant.tokens < call.wanted.get(team, 0)
        if is_short:
            count = holder.short_replies.get(team, 0)
            holder.short_replies[team] = min(count + 1, _MAX_SHORT_REPLIES)
            most_ms = _MAX_PARTIAL_BACKOFF_MS if grant.tokens else _MAX_EMPTY_BACKOFF_MS
            backoff_ms = min(
                most_ms, _MIN_CALL_INTERVAL_MS * _SHORT_BACKOFF_FACTOR**count
            )
            retry_ms = max(grant.retry_after_ms, backoff_ms)
            holder.backoff_until_ms[team] = now_ms + retry_ms
        else:
            holder.short_replies.pop(team, None)
            holder.backoff_until_ms.pop(team, None)
        # A retry time after a full grant means that it emptied the bucket.
        if not is_short and grant.retry_after_ms == 0:
            holder.last_short_ms.pop(team, None)
            if state is not None:
                state.grow_lookahead()
            return
        holder.last_short_ms[team] = now_ms
        if state is not None and self._are_all_short(team, now_ms):
            state.shrink_lookahead(now_ms)

    def _are_all_short(self, team: str, now_ms: float) -> bool:
        holders = [self._get_holder(domain) for domain in self._domains]
        return all(
            now_ms < holder.down_until_ms
            or now_ms < holder.backoff_until_ms.get(team, -math.inf)
            or now_ms - holder.last_short_ms.get(team, -math.inf) < _SHORT_MEMORY_MS
            for holder in holders
        )

    def _add_grant(
        self,
        holder: _HolderState,
        call: BorrowCall,
        holder_incarnation: str,
        grant: control_pb2.TokenGrant,
        now_ms: float,
    ) -> None:
        expires_ms = call.sent_ms + drift_safe_ms(grant.life_ms)
        key = (call.domain, holder_incarnation, grant.grant_id)
        if grant.tokens == 0 or expires_ms <= now_ms or key in self._seen_grants:
            return
        # After this time, a duplicate of the reply is rejected as expired.
        self._seen_grants[key] = expires_ms
        held = _HeldGrant(
            team=grant.team,
            domain=call.domain,
            holder_incarnation=holder_incarnation,
            grant_id=grant.grant_id,
            tokens=grant.tokens,
            expires_ms=expires_ms,
        )
        holder.held[(holder_incarnation, grant.grant_id)] = held
        state = self._teams.setdefault(grant.team, _TeamState())
        insort(state.held, held, key=lambda item: item.expires_ms)

    def _discard_expired(self, now_ms: float) -> None:
        """Discard expired grants and the state of idle teams."""
        self._seen_grants = {k: v for k, v in self._seen_grants.items() if v > now_ms}
        for holder in self._holders.values():
            oldest_ms = now_ms - drift_safe_ms(REFUND_WINDOW_MS)
            ended = [k for k, v in holder.held.items() if v.expires_ms <= oldest_ms]
            for key in ended:
                del holder.held[key]
        idle = []
        for team, state in self._teams.items():
            state.held = [
                h for h in state.held if h.expires_ms > now_ms and h.unused_tokens()
            ]
            is_quiet = state.current_demand_per_s(now_ms) < _IDLE_DEMAND_PER_S
            if is_quiet and not state.held and not state.waiting:
                idle.append(team)
        for team in idle:
            del self._teams[team]
            for holder in self._holders.values():
                holder.last_answer_ms.pop(team, None)
                holder.last_short_ms.pop(team, None)
                holder.backoff_until_ms.pop(team, None)
                holder.short_replies.pop(team, None)
