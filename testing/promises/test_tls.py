"""Guard against plain or foreign peers on the listeners of a TLS fleet."""

import pathlib
import socket
import ssl
from collections.abc import Iterator

import attrs
import pytest
import trustme
import urllib3

from eelgrassweir.daemon.identity import FLEET_CERTIFICATE_NAME
from testing.fleet import Fleet, Vm, wait_until
from testing.promises.shapes import CHAIN

pytestmark = pytest.mark.processes


def write_fleet_certificate(
    authority: trustme.CA, directory: pathlib.Path, trusted: list[trustme.CA]
) -> None:
    """Write a certificate of the daemons; the key comes last."""
    issued = authority.issue_cert(FLEET_CERTIFICATE_NAME)
    bundle = b"".join(ca.cert_pem.bytes() for ca in trusted)
    (directory / "fleet-ca.pem").write_bytes(bundle)
    (directory / "fleet-cert.pem").write_bytes(issued.cert_chain_pems[0].bytes())
    issued.private_key_pem.write_to_path(directory / "fleet-key.pem")


@attrs.frozen
class TlsFleet:
    """Hold a fleet, its authority and the folder of its certificates."""

    fleet: Fleet
    authority: trustme.CA
    directory: pathlib.Path

    def status(self, vm: Vm) -> int:
        """Return the status of one call to ``vm`` over TLS, 0 for none."""
        context = ssl.create_default_context()
        self.authority.configure_trust(context)
        team = self.fleet.shape.teams[0]
        headers = {"Authorization": f"Bearer {team.key}", "X-Marker": "tls"}
        with urllib3.PoolManager(ssl_context=context, retries=False) as pool:
            try:
                response = pool.request(
                    "GET",
                    f"https://{vm.ingress_address}/fichero/view",
                    headers=headers,
                    timeout=3.0,
                )
            except urllib3.exceptions.HTTPError:
                return 0
        return response.status

    def wait_ready(self) -> None:
        """Wait until every daemon answers."""
        vms = list(self.fleet.vms.values())
        wait_until(
            lambda: {self.status(vm) for vm in vms} == {200}, 20_000, "all answer"
        )


@pytest.fixture(scope="module")
def tls(tmp_path_factory: pytest.TempPathFactory) -> Iterator[TlsFleet]:
    """Run a fleet with TLS on every listener but the admin one."""
    directory = tmp_path_factory.mktemp("tls")
    authority = trustme.CA()
    write_fleet_certificate(authority, directory, [authority])
    ingress = authority.issue_cert("127.0.0.1")
    ingress.cert_chain_pems[0].write_to_path(directory / "ingress-cert.pem")
    ingress.private_key_pem.write_to_path(directory / "ingress-key.pem")
    names = ("fleet_cert", "fleet_key", "fleet_ca", "ingress_cert", "ingress_key")
    settings = {
        f"{name}_path": str(directory / f"{name.replace('_', '-')}.pem")
        for name in names
    }
    with Fleet(CHAIN, directory, settings=settings) as fleet:
        found = TlsFleet(fleet, authority, directory)
        found.wait_ready()
        yield found


def test_calls_cross_the_fleet(tls: TlsFleet) -> None:
    for vm in tls.fleet.vms.values():
        assert tls.status(vm) == 200


@pytest.mark.parametrize("part", ["link_address", "control_address"])
def test_peer_without_a_fleet_certificate_is_turned_away(
    tls: TlsFleet, part: str
) -> None:
    vm = tls.fleet.vms["fichero-1"]
    host, _, port = vm.settings[part].rpartition(":")
    context = ssl.create_default_context()
    tls.authority.configure_trust(context)
    context.check_hostname = False
    if part == "control_address":
        context.set_alpn_protocols(["h2"])
    with socket.create_connection((host, int(port)), timeout=5) as raw:
        assert is_turned_away(raw, context)


def is_turned_away(raw: socket.socket, context: ssl.SSLContext) -> bool:
    """Tell whether the server ends the connection; one that waits does not."""
    try:
        with context.wrap_socket(
            raw, server_hostname=FLEET_CERTIFICATE_NAME
        ) as secured:
            # With TLS 1.3 the server's refusal arrives with the first read.
            secured.sendall(b"x")
            while secured.recv(4_096):
                pass
    except TimeoutError:
        return False
    except (ssl.SSLError, ConnectionError):
        return True
    return True


def test_new_certificates_are_used_without_a_restart(tls: TlsFleet) -> None:
    """Replace the authority in two steps, and one VM in between."""
    directory, fleet = tls.directory, tls.fleet
    next_authority = trustme.CA()
    started_pids = {vm.name: vm.daemon.pid for vm in fleet.vms.values() if vm.daemon}
    write_fleet_certificate(tls.authority, directory, [tls.authority, next_authority])
    wait_until(lambda: reloads(fleet) == {1}, 20_000, "both authorities are trusted")
    write_fleet_certificate(next_authority, directory, [tls.authority, next_authority])
    fleet.restart("fichero-2")
    tls.wait_ready()
    wait_until(
        lambda: min(reloads(fleet, without="fichero-2")) >= 2,
        20_000,
        "the new certificate is loaded",
    )
    tls.wait_ready()
    for vm in fleet.vms.values():
        assert vm.daemon is not None
        assert vm.name == "fichero-2" or vm.daemon.pid == started_pids[vm.name]


def reloads(fleet: Fleet, without: str = "") -> set[int]:
    """Return how often each daemon has loaded new files."""
    return {
        (fleet.directory / f"{name}.log").read_text().count("daemon:tls_reloaded")
        for name in fleet.vms
        if name != without
    }
