"""Follow the store, by its watch or through another daemon that does.

``app`` applies the snapshots and changes; ``entry`` reads the freshness.
"""

import asyncio
import random
from collections.abc import Callable

from eliot import log_message, write_traceback

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.link_client import LinkError
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.errors import StepError
from eelgrassweir.membership.freshness import Freshness
from eelgrassweir.mesh.adapter import Store
from eelgrassweir.mesh.follow_service import decode_changes
from eelgrassweir.mesh.source_selector import SourceSelector
from eelgrassweir.proto import link_pb2
from eelgrassweir.proto.control_pb2 import Member
from eelgrassweir.store.items import (
    Change,
    EraChanged,
    HistoryGone,
    Item,
    Snapshot,
)
from eelgrassweir.store.replica import StoreReplica

INITIAL_BACKOFF_MS = 50.0
# Kept short: a new configuration must be in force soon after the store is
# reachable again.
MAX_BACKOFF_MS = 500.0
# A follower learns from its source that the store is back.
MAX_FOLLOWER_BACKOFF_MS = 1_500.0
MIN_WAIT_DIVISOR = 5
# Changes made during an outage may be missing from the first watch after it.
# If the last proof is older than this multiple of a watch, only a read of the
# configuration is a new one. A source whose proof is older is not followed.
MAX_PROOF_AGE_WATCHES = 1.5
# Delay between watches that lets changes accumulate, such as those of many
# daemons that start together. Each call of the store is charged for. The delay
# doubles with each watch that has changes, up to the limit.
BATCH_DELAY_MS = 100.0
MAX_BATCH_DELAY_MS = 400.0
# Time after its wait within which a source must send its update.
UPDATE_MARGIN_MS = 250.0
# Age that is sent to a source while there is no proof.
UNKNOWN_AGE_MS = 2**31


class StoreFeed:
    """Keep a replica of the store up to date, and the proof that it is.

    ``freshness`` holds the time of the last proof that the configuration was
    the newest. A response of the store proves it for the time at which its
    call was sent. A watch without changes proves it for the end of its wait,
    because the store responds only then. After an outage the configuration is
    read at ``config_key`` first. An update of a source passes on the source's
    proof, dated by the time at which this daemon asked for it.

    All revisions and proofs are of one era of the store. After an increase of
    the era everything is read again. While ``is_store_behind`` tells that the
    store shows an older configuration than the one in force, nothing proves
    that the latter is the newest.

    A reader watches the store. Others follow a source, and read the store
    themselves while no source has a recent proof.
    """

    def __init__(
        self,
        store: Store,
        *,
        clock: Clock,
        rng: random.Random,
        watch_ms: int,
        config_key: str,
        links: LinkPool,
        sources: SourceSelector,
        on_snapshot: Callable[[Snapshot], None],
        on_change: Callable[[Change], None],
        is_store_behind: Callable[[], bool] = bool,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._watch_ms = watch_ms
        self._max_proof_age_ms = MAX_PROOF_AGE_WATCHES * watch_ms
        self._config_key = config_key
        self._links = links
        self._sources = sources
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._is_store_behind = is_store_behind
        # Failures of the store in a row, and the time before the next call.
        self._failures = 0
        self._store_retry_ms = 0.0
        self._must_read_all = True
        self._batch_delay_ms = BATCH_DELAY_MS
        self._source: Member | None = None
        # Cursor in the history of the source.
        self._cursor = 0
        self.replica = StoreReplica()
        self.freshness = Freshness()

    @property
    def is_reached(self) -> bool:
        """Return whether the last call of the store succeeded."""
        return self.replica.revision is not None and self._failures == 0

    @property
    def source_vm(self) -> str:
        """Return the VM that is followed, empty for the store itself."""
        return self._source.vm if self._source else ""

    async def run(self) -> None:
        """Follow the store or a source until cancelled."""
        while True:
            source = self._choose_source()
            if source is not None:
                await self._follow(source)
            elif self._is_store_usable():
                await self._sync_with_store()
            else:
                await self._wait_for_store()

    def _choose_source(self) -> Member | None:
        """Return the daemon to follow next, None to call the store."""
        if self._must_read_all:
            return None
        is_store_first = self._sources.is_reader or self._is_proof_outdated()
        if is_store_first and self._is_store_usable():
            return None
        return self._sources.choose()

    def _is_store_usable(self) -> bool:
        return self._clock.now_ms() >= self._store_retry_ms

    async def _wait_for_store(self) -> None:
        delay_ms = self._store_retry_ms - self._clock.now_ms()
        await asyncio.sleep(max(delay_ms, 1.0) / 1e3)

    # From the store

    async def _sync_with_store(self) -> None:
        self._set_source(None, "")
        try:
            await self._sync_once()
        except HistoryGone:
            log_message(
                message_type="store:history_gone", revision=self.replica.revision
            )
            self._must_read_all = True
        except EraChanged:
            self._must_read_all = True
        except (StepError, OSError) as error:
            self._back_off(error)

    async def _sync_once(self) -> None:
        sent_ms = self._clock.now_ms()
        has_changes = False
        if self._must_read_all:
            await self._read_all()
        elif self._is_proof_outdated() and not self._is_store_behind():
            await self._read_config()
        else:
            wait_ms = self._compute_wait_ms(sent_ms)
            has_changes = await self._watch(wait_ms)
            if not has_changes and self._is_store_behind():
                # The watch may have missed the change.
                sent_ms = self._clock.now_ms()
                await self._read_config()
            elif not has_changes:
                sent_ms = min(sent_ms + wait_ms, self._clock.now_ms())
        if self._failures:
            log_message(message_type="store:regained", failures=self._failures)
        self._failures = 0
        self._record_proof(sent_ms)
        await self._wait_for_batch(has_changes)

    async def _read_all(self) -> None:
        snapshot = await self._store.read_all()
        if snapshot.era < self.replica.era:
            raise StepError("store range", "store", f"response of era {snapshot.era}")
        self._load(snapshot)
        self._must_read_all = False

    async def _wait_for_batch(self, has_changes: bool) -> None:
        if not has_changes:
            self._batch_delay_ms = BATCH_DELAY_MS
            return
        await asyncio.sleep(self._batch_delay_ms / 1e3)
        self._batch_delay_ms = min(MAX_BATCH_DELAY_MS, 2.0 * self._batch_delay_ms)

    async def _watch(self, wait_ms: int) -> bool:
        """Apply the changes since the last; return whether there are any."""
        revision = self.replica.revision
        assert revision is not None
        changes = await self._store.watch(revision, wait_ms, era=self.replica.era)
        self._apply_all(changes.changes)
        self.replica.advance(changes.revision)
        return bool(changes.changes)

    async def _read_config(self) -> None:
        """Apply the stored configuration; a watch may return it once more."""
        item = await self._store.read(self._config_key, era=self.replica.era)
        if item is not None:
            self._apply_all((item,))

    def _is_proof_outdated(self) -> bool:
        now_ms = self._clock.now_ms()
        return not self.freshness.is_fresh(now_ms, self._max_proof_age_ms)

    def _compute_wait_ms(self, now_ms: float) -> int:
        """Return the wait of the next watch, shorter for an old proof."""
        age_ms = self.freshness.age_ms(now_ms) or 0.0
        return int(max(self._watch_ms - age_ms, self._watch_ms / MIN_WAIT_DIVISOR))

    def _back_off(self, error: Exception) -> None:
        """Leave the store out for a time that doubles with each failure."""
        now_ms = self._clock.now_ms()
        if not self._failures:
            age_ms = self.freshness.age_ms(now_ms)
            log_message(message_type="store:lost", reason=str(error), age_ms=age_ms)
        is_follower = not self._sources.is_reader
        limit_ms = MAX_FOLLOWER_BACKOFF_MS if is_follower else MAX_BACKOFF_MS
        backoff_ms = min(limit_ms, INITIAL_BACKOFF_MS * 2.0 ** min(self._failures, 8))
        self._failures += 1
        self._store_retry_ms = now_ms + backoff_ms * self._rng.uniform(0.5, 1.0)

    # From another daemon

    async def _follow(self, source: Member) -> None:
        """Wait for one update of a source and apply it."""
        self._set_source(source, "chosen")
        sent_ms = self._clock.now_ms()
        age_ms = self.freshness.age_ms(sent_ms)
        was_outdated = self._is_proof_outdated()
        # The update must arrive before the proof is outdated.
        wait_ms = 0 if age_ms is None else max(0, int(self._max_proof_age_ms - age_ms))
        request = link_pb2.Follow(
            revision=self.replica.revision or 0,
            cursor=self._cursor,
            age_ms=UNKNOWN_AGE_MS if age_ms is None else int(age_ms),
            wait_ms=wait_ms,
            era=self.replica.era,
        )
        try:
            update = await self._links.follow(
                source.link_address,
                source.incarnation,
                request,
                timeout_ms=wait_ms + UPDATE_MARGIN_MS,
            )
        except LinkError as error:
            self._leave_source(source, str(error))
            return
        is_later_era = update.is_snapshot and update.era > self.replica.era
        if update.era != self.replica.era and not is_later_era:
            self._leave_source(source, f"update of era {update.era}")
            return
        if update.has_proof or is_later_era:
            self._apply_update(update)
        if update.has_proof:
            self._record_proof(sent_ms + update.elapsed_ms - update.proof_age_ms)
        if not update.has_proof or (was_outdated and self._is_proof_outdated()):
            self._leave_source(source, "no recent proof")

    def _apply_update(self, update: link_pb2.Update) -> None:
        self._cursor = update.cursor
        changes = decode_changes(update)
        known_revision = self.replica.revision or 0
        is_later_era = update.era > self.replica.era
        if update.is_snapshot and (is_later_era or update.revision > known_revision):
            items = tuple(item for item in changes if isinstance(item, Item))
            self._load(Snapshot(items=items, revision=update.revision, era=update.era))
            return
        # Also for a snapshot that is older than the replica: what it lacks
        # may have been added since.
        self._apply_all(changes)
        if not update.is_snapshot:
            self.replica.advance(update.revision)

    def _set_source(self, source: Member | None, reason: str) -> None:
        known = self._source.incarnation if self._source else ""
        if known == (source.incarnation if source else ""):
            return
        self._source = source
        self._cursor = 0
        log_message(
            message_type="store:source",
            source=source.vm if source else "store",
            reason=reason,
            age_ms=self.freshness.age_ms(self._clock.now_ms()),
        )

    def _leave_source(self, source: Member, reason: str) -> None:
        self._sources.exclude(source)
        log_message(message_type="store:source_left", source=source.vm, reason=reason)

    # Replica

    def _load(self, snapshot: Snapshot) -> None:
        known_era = self.replica.era
        is_restored = self.replica.revision is not None and snapshot.era > known_era
        self.replica.load(snapshot)
        if is_restored:
            log_message(message_type="store:era", known_era=known_era, era=snapshot.era)
            # The writes that it covers may be lost.
            self.freshness.invalidate()
        self._on_snapshot(snapshot)
        self.replica.notify()

    def _apply_all(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            if not self.replica.is_known(change):
                self.replica.apply(change)
                self._apply(change)
        self.replica.notify()

    def _apply(self, change: Change) -> None:
        """Apply a change; one that fails must not stop those behind it."""
        try:
            self._on_change(change)
        except Exception as error:
            write_traceback()
            log_message(
                message_type="store:change_failed", key=change.key, reason=str(error)
            )

    def _record_proof(self, as_of_ms: float) -> None:
        if not self._is_store_behind():
            self.freshness.record(as_of_ms)
        self.replica.notify()
