"""Member directory: the daemons of the mesh as listed in the store."""

from collections.abc import Collection

from eliot import log_message
from returns.result import Failure

from eelgrassweir.clock import Clock
from eelgrassweir.membership.table import MemberTable, mark_down
from eelgrassweir.mesh.member_entry import MEMBER_PREFIX, decode_member
from eelgrassweir.store.items import Change, Item, Snapshot

# Entries that expired while the store was unreachable are written again within
# 2 s of its recovery. A daemon whose entry is missing for longer has failed.
EXPIRY_GRACE_MS = 2_500.0


class MemberDirectory:
    """Merge the member entries of the store into a member table.

    Entries are ordered by their store revision, which neither clocks nor
    restarts of daemons can set back. Entries of other failure domains than
    ``failure_domains`` are ignored, if there are any.
    """

    def __init__(self, clock: Clock, failure_domains: Collection[str] = ()) -> None:
        self._clock = clock
        self._failure_domains = frozenset(failure_domains)
        self.members = MemberTable()
        self._revisions: dict[str, int] = {}
        self._missing_since_ms: dict[str, float] = {}

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Merge all entries; record known ones not listed as missing."""
        listed = set()
        for item in snapshot.items:
            if item.key.startswith(MEMBER_PREFIX):
                listed.add(item.key)
                self.apply_change(item)
        for key in list(self._revisions):
            if key not in listed:
                self._record_missing(key)

    def apply_change(self, change: Change) -> None:
        """Merge one entry, or record a removed one as missing."""
        if not isinstance(change, Item):
            self._record_missing(change.key)
            return
        result = decode_member(change, self._failure_domains)
        if isinstance(result, Failure):
            reason = result.failure().reason
            log_message(message_type="member:unreadable", key=change.key, reason=reason)
            return
        member = result.unwrap()
        self._revisions[change.key] = change.revision
        self._missing_since_ms.pop(change.key, None)
        if self.members.merge(member):
            log_message(
                message_type="member:changed",
                vm=member.vm,
                service=member.service,
                state=member.state,
                revision=change.revision,
            )

    def get_revision(self, key: str) -> int:
        """Return the revision of the entry at ``key``, 0 if there is none."""
        return self._revisions.get(key, 0)

    def expire_missing(self) -> None:
        """Mark daemons as down whose entries are past the grace period."""
        now_ms = self._clock.now_ms()
        for key, since_ms in list(self._missing_since_ms.items()):
            if now_ms - since_ms < EXPIRY_GRACE_MS:
                continue
            del self._missing_since_ms[key]
            member = self.members.get(key[len(MEMBER_PREFIX) :])
            if member is not None:
                self.members.merge(mark_down(member))
                log_message(message_type="member:gone", vm=member.vm)

    def _record_missing(self, key: str) -> None:
        if self._revisions.pop(key, None) is not None:
            self._missing_since_ms[key] = self._clock.now_ms()
