"""Run daemons and stand-ins as processes, inject faults and read their state.

The system tests in ``testing.promises`` and the experiments use it.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

import attrs
import urllib3

from testing.ports import reserve_port
from testing.shapes import ServiceShape, Shape
from testing.stand_ins.tcp_proxy import TcpProxy

ROOT = pathlib.Path(__file__).resolve().parents[1]
START_TIMEOUT_MS = 20_000.0
STOP_TIMEOUT_MS = 5_000.0


class FleetError(Exception):
    """Report that a fleet did not reach a state in time or that it failed."""


@attrs.define(eq=False)
class Vm:
    """One VM: its daemon, its backend server, their settings and addresses."""

    name: str
    failure_domain: str
    service: ServiceShape
    settings: dict[str, Any]
    spec: dict[str, Any]
    daemon: subprocess.Popen[bytes] | None = None
    backend: subprocess.Popen[bytes] | None = None

    @property
    def ingress_address(self) -> str:
        """Return the address for callers."""
        return str(self.settings["ingress_address"])

    @property
    def admin_address(self) -> str:
        """Return the address for operators."""
        return str(self.settings["admin_address"])

    @property
    def backend_address(self) -> str:
        """Return the address of the backend server."""
        return f"127.0.0.1:{self.spec['port']}"


def wait_until(
    check: Callable[[], Any], timeout_ms: float, description: str = ""
) -> Any:
    """Poll ``check`` until it returns a true value, and return that value.

    Raise ``FleetError`` with ``description`` after ``timeout_ms``.
    """
    end_s = time.monotonic() + timeout_ms / 1000
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() > end_s:
            raise FleetError(f"not within {timeout_ms:.0f} ms: {description or check}")
        time.sleep(0.02)


class Fleet:
    """Run the processes of one shape; a context manager.

    With ``proxied``, the link and control listeners of each daemon are behind
    a TCP proxy, whose listeners are named ``VM/link`` and ``VM/control``.
    With ``fully_proxied``, the ingress listeners, the backend servers and the
    store are behind it as well, as ``VM/ingress``, ``VM/backend`` and
    ``store``.
    With ``store_proxied``, which needs one of these two, each daemon reaches
    the store through its own proxy listener ``VM/store``.
    With ``keep_runs``, the backend servers write the starts of requests to
    files.
    """

    def __init__(
        self,
        shape: Shape,
        directory: pathlib.Path,
        *,
        proxied: bool = False,
        fully_proxied: bool = False,
        store_proxied: bool = False,
        seed: int = 1,
        settings: dict[str, Any] | None = None,
        spec: dict[str, Any] | None = None,
        environment: dict[str, str] | None = None,
        keep_runs: bool = False,
    ) -> None:
        self.shape = shape
        self.directory = directory
        self.seed = seed
        self.proxy = TcpProxy() if proxied or fully_proxied else None
        self._fully_proxied = fully_proxied
        self._proxies: dict[str, str] = {}
        self._store_proxied = store_proxied
        self.vms: dict[str, Vm] = {}
        self.store: subprocess.Popen[bytes] | None = None
        self.store_url = ""
        self._settings = settings or {}
        self._spec = spec or {}
        self._environment = environment or {}
        # Runs in files survive a killed backend server, so they count as well.
        self.keeps_runs = keep_runs
        self._reservations: list[socket.socket] = []
        self._http = urllib3.PoolManager(retries=False, num_pools=200)

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_exc: object) -> None:
        self.close()

    def start(self) -> None:
        """Start the store, write the configuration and start all VMs."""
        self.directory.mkdir(parents=True, exist_ok=True)
        # An earlier fleet may have left its runs in the same directory.
        for path in self.directory.glob("*.runs"):
            path.unlink()
        if self.proxy is not None:
            self.proxy.__enter__()
        self.start_store()
        self.write_document(self.shape.document())
        for position, (name, domain, service) in enumerate(self.shape.vms()):
            self.vms[name] = self._make_vm(name, domain, service, position)
        for vm in self.vms.values():
            self.start_vm(vm.name)

    def close(self) -> None:
        """Kill every process that this fleet started, and free its ports."""
        processes = [self.store]
        for vm in self.vms.values():
            processes += [vm.daemon, vm.backend]
        for process in processes:
            if process is not None and process.poll() is None:
                process.kill()
        for process in processes:
            if process is not None:
                process.wait()
        if self.proxy is not None:
            self.proxy.close()
        for reservation in self._reservations:
            reservation.close()
        self._http.clear()

    def start_store(self) -> None:
        """Start the store stand-in, empty, and wait until it listens."""
        if not self.store_url:
            self.store_url = f"http://127.0.0.1:{self._reserve_port()}"
        port = self.store_url.rpartition(":")[2]
        port_file = self.directory / "store.port"
        port_file.unlink(missing_ok=True)
        self.store = self._spawn(
            "store",
            "testing.stand_ins.store",
            "--port",
            port,
            "--port-file",
            str(port_file),
        )
        wait_until(port_file.exists, START_TIMEOUT_MS, "the store listens")

    def write_document(self, document: dict[str, Any], expect_revision: int = 0) -> int:
        """Write the configuration into the store; return its new revision.

        The write is a compare-and-swap against ``expect_revision``, 0 for a
        missing key. Raise ``FleetError`` unless the store accepts it.
        """
        body = {"value": json.dumps(document), "expect_revision": expect_revision}
        url = f"{self.store_url}/v1/kv/config/current"
        response = self._http.request("PUT", url, json=body, timeout=5.0)
        if response.status != 200:
            raise FleetError(
                f"the store refused to write the configuration at revision "
                f"{expect_revision}: status {response.status}"
            )
        return int(response.json()["revision"])

    def read_document(self) -> tuple[dict[str, Any], int]:
        """Return the configuration in the store and its revision."""
        url = f"{self.store_url}/v1/kv/config/current"
        answer = self._http.request("GET", url, timeout=5.0).json()
        return json.loads(answer["value"]), int(answer["revision"])

    def get_store_counts(self) -> dict[str, int]:
        """Return the number of calls to the store so far by kind."""
        url = f"{self.store_url}/stand-in/counts"
        counts: dict[str, int] = self._http.request("GET", url, timeout=5.0).json()
        return counts

    def set_store_faults(self, **faults: Any) -> None:
        """Inject these faults into the store; without any, end all."""
        none = {
            "down": "",
            "delay_ms": 0,
            "lose_answers": 0,
            "stale_reads": 0,
            "watches_stopped": False,
        }
        url = f"{self.store_url}/stand-in/faults"
        body = faults or none
        response = self._http.request("POST", url, json=body, timeout=5.0)
        if response.status != 200:
            raise FleetError(
                f"the store refused the faults {body}: "
                f"{response.status} {response.data!r}"
            )

    def start_vm(self, name: str, *, daemon: bool = True, backend: bool = True) -> None:
        """Start the daemon and the backend server of the VM ``name``."""
        vm = self.vms[name]
        if daemon:
            path = self.directory / f"{name}.json"
            path.write_text(json.dumps(vm.settings))
            vm.daemon = self._spawn(
                name, "eelgrassweir.daemon.main", "--settings", str(path)
            )
        if backend:
            vm.backend = self._spawn(
                f"{name}.backend",
                "testing.stand_ins.backend_server",
                "--spec",
                json.dumps(vm.spec),
            )

    def signal_vm(
        self, name: str, number: int, *, daemon: bool = True, backend: bool = True
    ) -> None:
        """Send a signal to the running processes of the VM ``name``."""
        vm = self.vms[name]
        selection = ((vm.daemon, daemon), (vm.backend, backend))
        for process, is_selected in selection:
            if is_selected and process is not None and process.poll() is None:
                process.send_signal(number)

    def kill(self, name: str, *, daemon: bool = True, backend: bool = True) -> None:
        """Kill the processes of the VM ``name`` and wait for their end."""
        self.signal_vm(name, signal.SIGKILL, daemon=daemon, backend=backend)
        vm = self.vms[name]
        if daemon and vm.daemon is not None:
            vm.daemon.wait()
        if backend and vm.backend is not None:
            vm.backend.wait()

    def pause(self, name: str) -> None:
        """Suspend the processes of the VM ``name`` with SIGSTOP."""
        self.signal_vm(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume the processes of the VM ``name`` with SIGCONT."""
        self.signal_vm(name, signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Start a graceful shutdown of the daemon of ``name`` by SIGTERM."""
        self.signal_vm(name, signal.SIGTERM, backend=False)

    def restart(self, name: str) -> None:
        """Kill the VM ``name`` and start it again at the same addresses."""
        self.kill(name)
        self.start_vm(name)

    def restore_vms(self) -> None:
        """Resume paused processes and start those that have ended."""
        for vm in self.vms.values():
            self.resume(vm.name)
            has_daemon_ended = vm.daemon is None or vm.daemon.poll() is not None
            has_backend_ended = vm.backend is None or vm.backend.poll() is not None
            self.start_vm(vm.name, daemon=has_daemon_ended, backend=has_backend_ended)

    def select_vms(self, *, service: str = "", failure_domain: str = "") -> list[Vm]:
        """Return the VMs of a service, of a failure domain, or of both."""
        return [
            vm
            for vm in self.vms.values()
            if service in ("", vm.service.name)
            and failure_domain in ("", vm.failure_domain)
        ]

    def get_backend_state(self, name: str, *, full: bool = False) -> dict[str, Any]:
        """Return the counts of one backend server.

        With ``full``, also its runs and the values of all request headers.
        """
        query = "?full" if full else ""
        url = f"http://{self.vms[name].backend_address}/stand-in/state{query}"
        state: dict[str, Any] = self._http.request("GET", url, timeout=5.0).json()
        return state

    def read_run_lines(self) -> list[str]:
        """Return one line "METHOD PATH MARKER" for each recorded run."""
        lines: list[str] = []
        for path in self.directory.glob("*.runs"):
            lines += path.read_text().splitlines()
        return lines

    def set_backend(self, name: str, **changes: Any) -> None:
        """Change fields of the spec of one backend server."""
        url = f"http://{self.vms[name].backend_address}/stand-in/set"
        response = self._http.request("POST", url, json=changes, timeout=5.0)
        if response.status != 200:
            raise FleetError(
                f"the backend server of {name} refused the changes {changes}: "
                f"{response.status} {response.data!r}"
            )

    def call(
        self,
        name: str,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> urllib3.BaseHTTPResponse:
        """Send one request to the ingress listener of ``name``."""
        url = f"http://{self.vms[name].ingress_address}{path}"
        return self._http.request(
            method, url, headers=headers, body=body, timeout=timeout_s
        )

    def get_admin_json(self, name: str, path: str, timeout_s: float = 5.0) -> Any:
        """Return the JSON of the admin listener of ``name`` at ``path``."""
        url = f"http://{self.vms[name].admin_address}{path}"
        return self._http.request("GET", url, timeout=timeout_s).json()

    def wait_ready(self, timeout_ms: float = START_TIMEOUT_MS) -> None:
        """Wait until every daemon serves every service.

        Raise ``FleetError`` after ``timeout_ms``, or if a process has ended.
        """
        team = self.shape.teams[0]
        remaining = {(vm, s.name) for vm in self.vms for s in self.shape.services}
        last_probe = ""

        def check() -> bool:
            nonlocal last_probe
            self._check_running()
            for vm, service in sorted(remaining):
                last_probe = f"{vm} -> {service}: {self._probe(vm, service, team.key)}"
                if not last_probe.endswith(": 200"):
                    return False
                remaining.discard((vm, service))
            return True

        try:
            wait_until(check, timeout_ms)
        except FleetError as error:
            raise FleetError(
                f"fleet not ready in {timeout_ms:.0f} ms: {last_probe}"
            ) from error

    def _check_running(self) -> None:
        """Raise ``FleetError`` with the output of a process that has ended."""
        for vm in self.vms.values():
            processes = ((vm.daemon, vm.name), (vm.backend, f"{vm.name}.backend"))
            for process, log_name in processes:
                if process is not None and process.poll() is not None:
                    output = (self.directory / f"{log_name}.out").read_text()
                    raise FleetError(
                        f"{log_name} has ended with status {process.returncode}: "
                        f"{output[-500:]}"
                    )

    def _probe(self, vm: str, service: str, key: str) -> str:
        """Call a service through ``vm``; return "200" or what failed."""
        headers = {"Authorization": f"Bearer {key}", "X-Marker": "ready"}
        try:
            response = self.call(vm, "GET", f"/{service}/view", headers=headers)
        except urllib3.exceptions.HTTPError as error:
            return type(error).__name__
        if response.status == 200:
            return "200"
        return f"{response.status} {response.data[:300]!r}"

    def read_cpu_time_ms(self, name: str) -> float:
        """Return the CPU time of the daemon of ``name``, in ms."""
        process = self.vms[name].daemon
        return 0.0 if process is None else read_cpu_time_ms(process.pid)

    def _make_vm(
        self, name: str, domain: str, service: ServiceShape, position: int
    ) -> Vm:
        listeners = ("ingress", "egress", "link", "control", "admin")
        addresses = {
            f"{listener}_address": f"127.0.0.1:{self._reserve_port()}"
            for listener in listeners
        }
        settings: dict[str, Any] = {
            "vm": name,
            "failure_domain": domain,
            "store_urls": [self._proxied_address("store", self.store_url)],
            "log_path": str(self.directory / f"{name}.log"),
            "seed": self.seed * 1000 + position + 1,
            **addresses,
            **self.shape.settings,
            **self._settings,
        }
        backend_port = self._reserve_port()
        if self.proxy is not None:
            for listener in ("link", "control"):
                settings[f"advertised_{listener}_address"] = self.proxy.listen(
                    f"{name}/{listener}", addresses[f"{listener}_address"]
                )
            if self._store_proxied:
                store = self.store_url.removeprefix("http://")
                address = self.proxy.listen(f"{name}/store", store)
                settings["store_urls"] = [f"http://{address}"]
        spec: dict[str, Any] = {
            "service": service.name,
            "egress_address": addresses["egress_address"],
            "port": backend_port,
            "announced_address": self._proxied_address(
                f"{name}/backend", f"127.0.0.1:{backend_port}"
            ),
            "slots": service.slots,
            "service_ms": service.service_ms,
            "seed": self.seed * 1000 + position + 1,
            "children": self.shape.children(service.name),
            **self._spec,
        }
        if self.keeps_runs:
            spec["runs_path"] = str(self.directory / f"{name}.runs")
        return Vm(name, domain, service, settings, spec)

    def _proxied_address(self, name: str, target: str) -> str:
        """Return the address of the proxy of ``target``, or ``target``."""
        if self.proxy is None or not self._fully_proxied:
            return target
        scheme, separator, address = target.rpartition("://")
        if name not in self._proxies:
            self._proxies[name] = self.proxy.listen(name, address)
        return f"{scheme}{separator}{self._proxies[name]}"

    def get_entry_address(self, name: str) -> str:
        """Return the address for callers, or that of its proxy."""
        return self._proxied_address(f"{name}/ingress", self.vms[name].ingress_address)

    def _reserve_port(self) -> int:
        port, reservation = reserve_port()
        self._reservations.append(reservation)
        return port

    def _spawn(
        self, log_name: str, module: str, *arguments: str
    ) -> subprocess.Popen[bytes]:
        environment = {
            **os.environ,
            **self._environment,
            "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}",
        }
        with (self.directory / f"{log_name}.out").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=self.directory,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )


def read_cpu_time_ms(process_id: int) -> float:
    """Return the user and system CPU time of a process, in ms."""
    fields = pathlib.Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2]
    ticks = sum(int(value) for value in fields.split()[11:13])
    return ticks * 1000 / os.sysconf("SC_CLK_TCK")
