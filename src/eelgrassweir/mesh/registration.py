"""Maintain the member entry of this daemon in the store."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from eliot import log_message

from eelgrassweir.clock import Clock
from eelgrassweir.errors import StepError
from eelgrassweir.mesh.adapter import Store
from eelgrassweir.store.items import Conflict, EraChanged, Lease, LeaseGone

# Allows for renewals that fail before the lease expires.
RENEWALS_PER_LEASE = 2
RETRY_DELAY_MS = 300.0


class Registration:
    """Write the entry under a lease; write it again if either is lost.

    Both are lost when the store is restored from a copy: an id of a lease of
    an earlier era may be that of another VM's lease. ``get_revision`` returns
    the latest observed revision of the entry in an era, 0 if there is none.
    ``renew_lease`` replaces that of the store.
    """

    def __init__(
        self,
        store: Store,
        *,
        clock: Clock,
        key: str,
        lease_ms: int,
        get_revision: Callable[[int], int],
        renew_lease: Callable[[Lease], Awaitable[None]] | None = None,
    ) -> None:
        self._store = store
        self._renew_lease = renew_lease or store.renew_lease
        self._clock = clock
        self._key = key
        self._lease_ms = lease_ms
        self._get_revision = get_revision
        self._desired_value = b""
        self._written_value = b""
        # Era of the revisions.
        self._era = 0
        self._written_revision = 0
        self._conflict_revision: int | None = None
        self._lease: Lease | None = None
        self._renewed_ms = 0.0
        self._wake_event = asyncio.Event()
        self._written_event = asyncio.Event()

    def set_value(self, value: bytes) -> None:
        """Set the value that the entry should have."""
        if value != self._desired_value:
            self._desired_value = value
            self._written_event.clear()
            self._wake_event.set()

    def begin_era(self, era: int) -> None:
        """Write the entry under a new lease, unless it has one of the era."""
        if self._lease is not None and self._lease.era < era:
            self._drop_lease()

    def rewrite_entry(self, revision: int, era: int = 0) -> None:
        """Write the entry again, unless it was written after ``revision``.

        The entry was missing in the store at ``revision`` of an era.
        """
        if (self._era, self._written_revision) > (era, revision):
            return
        self._written_value = b""
        self._written_event.clear()
        self._wake_event.set()

    async def wait_until_written(self, timeout_ms: float) -> bool:
        """Return whether the store has the latest value within the time."""
        try:
            async with asyncio.timeout(timeout_ms / 1e3):
                await self._written_event.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Renew the lease and write the entry until cancelled."""
        while True:
            delay_ms = self._lease_ms / RENEWALS_PER_LEASE
            self._wake_event.clear()
            try:
                await self._reconcile()
            except (StepError, OSError, KeyError, ValueError) as error:
                log_message(message_type="registration:failed", reason=str(error))
                delay_ms = RETRY_DELAY_MS
            # wait_for of Python 3.11 ignores a cancellation that arrives
            # together with the event.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_ms / 1e3):
                    await self._wake_event.wait()

    async def remove_entry(self) -> None:
        """Remove the entry at once instead of letting its lease expire."""
        if self._lease is None:
            return
        with contextlib.suppress(EraChanged, LeaseGone):
            await self._store.revoke_lease(self._lease)

    async def _reconcile(self) -> None:
        if not self._desired_value:
            return
        try:
            lease = await self._ensure_lease()
            if self._written_value != self._desired_value:
                await self._write(lease)
        except (LeaseGone, EraChanged):
            lease_id = self._lease.lease_id if self._lease else 0
            log_message(message_type="registration:lease_gone", lease=lease_id)
            self._drop_lease()

    def _drop_lease(self) -> None:
        """Forget the lease and the entry under it."""
        self._lease = None
        self._written_value = b""
        self._written_event.clear()
        self._wake_event.set()

    def _enter_era(self, era: int) -> None:
        """Forget the revisions of an earlier era."""
        if era != self._era:
            self._era = era
            self._written_revision = 0
            self._conflict_revision = None

    async def _ensure_lease(self) -> Lease:
        now_ms = self._clock.now_ms()
        if self._lease is None:
            self._lease = await self._store.grant_lease(self._lease_ms)
            self._enter_era(self._lease.era)
            self._renewed_ms = now_ms
            return self._lease
        lease = self._lease
        due_ms = self._lease_ms / RENEWALS_PER_LEASE
        if now_ms - self._renewed_ms >= due_ms - 1.0:
            await self._renew_lease(lease)
            self._renewed_ms = now_ms
        return lease

    async def _write(self, lease: Lease) -> None:
        value = self._desired_value
        expected = self._conflict_revision
        if expected is None:
            expected = max(self._get_revision(lease.era), self._written_revision)
        self._conflict_revision = None
        try:
            revision = await self._store.write(
                self._key, value, lease=lease, expected_revision=expected
            )
        except Conflict as conflict:
            # The entry was written by a write whose response was lost, or by
            # an earlier process.
            if self._lease is lease:
                self._conflict_revision = conflict.revision
            self._wake_event.set()
            return
        if self._lease is not lease:
            # The era has increased meanwhile; the entry is written again.
            return
        self._written_revision = revision
        self._written_value = value
        if value == self._desired_value:
            self._written_event.set()
