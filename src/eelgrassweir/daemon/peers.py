"""Streams between relays, and what a relay derives from peer heartbeats."""

import asyncio
from collections.abc import Sequence
from functools import partial

from eelgrassweir.daemon.edge import RELAY, Edge
from eelgrassweir.daemon.node import SILENCE_LIMIT_HEARTBEATS, Node
from eelgrassweir.daemon.session import run_client_stream
from eelgrassweir.membership.freshness import (
    PeerReport,
    latest_outage_proof_ms,
    latest_peer_proof_ms,
)
from eelgrassweir.proto.control_pb2 import Attach, Down, RelayBeat, Up

# A relay has a stream to each of 32 others, and a message costs more than
# any other work of the control plane. Two relays that both reach the store do
# not depend on each other's heartbeats, so they send them less often.
SLOW_HEARTBEAT_TICKS = 3
SLOW_SILENCE_LIMIT_TICKS = SILENCE_LIMIT_HEARTBEATS * SLOW_HEARTBEAT_TICKS
# Mean number of ticks between attempts to reach a relay that is marked down.
DOWN_RELAY_RETRY_TICKS = 10
# The relay with the lower address opens a stream; the other one waits this
# long for it before it opens one itself.
OPEN_GRACE_TICKS = 3
# Heartbeats become fast at half of the age at which the store counts as not
# reached.
FAST_STORE_AGE_HEARTBEATS = 1.5


class RelayPeers:
    """Connect this relay to all others and evaluate their heartbeats."""

    def __init__(self, node: Node) -> None:
        self.held_domain = ""
        self._node = node
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._missing_ticks: dict[str, int] = {}
        self._reports: dict[str, PeerReport] = {}
        self._sequence = 0
        self._sent_store_reached = False

    def tasks(self) -> Sequence[asyncio.Task[None]]:
        """Return the tasks of the streams that this relay opened."""
        return list(self._tasks.values())

    def tick(self) -> None:
        """Update freshness and the local heartbeat; open missing streams."""
        self.update_freshness()
        self.refresh_heartbeat()
        is_reached = self._node.has_reached_store()
        if is_reached != self._sent_store_reached:
            self._sent_store_reached = is_reached
            self.send_heartbeats()
        self._close_duplicates()
        self._open_missing_streams()

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all other relays now."""
        for edge in self._node.relay_peers:
            edge.schedule_heartbeat()

    def step_down(self) -> None:
        """Close the streams to other relays and drop their reports."""
        self._reports.clear()
        for edge in list(self._node.relay_peers):
            edge.close("stepped_down")

    def has_slow_heartbeat(self, edge: Edge) -> bool:
        """Return whether this stream may use the slow heartbeat interval."""
        age_ms = self._node.store_age_ms()
        if age_ms is None or edge.peer_heartbeat is None:
            return False
        limit_ms = FAST_STORE_AGE_HEARTBEATS * self._node.settings.beat_ms
        return age_ms <= limit_ms and edge.peer_heartbeat.store_reached

    def make_heartbeat(self, *, stepped_down: bool = False) -> RelayBeat:
        """Return a new heartbeat with the state of this relay."""
        node = self._node
        self._sequence = max(self._sequence + 1, node.clock.wall_ms())
        is_reached = node.has_reached_store()
        return RelayBeat(
            vm=node.own_member.vm,
            incarnation=node.own_member.incarnation,
            failure_domain=node.own_member.failure_domain,
            control_address=node.address,
            sequence=self._sequence,
            config_version=node.config_log.version,
            store_reached=is_reached,
            store_age_ms=int(node.store_age_ms() or 0) + 1 if is_reached else 0,
            holds_shares_of=self.held_domain,
            stepped_down=stepped_down,
        )

    def refresh_heartbeat(self, *, stepped_down: bool = False) -> None:
        """Renew the local heartbeat; forward it down the tree if changed."""
        heartbeat = self.make_heartbeat(stepped_down=stepped_down)
        if self._node.relays.merge(heartbeat):
            self._node.forward_relay_heartbeats([heartbeat])

    def handle_heartbeat(
        self, edge: Edge, heartbeat: RelayBeat, echo_sent_ms: float | None
    ) -> None:
        """Merge the heartbeat of the relay at the other end of ``edge``.

        ``echo_sent_ms`` is when the local heartbeat that it echoes was sent,
        or None.
        """
        node = self._node
        heartbeat = edge.expand_relay_heartbeat(heartbeat)
        if not heartbeat.vm:
            edge.close("unnamed")
            return
        edge.peer_version = heartbeat.config_version
        if node.relays.merge(heartbeat):
            node.forward_relay_heartbeats([heartbeat])
        if heartbeat.stepped_down:
            edge.close("stepped_down")
            return
        # Relays normally read a new version from the store; a peer that has
        # not done so within one heartbeat gets it from this relay.
        if node.clock.now_ms() - node.config_applied_ms > node.settings.beat_ms:
            node.send_config(edge)
        if echo_sent_ms is None:
            return
        self._reports[heartbeat.vm] = PeerReport(
            failure_domain=heartbeat.failure_domain,
            store_reached=heartbeat.store_reached,
            config_version=heartbeat.config_version,
            as_of_ms=echo_sent_ms - heartbeat.store_age_ms,
        )

    def handle_stream_end(self, edge: Edge) -> None:
        """Drop the report of a relay whose stream has ended."""
        node = self._node
        node.relay_peers.discard(edge)
        if not edge.is_attached:
            return
        node.metrics.stream_losses.labels(RELAY, edge.close_cause).inc()
        if any(other.vm == edge.vm for other in node.relay_peers):
            return
        self._reports.pop(edge.vm, None)
        if node.is_relay:
            node.watch_lost_peer(edge)

    def update_freshness(self) -> None:
        """Derive freshness from peer reports if the store is not reached."""
        node = self._node
        if (
            not node.is_relay
            or node.has_reached_store()
            or node.config_log.document is None
        ):
            return
        now_ms = node.clock.now_ms()
        limit_ms = float(SILENCE_LIMIT_HEARTBEATS * node.settings.beat_ms)
        version = node.config_log.version
        # The age of a report has two parts, each up to the limit: that of the
        # heartbeat and that of the store's reply to the peer.
        as_of_ms = latest_peer_proof_ms(
            self._reports,
            own_version=version,
            now_ms=now_ms,
            max_report_age_ms=2 * limit_ms,
        )
        if as_of_ms is None:
            as_of_ms = latest_outage_proof_ms(
                self._reports,
                own_domain=node.settings.failure_domain,
                own_version=version,
                domains=node.config_log.document.failure_domains,
                now_ms=now_ms,
                max_report_age_ms=limit_ms,
            )
        if as_of_ms is not None:
            node.freshness.record(as_of_ms)

    def next_messages(self, edge: Edge) -> list[Up]:
        """Return the messages to send on a stream that this relay opened."""
        ups, has_heartbeat = edge.drain_up_messages(self._node.clock.now_ms())
        if has_heartbeat:
            ups[-1].relay_beat.CopyFrom(
                edge.compress_relay_heartbeat(self.make_heartbeat())
            )
        return ups

    def handle_relay_heartbeats(
        self, edge: Edge, down: Down, echo_sent_ms: float | None
    ) -> None:
        """Merge the peer's own heartbeat and those that it forwards."""
        changed: list[RelayBeat] = []
        for heartbeat in down.relay_beats:
            if edge.role == RELAY and heartbeat.vm in ("", edge.vm):
                self.handle_heartbeat(edge, heartbeat, echo_sent_ms)
            elif heartbeat.vm != self._node.own_member.vm and self._node.relays.merge(
                heartbeat
            ):
                changed.append(heartbeat)
        self._node.forward_relay_heartbeats(changed)

    def _close_duplicates(self) -> None:
        """Close own streams to relays of lower address that opened one too."""
        node = self._node
        callers = {edge.vm for edge in node.relay_peers if not edge.is_caller}
        for edge in list(node.relay_peers):
            is_duplicate = edge.is_caller and edge.vm in callers
            if is_duplicate and edge.address < node.address:
                edge.close("double")

    def _open_missing_streams(self) -> None:
        connected = {edge.vm for edge in self._node.relay_peers}
        for relay in [*self._node.other_relays(), *self._sample_down_relays()]:
            if relay.vm in connected or relay.vm in self._tasks:
                self._missing_ticks.pop(relay.vm, None)
                continue
            missing = self._missing_ticks.get(relay.vm, 0) + 1
            self._missing_ticks[relay.vm] = missing
            # One stream per pair is enough; the lower address opens it, unless
            # that daemon does not know this one yet.
            if self._node.address < relay.control_address or missing > OPEN_GRACE_TICKS:
                self._open_stream(relay)

    def _sample_down_relays(self) -> Sequence[RelayBeat]:
        """Return a random sample of the relays that are marked down.

        After a partition each side has marked the other's relays down, and
        only a stream between two relays can show that they are up again.
        """
        node = self._node
        live = {relay.vm for relay in node.live_relays()} | {node.own_member.vm}
        return [
            relay
            for relay in node.relays.all()
            if not relay.stepped_down
            and relay.vm not in live
            and node.rng.randrange(DOWN_RELAY_RETRY_TICKS) == 0
        ]

    def _open_stream(self, relay: RelayBeat) -> None:
        node = self._node
        edge = Edge(RELAY, is_caller=True, find_member=node.members.entry_or_tombstone)
        edge.vm, edge.incarnation = relay.vm, relay.incarnation
        edge.address = relay.control_address
        self._tasks[relay.vm] = asyncio.create_task(self._run(edge))

    async def _run(self, edge: Edge) -> None:
        node, vm = self._node, edge.vm
        node.opened_edges.add(edge)
        edge.add_digests(node.members.digests())
        edge.schedule_heartbeat()
        edge.attach = Attach(
            member=node.own_member,
            is_relay=True,
            config_version=node.config_log.version,
        )
        try:
            handle = partial(self._handle, edge)
            take = partial(self.next_messages, edge)
            await run_client_stream(edge, handle, take, node.connect, node.metrics)
        finally:
            node.opened_edges.discard(edge)
            self._tasks.pop(vm, None)
            self.handle_stream_end(edge)

    def _handle(self, edge: Edge, down: Down) -> None:
        node = self._node
        echo_sent_ms = edge.record_received(down)
        if down.HasField("redirect"):
            edge.close("redirect")
            return
        if down.HasField("config"):
            node.apply_update(down.config, edge)
        node.merge_members(down.members, edge)
        if down.HasField("sender"):
            edge.vm, edge.incarnation = down.sender.vm, down.sender.incarnation
            edge.is_attached = True
            node.relay_peers.add(edge)
        if down.digests:
            edge.add_vms(node.members.differing(down.digests))
            node.schedule_flush(edge)
        self.handle_relay_heartbeats(edge, down, echo_sent_ms)
