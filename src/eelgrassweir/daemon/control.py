"""Control plane of one daemon: membership, control tree, configuration.

``Application`` starts it and uses it for the membership, the newest
configuration, the list of share holders and calls to other daemons.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import grpc
from eliot import log_message, write_traceback
from prometheus_client import CollectorRegistry
from returns.result import Failure, Result, Success

from eelgrassweir.clock import Clock
from eelgrassweir.config.document import ConfigDocument, parse_document
from eelgrassweir.daemon.children import ChildLinks
from eelgrassweir.daemon.commit import (
    MAJORITY_ROUND_HEARTBEATS,
    can_reach_majority,
    commit_at_store,
    reply_from_local_config,
)
from eelgrassweir.daemon.control_client import (
    ChannelFactory,
    ControlClient,
    open_channel,
)
from eelgrassweir.daemon.control_metrics import ControlMetrics, count_of
from eelgrassweir.daemon.control_server import (
    BorrowHandler,
    ControlHandlers,
    PromiseHandler,
    start_server,
)
from eelgrassweir.daemon.edge import RELAY
from eelgrassweir.daemon.fleet import FleetStatus, aggregate_replies, make_subtree_reply
from eelgrassweir.daemon.node import FLUSH_DELAY_MS, SILENCE_LIMIT_HEARTBEATS, Node
from eelgrassweir.daemon.parent import ParentLink
from eelgrassweir.daemon.peers import (
    SLOW_HEARTBEAT_TICKS,
    SLOW_SILENCE_LIMIT_TICKS,
    RelayPeers,
)
from eelgrassweir.daemon.relay import RelayHooks, RelayRecord, RelayRole
from eelgrassweir.daemon.store_calls import AsyncStoreClient
from eelgrassweir.errors import StepError
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.membership.tree import STORE_RECORD_SEQUENCE
from eelgrassweir.proto.control_pb2 import (
    DOWN,
    BorrowReply,
    BorrowRequest,
    CommitReply,
    CommitRequest,
    MemberState,
    PromiseReply,
    PromiseRequest,
    RelayBeat,
)
from eelgrassweir.settings.generated import Settings
from eelgrassweir.store.client import StoreClient

EXPIRE_INTERVAL_TICKS = 10
# Membership entries are not forwarded through two relays in a row, so relays
# compare digests of their member tables to repair a lost entry.
COMPARE_INTERVAL_TICKS = 30
# A confirm waits for the reply; the admin listener waits at most 10 s.
COMMIT_TIMEOUT_MS = 8_000.0
# For this long after the first question, the replies of a majority prove that
# it has not mistaken a partition for a store outage yet. A third round of
# questions does not extend it, since replies of the first may be as old.
MAJORITY_VALID_HEARTBEATS = 2 + SILENCE_LIMIT_HEARTBEATS
# Each request without a token looks up the share holders, hence the cache.
HOLDERS_CACHE_MS = 50.0
MAX_STOP_POLLS = 50
# Another relay may reach the store or a majority.
RETRYABLE_RESULTS = ("store_unreachable", "minority")


class ControlPlane:
    """Join the control tree and propagate membership and configuration.

    ``borrow`` and ``promise`` handle the calls of other daemons;
    ``on_config`` gets each new configuration, and ``on_relays_changed``
    whether this daemon is a relay when the set of relays changes. All run on
    the event loop and must not block.
    """

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
        on_relays_changed: Callable[[bool], None] | None = None,
        borrow: BorrowHandler | None = None,
        promise: PromiseHandler | None = None,
        registry: CollectorRegistry | None = None,
        connect: ChannelFactory = open_channel,
        credentials: grpc.ServerCredentials | None = None,
    ) -> None:
        self.port = 0
        self.metrics = ControlMetrics(registry or CollectorRegistry())
        self.node = Node(
            settings,
            clock=clock,
            rng=rng,
            incarnation=incarnation,
            started_ms=started_ms,
            metrics=self.metrics,
            connect=connect,
            on_config=on_config,
        )
        self._settings = settings
        self._credentials = credentials
        self._on_relays_changed = on_relays_changed
        self._borrow = borrow
        self._promise = promise
        self._store = AsyncStoreClient(store, self.metrics)
        self._client = ControlClient(self.metrics, connect)
        self._peers = RelayPeers(self.node)
        self._parent = ParentLink(self.node, self._peers)
        self._children = ChildLinks(self.node, self._peers)
        self._role = RelayRole(
            settings, clock, self._store, rng, incarnation, self._relay_hooks()
        )
        self._notified_relays: tuple[bool, tuple[tuple[str, str], ...]] | None = None
        self._holders: Sequence[tuple[str, str]] = ()
        self._holders_until_ms = 0.0
        self._ticks = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._server: Any = None

    # Life cycle

    async def start(self) -> None:
        """Listen on the control port and join the tree.

        :raises StepError: if the control port cannot be bound
        """
        handlers = ControlHandlers(
            join=self._children.serve,
            subtree=lambda: make_subtree_reply(self.node),
            commit=self._handle_commit,
            borrow=self._borrow,
            promise=self._promise,
        )
        started = await start_server(
            self._settings.control_address, handlers, self._credentials
        )
        if isinstance(started, Failure):
            raise started.failure()
        self._server, self.port = started.unwrap()
        advertised = self._settings.advertised_control_address
        host = self._settings.control_address.rpartition(":")[0]
        self.node.address = advertised or f"{host}:{self.port}"
        self.node.own_member.control_address = self.node.address
        self.node.announce_self()
        self._spawn(self._run_ticks())
        self._spawn(self._join_tree())
        self._spawn(self._role.run())

    async def stop(self) -> None:
        """Announce that this daemon is down and close all streams."""
        self.node.is_stopping = True
        self.node.own_member.state = DOWN
        self.node.announce_self()
        # The next flush sends the final entry.
        await asyncio.sleep(3 * FLUSH_DELAY_MS / 1000)
        tasks = [*self._tasks, *self._peers.tasks()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._role.resign()
        for edge in self.node.edges():
            edge.close("stopped")
        for _ in range(MAX_STOP_POLLS):
            if not self._children.open_streams:
                break
            await asyncio.sleep(0.01)
        await self._client.close()
        if self._server is not None:
            await self._server.stop(grace=0.1)

    # Interface for the other parts of the daemon

    @property
    def address(self) -> str:
        """Return the address at which others reach the control port."""
        return self.node.address

    @property
    def members(self) -> MemberTable:
        """Return the replica of the membership."""
        return self.node.members

    @property
    def config(self) -> ConfigDocument | None:
        """Return the newest configuration; None before the first one."""
        return self.node.config_log.document

    def announce_backend(
        self, *, service: str, slots: int, state: MemberState.ValueType
    ) -> None:
        """Announce the local backend server and the state of this daemon."""
        own_member = self.node.own_member
        if (own_member.service, own_member.slots, own_member.state) == (
            service,
            slots,
            state,
        ):
            return
        if self.node.is_stopping:
            return
        own_member.service, own_member.slots, own_member.state = service, slots, state
        self.node.announce_self()

    def is_fresh(self) -> bool:
        """Return whether the configuration is recent enough to act on.

        It is while its freshness age is within ``isolation_limit_ms``.
        """
        if self.node.config_log.document is None:
            return False
        now_ms = self.node.clock.now_ms()
        return self.node.freshness.is_fresh(now_ms, self._settings.isolation_limit_ms)

    def freshness_age_ms(self) -> float | None:
        """Return the age of the last proof that the configuration is newest.

        None if there was no proof yet.
        """
        return self.node.freshness.age_ms(self.node.clock.now_ms())

    def set_held_domain(self, failure_domain: str) -> None:
        """Set the failure domain whose shares this daemon holds, or empty."""
        if failure_domain == self._peers.held_domain:
            return
        self._peers.held_domain = failure_domain
        self._holders_until_ms = 0.0
        if self.is_relay():
            self._peers.refresh_heartbeat()
            self._peers.send_heartbeats()

    def share_holders(self) -> Sequence[tuple[str, str]]:
        """Return (failure domain, control address) of the share holders.

        The local domain comes first, the others in random order.
        """
        now_ms = self.node.clock.now_ms()
        if now_ms >= self._holders_until_ms:
            self._holders = self._find_holders()
            self._holders_until_ms = now_ms + HOLDERS_CACHE_MS
        return self._holders

    def is_relay(self) -> bool:
        """Return whether this daemon holds a relay slot."""
        return self._role.is_relay

    def is_share_holder(self) -> bool:
        """Return whether this daemon holds the shares of a domain."""
        return bool(self._peers.held_domain)

    def other_relays(self) -> Sequence[RelayBeat]:
        """Return the latest heartbeats of the other live relays."""
        return self.node.other_relays()

    async def borrow(
        self, address: str, request: BorrowRequest, *, timeout_ms: float = 250.0
    ) -> Result[BorrowReply, StepError]:
        """Ask the share holder at ``address`` for tokens."""
        return await self._client.borrow(address, request, timeout_ms)

    async def promise(
        self, address: str, request: PromiseRequest, *, timeout_ms: float = 1000.0
    ) -> Result[PromiseReply, StepError]:
        """Ask the relay at ``address`` not to take over the shares."""
        return await self._client.promise(address, request, timeout_ms)

    async def commit(
        self, *, base_version: int, change_id: str, document_json: bytes
    ) -> CommitReply:
        """Commit a change through a relay that reaches the store.

        The result is ``applied``, ``already_applied``, ``conflict``,
        ``store_unreachable`` (the change may have been written; a retry is
        safe, since ``change_id`` makes it idempotent), ``minority`` (no relay
        answered that reaches a majority of failure domains) or ``invalid``.
        """
        request = CommitRequest(
            base_version=base_version,
            change_id=change_id,
            document_json=document_json,
        )
        unreachable = CommitReply(
            result="store_unreachable", version=self.node.config_log.version
        )
        if self.is_relay():
            reply = await self._handle_commit(request)
            if reply.result not in RETRYABLE_RESULTS:
                return reply
            unreachable = reply
        relays = list(self.other_relays())
        self.node.rng.shuffle(relays)
        relays.sort(key=lambda relay: not relay.store_reached)
        deadline_ms = self.node.clock.now_ms() + COMMIT_TIMEOUT_MS
        # A relay reads, writes and reads the result back.
        timeout_ms = 4.0 * self._settings.store_timeout_ms
        timeout_ms += sum(MAJORITY_ROUND_HEARTBEATS) * self._settings.beat_ms
        for relay in relays:
            remaining_ms = min(timeout_ms, deadline_ms - self.node.clock.now_ms())
            if remaining_ms <= 0:
                break
            result = await self._client.commit(
                relay.control_address, request, remaining_ms
            )
            reply = result.value_or(unreachable)
            if reply.result not in RETRYABLE_RESULTS:
                return reply
            if reply.result == "minority":
                unreachable = reply
        return unreachable

    async def fleet_status(self) -> FleetStatus:
        """Ask all relays for their subtrees and aggregate the replies."""
        relays = list(self.other_relays())
        timeout_ms = float(self._settings.beat_ms)
        replies = await asyncio.gather(
            *(
                self._client.subtree(relay.control_address, timeout_ms)
                for relay in relays
            )
        )
        answered = [reply.unwrap() for reply in replies if isinstance(reply, Success)]
        if self.is_relay():
            answered.append(make_subtree_reply(self.node))
        names = {reply.relay for reply in answered}
        unreachable = tuple(relay.vm for relay in relays if relay.vm not in names)
        return aggregate_replies(self.node, answered, unreachable)

    def state(self) -> dict[str, Any]:
        """Return the state for the dump, without API keys."""
        node, metrics = self.node, self.metrics
        return {
            "vm": node.own_member.vm,
            "incarnation": node.own_member.incarnation,
            "sequence": node.own_member.sequence,
            "state": MemberState.Name(node.own_member.state),
            "control_address": node.address,
            "is_relay": self.is_relay(),
            "relay_slot": self._role.slot,
            "holds_shares_of": self._peers.held_domain,
            "path": list(node.path),
            "parent": node.parent.vm if node.parent else "",
            "children": sorted(node.children),
            "relay_peers": sorted({edge.vm for edge in node.relay_peers}),
            "relays_known": sorted(relay.vm for relay in node.live_relays()),
            "members_known": node.members.count_live(),
            "config_version": node.config_log.version,
            "config_is_fresh": self.is_fresh(),
            "freshness_age_ms": self.freshness_age_ms(),
            "store_reached": node.has_reached_store(),
            "stream_losses": count_of(metrics.stream_losses),
            "attachments": count_of(metrics.attachments),
            "store_calls": count_of(metrics.store_calls),
            "config_taken": count_of(metrics.config_taken),
            "config_refused": count_of(metrics.config_refused),
        }

    # Relay role

    def _relay_hooks(self) -> RelayHooks:
        domain = self._settings.failure_domain
        return RelayHooks(
            is_wanted=self._is_relay_wanted,
            domain_count=lambda: self.node.members.count_live_in_domain(domain),
            control_address=lambda: self.node.address,
            on_role_changed=self._change_role,
            on_records_read=self._merge_relay_records,
            on_store_reached=self.node.record_store_contact,
        )

    def _is_relay_wanted(self) -> bool:
        if self.node.is_stopping:
            return False
        count = sum(
            relay.failure_domain == self._settings.failure_domain
            and not self.node.is_suspected(relay)
            for relay in self.node.live_relays()
        )
        return count < self._settings.relays_per_domain_count

    def _change_role(self, is_relay: bool) -> None:
        node = self.node
        log_message(
            message_type="control:role", is_relay=is_relay, slot=self._role.slot
        )
        node.is_relay = is_relay
        self._parent.close_stream("relay")
        self._peers.refresh_heartbeat(stepped_down=not is_relay)
        if is_relay:
            node.set_path((node.own_member.vm,))
            node.own_member.parent_incarnation = ""
            node.failure_detector.watch_orphans(
                node.clock.now_ms(), self._settings.beat_ms
            )
        else:
            node.set_path(())
            self._peers.step_down()
        if not node.is_stopping:
            node.announce_self()
            self._notify_relays_changed()

    def _merge_relay_records(self, records: Sequence[RelayRecord]) -> None:
        self.node.relays.drop_unrecorded({record.vm for record in records})
        for record in records:
            if record.vm == self._settings.vm:
                continue
            heartbeat = RelayBeat(
                vm=record.vm,
                incarnation=record.incarnation,
                failure_domain=record.failure_domain,
                control_address=record.control_address,
                sequence=STORE_RECORD_SEQUENCE,
            )
            self.node.relays.merge(heartbeat)

    def _notify_relays_changed(self) -> None:
        """Call ``on_relays_changed`` if the set of relays has changed."""
        others = sorted((relay.vm, relay.incarnation) for relay in self.other_relays())
        current = (self.is_relay(), tuple(others))
        if current == self._notified_relays:
            return
        self._notified_relays = current
        if self._on_relays_changed is not None:
            self._on_relays_changed(self.is_relay())

    def _find_holders(self) -> Sequence[tuple[str, str]]:
        newest: dict[str, RelayBeat] = {}
        for relay in self.node.live_relays():
            domain = relay.holds_shares_of
            known = newest.get(domain)
            if domain and (known is None or relay.sequence > known.sequence):
                newest[domain] = relay
        found = [(domain, relay.control_address) for domain, relay in newest.items()]
        self.node.rng.shuffle(found)
        found.sort(key=lambda holder: holder[0] != self._settings.failure_domain)
        return found

    async def _handle_commit(self, request: CommitRequest) -> CommitReply:
        node = self.node
        if not self.is_relay():
            return CommitReply(
                result="store_unreachable", version=node.config_log.version
            )
        known = reply_from_local_config(request, node.config_log.document)
        if known is not None:
            return known
        asked_ms = node.clock.now_ms()
        if not await can_reach_majority(node, self._client):
            return CommitReply(result="minority", version=node.config_log.version)
        # After a pause of the process or slow reads the replies of the
        # majority prove nothing any more.
        valid_until_ms = asked_ms + MAJORITY_VALID_HEARTBEATS * self._settings.beat_ms
        reply = await commit_at_store(
            self._store, request, lambda: node.clock.now_ms() < valid_until_ms
        )
        if reply.result != "applied":
            return reply
        # The store has accepted exactly these bytes. Parsing a document of
        # 0.8 MB takes 0.1 s, which would block the event loop.
        parsed = await asyncio.to_thread(parse_document, request.document_json)
        parsed.map(lambda document: node.apply_document(document, "store"))
        for edge in node.relay_peers:
            node.send_config(edge)
        return reply

    # Ticks

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _join_tree(self) -> None:
        if self._settings.seed_addresses:
            self._spawn(self._read_records())
        else:
            await self._read_records()
        await self._parent.run()

    async def _read_records(self) -> None:
        await self._role.read_records()

    async def _run_ticks(self) -> None:
        heartbeat_s = self._settings.beat_ms / 1000
        await asyncio.sleep(self.node.rng.uniform(0.0, heartbeat_s))
        while True:
            try:
                self._tick()
            except Exception:
                # Without ticks silent streams would stay undetected.
                write_traceback()
            await asyncio.sleep(heartbeat_s)

    def _tick(self) -> None:
        node = self.node
        self._ticks += 1
        self._check_streams()
        if node.is_relay:
            self._peers.tick()
        node.mark_lost_members_down()
        self._parent.tick()
        self._notify_relays_changed()
        if self._ticks % EXPIRE_INTERVAL_TICKS == 0:
            node.members.expire(node.clock.now_ms())
            node.relays.evict(self._has_relay_ended)
            node.expire_suspicions()
        if self._ticks % COMPARE_INTERVAL_TICKS == 0:
            for edge in node.relay_peers:
                edge.add_digests(node.members.digests())

    def _has_relay_ended(self, vm: str, incarnation: str) -> bool:
        member = self.node.members.get(vm)
        if member is None:
            return not self.node.members.is_live(vm, incarnation)
        return member.incarnation != incarnation

    def _check_streams(self) -> None:
        """Close silent streams and schedule the heartbeats that are due.

        Silence is counted in ticks instead of time, so that a pause of this
        process does not make its peers look silent.
        """
        node = self.node
        for edge in {*node.children.values(), *node.relay_peers, *node.opened_edges}:
            edge.ticks_since_message += 1
            edge.ticks_since_heartbeat += 1
            is_relay = edge.role == RELAY and edge.is_attached
            limit = SLOW_SILENCE_LIMIT_TICKS if is_relay else SILENCE_LIMIT_HEARTBEATS
            if edge.ticks_since_message > limit:
                edge.close("silent")
                continue
            is_slow = is_relay and self._peers.has_slow_heartbeat(edge)
            if edge.is_caller and edge.ticks_since_heartbeat >= (
                SLOW_HEARTBEAT_TICKS if is_slow else 1
            ):
                edge.schedule_heartbeat()
