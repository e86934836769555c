"""Guard against daemons that disagree on the readers or follow in a circle."""

import random

import pytest

from eelgrassweir.membership.sources import FAN_OUT, plan_sources
from eelgrassweir.proto.control_pb2 import DOWN, DRAINING, READY, Member


def make_members(count: int, domains: int) -> list[Member]:
    """Return ready members, spread evenly over failure domains."""
    return [
        Member(
            vm=f"vm-{number}",
            incarnation=f"i-{number}",
            state=READY,
            failure_domain=f"zone-{number % domains}",
        )
        for number in range(count)
    ]


def find_parents(members: list[Member]) -> dict[str, str | None]:
    """Return the preferred source of each member, None for readers."""
    parents: dict[str, str | None] = {}
    for member in members:
        plan = plan_sources(members, vm=member.vm, failure_domain=member.failure_domain)
        parents[member.vm] = None if plan.is_reader else plan.sources[0].vm
    return parents


@pytest.mark.parametrize(
    ("count", "domains", "max_readers", "max_depth"),
    [(1, 1, 1, 0), (13, 3, 3, 1), (195, 6, 6, 1), (300, 6, 6, 2), (3_300, 11, 11, 2)],
)
def test_readers_are_few_and_every_other_daemon_reaches_one(
    count: int, domains: int, max_readers: int, max_depth: int
) -> None:
    """Guard against readers that grow with the fleet, and against circles."""
    members = make_members(count, domains)
    parents = find_parents(members)
    assert sum(parent is None for parent in parents.values()) <= max_readers
    domain_of = {member.vm: member.failure_domain for member in members}
    children: dict[str, int] = {}
    for vm, parent in parents.items():
        depth = 0
        while parent is not None:
            children[parent] = children.get(parent, 0) + (depth == 0)
            assert domain_of[parent] == domain_of[vm]
            depth += 1
            assert depth <= max_depth
            parent = parents[parent]
    assert max(children.values(), default=0) <= FAN_OUT


def test_all_daemons_choose_the_same_readers_in_any_order() -> None:
    """Guard against a choice that depends on the order of the members."""
    members = make_members(60, 4)
    shuffled = members.copy()
    random.Random(1).shuffle(shuffled)
    assert find_parents(members) == find_parents(shuffled)


@pytest.mark.parametrize("state", [DOWN, DRAINING])
def test_reader_that_leaves_is_replaced(state: int) -> None:
    """Guard against daemons that follow one that is gone or stopping."""
    members = make_members(30, 3)
    parents = find_parents(members)
    reader = next(vm for vm, parent in parents.items() if parent is None)
    for member in members:
        if member.vm == reader:
            member.state = state  # type: ignore[assignment]
    later = find_parents([member for member in members if member.state != DOWN])
    assert reader not in later.values()


def test_join_changes_the_source_of_few_daemons() -> None:
    """Guard against a join after which most daemons take another source."""
    members = make_members(198, 6)
    before = find_parents(members)
    joined = Member(vm="new", incarnation="n", state=READY, failure_domain="zone-0")
    after = find_parents([*members, joined])
    changed = sum(before[vm] != after[vm] for vm in before)
    assert changed <= FAN_OUT + 1


def test_daemon_that_is_not_listed_follows_the_listed_ones() -> None:
    """Guard against each starting daemon taking itself for a reader."""
    members = make_members(12, 3)
    plan = plan_sources(members, vm="new", failure_domain="zone-0")
    assert not plan.is_reader
    assert plan.sources[0].failure_domain == "zone-0"
    alone = plan_sources([], vm="new", failure_domain="zone-0")
    assert alone.is_reader
    assert not alone.sources


def test_sources_of_other_domains_are_spread() -> None:
    """Guard against one daemon that all others fall back on."""
    members = make_members(60, 3)
    fallbacks = {
        plan_sources(members, vm=member.vm, failure_domain="zone-0").sources[-1].vm
        for member in members
        if member.failure_domain == "zone-0"
    }
    assert len(fallbacks) == 2
