"""Stream of a daemon to its parent in the control tree."""

import asyncio
from collections.abc import Sequence
from functools import partial

from eliot import write_traceback

from eelgrassweir.daemon.edge import PARENT, Edge
from eelgrassweir.daemon.node import Node
from eelgrassweir.daemon.peers import RelayPeers
from eelgrassweir.daemon.session import run_client_stream
from eelgrassweir.membership.tree import ParentSearch, forms_cycle, order_relays
from eelgrassweir.proto.control_pb2 import Attach, Down, Member, Up

# A parent that has lost its own parent finds a new one within a few
# heartbeats.
UNROOTED_LIMIT_HEARTBEATS = 5
MIN_BACKOFF_HEARTBEATS = 0.25
MAX_BACKOFF_HEARTBEATS = 8.0


class ParentLink:
    """Attach to a parent and search for another when it is lost."""

    def __init__(self, node: Node, relay_peers: RelayPeers) -> None:
        self._node = node
        self._peers = relay_peers
        self._edge: Edge | None = None
        self._unrooted_ticks = 0
        self._sent_ack = b""

    async def run(self) -> None:
        """Keep a parent while this daemon is not a relay, until cancelled."""
        node = self._node
        pause_heartbeats = MIN_BACKOFF_HEARTBEATS
        while True:
            is_attached = False
            try:
                is_attached = not node.is_relay and await self._attach_once()
            except Exception:
                # Without this loop the daemon would never get a parent again.
                write_traceback()
            if is_attached:
                pause_heartbeats = MIN_BACKOFF_HEARTBEATS
            else:
                pause_heartbeats = min(2 * pause_heartbeats, MAX_BACKOFF_HEARTBEATS)
            if node.is_relay:
                pause_heartbeats = 1.0
            pause_ms = pause_heartbeats * node.settings.beat_ms
            await asyncio.sleep(node.rng.uniform(0.5, 1.0) * pause_ms / 1000)

    def close_stream(self, cause: str) -> None:
        """Close the stream to the parent or candidate, attached or not."""
        if self._edge is not None:
            self._edge.close(cause)

    def tick(self) -> None:
        """Leave a parent that has had no path to a relay for too long."""
        node = self._node
        if node.parent is None or node.path:
            self._unrooted_ticks = 0
            return
        self._unrooted_ticks += 1
        if self._unrooted_ticks > UNROOTED_LIMIT_HEARTBEATS:
            node.parent.close("unrooted")

    async def _attach_once(self) -> bool:
        """Search for a parent and stay attached until it is lost.

        Return False if no candidate accepted this daemon.
        """
        node = self._node
        search = ParentSearch(node.address, self._initial_addresses(), node.rng)
        while not node.is_relay:
            candidate = search.next_candidate()
            if candidate is None:
                return False
            edge = Edge(
                PARENT, is_caller=True, find_member=node.members.entry_or_tombstone
            )
            edge.address = candidate.address
            await self._run(edge)
            if edge.redirect is not None:
                node.metrics.redirects.inc()
                search.add_redirect(candidate, edge.redirect)
                continue
            if edge.is_attached:
                return True
            node.suspect(edge.address)
        return False

    def _initial_addresses(self) -> Sequence[str]:
        """Return relays and seeds; relays that did not answer come last."""
        node = self._node
        domain = node.settings.failure_domain
        trusted = [
            relay for relay in node.other_relays() if not node.is_suspected(relay)
        ]
        listed_vms = {relay.vm for relay in trusted} | {node.own_member.vm}
        suspected = [
            relay
            for relay in node.relays.all()
            if not relay.stepped_down and relay.vm not in listed_vms
        ]
        seeds = list(node.settings.seed_addresses)
        node.rng.shuffle(seeds)
        return [
            *order_relays(trusted, domain, node.rng),
            *seeds,
            *order_relays(suspected, domain, node.rng),
        ]

    async def _run(self, edge: Edge) -> None:
        node = self._node
        self._edge = edge
        node.opened_edges.add(edge)
        edge.add_digests(node.members.digests())
        edge.schedule_heartbeat()
        version = 0 if node.is_full_document_needed else node.config_log.version
        edge.attach = Attach(member=node.own_member, config_version=version)
        try:
            handle = partial(self._handle, edge)
            take = partial(self._next_messages, edge)
            await run_client_stream(edge, handle, take, node.connect, node.metrics)
        finally:
            node.opened_edges.discard(edge)
            self._edge = None
            self._handle_stream_end(edge)

    def _handle_stream_end(self, edge: Edge) -> None:
        node = self._node
        if node.parent is not edge:
            return
        node.parent = None
        if not node.is_relay:
            node.set_path(())
        node.metrics.stream_losses.labels(PARENT, edge.close_cause).inc()

    def _next_messages(self, edge: Edge) -> list[Up]:
        ups, has_heartbeat = edge.drain_up_messages(self._node.clock.now_ms())
        if has_heartbeat and edge.is_attached:
            ack = self._node.aggregate_acks()
            serialized = ack.SerializeToString()
            if serialized != self._sent_ack:
                self._sent_ack = serialized
                ups[-1].ack.CopyFrom(ack)
        return ups

    def _handle(self, edge: Edge, down: Down) -> None:
        node = self._node
        echo_sent_ms = edge.record_received(down)
        if down.HasField("config"):
            node.apply_update(down.config, edge)
        node.merge_members(down.members, edge)
        if down.HasField("redirect"):
            edge.redirect = tuple(down.redirect.control_addresses)
            edge.close("redirect")
        if edge.closed.is_set():
            return
        if down.HasField("path"):
            self.apply_path(edge, tuple(down.path.vms))
        if down.HasField("sender") and not edge.closed.is_set():
            self._set_parent(edge, down.sender)
        if down.digests:
            edge.add_vms(node.members.differing(down.digests))
            node.schedule_flush(edge)
        self._peers.handle_relay_heartbeats(edge, down, echo_sent_ms)
        if down.has_freshness and echo_sent_ms is not None:
            node.freshness.record(echo_sent_ms - down.freshness_age_ms)

    def _set_parent(self, edge: Edge, sender: Member) -> None:
        node = self._node
        edge.vm, edge.incarnation = sender.vm, sender.incarnation
        edge.is_attached = True
        node.clear_suspicion(edge.address)
        node.parent = edge
        self._unrooted_ticks = 0
        self._sent_ack = b""
        node.metrics.attachments.inc()
        node.own_member.parent_incarnation = sender.incarnation
        node.announce_self()

    def apply_path(self, edge: Edge, path: tuple[str, ...]) -> None:
        """Apply the parent's path; leave a parent that is a descendant."""
        node = self._node
        if forms_cycle(node.own_member.vm, path):
            node.metrics.cycles.inc()
            edge.close("cycle")
            return
        node.set_path((*path, node.own_member.vm) if path else ())
