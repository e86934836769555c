"""Guard against faults in bucket rules that random tests seldom reach."""

import pytest

from eelgrassweir.shares.holder import RateLimit, ShareHolder, split_parts

LIFE_MS = 1000


def make_holder(
    rate_per_s: float, burst_calls: int, *, start_ms: float = 0.0
) -> ShareHolder:
    parts = {"registro": RateLimit(rate_per_s=rate_per_s, burst_calls=burst_calls)}
    return ShareHolder(
        epoch="oviedo/1", grant_life_ms=LIFE_MS, now_ms=start_ms, parts=parts
    )


def lend(holder: ShareHolder, wanted: int, now_ms: float, borrower: str = "a") -> int:
    return holder.grant(borrower, "registro", wanted, now_ms).tokens


def test_new_holder_lends_nothing_that_its_predecessor_may_have_lent() -> None:
    """Guard against a refill during the grant life after a takeover."""
    holder = make_holder(10, 5)
    assert lend(holder, 5, 999) == 0
    assert lend(holder, 5, 1099) == 0
    assert lend(holder, 5, 1100) == 1
    assert lend(holder, 5, 1200) == 1


def test_duplicated_report_frees_tokens_once() -> None:
    """Guard against a duplicated report that frees tokens still in use."""
    holder = make_holder(1000, 10)
    grant = holder.grant("a", "registro", 10, 5000)
    for _ in range(3):
        holder.report("a", grant.grant_id, 3, 0, 5001)
    assert lend(holder, 10, 5900) == 3


@pytest.mark.parametrize(
    ("borrower", "spent", "returned"), [("b", 10, 0), ("a", 11, 0), ("a", 6, 5)]
)
def test_invalid_report_frees_nothing(borrower: str, spent: int, returned: int) -> None:
    """Guard against tokens freed by another daemon or by impossible totals."""
    holder = make_holder(1000, 10)
    grant = holder.grant("a", "registro", 10, 5000)
    holder.report(borrower, grant.grant_id, spent, returned, 5001)
    assert lend(holder, 10, 5900) == 0


def test_report_after_expiry_returns_nothing() -> None:
    """Guard against a late report that adds tokens to a refilled bucket."""
    holder = make_holder(0.001, 10, start_ms=-1e9)
    grant = holder.grant("a", "registro", 10, 0)
    holder.report("a", grant.grant_id, 0, 10, LIFE_MS)
    assert lend(holder, 10, LIFE_MS + 1) == 0


def test_slow_rate_refills_between_lost_reports() -> None:
    """Guard against a fractional rate that never adds up to a token."""
    holder = make_holder(0.1, 1)
    lent_at_ms = [t for t in range(0, 100_000, 100) if lend(holder, 1, t)]
    gaps_ms = {b - a for a, b in zip(lent_at_ms, lent_at_ms[1:], strict=False)}
    # 10 s to refill the token, after one grant life while it is outstanding.
    assert gaps_ms == {11_000}


def test_removed_team_does_not_get_a_second_burst() -> None:
    """Guard against a full bucket for a team that is listed again."""
    holder = make_holder(0.001, 10, start_ms=-1e9)
    assert lend(holder, 10, 0) == 10
    holder.set_limits({}, 10)
    holder.set_limits({"registro": RateLimit(rate_per_s=0.001, burst_calls=10)}, 20)
    assert lend(holder, 10, 5000) == 0


def test_report_from_before_a_removal_frees_nothing() -> None:
    """Guard against a report of an earlier grant that adds to a new bucket."""
    holder = make_holder(1000, 10)
    grant = holder.grant("a", "registro", 10, 5000)
    holder.set_limits({}, 5010)
    holder.set_limits({"registro": RateLimit(rate_per_s=1000, burst_calls=10)}, 5020)
    holder.report("a", grant.grant_id, 10, 0, 5030)
    assert lend(holder, 100, 7000) == 10
    assert lend(holder, 100, 7500) == 0


def test_several_borrowers_leave_tokens_for_each_other() -> None:
    """Guard against one daemon that borrows the whole burst in advance."""
    holder = make_holder(0.001, 16, start_ms=-1e9)
    lend(holder, 1, 0, "a")
    lent = [lend(holder, 15, 1, name) for name in ("b", "c", "d")]
    assert lent == [8, 4, 2]


@pytest.mark.parametrize("burst_calls", [0, 1, 3, 4, 11])
def test_split_limits_sum_to_the_team_limit(burst_calls: int) -> None:
    """Guard against a rate that is lost in domains without a burst."""
    parts = split_parts(90.0, burst_calls, ("a", "b", "c", "d"), "registro")
    assert sum(part.burst_calls for part in parts.values()) == burst_calls
    rate_per_s = sum(part.rate_per_s for part in parts.values())
    assert rate_per_s == pytest.approx(90.0 if burst_calls else 0.0)


def test_refund_restores_what_the_bucket_had_room_for() -> None:
    """Guard against a refund that is lost or applied twice."""
    holder = ShareHolder(
        epoch="1",
        grant_life_ms=LIFE_MS,
        now_ms=0,
        parts={"t": RateLimit(rate_per_s=10, burst_calls=10)},
    )
    grant = holder.grant("a", "t", 10, 5_000)
    assert grant.tokens == 10
    holder.report("a", grant.grant_id, 10, 0, 5_001)
    holder.refund("a", grant.grant_id, 4, 5_001)
    holder.refund("a", grant.grant_id, 4, 5_001)
    assert holder.grant("a", "t", 10, 5_001).tokens == 4


def test_refund_after_the_bucket_was_full_again_adds_nothing() -> None:
    """Guard against late refunds that admit more than a full burst."""
    holder = ShareHolder(
        epoch="1",
        grant_life_ms=LIFE_MS,
        now_ms=0,
        parts={"t": RateLimit(rate_per_s=100, burst_calls=10)},
    )
    grant = holder.grant("a", "t", 10, 5_000)
    holder.report("a", grant.grant_id, 10, 0, 5_001)
    full = holder.grant("a", "t", 10, 5_200)
    assert full.tokens == 10
    holder.report("a", full.grant_id, 10, 0, 5_200)
    holder.refund("a", grant.grant_id, 10, 5_200)
    assert holder.grant("a", "t", 10, 5_200).tokens == 0
