"""Run several daemons with stand-in backend servers in the test process.

``testing.soak`` and ``testing.cli`` use the stand-ins and settings too.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Sequence
from typing import Any

import attrs

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.held_bytes import MAX_LIMIT_BYTES, HeldBytes
from eelgrassweir.daemon.http_client import BackendClient, ClientOptions
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse, find_header
from eelgrassweir.daemon.http_server import HttpServer
from eelgrassweir.mesh.app import Application
from eelgrassweir.mesh.main import make_adapter
from eelgrassweir.platform.store import PlatformStore
from eelgrassweir.settings.mesh_generated import MeshSettings
from testing.ports import reserve_port
from testing.stand_ins.platform_store import PlatformStoreStandIn

HOST = "notes.example"
KEY = "key-of-t"
LIMIT_S = 10.0
MAX_BODY_BYTES = 67_108_864
HEALTH_PATH = "/health"


@attrs.define(eq=False)
class BackendStandIn:
    """HTTP server that behaves like a backend server of the platform.

    ``hold`` blocks the runs until it is set, ``delay_s`` delays the responses,
    and ``is_refusing`` makes it refuse requests without running them.
    """

    service: str
    instance: str
    slots: int = 10
    started_wall_ms: int = 1_000
    delay_s: float = 0.0
    status: int = 200
    is_refusing: bool = False
    hold: asyncio.Event | None = None
    runs: list[HttpRequest] = attrs.field(factory=list)
    refused_calls: int = 0
    address: str = ""
    server: HttpServer | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        held = HeldBytes(MAX_LIMIT_BYTES)
        self.server = HttpServer(
            self._handle, body_limit_bytes=MAX_BODY_BYTES, held=held
        )
        await self.server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.port}"

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        request_id = find_header(request.headers, "x-request-id") or ""
        response_headers = (
            ("X-Request-Id", request_id),
            ("X-Instance-Id", self.instance),
        )
        expected = find_header(request.headers, "x-expected-instance")
        if request.path == HEALTH_PATH:
            return HttpResponse(200, response_headers, b"")
        if expected not in (None, self.instance):
            return HttpResponse(421, response_headers, b"")
        if self.is_refusing:
            self.refused_calls += 1
            return HttpResponse(503, (*response_headers, ("X-Not-Executed", "1")), b"")
        self.runs.append(request)
        if self.hold is not None:
            await self.hold.wait()
        await asyncio.sleep(self.delay_s)
        signed = (*response_headers, ("X-Response-Signature", "signed"))
        return HttpResponse(self.status, signed, request_id.encode())

    def make_heartbeat(self, sequence: int = 1, state: str = "ready") -> HttpRequest:
        """Return a heartbeat of this backend server."""
        body = {
            "service": self.service,
            "address": self.address,
            "slots": self.slots,
            "state": state,
            "sequence": sequence,
            "coldRemaining": 0,
            "born": self.started_wall_ms,
        }
        path = f"/-/Instances.Heartbeat/{self.instance}"
        return HttpRequest("POST", path, (), json.dumps(body).encode())

    def make_deregistration(self) -> HttpRequest:
        """Return a deregistration, which the platform sends without a body."""
        return HttpRequest("POST", f"/-/Instances.Deregister/{self.instance}", (), b"")


def make_route(prefix: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route entry of a configuration document."""
    rule = {
        "name": prefix,
        "host": HOST,
        "prefix": prefix,
        "kind": "safe",
        "timeout": 2_000,
        "objective": 500,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": True,
    }
    return rule | changes


def make_config_document(
    version: int,
    routes: Sequence[dict[str, Any]],
    *,
    body_limit_bytes: int = 100_000,
    **team: Any,
) -> bytes:
    """Return a configuration document with one team that holds ``KEY``."""
    holder = {"name": "t", "apiKeys": [KEY], "priority": 1, "ratePerS": 0, "burst": 0}
    body = {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": name, "healthPath": HEALTH_PATH} for name in ("notes", "lists")
        ],
        "tenants": [holder | team],
        "limits": {
            "headerBytes": 16_384,
            "bodyBytes": body_limit_bytes,
            "headerTimeout": 3_000,
            "idleTimeout": 15_000,
        },
    }
    return json.dumps(body).encode()


@attrs.define(eq=False)
class MeshFleet:
    """Daemons, each with its local backend server, and their store."""

    store: PlatformStoreStandIn
    store_address: str
    daemons: list[Application] = attrs.field(factory=list)
    backends: list[BackendStandIn] = attrs.field(factory=list)
    version: int = 0

    def configure(self, *routes: dict[str, Any], **team: Any) -> None:
        """Write a new version of the configuration to the store."""
        self.version += 1
        self.store.put("op/config", make_config_document(self.version, routes, **team))

    async def add(self, backend: BackendStandIn, **changes: Any) -> Application:
        """Start a daemon and its local backend server."""
        await backend.start()
        settings = make_mesh_settings(
            f"vm-{len(self.daemons)}", backend.service, backend.address
        )
        settings = attrs.evolve(settings, store_address=self.store_address, **changes)
        daemon = self.make_daemon(settings)
        await daemon.start()
        await daemon.control.handle(backend.make_heartbeat())
        self.daemons.append(daemon)
        self.backends.append(backend)
        return daemon

    def make_daemon(self, settings: MeshSettings) -> Application:
        """Return a new daemon that is not started yet."""
        store = PlatformStore(
            self.store_address, clock=Clock(), timeout_ms=settings.store_timeout_ms
        )
        return Application(settings, make_adapter(), store)

    async def kill(self, daemon: Application) -> None:
        """Stop a daemon without removing its entry from the store."""

        async def remove_entry() -> None:
            pass

        daemon.registration.remove_entry = remove_entry  # type: ignore[method-assign]
        self.daemons.remove(daemon)
        await daemon.stop()

    async def wait_until_converged(self) -> None:
        """Wait until all daemons know all members and the configuration."""

        def is_converged() -> bool:
            return all(
                daemon.config.current is not None
                and daemon.config.current.version == self.version
                and daemon.directory.members.count_live() == len(self.daemons)
                and all(member.service for member in daemon.directory.members.all())
                for daemon in self.daemons
            )

        await wait_until(is_converged)

    async def call(
        self,
        daemon: Application,
        path: str,
        *headers: tuple[str, str],
        method: str = "GET",
    ) -> HttpResponse:
        """Send one request to a daemon as a caller on its VM."""
        client = BackendClient(
            daemon.settings.callers_address,
            clock=Clock(),
            body_limit_bytes=100_000,
            options=ClientOptions(forwards_host=True),
        )
        fields = (("Host", HOST), ("X-Request-Id", "r"), *headers)
        request = HttpRequest(method, path, fields, b"")
        try:
            return await client.exchange(request, timeout_ms=LIMIT_S * 1e3)
        finally:
            client.close()

    async def stop(self) -> None:
        """Stop the daemons, the backend servers and the store."""
        for daemon in self.daemons:
            await daemon.stop()
        for backend in self.backends:
            assert backend.server is not None
            await backend.server.stop()
        await self.store.stop()


async def add_target(
    fleet: MeshFleet, instance: str = "i-0"
) -> tuple[Application, BackendStandIn]:
    """Start a daemon and its backend server, which serves ``/a/``."""
    backend = BackendStandIn("notes", instance)
    daemon = await fleet.add(backend)
    fleet.configure(make_route("/a/", "notes"))
    await fleet.wait_until_converged()
    return daemon, backend


@contextlib.asynccontextmanager
async def mesh_fleet() -> AsyncIterator[MeshFleet]:
    """Start a store without daemons; the test adds them."""
    store = PlatformStoreStandIn()
    fleet = MeshFleet(store, await store.start())
    try:
        yield fleet
    finally:
        await fleet.stop()


async def wait_until(condition: Any, limit_s: float = LIMIT_S) -> None:
    """Wait until ``condition`` is true.

    :raises TimeoutError: if it is not after ``limit_s``.
    """
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


def find_free_address() -> str:
    """Return a loopback address with a free port."""
    port, reservation = reserve_port()
    reservation.close()
    return f"127.0.0.1:{port}"


def make_mesh_settings(vm: str, service: str, backend_address: str) -> MeshSettings:
    """Return settings of a daemon with free ports on the loopback address."""
    return MeshSettings(
        vm=vm,
        failure_domain="a",
        region="r",
        failure_domains=("a",),
        service=service,
        backend_address=backend_address,
        callers_address=find_free_address(),
        control_address=find_free_address(),
        ready_address=find_free_address(),
        link_address=find_free_address(),
        admin_address=find_free_address(),
        store_address="127.0.0.1:1",
        drain_ms=400,
        grace_s=6,
        revoke_ms=5_000,
        config_apply_ms=2_000,
        budget_ratio=0.2,
        budget_slack_calls=50,
        quota_window_s=5,
        quota_overage=0.1,
        store_watch_ms=300,
        store_timeout_ms=300,
        lease_ms=1_500,
        seed=7,
    )
