"""Fakes for the tests of the control plane: store, network and fleet."""

import asyncio
import contextlib
import json
import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import cast

import grpc.aio
from returns.result import Failure, Result, Success

from eelgrassweir.clock import Clock
from eelgrassweir.config.document import (
    ConfigDocument,
    Team,
    dump_document,
)
from eelgrassweir.daemon.control import ControlPlane
from eelgrassweir.daemon.control_client import open_channel
from eelgrassweir.errors import StepError
from eelgrassweir.settings.generated import Settings
from eelgrassweir.store.client import StoreClient, Value

HEARTBEAT_MS = 100
DOMAINS = ("bilbao", "oviedo", "donostia")


class FakeStore:
    """Keep keys and leases in memory; inject faults on request."""

    def __init__(self) -> None:
        self.lock = threading.Condition()
        self.items: dict[str, Value] = {}
        self.modified_revisions: dict[str, int] = {}
        self.leases: dict[str, tuple[int, float]] = {}
        self.lease_by_key: dict[str, str] = {}
        self.revision = 0
        self.is_down = False
        self.lost_put_replies = 0
        self.counts: Counter[str] = Counter()

    def view(self) -> "StoreView":
        """Return a connection of one daemon to the store."""
        return StoreView(self)

    def write(self, key: str, value: str | None) -> int:
        """Set or delete a key; the caller holds the lock."""
        self.revision += 1
        self.modified_revisions[key] = self.revision
        if value is None:
            self.items.pop(key, None)
            self.lease_by_key.pop(key, None)
        else:
            self.items[key] = Value(value=value, revision=self.revision)
        self.lock.notify_all()
        return self.revision

    def expire_leases(self) -> None:
        """Revoke expired leases; the caller holds the lock."""
        now = time.monotonic()
        for lease_id, (_, until) in list(self.leases.items()):
            if now >= until:
                self.revoke_lease(lease_id)

    def revoke_lease(self, lease_id: str) -> None:
        """Delete a lease and its keys; the caller holds the lock."""
        del self.leases[lease_id]
        for key in [
            key for key, owner in self.lease_by_key.items() if owner == lease_id
        ]:
            self.write(key, None)

    def newest_revision(self, prefix: str) -> int:
        """Return the newest revision under a prefix."""
        found = [
            n for key, n in self.modified_revisions.items() if key.startswith(prefix)
        ]
        return max(found, default=0)

    def set_config(self, document: ConfigDocument) -> None:
        """Write the configuration without a compare-and-swap."""
        with self.lock:
            self.write("config/current", dump_document(document).decode())


class StoreView:
    """Store client of one daemon."""

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self.is_cut_off = False

    def _check(self, kind: str) -> StepError | None:
        self._store.counts[kind] += 1
        if self._store.is_down or self.is_cut_off:
            return StepError(f"store {kind}", "store", "no answer")
        self._store.expire_leases()
        return None

    def get(self, key: str) -> Result[Value | None, StepError]:
        """Read one key."""
        with self._store.lock:
            error = self._check("get")
            return Failure(error) if error else Success(self._store.items.get(key))

    def list(self, prefix: str) -> Result[dict[str, Value], StepError]:
        """Read all keys under a prefix."""
        with self._store.lock:
            error = self._check("list")
            items = self._store.items.items()
            found = {key: item for key, item in items if key.startswith(prefix)}
            return Failure(error) if error else Success(found)

    def put(
        self, key: str, value: str, *, expect_revision: int, lease_id: str = ""
    ) -> Result[int | None, StepError]:
        """Write a key if it has the expected revision."""
        store = self._store
        with store.lock:
            error = self._check("put")
            if error:
                return Failure(error)
            known = store.items.get(key)
            if (known.revision if known else 0) != expect_revision:
                return Success(None)
            if lease_id:
                if lease_id not in store.leases:
                    return Failure(StepError("store put", "store", "lease expired"))
                store.lease_by_key[key] = lease_id
            revision = store.write(key, value)
            if store.lost_put_replies > 0:
                store.lost_put_replies -= 1
                return Failure(StepError("store put", "store", "reply lost"))
            return Success(revision)

    def delete(self, key: str, *, expect_revision: int) -> Result[bool, StepError]:
        """Delete a key."""
        with self._store.lock:
            error = self._check("delete")
            if error:
                return Failure(error)
            known = self._store.items.get(key)
            if known is None or known.revision != expect_revision:
                return Success(False)
            self._store.write(key, None)
            return Success(True)

    def grant_lease(self, ttl_ms: int) -> Result[str, StepError]:
        """Grant a lease."""
        with self._store.lock:
            error = self._check("lease")
            if error:
                return Failure(error)
            lease_id = f"lease-{self._store.counts['lease']}"
            until = time.monotonic() + ttl_ms / 1000
            self._store.leases[lease_id] = (ttl_ms, until)
            return Success(lease_id)

    def renew_lease(self, lease_id: str) -> Result[bool, StepError]:
        """Renew a lease."""
        with self._store.lock:
            error = self._check("renew")
            if error:
                return Failure(error)
            if lease_id not in self._store.leases:
                return Success(False)
            ttl_ms, _ = self._store.leases[lease_id]
            until = time.monotonic() + ttl_ms / 1000
            self._store.leases[lease_id] = (ttl_ms, until)
            return Success(True)

    def revoke_lease(self, lease_id: str) -> Result[bool, StepError]:
        """Revoke a lease."""
        with self._store.lock:
            error = self._check("revoke")
            if error:
                return Failure(error)
            if lease_id not in self._store.leases:
                return Success(False)
            self._store.revoke_lease(lease_id)
            return Success(True)

    def watch(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> Result[int, StepError]:
        """Wait for a change under a prefix."""
        with self._store.lock:
            error = self._check("watch")
            if error:
                return Failure(error)
            self._store.lock.wait_for(
                lambda: self._store.newest_revision(prefix) > after_revision,
                wait_ms / 1000,
            )
            return Success(self._store.newest_revision(prefix))


def make_document(version: int, rate_per_s: float = 10.0) -> ConfigDocument:
    """Return a configuration whose one team has a rate by version."""
    team = Team(name="turno", rate_per_s=rate_per_s + version, burst_calls=5)
    return ConfigDocument(
        version=version,
        teams={"turno": team},
        failure_domains=DOMAINS,
        change_ids=tuple(f"change-{number}" for number in range(1, version + 1)),
    )


class Network:
    """Network between groups of daemons, with partitions on request."""

    def __init__(self) -> None:
        self.group_of_address: dict[str, str] = {}
        self.is_blocked: Callable[[str, str], bool] = lambda source, target: False
        self._open: list[tuple[str, str, grpc.aio.Channel]] = []

    def connect(self, source: str, address: str) -> grpc.aio.Channel:
        """Open a channel from a group; to a closed port if blocked."""
        target = self.group_of_address.get(address, "")
        if self.is_blocked(source, target):
            return open_channel("127.0.0.1:1")
        channel = open_channel(address)
        self._open.append((source, target, channel))
        return channel

    async def block(self, is_blocked: Callable[[str, str], bool]) -> None:
        """Block new connections and close those that are open."""
        self.is_blocked = is_blocked
        for source, target, channel in self._open:
            if is_blocked(source, target):
                await channel.close()


class Fleet:
    """Run several control planes on loopback."""

    def __init__(self, seed: int) -> None:
        print(f"seed {seed}")
        self.rng = random.Random(seed)
        self.store = FakeStore()
        self.planes: dict[str, ControlPlane] = {}
        self.views: dict[str, StoreView] = {}
        self.network = Network()
        self._started = 0

    async def start(self, vm: str, domain: str, **changes: object) -> ControlPlane:
        """Start a daemon's control plane."""
        values: dict[str, object] = {
            "vm": vm,
            "failure_domain": domain,
            "store_urls": ("http://127.0.0.1:1",),
            "ingress_address": "127.0.0.1:1",
            "egress_address": "127.0.0.1:1",
            "link_address": "127.0.0.1:1",
            "control_address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:1",
            "beat_ms": HEARTBEAT_MS,
            "lease_ms": 600,
            "isolation_limit_ms": 2000,
            "relays_per_domain_count": 1,
            **changes,
        }
        self._started += 1
        view = self.store.view()
        plane = ControlPlane(
            Settings(**values),  # type: ignore[arg-type]
            clock=Clock(),
            store=cast(StoreClient, view),
            rng=random.Random(self.rng.random()),
            incarnation=f"{vm}-{self._started}",
            started_ms=1_000 + self._started,
            connect=lambda address: self.network.connect(domain, address),
        )
        self.planes[vm], self.views[vm] = plane, view
        await plane.start()
        self.network.group_of_address[plane.address] = domain
        return plane

    async def stop(self) -> None:
        """Stop all control planes."""
        await asyncio.gather(*(plane.stop() for plane in self.planes.values()))

    async def kill(self, vm: str) -> None:
        """Crash a daemon, so that it announces nothing."""
        plane = self.planes.pop(vm)
        await kill_plane(plane)

    async def wait_until(
        self, check: Callable[[], bool], limit_s: float = 15.0
    ) -> None:
        """Wait until ``check`` holds for the fleet."""
        deadline = time.monotonic() + limit_s
        while not check():
            if time.monotonic() > deadline:
                states = [plane.state() for plane in self.planes.values()]
                raise AssertionError(json.dumps(states, indent=1))
            await asyncio.sleep(0.02)


async def kill_plane(plane: ControlPlane) -> None:
    """Cancel the tasks and the server of a plane, as a crash would."""
    tasks = [*plane._tasks, *plane._peers.tasks()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await plane._server.stop(grace=None)


class SilentProxy:
    """Forward connections to a daemon; silence the open ones on request."""

    def __init__(self) -> None:
        self.target = ""
        self.address = ""
        self.connections = 0
        self._silenced: set[int] = set()
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def silence(self) -> None:
        """Stop forwarding on the connections that are open now."""
        self._silenced = set(range(1, self.connections + 1))

    async def stop(self) -> None:
        """Close all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        host, _, port = self.target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self._writers += [writer, target_writer]
        await asyncio.gather(
            self._forward(number, reader, target_writer),
            self._forward(number, target_reader, writer),
        )

    async def _forward(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if number in self._silenced:
                    continue
                writer.write(data)
                await writer.drain()
            if number not in self._silenced:
                writer.close()
