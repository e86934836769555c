"""Guard against ends of daemons and of requests that leave no line behind."""

import asyncio
import contextlib
import json
import os
import pathlib
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

import attrs
from eliot import add_destinations, remove_destination

from eelgrassweir.daemon.address import split_address
from eelgrassweir.mesh.app import log_loop_error
from eelgrassweir.mesh.memory_watch import MemoryWatch
from testing.deploy.checkout import read_deploy_file
from testing.mesh.fleet import (
    HOST,
    add_target,
    make_mesh_settings,
    mesh_fleet,
    wait_until,
)

START_LIMIT_S = 20.0


@contextlib.contextmanager
def collect_lines() -> Iterator[list[dict[str, Any]]]:
    """Collect the log lines that are written meanwhile."""
    lines: list[dict[str, Any]] = []
    add_destinations(lines.append)
    # eliot passes the lines of earlier tests to the first destination.
    lines.clear()
    try:
        yield lines
    finally:
        remove_destination(lines.append)


def test_request_whose_caller_leaves_has_a_line() -> None:
    """Guard against a lost request that no log line explains."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet)
            backend.hold = asyncio.Event()
            host, port = split_address(daemon.settings.callers_address)
            _, writer = await asyncio.open_connection(host, port)
            head = f"GET /a/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: left\r\n\r\n"
            writer.write(head.encode())
            await wait_until(lambda: backend.runs)
            writer.close()
            await wait_until(lambda: not daemon.entry.in_flight_calls)
            assert b"eelgrassweir_unanswered_total 1.0" in await read_metrics(daemon)

    with collect_lines() as lines:
        asyncio.run(scenario())
    (line,) = [line for line in lines if line["message_type"] == "request:unanswered"]
    assert line["request"] == "left"
    assert line["reason"] == "the caller closed the connection"
    assert not line["is_stopping"]


async def read_metrics(daemon: Any) -> bytes:
    """Return the metrics of a daemon as text."""
    host, port = split_address(daemon.settings.admin_address)
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    text = await reader.read()
    writer.close()
    return text


def test_memory_near_the_limit_has_a_line_for_each_step() -> None:
    """Guard against a daemon that is killed by its memory without a word."""
    watch = MemoryWatch(limit_bytes=1_000)
    with collect_lines() as lines:
        for peak_bytes in (100, 499, 650, 660, 950):
            watch.update(peak_bytes, held_bytes=7)
    assert [line["peak_bytes"] for line in lines] == [650, 950]
    assert {line["message_type"] for line in lines} == {"daemon:memory"}
    assert {line["held_bytes"] for line in lines} == {7}


def test_error_of_the_event_loop_is_a_log_line() -> None:
    """Guard against errors that go to stderr, which may block."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(log_loop_error)
        loop.call_soon(lambda: 1 / 0)
        await asyncio.sleep(0.01)

    with collect_lines() as lines:
        asyncio.run(scenario())
    (line,) = lines
    assert line["message_type"] == "loop:error"
    assert line["error"] == "ZeroDivisionError: division by zero"


def test_daemon_that_ends_with_an_error_logs_it(tmp_path: pathlib.Path) -> None:
    """Guard against a daemon whose last words go to stderr only."""
    settings = make_mesh_settings("vm-0", "notes", "127.0.0.1:1")
    # No address, so the daemon cannot wait for it.
    settings = attrs.evolve(settings, callers_address="300.1.1.1:9")
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(attrs.asdict(settings)))
    result = subprocess.run(
        [sys.executable, *read_deploy_file()["roles"]["daemon"]["run"].split(" ")[1:]],
        env=os.environ | {"EELGRASSWEIR_BOOT": str(path), "PYTHONPATH": "src"},
        capture_output=True,
        check=False,
        timeout=START_LIMIT_S,
    )
    assert result.returncode == 1
    last = json.loads(result.stdout.splitlines()[-1])
    assert last["message_type"] == "daemon:failed"
    assert "300.1.1.1" in last["reason"]
