"""Permission of a share holder to lend tokens, and the takeover rule.

Together they ensure that a failure domain has at most one holder that may
lend, also while the store is unreachable.
"""

from collections.abc import Iterable

from eelgrassweir.shares.holder_record import HolderRecord

# Clocks of two VMs may run at rates that differ by up to this fraction, so the
# side that relies on a promise shortens it by as much.
MAX_DRIFT_FRACTION = 0.01


def drift_safe_ms(life_ms: float) -> float:
    """Return the lifetime that is safe to use on a slow clock."""
    return life_ms * (1.0 - MAX_DRIFT_FRACTION)


class Permit:
    """Permission of a holder to lend tokens, by its own monotonic clock.

    It rests on the holder's lease in the store or, while the store does not
    answer, on promises of all successors not to take over. All times count
    from before the renewing call was sent. Promises do not revive a lapsed
    permit, because another holder may have lent tokens in the meantime.
    """

    def __init__(self, *, outage_limit_ms: float) -> None:
        self._outage_limit_ms = outage_limit_ms
        self._lease_until_ms = float("-inf")
        self._outage_until_ms = float("-inf")
        self._successors: frozenset[str] = frozenset()
        self._promised_until_ms: dict[str, float] = {}
        self._is_revoked = False

    def set_successors(self, successors: Iterable[str]) -> None:
        """Set the daemons whose promises are needed during a store outage.

        While it is unknown whether a write of the record has taken effect,
        pass the old and the new names together.
        """
        self._successors = frozenset(successors)
        self._promised_until_ms = {
            name: until_ms
            for name, until_ms in self._promised_until_ms.items()
            if name in self._successors
        }

    def renew(self, *, sent_ms: float, life_ms: float) -> None:
        """Extend the permit after the store renewed this holder's lease."""
        until_ms = sent_ms + drift_safe_ms(life_ms)
        outage_ms = sent_ms + drift_safe_ms(self._outage_limit_ms)
        self._lease_until_ms = max(self._lease_until_ms, until_ms)
        self._outage_until_ms = max(self._outage_until_ms, outage_ms)

    def add_promise(
        self, successor: str, *, sent_ms: float, life_ms: float, now_ms: float
    ) -> None:
        """Record that a successor will not take over for ``life_ms``.

        Ignored for daemons that are not successors and on a lapsed permit.
        """
        if successor not in self._successors or not self.is_valid(now_ms):
            return
        until_ms = sent_ms + drift_safe_ms(life_ms)
        known_ms = self._promised_until_ms.get(successor, until_ms)
        self._promised_until_ms[successor] = max(known_ms, until_ms)

    def revoke(self) -> None:
        """End the permit permanently."""
        self._is_revoked = True

    def valid_until_ms(self) -> float:
        """Return the time from which the holder may not lend tokens."""
        if self._is_revoked:
            return float("-inf")
        promised_ms = self._outage_until_ms
        for name in self._successors:
            until_ms = self._promised_until_ms.get(name, float("-inf"))
            promised_ms = min(promised_ms, until_ms)
        return max(self._lease_until_ms, promised_ms)

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the holder may lend; check before each grant."""
        return now_ms < self.valid_until_ms()


class GivenPromises:
    """Promises that this daemon has given, on its own clock."""

    def __init__(self) -> None:
        self._until_ms: dict[str, float] = {}

    def add(self, failure_domain: str, *, life_ms: float, now_ms: float) -> None:
        """Add a promise not to take over for ``life_ms`` from now."""
        known_ms = self._until_ms.get(failure_domain, now_ms)
        self._until_ms[failure_domain] = max(known_ms, now_ms + life_ms)

    def promised_until_ms(self, failure_domain: str) -> float:
        """Return when the last promise ends, or minus infinity for none."""
        return self._until_ms.get(failure_domain, float("-inf"))


def takeover_at_ms(
    record: HolderRecord | None,
    *,
    own_name: str,
    lapse_seen_ms: float,
    promised_until_ms: float,
    lease_ms: float,
    outage_limit_ms: float,
    is_predecessor: bool = False,
) -> float:
    """Return when ``own_name`` (vm/incarnation) may take over a share.

    ``lapse_seen_ms`` is when this daemon first saw this record without a
    lease. ``is_predecessor`` means that the holder was an earlier process at
    this daemon's own address, which has ended because an address has only one
    listener. A daemon that is not named as a successor has given no promise
    that the holder relies on, so it waits until every permit has ended.
    """
    if record is None or record.released:
        return max(lapse_seen_ms, promised_until_ms)
    if own_name == f"{record.holder}/{record.incarnation}" or is_predecessor:
        return max(lapse_seen_ms, promised_until_ms)
    if own_name in record.successors:
        return max(lapse_seen_ms + max(lease_ms, record.lease_ms), promised_until_ms)
    wait_ms = max(outage_limit_ms, record.outage_limit_ms)
    return max(lapse_seen_ms + wait_ms, promised_until_ms)
