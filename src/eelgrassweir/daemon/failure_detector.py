"""Failure detector for daemons whose stream or parent was lost.

Used by ``node``. A daemon that does not announce itself again in time is
marked as down.
"""

from collections.abc import Collection, Sequence

from eelgrassweir.membership.table import (
    MemberTable,
    Version,
    mark_down,
    version_of,
)
from eelgrassweir.proto.control_pb2 import DOWN, Member

# A daemon has noticed the loss of its parent by the time that the parent is
# marked as down. Finding a new parent and propagating its entry to all relays
# takes a few more heartbeats.
ORPHAN_TIMEOUT_HEARTBEATS = 5


class FailureDetector:
    """Mark daemons as down that do not announce themselves in time."""

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        self._pending: dict[str, tuple[Version, float]] = {}

    def watch(self, vm: str, deadline_ms: float) -> None:
        """Expect a newer entry of ``vm`` until ``deadline_ms``."""
        member = self._members.get(vm)
        if member is not None and member.state != DOWN:
            self._pending[vm] = (version_of(member), deadline_ms)

    def watch_children(
        self, incarnation: str, now_ms: float, heartbeat_ms: float
    ) -> None:
        """Watch the daemons whose parent was ``incarnation``."""
        for vm in self._members.children_of(incarnation):
            self.watch(vm, now_ms + ORPHAN_TIMEOUT_HEARTBEATS * heartbeat_ms)

    def watch_orphans(self, now_ms: float, heartbeat_ms: float) -> None:
        """Watch all daemons without a live parent; relays have none."""
        live = [entry for entry in self._members.all() if entry.state != DOWN]
        incarnations = {entry.incarnation for entry in live}
        for entry in live:
            if entry.parent_incarnation not in incarnations:
                self.watch(entry.vm, now_ms + ORPHAN_TIMEOUT_HEARTBEATS * heartbeat_ms)

    def mark_overdue(
        self, now_ms: float, connected: Collection[str]
    ) -> Sequence[Member]:
        """Return down entries for daemons without a newer entry in time.

        :param connected: VMs that have a stream to this daemon.
        """
        down_entries: list[Member] = []
        for vm, (version, deadline_ms) in list(self._pending.items()):
            if now_ms < deadline_ms:
                continue
            del self._pending[vm]
            member = self._members.get(vm)
            if member is None or vm in connected or member.state == DOWN:
                continue
            if version_of(member) == version:
                down_entries.append(mark_down(member))
        return down_entries
