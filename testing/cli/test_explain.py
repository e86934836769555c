"""Guard against a failed request whose cause the logs do not show."""

import asyncio
import gzip
import io
import json
import os
import pathlib
import sys
from typing import Any

import attrs
import pytest

from eelgrassweir.cli.explain import explain, explanation_text, read_log
from eelgrassweir.cli.failure import CommandError
from eelgrassweir.cli.main import run
from testing.mesh.fleet import (
    HOST,
    KEY,
    BackendStandIn,
    make_config_document,
    make_mesh_settings,
    make_route,
)
from testing.stand_ins.platform_store import PlatformStoreStandIn

START = {"message_type": "daemon:start", "vm": "vm-1", "timestamp": 100.0}


def write_log(path: pathlib.Path, *lines: dict[str, Any]) -> str:
    """Write log lines to a file and return its path."""
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))
    return str(path)


def make_refused_line(code: str, wall_s: float, **fields: Any) -> dict[str, Any]:
    """Return the log line of a refused request."""
    line = {
        "message_type": "request:refused",
        "request": "r-1",
        "timestamp": wall_s,
        "code": code,
        "not_run": True,
        "reason": "because",
        "step": "entry",
        "peer": "vm-1",
    }
    return line | fields


def test_path_spans_the_logs_of_two_daemons(tmp_path: pathlib.Path) -> None:
    """Guard against a path that ends at the first daemon's log."""
    lost = {"message_type": "target:failed", "request": "r-1", "timestamp": 110.1}
    entry = write_log(
        tmp_path / "a.log",
        START,
        make_refused_line(
            "outcome_unknown", 110.2, peer="vm-2", not_run=False, step="target"
        ),
    )
    target = write_log(tmp_path / "b.log", START | {"vm": "vm-2"}, lost)
    found = explain("r-1", [read_log(entry), read_log(target)])
    assert [(line.vm, line.kind) for line in found.path] == [
        ("vm-2", "target:failed"),
        ("vm-1", "request:refused"),
    ]
    assert found.outcome.startswith("outcome_unknown (it may have run)")


def test_beliefs_are_those_that_can_explain_the_refusal(tmp_path: pathlib.Path) -> None:
    """Guard against causes from after or long before the refusal."""

    def make_line(kind: str, wall_s: float, **fields: Any) -> dict[str, Any]:
        return {"message_type": kind, "timestamp": wall_s} | fields

    path = write_log(
        tmp_path / "a.log",
        START,
        make_line("config:in_force", 100.0, version=1),
        make_line("config:in_force", 101.0, version=2),
        make_line("lending:unanswered", 102.0),
        make_line("lending:unanswered", 129.0, reason="no link"),
        make_line("store:lost", 129.5),
        make_refused_line("rate_exceeded", 130.0),
        make_line("lending:began", 150.0),
    )
    found = explain("r-1", [read_log(path)])
    kinds = [(line.kind, line.wall_s) for line in found.beliefs]
    assert kinds == [("config:in_force", 101.0), ("lending:unanswered", 129.0)]


def test_truncated_and_dropped_log_lines_are_reported(tmp_path: pathlib.Path) -> None:
    """Guard against a lost log line taken for an event that did not occur."""
    left_out = {"message_type": "log:left_out", "lines": {"request:refused": 9}}
    path = write_log(
        tmp_path / "a.log", START, make_refused_line("overloaded", 110.0), left_out
    )
    with open(path, "a") as file:
        file.write('{"message_type": "request:ref')
    logs = [read_log(path)]
    found = explain("r-1", logs)
    assert [line.kind for line in found.left_out] == ["log:left_out"]
    assert "1 unreadable lines, the first is line 4" in explanation_text(found, logs)


@pytest.mark.parametrize("form", ["plain", "prefixed", "gz", "stdin"])
def test_lines_of_many_vms_in_one_stream_keep_their_vm(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, form: str
) -> None:
    """Guard against lines that are given to the VM that started last."""
    lost = {"message_type": "target:failed", "request": "r-1", "timestamp": 110.1}
    rows = [
        START | {"daemon": "vm-1"},
        START | {"vm": "vm-2", "daemon": "vm-2"},
        lost | {"daemon": "vm-2"},
        make_refused_line("outcome_unknown", 110.2, daemon="vm-1"),
    ]
    prefix = "2026-12-05T00:00:00Z host-7 daemon: " if form == "prefixed" else ""
    text = "".join(f"{prefix}{json.dumps(row)}\n" for row in rows)
    path = str(tmp_path / "all.log")
    if form == "gz":
        path += ".gz"
        pathlib.Path(path).write_bytes(gzip.compress(text.encode()))
    elif form == "stdin":
        path = "-"
        monkeypatch.setattr("sys.stdin", io.StringIO(text))
    else:
        pathlib.Path(path).write_text(text)
    found = explain("r-1", [read_log(path)])
    assert [(line.vm, line.kind) for line in found.path] == [
        ("vm-2", "target:failed"),
        ("vm-1", "request:refused"),
    ]


def test_unknown_request_and_unreadable_files_are_errors(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against an empty explanation where the input is wrong."""
    path = write_log(tmp_path / "a.log", START)
    with pytest.raises(CommandError, match="no line names"):
        explain("r-1", [read_log(path)])
    empty = tmp_path / "empty.log"
    empty.write_text("nothing of ours\n")
    assert run(["explain", "r-1", str(empty)]) == 2
    assert run(["explain", "r-1", str(tmp_path / "missing.log")]) == 2
    assert run(["explain", "r-1"]) == 2
    assert "cannot be read" in capsys.readouterr().err


@pytest.mark.processes
def test_refusal_in_a_store_outage_is_explained_from_its_log(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guard against a daemon whose log does not show why a request failed.

    A daemon process loses the store and refuses a request; its log alone must
    explain the refusal.
    """

    async def scenario() -> bytes:
        store = PlatformStoreStandIn()
        backend = BackendStandIn("notes", "i-0")
        await backend.start()
        settings = make_mesh_settings("vm-0", "notes", backend.address)
        settings = attrs.evolve(
            settings, store_address=await store.start(), revoke_ms=1_500
        )
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(attrs.asdict(settings)))
        store.put(
            "op/config",
            make_config_document(1, [make_route("/a/", "notes", public=False)]),
        )
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "eelgrassweir.mesh"),
            env=os.environ | {"EELGRASSWEIR_BOOT": str(path), "PYTHONPATH": "src"},
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        output = b""

        async def read_until(text: str) -> bytes:
            nonlocal output
            async with asyncio.timeout(10.0):
                while True:
                    assert process.stdout is not None
                    line = await process.stdout.readline()
                    output += line
                    if text.encode() in line:
                        return line

        await read_until("config:in_force")
        store.fault = "busy"
        await read_until("store:lost")
        host, port = settings.callers_address.split(":")
        line = b""
        # Until the proof that the configuration is the newest is too old.
        while b"config_stale" not in line:
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"GET /a/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-1\r\n"
                f"X-Credential: {KEY}\r\n\r\n".encode()
            )
            line = await read_until("request:refused")
            writer.close()
        process.kill()
        await process.wait()
        await store.stop()
        assert backend.server is not None
        await backend.server.stop()
        return output

    log = tmp_path / "vm-0.log"
    log.write_bytes(asyncio.run(scenario()))
    assert run(["explain", "r-1", str(log), "--json"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert found["path"][-1]["fields"]["code"] == "config_stale"
    assert "store:lost" in [line["kind"] for line in found["beliefs"]]
