"""Daemons as processes, with a proxy on each connection between parts."""

import asyncio
import contextlib
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
from eelgrassweir.proto.control_pb2 import Member
from eelgrassweir.settings.mesh_generated import MeshSettings
from testing.mesh.fleet import make_mesh_settings
from testing.soak.backend import SoakBackend
from testing.soak.checks import Leave
from testing.stand_ins.platform_store import PlatformStoreStandIn
from testing.stand_ins.tcp_proxy import TcpProxy

BEAT_S = 0.5
# Long enough that faults meet requests at work.
RUN_S = 0.05
BEAT_LIMIT_MS = 400.0
MEMBERS = "members/"
DOMAINS = ("a", "b")


class TranslatingStore(PlatformStoreStandIn):
    """List the proxies of the daemons' links in place of their addresses."""

    def __init__(self) -> None:
        super().__init__()
        self.proxy_by_address: dict[str, str] = {}

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item; entries of daemons name the proxy."""
        if key.startswith(MEMBERS):
            member = Member.FromString(value)
            address = self.proxy_by_address.get(member.link_address)
            member.link_address = address or member.link_address
            value = member.SerializeToString(deterministic=True)
        return super().put(key, value, lease)


@attrs.define(eq=False)
class Node:
    """Hold one daemon process and the backend server beside it."""

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
        """Return the file with the output of all its processes."""
        return self.directory / f"{self.name}.log"

    def has_begun(self) -> bool:
        """Tell whether the present process has logged its start."""
        with self.log_path.open("rb") as log:
            log.seek(self.log_start_bytes)
            return b"daemon:start" in log.read()

    async def start(self) -> None:
        """Start the daemon; its log is kept."""
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(attrs.asdict(self.settings)))
        with self.log_path.open("ab") as log:
            self.log_start_bytes = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "eelgrassweir.mesh.main"),
                env=os.environ | {"EELGRASSWEIR_BOOT": str(path), "PYTHONPATH": "src"},
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Signal the daemon if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: int) -> int:
        """Signal the daemon and wait for its end; return its status."""
        assert self.process is not None
        self.signal(signal.SIGCONT)
        self.signal(number)
        return await self.process.wait()


class SoakFleet:
    """Own the store, the proxies and the nodes."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.store = TranslatingStore()
        self.proxy = TcpProxy()
        self.nodes: list[Node] = []
        self.addresses: dict[str, str] = {}
        self.leaves: list[Leave] = []
        self._directory = directory
        self._beats: list[asyncio.Task[None]] = []

    async def start(self, services: list[str]) -> None:
        """Start a node for each name of a service."""
        self.proxy.__enter__()
        store_address = await self.store.start()
        for index, service in enumerate(services):
            vm = f"vm-{index}"
            backend = SoakBackend(service, f"i-{index}", slots=20, delay_s=RUN_S)
            await backend.start()
            backend.address = self.proxy.listen(f"{vm}/backend", backend.address)
            settings = attrs.evolve(
                make_mesh_settings(vm, service, backend.address),
                failure_domain=DOMAINS[index % len(DOMAINS)],
                failure_domains=DOMAINS,
                store_address=self.proxy.listen(f"{vm}/store", store_address),
                quota_slack_calls=20,
            )
            link = self.proxy.listen(f"{vm}/link", settings.link_address)
            self.store.proxy_by_address[settings.link_address] = link
            self.addresses[vm] = self.proxy.listen(
                f"{vm}/callers", settings.callers_address
            )
            node = Node(settings, backend, self._directory)
            self.nodes.append(node)
            await node.start()
            self._beats.append(asyncio.create_task(self._beat(node)))

    async def stop(self) -> None:
        """End the processes, then everything else."""
        for task in self._beats:
            task.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                await node.end(signal.SIGKILL)
            assert node.backend.server is not None
            await node.backend.server.stop()
        await self.store.stop()
        await asyncio.to_thread(self.proxy.close)

    async def _beat(self, node: Node) -> None:
        """Send heartbeats; a daemon that is away misses them."""
        options = ClientOptions(connect_timeout_ms=200, min_idle_ms=0)
        address = node.settings.control_address
        while True:
            client = BackendClient(
                address, clock=Clock(), body_limit_bytes=100_000, options=options
            )
            backend = node.backend
            instance, state = backend.instance, backend.state
            with contextlib.suppress(ExchangeError, OSError):
                beat = backend.next_beat()
                answer = await client.exchange(beat, timeout_ms=BEAT_LIMIT_MS)
                if state != "ready" and answer.status == 200:
                    self._note_leave(instance)
            client.close()
            await asyncio.sleep(BEAT_S)

    def _note_leave(self, instance: str) -> None:
        if all(leave.instance != instance for leave in self.leaves):
            self.leaves.append(Leave(instance=instance, announced_s=time.monotonic()))

    async def state(self, node: Node) -> dict[str, Any]:
        """Return the dump of one daemon's state."""
        reader, writer = await asyncio.open_connection(
            *node.settings.admin_address.split(":")
        )
        writer.write(b"GET /dump HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        assert b" 200 " in head.splitlines()[0], head
        found: dict[str, Any] = json.loads(body)
        return found
