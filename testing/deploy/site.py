"""A site of the platform whose daemons run as the deploy file says."""

import asyncio
import contextlib
import itertools
import json
import pathlib
import re
import signal
import socket
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_client import (
    BackendClient,
    ClientOptions,
    ExchangeError,
)
from eelgrassweir.daemon.http_message import HttpRequest
from testing.deploy.checkout import ROOT, Checkout, read_deploy_file
from testing.mesh.fleet import HOST, KEY, BackendStandIn, find_free_address
from testing.stand_ins.platform_store import PlatformStoreStandIn

SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_MS = 1_000.0
REQUEST_TIMEOUT_MS = 5_000.0
BOUNDS = {
    "drain": 2_000,
    "gracePeriod": 6,
    "revoke": 5_000,
    "configApply": 2_000,
    "budgetRatio": 0.2,
    "budgetSlack": 50,
    "quotaWindow": 5,
    "quotaOverage": 0.1,
    "quotaSlack": 20,
    "coldOverage": 1.5,
    "coldSlack": 8,
    "evacuation": 5000,
}


def find_value(fields: Mapping[str, Any], path: str) -> Any:
    """Return the value at a path such as ``a.b`` or ``a.0``, None if none."""
    value: Any = fields
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return None
    return value


def render_entries(text: str, names: list[str]) -> str:
    """Render a section once for each entry of a table with these names."""
    if not names:
        return ""
    texts = [text.replace("{{@}}", name) for name in names]
    last = texts.pop().replace("{{,}}", "")
    return "".join([*(text.replace("{{,}}", ",") for text in texts), last])


def render_template(template: str, fields: Mapping[str, Any]) -> str:
    """Fill in a settings template as the platform does."""

    def render_section(match: re.Match[str]) -> str:
        kind, path, text = match.groups()
        value = find_value(fields, path)
        is_present = value is not None and value is not False
        if kind == "^":
            return "" if is_present else text
        if not is_present:
            return ""
        return render_entries(text, list(value)) if isinstance(value, dict) else text

    def render_value(match: re.Match[str]) -> str:
        value = find_value(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return PLACEHOLDER.sub(render_value, SECTION.sub(render_section, template))


@attrs.define(eq=False, kw_only=True)
class SiteVm:
    """One VM: the process of its daemon, and its backend server."""

    name: str
    zone: str
    backend: BackendStandIn
    folder: pathlib.Path
    listen: dict[str, str]
    process: asyncio.subprocess.Process | None = None
    sequence: int = 0

    @property
    def log_path(self) -> pathlib.Path:
        """Return the path of the daemon's log."""
        return self.folder / f"{self.name}.log"

    async def run_daemon(
        self, checkout: Checkout, settings: str, environment: Mapping[str, str]
    ) -> None:
        """Start the daemon with the text of its settings file."""
        path = self.folder / f"{self.name}.json"
        path.write_text(settings)
        role = read_deploy_file()["roles"]["daemon"]
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(" "),
                cwd=checkout.path,
                env={
                    **checkout.make_environment(),
                    **environment,
                    "EELGRASSWEIR_BOOT": str(path),
                },
                stdout=log,
                stderr=log,
            )

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled; a failed one is not repeated."""
        while True:
            self.sequence += 1
            heartbeat = self.backend.make_heartbeat(self.sequence)
            await exchange(self.listen["control"], heartbeat, HEARTBEAT_TIMEOUT_MS)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        question = HttpRequest("GET", "/-/readiness", (), b"")
        status = await exchange(self.listen["ready"], question, HEARTBEAT_TIMEOUT_MS)
        return status == 200


class Site:
    """Daemons as processes, their backend servers and the store."""

    def __init__(
        self,
        checkout: Checkout,
        folder: pathlib.Path,
        memory_mb: int = 300,
        bounds: Mapping[str, float] = BOUNDS,
    ) -> None:
        self.vms: list[SiteVm] = []
        self.store = PlatformStoreStandIn()
        self._store_address = find_free_address()
        self._memory_mb = memory_mb
        self._bounds = bounds
        self._checkout = checkout
        self._folder = folder
        self._tasks: list[asyncio.Task[None]] = []

    def add_vm(self, zone: str, service: str) -> SiteVm:
        """Add a VM, whose daemon is not started yet."""
        number = len(self.vms)
        listen = {
            purpose: find_free_address()
            for purpose in ("inbound", "outbound", "ready", "control", "admin")
        }
        vm = SiteVm(
            name=f"sidecar-{zone}-{number}",
            zone=zone,
            backend=BackendStandIn(service, f"i-{number}", slots=100, delay_s=0.05),
            folder=self._folder,
            listen=listen,
        )
        self.vms.append(vm)
        return vm

    async def start_daemons(self) -> None:
        """Start the backend servers, their heartbeats and all daemons."""
        for vm in self.vms:
            await vm.backend.start()
            await self.start_daemon(vm)
            self._tasks.append(asyncio.create_task(vm.send_heartbeats()))

    async def start_daemon(self, vm: SiteVm) -> None:
        """Start the daemon of one VM."""
        role = read_deploy_file()["roles"]["daemon"]
        fields = self._make_fields(vm)
        settings = render_template((ROOT / role["template"]).read_text(), fields)
        environment = {
            name: render_template(text, fields) for name, text in role["env"].items()
        }
        await vm.run_daemon(self._checkout, settings, environment)

    async def start_store(self) -> None:
        """Start the store at the address in the settings."""
        port = int(self._store_address.rpartition(":")[2])
        await self.store.start(port)

    async def wait_until_ready(self, limit_s: float) -> None:
        """Wait until all daemons are ready.

        :raises TimeoutError: if they are not after ``limit_s``.
        """
        async with asyncio.timeout(limit_s):
            while not all([await vm.is_ready() for vm in self.vms]):
                await asyncio.sleep(0.1)

    async def wait_until_served(self, paths: Iterable[str], limit_s: float) -> None:
        """Wait until all daemons are ready and serve all paths.

        :raises TimeoutError: if they are not after ``limit_s``.
        """
        async with asyncio.timeout(limit_s):
            await self.wait_until_ready(limit_s)
            for vm, path in itertools.product(self.vms, paths):
                request = make_request(path, f"probe-{vm.name}")
                while await exchange(vm.listen["outbound"], request) != 200:
                    await asyncio.sleep(0.1)

    def list_ended(self) -> dict[str, str]:
        """Return the end of the log of each daemon that has ended."""
        return {
            vm.name: vm.log_path.read_text()[-400:]
            for vm in self.vms
            if vm.process is not None and vm.process.returncode is not None
        }

    async def stop(self) -> None:
        """Kill the daemons, and stop the backend servers and the store."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            if vm.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    vm.process.send_signal(signal.SIGKILL)
                await vm.process.wait()
            if vm.backend.server is not None:
                await vm.backend.server.stop()
        await self.store.stop()

    def _make_fields(self, vm: SiteVm) -> dict[str, Any]:
        """Return the fields from which the platform fills the template."""
        zones = dict.fromkeys((vm.zone for vm in self.vms), "region-1")
        admin_port = int(vm.listen["admin"].rpartition(":")[2])
        return {
            "nodeName": vm.name,
            "zone": vm.zone,
            "region": "region-1",
            "zones": zones,
            "service": vm.backend.service,
            "appAddress": vm.backend.address,
            "ip": "127.0.0.1",
            "internalPorts": [admin_port, admin_port],
            "listen": vm.listen,
            "platform": {"address": self._store_address},
            "bounds": dict(self._bounds),
            "limits": {"memoryMb": self._memory_mb},
        }


def make_request(path: str, request_id: str, body: bytes = b"") -> HttpRequest:
    """Return a request of a caller with the key of the team."""
    fields = (
        ("Host", HOST),
        ("X-Request-Id", request_id),
        ("X-Credential", KEY),
        ("X-Deadline-Milliseconds", str(int(REQUEST_TIMEOUT_MS))),
    )
    return HttpRequest("POST" if body else "GET", path, fields, body)


async def exchange(
    address: str, request: HttpRequest, timeout_ms: float = REQUEST_TIMEOUT_MS
) -> int | None:
    """Return the status of the answer, None if there is none."""
    client = BackendClient(
        address,
        clock=Clock(),
        body_limit_bytes=100_000,
        options=ClientOptions(forwards_host=True),
    )
    try:
        return (await client.exchange(request, timeout_ms=timeout_ms)).status
    except (ExchangeError, OSError):
        return None
    finally:
        client.close()


def take_port(address: str) -> socket.socket:
    """Return a socket that listens at an address."""
    host, _, port = address.rpartition(":")
    taken = socket.socket()
    taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    taken.bind((host, int(port)))
    taken.listen()
    return taken
