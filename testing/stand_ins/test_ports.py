"""Tests of the choice of free ports."""

import pathlib

from testing.mesh.fleet import find_free_address

RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_listener_ports_are_below_the_ephemeral_range() -> None:
    """Guard against a port that is taken before its daemon listens on it.

    An outgoing connection of another process had been given that port.
    """
    first_ephemeral = int(RANGE_FILE.read_text().split()[0])
    for _ in range(50):
        assert int(find_free_address().rpartition(":")[2]) < first_ephemeral
