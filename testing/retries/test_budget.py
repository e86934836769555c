"""Guard against retries that multiply along a chain of calls."""

import random

from hypothesis import given, strategies as st

from eelgrassweir.retries.budget import SPARE_RETRIES, RetryBudget, RetryRatio


def run_tree(budget: RetryBudget, depth: int, source: random.Random) -> int:
    """Run one call whose attempts fail at random.

    Return the number of runs at the deepest service.
    """
    deepest = 0
    while True:
        if depth == 0:
            deepest += 1
        else:
            child = RetryBudget(budget.split())
            deepest += run_tree(child, depth - 1, source)
            # A call with an unknown outcome returns none of its budget.
            budget.give_back(source.choice([0, child.left_calls]))
        if source.random() < 0.3 or not budget.take():
            return deepest


@given(st.integers(0, 20), st.integers(0, 2**32))
def test_runs_at_the_deepest_service_are_bounded(total: int, seed: int) -> None:
    """Guard against a budget that grows with the depth of the tree."""
    budget = RetryBudget(total)
    assert run_tree(budget, 8, random.Random(seed)) <= 1 + total


@given(st.integers(0, 20), st.lists(st.integers(-3, 30)))
def test_total_budget_is_conserved(total: int, steps: list[int]) -> None:
    """Guard against retries created or lost by lending."""
    budget = RetryBudget(total)
    lent = taken = 0
    for step in steps:
        if step == 0:
            taken += budget.take()
        elif step < 0:
            lent += budget.split()
        else:
            before = budget.left_calls
            budget.give_back(step)
            lent -= budget.left_calls - before
        assert budget.left_calls >= 0 and lent >= 0
        assert budget.left_calls + lent + taken == total


def test_ratio_counts_only_first_attempts_that_succeed() -> None:
    """Guard against retries to a service that fails all calls."""
    ratio = RetryRatio(percent=10)
    for _ in range(1_000):
        ratio.record_first("service", 0.0)
    allowed = sum(ratio.take("service", 0.0) for _ in range(1_000))
    assert allowed == SPARE_RETRIES
    for _ in range(500):
        ratio.record_success("service", 100.0)
    assert sum(ratio.take("service", 100.0) for _ in range(1_000)) == 50
    assert not ratio.take("service", 9_000.0)
    assert ratio.take("service", 10_001.0)


def test_daemons_with_little_traffic_use_their_common_budget() -> None:
    """Guard against a budget that is lost by rounding in each daemon.

    Load of one service over 195 daemons, about 4 calls a second at each, while
    its targets refuse a part of them.
    """
    source = random.Random(1)
    allowed = 0
    first_calls = 42
    for _ in range(195):
        ratio = RetryRatio(percent=7, spare_retries=0.4, rounding=source.random())
        for _ in range(first_calls):
            ratio.record_first("service", 0.0)
            ratio.record_success("service", 0.0)
        allowed += sum(ratio.take("service", 0.0) for _ in range(first_calls))
    budget = 195 * (0.07 * first_calls + 0.4)
    assert 0.95 * budget <= allowed <= 1.05 * budget
