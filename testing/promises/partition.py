"""Partition a fleet: isolate some VMs from the others and from the store."""

import os
import pathlib
from functools import partial

from testing.fleet import Fleet

LISTENERS = ("control", "link")
# The kernel's list of sockets can miss one while others open or close.
MAX_LOOKUPS = 5


def isolate_vms(fleet: Fleet, vms: set[str], *, store: bool = True) -> None:
    """Drop the bytes of all connections between ``vms`` and the others.

    With ``store``, those between ``vms`` and the store too. Connections that
    are opened later are silenced as well.
    """
    assert fleet.proxy is not None
    for name in fleet.vms:
        for listener in LISTENERS:
            check = partial(_crosses_partition, fleet, vms, name)
            fleet.proxy.partition(f"{name}/{listener}", check)
        check = partial(_is_store_isolated, store and name in vms)
        fleet.proxy.partition(f"{name}/store", check)


def heal_partition(fleet: Fleet) -> None:
    """Let all connections carry traffic again."""
    isolate_vms(fleet, set())


def _crosses_partition(
    fleet: Fleet, vms: set[str], name: str, client_port: int, proxy_port: int
) -> bool:
    """Tell whether a connection to ``name`` crosses the partition."""
    if not vms:
        return False
    for _ in range(MAX_LOOKUPS):
        client_vm = _find_client_vm(fleet, client_port, proxy_port)
        if client_vm:
            return (client_vm in vms) != (name in vms)
    # The client has closed the connection, or will replace it by another one.
    return True


def _is_store_isolated(is_isolated: bool, _client_port: int, _proxy_port: int) -> bool:
    return is_isolated


def _find_client_vm(fleet: Fleet, client_port: int, proxy_port: int) -> str:
    """Return the VM whose daemon has the client end of a connection.

    The proxy knows only the two ports. Return "" if no daemon has it.
    """
    socket = f"socket:[{find_socket_inode(client_port, proxy_port)}]"
    for vm in fleet.vms.values():
        if vm.daemon is None or vm.daemon.poll() is not None:
            continue
        for entry in pathlib.Path(f"/proc/{vm.daemon.pid}/fd").iterdir():
            try:
                if os.readlink(entry) == socket:
                    return vm.name
            except OSError:
                continue
    return ""


def find_socket_inode(local_port: int, remote_port: int) -> str:
    """Return the inode of one end of a loopback connection, "" if none.

    Both ports are needed, as connections to different remote ports can share
    a local port.
    """
    ends = (f"0100007F:{local_port:04X}", f"0100007F:{remote_port:04X}")
    for path in ("/proc/net/tcp", "/proc/net/tcp6"):
        for line in pathlib.Path(path).read_text().splitlines()[1:]:
            fields = line.split()
            is_same = fields[1].endswith(ends[0]) and fields[2].endswith(ends[1])
            if is_same and fields[9] != "0":
                return fields[9]
    return ""
