"""Guard against unauthenticated peers on the listeners of a TLS fleet."""

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
    """Write the trust bundle, a fleet certificate and, last, its key."""
    issued = authority.issue_cert(FLEET_CERTIFICATE_NAME)
    bundle = b"".join(ca.cert_pem.bytes() for ca in trusted)
    (directory / "fleet-ca.pem").write_bytes(bundle)
    (directory / "fleet-cert.pem").write_bytes(issued.cert_chain_pems[0].bytes())
    issued.private_key_pem.write_to_path(directory / "fleet-key.pem")


@attrs.frozen
class TlsFleet:
    """A fleet, its certificate authority and its certificate directory."""

    fleet: Fleet
    authority: trustme.CA
    directory: pathlib.Path

    def call(self, vm: Vm) -> int:
        """Call ``vm`` over TLS; return the status, or 0 without an answer."""
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
        """Wait until every daemon answers over TLS."""
        vms = list(self.fleet.vms.values())
        wait_until(
            lambda: {self.call(vm) for vm in vms} == {200}, 20_000, "all daemons answer"
        )


@pytest.fixture(scope="module")
def tls_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[TlsFleet]:
    """Run a fleet with TLS on all listeners except the admin listener."""
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
        tls_fleet = TlsFleet(fleet, authority, directory)
        tls_fleet.wait_ready()
        yield tls_fleet


def test_calls_through_every_daemon_succeed(tls_fleet: TlsFleet) -> None:
    """Guard against daemons that do not reach each other over TLS."""
    for vm in tls_fleet.fleet.vms.values():
        assert tls_fleet.call(vm) == 200


@pytest.mark.parametrize("listener", ["link_address", "control_address"])
def test_peer_without_a_fleet_certificate_is_rejected(
    tls_fleet: TlsFleet, listener: str
) -> None:
    """Guard against a listener that accepts peers without a certificate."""
    vm = tls_fleet.fleet.vms["fichero-1"]
    host, _, port = vm.settings[listener].rpartition(":")
    context = ssl.create_default_context()
    tls_fleet.authority.configure_trust(context)
    context.check_hostname = False
    if listener == "control_address":
        context.set_alpn_protocols(["h2"])
    with socket.create_connection((host, int(port)), timeout=5) as raw:
        assert is_rejected(raw, context)


def is_rejected(raw: socket.socket, context: ssl.SSLContext) -> bool:
    """Tell whether the server closes the connection before the timeout."""
    try:
        with context.wrap_socket(
            raw, server_hostname=FLEET_CERTIFICATE_NAME
        ) as secured:
            # With TLS 1.3 a client sees the rejection only at its first read.
            secured.sendall(b"x")
            while secured.recv(4_096):
                pass
    except TimeoutError:
        return False
    except (ssl.SSLError, ConnectionError):
        return True
    return True


def test_new_certificates_are_used_without_a_restart(tls_fleet: TlsFleet) -> None:
    """Guard against an outage or restart when certificates are replaced.

    The authority is replaced in two steps, and one VM restarts in between.
    """
    directory, fleet = tls_fleet.directory, tls_fleet.fleet
    next_authority = trustme.CA()
    started_pids = {vm.name: vm.daemon.pid for vm in fleet.vms.values() if vm.daemon}
    write_fleet_certificate(
        tls_fleet.authority, directory, [tls_fleet.authority, next_authority]
    )
    wait_until(
        lambda: count_reloads(fleet) == {1},
        20_000,
        "all daemons have loaded both authorities",
    )
    write_fleet_certificate(
        next_authority, directory, [tls_fleet.authority, next_authority]
    )
    fleet.restart("fichero-2")
    tls_fleet.wait_ready()
    wait_until(
        lambda: min(count_reloads(fleet, excluded_vm="fichero-2")) >= 2,
        20_000,
        "the running daemons have loaded the new certificate",
    )
    tls_fleet.wait_ready()
    for vm in fleet.vms.values():
        assert vm.daemon is not None
        assert vm.name == "fichero-2" or vm.daemon.pid == started_pids[vm.name]


def count_reloads(fleet: Fleet, excluded_vm: str = "") -> set[int]:
    """Return how often the daemons have reloaded their TLS files."""
    return {
        (fleet.directory / f"{name}.log").read_text().count("daemon:tls_reloaded")
        for name in fleet.vms
        if name != excluded_vm
    }
