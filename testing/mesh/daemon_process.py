"""A daemon as a real process, started with the command of the deploy file."""

import asyncio
import contextlib
import json
import os
import pathlib
import sys
from collections.abc import AsyncIterator
from typing import Any

import attrs

from eelgrassweir.daemon.http_message import HttpRequest
from eelgrassweir.settings.mesh_generated import MeshSettings
from testing.deploy.checkout import read_deploy_file
from testing.deploy.site import exchange

QUESTION_TIMEOUT_MS = 500.0
POLL_INTERVAL_S = 0.05


@attrs.define(eq=False, kw_only=True)
class DaemonProcess:
    """A running daemon and its settings."""

    settings: MeshSettings
    process: asyncio.subprocess.Process

    async def wait_until_answering(self, limit_s: float = 10.0) -> None:
        """Wait until the readiness check gets an answer of any status.

        :raises AssertionError: if the daemon has ended.
        :raises TimeoutError: if there is no answer after ``limit_s``.
        """
        question = HttpRequest("GET", "/-/readiness", (), b"")
        async with asyncio.timeout(limit_s):
            while not await exchange(
                self.settings.ready_address, question, QUESTION_TIMEOUT_MS
            ):
                assert self.process.returncode is None
                await asyncio.sleep(POLL_INTERVAL_S)

    def read_stream_path(self, descriptor: int) -> str:
        """Return the path that a descriptor of the daemon refers to."""
        return os.readlink(f"/proc/{self.process.pid}/fd/{descriptor}")


@contextlib.asynccontextmanager
async def run_daemon_process(
    settings: MeshSettings,
    folder: pathlib.Path,
    *,
    redirections: str = "",
    environment: dict[str, str] | None = None,
    **streams: Any,
) -> AsyncIterator[DaemonProcess]:
    """Run a daemon until the block ends.

    ``redirections`` are those of a shell and apply to the daemon.
    """
    path = folder / f"{settings.vm}.json"
    path.write_text(json.dumps(attrs.asdict(settings)))
    command = read_deploy_file()["roles"]["daemon"]["run"].split(" ")[1:]
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        f'exec "$0" "$@" {redirections}',
        sys.executable,
        *command,
        env=os.environ
        | {"EELGRASSWEIR_BOOT": str(path), "PYTHONPATH": "src"}
        | (environment or {}),
        **streams,
    )
    try:
        yield DaemonProcess(settings=settings, process=process)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
