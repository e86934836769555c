"""Guard against refusing small teams within their rate in a large fleet.

Plays the load of many teams, most of them small, over many entries: a team's
requests reach each entry seldom. The borrowing and lending code is that of the
daemon; links and time are simulated.
"""

import asyncio
import random
from typing import cast

import attrs
import pytest

from eelgrassweir.daemon.link_client import LinkError
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.mesh.lending import QuotaTolerance, TokenLending
from eelgrassweir.proto.control_pb2 import READY, Member
from eelgrassweir.routing.rules import CallerLimits, RoutingConfig, TeamRule
from testing.virtual_time import VirtualClock, run_virtual

WINDOW_S = 5.0
OVERAGE = 0.1
SLACK_CALLS = 20.0
DOMAINS = tuple(f"zone-{number}" for number in range(6))
WARM_UP_MS = 3_000.0
END_MS = 20_000.0
# Goal for requests within the rate that are refused.
MAX_WRONGFUL_SHARE = 0.001


@attrs.define
class ReferenceBucket:
    """Tell whether a request is within the rate and burst of its team."""

    team: TeamRule
    level_calls: float
    updated_ms: float = 0.0

    def take(self, now_ms: float) -> bool:
        """Return whether a request at this time is within the limit."""
        added = self.team.rate_per_s * (now_ms - self.updated_ms) / 1e3
        self.level_calls = min(self.team.burst_calls, self.level_calls + added)
        self.updated_ms = now_ms
        if self.level_calls < 1.0:
            return False
        self.level_calls -= 1.0
        return True


@attrs.define
class Links:
    """Links from one entry to the holders, 1 or 3 ms away."""

    holders: dict[str, TokenLending]
    messages: int = 0

    async def borrow(
        self, address: str, incarnation: str, request: bytes, *, timeout_ms: float
    ) -> bytes:
        """Pass a request to the daemon at an address."""
        self.messages += 1
        await asyncio.sleep(0.003)
        if incarnation not in self.holders:
            raise LinkError("link connect", address, "refused", False)
        return self.holders[incarnation].lend_serialized(request)


@attrs.define
class Counts:
    """What the callers of one run got."""

    within_rate: int = 0
    wrongly_refused: int = 0
    served_ms: dict[str, list[float]] = attrs.field(factory=dict)
    messages: int = 0

    def find_worst_excess(self, teams: dict[str, TeamRule]) -> float:
        """Return the most calls above the tolerance in any window."""
        worst = 0.0
        for name, times_ms in self.served_ms.items():
            team = teams[name]
            allowed = team.rate_per_s * WINDOW_S + team.burst_calls
            allowed = allowed * (1.0 + OVERAGE) + SLACK_CALLS
            first = 0
            for last, end_ms in enumerate(times_ms):
                while times_ms[first] <= end_ms - WINDOW_S * 1e3:
                    first += 1
                worst = max(worst, last - first + 1 - allowed)
        return worst


def make_teams(count: int) -> dict[str, TeamRule]:
    """Return teams of uneven size, a few of them large."""
    teams = {}
    for number in range(count):
        rate_per_s = max(3.0, 120.0 / (1 + number))
        teams[f"team-{number}"] = TeamRule(
            name=f"team-{number}",
            priority=1,
            rate_per_s=rate_per_s,
            burst_calls=rate_per_s,
        )
    return teams


class Fleet:
    """Entries with the lending code of the daemon."""

    def __init__(self, entries: int, teams: dict[str, TeamRule]) -> None:
        self.clock = VirtualClock()
        self.members = MemberTable()
        self.entries: dict[str, TokenLending] = {}
        self.links = Links({})
        self.starts = 0
        self.config = RoutingConfig(
            version=1,
            routes_by_host={},
            teams_by_key_hash={},
            teams=teams,
            health_paths={},
            limits=CallerLimits(
                head_bytes=1, body_bytes=1, head_timeout_ms=1, idle_timeout_ms=1
            ),
        )
        for number in range(entries):
            self.start(f"vm-{number:04}", DOMAINS[number % len(DOMAINS)])
        self.refresh()

    def start(self, vm: str, domain: str) -> None:
        """Start or restart a daemon, which then knows nothing of before."""
        self.starts += 1
        incarnation = f"{vm}/{self.starts}"
        lending = TokenLending(
            vm=vm,
            incarnation=incarnation,
            failure_domain=domain,
            failure_domains=DOMAINS,
            tolerance=QuotaTolerance(
                window_s=WINDOW_S, overage=OVERAGE, slack_calls=SLACK_CALLS
            ),
            clock=self.clock,
            members=self.members,
            links=cast(LinkPool, self.links),
            decrease_delay_ms=0.0,
        )
        known = self.members.get(vm)
        if known is not None:
            del self.links.holders[known.incarnation]
        self.entries[vm] = self.links.holders[incarnation] = lending
        lending.apply_config(self.config)
        self.members.merge(
            Member(
                vm=vm,
                incarnation=incarnation,
                started_ms=self.starts,
                state=READY,
                failure_domain=domain,
                link_address="10.0.0.1:80",
            )
        )

    def refresh(self) -> None:
        """Do the periodic work of all daemons."""
        for lending in list(self.entries.values()):
            lending.refresh()

    async def restart_holders(self) -> None:
        """Restart the holders of two domains every 2 s."""
        while self.clock.now_ms() < END_MS:
            await asyncio.sleep(2.0)
            for member in self.entries["vm-0000"].find_reachable_holders()[:2]:
                self.start(member.vm, member.failure_domain)
            self.refresh()


async def play(
    entries: int,
    team_count: int,
    *,
    load: float,
    hot: float = 1.0,
    restarts: bool = False,
    seed: int = 1,
) -> Counts:
    """Send requests at ``load`` times each team's rate.

    The largest team but one sends ``hot`` times that. Each team moves to the
    entries of another part of the fleet halfway.
    """
    rng = random.Random(seed)
    teams = make_teams(team_count)
    fleet = Fleet(entries, teams)
    vms = list(fleet.entries)
    counts = Counts()
    tasks: set[asyncio.Task[None]] = set()
    # The requests of a team above its rate that are refused are others than
    # those that the reference refuses.
    hot_team = "team-1" if hot > 1.0 else ""

    async def send(vm: str, bucket: ReferenceBucket) -> None:
        now_ms = fleet.clock.now_ms()
        is_within = bucket.take(now_ms)
        team = bucket.team
        is_served = not await fleet.entries[vm].take_token(team)
        if is_served:
            served_ms = counts.served_ms.setdefault(team.name, [])
            served_ms.append(fleet.clock.now_ms())
        if is_within and now_ms > WARM_UP_MS and team.name != hot_team:
            counts.within_rate += 1
            counts.wrongly_refused += not is_served

    async def run_team(team: TeamRule) -> None:
        factor = hot if team.name == hot_team else 1.0
        bucket = ReferenceBucket(team, team.burst_calls)
        half = len(vms) // 2
        while fleet.clock.now_ms() < END_MS:
            await asyncio.sleep(rng.expovariate(team.rate_per_s * load * factor))
            is_later = fleet.clock.now_ms() > END_MS / 2
            vm = vms[rng.randrange(half) + (half if is_later else 0)]
            task = asyncio.create_task(send(vm, bucket))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async with asyncio.TaskGroup() as group:
        for team in teams.values():
            group.create_task(run_team(team))
        if restarts:
            group.create_task(fleet.restart_holders())
    counts.messages = fleet.links.messages
    assert counts.find_worst_excess(teams) <= 0.0
    return counts


@pytest.mark.parametrize("entries", [30, 200, 1_000])
def test_small_teams_within_their_rate_are_served(entries: int) -> None:
    """Guard against tokens that entries keep for requests that never come."""

    async def scenario() -> None:
        counts = await play(entries, 140, load=0.8)
        share = counts.wrongly_refused / counts.within_rate
        assert share <= MAX_WRONGFUL_SHARE

    run_virtual(scenario())


@pytest.mark.parametrize("entries", [30, 200])
def test_team_above_its_rate_does_not_cost_others(entries: int) -> None:
    """Guard against a hot team that uses up or exceeds what is allowed."""

    async def scenario() -> None:
        counts = await play(entries, 140, load=0.8, hot=5.0)
        share = counts.wrongly_refused / counts.within_rate
        assert share <= 10 * MAX_WRONGFUL_SHARE

    run_virtual(scenario())


@pytest.mark.parametrize("load", [0.8, 3.0])
def test_restarts_of_holders_keep_every_window_within_the_tolerance(
    load: float,
) -> None:
    """Guard against buckets that fill again with each restart of a holder."""

    async def scenario() -> None:
        counts = await play(60, 40, load=load, restarts=True)
        # Two of six domains begin again every 2 s.
        assert counts.wrongly_refused / counts.within_rate <= 0.1 or load > 1.0

    run_virtual(scenario())
