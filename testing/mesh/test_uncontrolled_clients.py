"""Guard against clients outside all limits that end or block a daemon.

The daemons are processes, told that they have MEMORY_MB, with which their pool
of messages in progress has 16 MiB, and with few descriptors.
"""

import asyncio
import contextlib
import functools
import json
import pathlib
import resource
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import pytest

from eelgrassweir.daemon.http_message import HttpRequest
from eelgrassweir.settings.mesh_generated import MeshSettings
from testing.deploy.site import exchange, make_request
from testing.mesh.client_crowd import Attack, make_attacks
from testing.mesh.crowd_check import (
    ANSWER_LIMIT_S,
    DESCRIPTORS,
    check_crowd,
    is_linked,
    wait_until_true,
)
from testing.mesh.daemon_process import DaemonProcess, run_daemon_process
from testing.mesh.fleet import (
    BackendStandIn,
    make_config_document,
    make_mesh_settings,
    make_route,
)
from testing.stand_ins.platform_store import PlatformStoreStandIn

MEMORY_MB = 110
HEAD_BYTES = 131_072
# On the other listeners, heads may have 32 KiB.
OTHER_HEAD_BYTES = 32_768

Probe = Callable[[MeshSettings], Awaitable[bool]]


async def is_caller_served(settings: MeshSettings) -> bool:
    """Return whether a request to the backend server is run."""
    request = make_request("/a/1", "ordinary")
    return await exchange(settings.callers_address, request) == 200


async def is_heartbeat_taken(backend: BackendStandIn, settings: MeshSettings) -> bool:
    """Return whether a heartbeat of the backend server is acknowledged."""
    heartbeat = backend.make_heartbeat(2)
    return await exchange(settings.control_address, heartbeat) == 200


async def is_ready(settings: MeshSettings) -> bool:
    """Return whether the daemon says that it is ready."""
    question = HttpRequest("GET", "/-/readiness", (), b"")
    return await exchange(settings.ready_address, question) == 200


async def has_metrics(settings: MeshSettings) -> bool:
    """Return whether the metrics are shown."""
    question = HttpRequest("GET", "/metrics", (), b"")
    return await exchange(settings.admin_address, question) == 200


def limit_descriptors() -> None:
    """Limit the descriptors of the process that is about to start."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


@contextlib.asynccontextmanager
async def run_target(
    folder: pathlib.Path, backend: BackendStandIn
) -> AsyncIterator[DaemonProcess]:
    """Run a daemon beside a backend server that serves ``/a/``."""
    store = PlatformStoreStandIn()
    await backend.start()
    settings = make_mesh_settings("vm-0", "notes", backend.address)
    settings = attrs.evolve(settings, store_address=await store.start())
    route = make_route("/a/", "notes", timeout=5_000)
    document = json.loads(make_config_document(1, [route]))
    document["limits"]["headerBytes"] = HEAD_BYTES
    store.put("op/config", json.dumps(document).encode())
    assert backend.server is not None
    try:
        async with run_daemon_process(
            settings,
            folder,
            environment={"EELGRASSWEIR_MEMORY_MB": str(MEMORY_MB)},
            stdout=asyncio.subprocess.DEVNULL,
            preexec_fn=limit_descriptors,
        ) as daemon:
            await daemon.wait_until_answering(ANSWER_LIMIT_S)
            heartbeat = functools.partial(
                exchange, settings.control_address, backend.make_heartbeat()
            )
            assert await heartbeat() == 200
            await wait_until_true(lambda: is_caller_served(settings))
            yield daemon
    finally:
        await backend.server.stop()
        await store.stop()


@pytest.mark.processes
@pytest.mark.parametrize("form", make_attacks(HEAD_BYTES - 1_000), ids=lambda f: f.name)
def test_callers_outside_the_limits(tmp_path: pathlib.Path, form: Attack) -> None:
    """Guard against callers whose heads fill the memory of the daemon."""

    async def scenario() -> None:
        backend = BackendStandIn("notes", "i-0")
        async with run_target(tmp_path, backend) as daemon:
            address = daemon.settings.callers_address
            probe = functools.partial(is_caller_served, daemon.settings)
            await check_crowd(daemon.process.pid, address, form, probe)
            assert daemon.process.returncode is None

    asyncio.run(scenario())


@pytest.mark.processes
@pytest.mark.parametrize(
    "form", make_attacks(OTHER_HEAD_BYTES - 1_000), ids=lambda f: f.name
)
@pytest.mark.parametrize("purpose", ["link", "control", "ready", "admin"])
def test_other_clients_outside_the_limits(
    tmp_path: pathlib.Path, purpose: str, form: Attack
) -> None:
    """Guard against clients of the other listeners that end the daemon."""

    async def scenario() -> None:
        backend = BackendStandIn("notes", "i-0")
        probes: dict[str, Probe] = {
            "link": lambda settings: is_linked(settings.link_address),
            "control": functools.partial(is_heartbeat_taken, backend),
            "ready": is_ready,
            "admin": has_metrics,
        }
        async with run_target(tmp_path, backend) as daemon:
            address = getattr(daemon.settings, f"{purpose}_address")
            probe = functools.partial(probes[purpose], daemon.settings)
            await check_crowd(daemon.process.pid, address, form, probe)
            assert daemon.process.returncode is None
            assert await is_caller_served(daemon.settings)

    asyncio.run(scenario())
