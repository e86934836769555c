"""Guard against words that look younger than they are, and lost entries."""

from eelgrassweir.daemon.edge import CHILD, PARENT, RELAY, Edge
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.proto.control_pb2 import Down, Member, RelayBeat


def make_edge(role: str, *, is_caller: bool) -> Edge:
    """Return one side of a stream that sends no entries."""
    return Edge(role, is_caller=is_caller, entry=MemberTable().entry_or_tombstone)


def test_age_of_an_answer_counts_from_the_beat_that_it_echoes() -> None:
    child, parent = make_edge(PARENT, is_caller=True), make_edge(CHILD, is_caller=False)
    child.schedule_heartbeat()
    ups, is_beat = child.drain_up_messages(1_000.0)
    assert is_beat
    parent.record_received(ups[0])
    parent.schedule_heartbeat()
    late, _ = parent.drain_down_messages(0.0)
    child.schedule_heartbeat()
    child.drain_up_messages(2_000.0)
    # The answer to the first beat arrives late and is as old as that beat.
    assert child.record_received(late[0]) == 1_000.0


def test_answer_without_an_echo_has_no_age() -> None:
    child, parent = make_edge(PARENT, is_caller=True), make_edge(CHILD, is_caller=False)
    parent.schedule_heartbeat()
    downs, _ = parent.drain_down_messages(0.0)
    assert child.record_received(downs[0]) is None


def test_newest_entry_of_each_vm_is_sent_once_and_in_chunks() -> None:
    table = MemberTable()
    edge = Edge(CHILD, is_caller=False, entry=table.entry_or_tombstone)
    for number in range(450):
        table.merge(Member(vm=f"vm{number}", sequence=1))
        edge.add_vms([f"vm{number}"])
    table.merge(Member(vm="vm7", sequence=2))
    edge.add_vms(["vm7", "unknown"])
    messages: list[Down] = []
    while edge.has_queued_vms():
        downs, is_beat = edge.drain_down_messages(0.0)
        assert not is_beat
        messages += downs
    sent = [member for down in messages for member in down.members]
    assert len(messages) == 5
    assert len(sent) == 450
    assert [member.sequence for member in sent if member.vm == "vm7"] == [2]
    assert edge.drain_down_messages(0.0) == ([], False)


def test_relay_beat_without_names_is_completed_by_the_receiver() -> None:
    sender, receiver = (
        make_edge(RELAY, is_caller=True),
        make_edge(RELAY, is_caller=False),
    )
    for sequence, holds in [(1, ""), (2, ""), (3, "bilbao"), (4, "bilbao"), (5, "")]:
        beat = RelayBeat(
            vm="r1",
            failure_domain="bilbao",
            control_address="127.0.0.1:1",
            sequence=sequence,
            store_reached=sequence % 2 == 0,
            store_age_ms=sequence,
            holds_shares_of=holds,
        )
        said = sender.compress_relay_heartbeat(beat)
        assert (said.vm == "") == (sequence in (2, 4))
        assert receiver.expand_relay_heartbeat(said) == beat
