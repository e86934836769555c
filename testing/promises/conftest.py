"""Fleets of real processes for the proofs."""

import pathlib
from collections.abc import Iterator

import pytest

from testing.fleet import Fleet
from testing.promises.shapes import CHAIN, PAIR
from testing.shapes import Shape


def _start(shape: Shape, directory: pathlib.Path, *, proxied: bool) -> Fleet:
    fleet = Fleet(shape, directory, proxied=proxied, keep_runs=True)
    fleet.__enter__()
    fleet.wait_ready()
    return fleet


@pytest.fixture(scope="module")
def pair(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run a fleet of two services behind proxies, shared by one module."""
    fleet = _start(PAIR, tmp_path_factory.mktemp("pair"), proxied=True)
    yield fleet
    fleet.close()


@pytest.fixture(scope="module")
def chain(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run a fleet in which the first service calls the second."""
    fleet = _start(CHAIN, tmp_path_factory.mktemp("chain"), proxied=True)
    yield fleet
    fleet.close()


@pytest.fixture
def whole(pair: Fleet) -> Iterator[Fleet]:
    """Return the shared fleet with every VM running."""
    pair.repair()
    pair.wait_ready()
    yield pair
    pair.repair()
