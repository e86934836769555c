"""Streams that children and other relays open to this daemon."""

from collections.abc import Sequence
from functools import partial
from typing import Any

from eelgrassweir.daemon.control_server import read_first
from eelgrassweir.daemon.edge import CHILD, RELAY, Edge
from eelgrassweir.daemon.node import SILENCE_LIMIT_HEARTBEATS, Node
from eelgrassweir.daemon.peers import RelayPeers
from eelgrassweir.daemon.session import run_server_stream, send_and_close
from eelgrassweir.membership.tree import STORE_RECORD_SEQUENCE, forms_cycle
from eelgrassweir.proto.control_pb2 import Attach, Down, Redirect, Up

REDIRECT_ADDRESSES = 8


class ChildLinks:
    """Accept or redirect daemons that want to attach."""

    def __init__(self, node: Node, relay_peers: RelayPeers) -> None:
        self.open_streams = 0
        self._node = node
        self._peers = relay_peers

    async def serve(self, context: Any) -> None:
        """Serve one stream until it ends: accept, or redirect and close."""
        timeout_ms = SILENCE_LIMIT_HEARTBEATS * self._node.settings.beat_ms
        first = await read_first(context, timeout_ms)
        if first is None or not first.HasField("attach"):
            return
        rejection = self._make_rejection(first)
        if rejection is not None:
            await send_and_close(context, rejection)
            return
        edge = self._accept(first.attach)
        self._queue_initial_state(edge, first)
        self.open_streams += 1
        try:
            handle = partial(self._handle, edge)
            take = partial(self._next_messages, edge)
            handle(first)
            await run_server_stream(edge, context, handle, take, self._node.metrics)
        finally:
            self.open_streams -= 1
            self._handle_stream_end(edge)

    def _make_rejection(self, first: Up) -> list[Down] | None:
        """Return the reply to a daemon that cannot attach, or None."""
        node = self._node
        attach = first.attach
        relays = [relay.control_address for relay in node.other_relays()]
        if node.is_stopping:
            return [_redirect(relays)]
        if attach.is_relay:
            return None if node.is_relay else [_redirect(relays)]
        if forms_cycle(attach.member.vm, node.path):
            return [_redirect(relays)]
        if not node.path:
            # A daemon that starts while no relay is reached gets at least
            # the configuration and the members known to this daemon.
            return [*self._make_snapshot(first), _redirect(relays)]
        others = [
            edge for edge in node.children.values() if edge.vm != attach.member.vm
        ]
        if len(others) < node.settings.tree_fan_out_count:
            return None
        chosen = node.rng.sample(others, min(REDIRECT_ADDRESSES, len(others)))
        return [_redirect([edge.address for edge in chosen])]

    def _make_snapshot(self, first: Up) -> list[Down]:
        node = self._node
        edge = Edge(CHILD, is_caller=False, find_member=node.members.entry_or_tombstone)
        edge.add_config(node.config_log.updates_for(first.attach.config_version))
        edge.add_vms(node.members.differing(first.digests))
        downs, _ = edge.drain_down_messages(node.clock.now_ms())
        while edge.has_queued_vms():
            downs += edge.drain_down_messages(node.clock.now_ms())[0]
        return downs

    def _accept(self, attach: Attach) -> Edge:
        node = self._node
        edge = Edge(
            RELAY if attach.is_relay else CHILD,
            is_caller=False,
            find_member=node.members.entry_or_tombstone,
        )
        edge.vm, edge.incarnation = attach.member.vm, attach.member.incarnation
        edge.address = attach.member.control_address
        edge.peer_version = attach.config_version
        edge.is_attached = True
        if attach.is_relay:
            node.relay_peers.add(edge)
            return edge
        previous = node.children.get(edge.vm)
        if previous is not None:
            previous.close("replaced")
        node.children[edge.vm] = edge
        return edge

    def _queue_initial_state(self, edge: Edge, first: Up) -> None:
        node = self._node
        edge.add_digests(node.members.digests())
        edge.add_vms(node.members.differing(first.digests))
        edge.add_relay_heartbeats(
            heartbeat
            for heartbeat in node.live_relays()
            if heartbeat.sequence > STORE_RECORD_SEQUENCE
        )
        if edge.role == CHILD:
            edge.add_path(node.path)
        edge.add_config(node.config_log.updates_for(edge.peer_version))
        node.merge_members([first.attach.member], edge)

    def _handle_stream_end(self, edge: Edge) -> None:
        node = self._node
        if edge.role == RELAY:
            self._peers.handle_stream_end(edge)
            return
        node.metrics.stream_losses.labels(CHILD, edge.close_cause).inc()
        if node.children.get(edge.vm) is not edge:
            return
        del node.children[edge.vm]
        node.ack_aggregator.remove(edge.vm)
        node.watch_lost_peer(edge)

    def _handle(self, edge: Edge, up: Up) -> None:
        node = self._node
        echo_sent_ms = edge.record_received(up)
        if up.HasField("config") and edge.role == RELAY:
            node.apply_update(up.config, edge)
        node.merge_members(up.members, edge)
        if up.digests and not up.HasField("attach"):
            edge.add_vms(node.members.differing(up.digests))
            node.schedule_flush(edge)
        if up.HasField("ack") and edge.role == CHILD:
            node.ack_aggregator.record(edge.vm, up.ack)
        if up.HasField("relay_beat") and edge.role == RELAY:
            self._peers.handle_heartbeat(edge, up.relay_beat, echo_sent_ms)
        if up.beat:
            edge.schedule_heartbeat()

    def _next_messages(self, edge: Edge) -> list[Down]:
        node = self._node
        downs, has_heartbeat = edge.drain_down_messages(node.clock.now_ms())
        if not downs:
            return downs
        last = downs[-1]
        if not edge.has_sent_sender:
            edge.has_sent_sender = True
            last.sender.vm = node.own_member.vm
            last.sender.incarnation = node.own_member.incarnation
        if has_heartbeat and edge.role == RELAY:
            heartbeat = edge.compress_relay_heartbeat(self._peers.make_heartbeat())
            last.relay_beats.append(heartbeat)
        age_ms = node.freshness.age_ms(node.clock.now_ms())
        if (
            has_heartbeat
            and edge.role == CHILD
            and age_ms is not None
            and node.config_log.version
        ):
            last.has_freshness = True
            last.freshness_age_ms = int(age_ms) + 1
        return downs


def _redirect(addresses: Sequence[str]) -> Down:
    return Down(redirect=Redirect(control_addresses=addresses))
