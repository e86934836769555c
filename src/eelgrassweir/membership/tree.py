"""Choice of a parent and aggregation of acknowledgements."""

import random
from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence

import attrs

from eelgrassweir.proto.control_pb2 import Ack, RelayBeat, VersionCount

MAX_LAGGING_NAMES = 16
# A redirect chain is as long as the tree is deep; two levels below the relays
# hold more than 11,000 daemons.
MAX_ATTEMPTS = 16
# Relays known from the store have this; a beat of the relay has a higher one.
STORE_RECORD_SEQUENCE = 1


@attrs.frozen(kw_only=True)
class Candidate:
    """Hold an address to try and how many redirects led there."""

    address: str
    depth: int


class ParentSearch:
    """Order the addresses at which one search asks for a place."""

    def __init__(
        self, own_address: str, first: Sequence[str], rng: random.Random
    ) -> None:
        self._rng = rng
        self._seen = {own_address}
        self._pending: deque[Candidate] = deque()
        self._attempts = 0
        self._push(first, 0)

    def next_candidate(self) -> Candidate | None:
        """Return the next address to ask; None when the search has failed."""
        if not self._pending or self._attempts >= MAX_ATTEMPTS:
            return None
        self._attempts += 1
        return self._pending.popleft()

    def add_redirect(self, source: Candidate, addresses: Sequence[str]) -> None:
        """Ask the children of a full parent before the remaining relays."""
        shuffled = list(addresses)
        self._rng.shuffle(shuffled)
        fresh = [address for address in shuffled if address not in self._seen]
        # Two of the children are enough: the others are as likely to be full.
        chosen = fresh[:2]
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
    """Tell whether a parent with this path hangs below ``own_vm``."""
    return own_vm in path


class RelayView:
    """Hold the last beat of each relay."""

    def __init__(self) -> None:
        self._beats: dict[str, RelayBeat] = {}

    def merge(self, beat: RelayBeat) -> bool:
        """Take ``beat``; tell whether daemons below need to know of it."""
        known = self._beats.get(beat.vm)
        if known is not None and beat.sequence <= known.sequence:
            return False
        self._beats[beat.vm] = beat
        # Records of the store are not passed on, the first beat after one is.
        if known is None or known.sequence <= STORE_RECORD_SEQUENCE:
            return True
        return _significant(known) != _significant(beat)

    def get(self, vm: str) -> RelayBeat | None:
        """Return the last beat of ``vm``."""
        return self._beats.get(vm)

    def all(self) -> Sequence[RelayBeat]:
        """Return what is known of each relay, former ones included."""
        return tuple(self._beats.values())

    def live(self, is_live: Callable[[str, str], bool]) -> Sequence[RelayBeat]:
        """Return the beats of relays that hold the role and are not down."""
        return tuple(
            beat
            for beat in self._beats.values()
            if not beat.stepped_down and is_live(beat.vm, beat.incarnation)
        )

    def drop_unrecorded(self, vms: Collection[str]) -> None:
        """Drop relays known from the store only that are not in ``vms``."""
        for vm, beat in list(self._beats.items()):
            if beat.sequence <= STORE_RECORD_SEQUENCE and vm not in vms:
                del self._beats[vm]

    def evict(self, is_gone: Callable[[str, str], bool]) -> None:
        """Drop former relays and those that are gone for long."""
        for vm, beat in list(self._beats.items()):
            if is_gone(vm, beat.incarnation):
                del self._beats[vm]


def _significant(beat: RelayBeat) -> tuple[str, str, str, str, bool]:
    return (
        beat.incarnation,
        beat.failure_domain,
        beat.control_address,
        beat.holds_shares_of,
        beat.stepped_down,
    )


def order_relays(
    beats: Iterable[RelayBeat], own_domain: str, rng: random.Random
) -> Sequence[str]:
    """Return control addresses in random order, own domain first."""
    shuffled = list(beats)
    rng.shuffle(shuffled)
    shuffled.sort(key=lambda beat: beat.failure_domain != own_domain)
    return [beat.control_address for beat in shuffled]


class AckAggregator:
    """Aggregate the acknowledgements of a daemon and its children."""

    def __init__(self) -> None:
        self._children: dict[str, Ack] = {}

    def record(self, child_vm: str, ack: Ack) -> None:
        """Take the last acknowledgement of a child's subtree."""
        self._children[child_vm] = ack

    def remove(self, child_vm: str) -> None:
        """Forget a child that has left."""
        self._children.pop(child_vm, None)

    def aggregate(self, own_version: int) -> Ack:
        """Return the counts of the subtree and the first names that lag.

        A child that lags is named for its whole subtree, since that subtree
        gets the version through it.
        """
        counts = {own_version: 1}
        lagging: list[str] = []
        for vm, ack in sorted(self._children.items()):
            for count in ack.counts:
                total = counts.get(count.version, 0) + count.daemons
                counts[count.version] = total
            lagging += _lagging_below(vm, ack, own_version)
        return Ack(
            counts=[
                VersionCount(version=version, daemons=daemons)
                for version, daemons in sorted(counts.items())
            ],
            lagging=lagging[:MAX_LAGGING_NAMES],
        )


def _lagging_below(vm: str, ack: Ack, own_version: int) -> Sequence[str]:
    newest = max((count.version for count in ack.counts), default=0)
    own_lag = [vm] if newest < own_version else []
    return [*own_lag, *ack.lagging]
