"""Guard against acting on a permission that ended in a restart or pause."""

import asyncio
import json
import os
import pathlib
import signal
import sys

import attrs
import pytest

from testing.mesh.fleet import (
    KEY,
    BackendStandIn,
    add_target,
    make_config_document,
    make_mesh_settings,
    make_route,
    mesh_fleet,
    wait_until,
)
from testing.stand_ins.platform_store import PlatformStoreStandIn

KEYED = ("X-Credential", KEY)
REVOKE_MS = 2_500


def test_withdrawn_key_does_not_work_after_a_restart_without_the_store() -> None:
    """Guard against a key that was withdrawn while its daemon restarted."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet)
            fleet.configure(make_route("/a/", "notes", public=False))
            await fleet.wait_until_converged()
            assert (await fleet.call(daemon, "/a/", KEYED)).status == 200
            await fleet.kill(daemon)
            fleet.configure(make_route("/a/", "notes", public=False), apiKeys=[])
            fleet.store.fault = "busy"
            again = fleet.make_daemon(daemon.settings)
            await again.start()
            fleet.daemons.append(again)
            await asyncio.sleep(0.5)
            assert (await fleet.call(again, "/a/", KEYED)).status == 503
            fleet.store.fault = ""
            await wait_until(lambda: again.config.current)
            assert (await fleet.call(again, "/a/", KEYED)).status == 401
            assert len(backend.runs) == 1

    asyncio.run(scenario())


@pytest.mark.processes
@pytest.mark.parametrize("pause_s", [2.0, 5.0])
def test_paused_process_does_not_run_requests_of_a_withdrawn_key(
    tmp_path: pathlib.Path, pause_s: float
) -> None:
    """Guard against a daemon that wakes with requests and a stale proof.

    The key is withdrawn and the store goes away while the process is stopped.
    """

    async def scenario() -> None:
        store = PlatformStoreStandIn()
        backend = BackendStandIn("notes", "i-0")
        await backend.start()
        settings = make_mesh_settings("vm-0", "notes", backend.address)
        settings = attrs.evolve(
            settings, store_address=await store.start(), revoke_ms=REVOKE_MS
        )
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(attrs.asdict(settings)))
        route = make_route("/a/", "notes", public=False, timeout=20_000)
        store.put("op/config", make_config_document(1, [route]))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "eelgrassweir.mesh",
            env=os.environ | {"EELGRASSWEIR_BOOT": str(path), "PYTHONPATH": "src"},
            stdout=asyncio.subprocess.DEVNULL,
        )

        async def send(address: str, request: str) -> bytes:
            host, _, port = address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request.encode())
            try:
                return await reader.readline()
            finally:
                writer.close()

        async def announce() -> bool:
            heartbeat = backend.make_heartbeat()
            head = f"POST {heartbeat.path} HTTP/1.1\r\n"
            head += f"Content-Length: {len(heartbeat.body)}\r\n\r\n"
            try:
                body = heartbeat.body.decode()
                return b" 200 " in await send(settings.control_address, head + body)
            except OSError:
                return False

        keyed = (
            "GET /a/ HTTP/1.1\r\nHost: notes.example\r\n"
            f"X-Request-Id: r\r\nX-Credential: {KEY}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(20):
                while not await announce():
                    await asyncio.sleep(0.05)
                while b" 200 " not in await send(settings.callers_address, keyed):
                    await asyncio.sleep(0.05)
            runs = len(backend.runs)
            process.send_signal(signal.SIGSTOP)
            store.put("op/config", make_config_document(2, [route], apiKeys=[]))
            store.fault = "busy"
            # Sent after the withdrawal; the process reads them when it wakes.
            late = [
                asyncio.create_task(send(settings.callers_address, keyed))
                for _ in range(5)
            ]
            await asyncio.sleep(pause_s)
            process.send_signal(signal.SIGCONT)
            async with asyncio.timeout(20):
                statuses = await asyncio.gather(*late)
            if pause_s * 1e3 > REVOKE_MS:
                assert all(b" 503 " in status for status in statuses)
                assert len(backend.runs) == runs
            else:
                # Within the time that a withdrawn key may still work.
                assert all(b" 503 " in s or b" 200 " in s for s in statuses)
        finally:
            process.kill()
            await process.wait()
            await store.stop()
            assert backend.server is not None
            await backend.server.stop()

    asyncio.run(scenario())


def test_run_on_a_silent_vm_is_neither_repeated_nor_given_up() -> None:
    """Guard against a second run, or an early 502, for a VM that is silent.

    The daemon beside the target answers nothing for longer than the links
    allow, and then its reply arrives.
    """

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            entry = await fleet.add(BackendStandIn("lists", "i-0"))
            silent = BackendStandIn("notes", "i-1", hold=asyncio.Event())
            target = await fleet.add(silent)
            fleet.configure(make_route("/a/", "notes", kind="unsafe", timeout=9_000))
            await fleet.wait_until_converged()
            call = asyncio.create_task(fleet.call(entry, "/a/", method="POST"))
            await wait_until(lambda: silent.runs)
            sessions = list(target.link_server._sessions)
            for session in sessions:
                assert session.transport is not None
                session.transport.pause_reading()
            spare = BackendStandIn("notes", "i-2")
            await fleet.add(spare)
            await asyncio.sleep(1.5)
            assert not call.done()
            for session in sessions:
                assert session.transport is not None
                session.transport.resume_reading()
            assert silent.hold is not None
            silent.hold.set()
            assert (await call).status == 200
            assert len(silent.runs) == 1
            assert not spare.runs

    asyncio.run(scenario())
