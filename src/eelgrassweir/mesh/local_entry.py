"""Keep the member entry of this VM in step with its backend server.

The entry also holds an acknowledged leave, for the next process of this VM.
While the store cannot take it, other daemons hold the leave.
``app`` calls this module; ``registration`` writes the entry.
"""

import asyncio
from collections.abc import Callable

from eliot import log_message

from eelgrassweir.errors import StepError
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.mesh.backend import BackendTracker, Leave
from eelgrassweir.mesh.directory import EXPIRY_GRACE_MS
from eelgrassweir.mesh.leave_replication import LeaveReplication
from eelgrassweir.mesh.registration import Registration
from eelgrassweir.proto import control_pb2
from eelgrassweir.settings.mesh_generated import MeshSettings

# A leave that the store has not taken by then is acknowledged if other daemons
# hold it, since they answer sooner than an overloaded store.
STORE_LEAVE_TIMEOUT_MS = 250
# The backend server waits one second for the acknowledgement.
KEEP_LEAVE_TIMEOUT_MS = 800
# Time to remove the entry from the store; later it expires by itself.
REMOVE_TIMEOUT_MS = 100


class LocalEntry:
    """Publish the entry of this VM; keep and restore acknowledged leaves.

    ``has_eras`` tells whether the store may be restored from a copy, which
    loses an entry that it has acknowledged.
    """

    def __init__(
        self,
        *,
        settings: MeshSettings,
        incarnation: str,
        backend: BackendTracker,
        members: MemberTable,
        registration: Registration,
        replication: LeaveReplication,
        has_eras: Callable[[], bool] = bool,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._backend = backend
        self._members = members
        self._registration = registration
        self._replication = replication
        self._has_eras = has_eras
        # The event loop keeps weak references only.
        self._replication_tasks: set[asyncio.Task[bool]] = set()
        self._has_read_store = False
        backend.is_recovering = True
        self.is_stopping = False

    def restore_leave(self) -> None:
        """Apply the leave in the stored entry, of an earlier process."""
        self._has_read_store = True
        stored = self._members.get(self._settings.vm)
        if stored is not None and stored.leaving_instance:
            self._backend.restore_leave(
                stored.leaving_instance, stored.leaving_started_wall_ms
            )

    async def restore_replicated_leaves(self) -> None:
        """Apply the leaves that other daemons hold, then let requests in.

        Daemons whose entries expired during an outage of the store are asked
        once these are back.
        """
        try:
            await self._apply_replicated_leaves()
        finally:
            self._backend.is_recovering = False
            self.publish()
        await asyncio.sleep(EXPIRY_GRACE_MS / 1e3)
        await self._apply_replicated_leaves()
        self.publish()

    async def _apply_replicated_leaves(self) -> None:
        for leave in await self._replication.fetch():
            self._backend.restore_leave(leave.instance, leave.latest_started_wall_ms)

    def publish(self) -> None:
        """Write the entry again if it has changed.

        Without a backend server there is none, unless one has left: no
        requests are sent here, and each write of an entry wakes up all
        daemons.
        """
        announcement = self._backend.announcement
        leave = self._find_leave_to_publish()
        # The entry of an earlier process may hold a leave; writing before it
        # is read would lose it.
        if not self._has_read_store or self._backend.is_recovering:
            return
        if announcement is None and leave is None:
            return
        is_leaving = self.is_stopping or leave is not None
        entry = control_pb2.Member(
            vm=self._settings.vm,
            incarnation=self._incarnation,
            state=control_pb2.DRAINING if is_leaving else control_pb2.READY,
            failure_domain=self._settings.failure_domain,
            link_address=self._settings.link_address,
            service=announcement.service if announcement else self._settings.service,
            slots=announcement.slots if announcement else 0,
        )
        if leave is not None:
            entry.leaving_instance = leave.instance
            entry.leaving_started_wall_ms = leave.latest_started_wall_ms
        self._registration.set_value(entry.SerializeToString(deterministic=True))

    def _find_leave_to_publish(self) -> Leave | None:
        """Return the leave that the next process must know."""
        if self._backend.announcement is None:
            return self._backend.latest_leave
        return self._backend.leave

    async def keep_leave(self, instance: str) -> bool:
        """Return whether the next process of this VM will know of a leave.

        A leave of another instance than the known one needs no keeping: the
        known one's announcements outrank those of the instance that left.
        """
        leave = self._backend.find_leave(instance)
        announcement = self._backend.announcement
        if leave is None or (announcement and announcement.instance != instance):
            return True
        replication = asyncio.create_task(self._replication.replicate(leave))
        self._replication_tasks.add(replication)
        replication.add_done_callback(self._replication_tasks.discard)
        if await self._registration.wait_until_written(STORE_LEAVE_TIMEOUT_MS):
            if self._has_eras():
                await asyncio.wait((replication,))
            return True
        log_message(message_type="backend:leave_not_stored", instance=instance)
        return await self._wait_until_kept(replication)

    async def _wait_until_kept(self, replication: asyncio.Task[bool]) -> bool:
        """Return whether enough daemons or the store take a leave in time."""
        timeout_ms = KEEP_LEAVE_TIMEOUT_MS - STORE_LEAVE_TIMEOUT_MS
        storing = asyncio.create_task(self._registration.wait_until_written(timeout_ms))
        try:
            for step in asyncio.as_completed((replication, storing)):
                if await step:
                    return True
        finally:
            storing.cancel()
        return False

    async def remove(self) -> None:
        """Remove the entry, unless the next process needs the leave in it."""
        if self._find_leave_to_publish() is not None:
            return
        try:
            async with asyncio.timeout(REMOVE_TIMEOUT_MS / 1e3):
                await self._registration.remove_entry()
        except (TimeoutError, StepError, OSError, KeyError, ValueError) as error:
            log_message(message_type="registration:end_failed", reason=str(error))
