"""Follow all keys of the store with one watch.

``app`` applies the snapshots and changes; ``entry`` reads the freshness.
"""

import asyncio
import random
from collections.abc import Callable

from eliot import log_message, write_traceback

from eelgrassweir.clock import Clock
from eelgrassweir.errors import StepError
from eelgrassweir.membership.freshness import Freshness
from eelgrassweir.mesh.adapter import Store
from eelgrassweir.store.items import Change, HistoryGone, Snapshot

INITIAL_BACKOFF_MS = 50.0
# Kept short: a new configuration must be in force soon after the store is
# reachable again.
MAX_BACKOFF_MS = 500.0
MIN_WAIT_DIVISOR = 5
# Changes made during an outage may be missing from the first watch after it.
# If the last proof is older than this multiple of a watch, only a read of the
# configuration is a new one.
MAX_PROOF_AGE_WATCHES = 1.5
# Delay between watches that lets changes accumulate, such as those of many
# daemons that restart together. Each call of the store is charged for.
BATCH_DELAY_MS = 100.0


class StoreFeed:
    """Read all items of the store, then watch it for changes.

    The items are read again when the store has lost the history since the
    last revision. ``freshness`` holds the time of the last proof that the
    configuration was the newest. A response proves it for the time at which
    its call was sent. A watch without changes proves it for the end of its
    wait, because the store responds only then. After an outage the
    configuration is read at ``config_key`` first.
    """

    def __init__(
        self,
        store: Store,
        *,
        clock: Clock,
        rng: random.Random,
        watch_ms: int,
        config_key: str,
        on_snapshot: Callable[[Snapshot], None],
        on_change: Callable[[Change], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._watch_ms = watch_ms
        self._config_key = config_key
        self._on_snapshot = on_snapshot
        self._on_change = on_change
        self._revision: int | None = None
        self._failures = 0
        self.freshness = Freshness()

    @property
    def is_reached(self) -> bool:
        """Return whether the last call succeeded."""
        return self._revision is not None and self._failures == 0

    async def run(self) -> None:
        """Read and watch the store until cancelled."""
        while True:
            try:
                await self._sync_once()
            except HistoryGone:
                log_message(message_type="store:history_gone", revision=self._revision)
                self._revision = None
            except (StepError, OSError, KeyError, ValueError, TypeError) as error:
                await self._back_off(error)

    async def _sync_once(self) -> None:
        sent_ms = self._clock.now_ms()
        has_changes = False
        if self._revision is None:
            snapshot = await self._store.read_all()
            self._on_snapshot(snapshot)
            self._revision = snapshot.revision
        elif self._is_proof_outdated(sent_ms):
            await self._read_config()
        else:
            wait_ms = self._compute_wait_ms(sent_ms)
            has_changes = await self._watch(self._revision, wait_ms)
            if not has_changes:
                sent_ms = min(sent_ms + wait_ms, self._clock.now_ms())
        if self._failures:
            log_message(message_type="store:regained", failures=self._failures)
        self._failures = 0
        self.freshness.record(sent_ms)
        if has_changes:
            await asyncio.sleep(BATCH_DELAY_MS / 1e3)

    async def _watch(self, revision: int, wait_ms: int) -> bool:
        """Apply the changes after a revision; return whether there are any."""
        changes = await self._store.watch(revision, wait_ms)
        for change in changes.changes:
            self._apply(change)
        self._revision = max(revision, changes.revision)
        return bool(changes.changes)

    async def _read_config(self) -> None:
        """Apply the stored configuration; a watch may return it once more."""
        item = await self._store.read(self._config_key)
        if item is not None:
            self._apply(item)

    def _apply(self, change: Change) -> None:
        """Apply a change; one that fails must not stop those behind it."""
        try:
            self._on_change(change)
        except Exception as error:
            write_traceback()
            log_message(
                message_type="store:change_failed", key=change.key, reason=str(error)
            )

    def _is_proof_outdated(self, now_ms: float) -> bool:
        max_age_ms = MAX_PROOF_AGE_WATCHES * self._watch_ms
        return not self.freshness.is_fresh(now_ms, max_age_ms)

    def _compute_wait_ms(self, now_ms: float) -> int:
        """Return the wait of the next watch, shorter for an old proof."""
        age_ms = self.freshness.age_ms(now_ms) or 0.0
        return int(max(self._watch_ms - age_ms, self._watch_ms / MIN_WAIT_DIVISOR))

    async def _back_off(self, error: Exception) -> None:
        """Sleep with exponential backoff and jitter."""
        if not self._failures:
            age_ms = self.freshness.age_ms(self._clock.now_ms())
            log_message(message_type="store:lost", reason=str(error), age_ms=age_ms)
        backoff_ms = min(
            MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** min(self._failures, 8)
        )
        self._failures += 1
        await asyncio.sleep(backoff_ms * self._rng.uniform(0.5, 1.0) / 1e3)
