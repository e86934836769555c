"""Guard against a daemon that ends because of its standard streams."""

import asyncio
import pathlib
import signal

import pytest

from testing.mesh.daemon_process import run_daemon_process
from testing.mesh.fleet import make_mesh_settings

pytestmark = pytest.mark.processes

END_LIMIT_S = 5.7


@pytest.mark.parametrize("closed", [(0,), (1,), (2,), (0, 1, 2)])
def test_daemon_serves_without_standard_streams(
    tmp_path: pathlib.Path, closed: tuple[int, ...]
) -> None:
    """Guard against a daemon that ends, or logs into a connection."""

    async def scenario() -> None:
        settings = make_mesh_settings("vm-0", "notes", "127.0.0.1:1")
        redirections = " ".join(
            f"{descriptor}{'<' if descriptor == 0 else '>'}&-" for descriptor in closed
        )
        async with run_daemon_process(
            settings, tmp_path, redirections=redirections
        ) as daemon:
            await daemon.wait_until_answering()
            for descriptor in closed:
                assert daemon.read_stream_path(descriptor) == "/dev/null"
            daemon.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(END_LIMIT_S):
                assert await daemon.process.wait() == 0

    asyncio.run(scenario())
