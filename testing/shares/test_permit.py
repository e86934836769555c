"""Guard against two holders of one share at the same time."""

import attrs
import pytest

from eelgrassweir.shares.holder_record import HolderRecord
from eelgrassweir.shares.permit import (
    Permit,
    PromiseBook,
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
    permit = make_permit()
    assert permit.is_valid(4949)
    assert not permit.is_valid(4950)


def test_promises_of_all_successors_are_needed() -> None:
    permit = make_permit()
    add_promises(permit, 4000, ("s/1", "stranger/1"))
    assert not permit.is_valid(5000)
    permit = make_permit()
    add_promises(permit, 4000, ("s/1", "t/1"))
    assert permit.is_valid(8949)
    assert not permit.is_valid(8950)


def test_promises_end_at_the_outage_limit() -> None:
    permit = make_permit()
    for now_ms in range(4000, OUTAGE_MS + 10_000, 1000):
        add_promises(permit, now_ms, RECORD.successors)
    assert permit.valid_until_ms() == pytest.approx(OUTAGE_MS * 0.99)


def test_promises_do_not_revive_a_lapsed_permit() -> None:
    permit = make_permit()
    add_promises(permit, 4000, ("s/1",))
    add_promises(permit, 6000, RECORD.successors)
    assert not permit.is_valid(6001)


def test_revoked_permit_stays_revoked() -> None:
    permit = make_permit()
    permit.revoke()
    permit.renew(sent_ms=10, life_ms=LEASE_MS)
    assert not permit.is_valid(11)


@pytest.mark.parametrize(
    ("me", "wait_ms"),
    [("s/1", LEASE_MS), ("s/2", OUTAGE_MS), ("u/1", OUTAGE_MS), ("h/1", 0)],
)
def test_takeover_waits_for_every_permit(me: str, wait_ms: float) -> None:
    """Guard a restarted successor, s/2, that has forgotten its promises."""
    assert takeover(RECORD, me) == 100 + wait_ms


def test_takeover_after_a_clean_stop_or_without_any_holder_is_at_once() -> None:
    released = attrs.evolve(RECORD, released=True)
    assert takeover(released, "u/1") == 100
    assert takeover(None, "u/1") == 100


def test_own_promise_delays_takeover() -> None:
    book = PromiseBook()
    book.give("oviedo", life_ms=9000, now_ms=200)
    book.give("oviedo", life_ms=10, now_ms=300)
    assert takeover(RECORD, "s/1", book.until_ms("oviedo")) == 9200


def takeover(
    record: HolderRecord | None, me: str, promised_until_ms: float = float("-inf")
) -> float:
    return takeover_at_ms(
        record,
        me=me,
        lapse_seen_ms=100,
        promised_until_ms=promised_until_ms,
        lease_ms=LEASE_MS,
        outage_limit_ms=OUTAGE_MS,
    )


def test_successor_at_the_address_of_the_holder_takes_over_at_once() -> None:
    """A daemon that restarts must not cost its domain's part for a lease."""
    at_ms = takeover_at_ms(
        RECORD,
        me="a/2",
        lapse_seen_ms=1_000.0,
        promised_until_ms=float("-inf"),
        lease_ms=5_000.0,
        outage_limit_ms=600_000.0,
        is_predecessor=True,
    )
    assert at_ms == 1_000.0
