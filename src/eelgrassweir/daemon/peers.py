"""Streams between relays."""

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
# any other work of the control plane. While both sides reach the store they
# need no word of each other, so beats are sent once in so many ticks.
SLOW_HEARTBEAT_TICKS = 3
SLOW_SILENCE_LIMIT_TICKS = SILENCE_LIMIT_HEARTBEATS * SLOW_HEARTBEAT_TICKS
# A relay that counts as down is tried again once in so many ticks.
DOWN_RELAY_RETRY_TICKS = 10
# The other relay opens the stream, unless it has not done so for this long.
OPEN_GRACE_TICKS = 3
# Half of the limit after which the store counts as not reached.
FAST_STORE_AGE_HEARTBEATS = 1.5


class RelayPeers:
    """Connect this relay to all others and judge what they say."""

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
        """Refresh the own beat, open missing streams, judge freshness."""
        self.update_freshness()
        self.refresh_heartbeat()
        is_reached = self._node.has_reached_store()
        if is_reached != self._sent_store_reached:
            self._sent_store_reached = is_reached
            self.send_heartbeats()
        self._close_duplicates()
        self._open_missing_streams()

    def send_heartbeats(self) -> None:
        """Send a beat to all other relays now."""
        for edge in self._node.relay_peers:
            edge.schedule_heartbeat()

    def step_down(self) -> None:
        """Close the streams to other relays."""
        self._reports.clear()
        for edge in list(self._node.relay_peers):
            edge.close("stepped_down")

    def has_slow_heartbeat(self, edge: Edge) -> bool:
        """Tell whether beats to this relay may be rare."""
        age_ms = self._node.store_age_ms()
        if age_ms is None or edge.peer_heartbeat is None:
            return False
        limit_ms = FAST_STORE_AGE_HEARTBEATS * self._node.settings.beat_ms
        return age_ms <= limit_ms and edge.peer_heartbeat.store_reached

    def make_heartbeat(self, *, stepped_down: bool = False) -> RelayBeat:
        """Return the state of this relay."""
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
        """Renew the own beat here and tell daemons below if it changed."""
        beat = self.make_heartbeat(stepped_down=stepped_down)
        if self._node.relays.merge(beat):
            self._node.forward_relay_heartbeats([beat])

    def handle_heartbeat(
        self, edge: Edge, beat: RelayBeat, moment_ms: float | None
    ) -> None:
        """Take the beat that another relay sent on its own stream."""
        node = self._node
        beat = edge.expand_relay_heartbeat(beat)
        if not beat.vm:
            edge.close("unnamed")
            return
        edge.peer_version = beat.config_version
        if node.relays.merge(beat):
            node.forward_relay_heartbeats([beat])
        if beat.stepped_down:
            edge.close("stepped_down")
            return
        # Each relay reads the store; one that has not got a version there
        # within a beat gets it from here.
        if node.clock.now_ms() - node.config_applied_ms > node.settings.beat_ms:
            node.send_config(edge)
        if moment_ms is None:
            return
        self._reports[beat.vm] = PeerReport(
            failure_domain=beat.failure_domain,
            store_reached=beat.store_reached,
            config_version=beat.config_version,
            as_of_ms=moment_ms - beat.store_age_ms,
        )

    def handle_stream_end(self, edge: Edge) -> None:
        """Forget what a relay said on a stream that has ended."""
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
        """Take the word of other relays while the store is not reached."""
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
        # The age of a word that the store was reached has two parts, each up
        # to the limit: of the word and of the store's answer to the peer.
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
        """Return what is to be sent to a relay that this one called."""
        ups, has_heartbeat = edge.drain_up_messages(self._node.clock.now_ms())
        if has_heartbeat:
            ups[-1].relay_beat.CopyFrom(
                edge.compress_relay_heartbeat(self.make_heartbeat())
            )
        return ups

    def handle_relay_heartbeats(
        self, edge: Edge, down: Down, moment_ms: float | None
    ) -> None:
        """Take the peer's own beat and those that it passes on."""
        changed: list[RelayBeat] = []
        for beat in down.relay_beats:
            if edge.role == RELAY and beat.vm in ("", edge.vm):
                self.handle_heartbeat(edge, beat, moment_ms)
            elif beat.vm != self._node.own_member.vm and self._node.relays.merge(beat):
                changed.append(beat)
        self._node.forward_relay_heartbeats(changed)

    def _close_duplicates(self) -> None:
        """Close the own stream to a relay of lower address that has called."""
        node = self._node
        callers = {edge.vm for edge in node.relay_peers if not edge.is_caller}
        for edge in list(node.relay_peers):
            is_double = edge.is_caller and edge.vm in callers
            if is_double and edge.address < node.address:
                edge.close("double")

    def _open_missing_streams(self) -> None:
        connected = {edge.vm for edge in self._node.relay_peers}
        for beat in [*self._node.other_relays(), *self._sample_down_relays()]:
            if beat.vm in connected or beat.vm in self._tasks:
                self._missing_ticks.pop(beat.vm, None)
                continue
            missing = self._missing_ticks.get(beat.vm, 0) + 1
            self._missing_ticks[beat.vm] = missing
            # One stream a pair is enough; the lower address opens it, unless
            # that daemon does not know of this one.
            if self._node.address < beat.control_address or missing > OPEN_GRACE_TICKS:
                self._open(beat)

    def _sample_down_relays(self) -> Sequence[RelayBeat]:
        """Return some of the relays that count as down.

        After a partition each side has marked the other's relays down and
        only a stream between two relays shows that they are not.
        """
        node = self._node
        live = {beat.vm for beat in node.live_relays()} | {node.own_member.vm}
        return [
            beat
            for beat in node.relays.all()
            if not beat.stepped_down
            and beat.vm not in live
            and node.rng.randrange(DOWN_RELAY_RETRY_TICKS) == 0
        ]

    def _open(self, beat: RelayBeat) -> None:
        node = self._node
        edge = Edge(RELAY, is_caller=True, find_member=node.members.entry_or_tombstone)
        edge.vm, edge.incarnation = beat.vm, beat.incarnation
        edge.address = beat.control_address
        self._tasks[beat.vm] = asyncio.create_task(self._run(edge))

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
        moment_ms = edge.record_received(down)
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
        self.handle_relay_heartbeats(edge, down, moment_ms)
