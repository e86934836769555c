"""Decide which daemons read the store and whom the others follow.

Answers the load of fleets whose daemons would all watch the store: its rates
grow more slowly than the fleet, and each of its calls is charged for. The
choice affects only cost. Whoever is followed, an update is dated by the proof
that it passes on, so two daemons may take themselves for the same reader.
"""

import zlib
from collections.abc import Iterable, Sequence

import attrs

from eelgrassweir.proto.control_pb2 import DOWN, READY, Member

# Daemons that follow one daemon.
FAN_OUT = 32


@attrs.frozen(kw_only=True)
class SourcePlan:
    """Role of a daemon and the daemons to follow, the preferred one first.

    A reader follows them only while it does not reach the store.
    """

    is_reader: bool
    sources: tuple[Member, ...]


def plan_sources(
    members: Iterable[Member], *, vm: str, failure_domain: str
) -> SourcePlan:
    """Return the role of a VM.

    All daemons with the same members choose the same readers: the first of
    each failure domain in an order that each domain's VMs keep whoever joins
    or leaves. Below its reader, a domain forms a tree of bounded fan-out. The
    readers of other domains come next if a source fails.
    """
    ranked_by_domain = _rank_by_domain(members)
    ranked = ranked_by_domain.pop(failure_domain, [])
    position = next(
        (index for index, member in enumerate(ranked) if member.vm == vm), len(ranked)
    )
    own = _choose_in_domain(ranked, position)
    elsewhere = [ranked_by_domain[name][0] for name in sorted(ranked_by_domain)]
    is_listed_first = position == 0 and bool(ranked)
    return SourcePlan(
        is_reader=is_listed_first or not (ranked or elsewhere),
        sources=(*own, *_rotate(elsewhere, vm)),
    )


def _rank_by_domain(members: Iterable[Member]) -> dict[str, list[Member]]:
    """Return the live members of each failure domain in their order."""
    ranked: dict[str, list[Member]] = {}
    for member in members:
        if member.state != DOWN:
            ranked.setdefault(member.failure_domain, []).append(member)
    for domain_members in ranked.values():
        domain_members.sort(key=_order)
    return ranked


def _order(member: Member) -> tuple[bool, int, str]:
    """Order ready members first, then by a hash that spreads the roles.

    Token holders are chosen by name; readers should be other VMs.
    """
    return member.state != READY, zlib.crc32(member.vm.encode()), member.vm


def _choose_in_domain(ranked: Sequence[Member], position: int) -> Sequence[Member]:
    """Return the parent of a position, and the reader if that is another."""
    if position == 0:
        return ()
    parent = (position - 1) // FAN_OUT
    return (ranked[parent], ranked[0]) if parent else (ranked[0],)


def _rotate(members: Sequence[Member], vm: str) -> Sequence[Member]:
    """Return the members from a different one on for each VM."""
    if not members:
        return members
    start = zlib.crc32(vm.encode()) % len(members)
    return [*members[start:], *members[:start]]
