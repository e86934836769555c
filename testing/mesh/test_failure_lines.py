"""Guard against ends of daemons and of requests that leave no line behind."""

import asyncio
import contextlib
import json
import os
import pathlib
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

import attrs
from eliot import add_destinations, remove_destination

from eelgrassweir.daemon.address import split_address
from eelgrassweir.mesh.app import Application, log_loop_error
from eelgrassweir.mesh.memory_watch import MemoryWatch
from testing.deploy.checkout import read_deploy_file
from testing.mesh.fleet import (
    HOST,
    BackendStandIn,
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
            writer = await send_request(daemon, "left")
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


def test_end_of_a_request_has_a_line_at_each_step() -> None:
    """Guard against work after an end whose delay no log line explains."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            entry = await fleet.add(BackendStandIn("lists", "i-1"))
            target, backend = await add_target(fleet)
            backend.hold = asyncio.Event()
            writer = await send_request(entry, "left")
            await wait_until(lambda: backend.runs)
            writer.close()
            await wait_until(lambda: not target.target.running_calls)
            assert b"eelgrassweir_loop_lag_seconds_count" in await read_metrics(entry)

    with collect_lines() as lines:
        asyncio.run(scenario())
    named = [line for line in lines if line.get("request") == "left"]
    assert [line["message_type"] for line in named] == [
        "request:unanswered",
        "link:cancel_sent",
        "link:cancel_received",
        "target:cancelled",
    ]
    assert all(line["age_ms"] < 1e3 for line in named if "age_ms" in line)


def test_late_event_loop_has_a_line() -> None:
    """Guard against a daemon that is behind without a word."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            await add_target(fleet)
            time.sleep(0.5)
            await wait_until(lambda: find_lines(lines, "loop:late"))

    with collect_lines() as lines:
        asyncio.run(scenario())
    assert find_lines(lines, "loop:late")[0]["lag_ms"] >= 100


def find_lines(lines: list[dict[str, Any]], kind: str) -> list[dict[str, Any]]:
    """Return the lines of a message type."""
    return [line for line in lines if line["message_type"] == kind]


async def send_request(daemon: Application, request_id: str) -> asyncio.StreamWriter:
    """Send a request to a daemon and return its connection."""
    host, port = split_address(daemon.settings.callers_address)
    _, writer = await asyncio.open_connection(host, port)
    head = f"GET /a/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n\r\n"
    writer.write(head.encode())
    return writer


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
