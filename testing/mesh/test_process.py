"""Guard against a process that starts incompletely or does not exit."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import time

import attrs
import pytest

from eelgrassweir.mesh.main import (
    EXIT_INVALID_SETTINGS,
    MEMORY_VARIABLE,
    main,
    read_memory_mb,
)
from testing.deploy.checkout import read_deploy_file
from testing.deploy.site import take_port
from testing.mesh.daemon_process import run_daemon_process
from testing.mesh.fleet import (
    BackendStandIn,
    make_config_document,
    make_mesh_settings,
    make_route,
    wait_until,
)
from testing.stand_ins.platform_store import PlatformStoreStandIn

# Grace time of the settings (6 s) less a margin for the exit of the process.
END_LIMIT_S = 5.7


@pytest.mark.parametrize(
    ("text", "memory_mb"), [(None, 200), ("", 200), ("300", 300), ("552.5", 552.5)]
)
def test_memory_is_read_from_the_environment(
    text: str | None, memory_mb: float
) -> None:
    """Guard against a daemon that takes another memory for its own."""
    environment = {} if text is None else {MEMORY_VARIABLE: text}
    assert read_memory_mb(environment) == memory_mb


@pytest.mark.parametrize("text", ["much", "0", "-5", "nan", "inf"])
def test_daemon_does_not_start_with_a_memory_that_is_none(
    text: str,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guard against a bound on memory that nobody meant."""
    settings = make_mesh_settings("vm-0", "notes", "127.0.0.1:1")
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(attrs.asdict(settings)))
    monkeypatch.setenv(MEMORY_VARIABLE, text)
    with pytest.raises(SystemExit) as caught:
        main(["--settings", str(path), "--check"])
    assert caught.value.code == EXIT_INVALID_SETTINGS
    assert MEMORY_VARIABLE in capsys.readouterr().err


@pytest.mark.processes
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_does_not_end_a_process_whose_modules_load(
    tmp_path: pathlib.Path, number: signal.Signals
) -> None:
    """Guard against a daemon that is ended by a change of its settings."""

    async def scenario() -> None:
        store = PlatformStoreStandIn()
        settings = make_mesh_settings("vm-0", "notes", "127.0.0.1:1")
        settings = attrs.evolve(settings, store_address=await store.start())
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(attrs.asdict(settings)))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *read_deploy_file()["roles"]["daemon"]["run"].split(" ")[1:],
            env=os.environ | {"EELGRASSWEIR_BOOT": str(path), "PYTHONPATH": "src"},
            stdout=asyncio.subprocess.DEVNULL,
        )
        maps_path = pathlib.Path(f"/proc/{process.pid}/maps")
        try:
            # The first library is loaded; those of the daemon follow.
            await wait_until(lambda: "uvloop" in maps_path.read_text())
            process.send_signal(number)
            if number is signal.SIGHUP:
                await wait_until(lambda: store.calls)
                process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(END_LIMIT_S):
                assert await process.wait() == 0
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            await store.stop()

    asyncio.run(scenario())


@pytest.mark.processes
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_does_not_change_the_status_of_a_stop(
    tmp_path: pathlib.Path, number: signal.Signals
) -> None:
    """Guard against a planned stop that counts as an end by itself."""

    async def scenario() -> None:
        settings = make_mesh_settings("vm-0", "notes", "127.0.0.1:1")
        async with run_daemon_process(settings, tmp_path) as daemon:
            await daemon.wait_until_answering()
            daemon.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(END_LIMIT_S):
                while daemon.process.returncode is None:
                    # Process.send_signal would reap a process that has just
                    # ended, and asyncio would then report status 255.
                    with contextlib.suppress(ProcessLookupError):
                        os.kill(daemon.process.pid, number)
                    await asyncio.sleep(0.001)
            assert daemon.process.returncode == 0

    asyncio.run(scenario())


@pytest.mark.processes
def test_stop_does_not_wait_for_a_taken_port(tmp_path: pathlib.Path) -> None:
    """Guard against a start that uses up the grace time of a stop."""

    async def scenario() -> None:
        store = PlatformStoreStandIn()
        settings = make_mesh_settings("vm-0", "notes", "127.0.0.1:1")
        settings = attrs.evolve(settings, store_address=await store.start())
        taken = take_port(settings.ready_address)
        with contextlib.closing(taken):
            async with run_daemon_process(settings, tmp_path) as daemon:
                await wait_until(lambda: store.calls)
                daemon.process.send_signal(signal.SIGTERM)
                async with asyncio.timeout(END_LIMIT_S):
                    assert await daemon.process.wait() == 0
        await store.stop()

    asyncio.run(scenario())


@pytest.mark.processes
@pytest.mark.parametrize("fault", ["", "silent", "busy"])
def test_process_ends_within_the_grace_time(tmp_path: pathlib.Path, fault: str) -> None:
    """Guard against SIGKILL in a planned stop with requests in flight."""

    async def scenario() -> None:
        store = PlatformStoreStandIn()
        backend = BackendStandIn("notes", "i-0", delay_s=60.0)
        await backend.start()
        settings = make_mesh_settings("vm-0", "notes", backend.address)
        settings = attrs.evolve(settings, store_address=await store.start())
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(attrs.asdict(settings)))
        store.put(
            "op/config",
            make_config_document(1, [make_route("/a/", "notes", timeout=30_000)]),
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "eelgrassweir.mesh",
            env=os.environ | {"EELGRASSWEIR_BOOT": str(path), "PYTHONPATH": "src"},
            stdout=asyncio.subprocess.PIPE,
        )
        host, port = settings.control_address.split(":")
        await wait_until(lambda: store.calls)
        heartbeat = backend.make_heartbeat()
        for _ in range(100):
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                break
            except OSError:
                await asyncio.sleep(0.05)
        writer.write(
            f"{heartbeat.method} {heartbeat.path} HTTP/1.1\r\n"
            f"Content-Length: {len(heartbeat.body)}\r\n\r\n".encode()
            + heartbeat.body
        )
        assert b" 200 " in await reader.readline()
        await wait_until(lambda: "members/vm-0" in store.items)
        callers = []
        for _ in range(4):
            host, port = settings.callers_address.split(":")
            _, caller = await asyncio.open_connection(host, int(port))
            caller.write(b"GET /a/ HTTP/1.1\r\nHost: notes.example\r\n\r\n")
            callers.append(caller)
        await wait_until(lambda: len(backend.runs) == 4)
        store.fault = fault
        process.send_signal(signal.SIGTERM)
        started_s = time.monotonic()
        async with asyncio.timeout(20):
            await process.communicate()
        assert time.monotonic() - started_s < END_LIMIT_S
        assert process.returncode == 0
        await store.stop()
        assert backend.server is not None
        await backend.server.stop()

    asyncio.run(scenario())
