"""Permission of a share holder to grant, and the rule for taking over."""

from collections.abc import Iterable

from eelgrassweir.shares.holder_record import HolderRecord

# Clocks of two VMs may run at rates that differ by up to this fraction; the
# side that relies on a promise shortens it by as much.
DRIFT_FRACTION = 0.01


def shortened_ms(life_ms: float) -> float:
    """Return the part of a lifetime that is safe on a clock that runs slow."""
    return life_ms * (1.0 - DRIFT_FRACTION)


class Permit:
    """Say whether a holder may grant, by its own monotonic clock.

    All times are measured from before the renewing call was sent. Once the
    permit has lapsed, promises do not revive it: another holder may have come
    and gone in between.
    """

    def __init__(self, *, outage_limit_ms: float) -> None:
        self._outage_limit_ms = outage_limit_ms
        self._store_until_ms = float("-inf")
        self._outage_until_ms = float("-inf")
        self._successors: frozenset[str] = frozenset()
        self._promised_until_ms: dict[str, float] = {}
        self._is_revoked = False

    def set_successors(self, successors: Iterable[str]) -> None:
        """Name all daemons whose promises are needed without the store.

        While a change of the record may or may not have taken effect, give
        the old and the new names together.
        """
        self._successors = frozenset(successors)
        self._promised_until_ms = {
            name: until_ms
            for name, until_ms in self._promised_until_ms.items()
            if name in self._successors
        }

    def renew(self, *, sent_ms: float, life_ms: float) -> None:
        """Note that the store has renewed the lease of this holder."""
        until_ms = sent_ms + shortened_ms(life_ms)
        outage_ms = sent_ms + shortened_ms(self._outage_limit_ms)
        self._store_until_ms = max(self._store_until_ms, until_ms)
        self._outage_until_ms = max(self._outage_until_ms, outage_ms)

    def add_promise(
        self, successor: str, *, sent_ms: float, life_ms: float, now_ms: float
    ) -> None:
        """Note that a named successor will not take over for ``life_ms``."""
        if successor not in self._successors or not self.is_valid(now_ms):
            return
        until_ms = sent_ms + shortened_ms(life_ms)
        known_ms = self._promised_until_ms.get(successor, until_ms)
        self._promised_until_ms[successor] = max(known_ms, until_ms)

    def revoke(self) -> None:
        """End the permit for good."""
        self._is_revoked = True

    def valid_until_ms(self) -> float:
        """Return the time from which the holder may not grant."""
        if self._is_revoked:
            return float("-inf")
        promised_ms = self._outage_until_ms
        for name in self._successors:
            until_ms = self._promised_until_ms.get(name, float("-inf"))
            promised_ms = min(promised_ms, until_ms)
        return max(self._store_until_ms, promised_ms)

    def is_valid(self, now_ms: float) -> bool:
        """Say whether the holder may grant now; ask before each grant."""
        return now_ms < self.valid_until_ms()


class PromiseBook:
    """Promises that this daemon has given, judged by its own clock."""

    def __init__(self) -> None:
        self._until_ms: dict[str, float] = {}

    def give(self, failure_domain: str, *, life_ms: float, now_ms: float) -> None:
        """Promise not to take over for ``life_ms`` from now."""
        known_ms = self._until_ms.get(failure_domain, now_ms)
        self._until_ms[failure_domain] = max(known_ms, now_ms + life_ms)

    def until_ms(self, failure_domain: str) -> float:
        """Return the end of the last promise; minus infinity for none."""
        return self._until_ms.get(failure_domain, float("-inf"))


def takeover_at_ms(
    record: HolderRecord | None,
    *,
    me: str,
    lapse_seen_ms: float,
    promised_until_ms: float,
    lease_ms: float,
    outage_limit_ms: float,
    is_predecessor: bool = False,
) -> float:
    """Return when ``me`` (vm/incarnation) may take over a lapsed share.

    ``is_predecessor`` says that the holder was an earlier process at this
    daemon's own address. It has ended, since an address has one listener.

    ``lapse_seen_ms`` is when this daemon first saw this record without a
    lease. A daemon that is not named as successor has given no promise that
    the holder relies on, so it waits until every permit must have ended.
    """
    if record is None or record.released:
        return max(lapse_seen_ms, promised_until_ms)
    if me == f"{record.holder}/{record.incarnation}" or is_predecessor:
        return max(lapse_seen_ms, promised_until_ms)
    if me in record.successors:
        return max(lapse_seen_ms + max(lease_ms, record.lease_ms), promised_until_ms)
    wait_ms = max(outage_limit_ms, record.outage_limit_ms)
    return max(lapse_seen_ms + wait_ms, promised_until_ms)
