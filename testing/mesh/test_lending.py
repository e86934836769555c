"""Guard against team rates enforced too strictly or too loosely."""

import asyncio
import math

import attrs
from hypothesis import given, settings, strategies as st

from eelgrassweir.clock import ManualClock
from eelgrassweir.daemon.link_client import LinkOptions
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.mesh.lending import (
    QuotaTolerance,
    TokenLending,
    compute_decrease_delay_ms,
)
from eelgrassweir.proto.control_pb2 import DRAINING, READY, BorrowRequest, Member
from eelgrassweir.routing.rules import CallerLimits, RoutingConfig, TeamRule

TEAM = TeamRule(name="t", priority=1, rate_per_s=100.0, burst_calls=100.0)
LIMITS = CallerLimits(head_bytes=1, body_bytes=1, head_timeout_ms=1, idle_timeout_ms=1)
CONFIG = RoutingConfig(
    version=1,
    routes_by_host={},
    teams_by_key_hash={},
    teams={"t": TEAM},
    limits=LIMITS,
)
LOWER_CONFIG = attrs.evolve(
    CONFIG,
    version=2,
    teams={"t": attrs.evolve(TEAM, rate_per_s=10.0, burst_calls=10.0)},
)
DECREASE_DELAY_MS = 1_500.0
WINDOW_MS = 5_000.0
STEP_MS = 100
REQUEST = BorrowRequest(requests=[{"team": "t", "wanted": 3}])  # type: ignore[list-item]


def make_member(vm: str, revision: int, **changes: object) -> Member:
    """Return the entry of a daemon that cannot be reached."""
    fields: dict[str, object] = {
        "vm": vm,
        "incarnation": f"{vm}/{revision}",
        "started_ms": revision,
        "state": READY,
        "failure_domain": "a",
        "link_address": "127.0.0.1:1",
    }
    return Member(**(fields | changes))  # type: ignore[arg-type]


def make_lending(vm: str, members: MemberTable, clock: ManualClock) -> TokenLending:
    """Return a ``TokenLending``; must be called in an event loop."""
    options = LinkOptions(
        vm=vm,
        incarnation="1",
        ping_ms=100,
        silence_ms=300,
        body_limit_bytes=1_000,
        connect_timeout_ms=100,
    )
    return TokenLending(
        vm=vm,
        incarnation=f"{vm}/1",
        failure_domain="a",
        failure_domains=("a",),
        tolerance=QuotaTolerance(window_s=5.0, overage=0.1, slack_calls=20.0),
        clock=clock,
        members=members,
        links=LinkPool(options, clock),
        decrease_delay_ms=DECREASE_DELAY_MS,
    )


def test_one_daemon_of_a_domain_lends() -> None:
    """Guard against two holders of a domain that each lend the whole rate."""

    async def scenario() -> None:
        members = MemberTable()
        clock = ManualClock()
        first, second = (make_lending(vm, members, clock) for vm in ("v1", "v2"))
        for part in (first, second):
            part.apply_config(CONFIG)
        members.merge(make_member("v1", 1))
        members.merge(make_member("v2", 1))
        assert first.lend(REQUEST).is_holder
        assert not second.lend(REQUEST).is_holder
        # A draining holder is replaced at once.
        members.merge(make_member("v1", 2, incarnation="v1/1", state=DRAINING))
        assert not first.lend(REQUEST).is_holder
        assert second.lend(REQUEST).grants[0].tokens == 3

    asyncio.run(scenario())


def test_entry_without_a_holder_uses_an_even_share() -> None:
    """Guard against refusing a whole team while no holder is reachable."""

    async def scenario() -> None:
        members = MemberTable()
        members.merge(make_member("v0", 1))
        entry = make_lending("v9", members, ManualClock())
        entry.apply_config(CONFIG)
        assert await entry.take_token(TEAM) == 0

    asyncio.run(scenario())


def test_restarted_holder_is_asked_again_at_once() -> None:
    """Guard against not asking a holder for a second after its restart.

    In the incident of urquiola-fichero each restart left the failure domain
    without a holder for a second.
    """

    async def scenario() -> None:
        members = MemberTable()
        members.merge(make_member("v0", 1))
        entry = make_lending("v9", members, ManualClock())
        entry.apply_config(CONFIG)
        await entry.take_token(TEAM)
        assert entry.find_reachable_holders() == []
        members.merge(make_member("v0", 2))
        assert [holder.vm for holder in entry.find_reachable_holders()] == ["v0"]

    asyncio.run(scenario())


def test_first_requests_that_come_together_all_get_tokens() -> None:
    """Guard against 429 while the holder has tokens.

    While the demand is unknown, tokens are borrowed one at a time.
    """

    async def scenario() -> None:
        entry = make_only_holder(ManualClock())
        waits = await asyncio.gather(*(entry.take_token(TEAM) for _ in range(10)))
        assert waits == [0] * 10

    asyncio.run(scenario())


def make_only_holder(clock: ManualClock) -> TokenLending:
    """Return a ``TokenLending`` of the only daemon of its domain."""
    members = MemberTable()
    members.merge(make_member("v0", 1))
    holder = make_lending("v0", members, clock)
    holder.apply_config(CONFIG)
    return holder


def lend_to_excess_demand(
    holder: TokenLending, clock: ManualClock, span_ms: int
) -> int:
    """Return the tokens lent in ``span_ms`` to a demand above any rate."""
    tokens = 0
    excessive = BorrowRequest(requests=[{"team": "t", "wanted": 50}])  # type: ignore[list-item]
    for _ in range(span_ms // 100):
        clock.advance(100.0)
        holder.refresh()
        tokens += holder.lend(excessive).grants[0].tokens
    return tokens


def test_lower_rate_takes_effect_when_all_daemons_have_it() -> None:
    """Guard against one daemon refusing what another one still serves."""

    async def scenario() -> None:
        clock = ManualClock()
        holder = make_only_holder(clock)
        lend_to_excess_demand(holder, clock, 5_000)
        holder.apply_config(LOWER_CONFIG)
        assert lend_to_excess_demand(holder, clock, int(DECREASE_DELAY_MS)) > 100
        lend_to_excess_demand(holder, clock, 1_000)
        assert lend_to_excess_demand(holder, clock, 5_000) < 80

    asyncio.run(scenario())


def test_lower_rate_takes_effect_between_arrival_and_enforcement() -> None:
    """Guard against refusing requests that the earlier rate still allows.

    The lower rate must take effect after all daemons have it, and before a
    whole window is judged by it.
    """
    begins_ms = compute_decrease_delay_ms(apply_ms=2_000.0, window_s=5.0)
    assert 2_000.0 + 1_000.0 < begins_ms < 2_000.0 + 5_000.0 - 1_000.0


def test_raised_rate_replaces_a_pending_decrease() -> None:
    """Guard against a pending decrease that outlives its configuration."""

    async def scenario() -> None:
        clock = ManualClock()
        holder = make_only_holder(clock)
        holder.apply_config(LOWER_CONFIG)
        holder.apply_config(attrs.evolve(CONFIG, version=3))
        lend_to_excess_demand(holder, clock, 5_000)
        assert lend_to_excess_demand(holder, clock, 5_000) > 400

    asyncio.run(scenario())


def test_small_team_can_send_a_few_requests_at_once() -> None:
    """Guard against 429 far below the rate.

    The bucket of a small team held one token in each domain.
    """

    async def scenario() -> None:
        members = MemberTable()
        members.merge(make_member("v0", 1))
        small = attrs.evolve(TEAM, rate_per_s=4.0, burst_calls=4.0)
        clock = ManualClock()
        entry = make_lending("v0", members, clock)
        entry.apply_config(attrs.evolve(CONFIG, teams={"t": small}))
        entry.refresh()
        clock.advance(10_000.0)
        waits = await asyncio.gather(*(entry.take_token(small) for _ in range(6)))
        assert waits == [0] * 6

    asyncio.run(scenario())


@given(
    changes=st.lists(
        st.tuples(st.integers(1, 60), st.sampled_from([5, 20, 64, 200])),
        min_size=1,
        max_size=8,
    )
)
@settings(max_examples=40, deadline=None)
def test_no_window_exceeds_the_rates_in_force(
    changes: list[tuple[int, int]],
) -> None:
    """Guard against lending above every rate after a series of changes.

    Each change follows the previous one after 0.1 to 6 s.
    """
    clock = ManualClock()
    holder = make_only_holder(clock)
    lent: list[tuple[float, int]] = []
    rates = [(clock.now_ms(), TEAM.rate_per_s)]

    def record_lent(steps: int) -> None:
        for _ in range(steps):
            lent.append((clock.now_ms(), lend_to_excess_demand(holder, clock, STEP_MS)))

    record_lent(60)
    for version, (steps, rate_per_s) in enumerate(changes, start=2):
        team = attrs.evolve(TEAM, rate_per_s=rate_per_s, burst_calls=rate_per_s)
        config = attrs.evolve(CONFIG, version=version, teams={"t": team})
        holder.apply_config(config)
        rates.append((clock.now_ms(), float(rate_per_s)))
        record_lent(steps)
    record_lent(150)
    for start_ms, _ in lent:
        calls_in_window = [n for at, n in lent if start_ms <= at < start_ms + WINDOW_MS]
        # A rate stays in force until a lower one takes effect.
        ends = [at for at, _ in rates[1:]] + [math.inf]
        in_force = [
            rate
            for (begin_ms, rate), end_ms in zip(rates, ends, strict=True)
            if begin_ms < start_ms + WINDOW_MS and end_ms + DECREASE_DELAY_MS > start_ms
        ]
        allowed_calls = max(in_force) * (WINDOW_MS / 1e3 + 1.0) * 1.1 + 20.0
        assert sum(calls_in_window) <= allowed_calls
