"""Measure the processor time of calls at the daemons of the platform.

Prints the time of each kind of call, and its ratio to a call through a plain
asyncio proxy that is measured in the same run.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence

import attrs
import fire

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_client import BackendClient, ClientOptions, ExchangeError
from eelgrassweir.daemon.http_message import HttpRequest
from eelgrassweir.settings.mesh_generated import MeshSettings
from testing.fleet import ROOT
from testing.mesh.fleet import (
    HOST,
    KEY,
    BackendStandIn,
    find_free_address,
    make_config_document,
    make_mesh_settings,
    make_route,
)
from testing.stand_ins.platform_store import PlatformStoreStandIn

CONNECTIONS = 16
# Calls before each measurement, which open connections and fill caches.
WARM_UP_CALLS = 200
IDLE_S = 2.0
START_LIMIT_S = 20.0
HEARTBEAT_INTERVAL_S = 1.0
TIMEOUT_MS = 60_000
BACKEND_SLOTS = 20
# More than the slots and the queue of a target hold.
FILLING_CALLS = 500
LIMITED_KEY = "key-of-a-limited-team"
URGENT_KEY = "key-of-an-urgent-team"


@attrs.frozen(kw_only=True)
class Case:
    """One kind of call, and the status that answers it."""

    name: str
    path: str
    status: int
    key: str = KEY


PLAIN = Case(name="plain proxy", path="/served/", status=200)
SERVED = Case(name="served", path="/served/", status=200)
REFUSED_AT_ENTRY = (
    Case(name="key unknown", path="/served/", key="other", status=401),
    Case(name="above the rate", path="/served/", key=LIMITED_KEY, status=429),
)
REFUSED_BY_TARGET = Case(name="target full", path="/full/", status=503)
# Its calls keep a target full; the others are refused before them.
FILLING = Case(name="filling", path="/full/", status=200, key=URGENT_KEY)


@attrs.define(eq=False)
class MeasuredProcess:
    """A process whose processor time is read from the system."""

    process: asyncio.subprocess.Process

    @classmethod
    async def start(cls, *arguments: str, settings: str = "") -> "MeasuredProcess":
        """Start a Python process and discard its output."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, *arguments),
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": "src:.", "EELGRASSWEIR_BOOT": settings},
            stdout=asyncio.subprocess.DEVNULL,
        )
        return cls(process)

    def read_cpu_us(self) -> float:
        """Return the processor time used since the start."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        user_ticks, system_ticks = stat.rpartition(")")[2].split()[11:13]
        ticks = int(user_ticks) + int(system_ticks)
        return ticks * 1e6 / os.sysconf("SC_CLK_TCK")

    async def stop(self) -> None:
        """Stop the process and wait until it has ended."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        await self.process.wait()


@attrs.define(eq=False)
class Bench:
    """An entry daemon, two targets and a plain proxy, all as processes."""

    daemons: Sequence[MeasuredProcess]
    entry_address: str
    proxy: MeasuredProcess
    proxy_address: str
    full_backend: BackendStandIn

    async def measure(self, case: Case, calls: int) -> float:
        """Return the processor time of one call in microseconds."""
        is_plain = case is PLAIN
        address = self.proxy_address if is_plain else self.entry_address
        processes = [self.proxy] if is_plain else self.daemons
        await send_calls(address, case, WARM_UP_CALLS)
        before_us = sum(process.read_cpu_us() for process in processes)
        await send_calls(address, case, calls)
        used_us = sum(process.read_cpu_us() for process in processes) - before_us
        return used_us / calls

    async def measure_idle(self) -> float:
        """Return the processor time of one idle second of one daemon."""
        before_us = sum(daemon.read_cpu_us() for daemon in self.daemons)
        await asyncio.sleep(IDLE_S)
        used_us = sum(daemon.read_cpu_us() for daemon in self.daemons) - before_us
        return used_us / len(self.daemons) / IDLE_S

    @contextlib.asynccontextmanager
    async def fill_target(self) -> AsyncIterator[None]:
        """Keep the slots and the queue of one target full."""
        self.full_backend.hold = asyncio.Event()
        filling = [
            asyncio.create_task(exchange(make_client(self.entry_address), FILLING))
            for _ in range(FILLING_CALLS)
        ]
        while not any(task.done() for task in filling):
            await asyncio.sleep(0.01)
        try:
            yield
        finally:
            self.full_backend.hold.set()
            await asyncio.gather(*filling)


@contextlib.asynccontextmanager
async def start_bench(profile_directory: str) -> AsyncIterator[Bench]:
    """Start all processes and wait until calls are served."""
    async with contextlib.AsyncExitStack() as stack:
        directory = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store = PlatformStoreStandIn()
        store_address = await store.start()
        stack.push_async_callback(store.stop)
        store.put("op/config", make_config())
        daemons, addresses, backends = [], [], []
        for number, service in enumerate(("views", "notes", "lists")):
            backend = BackendStandIn(service, f"i-{number}", slots=BACKEND_SLOTS)
            await backend.start()
            assert backend.server is not None
            stack.push_async_callback(backend.server.stop)
            settings = attrs.evolve(
                make_mesh_settings(f"vm-{number}", service, backend.address),
                store_address=store_address,
            )
            daemon = await start_daemon(settings, directory, profile_directory)
            stack.push_async_callback(daemon.stop)
            heartbeats = send_heartbeats(settings.control_address, backend)
            stack.callback(asyncio.create_task(heartbeats).cancel)
            daemons.append(daemon)
            addresses.append(settings.callers_address)
            backends.append(backend)
        proxy_address = find_free_address()
        proxy = await MeasuredProcess.start(
            "-m", "experiments.plain_proxy", proxy_address, backends[1].address
        )
        stack.push_async_callback(proxy.stop)
        for address in (addresses[0], proxy_address):
            await wait_until_served(address)
        yield Bench(
            daemons=daemons,
            entry_address=addresses[0],
            proxy=proxy,
            proxy_address=proxy_address,
            full_backend=backends[2],
        )


async def start_daemon(
    settings: MeshSettings, directory: pathlib.Path, profile_directory: str
) -> MeasuredProcess:
    """Start a daemon, under the profiler if there is a directory for it."""
    path = directory / f"{settings.vm}.json"
    path.write_text(json.dumps(attrs.asdict(settings)))
    arguments = ["-m", "eelgrassweir.mesh"]
    if profile_directory:
        output = f"{profile_directory}/{settings.vm}.prof"
        arguments = ["-m", "cProfile", "-o", output, *arguments]
    return await MeasuredProcess.start(*arguments, settings=str(path))


def make_config() -> bytes:
    """Return a configuration with a limited and an unlimited team."""
    routes = (
        make_route("/served/", "notes", public=False),
        make_route("/full/", "lists", public=False, timeout=TIMEOUT_MS),
    )
    document = json.loads(make_config_document(1, routes))
    document["tenants"] += [
        {"name": "limited", "apiKeys": [LIMITED_KEY], "ratePerS": 0.01, "burst": 1},
        {"name": "urgent", "apiKeys": [URGENT_KEY], "priority": 0},
    ]
    return json.dumps(document).encode()


def make_client(address: str) -> BackendClient:
    """Return a client with one connection at a time."""
    return BackendClient(
        address,
        clock=Clock(),
        body_limit_bytes=100_000,
        options=ClientOptions(min_idle_ms=0, forwards_host=True),
    )


async def exchange(client: BackendClient, case: Case) -> int:
    """Send one call and return the status of its answer."""
    headers = (("Host", HOST), ("X-Request-Id", "r"), ("X-Credential", case.key))
    request = HttpRequest("GET", case.path, headers, b"")
    return (await client.exchange(request, timeout_ms=TIMEOUT_MS)).status


async def send_calls(address: str, case: Case, calls: int) -> None:
    """Send calls over several connections; check most of their statuses."""
    clients = [make_client(address) for _ in range(CONNECTIONS)]

    async def send_share(client: BackendClient) -> int:
        statuses = [
            await exchange(client, case) for _ in range(-(-calls // CONNECTIONS))
        ]
        return statuses.count(case.status)

    expected = sum(await asyncio.gather(*map(send_share, clients)))
    for client in clients:
        client.close()
    if expected < 0.9 * calls:
        sys.exit(f"{case.name}: {expected} of {calls} answers have {case.status}")


async def send_heartbeats(address: str, backend: BackendStandIn) -> None:
    """Announce a backend server to its daemon until cancelled."""
    sequence = 0
    client = make_client(address)
    while True:
        sequence += 1
        # The daemon may not have started yet.
        with contextlib.suppress(ExchangeError):
            heartbeat = backend.make_heartbeat(sequence)
            await client.exchange(heartbeat, timeout_ms=TIMEOUT_MS)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def wait_until_served(address: str) -> None:
    """Wait until a call is served at an address."""
    async with asyncio.timeout(START_LIMIT_S):
        while True:
            with contextlib.suppress(ExchangeError):
                if await exchange(make_client(address), SERVED) == SERVED.status:
                    return
            await asyncio.sleep(0.05)


async def measure_all(calls: int, profile_directory: str) -> dict[str, float]:
    """Return the processor time of each kind of call in microseconds."""
    async with start_bench(profile_directory) as bench:
        cases = (PLAIN, SERVED, *REFUSED_AT_ENTRY)
        costs = {case.name: await bench.measure(case, calls) for case in cases}
        async with bench.fill_target():
            cost_us = await bench.measure(REFUSED_BY_TARGET, calls)
            costs[REFUSED_BY_TARGET.name] = cost_us
        costs["idle second"] = await bench.measure_idle()
        return costs


def format_costs(costs: dict[str, float]) -> list[str]:
    """Return a Markdown table of times and ratios."""
    lines = ["| call | us | to plain proxy | to served |", "| --- | --- | --- | --- |"]
    for name, cost_us in costs.items():
        to_plain = cost_us / costs[PLAIN.name]
        to_served = cost_us / costs[SERVED.name]
        lines.append(f"| {name} | {cost_us:.0f} | {to_plain:.2f} | {to_served:.2f} |")
    return lines


def main(calls: int = 3_000, profile_directory: str = "") -> None:
    """Print the processor time of each kind of call.

    With ``profile_directory`` the daemons write profiles there, which makes
    their calls several times as expensive.
    """
    costs = asyncio.run(measure_all(calls, profile_directory))
    print("\n".join(format_costs(costs)))


if __name__ == "__main__":
    fire.Fire(main)
