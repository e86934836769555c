"""Guard against trees with cycles and wrong counts of acknowledgements."""

import random

import pytest

from eelgrassweir.membership.tree import (
    MAX_LAGGING_NAMES,
    STORE_RECORD_SEQUENCE,
    AckAggregator,
    ParentSearch,
    RelayView,
    forms_cycle,
    order_relays,
)
from eelgrassweir.proto.control_pb2 import Ack, RelayBeat

SEED = 5


def beat(vm: str, sequence: int, **changes: object) -> RelayBeat:
    """Return a beat of a relay in bilbao."""
    values = {"failure_domain": "bilbao", "control_address": vm, **changes}
    return RelayBeat(vm=vm, sequence=sequence, **values)  # type: ignore[arg-type]


def test_search_follows_redirects_before_other_relays_and_skips_itself() -> None:
    search = ParentSearch("own", ["r1", "own", "r2"], random.Random(SEED))
    first = search.next_candidate()
    assert first is not None and first.address == "r1"
    search.add_redirect(first, ["own", "c1"])
    second = search.next_candidate()
    assert second is not None and (second.address, second.depth) == ("c1", 1)
    search.add_redirect(second, ["r1", "c1"])
    third = search.next_candidate()
    assert third is not None and third.address == "r2"
    assert search.next_candidate() is None


def test_search_ends_although_each_parent_redirects() -> None:
    search = ParentSearch("own", ["r1"], random.Random(SEED))
    asked = 0
    while (candidate := search.next_candidate()) is not None:
        asked += 1
        search.add_redirect(candidate, [f"{candidate.address}-{n}" for n in range(8)])
    assert asked < 50


def test_parent_below_the_daemon_is_a_cycle() -> None:
    assert forms_cycle("vm1", ["relay", "vm1", "vm2"])
    assert not forms_cycle("vm1", ["relay", "vm2"])


def test_relay_beats_go_down_only_on_change() -> None:
    view = RelayView()
    assert view.merge(beat("r1", 5))
    assert not view.merge(beat("r1", 6, config_version=3, store_reached=True))
    assert view.merge(beat("r1", 7, holds_shares_of="bilbao"))
    assert not view.merge(beat("r1", 6))
    assert view.merge(beat("r1", 8, stepped_down=True))
    assert not view.live(lambda vm, incarnation: True)


def test_first_beat_after_a_record_of_the_store_goes_down() -> None:
    view = RelayView()
    view.merge(beat("r1", STORE_RECORD_SEQUENCE))
    view.merge(beat("r2", STORE_RECORD_SEQUENCE))
    assert view.merge(beat("r1", 50))
    view.drop_unrecorded({"r3"})
    assert [entry.vm for entry in view.all()] == ["r1"]


def test_own_domain_is_asked_first() -> None:
    beats = [beat("far", 1, failure_domain="oviedo"), beat("near", 1)]
    assert order_relays(beats, "bilbao", random.Random(SEED)) == ["near", "far"]


def test_lagging_names_are_bounded_and_counts_are_not() -> None:
    tally = AckAggregator()
    for number in range(30):
        tally.record(f"vm{number:02}", AckAggregator().aggregate(own_version=4))
    ack = tally.aggregate(own_version=5)
    assert {count.version: count.daemons for count in ack.counts} == {4: 30, 5: 1}
    assert len(ack.lagging) == MAX_LAGGING_NAMES
    tally.remove("vm00")
    assert sum(count.daemons for count in tally.aggregate(5).counts) == 30


class Node:
    """Hold one daemon of a tree that acknowledges along its edges."""

    def __init__(self, name: str, parent: "Node | None") -> None:
        self.name = name
        self.parent = parent
        self.version = 1
        self.tally = AckAggregator()
        self.said = Ack()


def make_tree(daemons: int, fan_out: int) -> list[Node]:
    """Return daemons in the order of their depth; the first is the relay."""
    nodes: list[Node] = []
    for number in range(daemons):
        parent = nodes[(number - 1) // fan_out] if number else None
        nodes.append(Node(f"vm{number}", parent))
    return nodes


def acknowledge(nodes: list[Node], rng: random.Random) -> tuple[int, int]:
    """Let all take version 2, one beat a round.

    Return the messages on all edges and those that the relay received.
    """
    sent, received = 0, 0
    waiting = nodes[1:]
    while waiting or any(node.said != _ack(node) for node in nodes[1:]):
        taken = [node for node in waiting if rng.random() < 0.7]
        for node in [nodes[0], *taken]:
            node.version = 2
        waiting = [node for node in waiting if node.version != 2]
        for node in reversed(nodes[1:]):
            ack = _ack(node)
            if ack != node.said and node.parent is not None:
                node.said = ack
                node.parent.tally.record(node.name, ack)
                sent += 1
                received += node.parent is nodes[0]
    return sent, received


def _ack(node: Node) -> Ack:
    return node.tally.aggregate(node.version)


@pytest.mark.parametrize("daemons", [50, 200, 11_000])
def test_relay_hears_fewer_messages_than_from_each_daemon(daemons: int) -> None:
    rng = random.Random(SEED)
    nodes = make_tree(daemons, fan_out=32)
    for node in reversed(nodes[1:]):
        assert node.parent is not None
        node.said = _ack(node)
        node.parent.tally.record(node.name, node.said)
    assert sum(count.daemons for count in _ack(nodes[0]).counts) == daemons
    sent, received = acknowledge(nodes, rng)
    each, at_relay = 0, daemons - 1
    for node in nodes:
        parent = node.parent
        while parent is not None:
            each, parent = each + 1, parent.parent
    print(
        f"seed {SEED}: {daemons} daemons; aggregated: {sent} messages on all edges, "
        f"{received} to the relay; each passed on by itself: {each} and {at_relay}"
    )
    counts = {count.version: count.daemons for count in _ack(nodes[0]).counts}
    assert counts == {2: daemons}
    assert sent < each
    assert received < at_relay
