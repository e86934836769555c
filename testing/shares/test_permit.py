"""Guard against two holders of one share at the same time."""

import attrs
import pytest

from eelgrassweir.shares.holder_record import HolderRecord
from eelgrassweir.shares.permit import (
    GivenPromises,
    Permit,
    takeover_at_ms,
)

LEASE_MS = 5000
OUTAGE_MS = 600_000
RECORD = HolderRecord(
    holder="h",
    incarnation="1",
    control_address="127.0.0.1:1",
    successors=("s/1", "t/1"),
    epoch=3,
    lease_ms=LEASE_MS,
    outage_limit_ms=OUTAGE_MS,
)


def make_permit() -> Permit:
    permit = Permit(outage_limit_ms=OUTAGE_MS)
    permit.set_successors(RECORD.successors)
    permit.renew(sent_ms=0, life_ms=LEASE_MS)
    return permit


def add_promises(permit: Permit, now_ms: float, names: tuple[str, ...]) -> None:
    for name in names:
        permit.add_promise(name, sent_ms=now_ms, life_ms=LEASE_MS, now_ms=now_ms)


def test_lease_counts_from_before_the_call_and_allows_for_drift() -> None:
    """Guard against a permit that outlives the lease in the store."""
    permit = make_permit()
    assert permit.is_valid(4949)
    assert not permit.is_valid(4950)


def test_promises_of_all_successors_are_needed() -> None:
    """Guard against a takeover by a successor that promised nothing."""
    permit = make_permit()
    add_promises(permit, 4000, ("s/1", "stranger/1"))
    assert not permit.is_valid(5000)
    permit = make_permit()
    add_promises(permit, 4000, ("s/1", "t/1"))
    assert permit.is_valid(8949)
    assert not permit.is_valid(8950)


def test_promises_end_at_the_outage_limit() -> None:
    """Guard against a permit that promises extend past the outage limit."""
    permit = make_permit()
    for now_ms in range(4000, OUTAGE_MS + 10_000, 1000):
        add_promises(permit, now_ms, RECORD.successors)
    assert permit.valid_until_ms() == pytest.approx(OUTAGE_MS * 0.99)


def test_promises_do_not_revive_a_lapsed_permit() -> None:
    """Guard against a holder that resumes after another has started."""
    permit = make_permit()
    add_promises(permit, 4000, ("s/1",))
    add_promises(permit, 6000, RECORD.successors)
    assert not permit.is_valid(6001)


def test_revoked_permit_stays_revoked() -> None:
    """Guard against a late renewal that restores a revoked permit."""
    permit = make_permit()
    permit.revoke()
    permit.renew(sent_ms=10, life_ms=LEASE_MS)
    assert not permit.is_valid(11)


@pytest.mark.parametrize(
    ("own_name", "wait_ms"),
    [("s/1", LEASE_MS), ("s/2", OUTAGE_MS), ("u/1", OUTAGE_MS), ("h/1", 0)],
)
def test_takeover_waits_for_every_permit(own_name: str, wait_ms: float) -> None:
    """Guard against a takeover while the holder's permit may still be valid.

    A restarted successor (s/2) has lost the promises that it gave, so it waits
    like any other daemon.
    """
    assert takeover(RECORD, own_name) == 100 + wait_ms


def test_takeover_of_a_released_or_new_share_is_immediate() -> None:
    """Guard against a domain without a holder after a graceful stop."""
    released = attrs.evolve(RECORD, released=True)
    assert takeover(released, "u/1") == 100
    assert takeover(None, "u/1") == 100


def test_own_promise_delays_takeover() -> None:
    """Guard against a takeover during a promise given to the holder."""
    book = GivenPromises()
    book.add("oviedo", life_ms=9000, now_ms=200)
    book.add("oviedo", life_ms=10, now_ms=300)
    assert takeover(RECORD, "s/1", book.promised_until_ms("oviedo")) == 9200


def takeover(
    record: HolderRecord | None, own_name: str, promised_until_ms: float = float("-inf")
) -> float:
    return takeover_at_ms(
        record,
        own_name=own_name,
        lapse_seen_ms=100,
        promised_until_ms=promised_until_ms,
        lease_ms=LEASE_MS,
        outage_limit_ms=OUTAGE_MS,
    )


def test_restarted_holder_takes_over_its_own_share_at_once() -> None:
    """Guard against a domain without a holder for a lease after a restart."""
    at_ms = takeover_at_ms(
        RECORD,
        own_name="a/2",
        lapse_seen_ms=1_000.0,
        promised_until_ms=float("-inf"),
        lease_ms=5_000.0,
        outage_limit_ms=600_000.0,
        is_predecessor=True,
    )
    assert at_ms == 1_000.0
