"""Fleets of real processes for the proofs."""

import pathlib
from collections.abc import Iterator

import pytest

from testing.fleet import Fleet
from testing.promises.partition import heal
from testing.promises.shapes import CHAIN, OPEN, PAIR
from testing.shapes import Shape


def _start(
    shape: Shape, directory: pathlib.Path, *, proxied: bool, store_proxied: bool = False
) -> Fleet:
    fleet = Fleet(
        shape,
        directory,
        proxied=proxied,
        store_proxied=store_proxied,
        keep_runs=True,
    )
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


@pytest.fixture(scope="module")
def separable(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run a fleet with open routes whose VMs can be cut off."""
    directory = tmp_path_factory.mktemp("separable")
    fleet = _start(OPEN, directory, proxied=True, store_proxied=True)
    # A VM that starts in a store outage knows the others from its settings.
    seeds = [vm.settings["advertised_control_address"] for vm in fleet.vms.values()]
    for vm in fleet.vms.values():
        own = vm.settings["advertised_control_address"]
        vm.settings["seed_addresses"] = [seed for seed in seeds if seed != own]
    yield fleet
    fleet.close()


@pytest.fixture
def healed(separable: Fleet) -> Iterator[Fleet]:
    """Return the fleet with all VMs, connections and the store in order."""
    yield separable
    separable.set_store_faults()
    heal(separable)
    separable.restore_vms()
    separable.wait_ready()


@pytest.fixture
def whole(pair: Fleet) -> Iterator[Fleet]:
    """Return the shared fleet with every VM running."""
    pair.restore_vms()
    pair.wait_ready()
    yield pair
    pair.restore_vms()
