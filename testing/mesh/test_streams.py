"""Guard against a daemon that ends because of its standard streams."""

import asyncio
import contextlib
import logging
import os
import pathlib
import signal
import types
from collections.abc import Iterator
from typing import Any

import attrs
import pytest
from eliot.testing import MemoryLogger, swap_logger

from eelgrassweir.mesh.library_logs import EliotHandler, log_unraisable
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


@contextlib.contextmanager
def make_full_pipe() -> Iterator[int]:
    """Give the end for writing of a pipe that accepts no more bytes."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, bytes(65_536))
    os.set_blocking(writer, True)
    try:
        yield writer
    finally:
        os.close(reader)
        os.close(writer)


@pytest.mark.parametrize(
    "changes",
    [{"callers_address": "300.1.1.1:80"}, {"vm": "no name"}],
    ids=["address", "settings"],
)
def test_daemon_that_fails_ends_although_nobody_reads_its_errors(
    tmp_path: pathlib.Path, changes: dict[str, Any]
) -> None:
    """Guard against a process that neither serves nor ends."""

    async def scenario() -> None:
        settings = make_mesh_settings("vm-0", "notes", "127.0.0.1:1")
        settings = attrs.evolve(settings, **changes)
        with make_full_pipe() as pipe:
            async with run_daemon_process(
                settings, tmp_path, stdout=asyncio.subprocess.DEVNULL, stderr=pipe
            ) as daemon:
                async with asyncio.timeout(END_LIMIT_S):
                    assert await daemon.process.wait() != 0

    asyncio.run(scenario())


@pytest.fixture
def logger() -> Iterator[MemoryLogger]:
    """Return a logger that keeps the messages of the test."""
    memory_logger = MemoryLogger()
    previous = swap_logger(memory_logger)
    try:
        yield memory_logger
    finally:
        swap_logger(previous)


def test_warnings_of_libraries_are_logged(logger: MemoryLogger) -> None:
    """Guard against lines on stderr, which may block the daemon."""
    handler = EliotHandler(logging.WARNING)
    logging.getLogger().addHandler(handler)
    try:
        logging.getLogger("asyncio").warning("socket.%s() failed", "send")
    finally:
        logging.getLogger().removeHandler(handler)
    (message,) = logger.messages
    assert message["message_type"] == "library:message"
    assert message["reason"] == "socket.send() failed"


def test_errors_in_finalizers_are_logged(logger: MemoryLogger) -> None:
    """Guard against tracebacks on stderr, which may block the daemon."""
    error = ValueError("no room")
    log_unraisable(types.SimpleNamespace(exc_value=error, err_msg=None, object=error))
    (message,) = logger.messages
    assert message["message_type"] == "library:error"
    assert message["error"] == "ValueError: no room"
