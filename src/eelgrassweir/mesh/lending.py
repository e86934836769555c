"""Enforce the rate and burst of teams with borrowed tokens.

One daemon of each failure domain, the holder, keeps a token bucket for each
team. The daemons borrow tokens from the holders and spend them on requests.
"""

import asyncio
from collections.abc import Sequence

import attrs
from eliot import log_message

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.link_client import LinkError
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.proto.control_pb2 import (
    DOWN,
    READY,
    BorrowReply,
    BorrowRequest,
    Member,
)
from eelgrassweir.routing.rules import RoutingConfig, TeamRule
from eelgrassweir.shares.credit import (
    BucketLimits,
    CreditAccounts,
    CreditHolder,
    compute_bucket_limits,
)
from eelgrassweir.shares.placement import choose_domains

BORROW_TIMEOUT_MS = 150.0
# A holder that did not answer is not asked again for this long.
HOLDER_EXCLUSION_MS = 1_000.0
# Part of the allowed overage that is lent. The rest covers tokens lent by two
# holders of a domain while the daemons disagree on which one is the holder.
LENT_OVERAGE_SHARE = 0.6
# Requests within the higher limit must be served until one whole window after
# all daemons have the lower one. The lower limit takes effect after this part
# of the window; the rest covers daemons that receive it late.
DECREASE_WINDOW_SHARE = 0.4
# A request waits this long for the next token instead of being refused. Its
# caller would be back later than that.
MAX_TOKEN_WAIT_MS = 80
# Borrow requests are small until the demand is known, so that one of several
# concurrent requests may have to wait for more than one of them.
MAX_BORROW_ROUNDS = 10


@attrs.frozen(kw_only=True)
class QuotaTolerance:
    """How far the requests of a team may exceed its rate and burst.

    ``window_s`` is the window over which requests are counted, ``overage`` the
    allowed excess as a fraction of rate and burst, and ``slack_calls`` the
    number of requests allowed in addition.
    """

    window_s: float
    overage: float
    slack_calls: float


@attrs.frozen
class _PendingDecrease:
    """A lower limit of a team and the time at which it takes effect."""

    team: TeamRule
    effective_ms: float


class TokenLending:
    """Borrow tokens for local requests; lend them while this VM is a holder.

    ``decrease_delay_ms`` is the time from the arrival of a lower limit until
    it takes effect.
    """

    def __init__(
        self,
        *,
        vm: str,
        incarnation: str,
        failure_domain: str,
        failure_domains: Sequence[str],
        tolerance: QuotaTolerance,
        clock: Clock,
        members: MemberTable,
        links: LinkPool,
        decrease_delay_ms: float,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._domains = tuple(failure_domains) or (failure_domain,)
        # Domains with a holder, as of the limits of the local holder.
        self._limited_domains: frozenset[str] = frozenset()
        self._tolerance = tolerance
        self._clock = clock
        self._members = members
        self._links = links
        self._decrease_delay_ms = decrease_delay_ms
        self._teams: dict[str, TeamRule] = {}
        self._pending_decreases: dict[str, _PendingDecrease] = {}
        self._accounts = CreditAccounts()
        self._local_holder: CreditHolder | None = None
        self._fallback: CreditHolder | None = None
        self._selected_holders: tuple[Member, ...] | None = None
        self._excluded_until_ms: dict[str, float] = {}
        self._borrowing_task: asyncio.Task[None] | None = None
        self.sent_borrow_requests = 0
        members.subscribe(self._invalidate_holders)

    def apply_config(self, config: RoutingConfig) -> None:
        """Apply the rates of a new configuration.

        A lower limit takes effect only once every daemon has the
        configuration, so that no daemon refuses requests that another one
        still serves.
        """
        now_ms = self._clock.now_ms()
        teams = dict(config.teams)
        previous, self._pending_decreases = self._pending_decreases, {}
        for name, team in config.teams.items():
            current = self._teams.get(name)
            if current is None or not _is_decrease(team, current):
                continue
            teams[name] = current
            effective_ms = now_ms + self._decrease_delay_ms
            if name in previous:
                effective_ms = previous[name].effective_ms
            self._pending_decreases[name] = _PendingDecrease(team, effective_ms)
        self._set_teams(teams, now_ms)

    def refresh(self) -> None:
        """Apply due decreases and update whether this daemon is a holder."""
        now_ms = self._clock.now_ms()
        due = [
            name
            for name, decrease in self._pending_decreases.items()
            if decrease.effective_ms <= now_ms
        ]
        if due:
            lower = {name: self._pending_decreases.pop(name).team for name in due}
            self._set_teams(self._teams | lower, now_ms)
        if self._teams:
            # Become the holder before the first request, so that the buckets
            # have time to fill.
            self._update_local_holder(now_ms)

    def _set_teams(self, teams: dict[str, TeamRule], now_ms: float) -> None:
        self._teams = teams
        if self._local_holder is not None:
            self._update_local_limits(self._local_holder, now_ms)
        if self._fallback is not None:
            self._update_fallback(now_ms)

    # Borrowing

    async def take_token(self, team: TeamRule) -> int:
        """Take one token of the team, borrowing if there is none left.

        Return 0 on success, otherwise the time in ms after which to retry.
        """
        now_ms = self._clock.now_ms()
        accounts = self._accounts
        accounts.record_demand(team.name, now_ms)
        if accounts.take(team.name, now_ms):
            if accounts.is_low(team.name, now_ms):
                self._ensure_borrowing(team.name)
            return 0
        may_wait = True
        for _ in range(MAX_BORROW_ROUNDS):
            retry_after_ms = accounts.backoff_left_ms(team.name, self._clock.now_ms())
            if not retry_after_ms:
                await asyncio.shield(self._ensure_borrowing(team.name))
            elif may_wait and retry_after_ms <= MAX_TOKEN_WAIT_MS:
                may_wait = False
                await asyncio.sleep(retry_after_ms / 1e3)
            else:
                return retry_after_ms
            if accounts.take(team.name, self._clock.now_ms()):
                return 0
        return max(1, accounts.backoff_left_ms(team.name, self._clock.now_ms()))

    def return_token(self, team: TeamRule) -> None:
        """Return the token of a request that was not run."""
        self._accounts.add(team.name, 1.0, self._clock.now_ms())

    def _ensure_borrowing(self, needed_team: str) -> "asyncio.Task[None]":
        """Return the running borrow task; start one if there is none."""
        if self._borrowing_task is None or self._borrowing_task.done():
            wanted = self._accounts.plan_borrow(self._clock.now_ms(), needed_team)
            self._borrowing_task = asyncio.create_task(self._borrow(wanted))
        return self._borrowing_task

    async def _borrow(self, wanted: dict[str, int]) -> None:
        """Ask one holder after another until all teams have tokens.

        The holder of the local failure domain is asked first, and each only
        for the teams whose tokens it holds.
        """
        backoffs_ms: dict[str, int] = {}
        unanswered = dict(wanted)
        for member in self.find_reachable_holders():
            held = self._select_held(wanted, member.failure_domain)
            sent_ms = self._clock.now_ms()
            reply = await self._borrow_from(member, held) if held else None
            if reply is None:
                continue
            for grant in reply.grants:
                unanswered.pop(grant.team, None)
                if grant.tokens:
                    self._accounts.add(grant.team, grant.tokens, sent_ms)
                    wanted.pop(grant.team, None)
                else:
                    backoffs_ms[grant.team] = grant.retry_after_ms
            if not wanted:
                return
        if unanswered:
            self._borrow_from_fallback(unanswered, backoffs_ms)
            for team in wanted.keys() - backoffs_ms.keys():
                del wanted[team]
        now_ms = self._clock.now_ms()
        for team in wanted:
            self._accounts.back_off(team, backoffs_ms.get(team, 1), now_ms)

    def _select_held(self, wanted: dict[str, int], domain: str) -> dict[str, int]:
        """Return the part of a plan that the holder of a domain can lend."""
        return {
            team: tokens
            for team, tokens in wanted.items()
            if domain in self._find_domains(team)
        }

    async def _borrow_from(
        self, member: Member, wanted: dict[str, int]
    ) -> BorrowReply | None:
        request = BorrowRequest(vm=self._vm, incarnation=self._incarnation)
        for team, tokens in wanted.items():
            request.requests.add(team=team, wanted=tokens)
        if member.incarnation == self._incarnation:
            reply = self.lend(request)
            return reply if reply.is_holder else None
        self.sent_borrow_requests += 1
        try:
            payload = await self._links.borrow(
                member.link_address,
                member.incarnation,
                request.SerializeToString(),
                timeout_ms=BORROW_TIMEOUT_MS,
            )
        except LinkError as error:
            log_message(message_type="lending:unanswered", reason=str(error))
            until_ms = self._clock.now_ms() + HOLDER_EXCLUSION_MS
            self._excluded_until_ms[member.vm] = until_ms
            return None
        reply = BorrowReply.FromString(payload)
        return reply if reply.is_holder else None

    def _borrow_from_fallback(
        self, wanted: dict[str, int], backoffs_ms: dict[str, int]
    ) -> None:
        """Use an even share of the rates while no holder answers."""
        now_ms = self._clock.now_ms()
        if self._fallback is None:
            self._fallback = CreditHolder()
            self._update_fallback(now_ms)
        for team, tokens in list(wanted.items()):
            credit = self._fallback.lend(team, tokens, now_ms)
            if credit.tokens:
                self._accounts.add(team, credit.tokens, now_ms)
                del wanted[team]
            else:
                backoffs_ms[team] = credit.retry_after_ms

    def _update_fallback(self, now_ms: float) -> None:
        assert self._fallback is not None
        daemons = max(1, self._members.count_live())
        limits = {
            name: self._compute_limits(team).split(daemons)
            for name, team in self._teams.items()
        }
        self._fallback.set_limits(limits, now_ms)

    # Lending

    def lend_serialized(self, payload: bytes) -> bytes:
        """Lend tokens for a serialized ``BorrowRequest``."""
        return self.lend(BorrowRequest.FromString(payload)).SerializeToString()

    def lend(self, request: BorrowRequest) -> BorrowReply:
        """Lend tokens, or reply that this daemon is not a holder."""
        now_ms = self._clock.now_ms()
        holder = self._update_local_holder(now_ms)
        reply = BorrowReply(is_holder=holder is not None)
        if holder is None:
            return reply
        for team_request in request.requests:
            credit = holder.lend(team_request.team, team_request.wanted, now_ms)
            reply.grants.add(
                team=team_request.team,
                tokens=credit.tokens,
                retry_after_ms=credit.retry_after_ms,
            )
        return reply

    def _update_local_holder(self, now_ms: float) -> CreditHolder | None:
        """Return the buckets to lend from, None if not selected as a holder.

        The buckets are created on selection and dropped when it ends.
        """
        is_selected = any(
            member.incarnation == self._incarnation for member in self._select_holders()
        )
        if not is_selected:
            if self._local_holder is not None:
                log_message(message_type="lending:ended", vm=self._vm)
            self._local_holder = None
            return None
        if self._local_holder is None:
            log_message(message_type="lending:began", vm=self._vm)
            self._local_holder = CreditHolder()
            self._update_local_limits(self._local_holder, now_ms)
        elif self._limited_domains != self._find_live_domains():
            self._update_local_limits(self._local_holder, now_ms)
        return self._local_holder

    def _update_local_limits(self, holder: CreditHolder, now_ms: float) -> None:
        """Give the holder this domain's part of the teams that have one."""
        self._limited_domains = self._find_live_domains()
        limits = {}
        for name, team in self._teams.items():
            domains = self._find_domains(name)
            if self._failure_domain in domains:
                limits[name] = self._compute_limits(team).split(len(domains))
        holder.set_limits(limits, now_ms)

    def _find_live_domains(self) -> frozenset[str]:
        return frozenset(member.failure_domain for member in self._select_holders())

    def _find_domains(self, name: str) -> Sequence[str]:
        """Return the domains that hold the tokens of a team."""
        team = self._teams.get(name)
        if team is None:
            return ()
        return choose_domains(
            name,
            depth_calls=self._compute_limits(team).depth_calls,
            domains=self._domains,
            live=self._find_live_domains(),
        )

    def _compute_limits(self, team: TeamRule) -> BucketLimits:
        """Return the bucket limits of a team over all failure domains."""
        return compute_bucket_limits(
            rate_per_s=team.rate_per_s,
            burst_calls=team.burst_calls,
            window_s=self._tolerance.window_s,
            factor=1.0 + self._tolerance.overage * LENT_OVERAGE_SHARE,
            slack_calls=self._tolerance.slack_calls,
        )

    # Selection of the holders

    def _invalidate_holders(self, member: Member) -> None:
        self._selected_holders = None
        # The changed entry may be that of a restarted process.
        self._excluded_until_ms.pop(member.vm, None)

    def find_reachable_holders(self) -> list[Member]:
        """Return the holders not excluded now, the local domain's first."""
        now_ms = self._clock.now_ms()
        usable = [
            member
            for member in self._select_holders()
            if self._excluded_until_ms.get(member.vm, 0.0) <= now_ms
        ]
        local_domain = self._failure_domain
        return sorted(usable, key=lambda member: member.failure_domain != local_domain)

    def _select_holders(self) -> Sequence[Member]:
        """Return the holder of each failure domain.

        All daemons see the same member entries in the store and select the
        same holders. A draining daemon is replaced before it stops.
        """
        if self._selected_holders is None:
            selected: dict[str, Member] = {}
            for member in self._members.all():
                current = selected.get(member.failure_domain)
                if member.state != DOWN and (
                    current is None
                    or _selection_order(member) < _selection_order(current)
                ):
                    selected[member.failure_domain] = member
            self._selected_holders = tuple(selected.values())
        return self._selected_holders

    def state(self) -> dict[str, object]:
        """Return accounts, holders and lent tokens for the state dump."""
        now_ms = self._clock.now_ms()
        return {
            "accounts": self._accounts.state(now_ms),
            "holders": [member.vm for member in self._select_holders()],
            "lent": self._local_holder.state(now_ms) if self._local_holder else None,
            "asked_calls": self.sent_borrow_requests,
        }


def compute_decrease_delay_ms(*, apply_ms: float, window_s: float) -> float:
    """Return the time from a lower limit's arrival until it takes effect."""
    return apply_ms + DECREASE_WINDOW_SHARE * window_s * 1e3


def _is_decrease(team: TeamRule, current: TeamRule) -> bool:
    """Return whether ``team`` has a lower limit; a rate of 0 means none."""
    if current.rate_per_s <= 0 or team.rate_per_s <= 0:
        return False
    is_slower = team.rate_per_s < current.rate_per_s
    return is_slower or team.burst_calls < current.burst_calls


def _selection_order(member: Member) -> tuple[bool, str]:
    return member.state != READY, member.vm
