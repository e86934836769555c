"""Fixtures shared by all tests."""

import pytest

from eelgrassweir.clock import ManualClock


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that stands still until it is told to advance."""
    return ManualClock(start_ms=1_000.0, wall_start_ms=1_700_000_000_000)
