"""Provide fleets of real processes to the system tests."""

import pathlib
from collections.abc import Iterator

import pytest

from testing.fleet import Fleet
from testing.promises.partition import heal_partition
from testing.promises.shapes import CHAIN, OPEN_ROUTES, PAIR
from testing.shapes import Shape


def _start_fleet(
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
def shared_pair_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run a proxied fleet of two services, shared by one module."""
    fleet = _start_fleet(PAIR, tmp_path_factory.mktemp("pair"), proxied=True)
    yield fleet
    fleet.close()


@pytest.fixture(scope="module")
def chain_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run a proxied fleet in which the first service calls the second."""
    fleet = _start_fleet(CHAIN, tmp_path_factory.mktemp("chain"), proxied=True)
    yield fleet
    fleet.close()


@pytest.fixture(scope="module")
def shared_partition_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run a fleet with open routes, whose VMs can be partitioned."""
    directory = tmp_path_factory.mktemp("separable")
    fleet = _start_fleet(OPEN_ROUTES, directory, proxied=True, store_proxied=True)
    # A VM that starts in a store outage finds the others by these addresses.
    addresses = [vm.settings["advertised_control_address"] for vm in fleet.vms.values()]
    for vm in fleet.vms.values():
        own_address = vm.settings["advertised_control_address"]
        vm.settings["seed_addresses"] = [
            address for address in addresses if address != own_address
        ]
    yield fleet
    fleet.close()


@pytest.fixture
def partition_fleet(shared_partition_fleet: Fleet) -> Iterator[Fleet]:
    """Return the shared fleet; undo all its faults after the test."""
    yield shared_partition_fleet
    shared_partition_fleet.set_store_faults()
    heal_partition(shared_partition_fleet)
    shared_partition_fleet.restore_vms()
    shared_partition_fleet.wait_ready()


@pytest.fixture
def pair_fleet(shared_pair_fleet: Fleet) -> Iterator[Fleet]:
    """Return the shared fleet with every VM running."""
    shared_pair_fleet.restore_vms()
    shared_pair_fleet.wait_ready()
    yield shared_pair_fleet
    shared_pair_fleet.restore_vms()
