"""Daemons as processes, with a proxy on each of their connections."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time
from typing import Any

import attrs

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_client import BackendClient, ClientOptions, ExchangeError
from eelgrassweir.daemon.http_message import HttpRequest
from eelgrassweir.proto.control_pb2 import Member
from eelgrassweir.settings.mesh_generated import MeshSettings
from testing.mesh.fleet import make_mesh_settings
from testing.soak.backend import SoakBackend
from testing.soak.checks import DrainAnnouncement
from testing.stand_ins.platform_store import PlatformStoreStandIn
from testing.stand_ins.tcp_proxy import TcpProxy

HEARTBEAT_INTERVAL_S = 0.5
# Long enough that faults happen while requests are running.
RUN_DURATION_S = 0.05
HEARTBEAT_TIMEOUT_MS = 400.0
DEREGISTRATION_ATTEMPTS = 6
MEMBERS_PREFIX = "members/"
DOMAINS = ("a", "b")


class ProxiedLinksStore(PlatformStoreStandIn):
    """Store in which members have the addresses of their links' proxies."""

    def __init__(self) -> None:
        super().__init__()
        self.proxy_by_address: dict[str, str] = {}

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item; a member gets the proxy as its link address."""
        if key.startswith(MEMBERS_PREFIX):
            member = Member.FromString(value)
            address = self.proxy_by_address.get(member.link_address)
            member.link_address = address or member.link_address
            value = member.SerializeToString(deterministic=True)
        return super().put(key, value, lease)


@attrs.define(eq=False)
class Node:
    """One daemon process and its local backend server."""

    settings: MeshSettings
    backend: SoakBackend
    directory: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    log_start_bytes: int = 0

    @property
    def name(self) -> str:
        """Return the name of the VM."""
        return self.settings.vm

    @property
    def log_path(self) -> pathlib.Path:
        """Return the log file, which all processes of the node append to."""
        return self.directory / f"{self.name}.log"

    def has_logged_start(self) -> bool:
        """Return whether the current process has logged its start."""
        with self.log_path.open("rb") as log:
            log.seek(self.log_start_bytes)
            return b"daemon:start" in log.read()

    async def start(self) -> None:
        """Start the daemon; it appends to the log file."""
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(attrs.asdict(self.settings)))
        with self.log_path.open("ab") as log:
            self.log_start_bytes = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "eelgrassweir.mesh"),
                env=os.environ | {"EELGRASSWEIR_BOOT": str(path), "PYTHONPATH": "src"},
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the daemon if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def stop(self, signal_number: int) -> int:
        """Send a signal, wait for the daemon's exit and return its status.

        A paused daemon is resumed first.
        """
        assert self.process is not None
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal_number)
        return await self.process.wait()


class SoakFleet:
    """The store, the proxies and the nodes of one soak."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.store = ProxiedLinksStore()
        self.proxy = TcpProxy()
        self.nodes: list[Node] = []
        self.addresses: dict[str, str] = {}
        self.drain_announcements: list[DrainAnnouncement] = []
        self._directory = directory
        self._heartbeat_tasks: list[asyncio.Task[None]] = []

    async def start(self, services: list[str]) -> None:
        """Start one node for each of ``services``, which may repeat."""
        self.proxy.__enter__()
        store_address = await self.store.start()
        for index, service in enumerate(services):
            vm = f"vm-{index}"
            backend = SoakBackend(
                service, f"i-{index}", slots=20, delay_s=RUN_DURATION_S
            )
            await backend.start()
            backend.address = self.proxy.listen(f"{vm}/backend", backend.address)
            settings = attrs.evolve(
                make_mesh_settings(vm, service, backend.address),
                failure_domain=DOMAINS[index % len(DOMAINS)],
                failure_domains=DOMAINS,
                store_address=self.proxy.listen(f"{vm}/store", store_address),
                quota_slack_calls=20,
            )
            proxy_address = self.proxy.listen(f"{vm}/link", settings.link_address)
            self.store.proxy_by_address[settings.link_address] = proxy_address
            self.addresses[vm] = self.proxy.listen(
                f"{vm}/callers", settings.callers_address
            )
            node = Node(settings, backend, self._directory)
            self.nodes.append(node)
            await node.start()
            self._heartbeat_tasks.append(
                asyncio.create_task(self._send_heartbeats(node))
            )

    async def stop(self) -> None:
        """Kill the daemons, then stop the servers, store and proxies."""
        for task in self._heartbeat_tasks:
            task.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                await node.stop(signal.SIGKILL)
            assert node.backend.server is not None
            await node.backend.server.stop()
        await self.store.stop()
        await asyncio.to_thread(self.proxy.close)

    async def _send_heartbeats(self, node: Node) -> None:
        """Send heartbeats to a daemon; those that fail are not repeated."""
        while True:
            backend = node.backend
            instance, state = backend.instance, backend.state
            if state != "deregistered":
                heartbeat = backend.make_next_heartbeat()
                is_acknowledged = await self.send_control_message(node, heartbeat)
                if state == "draining" and is_acknowledged:
                    self._record_drain(instance)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def deregister_backend(self, node: Node) -> None:
        """Send deregistrations until one is acknowledged or time runs out."""
        instance, message = node.backend.instance, node.backend.make_deregistration()
        for _ in range(DEREGISTRATION_ATTEMPTS):
            if await self.send_control_message(node, message):
                self._record_drain(instance)
                return
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_control_message(self, node: Node, message: HttpRequest) -> bool:
        """Send a message to a daemon; return whether it acknowledged it."""
        client = BackendClient(
            node.settings.control_address,
            clock=Clock(),
            body_limit_bytes=100_000,
            options=ClientOptions(connect_timeout_ms=200, min_idle_ms=0),
        )
        try:
            response = await client.exchange(message, timeout_ms=HEARTBEAT_TIMEOUT_MS)
        except (ExchangeError, OSError):
            return False
        finally:
            client.close()
        return response.status == 200

    def _record_drain(self, instance: str) -> None:
        if all(
            announcement.instance != instance
            for announcement in self.drain_announcements
        ):
            self.drain_announcements.append(
                DrainAnnouncement(instance=instance, announced_s=time.monotonic())
            )

    async def read_dump(self, node: Node) -> dict[str, Any]:
        """Return the dump of one daemon's state."""
        reader, writer = await asyncio.open_connection(
            *node.settings.admin_address.split(":")
        )
        writer.write(b"GET /dump HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        assert b" 200 " in head.splitlines()[0], head
        dump: dict[str, Any] = json.loads(body)
        return dump
