"""Guard against listeners whose port is taken before they open it."""

import pathlib

from testing.mesh.fleet import find_free_address

RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_listeners_stay_below_the_ports_of_outgoing_connections() -> None:
    """A daemon's port was taken by a connection of another process."""
    first_outgoing = int(RANGE_FILE.read_text().split()[0])
    for _ in range(50):
        assert int(find_free_address().rpartition(":")[2]) < first_outgoing
