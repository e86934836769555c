"""Guard against runs for callers that left while a daemon was stopped.

Daemons are real processes, stopped and continued by signals. A daemon whose
processor is behind also reads requests and their ends late.
"""

import asyncio
import contextlib
import pathlib
import signal
from collections.abc import AsyncIterator, Sequence

import attrs
import pytest

from eelgrassweir.daemon.address import split_address
from testing.deploy.site import exchange
from testing.mesh.daemon_process import DaemonProcess, run_daemon_process
from testing.mesh.fleet import (
    HOST,
    BackendStandIn,
    make_config_document,
    make_mesh_settings,
    make_route,
    wait_until,
)
from testing.stand_ins.platform_store import PlatformStoreStandIn

CALLERS = 150
REQUEST = f"GET /a/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r\r\n\r\n".encode()
TIMEOUT_MS = 2_000.0
# Shorter than the silence after which a link is given up.
STEP_S = 0.2
SETTLE_S = 1.0

Caller = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@attrs.define(eq=False, kw_only=True)
class PausedFleet:
    """An entry daemon and the daemon beside a backend server."""

    entry: DaemonProcess
    target: DaemonProcess
    backend: BackendStandIn

    async def open_callers(self) -> Sequence[Caller]:
        """Return connections of callers to the entry that are in use."""
        host, port = split_address(self.entry.settings.callers_address)
        callers = [await asyncio.open_connection(host, port) for _ in range(CALLERS)]
        for reader, writer in callers:
            writer.write(REQUEST)
            answer = await reader.readuntil(b"\r\n")
            assert b" 200 " in answer
        self.backend.runs.clear()
        return callers


@contextlib.asynccontextmanager
async def run_fleet(folder: pathlib.Path) -> AsyncIterator[PausedFleet]:
    """Run two daemons until the entry reaches the backend server."""
    async with contextlib.AsyncExitStack() as stack:
        store = PlatformStoreStandIn()
        store_address = await store.start()
        stack.push_async_callback(store.stop)
        backend = BackendStandIn("notes", "i-1", slots=2 * CALLERS)
        await backend.start()
        assert backend.server is not None
        stack.push_async_callback(backend.server.stop)
        daemons = []
        for number, service in enumerate(("lists", "notes")):
            settings = make_mesh_settings(f"vm-{number}", service, backend.address)
            settings = attrs.evolve(settings, store_address=store_address)
            running = run_daemon_process(
                settings, folder, stdout=asyncio.subprocess.DEVNULL
            )
            daemons.append(await stack.enter_async_context(running))
        entry, target = daemons
        store.put("op/config", make_config_document(1, (make_route("/a/", "notes"),)))
        await target.wait_until_answering()
        heartbeat = backend.make_heartbeat()
        await exchange(target.settings.control_address, heartbeat, TIMEOUT_MS)
        await entry.wait_until_answering()
        yield PausedFleet(entry=entry, target=target, backend=backend)


async def wait_until_served(fleet: PausedFleet) -> None:
    """Wait until the entry knows the target."""
    host, port = split_address(fleet.entry.settings.callers_address)
    async with asyncio.timeout(10.0):
        while not fleet.backend.runs:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(REQUEST)
            await reader.readuntil(b"\r\n")
            writer.close()
            await asyncio.sleep(0.05)


@pytest.mark.processes
@pytest.mark.parametrize("paused", ["entry", "target"])
def test_requests_of_callers_that_left_during_a_pause_do_not_run(
    tmp_path: pathlib.Path, paused: str
) -> None:
    """Guard against work behind closes and cancels that waited unread."""

    async def scenario() -> int:
        async with run_fleet(tmp_path) as fleet:
            await wait_until_served(fleet)
            callers = await fleet.open_callers()
            daemon: DaemonProcess = getattr(fleet, paused)
            daemon.process.send_signal(signal.SIGSTOP)
            for _, writer in callers:
                writer.write(REQUEST)
            await asyncio.sleep(STEP_S)
            for _, writer in callers:
                writer.close()
            await asyncio.sleep(STEP_S)
            daemon.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(SETTLE_S)
            return len(fleet.backend.runs)

    assert asyncio.run(scenario()) == 0


@pytest.mark.processes
def test_requests_read_after_a_pause_are_answered(tmp_path: pathlib.Path) -> None:
    """Guard against requests that are dropped though their callers wait."""

    async def scenario() -> None:
        async with run_fleet(tmp_path) as fleet:
            await wait_until_served(fleet)
            callers = await fleet.open_callers()
            fleet.target.process.send_signal(signal.SIGSTOP)
            for _, writer in callers:
                writer.write(REQUEST)
            await asyncio.sleep(STEP_S)
            fleet.target.process.send_signal(signal.SIGCONT)
            await wait_until(lambda: len(fleet.backend.runs) == CALLERS)
            for _, writer in callers:
                writer.close()

    asyncio.run(scenario())
