"""Guard against clients whose bodies end a daemon or keep it from its callers.

No process may end, each stays within its memory, and ordinary callers are
answered while the crowd is there and after it has left.
"""

import asyncio
import functools
import pathlib

import pytest

from eelgrassweir.daemon.http_message import HttpRequest
from testing.deploy.site import exchange
from testing.mesh.client_crowd import Attack, make_body_attacks
from testing.mesh.crowd_check import check_crowd
from testing.mesh.crowd_target import (
    BODY_BYTES,
    is_caller_served,
    is_heartbeat_taken,
    make_probes,
    run_target,
)
from testing.mesh.fleet import BackendStandIn

# A path of the route that the daemon serves.
PATH = "/a/1"
FORMS = make_body_attacks(PATH, BODY_BYTES)
LONG_BODY_BYTES = 100_000
# The other listeners answer nothing as long as these.
OTHER_FORMS = [
    form for form in FORMS if form.name in ("whole_bodies", "one_byte_chunks")
]


@pytest.mark.processes
@pytest.mark.parametrize("form", FORMS, ids=lambda f: f.name)
def test_callers_with_many_bodies(tmp_path: pathlib.Path, form: Attack) -> None:
    """Guard against callers whose bodies take the memory or all turns."""

    async def scenario() -> None:
        backend = BackendStandIn("notes", "i-0")
        async with run_target(tmp_path, backend, beats=True) as daemon:
            address = daemon.settings.callers_address
            probe = functools.partial(is_caller_served, daemon.settings)
            await check_crowd(
                daemon.process.pid, address, form, probe, answers_during=True
            )
            assert daemon.process.returncode is None

    asyncio.run(scenario())


@pytest.mark.processes
def test_local_listeners_take_no_long_bodies(tmp_path: pathlib.Path) -> None:
    """Guard against bodies that no heartbeat or question has."""

    async def scenario() -> None:
        backend = BackendStandIn("notes", "i-0")
        async with run_target(tmp_path, backend) as daemon:
            settings = daemon.settings
            for address in (
                settings.control_address,
                settings.ready_address,
                settings.admin_address,
            ):
                request = HttpRequest("POST", "/", (), b"a" * LONG_BODY_BYTES)
                assert await exchange(address, request) == 413
            assert await is_heartbeat_taken(backend, settings)

    asyncio.run(scenario())


@pytest.mark.processes
@pytest.mark.parametrize("form", OTHER_FORMS, ids=lambda f: f.name)
@pytest.mark.parametrize("purpose", ["link", "control", "ready", "admin"])
def test_other_clients_with_many_bodies(
    tmp_path: pathlib.Path, purpose: str, form: Attack
) -> None:
    """Guard against bodies to the other listeners that end the daemon."""

    async def scenario() -> None:
        backend = BackendStandIn("notes", "i-0")
        probes = make_probes(backend)
        async with run_target(tmp_path, backend, beats=True) as daemon:
            address = getattr(daemon.settings, f"{purpose}_address")
            probe = functools.partial(probes[purpose], daemon.settings)
            await check_crowd(
                daemon.process.pid, address, form, probe, answers_during=True
            )
            assert daemon.process.returncode is None
            assert await is_caller_served(daemon.settings)

    asyncio.run(scenario())
