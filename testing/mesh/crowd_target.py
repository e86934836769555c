"""A daemon with little memory beside a backend server, and ordinary requests.

The daemon is a process, told that it has MEMORY_MB, with which its pool of
messages in progress has 16 MiB, and with few descriptors.
"""

import asyncio
import contextlib
import functools
import itertools
import json
import pathlib
import resource
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from eelgrassweir.daemon.http_message import HttpRequest
from eelgrassweir.settings.mesh_generated import MeshSettings
from testing.deploy.site import exchange, make_request
from testing.mesh.crowd_check import (
    ANSWER_LIMIT_S,
    DESCRIPTORS,
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
BODY_BYTES = 4_194_304
HEARTBEAT_INTERVAL_S = 0.5
HEAD_BYTES = 131_072
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


async def send_heartbeats(backend: BackendStandIn, settings: MeshSettings) -> None:
    """Send heartbeats until cancelled; a failed one is not repeated."""
    for sequence in itertools.count(2):
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        await exchange(settings.control_address, backend.make_heartbeat(sequence))


@contextlib.asynccontextmanager
async def run_target(
    folder: pathlib.Path, backend: BackendStandIn, *, beats: bool = False
) -> AsyncIterator[DaemonProcess]:
    """Run a daemon beside a backend server that serves ``/a/``.

    With ``beats`` the backend server sends more than one heartbeat.
    """
    store = PlatformStoreStandIn()
    await backend.start()
    settings = make_mesh_settings("vm-0", "notes", backend.address)
    settings = attrs.evolve(settings, store_address=await store.start())
    route = make_route("/a/", "notes", timeout=5_000)
    document = json.loads(make_config_document(1, [route]))
    document["limits"] |= {"headerBytes": HEAD_BYTES, "bodyBytes": BODY_BYTES}
    store.put("op/config", json.dumps(document).encode())
    assert backend.server is not None
    beating: asyncio.Task[None] | None = None
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
            if beats:
                beating = asyncio.create_task(send_heartbeats(backend, settings))
            yield daemon
    finally:
        if beating is not None:
            beating.cancel()
        await backend.server.stop()
        await store.stop()


def make_probes(backend: BackendStandIn) -> dict[str, Probe]:
    """Return the ordinary request of each other listener by its purpose."""
    return {
        "link": lambda settings: is_linked(settings.link_address),
        "control": functools.partial(is_heartbeat_taken, backend),
        "ready": is_ready,
        "admin": has_metrics,
    }
