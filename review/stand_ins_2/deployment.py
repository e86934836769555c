"""A small deployment: the store, machines with a daemon and a target each."""

import asyncio
import gc
import json
import os
import pathlib
import random
import resource
import signal
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence

import attrs

from review.stand_ins_2.record import Record
from review.stand_ins_2.store_path import StorePath
from review.stand_ins_2.target import Target
from testing.stand_ins.platform_store import PlatformStoreStandIn

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
MEMORY_MB = 300
DESCRIPTORS = 4_100
LIMIT_S = 110.0
PORTS = (12_000, 30_000)
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# Bounds of the site.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
GRACE_S = 6.0


class NotRunError(Exception):
    """The case could not be run."""


# Ports that were given out; daemons bind them later.
_given_ports: set[int] = set()


def find_ports(count: int) -> list[int]:
    """Return free ports, below those that the system gives to connections.

    :raises NotRunError: if there are not enough.
    """
    ports: list[int] = []
    for port in random.sample(range(*PORTS), PORTS[1] - PORTS[0]):
        if port in _given_ports:
            continue
        with socket.socket() as each:
            try:
                each.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        _given_ports.add(port)
        if len(ports) == count:
            return ports
    raise NotRunError("no free ports")


def set_descriptor_limit() -> None:
    """Give a daemon the descriptors of a machine, if this process may."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard == resource.RLIM_INFINITY or hard >= DESCRIPTORS:
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))


@attrs.define(eq=False)
class Machine:
    """A machine with its target and its daemon."""

    record: Record
    folder: pathlib.Path
    name: str
    zone: str
    zones: Sequence[str]
    target: Target
    store_address: str
    ports: dict[str, int] = attrs.field(factory=dict)
    process: asyncio.subprocess.Process | None = None
    # Time of the last start of the daemon.
    started_s: float = 0.0

    def write_settings(self) -> pathlib.Path:
        """Write the settings file, as the template of the deploy file does."""

        def address(name: str) -> str:
            return f"127.0.0.1:{self.ports[name]}"

        settings = {
            "vm": self.name,
            "failure_domain": self.zone,
            "region": "cantabrico",
            "failure_domains": list(self.zones),
            "service": self.target.service,
            "backend_address": f"127.0.0.1:{self.target.port}",
            "callers_address": address("outbound"),
            "control_address": address("control"),
            "ready_address": address("ready"),
            "link_address": address("inbound"),
            "admin_address": address("internal"),
            "drain_ms": "2000",
            "grace_s": "6",
            "revoke_ms": "5000",
            "config_apply_ms": "2000",
            "budget_ratio": "0.2",
            "budget_slack_calls": "49",
            "quota_window_s": "5",
            "quota_overage": "0.1",
            "quota_slack_calls": "20",
            "cold_overage": "",
            "cold_slack_calls": "",
            "evacuation_ms": "",
            "domain_spill": True,
            "call_tree_admission": True,
            "speed_aware_placement": True,
            "store_address": self.store_address,
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        return path

    async def start_daemon(self) -> None:
        """Start the daemon with the command of the deploy file."""
        path = self.write_settings()
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "eelgrassweir.mesh",
            cwd=REPOSITORY,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "EELGRASSWEIR_BOOT": str(path),
                "EELGRASSWEIR_MEMORY_MB": str(MEMORY_MB),
                "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            },
            stdout=log,
            stderr=log,
            preexec_fn=set_descriptor_limit,
        )
        log.close()
        self.started_s = self.record.say(f"{self.name}: the daemon is started")

    async def signal_daemon(self, number: signal.Signals) -> None:
        """Send a signal; wait for the end after SIGKILL."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.record.say(f"{self.name}: the daemon gets {number.name}")
        if number is signal.SIGKILL:
            await self.process.wait()

    async def restart_daemon(self, gap_s: float) -> None:
        """Stop the daemon as in planned work, and start it ``gap_s`` later.

        The platform sends SIGKILL after the grace time.
        """
        assert self.process is not None
        await self.signal_daemon(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                status = await self.process.wait()
            self.record.say(f"{self.name}: the daemon has ended with {status}")
        except TimeoutError:
            await self.signal_daemon(signal.SIGKILL)
        await asyncio.sleep(gap_s)
        await self.start_daemon()

    def read_memory_mb(self) -> float:
        """Return the anonymous memory that the daemon uses, 0 without one."""
        assert self.process is not None
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        try:
            lines = path.read_text().splitlines()
        except OSError:
            return 0.0
        sizes_kib = [line.split()[1] for line in lines if line.startswith("RssAnon")]
        return sum(map(int, sizes_kib)) * 1_024 / 1e6

    async def is_ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ports["ready"]
                )
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


@attrs.define(eq=False)
class Deployment:
    """The machines of a script, their store and the record."""

    record: Record
    folder: pathlib.Path
    zones: Sequence[str]
    store: PlatformStoreStandIn = attrs.field(factory=PlatformStoreStandIn)
    store_address: str = ""
    machines: list[Machine] = attrs.field(factory=list)
    # Paths of the machines to the store, if the case cuts them.
    paths: list[StorePath] = attrs.field(factory=list)
    has_paths: bool = False
    # Fields of the tenant that differ from the defaults.
    tenant: dict[str, object] = attrs.field(factory=dict)

    async def start(self, services: Sequence[str], routes: Sequence[object]) -> None:
        """Start the store and one machine for each service, in turns of zones.

        :raises NotRunError: if the daemons do not become ready.
        """
        self.store_address = await self.store.start()
        self.configure(1, routes)
        for index, service in enumerate(services):
            await self._add_machine(index, service)
        await self.wait_until_ready()

    async def _add_machine(self, index: int, service: str) -> None:
        names = ("outbound", "control", "ready", "inbound", "internal", "target")
        ports = dict(zip(names, find_ports(len(names)), strict=True))
        zone = self.zones[index % len(self.zones)]
        target = Target(
            self.record,
            service=service,
            zone=zone,
            instance=f"i-{index}",
            port=ports["target"],
        )
        machine = Machine(
            record=self.record,
            folder=self.folder,
            name=f"sidecar-{zone}-{index}",
            zone=zone,
            zones=self.zones,
            target=target,
            store_address=await self._open_path(),
            ports=ports,
        )
        self.machines.append(machine)
        await target.start(ports["control"])
        await machine.start_daemon()

    async def _open_path(self) -> str:
        """Return the address at which the next machine reaches the store."""
        if not self.has_paths:
            return self.store_address
        (port,) = find_ports(1)
        path = StorePath(port, self.store_address)
        await path.open()
        self.paths.append(path)
        return f"127.0.0.1:{port}"

    async def wait_until_ready(self, limit_s: float = 20.0) -> None:
        """Wait until all daemons are ready and their entries are stored.

        :raises NotRunError: if that takes too long.
        """
        end_s = self.record.now_s() + limit_s
        while True:
            ready = [await machine.is_ready() for machine in self.machines]
            entries = [key for key in self.store.items if key.startswith("members/")]
            if all(ready) and len(entries) == len(self.machines):
                return
            if self.record.now_s() > end_s:
                raise NotRunError("the daemons do not become ready")
            await asyncio.sleep(0.1)

    def configure(self, version: int, routes: Sequence[object]) -> None:
        """Write a configuration to the store, as the operator does."""
        services = sorted({service for service in _list_services(routes)})
        document = {
            "version": version,
            "routes": list(routes),
            "services": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "connectionLimit": 748,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "headerBytes": 16_384,
                "bodyBytes": 67_108_864,
                "headerTimeout": 3_000,
                "idleTimeout": 15_000,
            },
            "tenants": [
                {
                    "name": "pulo780",
                    "apiKeys": ["6wsjnbanfqasnmgkcuyj"],
                    "priority": 1,
                    "ratePerS": 0,
                    "burst": 0,
                }
                | self.tenant
            ],
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.record.say(f"the operator has written version {version}")

    async def stop(self) -> None:
        """End all that was started."""
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
            await machine.target.stop()
        for path in self.paths:
            path.cut()
        await self.store.stop()


def _list_services(routes: Sequence[object]) -> list[str]:
    names = []
    for route in routes:
        assert isinstance(route, dict)
        names.append(str(route["service"]))
    return names


def make_route(name: str, service: str, kind: str = "safe") -> dict[str, object]:
    """Return a route of a configuration; its prefix is its name."""
    return {
        "name": name,
        "host": "hulo84.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout": 2_000,
        "objective": 1_500,
        "priority": 2,
        "service": service,
        "attempts": 2,
        "public": False,
    }


Case = Callable[[Deployment, bool], Awaitable[bool]]


def run_case(folder: pathlib.Path, zones: Sequence[str], case: Case) -> int:
    """Run a case and return the status of the script.

    ``case`` returns whether the rule was broken; it gets the deployment, and
    whether the disruption is to take place.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.say(f"TROUBLE={int(has_trouble)}")
    status = EXIT_NOT_RUN
    try:
        status = asyncio.run(_run(record, zones, case, has_trouble))
    except (NotRunError, TimeoutError, OSError) as error:
        record.say(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        record.save()
    return status


async def _run(
    record: Record, zones: Sequence[str], case: Case, has_trouble: bool
) -> int:
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(record, pathlib.Path(name), zones)
        try:
            async with asyncio.timeout(LIMIT_S):
                is_broken = await case(deployment, has_trouble)
        finally:
            await deployment.stop()
            # Connections must be freed before their event loop ends.
            gc.collect()
            await asyncio.sleep(0.1)
            _keep_logs(pathlib.Path(name))
    record.say("the rule was broken" if is_broken else "the rule held")
    return EXIT_BROKEN if is_broken else EXIT_HELD


def _keep_logs(folder: pathlib.Path) -> None:
    """Copy the logs of the daemons to a folder that the caller names."""
    kept = os.environ.get("KEEP_LOGS")
    if not kept:
        return
    for path in folder.glob("*.log"):
        (pathlib.Path(kept) / path.name).write_bytes(path.read_bytes())
