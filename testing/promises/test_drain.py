"""Guard against work for a leaving VM and against requests that it cuts."""

import pathlib
import random
import signal
import socket
import subprocess
import threading
import time
from collections.abc import Iterator
from typing import Any

import attrs
import pytest

from testing.fleet import Fleet, wait_until
from testing.promises.load import assert_nothing_cut, load, make_streams
from testing.promises.shapes import QUICK_SETTINGS
from testing.shapes import ServiceShape, Shape, TeamShape

pytestmark = pytest.mark.processes

NOTICE_MS = float(QUICK_SETTINGS["drain_notice_ms"])
# "After a few seconds" in the requirement.
FEW_SECONDS_MS = 3_000.0
LEAVING = "fichero-1"

SHAPE = Shape(
    name="drain",
    failure_domains=("bilbao", "santander"),
    services=(
        ServiceShape(
            name="fichero", targets=3, slots=20, service_ms=5, calls=("registro",)
        ),
        ServiceShape(name="registro", targets=2, slots=20, service_ms=5),
    ),
    teams=(TeamShape(name="academia", rate_per_s=2_000.0, burst_calls=2_000),),
    capacity_per_s=500.0,
    settings=QUICK_SETTINGS,
)


class OpenShape(Shape):
    """Open the routes, so that no tokens are needed."""

    def document(self) -> dict[str, object]:
        document = super().document()
        for route in document["routes"].values():
            route["open"] = True
        return document


def _run(shape: Shape, directory: pathlib.Path, **options: bool) -> Iterator[Fleet]:
    with Fleet(shape, directory, keep_runs=True, **options) as fleet:  # type: ignore[arg-type]
        fleet.wait_ready()
        yield fleet


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    yield from _run(SHAPE, tmp_path_factory.mktemp("drain"), fully_proxied=True)


@pytest.fixture
def fleet(shared: Fleet) -> Iterator[Fleet]:
    """Return the shared fleet with every VM running."""
    shared.repair()
    shared.wait_ready()
    yield shared
    shared.repair()


def started_runs(fleet: Fleet, vm: str) -> int:
    """Return how many runs the backend server of ``vm`` has started."""
    path = fleet.directory / f"{vm}.runs"
    return len(path.read_text().splitlines()) if path.exists() else 0


def wait_for_new_runs(fleet: Fleet, vm: str) -> None:
    before = started_runs(fleet, vm)
    wait_until(lambda: started_runs(fleet, vm) > before, 10_000, f"work at {vm}")


def daemon_of(fleet: Fleet, vm: str) -> "subprocess.Popen[bytes]":
    daemon = fleet.vms[vm].daemon
    assert daemon is not None
    return daemon


def leave(fleet: Fleet, vm: str) -> float:
    """Stop the daemon of ``vm`` as planned; return how long it took, in ms."""
    started_s = time.monotonic()
    fleet.terminate(vm)
    assert daemon_of(fleet, vm).wait(timeout=15) == 0
    return (time.monotonic() - started_s) * 1e3


def set_stops(fleet: Fleet, stops: dict[str, dict[str, int]]) -> None:
    """Write planned stops as a confirmed plan does."""
    document, revision = fleet.read_document()
    document["version"] += 1
    document["stops"] = stops
    fleet.write_document(document, revision)


def test_rolling_restart_of_every_vm_cuts_nothing(fleet: Fleet) -> None:
    """Every daemon in turn ends by SIGTERM and starts again, under load."""
    done: list[float] = []

    def roll(fleet: Fleet) -> None:
        for vm in fleet.vms:
            done.append(leave(fleet, vm))
            fleet.start_vm(vm, backend=False)
            wait_for_new_runs(fleet, vm)

    streams = make_streams(fleet, views_per_s=40.0, filings_per_s=20.0)
    result = load(fleet, streams, 20_000, name="rolling", events=[(500.0, roll)])
    print("stops in ms:", [round(value) for value in done])
    assert len(done) == len(fleet.vms)
    assert_nothing_cut(result)


def test_planned_stop_takes_work_away_and_its_end_brings_it_back(
    fleet: Fleet,
) -> None:
    """The stop comes from the document and is cancelled there again."""
    counts: list[int] = []

    def stop(fleet: Fleet) -> None:
        set_stops(fleet, {LEAVING: {"start_wall_ms": int(time.time() * 1e3)}})

    def count(fleet: Fleet) -> None:
        counts.append(started_runs(fleet, LEAVING))

    def cancel(fleet: Fleet) -> None:
        set_stops(fleet, {})
        wait_for_new_runs(fleet, LEAVING)

    events = [
        (500.0, stop),
        (500.0 + FEW_SECONDS_MS, count),
        (1_500.0 + FEW_SECONDS_MS, count),
        (1_600.0 + FEW_SECONDS_MS, cancel),
    ]
    streams = make_streams(fleet, views_per_s=40.0, filings_per_s=20.0)
    result = load(fleet, streams, 6_500, name="planned stop", events=events)
    assert counts[0] == counts[1]
    assert counts[0] > 0
    assert_nothing_cut(result)


def test_drain_while_the_store_is_down_and_a_neighbour_dies(fleet: Fleet) -> None:
    """Requests in flight at the leaving VM end whole, child calls included."""
    fleet.set_backend(LEAVING, slowdown=200.0)
    assert fleet.store is not None
    answers: list[int] = []
    team = fleet.shape.teams[0]

    def call_slowly() -> None:
        headers = {"Authorization": f"Bearer {team.key}", "X-Marker": "slow"}
        headers["Eelgrassweir-Deadline-Ms"] = "3000"
        # The request stays in one process, so that the leaving daemon has it.
        response = fleet.call(LEAVING, "GET", "/fichero/view", headers=headers)
        answers.append(response.status)

    fleet.store.send_signal(signal.SIGSTOP)
    try:
        threads = [threading.Thread(target=call_slowly) for _ in range(8)]
        for thread in threads:
            thread.start()
        wait_until(
            lambda: fleet.backend_state(LEAVING)["in_flight"] > 0, 5_000, "in flight"
        )
        fleet.terminate(LEAVING)
        fleet.kill("fichero-3")
        for thread in threads:
            thread.join()
        assert answers == [200] * 8
        assert daemon_of(fleet, LEAVING).wait(timeout=15) == 0
    finally:
        fleet.store.send_signal(signal.SIGCONT)
        fleet.set_backend(LEAVING, slowdown=1.0)


def test_paused_daemon_that_is_told_to_stop_ends_when_it_wakes(fleet: Fleet) -> None:
    """The others serve on meanwhile, and nothing runs twice."""

    def pause(fleet: Fleet) -> None:
        fleet.stop(LEAVING)
        fleet.terminate(LEAVING)

    def wake(fleet: Fleet) -> None:
        fleet.cont(LEAVING)
        assert daemon_of(fleet, LEAVING).wait(timeout=15) == 0

    others = tuple(vm for vm in fleet.vms if vm != LEAVING)
    streams = make_streams(fleet, views_per_s=40.0)
    events = [(500.0, pause), (3_500.0, wake)]
    result = load(fleet, streams, 5_500, name="paused", events=events, entries=others)
    assert_nothing_cut(result)


def test_last_target_that_leaves_is_refused_honestly(fleet: Fleet) -> None:
    """Calls get an answer or "not run"; service comes back with the target."""
    fleet.kill("registro-2")
    counts: list[int] = []

    def drain(fleet: Fleet) -> None:
        fleet.set_backend("registro-1", state="draining")

    def count(fleet: Fleet) -> None:
        counts.append(started_runs(fleet, "registro-1"))

    def cancel(fleet: Fleet) -> None:
        fleet.set_backend("registro-1", state="ready")
        wait_for_new_runs(fleet, "registro-1")

    events = [
        (1_000.0, drain),
        (1_000.0 + FEW_SECONDS_MS, count),
        (1_500.0 + FEW_SECONDS_MS, count),
        (1_600.0 + FEW_SECONDS_MS, cancel),
    ]
    streams = make_streams(fleet, views_per_s=40.0, path="/registro")
    streams = [attrs.evolve(stream, resends=0) for stream in streams]
    entries = tuple(vm for vm in fleet.vms if vm != "registro-2")
    result = load(
        fleet, streams, 6_500, name="last target", events=events, entries=entries
    )
    assert counts[0] == counts[1]
    for one in result.outcomes:
        assert one.whole or one.not_run, one
        assert not one.broken, one
    assert all(one.whole for one in result.select_arrivals(0, 1_000))
    assert any(one.whole for one in result.select_arrivals(6_200, 6_500))


def test_child_calls_of_requests_in_flight_reach_the_last_target(
    fleet: Fleet,
) -> None:
    """The request runs before its only child target announces its drain."""
    fleet.kill("registro-2")
    headers = {"Authorization": f"Bearer {fleet.shape.teams[0].key}"}
    headers["X-Marker"] = "in-flight"
    wait_until(
        lambda: (
            fleet.call(LEAVING, "GET", "/fichero/view", headers=headers).status == 200
        ),
        10_000,
        "the other target counts as down",
    )
    answers: list[int] = []
    threads = []
    for method, path in (("GET", "/fichero/view"), ("POST", "/fichero/file")) * 4:
        sent = dict(headers)
        if method == "POST":
            refusal = fleet.call(LEAVING, method, path, headers=headers).json()
            sent["Idempotency-Key"] = refusal["ticket"]

        def send(method: str = method, path: str = path, sent: Any = sent) -> None:
            answer = fleet.call(LEAVING, method, path, headers=sent)
            answers.append(answer.status)

        threads.append(threading.Thread(target=send))
    fronts = [vm.name for vm in fleet.vms_of(service="fichero")]
    for vm in fronts:
        # The child call starts after the announcement and within the notice.
        fleet.set_backend(vm, slowdown=60.0)
    for thread in threads:
        thread.start()
    wait_until(
        lambda: sum(fleet.backend_state(vm)["in_flight"] for vm in fronts) == 8,
        5_000,
        "all in flight",
    )
    fleet.set_backend("registro-1", state="draining")
    for thread in threads:
        thread.join()
    for vm in fronts:
        fleet.set_backend(vm, slowdown=1.0)
    fleet.set_backend("registro-1", state="ready")
    assert answers == [200] * 8


def _send_once(address: str, key: str, send_at_s: float, delays: list[str]) -> None:
    """Keep a connection idle until ``send_at_s``, then send one request."""
    host, _, port = address.rpartition(":")
    request = f"GET /fichero/view HTTP/1.1\r\nX-Api-Key: {key}\r\n".encode()
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(request + b"\r\n")
        assert connection.recv(65_536).startswith(b"HTTP/1.1 ")
        # The daemon has not begun to leave, so that the connection is kept.
        connection.setblocking(False)
        time.sleep(max(0.0, send_at_s - time.monotonic()))
        try:
            early = connection.recv(65_536)
        except BlockingIOError:
            early = None
        if early is not None:
            delays.append("closed before it was used")
            return
        connection.settimeout(5)
        try:
            connection.sendall(request + b"\r\n")
            answer = connection.recv(65_536)
        except OSError:
            answer = b""
        delays.append(answer.split(b"\r\n")[0].decode() or "no answer")


def test_request_that_crosses_the_close_of_its_connection_is_answered(
    fleet: Fleet,
) -> None:
    """Idle connections are closed while their callers send on them.

    A delay of 40 ms each way makes requests and closes cross.
    """
    assert fleet.proxy is not None
    address = fleet.entry_address(LEAVING)
    key = fleet.shape.teams[0].key
    seed = 5
    rng = random.Random(seed)
    results: list[str] = []
    fleet.proxy.delay(f"{LEAVING}/ingress", 40.0)
    leave_at_s = time.monotonic() + 1.5
    closes_s = leave_at_s + NOTICE_MS / 1e3
    threads = [
        threading.Thread(
            target=_send_once,
            args=(address, key, closes_s + rng.uniform(-0.10, 0.20), results),
        )
        for _ in range(80)
    ]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, leave_at_s - time.monotonic()))
    leave(fleet, LEAVING)
    for thread in threads:
        thread.join()
    fleet.proxy.delay(f"{LEAVING}/ingress", 0.0)
    print(f"seed {seed}:", {result: results.count(result) for result in results})
    assert len(results) == len(threads)
    assert "no answer" not in results


@pytest.fixture
def open_fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    values = {field.name: getattr(SHAPE, field.name) for field in attrs.fields(Shape)}
    values["services"] = (
        ServiceShape(name="fichero", targets=3, slots=20, service_ms=5),
        ServiceShape(name="registro", targets=2, slots=20, service_ms=5),
    )
    yield from _run(OpenShape(**values), tmp_path, proxied=True)


def test_entry_with_stale_membership_stops_sending(open_fleet: Fleet) -> None:
    """The entry misses the announcement, as its control streams are cut."""
    fleet = open_fleet
    assert fleet.proxy is not None
    states = {vm: fleet.admin(vm, "/dump")["control"] for vm in fleet.vms}
    stale = next(
        vm
        for vm, state in states.items()
        if not state["children"] and not state["is_relay"] and vm != LEAVING
    )
    counts: list[int] = []

    def cut_and_drain(fleet: Fleet) -> None:
        assert fleet.proxy is not None
        for vm in fleet.vms:
            fleet.proxy.refuse(f"{vm}/control")
            fleet.proxy.cut(f"{vm}/control")
        fleet.set_backend(LEAVING, state="draining")

    def count(fleet: Fleet) -> None:
        counts.append(started_runs(fleet, LEAVING))

    events = [
        (500.0, cut_and_drain),
        (500.0 + FEW_SECONDS_MS, count),
        (2_500.0 + FEW_SECONDS_MS, count),
    ]
    # Callers without a key need no tokens, which come over the cut streams.
    streams = [
        attrs.evolve(stream, key="none")
        for stream in make_streams(fleet, views_per_s=60.0)
    ]
    result = load(fleet, streams, 6_500, name="stale", events=events, entries=(stale,))
    assert fleet.admin(stale, "/dump")["control"]["members_known"] == len(fleet.vms)
    assert counts[0] == counts[1]
    assert counts[0] > 0
    assert_nothing_cut(result)
