"""Fixtures shared by all tests, and the tests that are known to be red."""

import pathlib

import pytest

from eelgrassweir.clock import ManualClock

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return what was seen of each test in KNOWN-RED.txt, by its id."""
    entries = {}
    for line in KNOWN_RED.read_text().splitlines():
        test, _, rest = line.partition(" | ")
        if test:
            entries[test.strip()] = rest
    return entries


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the tests that are known to be red, but let them fail."""
    entries = known_red()
    for item in items:
        seen = entries.get(item.nodeid)
        if seen is not None:
            item.add_marker(pytest.mark.xfail(reason=seen, strict=False))


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that stands still until it is told to advance."""
    return ManualClock(start_ms=1_000.0, wall_start_ms=1_700_000_000_000)
