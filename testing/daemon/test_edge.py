"""Guard against heartbeats that look too recent, and lost member entries."""

from eelgrassweir.daemon.edge import CHILD, PARENT, RELAY, Edge
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.proto.control_pb2 import Down, Member, RelayBeat


def make_edge(role: str, *, is_caller: bool) -> Edge:
    """Return one end of a stream that sends no member entries."""
    return Edge(role, is_caller=is_caller, find_member=MemberTable().entry_or_tombstone)


def test_age_of_an_answer_counts_from_the_heartbeat_that_it_echoes() -> None:
    """Guard against a delayed answer that counts as recent."""
    child, parent = make_edge(PARENT, is_caller=True), make_edge(CHILD, is_caller=False)
    child.schedule_heartbeat()
    messages, has_heartbeat = child.drain_up_messages(1_000.0)
    assert has_heartbeat
    parent.record_received(messages[0])
    parent.schedule_heartbeat()
    late, _ = parent.drain_down_messages(0.0)
    child.schedule_heartbeat()
    child.drain_up_messages(2_000.0)
    # The answer to the first heartbeat arrives late and is as old as that one.
    assert child.record_received(late[0]) == 1_000.0


def test_answer_without_an_echo_has_no_age() -> None:
    """Guard against freshness derived from a message that answers nothing."""
    child, parent = make_edge(PARENT, is_caller=True), make_edge(CHILD, is_caller=False)
    parent.schedule_heartbeat()
    messages, _ = parent.drain_down_messages(0.0)
    assert child.record_received(messages[0]) is None


def test_newest_entry_of_each_vm_is_sent_once_and_in_chunks() -> None:
    """Guard against stale, repeated or lost member entries."""
    table = MemberTable()
    edge = Edge(CHILD, is_caller=False, find_member=table.entry_or_tombstone)
    for number in range(450):
        table.merge(Member(vm=f"vm{number}", sequence=1))
        edge.add_vms([f"vm{number}"])
    table.merge(Member(vm="vm7", sequence=2))
    edge.add_vms(["vm7", "unknown"])
    messages: list[Down] = []
    while edge.has_queued_vms():
        drained, has_heartbeat = edge.drain_down_messages(0.0)
        assert not has_heartbeat
        messages += drained
    sent_members = [member for down in messages for member in down.members]
    assert len(messages) == 5
    assert len(sent_members) == 450
    assert [member.sequence for member in sent_members if member.vm == "vm7"] == [2]
    assert edge.drain_down_messages(0.0) == ([], False)


def test_compressed_relay_heartbeat_is_expanded_by_the_receiver() -> None:
    """Guard against heartbeats that lose the fields that name the relay."""
    sender, receiver = (
        make_edge(RELAY, is_caller=True),
        make_edge(RELAY, is_caller=False),
    )
    for sequence, domain in [
        (1, ""),
        (2, ""),
        (3, "bilbao"),
        (4, "bilbao"),
        (5, ""),
    ]:
        beat = RelayBeat(
            vm="r1",
            failure_domain="bilbao",
            control_address="127.0.0.1:1",
            sequence=sequence,
            store_reached=sequence % 2 == 0,
            store_age_ms=sequence,
            holds_shares_of=domain,
        )
        compressed = sender.compress_relay_heartbeat(beat)
        assert (compressed.vm == "") == (sequence in (2, 4))
        assert receiver.expand_relay_heartbeat(compressed) == beat
