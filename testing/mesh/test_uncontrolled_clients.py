"""Guard against clients outside all limits that end or block a daemon."""

import asyncio
import functools
import pathlib

import pytest

from testing.mesh.client_crowd import Attack, make_attacks
from testing.mesh.crowd_check import check_crowd
from testing.mesh.crowd_target import (
    HEAD_BYTES,
    is_caller_served,
    make_probes,
    run_target,
)
from testing.mesh.fleet import BackendStandIn

# On the other listeners, heads may have 32 KiB.
OTHER_HEAD_BYTES = 32_768


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
        probes = make_probes(backend)
        async with run_target(tmp_path, backend) as daemon:
            address = getattr(daemon.settings, f"{purpose}_address")
            probe = functools.partial(probes[purpose], daemon.settings)
            await check_crowd(daemon.process.pid, address, form, probe)
            assert daemon.process.returncode is None
            assert await is_caller_served(daemon.settings)

    asyncio.run(scenario())
