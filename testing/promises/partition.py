"""Cut some VMs of a fleet off from the others and from the store."""

import os
import pathlib
from functools import partial

from testing.fleet import Fleet

PARTS = ("control", "link")
# The kernel's list of sockets can miss one while others come and go.
LOOKUPS = 5


def cut_off(fleet: Fleet, vms: set[str], *, store: bool = True) -> None:
    """Silence all connections between ``vms`` and the others, new ones too.

    With ``store``, those of ``vms`` to the store as well.
    """
    assert fleet.proxy is not None
    for name in fleet.vms:
        for part in PARTS:
            check = partial(_is_across, fleet, vms, name)
            fleet.proxy.partition(f"{name}/{part}", check)
        check = partial(_is_store_cut, store and name in vms)
        fleet.proxy.partition(f"{name}/store", check)


def heal(fleet: Fleet) -> None:
    """Let all connections work again."""
    cut_off(fleet, set())


def _is_across(
    fleet: Fleet, vms: set[str], name: str, client_port: int, proxy_port: int
) -> bool:
    """Tell whether a connection to ``name`` crosses the cut."""
    if not vms:
        return False
    for _ in range(LOOKUPS):
        owner = _owner(fleet, client_port, proxy_port)
        if owner:
            return (owner in vms) != (name in vms)
    # The client has closed it, or will open another one.
    return True


def _is_store_cut(is_cut: bool, _client_port: int, _proxy_port: int) -> bool:
    return is_cut


def _owner(fleet: Fleet, client_port: int, proxy_port: int) -> str:
    """Return the VM whose daemon has the client side of a connection.

    The proxy sees only the two ports.
    """
    socket = f"socket:[{socket_inode(client_port, proxy_port)}]"
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


def socket_inode(local_port: int, remote_port: int) -> str:
    """Return the inode of one end of a connection on the loopback address.

    Both ports are needed: connections to different ports can have the same
    local one.
    """
    ends = (f"0100007F:{local_port:04X}", f"0100007F:{remote_port:04X}")
    for path in ("/proc/net/tcp", "/proc/net/tcp6"):
        for line in pathlib.Path(path).read_text().splitlines()[1:]:
            fields = line.split()
            is_same = fields[1].endswith(ends[0]) and fields[2].endswith(ends[1])
            if is_same and fields[9] != "0":
                return fields[9]
    return ""
