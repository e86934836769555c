"""A small deployment: daemons as processes, and the stand-ins around them."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from stand_ins.http1 import Message, encode, request
from stand_ins.store import Store
from stand_ins.target import Run, Target

ROOT = pathlib.Path(__file__).parents[2]
# Bounds of the small sites: sites/umgeni-rota.toml.
BOUNDS = {
    "drain": 2000,
    "gracePeriod": 6,
    "revoke": 5000,
    "configApply": 2000,
    "budgetRatio": 0.2,
    "budgetSlack": 50,
    "quotaWindow": 5,
    "quotaOverage": 0.1,
    "quotaSlack": 20,
}
LIMITS = {
    "headerBytes": 16_384,
    "bodyBytes": 67_108_864,
    "headerTimeout": 3_000,
    "idleTimeout": 15_000,
}
# Variables of the caller that the platform passes on.
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
# Traffic starts this long after the machines.
LEAD_S = 10.0
FIRST_PORT, END_PORT = 12_000, 32_000
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """Write what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write one line with the time since the start of the script."""
        at_s = time.monotonic() - self._start_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:9.3f} {event} {text}\n")

    def write_runs(self, runs: list[Run]) -> None:
        """Write one line for each run, in order of their starts."""
        for run in sorted(runs, key=lambda run: run.started_s):
            started_s = run.started_s - self._start_s
            ended_s = run.ended_s - self._start_s if run.ended_s else -1.0
            self._file.write(
                f"{started_s:9.3f} run id={run.request_id} target={run.target}"
                f" tenant={run.tenant} ended={ended_s:.3f}"
                f" complete={run.is_complete}\n"
            )

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()


@dataclass
class Machine:
    """One VM: its daemon process and its backend server."""

    name: str
    zone: str
    service: str
    fields: dict[str, Any]
    target: Target
    process: subprocess.Popen[bytes] | None = None

    @property
    def outbound(self) -> str:
        """Return the address to which the clients of this VM send."""
        return str(self.fields["listen"]["outbound"])


@dataclass
class Deployment:
    """The store, the machines and their clients' configuration."""

    record: Record
    zones: list[str]
    folder: pathlib.Path
    machines: list[Machine] = field(default_factory=list)
    store: Store = field(default_factory=Store)
    version: int = 0
    _reserved: list[socket.socket] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.store_address = self._reserve_address()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["daemon"]
        self._template = (ROOT / self._role["template"]).read_text()

    def _reserve_address(self) -> str:
        """Return a loopback address with a free port, kept until the start.

        The port is below those that the system gives to outgoing connections.
        """
        while True:
            reserved = socket.socket()
            port = random.randrange(FIRST_PORT, END_PORT)
            try:
                reserved.bind(("127.0.0.1", port))
            except OSError:
                reserved.close()
                continue
            self._reserved.append(reserved)
            return f"127.0.0.1:{port}"

    def add_machine(
        self, zone: str, service: str, get_work_s: Callable[[], float], **target: Any
    ) -> Machine:
        """Add a machine with a backend server that works so long."""
        number = sum(machine.zone == zone for machine in self.machines) + 1
        name = f"sidecar-{zone}-{number}"
        app_address = self._reserve_address()
        listen = {
            purpose: self._reserve_address()
            for purpose in ("inbound", "outbound", "ready", "control")
        }
        admin_port = int(self._reserve_address().rpartition(":")[2])
        fields = {
            "nodeName": name,
            "zone": zone,
            "region": "region-1",
            "zones": dict.fromkeys(self.zones, "region-1"),
            "service": service,
            "appAddress": app_address,
            "ip": "127.0.0.1",
            "internalPorts": [admin_port, admin_port],
            "listen": listen,
            "platform": {"address": self.store_address},
            "bounds": BOUNDS,
        }
        machine = Machine(
            name,
            zone,
            service,
            fields,
            Target(
                f"i-{name}",
                service,
                zone,
                app_address,
                listen["control"],
                get_work_s,
                **target,
            ),
        )
        self.machines.append(machine)
        return machine

    async def start(self) -> None:
        """Start the store, the daemons and the backend servers.

        :raises NotRun: if a daemon is not ready in time.
        """
        if not (ROOT / "target/deps").is_dir():
            raise NotRun("the build of the deploy file is missing")
        for reserved in self._reserved:
            reserved.close()
        await self.store.start(self.store_address)
        for machine in self.machines:
            self.start_daemon(machine)
            await machine.target.start()
        started_s = time.monotonic()
        while not all([await self._is_ready(machine) for machine in self.machines]):
            if time.monotonic() - started_s > 3 * LEAD_S:
                raise NotRun(f"not all daemons are ready: {self._describe_ends()}")
            await asyncio.sleep(0.2)
        await asyncio.sleep(max(0.0, LEAD_S - (time.monotonic() - started_s)))

    def _describe_ends(self) -> str:
        """Return the last log lines of the daemons that have ended."""
        lines = [
            (self.folder / f"{machine.name}.log").read_text()[-200:]
            for machine in self.machines
            if machine.process is not None and machine.process.poll() is not None
        ]
        return "; ".join(lines) or "none has ended"

    def start_daemon(self, machine: Machine) -> None:
        """Start the daemon of a machine as the deploy file says."""
        settings = self.folder / f"{machine.name}.json"
        settings.write_text(render(self._template, machine.fields))
        variables = {
            name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ
        }
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                self._role["run"].split(" "),
                cwd=ROOT,
                env=variables
                | {
                    "EELGRASSWEIR_BOOT": str(settings),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                },
                stdout=log,
                stderr=log,
            )

    async def _is_ready(self, machine: Machine) -> bool:
        headers = [("Host", "ready")]
        message = encode("GET /-/readiness HTTP/1.1", headers)
        response = await request(machine.fields["listen"]["ready"], message)
        return response is not None and response.status == 200

    def configure(
        self, routes: list[dict[str, Any]], tenants: list[dict[str, Any]]
    ) -> None:
        """Write a configuration as the operator does."""
        self.version += 1
        services = sorted({machine.service for machine in self.machines})
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "connectionLimit": 1000,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": LIMITS,
            "tenants": tenants,
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.record.write("config", version=self.version, tenants=tenants)

    @property
    def runs(self) -> list[Run]:
        """Return the runs of all targets."""
        return [run for machine in self.machines for run in machine.target.runs]

    def stop(self) -> None:
        """Kill the daemons and stop the stand-ins."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
        for machine in self.machines:
            if hasattr(machine.target, "_server"):
                machine.target.stop()
        self.store.stop()


def make_route(
    prefix: str, kind: str, service: str, timeout_ms: int, **changes: Any
) -> dict[str, Any]:
    """Return a route of the configuration."""
    route = {
        "name": f"r-{prefix.strip('/')}",
        "host": "slips.example",
        "prefix": prefix,
        "kind": kind,
        "timeout": timeout_ms,
        "objective": 1_500,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
    }
    return route | changes


def make_request(
    method: str, path: str, request_id: str, deadline_ms: int, key: str, body: bytes
) -> bytes:
    """Return the bytes of a client's request."""
    headers = [
        ("Host", "slips.example"),
        ("X-Request-Id", request_id),
        ("X-Deadline-Milliseconds", str(deadline_ms)),
        ("X-Credential", key),
    ]
    return encode(f"{method} {path} HTTP/1.1", headers, body)


def is_success(response: Message | None) -> bool:
    """Return whether a client counts a response as a success."""
    if response is None or response.status // 100 != 2:
        return False
    return response.header("x-response-signature") is not None


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the settings template as DEPLOY.md tells."""

    def look_up(path: str) -> Any:
        value: Any = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def render_section(match: re.Match[str]) -> str:
        keys = list(look_up(match[1]))
        parts = []
        for index, key in enumerate(keys):
            comma = "," if index < len(keys) - 1 else ""
            parts.append(match[2].replace("{{@}}", key).replace("{{,}}", comma))
        return "".join(parts)

    def render_value(match: re.Match[str]) -> str:
        value = look_up(match[1])
        return json.dumps(value) if match[2] else str(value)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", render_section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", render_value, text)


def run_case(
    folder: pathlib.Path,
    play: Callable[[Record, pathlib.Path, bool], Any],
    limit_s: float = 110.0,
) -> int:
    """Play a case and return the exit status of its script.

    ``play`` is a coroutine function that returns whether the rule held. It is
    called with the record, a temporary folder and whether there is trouble.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write("begin", trouble=int(has_trouble))
    try:
        with tempfile.TemporaryDirectory() as temporary:

            async def play_in_time() -> bool:
                async with asyncio.timeout(limit_s):
                    held = await play(record, pathlib.Path(temporary), has_trouble)
                    return bool(held)

            held = asyncio.run(play_in_time())
    except (NotRun, OSError, TimeoutError) as error:
        record.write("not_run", reason=repr(error))
        print(f"not run: {error!r}")
        return EXIT_NOT_RUN
    finally:
        record.close()
    print("held" if held else "broken")
    return EXIT_HELD if held else EXIT_BROKEN
