"""State of one daemon's control plane and its propagation to neighbors.

Neighbors are the parent, the children and, for a relay, the other relays.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

from eliot import log_message
from returns.result import Failure, Result

from eelgrassweir.clock import Clock
from eelgrassweir.config.document import ConfigDocument
from eelgrassweir.daemon.config_log import ConfigLog
from eelgrassweir.daemon.control_client import ChannelFactory
from eelgrassweir.daemon.control_metrics import ControlMetrics
from eelgrassweir.daemon.edge import RELAY, Edge
from eelgrassweir.daemon.failure_detector import FailureDetector
from eelgrassweir.errors import StepError
from eelgrassweir.membership.freshness import Freshness
from eelgrassweir.membership.table import MemberTable, is_newer
from eelgrassweir.membership.tree import AckAggregator, RelayView
from eelgrassweir.proto.control_pb2 import (
    DOWN,
    READY,
    Ack,
    ConfigUpdate,
    Member,
    RelayBeat,
)
from eelgrassweir.settings.generated import Settings

# A stream without a message for this many heartbeats counts as silent.
SILENCE_LIMIT_HEARTBEATS = 3
# Membership entries that arrive within this time are sent in one message.
FLUSH_DELAY_MS = 20.0
SUSPICION_HEARTBEATS = 10
MAX_INCARNATION_CONFLICTS = 3


class Node:
    """Hold the state that the streams of one daemon share; propagate it."""

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock,
        rng: random.Random,
        incarnation: str,
        started_ms: int,
        metrics: ControlMetrics,
        connect: ChannelFactory,
        on_config: Callable[[ConfigDocument], None] | None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.connect = connect
        self.address = ""
        self.members = MemberTable()
        self.config_log = ConfigLog()
        self.relays = RelayView()
        self.freshness = Freshness()
        self.ack_aggregator = AckAggregator()
        self.failure_detector = FailureDetector(self.members)
        self.is_relay = False
        self.is_stopping = False
        self.store_contact_ms: float | None = None
        self.config_applied_ms = 0.0
        # True after an update that could not be applied, until one is.
        self.is_full_document_needed = False
        self.children: dict[str, Edge] = {}
        self.relay_peers: set[Edge] = set()
        # Streams that this daemon has opened, attached or not.
        self.opened_edges: set[Edge] = set()
        self.parent: Edge | None = None
        # VMs from the relay down to this daemon; empty without a relay.
        self.path: tuple[str, ...] = ()
        self.own_member = Member(
            vm=settings.vm,
            incarnation=incarnation,
            started_ms=started_ms,
            state=READY,
            failure_domain=settings.failure_domain,
            region=settings.region,
            link_address=settings.advertised_link_address or settings.link_address,
            admin_address=settings.admin_address,
        )
        self._on_config = on_config
        self._incarnation_conflicts = 0
        self._suspected_ms: dict[str, float] = {}
        self._lost_ms: dict[str, float] = {}
        self._scheduled_flushes: set[Edge] = set()
        self.members.subscribe_ended(self._watch_children)

    # Membership

    def announce_self(self) -> None:
        """Broadcast the current membership entry of this daemon."""
        self.own_member.sequence += 1
        entry = Member()
        entry.CopyFrom(self.own_member)
        self.members.merge(entry)
        self._flood_members([entry], None)

    def merge_members(self, members: Iterable[Member], source: Edge | None) -> None:
        """Merge membership entries and forward those that were newer."""
        merged = [member for member in members if self._merge_member(member)]
        if merged:
            self.metrics.members_taken.inc(len(merged))
            self._flood_members(merged, source)

    def edges(self) -> Sequence[Edge]:
        """Return all attached streams."""
        parent = [self.parent] if self.parent else []
        return [*parent, *self.children.values(), *self.relay_peers]

    def schedule_flush(self, edge: Edge) -> None:
        """Send the queue of ``edge`` after ``FLUSH_DELAY_MS`` as a batch."""
        if edge in self._scheduled_flushes:
            return
        self._scheduled_flushes.add(edge)

        def flush() -> None:
            self._scheduled_flushes.discard(edge)
            edge.wake()

        asyncio.get_running_loop().call_later(FLUSH_DELAY_MS / 1000, flush)

    def watch_lost_peer(self, edge: Edge) -> None:
        """Mark the peer as down unless it announces itself in time."""
        if not self.is_stopping:
            grace_ms = SILENCE_LIMIT_HEARTBEATS * self.settings.beat_ms
            self.failure_detector.watch(edge.vm, self.clock.now_ms() + grace_ms)

    def mark_lost_members_down(self) -> None:
        """Mark daemons as down that have not announced themselves in time."""
        connected = {edge.vm for edge in self.edges()}
        marks = self.failure_detector.mark_overdue(self.clock.now_ms(), connected)
        self.metrics.down_marks.inc(len(marks))
        self.merge_members(marks, None)

    def _merge_member(self, member: Member) -> bool:
        if member.vm == self.own_member.vm and not self.is_stopping:
            self._refute_own_entry(member)
            return False
        known = self.members.get(member.vm)
        if not self.members.merge(member):
            return False
        self._lost_ms.pop(member.vm, None)
        if member.state == DOWN and known is not None and known.state == READY:
            self._lost_ms[member.vm] = self.clock.now_ms()
        return True

    def _refute_own_entry(self, member: Member) -> None:
        """Announce this daemon again if ``member`` supersedes its entry."""
        if not is_newer(member, self.own_member):
            return
        if member.incarnation == self.own_member.incarnation:
            self.own_member.sequence = member.sequence
            self.announce_self()
            return
        # The clock of the former incarnation was ahead of this one's. Two
        # live daemons with the same VM name would repeat this forever, hence
        # the limit.
        self._incarnation_conflicts += 1
        log_message(
            message_type="control:other_incarnation",
            vm=member.vm,
            incarnation=member.incarnation,
            started_ms=member.started_ms,
        )
        if self._incarnation_conflicts <= MAX_INCARNATION_CONFLICTS:
            self.own_member.started_ms = member.started_ms + 1
            self.announce_self()

    def _flood_members(self, members: Sequence[Member], source: Edge | None) -> None:
        for edge in self.edges():
            # Relays form a full mesh, so an entry crosses only one edge
            # between relays.
            is_repeated = source and source.role == RELAY and edge.role == RELAY
            if edge is source or is_repeated:
                continue
            edge.add_vms(member.vm for member in members)
            self.schedule_flush(edge)

    def _watch_children(self, incarnation: str) -> None:
        if self.is_relay:
            now_ms, heartbeat_ms = self.clock.now_ms(), self.settings.beat_ms
            self.failure_detector.watch_children(incarnation, now_ms, heartbeat_ms)

    # Configuration

    def apply_document(self, document: ConfigDocument, peer: str) -> None:
        """Apply a document read from the store."""
        self._handle_config_result(self.config_log.apply(document, peer), peer)

    def apply_update(self, update: ConfigUpdate, edge: Edge) -> None:
        """Apply a delta or full document from a neighbor.

        If that fails and the update is newer, close the stream and request
        a full document on the next one.
        """
        edge.peer_version = max(edge.peer_version, update.version)
        result = self.config_log.apply_update(update, edge.address or edge.vm)
        self._handle_config_result(result, edge.vm)
        if isinstance(result, Failure) and update.version > self.config_log.version:
            self.is_full_document_needed = True
            edge.close("config")

    def send_config(self, edge: Edge) -> None:
        """Send the updates from the version of the peer to the newest."""
        updates = self.config_log.updates_for(edge.peer_version)
        if updates:
            edge.add_config(updates)
            edge.wake()

    def aggregate_acks(self) -> Ack:
        """Return the acknowledgements of this daemon and its descendants."""
        return self.ack_aggregator.aggregate(self.config_log.version)

    def _handle_config_result(self, result: Result[bool, StepError], peer: str) -> None:
        if isinstance(result, Failure):
            self.metrics.config_refused.labels("wrong").inc()
            error = str(result.failure())
            log_message(message_type="control:config_refused", error=error)
            return
        if not result.unwrap():
            self.metrics.config_refused.labels("not_newer").inc()
            return
        self.metrics.config_taken.inc()
        self.is_full_document_needed = False
        self.config_applied_ms = self.clock.now_ms()
        log_message(
            message_type="control:config", version=self.config_log.version, peer=peer
        )
        for edge in self.children.values():
            self.send_config(edge)
        if self._on_config is not None and self.config_log.document is not None:
            self._on_config(self.config_log.document)

    # Relays and the path to one

    def set_path(self, path: tuple[str, ...]) -> None:
        """Set the path from the relay and send it to the children."""
        if path == self.path:
            return
        self.path = path
        for edge in self.children.values():
            edge.add_path(path)
            edge.wake()

    def forward_relay_heartbeats(self, heartbeats: Sequence[RelayBeat]) -> None:
        """Forward heartbeats of changed relays to the children."""
        if not heartbeats:
            return
        for edge in self.children.values():
            edge.add_relay_heartbeats(heartbeats)
            self.schedule_flush(edge)

    def live_relays(self) -> Sequence[RelayBeat]:
        """Return the latest heartbeats of the live relays, own included."""
        return self.relays.live(self.members.is_live)

    def other_relays(self) -> Sequence[RelayBeat]:
        """Return the latest heartbeats of the other live relays."""
        return [relay for relay in self.live_relays() if relay.vm != self.own_member.vm]

    def suspect(self, address: str) -> None:
        """Suspect the daemon at ``address``, which did not answer."""
        self._suspected_ms[address] = self.clock.now_ms()

    def clear_suspicion(self, address: str) -> None:
        """Clear the suspicion of the daemon at ``address``."""
        self._suspected_ms.pop(address, None)

    def is_suspected(self, relay: RelayBeat) -> bool:
        """Return whether a relay failed to answer recently."""
        since_ms = self._suspected_ms.get(relay.control_address)
        limit_ms = SUSPICION_HEARTBEATS * self.settings.beat_ms
        return since_ms is not None and self.clock.now_ms() - since_ms < limit_ms

    def recently_lost_vms(self) -> Sequence[str]:
        """Return the VMs lost so recently that they may still serve.

        A daemon that was partitioned uses its configuration up to its
        isolation limit. One that was draining accepts no keyed requests.
        """
        now_ms, limit_ms = self.clock.now_ms(), self.settings.isolation_limit_ms
        for vm, since_ms in list(self._lost_ms.items()):
            if now_ms - since_ms > limit_ms:
                del self._lost_ms[vm]
        return sorted(self._lost_ms)

    def expire_suspicions(self) -> None:
        """Drop suspicions older than ``SUSPICION_HEARTBEATS``."""
        limit_ms = SUSPICION_HEARTBEATS * self.settings.beat_ms
        now_ms = self.clock.now_ms()
        for address, since_ms in list(self._suspected_ms.items()):
            if now_ms - since_ms >= limit_ms:
                del self._suspected_ms[address]

    # Contact of a relay with the store

    def store_age_ms(self) -> float | None:
        """Return the time since a relay last reached the store, or None."""
        if not self.is_relay or self.store_contact_ms is None:
            return None
        return self.clock.now_ms() - self.store_contact_ms

    def has_reached_store(self) -> bool:
        """Return whether this daemon is a relay and reaches the store."""
        age_ms = self.store_age_ms()
        return (
            age_ms is not None
            and age_ms <= SILENCE_LIMIT_HEARTBEATS * self.settings.beat_ms
        )

    def record_store_contact(
        self, document: ConfigDocument | None, as_of_ms: float
    ) -> None:
        """Apply the store's document as of ``as_of_ms``; None if unchanged."""
        if document is not None:
            self.apply_document(document, "store")
        self.store_contact_ms = as_of_ms
        self.freshness.record(as_of_ms)
