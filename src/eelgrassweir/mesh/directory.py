"""Member directory: the daemons of the mesh as listed in the store."""

from collections.abc import Collection

import attrs
from eliot import log_message
from returns.result import Failure

from eelgrassweir.clock import Clock
from eelgrassweir.membership.table import MemberTable, mark_down
from eelgrassweir.mesh.member_entry import MEMBER_PREFIX, decode_member
from eelgrassweir.proto.control_pb2 import Member
from eelgrassweir.store.items import Change, Item, Snapshot

# Entries that expired while the store was unreachable are written again within
# 2 s of its recovery. A daemon whose entry is missing for longer has failed.
EXPIRY_GRACE_MS = 2_500.0


@attrs.frozen
class _UnconfirmedEntry:
    """Entry of a copy that differs from the known one."""

    item: Item
    since_ms: float


class MemberDirectory:
    """Merge the member entries of the store into a member table.

    Entries are ordered by the store's era and their revision, which neither
    clocks nor restarts of daemons can set back. Entries of other failure
    domains than ``failure_domains`` are ignored, if there are any.

    A store restored from a copy shows entries of processes that have ended or
    changed since. In the first snapshot of a later era, an entry that differs
    from the known one waits for the grace period, in which live daemons write
    theirs again. All daemons so keep selecting the same holders and sources.
    """

    def __init__(self, clock: Clock, failure_domains: Collection[str] = ()) -> None:
        self._clock = clock
        self._failure_domains = frozenset(failure_domains)
        self.members = MemberTable()
        self._era: int | None = None
        # Era and revision of each entry.
        self._revisions: dict[str, tuple[int, int]] = {}
        self._missing_since_ms: dict[str, float] = {}
        self._unconfirmed: dict[str, _UnconfirmedEntry] = {}

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Merge all entries; record known ones not listed as missing."""
        is_restored = self._era is not None and snapshot.era > self._era
        self._era = snapshot.era
        listed = set()
        for item in snapshot.items:
            if not item.key.startswith(MEMBER_PREFIX):
                continue
            listed.add(item.key)
            if is_restored and self._differs(item):
                self._unconfirmed[item.key] = _UnconfirmedEntry(
                    item, self._clock.now_ms()
                )
            elif not self._is_unconfirmed(item):
                self.apply_change(item)
        for key in list(self._revisions):
            if key not in listed:
                self._record_missing(key)

    def _is_unconfirmed(self, item: Item) -> bool:
        unconfirmed = self._unconfirmed.get(item.key)
        return unconfirmed is not None and unconfirmed.item == item

    def _differs(self, item: Item) -> bool:
        """Return whether an entry names another state than is known."""
        result = decode_member(item, self._failure_domains)
        known = self.members.get(item.key[len(MEMBER_PREFIX) :])
        if isinstance(result, Failure) or known is None:
            return False
        return _describe(result.unwrap()) != _describe(known)

    def apply_change(self, change: Change) -> None:
        """Merge one entry, or record a removed one as missing."""
        self._unconfirmed.pop(change.key, None)
        if not isinstance(change, Item):
            self._record_missing(change.key)
            return
        result = decode_member(change, self._failure_domains)
        if isinstance(result, Failure):
            reason = result.failure().reason
            log_message(message_type="member:unreadable", key=change.key, reason=reason)
            return
        member = result.unwrap()
        self._revisions[change.key] = (change.era, change.revision)
        self._missing_since_ms.pop(change.key, None)
        if self.members.merge(member):
            log_message(
                message_type="member:changed",
                vm=member.vm,
                service=member.service,
                state=member.state,
                revision=change.revision,
            )

    def get_revision(self, key: str, era: int = 0) -> int:
        """Return the revision of the entry at ``key`` in an era, 0 without."""
        known_era, revision = self._revisions.get(key, (era, 0))
        return revision if known_era == era else 0

    def expire_missing(self) -> None:
        """Mark daemons as down whose entries are past the grace period.

        Entries that were unconfirmed for as long are merged.
        """
        now_ms = self._clock.now_ms()
        for unconfirmed in list(self._unconfirmed.values()):
            if now_ms - unconfirmed.since_ms >= EXPIRY_GRACE_MS:
                self.apply_change(unconfirmed.item)
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


def _describe(member: Member) -> bytes:
    """Return the content of an entry, without its place in the order."""
    content = Member()
    content.CopyFrom(member)
    content.started_ms = content.sequence = 0
    return content.SerializeToString(deterministic=True)
