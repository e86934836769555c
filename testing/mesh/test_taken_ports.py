"""Guard against a daemon that ends because it cannot listen yet."""

import asyncio
import contextlib
import pathlib
import resource
import signal

import pytest

from testing.deploy.site import take_port
from testing.mesh.daemon_process import run_daemon_process
from testing.mesh.fleet import make_mesh_settings, wait_until

pytestmark = pytest.mark.processes

# Longer than the daemon once waited for a port.
TAKEN_S = 7.0
END_LIMIT_S = 1.0
PURPOSES = ("callers", "link", "control", "ready", "admin")


@pytest.mark.parametrize("purpose", PURPOSES)
def test_daemon_waits_for_a_port_as_long_as_it_is_taken(
    tmp_path: pathlib.Path, purpose: str
) -> None:
    """Guard against a daemon that ends at each start while a port is taken."""

    async def scenario() -> None:
        settings = make_mesh_settings("vm-0", "notes", "127.0.0.1:1")
        taken = take_port(getattr(settings, f"{purpose}_address"))
        log_path = tmp_path / "log"
        with contextlib.closing(taken), log_path.open("wb") as log:
            async with run_daemon_process(settings, tmp_path, stdout=log) as daemon:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(daemon.process.wait(), TAKEN_S)
                assert daemon.process.returncode is None
                assert "daemon:port_taken" in log_path.read_text()
                taken.close()
                await daemon.wait_until_answering()

    asyncio.run(scenario())


@pytest.mark.parametrize("purpose", ["callers", "link"])
def test_daemon_without_its_ports_ends_at_once(
    tmp_path: pathlib.Path, purpose: str
) -> None:
    """Guard against SIGTERM that waits for a port of another program."""

    async def scenario() -> None:
        settings = make_mesh_settings("vm-0", "notes", "127.0.0.1:1")
        log_path = tmp_path / "log"
        with (
            contextlib.closing(take_port(getattr(settings, f"{purpose}_address"))),
            log_path.open("wb") as log,
        ):
            async with run_daemon_process(settings, tmp_path, stdout=log) as daemon:
                await wait_until(lambda: "daemon:port_taken" in log_path.read_text())
                daemon.process.send_signal(signal.SIGTERM)
                async with asyncio.timeout(END_LIMIT_S):
                    assert await daemon.process.wait() == 0

    asyncio.run(scenario())


def test_daemon_listens_once_it_has_descriptors(tmp_path: pathlib.Path) -> None:
    """Guard against a daemon that goes on without any listener."""

    async def scenario() -> None:
        settings = make_mesh_settings("vm-0", "notes", "127.0.0.1:1")
        log_path = tmp_path / "log"
        with (
            contextlib.closing(take_port(settings.link_address)) as taken,
            log_path.open("wb") as log,
        ):
            async with run_daemon_process(settings, tmp_path, stdout=log) as daemon:
                await wait_until(lambda: "daemon:port_taken" in log_path.read_text())
                limits = resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE)
                resource.prlimit(
                    daemon.process.pid, resource.RLIMIT_NOFILE, (3, limits[1])
                )
                taken.close()
                await wait_until(lambda: "no socket" in log_path.read_text())
                resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE, limits)
                await daemon.wait_until_answering()

    asyncio.run(scenario())
