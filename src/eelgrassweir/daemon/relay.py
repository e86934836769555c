"""Relay role of a daemon: the lease of its slot and the store watches.

The control plane runs it and reacts to the role through ``RelayHooks``.
"""

import asyncio
import json
import random
from collections.abc import Callable, Sequence

import attrs
from eliot import write_traceback
from returns.result import Failure, Success

from eelgrassweir.clock import Clock
from eelgrassweir.config.commit import CONFIG_KEY
from eelgrassweir.config.document import ConfigDocument
from eelgrassweir.daemon.commit import read_stored_config
from eelgrassweir.daemon.store_calls import AsyncStoreClient
from eelgrassweir.settings.generated import Settings
from eelgrassweir.store.client import Value

RELAYS_PREFIX = "relays/"
# Mean time between two attempts of a domain's daemons to acquire one free
# slot: longer than it takes to learn that the slot has been acquired.
ATTEMPT_SPACING_MS = 100.0
LIST_INTERVAL_HEARTBEATS = 5
MAX_BACKOFF_HEARTBEATS = 60.0


@attrs.frozen(kw_only=True)
class RelayRecord:
    """Store record of one acquired relay slot."""

    failure_domain: str
    vm: str
    incarnation: str
    control_address: str


@attrs.frozen(kw_only=True)
class RelayHooks:
    """Callbacks of the relay role into the control plane."""

    is_wanted: Callable[[], bool]
    domain_count: Callable[[], int]
    control_address: Callable[[], str]
    on_role_changed: Callable[[bool], None]
    on_records_read: Callable[[Sequence[RelayRecord]], None]
    # Document in the store (None if unchanged) and the local clock in ms at
    # which the read that returned it began.
    on_store_reached: Callable[[ConfigDocument | None, float], None]


class RelayRole:
    """Acquire a free relay slot, renew its lease and watch the store.

    A slot is a key under ``relays/`` that is bound to a lease, so it becomes
    free again when its daemon stops renewing. Relays keep the role while the
    store does not answer.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        store: AsyncStoreClient,
        rng: random.Random,
        incarnation: str,
        hooks: RelayHooks,
    ) -> None:
        self.is_relay = False
        self.slot = ""
        self._settings = settings
        self._clock = clock
        self._store = store
        self._rng = rng
        self._incarnation = incarnation
        self._hooks = hooks
        self._lease_id = ""
        self._revision = 0
        self._failures = 0

    async def run(self) -> None:
        """Hold a slot whenever one is wanted and free, until cancelled."""
        while True:
            try:
                await self._step()
            except Exception:
                # Without this loop the daemon could not become a relay again.
                write_traceback()
                await self._sleep_heartbeats(1.0)

    async def _step(self) -> None:
        if self.is_relay:
            await self._hold_slot()
        elif self._hooks.is_wanted():
            await self._try_acquire_slot()
        else:
            await self._sleep_heartbeats(1.0)

    async def read_records(self) -> bool:
        """Read all relay records once; return whether the store answered."""
        return await self._list_records() is not None

    async def resign(self) -> None:
        """Release the slot at a graceful shutdown."""
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)
        self._set_role(False)

    async def _try_acquire_slot(self) -> None:
        heartbeat_ms = self._settings.beat_ms
        spread_ms = self._hooks.domain_count() * ATTEMPT_SPACING_MS
        window_ms = max(2.0 * heartbeat_ms, spread_ms)
        if self._failures:
            backoff = min(2.0**self._failures, MAX_BACKOFF_HEARTBEATS)
            window_ms = max(window_ms, backoff * heartbeat_ms)
        await asyncio.sleep(self._rng.uniform(0.0, window_ms) / 1000)
        if not self._hooks.is_wanted():
            return
        records = await self._list_records()
        if records is None:
            self._failures += 1
            return
        self._failures = 0
        slot = self._choose_free_slot(records)
        if slot is not None:
            await self._acquire_slot(slot)

    def _choose_free_slot(self, records: dict[str, Value]) -> str | None:
        slots = [
            f"{RELAYS_PREFIX}{self._settings.failure_domain}/{number}"
            for number in range(self._settings.relays_per_domain_count)
        ]
        free = [slot for slot in slots if slot not in records]
        return self._rng.choice(free) if free else None

    async def _acquire_slot(self, slot: str) -> bool:
        granted = await self._store.grant_lease(self._settings.lease_ms)
        if isinstance(granted, Failure):
            return False
        lease_id = granted.unwrap()
        written = await self._store.put(slot, self._make_record(lease_id), 0, lease_id)
        is_acquired = isinstance(written, Success) and written.unwrap() is not None
        if isinstance(written, Failure):
            # The write may have succeeded although its reply was lost.
            read = await self._store.get(slot)
            found = read.value_or(None)
            is_acquired = found is not None and found.value == self._make_record(
                lease_id
            )
        if not is_acquired:
            await self._store.revoke_lease(lease_id)
            return False
        self.slot, self._lease_id = slot, lease_id
        self._set_role(True)
        return True

    def _make_record(self, lease_id: str) -> str:
        record = {
            "vm": self._settings.vm,
            "incarnation": self._incarnation,
            "control_address": self._hooks.control_address(),
            "lease_id": lease_id,
        }
        return json.dumps(record, sort_keys=True)

    async def _hold_slot(self) -> None:
        tasks = [
            asyncio.create_task(self._renew_loop()),
            asyncio.create_task(self._watch_loop()),
            asyncio.create_task(self._list_loop()),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                if task.done():
                    task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _renew_loop(self) -> None:
        """Renew the lease; return once another daemon holds the slot."""
        while self.is_relay:
            await asyncio.sleep(self._settings.lease_ms / 3000)
            renewed = await self._store.renew_lease(self._lease_id)
            # Relays keep their role while the store does not answer.
            if isinstance(renewed, Failure) or renewed.unwrap():
                continue
            # The lease has expired, as all leases do in a store outage; the
            # slot is acquired again unless another daemon was faster.
            if not await self._reacquire_slot():
                self._set_role(False)

    async def _reacquire_slot(self) -> bool:
        records = await self._list_records()
        if records is None:
            return True
        if self.slot in records:
            return False
        return await self._acquire_slot(self.slot)

    async def _watch_loop(self) -> None:
        while True:
            start_ms = self._clock.now_ms()
            watched = await self._store.watch(
                CONFIG_KEY, self._revision, self._settings.beat_ms // 2
            )
            if isinstance(watched, Failure):
                await self._sleep_heartbeats(1.0)
                continue
            newest_revision = watched.unwrap()
            if newest_revision == self._revision:
                self._hooks.on_store_reached(None, start_ms)
                # Avoid a busy loop if the watch returns immediately.
                if self._clock.now_ms() - start_ms < self._settings.beat_ms / 4:
                    await self._sleep_heartbeats(0.25)
                continue
            await self._read_config(newest_revision)

    async def _read_config(self, newest_revision: int) -> None:
        start_ms = self._clock.now_ms()
        read = await read_stored_config(self._store)
        if isinstance(read, Failure):
            await self._sleep_heartbeats(1.0)
            return
        document, revision = read.unwrap().document, read.unwrap().revision
        if 0 < revision < newest_revision:
            # A stale read, which does not show the newest version.
            await self._sleep_heartbeats(0.2)
            return
        if revision == 0 and newest_revision > 0:
            # A deleted key or a stale read: retry after one heartbeat.
            self._hooks.on_store_reached(None, start_ms)
            await self._sleep_heartbeats(1.0)
            return
        self._revision = max(newest_revision, revision)
        known = document if document.version else None
        self._hooks.on_store_reached(known, start_ms)

    async def _list_loop(self) -> None:
        while True:
            await self._list_records()
            await self._sleep_heartbeats(LIST_INTERVAL_HEARTBEATS)

    async def _list_records(self) -> dict[str, Value] | None:
        listed = await self._store.list(RELAYS_PREFIX)
        if isinstance(listed, Failure):
            return None
        records = listed.unwrap()
        self._hooks.on_records_read(parse_records(records))
        return records

    async def _sleep_heartbeats(self, heartbeats: float) -> None:
        jitter = self._rng.uniform(0.8, 1.2)
        await asyncio.sleep(heartbeats * jitter * self._settings.beat_ms / 1000)

    def _set_role(self, is_relay: bool) -> None:
        if not is_relay:
            self.slot, self._lease_id = "", ""
        if is_relay == self.is_relay:
            return
        self.is_relay = is_relay
        self._hooks.on_role_changed(is_relay)


def parse_records(items: dict[str, Value]) -> Sequence[RelayRecord]:
    """Return the well-formed relay records; skip the others."""
    found: list[RelayRecord] = []
    for key, item in items.items():
        parts = key.split("/")
        try:
            record = json.loads(item.value)
            found.append(
                RelayRecord(
                    failure_domain=parts[1],
                    vm=str(record["vm"]),
                    incarnation=str(record["incarnation"]),
                    control_address=str(record["control_address"]),
                )
            )
        except (ValueError, KeyError, TypeError, IndexError):
            continue
    return found
