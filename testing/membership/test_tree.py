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


def make_heartbeat(vm: str, sequence: int, **changes: object) -> RelayBeat:
    """Return a heartbeat of a relay in bilbao."""
    values = {"failure_domain": "bilbao", "control_address": vm, **changes}
    return RelayBeat(vm=vm, sequence=sequence, **values)  # type: ignore[arg-type]


def test_search_follows_redirects_first_and_skips_known_addresses() -> None:
    """Guard against a search that tries itself or an address twice."""
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
    """Guard against an endless search in a full tree."""
    search = ParentSearch("own", ["r1"], random.Random(SEED))
    tried_count = 0
    while (candidate := search.next_candidate()) is not None:
        tried_count += 1
        search.add_redirect(candidate, [f"{candidate.address}-{n}" for n in range(8)])
    assert tried_count < 50


def test_parent_below_the_daemon_is_a_cycle() -> None:
    """Guard against a subtree that is cut off from the relays."""
    assert forms_cycle("vm1", ["relay", "vm1", "vm2"])
    assert not forms_cycle("vm1", ["relay", "vm2"])


def test_relay_heartbeats_are_propagated_only_on_change() -> None:
    """Guard against a message to each daemon for each heartbeat."""
    view = RelayView()
    assert view.merge(make_heartbeat("r1", 5))
    assert not view.merge(make_heartbeat("r1", 6, config_version=3, store_reached=True))
    assert view.merge(make_heartbeat("r1", 7, holds_shares_of="bilbao"))
    assert not view.merge(make_heartbeat("r1", 6))
    assert view.merge(make_heartbeat("r1", 8, stepped_down=True))
    assert not view.live(lambda vm, incarnation: True)


def test_first_heartbeat_after_a_store_record_is_propagated() -> None:
    """Guard against a relay of which the daemons below never learn."""
    view = RelayView()
    view.merge(make_heartbeat("r1", STORE_RECORD_SEQUENCE))
    view.merge(make_heartbeat("r2", STORE_RECORD_SEQUENCE))
    assert view.merge(make_heartbeat("r1", 50))
    view.drop_unrecorded({"r3"})
    assert [entry.vm for entry in view.all()] == ["r1"]


def test_relays_of_the_own_domain_come_first() -> None:
    """Guard against a tree that needlessly crosses failure domains."""
    heartbeats = [
        make_heartbeat("far", 1, failure_domain="oviedo"),
        make_heartbeat("near", 1),
    ]
    assert order_relays(heartbeats, "bilbao", random.Random(SEED)) == ["near", "far"]


def test_lagging_names_are_bounded_and_counts_are_not() -> None:
    """Guard against large acknowledgements and against lost counts."""
    tally = AckAggregator()
    for number in range(30):
        tally.record(f"vm{number:02}", AckAggregator().aggregate(own_version=4))
    ack = tally.aggregate(own_version=5)
    assert {count.version: count.daemons for count in ack.counts} == {4: 30, 5: 1}
    assert len(ack.lagging) == MAX_LAGGING_NAMES
    tally.remove("vm00")
    assert sum(count.daemons for count in tally.aggregate(5).counts) == 30


class Node:
    """One daemon of a tree that sends acknowledgements to its parent."""

    def __init__(self, name: str, parent: "Node | None") -> None:
        self.name = name
        self.parent = parent
        self.version = 1
        self.tally = AckAggregator()
        self.last_sent = Ack()


def make_tree(daemons: int, fan_out: int) -> list[Node]:
    """Return daemons in order of depth; the first one is the relay."""
    nodes: list[Node] = []
    for number in range(daemons):
        parent = nodes[(number - 1) // fan_out] if number else None
        nodes.append(Node(f"vm{number}", parent))
    return nodes


def run_acknowledgements(nodes: list[Node], rng: random.Random) -> tuple[int, int]:
    """Update all daemons to version 2 in rounds of one heartbeat.

    Return the number of messages on all edges and to the relay.
    """
    sent, received = 0, 0
    waiting = nodes[1:]
    while waiting or any(node.last_sent != make_ack(node) for node in nodes[1:]):
        updated = [node for node in waiting if rng.random() < 0.7]
        for node in [nodes[0], *updated]:
            node.version = 2
        waiting = [node for node in waiting if node.version != 2]
        for node in reversed(nodes[1:]):
            ack = make_ack(node)
            if ack != node.last_sent and node.parent is not None:
                node.last_sent = ack
                node.parent.tally.record(node.name, ack)
                sent += 1
                received += node.parent is nodes[0]
    return sent, received


def make_ack(node: Node) -> Ack:
    return node.tally.aggregate(node.version)


@pytest.mark.parametrize("daemons", [50, 200, 11_000])
def test_aggregation_reduces_messages_to_the_relay(daemons: int) -> None:
    """Guard against acknowledgements that overload the relay."""
    rng = random.Random(SEED)
    nodes = make_tree(daemons, fan_out=32)
    for node in reversed(nodes[1:]):
        assert node.parent is not None
        node.last_sent = make_ack(node)
        node.parent.tally.record(node.name, node.last_sent)
    assert sum(count.daemons for count in make_ack(nodes[0]).counts) == daemons
    sent, received = run_acknowledgements(nodes, rng)
    unaggregated, unaggregated_at_relay = 0, daemons - 1
    for node in nodes:
        parent = node.parent
        while parent is not None:
            unaggregated, parent = unaggregated + 1, parent.parent
    print(
        f"seed {SEED}: {daemons} daemons; aggregated: {sent} messages on all edges, "
        f"{received} to the relay; without aggregation: {unaggregated} and "
        f"{unaggregated_at_relay}"
    )
    counts = {count.version: count.daemons for count in make_ack(nodes[0]).counts}
    assert counts == {2: daemons}
    assert sent < unaggregated
    assert received < unaggregated_at_relay
