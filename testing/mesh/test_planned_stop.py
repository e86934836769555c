"""Guard against requests that a planned stop cuts off."""

import asyncio
import contextlib
import socket

import attrs
import pytest

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_client import ExchangeError, SendStatus
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer
from eelgrassweir.mesh import app
from eelgrassweir.mesh.planned_stop import close_connections
from eelgrassweir.mesh.run_durations import RunDurations
from testing.deploy.site import take_port
from testing.mesh.fleet import (
    HOST,
    KEY,
    LIMIT_S,
    BackendStandIn,
    make_mesh_settings,
    make_route,
    mesh_fleet,
    wait_until,
)

# Half of the time in which a planned stop lets requests in.
WORK_S = 2.5
SEND_INTERVAL_S = 0.25
SENDING_S = 4.75
LATE_CALLS = 5
OPEN_INTERVAL_S = 0.005
# Connections that were opened last, the very last one left out: the listener
# may close before it is accepted.
LAST_OPENED = slice(-6, -1)


def test_requests_that_a_stop_would_cut_off_are_refused_as_not_run() -> None:
    """Guard against requests taken late in the grace and cut at its end.

    They got 502 although they could have gone elsewhere, calls among them that
    were sent up to a second before the end.
    """

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            leaving = await fleet.add(BackendStandIn("lists", "i-0"))
            backend = BackendStandIn("notes", "i-1", slots=100, delay_s=WORK_S)
            await fleet.add(backend)
            fleet.configure(
                make_route("/a/", "notes", timeout=8_000, kind="unsafe"),
                make_route("/k/", "notes", timeout=8_000, kind="unsafe", public=False),
            )
            await fleet.wait_until_converged()
            key = ("X-Credential", KEY)
            # The durations of both routes become known.
            first = await asyncio.gather(
                fleet.call(leaving, "/a/"), fleet.call(leaving, "/k/", key)
            )
            assert [response.status for response in first] == [200, 200]
            runs_before = len(backend.runs)
            stop = asyncio.create_task(leaving.drain())
            requests: list[asyncio.Task[HttpResponse]] = []
            for _ in range(int(SENDING_S / SEND_INTERVAL_S)):
                for path, *fields in (("/a/",), ("/k/", key)):
                    call = fleet.call(leaving, path, *fields)
                    requests.append(asyncio.create_task(call))
                await asyncio.sleep(SEND_INTERVAL_S)
            responses = await asyncio.gather(*requests)
            await stop
            statuses = [response.status for response in responses]
            assert set(statuses) == {200, 503}
            assert statuses.count(200) == len(backend.runs) - runs_before
            # Those that end in time are still served.
            assert statuses[: 2 * int(1.5 / SEND_INTERVAL_S)].count(503) == 0

    asyncio.run(scenario())


def test_requests_that_cross_the_end_of_a_stop_are_not_passed_on() -> None:
    """Guard against calls that are passed on while the connections close."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            leaving = await fleet.add(BackendStandIn("lists", "i-0"))
            backend = BackendStandIn("notes", "i-1")
            await fleet.add(backend)
            fleet.configure(make_route("/a/", "notes"))
            await fleet.wait_until_converged()
            # Nothing is in flight, so the stop ends before it refuses calls.
            await leaving.drain()
            with pytest.raises(ExchangeError) as caught:
                await fleet.call(leaving, "/a/")
            assert caught.value.sent is SendStatus.NOT_SENT
            assert not backend.runs

    asyncio.run(scenario())


def test_last_connections_of_a_stop_get_an_answer() -> None:
    """Guard against connections that a stop accepts and closes unanswered."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            backend = BackendStandIn("notes", "i-0")
            leaving = await fleet.add(backend)
            fleet.configure(make_route("/a/", "notes"))
            await fleet.wait_until_converged()
            host, port = leaving.settings.callers_address.split(":")
            stop = asyncio.create_task(leaving.drain())
            opened = []
            with contextlib.suppress(ConnectionRefusedError):
                async with asyncio.timeout(LIMIT_S):
                    while True:
                        opened.append(await asyncio.open_connection(host, int(port)))
                        await asyncio.sleep(OPEN_INTERVAL_S)
            answers = []
            for reader, writer in opened[LAST_OPENED]:
                head = f"GET /a/ HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
                writer.write(head.encode())
                answers.append((await reader.read()).partition(b"\r\n")[0])
            await stop
            for _, writer in opened:
                writer.close()
            assert [answer.split(b" ")[1:2] for answer in answers] == [[b"503"]] * 5
            assert not backend.runs

    asyncio.run(scenario())


@pytest.mark.parametrize("count", [3, 300])
def test_connections_that_wait_to_be_accepted_get_an_answer(count: int) -> None:
    """Guard against a stop behind a pause that resets unread requests."""

    async def refuse(_request: HttpRequest) -> HttpResponse:
        return HttpResponse(503, (), b"")

    async def scenario() -> None:
        server = HttpServer(refuse, body_limit_bytes=0)
        await server.start("127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        # The event loop accepts none of them before the stop begins.
        address = ("127.0.0.1", server.port)
        waiting = [socket.create_connection(address) for _ in range(count)]
        for connection in waiting:
            connection.sendall(b"GET /a/ HTTP/1.1\r\nHost: x\r\n\r\n")
            connection.setblocking(False)
        await close_connections(Clock(), server)
        await server.stop()
        for connection in waiting:
            assert (await loop.sock_recv(connection, 99)).startswith(b"HTTP/1.1 503")
            connection.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("has_answers", [True, False])
def test_late_calls_of_unknown_duration_are_refused_as_not_run(
    has_answers: bool,
) -> None:
    """Guard against calls on new routes that are cut at the end of a stop."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            leaving = await fleet.add(BackendStandIn("lists", "i-0"))
            backend = BackendStandIn("notes", "i-1", slots=100, delay_s=WORK_S)
            await fleet.add(backend)
            fleet.configure(
                make_route("/a/", "notes", timeout=8_000),
                make_route("/new/", "notes", timeout=8_000),
            )
            await fleet.wait_until_converged()
            if has_answers:
                assert (await fleet.call(leaving, "/a/")).status == 200
            stop = asyncio.create_task(leaving.drain())
            # Keeps the stop from ending early.
            running = asyncio.create_task(fleet.call(leaving, "/a/"))
            await wait_until(lambda: leaving.entry.is_refusing_roots)
            calls = (fleet.call(leaving, "/new/") for _ in range(LATE_CALLS))
            responses = await asyncio.gather(*calls)
            assert [response.status for response in responses] == [503] * LATE_CALLS
            await asyncio.gather(running, stop)

    asyncio.run(scenario())


def test_estimate_stays_near_the_slowest_recent_requests() -> None:
    """Guard against an estimate that one fast request makes useless."""
    durations = RunDurations()
    assert durations.estimate_ms("a") is None
    durations.record("a", 1_000.0)
    durations.record("a", 100.0)
    assert 900.0 < (durations.estimate_ms("a") or 0.0) < 1_000.0
    for _ in range(100):
        durations.record("a", 100.0)
    assert 100.0 <= (durations.estimate_ms("a") or 0.0) < 110.0
    # A route without answers is taken to be as slow as the slowest one.
    assert durations.estimate_ms("b") == durations.estimate_ms("a")
    durations.keep_routes({"b"})
    assert durations.estimate_ms("a") is None


def test_stop_of_a_daemon_without_callers_waits_for_its_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against runs of other entries that a stop in the start cuts."""
    # The signals are those of the test process.
    monkeypatch.setattr(app, "handle_signals", lambda on_stop, on_reload: None)
    monkeypatch.setattr(app, "ignore_signals", lambda: None)

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            entry = await fleet.add(BackendStandIn("lists", "i-0"))
            backend = BackendStandIn("notes", "i-1", delay_s=1.0)
            await backend.start()
            settings = make_mesh_settings("vm-9", "notes", backend.address)
            settings = attrs.evolve(settings, store_address=fleet.store_address)
            daemon = fleet.make_daemon(settings)
            fleet.configure(make_route("/a/", "notes", kind="unsafe"))
            with contextlib.closing(take_port(settings.callers_address)):
                running = asyncio.create_task(daemon.run())
                await wait_until(lambda: daemon.config.current is not None)
                await daemon.control.handle(backend.make_heartbeat())
                await wait_until(lambda: entry.directory.members.ready("notes"))
                call = asyncio.create_task(fleet.call(entry, "/a/"))
                await wait_until(lambda: backend.runs)
                daemon.request_stop()
                assert (await call).status == 200
                await running
            assert backend.server is not None
            await backend.server.stop()

    asyncio.run(scenario())
