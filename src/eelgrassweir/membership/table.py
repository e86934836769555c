"""Replica of the membership table, merged from deltas in any order.

Each daemon holds one; it is kept in step with its neighbors' replicas by
deltas and by digests over buckets of VMs.
"""

import functools
import hashlib
import zlib
from collections.abc import Callable, Sequence

from eelgrassweir.proto.control_pb2 import DOWN, READY, Member

BUCKETS = 64
# An entry that has been down for 10 min is of no use in a dump and is replaced
# by a tombstone with its version. The tombstone is kept for a day, longer than
# any partition, so that a peer that was partitioned off cannot restore the old
# entry. About 820 daemons go down per day.
DOWN_ENTRY_TTL_MS = 600_000.0
TOMBSTONE_TTL_MS = 86_400_000.0

Version = tuple[int, str, int]
Subscriber = Callable[[Member], None]


def version_of(member: Member) -> Version:
    """Return the version by which the entries of one VM are ordered."""
    return (member.started_ms, member.incarnation, member.sequence)


def is_newer(member: Member, known: Member) -> bool:
    """Tell whether ``member`` replaces ``known``."""
    if version_of(member) != version_of(known):
        return version_of(member) > version_of(known)
    # A down entry made by the parent and the announcement of the daemon itself
    # can have the same sequence. The down entry wins, and the daemon announces
    # itself again.
    if member.state != known.state:
        return member.state > known.state
    return _serialize(member) > _serialize(known)


def mark_down(member: Member) -> Member:
    """Return the entry that marks ``member`` as down."""
    marked = Member()
    marked.CopyFrom(member)
    marked.state = DOWN
    marked.sequence = member.sequence + 1
    return marked


class MemberTable:
    """Newest entry of each VM, indexed by service and parent.

    Entries are stored serialized, since 11,000 of them take 6.7 MB that way
    and 19 MB as message objects. The ready entries of requested services are
    also cached as objects. Returned entries are shared and must not be
    modified.
    """

    def __init__(self) -> None:
        self._members: dict[str, bytes] = {}
        self._tombstones: dict[str, tuple[Version, float]] = {}
        self._down_since_ms: dict[str, float | None] = {}
        self._ready: dict[str, set[str]] = {}
        self._ready_cache: dict[str, tuple[Member, ...]] = {}
        self._children: dict[str, set[str]] = {}
        self._digests = [0] * BUCKETS
        self._subscribers: list[Subscriber] = []
        self._end_subscribers: list[Callable[[str], None]] = []
        self._live_per_domain: dict[str, int] = {}

    def merge(self, member: Member) -> bool:
        """Store ``member`` if it is newer than the known entry of its VM.

        Return True if it was stored and subscribers were notified.
        """
        tombstone = self._tombstones.get(member.vm)
        if tombstone is not None and version_of(member) <= tombstone[0]:
            return False
        known = self.get(member.vm)
        if known is not None and not is_newer(member, known):
            return False
        if known is not None:
            self._unindex(known)
        self._tombstones.pop(member.vm, None)
        self._members[member.vm] = _serialize(member)
        self._index(member)
        for subscriber in self._subscribers:
            subscriber(member)
        if known is not None and not self.is_live(known.vm, known.incarnation):
            for notify_ended in self._end_subscribers:
                notify_ended(known.incarnation)
        return True

    def ready(self, service: str) -> Sequence[Member]:
        """Return the ready targets of ``service``."""
        cached = self._ready_cache.get(service)
        if cached is None:
            cached = tuple(
                _parse(self._members[vm]) for vm in self._ready.get(service, ())
            )
            self._ready_cache[service] = cached
        return cached

    def get(self, vm: str) -> Member | None:
        """Return the entry of ``vm``, also if it is down, or None."""
        serialized = self._members.get(vm)
        return None if serialized is None else _parse(serialized)

    def all(self) -> Sequence[Member]:
        """Return all entries, including those that are down."""
        return tuple(map(Member.FromString, self._members.values()))

    def count_live(self) -> int:
        """Return the number of entries that are not down."""
        return len(self._members) - len(self._down_since_ms)

    def count_live_in_domain(self, failure_domain: str) -> int:
        """Return the number of entries of a domain that are not down."""
        return self._live_per_domain.get(failure_domain, 0)

    def children_of(self, incarnation: str) -> Sequence[str]:
        """Return the VMs whose entries have ``incarnation`` as parent."""
        return tuple(self._children.get(incarnation, ()))

    def subscribe(self, callback: Subscriber) -> None:
        """Call ``callback`` with each entry stored from now on."""
        self._subscribers.append(callback)

    def subscribe_ended(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with each incarnation that is down or replaced."""
        self._end_subscribers.append(callback)

    def is_live(self, vm: str, incarnation: str) -> bool:
        """Tell whether the incarnation isn't known to be down or replaced."""
        member = self.get(vm)
        if member is None:
            return vm not in self._tombstones
        return member.incarnation == incarnation and member.state != DOWN

    def digests(self) -> Sequence[int]:
        """Return one digest per bucket over the entries that are not down."""
        return tuple(self._digests)

    def differing(self, digests: Sequence[int]) -> Sequence[str]:
        """Return the VMs of the buckets whose digests differ.

        This includes VMs that are down or have a tombstone.
        """
        if len(digests) != BUCKETS:
            return (*self._members, *self._tombstones)
        differs = [
            own != other for own, other in zip(self._digests, digests, strict=True)
        ]
        if not any(differs):
            return ()
        return [
            vm for vm in (*self._members, *self._tombstones) if differs[_bucket(vm)]
        ]

    def entry_or_tombstone(self, vm: str) -> Member | None:
        """Return the entry of ``vm``, or a down entry from its tombstone."""
        tombstone = self._tombstones.get(vm)
        if tombstone is None:
            return self.get(vm)
        started_ms, incarnation, sequence = tombstone[0]
        return Member(
            vm=vm,
            started_ms=started_ms,
            incarnation=incarnation,
            sequence=sequence,
            state=DOWN,
        )

    def expire(self, now_ms: float) -> None:
        """Replace old down entries by tombstones and delete old tombstones."""
        for vm, since_ms in list(self._down_since_ms.items()):
            if since_ms is None:
                self._down_since_ms[vm] = now_ms
            elif now_ms - since_ms >= DOWN_ENTRY_TTL_MS:
                self._replace_by_tombstone(vm, now_ms)
        for vm, (_, created_ms) in list(self._tombstones.items()):
            if now_ms - created_ms >= TOMBSTONE_TTL_MS:
                del self._tombstones[vm]

    def _replace_by_tombstone(self, vm: str, now_ms: float) -> None:
        member = _parse(self._members.pop(vm))
        self._unindex(member)
        self._tombstones[vm] = (version_of(member), now_ms)

    def _index(self, member: Member) -> None:
        if member.state == DOWN:
            self._down_since_ms[member.vm] = None
            return
        self._digests[_bucket(member.vm)] ^= _digest(member)
        domain = member.failure_domain
        count = self._live_per_domain.get(domain, 0)
        self._live_per_domain[domain] = count + 1
        if member.parent_incarnation:
            siblings = self._children.setdefault(member.parent_incarnation, set())
            siblings.add(member.vm)
        if member.state == READY and member.service:
            self._ready.setdefault(member.service, set()).add(member.vm)
            self._ready_cache.pop(member.service, None)

    def _unindex(self, member: Member) -> None:
        if member.state == DOWN:
            self._down_since_ms.pop(member.vm, None)
            return
        self._digests[_bucket(member.vm)] ^= _digest(member)
        self._live_per_domain[member.failure_domain] -= 1
        self._remove_from_index(self._children, member.parent_incarnation, member.vm)
        if member.state == READY and member.service:
            self._remove_from_index(self._ready, member.service, member.vm)
            self._ready_cache.pop(member.service, None)

    @staticmethod
    def _remove_from_index(index: dict[str, set[str]], key: str, vm: str) -> None:
        entries = index.get(key)
        if entries is None:
            return
        entries.discard(vm)
        if not entries:
            del index[key]


def _bucket(vm: str) -> int:
    return zlib.crc32(vm.encode()) % BUCKETS


@functools.lru_cache(maxsize=512)
def _parse(serialized: bytes) -> Member:
    return Member.FromString(serialized)


def _serialize(member: Member) -> bytes:
    return member.SerializeToString(deterministic=True)


def _digest(member: Member) -> int:
    digest = hashlib.blake2b(_serialize(member), digest_size=8).digest()
    return int.from_bytes(digest, "big")
