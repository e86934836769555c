"""Daemons whose stream or parent was lost, until they announce again."""

from collections.abc import Collection, Sequence

from eelgrassweir.membership.table import (
    MemberTable,
    Version,
    mark_down,
    version_of,
)
from eelgrassweir.proto.control_pb2 import DOWN, Member

# A daemon whose parent is gone has noticed it when the parent is marked as
# down. Its search and the way of its entry to all relays take a few beats.
ORPHAN_BEATS = 5


class FailureDetector:
    """Mark daemons as down that do not announce themselves in time."""

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        self._pending: dict[str, tuple[Version, float]] = {}

    def watch(self, vm: str, deadline_ms: float) -> None:
        """Wait until ``deadline_ms`` for a newer entry of ``vm``."""
        member = self._members.get(vm)
        if member is not None and member.state != DOWN:
            self._pending[vm] = (version_of(member), deadline_ms)

    def watch_children(self, incarnation: str, now_ms: float, beat_ms: float) -> None:
        """Watch the daemons whose parent was ``incarnation``."""
        for vm in self._members.children_of(incarnation):
            self.watch(vm, now_ms + ORPHAN_BEATS * beat_ms)

    def watch_orphans(self, now_ms: float, beat_ms: float) -> None:
        """Watch all daemons whose parent is not live, and other relays."""
        live = [entry for entry in self._members.all() if entry.state != DOWN]
        incarnations = {entry.incarnation for entry in live}
        for entry in live:
            if entry.parent_incarnation not in incarnations:
                self.watch(entry.vm, now_ms + ORPHAN_BEATS * beat_ms)

    def mark_overdue(
        self, now_ms: float, connected: Collection[str]
    ) -> Sequence[Member]:
        """Return down marks for daemons that have not announced in time."""
        marks: list[Member] = []
        for vm, (version, deadline_ms) in list(self._pending.items()):
            if now_ms < deadline_ms:
                continue
            del self._pending[vm]
            member = self._members.get(vm)
            if member is None or vm in connected or member.state == DOWN:
                continue
            if version_of(member) == version:
                marks.append(mark_down(member))
        return marks
