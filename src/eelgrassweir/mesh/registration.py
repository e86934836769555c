"""Keep the entry of this daemon in the store."""

import asyncio
import contextlib
from collections.abc import Callable

from eliot import log_message

from eelgrassweir.clock import Clock
from eelgrassweir.errors import StepError
from eelgrassweir.mesh.adapter import Store
from eelgrassweir.store.items import Conflict, LeaseGone

# Several renewals may fail before the lease ends.
RENEWALS_PER_LEASE = 3
RETRY_DELAY_MS = 300.0


class Registration:
    """Write the entry under a lease, again when it or the lease is gone."""

    def __init__(
        self,
        store: Store,
        *,
        clock: Clock,
        key: str,
        lease_ms: int,
        get_revision: Callable[[], int],
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._lease_ms = lease_ms
        self._get_revision = get_revision
        self._desired_value = b""
        self._written_value = b""
        self._written_revision = 0
        self._expected: int | None = None
        self._lease_id = 0
        self._renewed_ms = 0.0
        self._wake = asyncio.Event()

    def set_value(self, value: bytes) -> None:
        """Set what the entry has to hold."""
        if value != self._desired_value:
            self._desired_value = value
            self._wake.set()

    def rewrite_entry(self, revision: int) -> None:
        """Write the entry again; at ``revision`` the store did not have it."""
        if self._written_revision > revision:
            return
        self._written_value = b""
        self._wake.set()

    async def run(self) -> None:
        """Keep the entry until cancelled."""
        while True:
            pause_ms = self._lease_ms / RENEWALS_PER_LEASE
            self._wake.clear()
            try:
                await self._reconcile()
            except (StepError, OSError, KeyError, ValueError) as error:
                log_message(message_type="registration:failed", reason=str(error))
                pause_ms = RETRY_DELAY_MS
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), pause_ms / 1e3)

    async def remove_entry(self) -> None:
        """Remove the entry; the lease would keep it for a while."""
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)

    async def _reconcile(self) -> None:
        if not self._desired_value:
            return
        try:
            await self._ensure_lease()
            if self._written_value != self._desired_value:
                await self._write()
        except LeaseGone:
            log_message(message_type="registration:lease_gone", lease=self._lease_id)
            self._lease_id = 0
            self._written_value = b""
            self._wake.set()
        except Conflict as conflict:
            # An earlier write without an answer, or an earlier process.
            self._expected = conflict.revision
            self._wake.set()

    async def _ensure_lease(self) -> None:
        now_ms = self._clock.now_ms()
        if not self._lease_id:
            self._lease_id = await self._store.grant_lease(self._lease_ms)
            self._renewed_ms = now_ms
            return
        due_ms = self._lease_ms / RENEWALS_PER_LEASE
        if now_ms - self._renewed_ms >= due_ms - 1.0:
            await self._store.renew_lease(self._lease_id)
            self._renewed_ms = now_ms

    async def _write(self) -> None:
        wanted = self._desired_value
        expected = self._expected
        if expected is None:
            expected = max(self._get_revision(), self._written_revision)
        self._expected = None
        self._written_revision = await self._store.write(
            self._key,
            wanted,
            lease_id=self._lease_id,
            expected_revision=expected,
        )
        self._written_value = wanted
