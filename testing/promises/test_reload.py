"""Guard against daemons that end at SIGHUP."""

import signal

import pytest

from testing.fleet import Fleet, wait_until
from testing.promises.filing import Filing

pytestmark = pytest.mark.processes


def test_hangup_does_not_end_a_daemon(pair_fleet: Fleet) -> None:
    """Guard against a daemon that a change of its settings ends."""
    vm = pair_fleet.vms["fichero-1"]
    assert vm.daemon is not None
    pair_fleet.signal_vm(vm.name, signal.SIGHUP, backend=False)
    log = pair_fleet.directory / f"{vm.name}.log"
    wait_until(lambda: "daemon:reload" in log.read_text(), 5_000, "the line")
    assert vm.daemon.poll() is None
    Filing(pair_fleet, pair_fleet.shape.teams[0]).obtain_ticket(vm.name)
