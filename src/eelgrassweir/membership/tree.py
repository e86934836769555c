"""Distribution tree: choice of a parent, relays, acknowledgements."""

import random
from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence

import attrs

from eelgrassweir.proto.control_pb2 import Ack, RelayBeat, VersionCount

MAX_LAGGING_NAMES = 16
# A chain of redirects is as long as the tree is deep; two levels below the
# relays hold more than 11,000 daemons.
MAX_ATTEMPTS = 16
# Sequence of relays known only from the store; heartbeats have higher ones.
STORE_RECORD_SEQUENCE = 1


@attrs.frozen(kw_only=True)
class Candidate:
    """Address to try and the number of redirects that led to it."""

    address: str
    depth: int


class ParentSearch:
    """Order of the addresses that one search for a parent tries."""

    def __init__(
        self, own_address: str, first: Sequence[str], rng: random.Random
    ) -> None:
        self._rng = rng
        self._seen = {own_address}
        self._pending: deque[Candidate] = deque()
        self._attempts = 0
        self._push(first, 0)

    def next_candidate(self) -> Candidate | None:
        """Return the next address to try, or None if the search has failed."""
        if not self._pending or self._attempts >= MAX_ATTEMPTS:
            return None
        self._attempts += 1
        return self._pending.popleft()

    def add_redirect(self, source: Candidate, addresses: Sequence[str]) -> None:
        """Try children of a full parent before the remaining relays."""
        shuffled = list(addresses)
        self._rng.shuffle(shuffled)
        unseen = [address for address in shuffled if address not in self._seen]
        # Two children are enough, since the others are as likely to be full.
        chosen = unseen[:2]
        self._seen.update(chosen)
        for address in reversed(chosen):
            candidate = Candidate(address=address, depth=source.depth + 1)
            self._pending.appendleft(candidate)

    def _push(self, addresses: Sequence[str], depth: int) -> None:
        for address in addresses:
            if address in self._seen:
                continue
            self._seen.add(address)
            self._pending.append(Candidate(address=address, depth=depth))


def forms_cycle(own_vm: str, path: Sequence[str]) -> bool:
    """Tell whether a parent with this path is a descendant of ``own_vm``."""
    return own_vm in path


class RelayView:
    """Latest heartbeat of each relay."""

    def __init__(self) -> None:
        self._heartbeats: dict[str, RelayBeat] = {}

    def merge(self, heartbeat: RelayBeat) -> bool:
        """Store ``heartbeat`` if it is newer than the known one.

        Return True if it must be propagated to the daemons below.
        """
        known = self._heartbeats.get(heartbeat.vm)
        if known is not None and heartbeat.sequence <= known.sequence:
            return False
        self._heartbeats[heartbeat.vm] = heartbeat
        # Records from the store are not propagated, so the first heartbeat
        # after one is.
        if known is None or known.sequence <= STORE_RECORD_SEQUENCE:
            return True
        return _propagated_fields(known) != _propagated_fields(heartbeat)

    def get(self, vm: str) -> RelayBeat | None:
        """Return the latest heartbeat of ``vm``, or None."""
        return self._heartbeats.get(vm)

    def all(self) -> Sequence[RelayBeat]:
        """Return the latest heartbeats, including those of former relays."""
        return tuple(self._heartbeats.values())

    def live(self, is_live: Callable[[str, str], bool]) -> Sequence[RelayBeat]:
        """Return the heartbeats of relays that hold the role and are live."""
        return tuple(
            heartbeat
            for heartbeat in self._heartbeats.values()
            if not heartbeat.stepped_down
            and is_live(heartbeat.vm, heartbeat.incarnation)
        )

    def drop_unrecorded(self, vms: Collection[str]) -> None:
        """Drop relays known from the store only and not in ``vms``."""
        for vm, heartbeat in list(self._heartbeats.items()):
            if heartbeat.sequence <= STORE_RECORD_SEQUENCE and vm not in vms:
                del self._heartbeats[vm]

    def evict(self, is_gone: Callable[[str, str], bool]) -> None:
        """Drop the relays for whose VM and incarnation ``is_gone`` is true."""
        for vm, heartbeat in list(self._heartbeats.items()):
            if is_gone(vm, heartbeat.incarnation):
                del self._heartbeats[vm]


def _propagated_fields(heartbeat: RelayBeat) -> tuple[str, str, str, str, bool]:
    return (
        heartbeat.incarnation,
        heartbeat.failure_domain,
        heartbeat.control_address,
        heartbeat.holds_shares_of,
        heartbeat.stepped_down,
    )


def order_relays(
    heartbeats: Iterable[RelayBeat], own_domain: str, rng: random.Random
) -> Sequence[str]:
    """Return control addresses in random order, own domain first."""
    shuffled = list(heartbeats)
    rng.shuffle(shuffled)
    shuffled.sort(key=lambda heartbeat: heartbeat.failure_domain != own_domain)
    return [heartbeat.control_address for heartbeat in shuffled]


class AckAggregator:
    """Aggregate the acknowledgements of a daemon and its children."""

    def __init__(self) -> None:
        self._children: dict[str, Ack] = {}

    def record(self, child_vm: str, ack: Ack) -> None:
        """Store the latest acknowledgement of a child's subtree."""
        self._children[child_vm] = ack

    def remove(self, child_vm: str) -> None:
        """Remove a child that has left."""
        self._children.pop(child_vm, None)

    def aggregate(self, own_version: int) -> Ack:
        """Return daemons per version and the first lagging names.

        A lagging child is listed for its whole subtree, which receives the
        version through it.
        """
        counts = {own_version: 1}
        lagging: list[str] = []
        for vm, ack in sorted(self._children.items()):
            for count in ack.counts:
                total = counts.get(count.version, 0) + count.daemons
                counts[count.version] = total
            lagging += _find_lagging(vm, ack, own_version)
        return Ack(
            counts=[
                VersionCount(version=version, daemons=daemons)
                for version, daemons in sorted(counts.items())
            ],
            lagging=lagging[:MAX_LAGGING_NAMES],
        )


def _find_lagging(vm: str, ack: Ack, own_version: int) -> Sequence[str]:
    newest = max((count.version for count in ack.counts), default=0)
    own_name = [vm] if newest < own_version else []
    return [*own_name, *ack.lagging]
