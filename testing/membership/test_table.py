"""Guard against replicas that diverge and entries that come back."""

import random
from collections.abc import Sequence

from hypothesis import given, settings, strategies as st

from eelgrassweir.membership.table import (
    DOWN_ENTRY_TTL_MS,
    TOMBSTONE_TTL_MS,
    MemberTable,
    mark_down,
)
from eelgrassweir.proto.control_pb2 import DOWN, DRAINING, READY, Member


def member(vm: str = "vm1", sequence: int = 1, **changes: object) -> Member:
    """Return an entry of the first incarnation."""
    values = {"incarnation": "a", "started_ms": 5, "service": "fichero", **changes}
    return Member(vm=vm, sequence=sequence, **values)  # type: ignore[arg-type]


def merge_entries(source: MemberTable, vms: Sequence[str], target: MemberTable) -> None:
    """Merge the entries of some VMs into another table."""
    for vm in vms:
        entry = source.entry_or_tombstone(vm)
        assert entry is not None
        target.merge(entry)


entries = st.builds(
    Member,
    vm=st.sampled_from(["vm1", "vm2", "vm3"]),
    incarnation=st.sampled_from(["a", "b"]),
    started_ms=st.integers(1, 2),
    sequence=st.integers(1, 3),
    state=st.sampled_from([READY, DRAINING, DOWN]),
    service=st.sampled_from(["", "fichero", "registro"]),
    slots=st.integers(0, 1),
    parent_incarnation=st.sampled_from(["", "a"]),
    failure_domain=st.sampled_from(["bilbao", "oviedo"]),
)


@settings(max_examples=200, derandomize=True)
@given(st.lists(entries, max_size=20), st.randoms(use_true_random=False))
def test_deltas_in_any_order_give_the_same_table(
    deltas: list[Member], rng: random.Random
) -> None:
    """Guard against replicas that diverge on reordered or repeated deltas."""
    first, second = MemberTable(), MemberTable()
    for entry in deltas:
        first.merge(entry)
    again = deltas * 2
    rng.shuffle(again)
    for entry in again:
        second.merge(entry)
    assert sorted(first.all(), key=str) == sorted(second.all(), key=str)
    assert first.digests() == second.digests()
    assert first.count_live() == second.count_live()
    for service in ("fichero", "registro"):
        expected = [
            entry
            for entry in first.all()
            if entry.state == READY and entry.service == service
        ]
        for table in (first, second):
            assert sorted(table.ready(service), key=str) == sorted(expected, key=str)


@settings(max_examples=100, derandomize=True)
@given(st.lists(entries, max_size=20), st.lists(entries, max_size=20))
def test_exchange_by_digests_makes_two_tables_equal(
    left: list[Member], right: list[Member]
) -> None:
    """Guard against differences that anti-entropy does not repair."""
    first, second = MemberTable(), MemberTable()
    for entry in left:
        first.merge(entry)
    for entry in right:
        second.merge(entry)
    to_second = first.differing(second.digests())
    to_first = second.differing(first.digests())
    merge_entries(first, to_second, second)
    merge_entries(second, to_first, first)
    assert first.digests() == second.digests()


def test_down_entry_replaces_an_announcement_of_the_same_sequence() -> None:
    """Guard against calls to a target that its parent marked as down."""
    table = MemberTable()
    table.merge(member(sequence=2))
    assert table.merge(mark_down(member(sequence=1)))
    assert not table.ready("fichero")
    assert table.merge(member(sequence=3))
    assert len(table.ready("fichero")) == 1


def test_old_entry_does_not_return_after_its_down_entry_expired() -> None:
    """Guard against a partitioned peer that restores a replaced entry."""
    table, peer = MemberTable(), MemberTable()
    for replica in (table, peer):
        replica.merge(member())
    table.merge(mark_down(member()))
    table.expire(0.0)
    table.expire(DOWN_ENTRY_TTL_MS)
    assert table.get("vm1") is None
    assert not table.merge(member())
    assert not table.is_live("vm1", "a")
    # A peer that was partitioned off learns that the daemon is down.
    merge_entries(table, table.differing(peer.digests()), peer)
    assert peer.count_live() == 0
    assert table.merge(member(incarnation="b", started_ms=6))
    table.expire(DOWN_ENTRY_TTL_MS + TOMBSTONE_TTL_MS)
    assert table.count_live() == 1


def test_subscribers_receive_entries_and_ended_incarnations() -> None:
    """Guard against lost notifications of a daemon's end or restart."""
    table = MemberTable()
    received: list[str] = []
    ended: list[str] = []
    table.subscribe(lambda entry: received.append(entry.incarnation))
    table.subscribe_ended(ended.append)
    table.merge(member())
    table.merge(member(sequence=2, service="registro"))
    table.merge(member(incarnation="b", started_ms=6))
    table.merge(mark_down(member(incarnation="b", started_ms=6)))
    assert received == ["a", "a", "b", "b"]
    assert ended == ["a", "b"]
