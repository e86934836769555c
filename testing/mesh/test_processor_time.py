"""Guard against a measurement of processor time that no longer runs."""

import asyncio

import pytest

from experiments.processor_time import (
    PLAIN,
    REFUSED_AT_ENTRY,
    REFUSED_BY_TARGET,
    SERVED,
    format_costs,
    measure_all,
)

pytestmark = pytest.mark.processes


def test_each_kind_of_call_is_measured() -> None:
    """Guard against a table without one of the kinds of calls."""
    # Processor time is read in ticks of 10 ms, the time of 160 calls or more.
    costs = asyncio.run(measure_all(calls=1_600, profile_directory=""))
    cases = (PLAIN, SERVED, *REFUSED_AT_ENTRY, REFUSED_BY_TARGET)
    names = [case.name for case in cases]
    assert list(costs) == [*names, "idle second"]
    assert costs[PLAIN.name] > 0
    assert costs[SERVED.name] > 0
    assert len(format_costs(costs)) == len(costs) + 2
