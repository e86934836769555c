"""Simulate the feeds of many daemons on a virtual clock, without a network.

The store, the links and their faults are simulated; feeds, selectors and
follow services are those of the daemon.
"""

import asyncio
import random
from typing import cast

import attrs

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.link_client import LinkError
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.errors import StepError
from eelgrassweir.mesh.adapter import Store
from eelgrassweir.mesh.directory import MemberDirectory
from eelgrassweir.mesh.feed import StoreFeed
from eelgrassweir.mesh.follow_service import FollowService
from eelgrassweir.mesh.member_entry import member_key
from eelgrassweir.mesh.source_selector import SourceSelector
from eelgrassweir.proto import link_pb2
from eelgrassweir.proto.control_pb2 import READY, Member
from eelgrassweir.store.items import (
    Change,
    Changes,
    EraChanged,
    HistoryGone,
    Item,
    Removal,
    Snapshot,
)
from testing.virtual_time import VirtualClock

CONFIG_KEY = "op/config"
WATCH_MS = 800
STORE_TIMEOUT_MS = 1_000.0
STORE_LATENCY_MS = 4.0


@attrs.define
class SimulatedStore:
    """Store with revisions and a history; faults are set by VM."""

    clock: Clock
    rng: random.Random
    items: dict[str, Item] = attrs.field(factory=dict)
    log: list[Change] = attrs.field(factory=list)
    revision: int = 0
    oldest_revision: int = 0
    era: int = 0
    # VMs that get an error at once, or no answer at all.
    refused_vms: set[str] = attrs.field(factory=set)
    silent_vms: set[str] = attrs.field(factory=set)
    latency_ms: float = STORE_LATENCY_MS
    call_count: int = 0
    # Time and version of each configuration.
    versions: list[tuple[float, int]] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, key: str, value: bytes) -> None:
        """Write an item."""
        self.revision += 1
        self.items[key] = Item(
            key=key, value=value, revision=self.revision, lease_id=0, era=self.era
        )
        self._append(self.items[key])

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append(Removal(key=key, revision=self.revision, era=self.era))

    def copy(self) -> tuple[int, dict[str, Item], list[Change]]:
        """Return a copy of all that the store holds now."""
        return self.revision, dict(self.items), list(self.log)

    def restore(self, state: tuple[int, dict[str, Item], list[Change]]) -> None:
        """Return to a copy in the next era."""
        self.era += 1
        self.revision, items, log = state
        self.items = {
            key: attrs.evolve(item, era=self.era) for key, item in items.items()
        }
        self.log = [attrs.evolve(change, era=self.era) for change in log]
        self._append(None)

    def put_config(self) -> None:
        """Write the next version of the configuration."""
        version = len(self.versions) + 1
        self.versions.append((self.clock.now_ms(), version))
        self.put(CONFIG_KEY, str(version).encode())

    def compact(self) -> None:
        """Discard the history."""
        self.oldest_revision = self.revision
        self._append(None)

    def _append(self, change: Change | None) -> None:
        if change is not None:
            self.log.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def pass_call(self, vm: str) -> None:
        """Delay a call, and fail it if the VM is cut off."""
        self.call_count += 1
        if vm in self.silent_vms:
            await asyncio.sleep(STORE_TIMEOUT_MS / 1e3)
            raise StepError("store call", "store", "no answer")
        await asyncio.sleep(self.latency_ms * self.rng.uniform(0.5, 1.5) / 1e3)
        if vm in self.refused_vms:
            raise StepError("store call", "store", "status 503")

    def check_era(self, era: int) -> None:
        """Fail a call whose arguments are of an earlier era."""
        if era != self.era:
            raise EraChanged

    async def wait_for_changes(self, after: int, wait_ms: int, era: int) -> Changes:
        """Return the changes after a revision, none after the wait."""
        end_ms = self.clock.now_ms() + wait_ms
        while True:
            self.check_era(era)
            if after < self.oldest_revision:
                raise HistoryGone
            changes = tuple(c for c in self.log if c.revision > after)
            remaining_ms = end_ms - self.clock.now_ms()
            if changes or remaining_ms <= 0:
                return Changes(changes=changes, revision=self.revision)
            changed = self._changed
            try:
                async with asyncio.timeout(remaining_ms / 1e3):
                    await changed.wait()
            except TimeoutError:
                continue


@attrs.define
class StoreOfVm:
    """Calls of one VM to the simulated store."""

    store: SimulatedStore
    vm: str

    async def read_all(self) -> Snapshot:
        """Return all items."""
        await self.store.pass_call(self.vm)
        return Snapshot(
            items=tuple(self.store.items.values()),
            revision=self.store.revision,
            era=self.store.era,
        )

    async def read(self, key: str, *, era: int) -> Item | None:
        """Return one item."""
        await self.store.pass_call(self.vm)
        self.store.check_era(era)
        return self.store.items.get(key)

    async def watch(self, after_revision: int, wait_ms: int, *, era: int) -> Changes:
        """Return the changes after a revision."""
        await self.store.pass_call(self.vm)
        changes = await self.store.wait_for_changes(after_revision, wait_ms, era)
        if self.vm in self.store.silent_vms | self.store.refused_vms:
            raise StepError("store watch", "store", "connection lost")
        return changes


@attrs.define
class SimulatedLinks:
    """Links of one VM to all others."""

    fleet: "FeedFleet"
    vm: str

    async def follow(
        self,
        address: str,
        incarnation: str,
        request: link_pb2.Follow,
        *,
        timeout_ms: float,
    ) -> link_pb2.Update:
        """Pass a request to the daemon at an address."""
        try:
            async with asyncio.timeout(timeout_ms / 1e3):
                return await self._follow(address, incarnation, request)
        except TimeoutError:
            raise LinkError("link call", address, "no reply", is_timeout=True) from None

    async def _follow(
        self, address: str, incarnation: str, request: link_pb2.Follow
    ) -> link_pb2.Update:
        peer_vm = f"vm-{int(address.rpartition(':')[2]) - 1}"
        await self._transfer(peer_vm)
        daemon = self.fleet.daemons.get(peer_vm)
        if daemon is None or daemon.incarnation != incarnation:
            raise LinkError("link connect", address, "refused", False)
        update = await daemon.service.serve(request)
        if self.fleet.daemons.get(peer_vm) is not daemon:
            raise LinkError("link call", address, "connection closed")
        await self._transfer(peer_vm)
        copy = link_pb2.Update()
        copy.CopyFrom(update)
        return copy

    async def _transfer(self, peer_vm: str) -> None:
        """Take the time of a message, for ever if one side is cut off."""
        fleet = self.fleet
        if {self.vm, peer_vm} & fleet.cut_vms:
            await asyncio.sleep(3_600)
        delay_ms = 1.0
        if fleet.delayed_share and fleet.rng.random() < fleet.delayed_share:
            # As if the sender or the receiver had been paused.
            delay_ms = fleet.rng.choice((200.0, 2_000.0, 5_000.0, 20_000.0))
        await asyncio.sleep(delay_ms / 1e3)


class FeedDaemon:
    """Feed, directory and follow service of one daemon."""

    def __init__(
        self, fleet: "FeedFleet", vm: str, domain: str, incarnation: str
    ) -> None:
        self.vm = vm
        self.address = f"10.0.0.1:{1 + int(vm.removeprefix('vm-'))}"
        self.domain = domain
        self.incarnation = incarnation
        self.version = 0
        self.era = 0
        self.is_store_behind = False
        self.directory = MemberDirectory(fleet.clock)
        self.sources = SourceSelector(
            vm=vm,
            failure_domain=domain,
            members=self.directory.members,
            clock=fleet.clock,
        )
        self.feed = StoreFeed(
            cast(Store, StoreOfVm(fleet.store, vm)),
            clock=fleet.clock,
            rng=random.Random(f"{fleet.seed}/{incarnation}"),
            watch_ms=WATCH_MS,
            config_key=CONFIG_KEY,
            links=cast(LinkPool, SimulatedLinks(fleet, vm)),
            sources=self.sources,
            on_snapshot=self._apply_snapshot,
            on_change=self._apply_change,
            is_store_behind=lambda: self.is_store_behind,
        )
        self.service = FollowService(
            clock=fleet.clock,
            replica=self.feed.replica,
            freshness=self.feed.freshness,
        )
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        expiry = asyncio.create_task(self._expire_members())
        try:
            await self.feed.run()
        finally:
            expiry.cancel()

    async def _expire_members(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            self.directory.expire_missing()

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        self.is_store_behind |= snapshot.era > self.era and self.version > 0
        self.era = snapshot.era
        self.directory.apply_snapshot(snapshot)
        for item in snapshot.items:
            self._apply_config(item)

    def _apply_change(self, change: Change) -> None:
        if change.key != CONFIG_KEY:
            self.directory.apply_change(change)
        elif isinstance(change, Item):
            self._apply_config(change)

    def _apply_config(self, item: Item) -> None:
        if item.key == CONFIG_KEY:
            version = int(item.value)
            self.is_store_behind &= version < self.version
            self.version = max(self.version, version)


class FeedFleet:
    """Daemons with their feeds, and the faults between them."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock: Clock = VirtualClock()
        self.store = SimulatedStore(self.clock, self.rng)
        self.daemons: dict[str, FeedDaemon] = {}
        # VMs that no link reaches.
        self.cut_vms: set[str] = set()
        self.delayed_share = 0.0
        self._starts = 0

    async def start(self, count: int, domains: int) -> None:
        """Start daemons within 300 ms and register them."""
        for number in range(count):
            self.start_daemon(f"vm-{number}", f"zone-{number % domains}")
            await asyncio.sleep(0.3 / count)

    def start_daemon(self, vm: str, domain: str) -> None:
        """Start or restart a daemon and write its entry."""
        self._starts += 1
        incarnation = f"{vm}/{self._starts}"
        self.daemons[vm] = FeedDaemon(self, vm, domain, incarnation)
        self.register(self.daemons[vm])

    def register(self, daemon: FeedDaemon) -> None:
        """Write the entry of a daemon, as its registration does."""
        member = Member(
            vm=daemon.vm,
            incarnation=daemon.incarnation,
            state=READY,
            failure_domain=daemon.domain,
            service="notes",
            link_address=daemon.address,
        )
        self.store.put(member_key(daemon.vm), member.SerializeToString())

    def kill(self, vm: str) -> FeedDaemon:
        """End a daemon at once; its entry stays until its lease ends."""
        daemon = self.daemons.pop(vm)
        daemon.task.cancel()
        return daemon

    def find_stale_proofs(self) -> list[str]:
        """Return the daemons whose proof is newer than their configuration."""
        now_ms = self.clock.now_ms()
        wrong = []
        for daemon in self.daemons.values():
            age_ms = daemon.feed.freshness.age_ms(now_ms)
            if age_ms is None:
                continue
            newest = max(
                (
                    version
                    for written_ms, version in self.store.versions
                    if written_ms <= now_ms - age_ms
                ),
                default=0,
            )
            if daemon.version < newest:
                wrong.append(daemon.vm)
        return wrong

    def find_outdated(self) -> list[str]:
        """Return the daemons without the newest configuration and members."""
        live = set(self.daemons)
        return [
            daemon.vm
            for daemon in self.daemons.values()
            if daemon.version != len(self.store.versions)
            or {m.vm for m in daemon.directory.members.ready("notes")} != live
        ]

    def stop(self) -> None:
        """End all daemons."""
        for vm in list(self.daemons):
            self.kill(vm)
