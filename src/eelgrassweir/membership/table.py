"""Replica of the membership, merged from deltas in any order."""

import functools
import hashlib
import zlib
from collections.abc import Callable, Sequence

from eelgrassweir.proto.control_pb2 import DOWN, READY, Member

BUCKETS = 64
# A daemon that was down for 10 min is of no use in a dump. Its version stays
# for a day, which is longer than any partition, so that a peer that was cut
# off cannot bring the old entry back. About 820 daemons a day go down.
TOMBSTONE_MS = 600_000.0
BURIED_MS = 86_400_000.0

Version = tuple[int, str, int]
Subscriber = Callable[[Member], None]


def version_of(member: Member) -> Version:
    """Return what orders the entries of one VM."""
    return (member.started_ms, member.incarnation, member.sequence)


def is_newer(member: Member, known: Member) -> bool:
    """Tell whether ``member`` replaces ``known``."""
    if version_of(member) != version_of(known):
        return version_of(member) > version_of(known)
    # A parent's down mark and the daemon's own announcement can have the same
    # sequence; the mark wins and the daemon announces itself again.
    if member.state != known.state:
        return member.state > known.state
    return _content(member) > _content(known)


def mark_down(member: Member) -> Member:
    """Return the entry that marks ``member`` as down."""
    marked = Member()
    marked.CopyFrom(member)
    marked.state = DOWN
    marked.sequence = member.sequence + 1
    return marked


class MemberTable:
    """Hold the newest entry of each VM and the ready ones by service.

    Entries are kept serialized, since 11,000 of them take 6.7 MB that way
    and 19 MB as message objects. Those of the services asked for are kept as
    objects too. Returned entries are shared and must not be changed.
    """

    def __init__(self) -> None:
        self._members: dict[str, bytes] = {}
        self._buried: dict[str, tuple[Version, float]] = {}
        self._down_since_ms: dict[str, float | None] = {}
        self._ready: dict[str, set[str]] = {}
        self._ready_cache: dict[str, tuple[Member, ...]] = {}
        self._children: dict[str, set[str]] = {}
        self._digests = [0] * BUCKETS
        self._subscribers: list[Subscriber] = []
        self._gone_subscribers: list[Callable[[str], None]] = []
        self._ready_per_domain: dict[str, int] = {}

    def merge(self, member: Member) -> bool:
        """Take ``member`` if it is newer than what is known of its VM."""
        buried = self._buried.get(member.vm)
        if buried is not None and version_of(member) <= buried[0]:
            return False
        known = self.get(member.vm)
        if known is not None and not is_newer(member, known):
            return False
        if known is not None:
            self._unindex(known)
        self._buried.pop(member.vm, None)
        self._members[member.vm] = _content(member)
        self._index(member)
        for subscriber in self._subscribers:
            subscriber(member)
        if known is not None and not self.is_live(known.vm, known.incarnation):
            for tell_gone in self._gone_subscribers:
                tell_gone(known.incarnation)
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
        """Return the entry of ``vm``, down ones included."""
        packed = self._members.get(vm)
        return None if packed is None else _parse(packed)

    def all(self) -> Sequence[Member]:
        """Return all entries, down ones included."""
        return tuple(map(Member.FromString, self._members.values()))

    def count_live(self) -> int:
        """Return the number of entries that are not down."""
        return len(self._members) - len(self._down_since_ms)

    def count_live_in_domain(self, failure_domain: str) -> int:
        """Return the number of entries of a domain that are not down."""
        return self._ready_per_domain.get(failure_domain, 0)

    def children_of(self, incarnation: str) -> Sequence[str]:
        """Return the VMs whose entry names ``incarnation`` as parent."""
        return tuple(self._children.get(incarnation, ()))

    def subscribe(self, callback: Subscriber) -> None:
        """Call ``callback`` with each entry taken from now on."""
        self._subscribers.append(callback)

    def subscribe_ended(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with each incarnation that is down or replaced."""
        self._gone_subscribers.append(callback)

    def is_live(self, vm: str, incarnation: str) -> bool:
        """Tell whether this incarnation of ``vm`` is not known to be gone."""
        member = self.get(vm)
        if member is None:
            return vm not in self._buried
        return member.incarnation == incarnation and member.state != DOWN

    def digests(self) -> Sequence[int]:
        """Return one digest a bucket over the entries that are not down."""
        return tuple(self._digests)

    def differing(self, digests: Sequence[int]) -> Sequence[str]:
        """Return the VMs, down ones included, of buckets that differ."""
        if len(digests) != BUCKETS:
            return (*self._members, *self._buried)
        differs = [
            own != other for own, other in zip(self._digests, digests, strict=True)
        ]
        if not any(differs):
            return ()
        return [vm for vm in (*self._members, *self._buried) if differs[_bucket(vm)]]

    def entry_or_tombstone(self, vm: str) -> Member | None:
        """Return the entry of ``vm``, or what is left of one forgotten."""
        buried = self._buried.get(vm)
        if buried is None:
            return self.get(vm)
        started_ms, incarnation, sequence = buried[0]
        return Member(
            vm=vm,
            started_ms=started_ms,
            incarnation=incarnation,
            sequence=sequence,
            state=DOWN,
        )

    def expire(self, now_ms: float) -> None:
        """Forget entries that have been down for long."""
        for vm, since_ms in list(self._down_since_ms.items()):
            if since_ms is None:
                self._down_since_ms[vm] = now_ms
            elif now_ms - since_ms >= TOMBSTONE_MS:
                self._bury(vm, now_ms)
        for vm, (_, buried_ms) in list(self._buried.items()):
            if now_ms - buried_ms >= BURIED_MS:
                del self._buried[vm]

    def _bury(self, vm: str, now_ms: float) -> None:
        member = _parse(self._members.pop(vm))
        self._unindex(member)
        self._buried[vm] = (version_of(member), now_ms)

    def _index(self, member: Member) -> None:
        if member.state == DOWN:
            self._down_since_ms[member.vm] = None
            return
        self._digests[_bucket(member.vm)] ^= _digest(member)
        domain = member.failure_domain
        count = self._ready_per_domain.get(domain, 0)
        self._ready_per_domain[domain] = count + 1
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
        self._ready_per_domain[member.failure_domain] -= 1
        self._drop(self._children, member.parent_incarnation, member.vm)
        if member.state == READY and member.service:
            self._drop(self._ready, member.service, member.vm)
            self._ready_cache.pop(member.service, None)

    @staticmethod
    def _drop(index: dict[str, set[str]], key: str, vm: str) -> None:
        entries = index.get(key)
        if entries is None:
            return
        entries.discard(vm)
        if not entries:
            del index[key]


def _bucket(vm: str) -> int:
    return zlib.crc32(vm.encode()) % BUCKETS


@functools.lru_cache(maxsize=512)
def _parse(packed: bytes) -> Member:
    return Member.FromString(packed)


def _content(member: Member) -> bytes:
    return member.SerializeToString(deterministic=True)


def _digest(member: Member) -> int:
    digest = hashlib.blake2b(_content(member), digest_size=8).digest()
    return int.from_bytes(digest, "big")
