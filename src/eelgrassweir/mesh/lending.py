"""Rate and burst of teams: one daemon of each failure domain lends tokens."""

from collections.abc import Sequence

from eliot import log_message
from returns.result import Failure, Result, Success

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.link_client import LinkError, LinkPool
from eelgrassweir.errors import StepError
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.proto.control_pb2 import (
    DOWN,
    READY,
    BorrowReply,
    BorrowRequest,
    Member,
)
from eelgrassweir.routing.rules import RoutingConfig, TeamRule
from eelgrassweir.shares.holder import Part, ShareHolder, split_parts

GRANT_LIFE_MS = 1_000
BORROW_LIMIT_MS = 200.0
# Part of the allowed overage that is lent; the rest covers grants that two
# holders made while the daemons did not yet agree on one of them.
OVERAGE_SHARE = 0.7
# A new holder lends this share of its burst at once, within the overage.
START_SHARE = 0.4
# The rate of a team without a limit; no daemon reaches it.
UNLIMITED_PER_S = 10_000_000.0


class Lending:
    """Lend the tokens of the own domain and find who lends those of others."""

    def __init__(
        self,
        *,
        vm: str,
        incarnation: str,
        failure_domain: str,
        failure_domains: Sequence[str],
        overage: float,
        clock: Clock,
        members: MemberTable,
        links: LinkPool,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._failure_domains = tuple(failure_domains)
        self._factor = 1.0 + overage * OVERAGE_SHARE
        self._clock = clock
        self._members = members
        self._links = links
        self._teams: tuple[TeamRule, ...] = ()
        self._holder: ShareHolder | None = None
        self._holders: dict[str, Member] | None = None
        members.subscribe(self._forget_holders)

    def take_config(self, config: RoutingConfig) -> None:
        """Lend by the rates of a new configuration."""
        self._teams = tuple(config.teams.values())
        if self._holder is not None:
            self._holder.set_parts(self._parts(), self._clock.now_ms())

    def holders(self) -> Sequence[tuple[str, str]]:
        """Return (failure domain, VM) of the holders, own domain first."""
        own = self._failure_domain
        return sorted(
            ((domain, member.vm) for domain, member in self._chosen().items()),
            key=lambda holder: (holder[0] != own, holder[0]),
        )

    async def borrow(
        self, vm: str, request: BorrowRequest
    ) -> Result[BorrowReply, StepError]:
        """Ask the holder on ``vm`` for tokens."""
        if vm == self._vm:
            return Success(self.lend(request))
        member = self._members.get(vm)
        if member is None:
            return Failure(StepError("borrow", vm, "the holder is gone"))
        try:
            payload = await self._links.borrow(
                member.link_address,
                member.incarnation,
                request.SerializeToString(),
                limit_ms=BORROW_LIMIT_MS,
            )
        except LinkError as error:
            return Failure(error)
        return Success(BorrowReply.FromString(payload))

    def lend_serialized(self, payload: bytes) -> bytes:
        """Answer a serialized request for tokens."""
        return self.lend(BorrowRequest.FromString(payload)).SerializeToString()

    def lend(self, request: BorrowRequest) -> BorrowReply:
        """Answer a request for tokens."""
        now_ms = self._clock.now_ms()
        reply = BorrowReply(
            is_holder=False, holder_incarnation=self._incarnation, current_holder=""
        )
        holder = self._own_holder(now_ms)
        if holder is None:
            return reply
        reply.is_holder = True
        borrower = f"{request.vm}/{request.incarnation}"
        for report in request.reports:
            holder.report(
                borrower, report.grant_id, report.spent, report.returned, now_ms
            )
            holder.refund(borrower, report.grant_id, report.refunded, now_ms)
        for wanted in request.requests:
            grant = holder.grant(borrower, wanted.team, wanted.wanted, now_ms)
            reply.grants.add(
                team=grant.team,
                grant_id=grant.grant_id,
                tokens=grant.tokens,
                life_ms=grant.life_ms,
                retry_after_ms=grant.retry_after_ms,
            )
        return reply

    def state(self) -> dict[str, object]:
        """Return holders and levels for the dump."""
        now_ms = self._clock.now_ms()
        return {
            "holders": dict(self.holders()),
            "lent": self._holder.state(now_ms) if self._holder else None,
        }

    def _own_holder(self, now_ms: float) -> ShareHolder | None:
        """Return the holder of this daemon while the daemon is chosen."""
        chosen = self._chosen().get(self._failure_domain)
        if chosen is None or chosen.incarnation != self._incarnation:
            if self._holder is not None:
                log_message(message_type="lending:ended", vm=self._vm)
            self._holder = None
            return None
        if self._holder is None:
            log_message(message_type="lending:began", vm=self._vm)
            self._holder = ShareHolder(
                epoch=f"{self._incarnation}/{now_ms}",
                grant_life_ms=GRANT_LIFE_MS,
                now_ms=now_ms,
                parts=self._parts(),
                start_share=START_SHARE,
            )
        return self._holder

    def _parts(self) -> dict[str, Part]:
        """Return the own domain's part of every team's rate and burst."""
        parts = {}
        for team in self._teams:
            rate_per_s = team.rate_per_s or UNLIMITED_PER_S
            split = split_parts(
                rate_per_s * self._factor,
                int(max(1.0, team.burst_calls or rate_per_s)),
                self._failure_domains,
                team.name,
            )
            parts[team.name] = split[self._failure_domain]
        return parts

    def _forget_holders(self, _member: Member) -> None:
        self._holders = None

    def _chosen(self) -> dict[str, Member]:
        """Return the daemon that lends in each domain.

        All daemons see the same entries of the store and choose alike; one
        that leaves hands over before it stops.
        """
        if self._holders is None:
            chosen: dict[str, Member] = {}
            for member in self._members.all():
                known = chosen.get(member.failure_domain)
                if member.state != DOWN and (
                    known is None or _rank(member) < _rank(known)
                ):
                    chosen[member.failure_domain] = member
            self._holders = chosen
        return self._holders


def _rank(member: Member) -> tuple[bool, str]:
    return member.state != READY, member.vm
