"""Control plane of one daemon: membership, control tree, configuration."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from typing import Any

import attrs
from eliot import log_message
from prometheus_client import CollectorRegistry
from returns.result import Failure, Result, Success

from eelgrassweir.clock import Clock
from eelgrassweir.config.document import ConfigDocument, parse_document
from eelgrassweir.daemon.commit import commit_at_store
from eelgrassweir.daemon.config_log import ConfigLog
from eelgrassweir.daemon.control_client import (
    Connect,
    ControlClient,
    open_channel,
)
from eelgrassweir.daemon.control_metrics import ControlMetrics, count_of
from eelgrassweir.daemon.control_server import (
    Borrow,
    ControlHandlers,
    Promise,
    read_first,
    start_server,
)
from eelgrassweir.daemon.edge import CHILD, PARENT, RELAY, Edge
from eelgrassweir.daemon.losses import LossWatch
from eelgrassweir.daemon.relay import RelayHooks, RelayRecord, RelayRole
from eelgrassweir.daemon.session import run_caller, run_server, send_and_end
from eelgrassweir.daemon.store_calls import StoreCalls
from eelgrassweir.errors import StepError
from eelgrassweir.membership.freshness import (
    Freshness,
    PeerWord,
    outage_as_of,
    peer_word_as_of,
)
from eelgrassweir.membership.table import MemberTable, is_newer
from eelgrassweir.membership.tree import (
    RECORD_SEQUENCE,
    AckTally,
    ParentSearch,
    RelayView,
    forms_cycle,
    order_relays,
)
from eelgrassweir.proto.control_pb2 import (
    DOWN,
    READY,
    Ack,
    Attach,
    CommitReply,
    CommitRequest,
    ConfigUpdate,
    Down,
    Member,
    MemberState,
    Redirect,
    RelayBeat,
    SubtreeReply,
    Up,
)
from eelgrassweir.settings.generated import Settings
from eelgrassweir.store.client import StoreClient

# A stream is silent after so many beats without a message.
SILENT_BEATS = 3
# Entries that arrive within this time leave in one message.
FLUSH_MS = 20.0
EXPIRE_EVERY_TICKS = 10
# Relays compare their tables, since entries do not pass through two of them.
COMPARE_EVERY_TICKS = 30
REDIRECT_ADDRESSES = 8
# A relay that counts as down is tried again once in so many ticks.
LOST_RELAY_TICKS = 10
SUSPECT_BEATS = 10
# A parent that has lost its own parent finds another one within a few beats.
UNROOTED_BEATS = 5
MAX_PAUSE_BEATS = 8.0
# A confirm waits for its answer, and so does the admin listener for 10 s.
COMMIT_LIMIT_MS = 8_000.0
MAX_RENAMES = 3


@attrs.frozen(kw_only=True)
class FleetStatus:
    """Hold the acknowledgements of the whole fleet, as one daemon sees it."""

    newest_version: int
    daemons_by_version: dict[int, int]
    lagging: tuple[str, ...]
    unreachable_relays: tuple[str, ...]
    unreachable_domains: tuple[str, ...]
    members_known: int
    # Daemons that no relay counts, since they or their relay are cut off.
    members_unheard: int
    # After this time a daemon that has heard nothing refuses keyed requests.
    isolation_limit_ms: int


class ControlPlane:
    """Join the control tree and spread membership and configuration."""

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock,
        store: StoreClient,
        rng: random.Random,
        incarnation: str,
        started_ms: int,
        on_config: Callable[[ConfigDocument], None] | None = None,
        on_relay: Callable[[bool], None] | None = None,
        borrow: Borrow | None = None,
        promise: Promise | None = None,
        registry: CollectorRegistry | None = None,
        connect: Connect = open_channel,
    ) -> None:
        self.members = MemberTable()
        self.address = ""
        self.port = 0
        self.metrics = ControlMetrics(registry or CollectorRegistry())
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._on_config = on_config
        self._on_relay = on_relay
        self._borrow = borrow
        self._promise = promise
        self._store = StoreCalls(store, self.metrics)
        self._client = ControlClient(self.metrics, connect)
        self._connect = connect
        self._log = ConfigLog()
        self._relays = RelayView()
        self._freshness = Freshness()
        self._store_as_of_ms: float | None = None
        self._tally = AckTally()
        self._losses = LossWatch(self.members)
        self.members.subscribe_gone(self._watch_children)
        self._own = self._first_entry(incarnation, started_ms)
        self._renames = 0
        self._children: dict[str, Edge] = {}
        self._peers: set[Edge] = set()
        # Streams that this daemon has opened, attached or not.
        self._calling: set[Edge] = set()
        self._peer_tasks: dict[str, asyncio.Task[None]] = {}
        self._peer_missing_ticks: dict[str, int] = {}
        self._words: dict[str, PeerWord] = {}
        self._parent: Edge | None = None
        self._parent_edge: Edge | None = None
        self._path: tuple[str, ...] = ()
        self._unrooted_ticks = 0
        self._said_ack = b""
        self._ask_whole = False
        self._suspected_ms: dict[str, float] = {}
        self._holds_shares_of = ""
        self._beat_sequence = 0
        self._said_relays: tuple[bool, tuple[tuple[str, str], ...]] | None = None
        self._is_stopping = False
        self._ticks = 0
        self._flushing: set[Edge] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._server: Any = None
        self.role = RelayRole(
            settings, clock, self._store, rng, incarnation, self._relay_hooks()
        )

    # Life cycle.

    async def start(self) -> None:
        """Listen on the control port and join the tree.

        :raises StepError: if the control port cannot be bound
        """
        handlers = ControlHandlers(
            join=self._serve_join,
            subtree=self._subtree,
            commit=self._serve_commit,
            borrow=self._borrow,
            promise=self._promise,
        )
        started = await start_server(self._settings.control_address, handlers)
        if isinstance(started, Failure):
            raise started.failure()
        self._server, self.port = started.unwrap()
        advertised = self._settings.advertised_control_address
        host = self._settings.control_address.rpartition(":")[0]
        self.address = advertised or f"{host}:{self.port}"
        self._own.control_address = self.address
        self._announce_own()
        self._spawn(self._tick_loop())
        self._spawn(self._attach_loop())
        self._spawn(self._run_role())

    async def stop(self) -> None:
        """Tell the others that this daemon ends, and close all streams."""
        self._is_stopping = True
        self._own.state = DOWN
        self._announce_own()
        # The last entry leaves with the next flush.
        await asyncio.sleep(3 * FLUSH_MS / 1000)
        for task in [*self._tasks, *self._peer_tasks.values()]:
            task.cancel()
        pending = [*self._tasks, *self._peer_tasks.values()]
        await asyncio.gather(*pending, return_exceptions=True)
        await self.role.resign()
        for edge in [*self._children.values(), *self._peers]:
            edge.close("stopped")
        await self._client.close()
        if self._server is not None:
            await self._server.stop(grace=0.1)

    # What the other parts of the daemon use.

    @property
    def config(self) -> ConfigDocument | None:
        """Return the newest configuration; None before the first one."""
        return self._log.document

    def announce(
        self, *, service: str, slots: int, state: MemberState.ValueType
    ) -> None:
        """Tell all daemons what stands beside this one and in which state."""
        own = self._own
        if (own.service, own.slots, own.state) == (service, slots, state):
            return
        own.service, own.slots, own.state = service, slots, state
        self._announce_own()

    def is_fresh(self) -> bool:
        """Tell whether the configuration may still be the newest."""
        if self._log.document is None:
            return False
        limit_ms = self._settings.isolation_limit_ms
        return self._freshness.is_fresh(self._clock.now_ms(), limit_ms)

    def freshness_age_ms(self) -> float | None:
        """Return the age of the last word that the configuration is new."""
        return self._freshness.age_ms(self._clock.now_ms())

    def set_holds_shares_of(self, failure_domain: str) -> None:
        """Say whose shares this daemon holds; empty for none."""
        if failure_domain == self._holds_shares_of:
            return
        self._holds_shares_of = failure_domain
        if self.is_relay():
            self._refresh_own_beat()
            for edge in self._peers:
                if edge.is_caller:
                    edge.make_beat_due()

    def holders(self) -> Sequence[tuple[str, str]]:
        """Return (failure domain, control address) of the share holders.

        The own domain comes first, the others in random order.
        """
        newest: dict[str, RelayBeat] = {}
        for beat in self._live_relays():
            domain = beat.holds_shares_of
            known = newest.get(domain)
            if domain and (known is None or beat.sequence > known.sequence):
                newest[domain] = beat
        found = [(domain, beat.control_address) for domain, beat in newest.items()]
        self._rng.shuffle(found)
        found.sort(key=lambda holder: holder[0] != self._settings.failure_domain)
        return found

    def is_relay(self) -> bool:
        """Tell whether this daemon holds a relay slot."""
        return self.role.is_relay

    def is_holder(self) -> bool:
        """Tell whether this daemon manages the shares of a domain."""
        return bool(self._holds_shares_of)

    def other_relays(self) -> Sequence[RelayBeat]:
        """Return the last beats of the other relays."""
        own = self._settings.vm
        return [beat for beat in self._live_relays() if beat.vm != own]

    async def borrow(
        self, address: str, request: Any, *, timeout_ms: float = 250.0
    ) -> Result[Any, StepError]:
        """Ask the share holder at ``address`` for tokens."""
        return await self._client.borrow(address, request, timeout_ms)

    async def promise(
        self, address: str, request: Any, *, timeout_ms: float = 1000.0
    ) -> Result[Any, StepError]:
        """Ask the relay at ``address`` not to take over."""
        return await self._client.promise(address, request, timeout_ms)

    async def commit(
        self, *, base_version: int, change_id: str, document_json: bytes
    ) -> CommitReply:
        """Commit a change through a relay that reaches the store."""
        request = CommitRequest(
            base_version=base_version,
            change_id=change_id,
            document_json=document_json,
        )
        version = self._log.version
        unreachable = CommitReply(result="store_unreachable", version=version)
        if self.is_relay():
            reply = await self._serve_commit(request)
            if reply.result != "store_unreachable":
                return reply
        relays = list(self.other_relays())
        self._rng.shuffle(relays)
        relays.sort(key=lambda beat: not beat.store_reached)
        deadline_ms = self._clock.now_ms() + COMMIT_LIMIT_MS
        # A relay reads, writes and reads back.
        limit_ms = 4.0 * self._settings.store_timeout_ms
        for beat in relays:
            left_ms = min(limit_ms, deadline_ms - self._clock.now_ms())
            if left_ms <= 0:
                break
            result = await self._client.commit(beat.control_address, request, left_ms)
            reply = result.value_or(unreachable)
            if reply.result != "store_unreachable":
                return reply
        return unreachable

    async def fleet_status(self) -> FleetStatus:
        """Ask all relays for their subtrees and add them up."""
        relays = list(self.other_relays())
        limit_ms = float(self._settings.beat_ms)
        replies = await asyncio.gather(
            *(self._client.subtree(beat.control_address, limit_ms) for beat in relays)
        )
        heard = [reply.unwrap() for reply in replies if isinstance(reply, Success)]
        if self.is_relay():
            heard.append(self._subtree())
        names = {reply.relay for reply in heard}
        failed = tuple(beat.vm for beat in relays if beat.vm not in names)
        return self._sum_up(heard, failed)

    def state(self) -> dict[str, Any]:
        """Return the state for the dump; it holds no keys."""
        metrics = self.metrics
        return {
            "vm": self._own.vm,
            "incarnation": self._own.incarnation,
            "sequence": self._own.sequence,
            "state": MemberState.Name(self._own.state),
            "control_address": self.address,
            "is_relay": self.is_relay(),
            "relay_slot": self.role.slot,
            "holds_shares_of": self._holds_shares_of,
            "path": list(self._path),
            "parent": self._parent.vm if self._parent else "",
            "children": sorted(self._children),
            "relay_peers": sorted({edge.vm for edge in self._peers}),
            "relays_known": sorted(beat.vm for beat in self._live_relays()),
            "members_known": self.members.live_count(),
            "config_version": self._log.version,
            "config_is_fresh": self.is_fresh(),
            "freshness_age_ms": self.freshness_age_ms(),
            "stream_losses": count_of(metrics.stream_losses),
            "attachments": count_of(metrics.attachments),
            "store_calls": count_of(metrics.store_calls),
            "config_taken": count_of(metrics.config_taken),
            "config_refused": count_of(metrics.config_refused),
        }

    # Own entry and flooding.

    def _first_entry(self, incarnation: str, started_ms: int) -> Member:
        settings = self._settings
        return Member(
            vm=settings.vm,
            incarnation=incarnation,
            started_ms=started_ms,
            state=READY,
            failure_domain=settings.failure_domain,
            region=settings.region,
            link_address=settings.advertised_link_address or settings.link_address,
            admin_address=settings.admin_address,
        )

    def _announce_own(self) -> None:
        self._own.sequence += 1
        entry = Member()
        entry.CopyFrom(self._own)
        self.members.merge(entry)
        self._flood([entry], None)

    def _take_members(self, members: Iterable[Member], source: Edge | None) -> None:
        taken = [member for member in members if self._take_member(member)]
        self.metrics.members_taken.inc(len(taken))
        self._flood(taken, source)

    def _take_member(self, member: Member) -> bool:
        if member.vm == self._own.vm and not self._is_stopping:
            self._defend_own(member)
            return False
        return self.members.merge(member)

    def _defend_own(self, member: Member) -> None:
        """Announce this daemon again if ``member`` would replace its entry."""
        if not is_newer(member, self._own):
            return
        if member.incarnation == self._own.incarnation:
            self._own.sequence = member.sequence
            self._announce_own()
            return
        # The clock of the former incarnation was ahead of this one's. Two
        # live daemons of one name would do this forever, hence the limit.
        self._renames += 1
        log_message(
            message_type="control:other_incarnation",
            vm=member.vm,
            incarnation=member.incarnation,
            started_ms=member.started_ms,
        )
        if self._renames <= MAX_RENAMES:
            self._own.started_ms = member.started_ms + 1
            self._announce_own()

    def _flood(self, members: Sequence[Member], source: Edge | None) -> None:
        if not members:
            return
        for edge in self._edges():
            # Relays are connected each to each, so an entry passes one edge
            # between relays only.
            is_repeated = source and source.role == RELAY and edge.role == RELAY
            if edge is source or is_repeated:
                continue
            edge.add_members(members)
            self._flush_soon(edge)

    def _edges(self) -> Sequence[Edge]:
        parent = [self._parent] if self._parent else []
        return [*parent, *self._children.values(), *self._peers]

    def _flush_soon(self, edge: Edge) -> None:
        if edge in self._flushing:
            return
        self._flushing.add(edge)

        def flush() -> None:
            self._flushing.discard(edge)
            edge.wake()

        asyncio.get_running_loop().call_later(FLUSH_MS / 1000, flush)

    # Configuration.

    def _take_document(self, document: ConfigDocument, peer: str) -> None:
        self._after_config(self._log.take(document, peer), peer)

    def _take_update(self, update: ConfigUpdate, edge: Edge) -> None:
        edge.peer_version = max(edge.peer_version, update.version)
        result = self._log.take_update(update, edge.address or edge.vm)
        self._after_config(result, edge.vm)
        if isinstance(result, Failure) and update.version > self._log.version:
            self._ask_whole = True
            edge.close("config")

    def _after_config(self, result: Result[bool, StepError], peer: str) -> None:
        if isinstance(result, Failure):
            self.metrics.config_refused.labels("wrong").inc()
            log_message(message_type="control:config_refused", error=str(result))
            return
        if not result.unwrap():
            self.metrics.config_refused.labels("not_newer").inc()
            return
        self.metrics.config_taken.inc()
        self._ask_whole = False
        log_message(message_type="control:config", version=self._log.version, peer=peer)
        for edge in self._children.values():
            self._send_config(edge)
        if self._on_config is not None and self._log.document is not None:
            self._on_config(self._log.document)

    def _send_config(self, edge: Edge) -> None:
        updates = self._log.updates_for(edge.peer_version)
        if updates:
            edge.add_config(updates)
            edge.wake()

    async def _serve_commit(self, request: CommitRequest) -> CommitReply:
        if not self.is_relay():
            return CommitReply(result="store_unreachable", version=self._log.version)
        own = self._log.document
        reply = await commit_at_store(self._store, request, own)
        if reply.result != "applied":
            return reply
        # The store has accepted exactly these bytes.
        parse_document(request.document_json).map(
            lambda document: self._take_document(document, "store")
        )
        for edge in self._peers:
            self._send_config(edge)
        return reply

    # Acknowledgements.

    def _aggregate(self) -> Ack:
        return self._tally.aggregate(self._log.version)

    def _subtree(self) -> SubtreeReply:
        return SubtreeReply(
            relay=self._own.vm,
            ack=self._aggregate(),
            config_version=self._log.version,
            store_reached=self._store_reached(),
        )

    def _sum_up(
        self, heard: Sequence[SubtreeReply], failed: tuple[str, ...]
    ) -> FleetStatus:
        counts: dict[int, int] = {}
        for reply in heard:
            for count in reply.ack.counts:
                total = counts.get(count.version, 0) + count.daemons
                counts[count.version] = total
        newest = max([self._log.version, *counts])
        lagging = [
            name
            for reply in heard
            for name in ([reply.relay] if reply.config_version < newest else [])
            + list(reply.ack.lagging)
        ]
        reached = {
            beat.failure_domain
            for beat in self._live_relays()
            if beat.vm in {reply.relay for reply in heard}
        }
        document = self._log.document
        domains = document.failure_domains if document is not None else ()
        known = self.members.live_count()
        return FleetStatus(
            newest_version=newest,
            daemons_by_version=dict(sorted(counts.items())),
            lagging=tuple(lagging[:16]),
            unreachable_relays=failed,
            unreachable_domains=tuple(
                domain for domain in domains if domain not in reached
            ),
            members_known=known,
            members_unheard=max(0, known - sum(counts.values())),
            isolation_limit_ms=self._settings.isolation_limit_ms,
        )

    # Relay role.

    def _relay_hooks(self) -> RelayHooks:
        return RelayHooks(
            is_wanted=self._is_relay_wanted,
            domain_count=lambda: self.members.domain_count(
                self._settings.failure_domain
            ),
            control_address=lambda: self.address,
            on_role=self._change_role,
            on_records=self._take_records,
            on_store_reached=self._reach_store,
        )

    async def _run_role(self) -> None:
        await self.role.run()

    def _is_relay_wanted(self) -> bool:
        if self._is_stopping:
            return False
        domain = self._settings.failure_domain
        count = sum(
            beat.failure_domain == domain and not self._is_suspected(beat)
            for beat in self._live_relays()
        )
        return count < self._settings.relays_per_domain_count

    def _change_role(self, is_relay: bool) -> None:
        log_message(message_type="control:role", is_relay=is_relay, slot=self.role.slot)
        if self._parent_edge is not None:
            self._parent_edge.close("relay")
        self._refresh_own_beat(stepped_down=not is_relay)
        if is_relay:
            self._set_path((self._own.vm,))
            self._own.parent_incarnation = ""
            self._losses.watch_orphans(self._clock.now_ms(), self._settings.beat_ms)
        else:
            self._set_path(())
            self._words.clear()
            for edge in list(self._peers):
                edge.close("stepped_down")
        if not self._is_stopping:
            self._announce_own()
            self._say_relays()

    def _take_records(self, records: Sequence[RelayRecord]) -> None:
        self._relays.keep_recorded({record.vm for record in records})
        for record in records:
            if record.vm == self._own.vm:
                continue
            beat = RelayBeat(
                vm=record.vm,
                incarnation=record.incarnation,
                failure_domain=record.failure_domain,
                control_address=record.control_address,
                sequence=RECORD_SEQUENCE,
            )
            self._relays.merge(beat)

    def _reach_store(self, document: ConfigDocument | None, as_of_ms: float) -> None:
        if document is not None:
            self._take_document(document, "store")
        self._store_as_of_ms = as_of_ms
        self._freshness.record(as_of_ms)

    def _store_age_ms(self) -> float | None:
        if self._store_as_of_ms is None:
            return None
        return self._clock.now_ms() - self._store_as_of_ms

    def _store_reached(self) -> bool:
        age_ms = self._store_age_ms()
        limit_ms = SILENT_BEATS * self._settings.beat_ms
        return self.is_relay() and age_ms is not None and age_ms <= limit_ms

    def _own_beat(self, *, stepped_down: bool = False) -> RelayBeat:
        self._beat_sequence = max(self._beat_sequence + 1, self._clock.wall_ms())
        is_reached = self._store_reached()
        return RelayBeat(
            vm=self._own.vm,
            incarnation=self._own.incarnation,
            failure_domain=self._own.failure_domain,
            control_address=self.address,
            sequence=self._beat_sequence,
            config_version=self._log.version,
            store_reached=is_reached,
            store_age_ms=int(self._store_age_ms() or 0) if is_reached else 0,
            holds_shares_of=self._holds_shares_of,
            stepped_down=stepped_down,
        )

    def _refresh_own_beat(self, *, stepped_down: bool = False) -> None:
        beat = self._own_beat(stepped_down=stepped_down)
        if self._relays.merge(beat):
            self._pass_relay_beats([beat])

    def _pass_relay_beats(self, beats: Sequence[RelayBeat]) -> None:
        for edge in self._children.values():
            edge.add_relay_beats(beats)
            self._flush_soon(edge)

    def _live_relays(self) -> Sequence[RelayBeat]:
        return self._relays.live(self.members.is_live)

    def _is_suspected(self, beat: RelayBeat) -> bool:
        since_ms = self._suspected_ms.get(beat.control_address)
        limit_ms = SUSPECT_BEATS * self._settings.beat_ms
        return since_ms is not None and self._clock.now_ms() - since_ms < limit_ms

    def _say_relays(self) -> None:
        """Tell the shares part when the set of relays has changed."""
        others = tuple(
            sorted((beat.vm, beat.incarnation) for beat in self.other_relays())
        )
        current = (self.is_relay(), others)
        if current == self._said_relays:
            return
        self._said_relays = current
        if self._on_relay is not None:
            self._on_relay(self.is_relay())

    # Streams between relays.

    def _ensure_peers(self) -> None:
        connected = {edge.vm for edge in self._peers}
        for beat in [*self.other_relays(), *self._lost_relays()]:
            if beat.vm in connected or beat.vm in self._peer_tasks:
                self._peer_missing_ticks.pop(beat.vm, None)
                continue
            missing = self._peer_missing_ticks.get(beat.vm, 0) + 1
            self._peer_missing_ticks[beat.vm] = missing
            # One stream a pair is enough; the lower address opens it, unless
            # that daemon does not know of this one.
            if self.address < beat.control_address or missing > SILENT_BEATS:
                self._open_peer(beat)

    def _lost_relays(self) -> Sequence[RelayBeat]:
        """Return some of the relays that count as down.

        After a partition each side has marked the other's relays down and
        only a stream between two relays shows that they are not.
        """
        live = {beat.vm for beat in self._live_relays()} | {self._own.vm}
        return [
            beat
            for beat in self._relays.all()
            if not beat.stepped_down
            and beat.vm not in live
            and self._rng.randrange(LOST_RELAY_TICKS) == 0
        ]

    def _open_peer(self, beat: RelayBeat) -> None:
        edge = Edge(RELAY, is_caller=True)
        edge.vm, edge.incarnation = beat.vm, beat.incarnation
        edge.address = beat.control_address
        task = asyncio.create_task(self._run_peer(edge))
        self._peer_tasks[beat.vm] = task

    async def _run_peer(self, edge: Edge) -> None:
        vm = edge.vm
        try:
            await self._run_caller(edge)
        finally:
            self._peers.discard(edge)
            self._peer_tasks.pop(vm, None)
            self._lose_peer(edge)

    def _lose_peer(self, edge: Edge) -> None:
        if not edge.is_attached:
            return
        self.metrics.stream_losses.labels(RELAY, edge.close_cause).inc()
        if any(other.vm == edge.vm for other in self._peers):
            return
        self._words.pop(edge.vm, None)
        if self.is_relay():
            self._watch_loss(edge)

    def _hear_peer(self, edge: Edge, beat: RelayBeat, moment_ms: float | None) -> None:
        beat = edge.hear_relay_beat(beat)
        edge.peer_version = beat.config_version
        if self._relays.merge(beat):
            self._pass_relay_beats([beat])
        if beat.stepped_down:
            edge.close("stepped_down")
            return
        if moment_ms is None:
            return
        self._words[beat.vm] = PeerWord(
            failure_domain=beat.failure_domain,
            store_reached=beat.store_reached,
            config_version=beat.config_version,
            as_of_ms=moment_ms - beat.store_age_ms,
        )

    def _judge_freshness(self) -> None:
        """Take the word of other relays while the store is not reached."""
        if not self.is_relay() or self._store_reached():
            return
        now_ms = self._clock.now_ms()
        limit_ms = float(SILENT_BEATS * self._settings.beat_ms)
        version = self._log.version
        # A word that a peer reached the store may be as old as that takes.
        as_of_ms = peer_word_as_of(
            self._words,
            own_version=version,
            now_ms=now_ms,
            word_limit_ms=2 * limit_ms,
        )
        if as_of_ms is None and self._log.document is not None:
            as_of_ms = outage_as_of(
                self._words,
                own_domain=self._settings.failure_domain,
                own_version=version,
                domains=self._log.document.failure_domains,
                now_ms=now_ms,
                word_limit_ms=limit_ms,
            )
        if as_of_ms is not None:
            self._freshness.record(as_of_ms)

    # Calling end of streams.

    async def _attach_loop(self) -> None:
        if not self._settings.seed_addresses:
            await self.role.read_records()
        else:
            self._spawn(self._read_records())
        pause_beats = 0.25
        while True:
            is_attached = False
            if not self.is_relay():
                is_attached = await self._attach_once()
            pause_beats = 0.25 if is_attached else pause_beats * 2
            pause_beats = min(pause_beats, MAX_PAUSE_BEATS)
            if self.is_relay():
                pause_beats = 1.0
            pause_ms = pause_beats * self._settings.beat_ms
            await asyncio.sleep(self._rng.uniform(0.5, 1.0) * pause_ms / 1000)

    async def _read_records(self) -> None:
        await self.role.read_records()

    async def _attach_once(self) -> bool:
        """Search for a parent and stay with it until it is lost."""
        search = ParentSearch(self.address, self._first_addresses(), self._rng)
        while not self.is_relay():
            candidate = search.next()
            if candidate is None:
                return False
            edge = Edge(PARENT, is_caller=True)
            edge.address = candidate.address
            self._parent_edge = edge
            await self._run_parent(edge)
            if edge.redirect is not None:
                self.metrics.redirects.inc()
                search.redirect(candidate, edge.redirect)
                continue
            if edge.is_attached:
                return True
            self._suspected_ms[edge.address] = self._clock.now_ms()
        return False

    def _first_addresses(self) -> Sequence[str]:
        domain = self._settings.failure_domain
        good = [beat for beat in self.other_relays() if not self._is_suspected(beat)]
        tried_first = {beat.vm for beat in good} | {self._own.vm}
        doubtful = [
            beat
            for beat in self._relays.all()
            if not beat.stepped_down and beat.vm not in tried_first
        ]
        seeds = list(self._settings.seed_addresses)
        self._rng.shuffle(seeds)
        return [
            *order_relays(good, domain, self._rng),
            *seeds,
            *order_relays(doubtful, domain, self._rng),
        ]

    async def _run_parent(self, edge: Edge) -> None:
        try:
            await self._run_caller(edge)
        finally:
            self._parent_edge = None
            if self._parent is edge:
                self._parent = None
                if not self.is_relay():
                    self._set_path(())
                cause = edge.close_cause
                self.metrics.stream_losses.labels(PARENT, cause).inc()

    async def _run_caller(self, edge: Edge) -> None:
        edge.add_digests(self.members.digests())
        edge.make_beat_due()
        attach = Attach(
            member=self._own,
            is_relay=edge.role == RELAY,
            config_version=0 if self._ask_whole else self._log.version,
        )

        def take() -> list[Up]:
            nonlocal attach
            ups = self._take_ups(edge)
            if attach is not None and ups:
                ups[0].attach.CopyFrom(attach)
                attach = None  # type: ignore[assignment]
            return ups

        self._calling.add(edge)
        try:
            handle = partial(self._handle_down, edge)
            await run_caller(edge, handle, take, self._connect)
        finally:
            self._calling.discard(edge)

    def _take_ups(self, edge: Edge) -> list[Up]:
        ups, is_beat = edge.take_ups(self._clock.now_ms())
        if is_beat and edge.role == RELAY:
            ups[-1].relay_beat.CopyFrom(edge.say_relay_beat(self._own_beat()))
        if is_beat and edge.role == PARENT and edge.is_attached:
            ack = self._aggregate()
            packed = ack.SerializeToString()
            if packed != self._said_ack:
                self._said_ack = packed
                ups[-1].ack.CopyFrom(ack)
        self.metrics.messages.labels("sent").inc(len(ups))
        return ups

    def _handle_down(self, edge: Edge, down: Down) -> None:
        self.metrics.messages.labels("received").inc()
        moment_ms = edge.hear(down)
        if down.HasField("config"):
            self._take_update(down.config, edge)
        self._take_members(down.members, edge)
        if down.HasField("redirect"):
            edge.redirect = tuple(down.redirect.control_addresses)
            edge.close("redirect")
        if edge.closed.is_set():
            return
        if down.HasField("path") and edge.role == PARENT:
            self._take_path(edge, tuple(down.path.vms))
        if down.HasField("sender") and not edge.closed.is_set():
            self._attach(edge, down.sender)
        if down.digests:
            edge.add_members(self.members.differing(down.digests))
            self._flush_soon(edge)
        self._take_relay_beats(edge, down, moment_ms)
        if edge.role == PARENT and down.has_freshness and moment_ms is not None:
            self._freshness.record(moment_ms - down.freshness_age_ms)

    def _take_relay_beats(
        self, edge: Edge, down: Down, moment_ms: float | None
    ) -> None:
        changed: list[RelayBeat] = []
        for beat in down.relay_beats:
            if edge.role == RELAY and beat.vm in ("", edge.vm):
                self._hear_peer(edge, beat, moment_ms)
            elif beat.vm != self._own.vm and self._relays.merge(beat):
                changed.append(beat)
        if changed:
            self._pass_relay_beats(changed)

    def _attach(self, edge: Edge, sender: Member) -> None:
        edge.vm, edge.incarnation = sender.vm, sender.incarnation
        edge.is_attached = True
        self._suspected_ms.pop(edge.address, None)
        if edge.role == RELAY:
            self._peers.add(edge)
            return
        self._parent = edge
        self._unrooted_ticks = 0
        self._said_ack = b""
        self.metrics.attachments.inc()
        self._own.parent_incarnation = sender.incarnation
        self._announce_own()

    def _take_path(self, edge: Edge, path: tuple[str, ...]) -> None:
        if forms_cycle(self._own.vm, path):
            self.metrics.cycles.inc()
            edge.close("cycle")
            return
        self._set_path((*path, self._own.vm) if path else ())

    def _set_path(self, path: tuple[str, ...]) -> None:
        if path == self._path:
            return
        self._path = path
        for edge in self._children.values():
            edge.add_path(path)
            edge.wake()

    # Serving end of streams.

    async def _serve_join(self, context: Any) -> None:
        first = await read_first(context, SILENT_BEATS * self._settings.beat_ms)
        if first is None or not first.HasField("attach"):
            return
        refusal = self._refuse(first)
        if refusal is not None:
            await send_and_end(context, refusal)
            return
        edge = self._accept(first.attach)
        self._greet(edge, first)
        try:
            await run_server(
                edge,
                context,
                partial(self._handle_up, edge),
                partial(self._take_downs, edge),
                first,
            )
        finally:
            self._lose_served(edge)

    def _refuse(self, first: Up) -> list[Down] | None:
        """Return the answer to a daemon that cannot attach here, or None."""
        attach = first.attach
        relays = [beat.control_address for beat in self.other_relays()]
        if attach.is_relay:
            return None if self.is_relay() else [_redirect(relays)]
        if forms_cycle(attach.member.vm, self._path):
            return [_redirect(relays)]
        if not self._path:
            # A daemon that starts while no relay is reached gets at least
            # what is known here.
            return [*self._hand_out(first), _redirect(relays)]
        others = [
            edge for edge in self._children.values() if edge.vm != attach.member.vm
        ]
        if len(others) < self._settings.tree_fan_out_count:
            return None
        count = min(REDIRECT_ADDRESSES, len(others))
        chosen = self._rng.sample(others, count)
        return [_redirect([edge.address for edge in chosen])]

    def _hand_out(self, first: Up) -> list[Down]:
        edge = Edge(CHILD, is_caller=False)
        edge.add_config(self._log.updates_for(first.attach.config_version))
        edge.add_members(self.members.differing(first.digests))
        return edge.take_downs(self._clock.now_ms())[0]

    def _accept(self, attach: Attach) -> Edge:
        edge = Edge(RELAY if attach.is_relay else CHILD, is_caller=False)
        edge.vm, edge.incarnation = attach.member.vm, attach.member.incarnation
        edge.address = attach.member.control_address
        edge.peer_version = attach.config_version
        edge.is_attached = True
        if attach.is_relay:
            self._peers.add(edge)
            return edge
        former = self._children.get(edge.vm)
        if former is not None:
            former.close("replaced")
        self._children[edge.vm] = edge
        return edge

    def _greet(self, edge: Edge, first: Up) -> None:
        edge.add_digests(self.members.digests())
        edge.add_members(self.members.differing(first.digests))
        edge.add_relay_beats(self._live_relays())
        if edge.role == CHILD:
            edge.add_path(self._path)
        edge.add_config(self._log.updates_for(edge.peer_version))
        self._take_members([first.attach.member], edge)

    def _lose_served(self, edge: Edge) -> None:
        if edge.role == RELAY:
            self._peers.discard(edge)
            self._lose_peer(edge)
            return
        self.metrics.stream_losses.labels(CHILD, edge.close_cause).inc()
        if self._children.get(edge.vm) is not edge:
            return
        del self._children[edge.vm]
        self._tally.drop(edge.vm)
        self._watch_loss(edge)

    def _handle_up(self, edge: Edge, up: Up) -> None:
        self.metrics.messages.labels("received").inc()
        moment_ms = edge.hear(up)
        if up.HasField("config") and edge.role == RELAY:
            self._take_update(up.config, edge)
        self._take_members(up.members, edge)
        if up.digests and not up.HasField("attach"):
            edge.add_members(self.members.differing(up.digests))
            self._flush_soon(edge)
        if up.HasField("ack") and edge.role == CHILD:
            self._tally.record(edge.vm, up.ack)
        if up.HasField("relay_beat") and edge.role == RELAY:
            self._hear_peer(edge, up.relay_beat, moment_ms)
        if up.beat:
            edge.make_beat_due()

    def _take_downs(self, edge: Edge) -> list[Down]:
        downs, is_beat = edge.take_downs(self._clock.now_ms())
        if not downs:
            return downs
        last = downs[-1]
        if not edge.is_greeted:
            edge.is_greeted = True
            last.sender.vm = self._own.vm
            last.sender.incarnation = self._own.incarnation
        if is_beat and edge.role == RELAY:
            last.relay_beats.append(edge.say_relay_beat(self._own_beat()))
        age_ms = self.freshness_age_ms()
        if is_beat and edge.role == CHILD and age_ms is not None and self.config:
            last.has_freshness = True
            last.freshness_age_ms = int(age_ms) + 1
        self.metrics.messages.labels("sent").inc(len(downs))
        return downs

    # Ticks.

    def _spawn(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _tick_loop(self) -> None:
        beat_s = self._settings.beat_ms / 1000
        await asyncio.sleep(self._rng.uniform(0.0, beat_s))
        while True:
            self._tick()
            await asyncio.sleep(beat_s)

    def _tick(self) -> None:
        self._ticks += 1
        self._check_silence()
        self._judge_freshness()
        if self.is_relay():
            self._refresh_own_beat()
            self._ensure_peers()
            for edge in self._peers:
                self._send_config(edge)
        self._check_losses()
        self._check_root()
        self._say_relays()
        if self._ticks % EXPIRE_EVERY_TICKS == 0:
            self.members.expire(self._clock.now_ms())
            self._relays.forget(self._is_relay_gone)
        if self._ticks % COMPARE_EVERY_TICKS == 0:
            for edge in self._peers:
                edge.add_digests(self.members.digests())

    def _is_relay_gone(self, vm: str, incarnation: str) -> bool:
        member = self.members.get(vm)
        if member is None:
            return not self.members.is_live(vm, incarnation)
        return member.incarnation != incarnation

    def _check_silence(self) -> None:
        for edge in {*self._children.values(), *self._peers, *self._calling}:
            # Ticks are counted, not time, so that a pause of this process
            # does not make its peers look silent.
            edge.silent_ticks += 1
            if edge.silent_ticks > SILENT_BEATS:
                edge.close("silent")
            elif edge.is_caller:
                edge.make_beat_due()

    def _check_root(self) -> None:
        """Leave a parent that finds no relay."""
        if self._parent is None or self._path:
            self._unrooted_ticks = 0
            return
        self._unrooted_ticks += 1
        if self._unrooted_ticks > UNROOTED_BEATS:
            self._parent.close("unrooted")

    def _watch_loss(self, edge: Edge) -> None:
        if not self._is_stopping:
            grace_ms = SILENT_BEATS * self._settings.beat_ms
            self._losses.watch(edge.vm, self._clock.now_ms() + grace_ms)

    def _check_losses(self) -> None:
        connected = {edge.vm for edge in self._edges()}
        marks = self._losses.due(self._clock.now_ms(), connected)
        self.metrics.down_marks.inc(len(marks))
        self._take_members(marks, None)

    def _watch_children(self, incarnation: str) -> None:
        if self.is_relay():
            now_ms, beat_ms = self._clock.now_ms(), self._settings.beat_ms
            self._losses.watch_children(incarnation, now_ms, beat_ms)


def _redirect(addresses: Sequence[str]) -> Down:
    return Down(redirect=Redirect(control_addresses=addresses))
