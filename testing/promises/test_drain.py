"""Guard against requests sent to a draining VM or lost by its stop."""

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
from testing.promises.load import apply_load, assert_all_complete, make_streams
from testing.promises.shapes import QUICK_SETTINGS
from testing.shapes import ServiceShape, Shape, TeamShape

pytestmark = pytest.mark.processes

DRAIN_NOTICE_MS = float(QUICK_SETTINGS["drain_notice_ms"])
# The requirement is that no work arrives "after a few seconds".
STOP_SENDING_LIMIT_MS = 3_000.0
DRAINING_VM = "fichero-1"

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


class AllRoutesOpenShape(Shape):
    """A shape whose routes are all open, so that calls need no tokens."""

    def document(self) -> dict[str, object]:
        """Return the first configuration with all routes open."""
        document = super().document()
        for route in document["routes"].values():
            route["open"] = True
        return document


def _run_fleet(
    shape: Shape, directory: pathlib.Path, **options: bool
) -> Iterator[Fleet]:
    """Run a fleet that records its runs, and yield it once it is ready."""
    with Fleet(shape, directory, keep_runs=True, **options) as fleet:  # type: ignore[arg-type]
        fleet.wait_ready()
        yield fleet


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run a fully proxied fleet, shared by this module."""
    yield from _run_fleet(SHAPE, tmp_path_factory.mktemp("drain"), fully_proxied=True)


@pytest.fixture
def fleet(shared_fleet: Fleet) -> Iterator[Fleet]:
    """Return the shared fleet with every VM running."""
    shared_fleet.restore_vms()
    shared_fleet.wait_ready()
    yield shared_fleet
    shared_fleet.restore_vms()


def count_started_runs(fleet: Fleet, vm: str) -> int:
    """Return the number of requests that the backend server started."""
    path = fleet.directory / f"{vm}.runs"
    return len(path.read_text().splitlines()) if path.exists() else 0


def wait_for_new_runs(fleet: Fleet, vm: str) -> None:
    """Wait until the backend server of ``vm`` starts another request."""
    before = count_started_runs(fleet, vm)
    wait_until(
        lambda: count_started_runs(fleet, vm) > before, 10_000, f"requests run at {vm}"
    )


def get_daemon(fleet: Fleet, vm: str) -> "subprocess.Popen[bytes]":
    """Return the process of the daemon of ``vm``."""
    daemon = fleet.vms[vm].daemon
    assert daemon is not None
    return daemon


def shut_down_daemon(fleet: Fleet, vm: str) -> float:
    """Shut down the daemon of ``vm`` gracefully; return the time, in ms."""
    started_s = time.monotonic()
    fleet.terminate(vm)
    assert get_daemon(fleet, vm).wait(timeout=15) == 0
    return (time.monotonic() - started_s) * 1e3


def set_stops(fleet: Fleet, stops: dict[str, dict[str, int]]) -> None:
    """Write planned stops into the store, as a confirmed plan does."""
    document, revision = fleet.read_document()
    document["version"] += 1
    document["stops"] = stops
    fleet.write_document(document, revision)


def test_rolling_restart_of_every_vm_loses_no_request(fleet: Fleet) -> None:
    """Guard against requests lost by a rolling restart under load.

    Every daemon in turn shuts down on SIGTERM and starts again.
    """
    durations_ms: list[float] = []

    def restart_daemons(fleet: Fleet) -> None:
        for vm in fleet.vms:
            durations_ms.append(shut_down_daemon(fleet, vm))
            fleet.start_vm(vm, backend=False)
            wait_for_new_runs(fleet, vm)

    streams = make_streams(fleet, views_per_s=40.0, filings_per_s=20.0)
    result = apply_load(
        fleet, streams, 20_000, name="rolling", events=[(500.0, restart_daemons)]
    )
    print("shutdowns in ms:", [round(value) for value in durations_ms])
    assert len(durations_ms) == len(fleet.vms)
    assert_all_complete(result)


def test_planned_stop_diverts_requests_until_it_is_cancelled(fleet: Fleet) -> None:
    """Guard against requests at a VM during its planned stop, or none after.

    The stop is written to the configuration and removed from it again.
    """
    counts: list[int] = []

    def stop(fleet: Fleet) -> None:
        set_stops(fleet, {DRAINING_VM: {"start_wall_ms": int(time.time() * 1e3)}})

    def count(fleet: Fleet) -> None:
        counts.append(count_started_runs(fleet, DRAINING_VM))

    def cancel(fleet: Fleet) -> None:
        set_stops(fleet, {})
        wait_for_new_runs(fleet, DRAINING_VM)

    events = [
        (500.0, stop),
        (500.0 + STOP_SENDING_LIMIT_MS, count),
        (1_500.0 + STOP_SENDING_LIMIT_MS, count),
        (1_600.0 + STOP_SENDING_LIMIT_MS, cancel),
    ]
    streams = make_streams(fleet, views_per_s=40.0, filings_per_s=20.0)
    result = apply_load(fleet, streams, 6_500, name="planned stop", events=events)
    assert counts[0] == counts[1]
    assert counts[0] > 0
    assert_all_complete(result)


def test_drain_while_the_store_is_down_and_another_target_dies(fleet: Fleet) -> None:
    """Guard against failed requests in flight, or child calls, in a drain."""
    fleet.set_backend(DRAINING_VM, slowdown=200.0)
    assert fleet.store is not None
    answers: list[int] = []
    team = fleet.shape.teams[0]

    def call_slowly() -> None:
        headers = {"Authorization": f"Bearer {team.key}", "X-Marker": "slow"}
        headers["Eelgrassweir-Deadline-Ms"] = "3000"
        # The request stays within one process, so the draining daemon has it.
        response = fleet.call(DRAINING_VM, "GET", "/fichero/view", headers=headers)
        answers.append(response.status)

    fleet.store.send_signal(signal.SIGSTOP)
    try:
        threads = [threading.Thread(target=call_slowly) for _ in range(8)]
        for thread in threads:
            thread.start()
        wait_until(
            lambda: fleet.get_backend_state(DRAINING_VM)["in_flight"] > 0,
            5_000,
            "requests are in flight",
        )
        fleet.terminate(DRAINING_VM)
        fleet.kill("fichero-3")
        for thread in threads:
            thread.join()
        assert answers == [200] * 8
        assert get_daemon(fleet, DRAINING_VM).wait(timeout=15) == 0
    finally:
        fleet.store.send_signal(signal.SIGCONT)
        fleet.set_backend(DRAINING_VM, slowdown=1.0)


def test_paused_daemon_stops_when_it_resumes_after_sigterm(fleet: Fleet) -> None:
    """Guard against a paused daemon that misses SIGTERM or fails requests.

    The other VMs must serve all requests meanwhile.
    """

    def pause(fleet: Fleet) -> None:
        fleet.pause(DRAINING_VM)
        fleet.terminate(DRAINING_VM)

    def resume(fleet: Fleet) -> None:
        fleet.resume(DRAINING_VM)
        assert get_daemon(fleet, DRAINING_VM).wait(timeout=15) == 0

    others = tuple(vm for vm in fleet.vms if vm != DRAINING_VM)
    streams = make_streams(fleet, views_per_s=40.0)
    events = [(500.0, pause), (3_500.0, resume)]
    result = apply_load(
        fleet, streams, 5_500, name="paused", events=events, entries=others
    )
    assert_all_complete(result)


def test_drain_of_the_last_target_is_refused_as_not_run(fleet: Fleet) -> None:
    """Guard against calls without an answer when no target is left.

    They get an answer or "not run", and are served again after the drain.
    """
    fleet.kill("registro-2")
    counts: list[int] = []

    def drain(fleet: Fleet) -> None:
        fleet.set_backend("registro-1", state="draining")

    def count(fleet: Fleet) -> None:
        counts.append(count_started_runs(fleet, "registro-1"))

    def cancel(fleet: Fleet) -> None:
        fleet.set_backend("registro-1", state="ready")
        wait_for_new_runs(fleet, "registro-1")

    events = [
        (1_000.0, drain),
        (1_000.0 + STOP_SENDING_LIMIT_MS, count),
        (1_500.0 + STOP_SENDING_LIMIT_MS, count),
        (1_600.0 + STOP_SENDING_LIMIT_MS, cancel),
    ]
    streams = make_streams(fleet, views_per_s=40.0, path="/registro")
    streams = [attrs.evolve(stream, resends=0) for stream in streams]
    entries = tuple(vm for vm in fleet.vms if vm != "registro-2")
    result = apply_load(
        fleet, streams, 6_500, name="last target", events=events, entries=entries
    )
    assert counts[0] == counts[1]
    for outcome in result.outcomes:
        assert outcome.whole or outcome.not_run, outcome
        assert not outcome.broken, outcome
    assert all(outcome.whole for outcome in result.select_arrivals(0, 1_000))
    assert any(outcome.whole for outcome in result.select_arrivals(6_200, 6_500))


def test_child_calls_of_requests_in_flight_reach_the_last_target(
    fleet: Fleet,
) -> None:
    """Guard against failed child calls of requests that began before a drain.

    The only target of the child calls announces its drain meanwhile.
    """
    fleet.kill("registro-2")
    headers = {"Authorization": f"Bearer {fleet.shape.teams[0].key}"}
    headers["X-Marker"] = "in-flight"
    wait_until(
        lambda: (
            fleet.call(DRAINING_VM, "GET", "/fichero/view", headers=headers).status
            == 200
        ),
        10_000,
        "registro-2 is marked as down",
    )
    answers: list[int] = []
    threads = []
    for method, path in (("GET", "/fichero/view"), ("POST", "/fichero/file")) * 4:
        sent = dict(headers)
        if method == "POST":
            refusal = fleet.call(DRAINING_VM, method, path, headers=headers).json()
            sent["Idempotency-Key"] = refusal["ticket"]

        def send(method: str = method, path: str = path, sent: Any = sent) -> None:
            answer = fleet.call(DRAINING_VM, method, path, headers=sent)
            answers.append(answer.status)

        threads.append(threading.Thread(target=send))
    front_vms = [vm.name for vm in fleet.select_vms(service="fichero")]
    for vm in front_vms:
        # The child call starts within the drain notice, once it is announced.
        fleet.set_backend(vm, slowdown=60.0)
    for thread in threads:
        thread.start()
    wait_until(
        lambda: sum(fleet.get_backend_state(vm)["in_flight"] for vm in front_vms) == 8,
        5_000,
        "all requests are in flight",
    )
    fleet.set_backend("registro-1", state="draining")
    for thread in threads:
        thread.join()
    for vm in front_vms:
        fleet.set_backend(vm, slowdown=1.0)
    fleet.set_backend("registro-1", state="ready")
    assert answers == [200] * 8


def _send_once(address: str, key: str, send_at_s: float, results: list[str]) -> None:
    """Send one request on a connection that was idle until ``send_at_s``.

    Append the status line, or what happened instead, to ``results``.
    """
    host, _, port = address.rpartition(":")
    request = f"GET /fichero/view HTTP/1.1\r\nX-Api-Key: {key}\r\n".encode()
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(request + b"\r\n")
        assert connection.recv(65_536).startswith(b"HTTP/1.1 ")
        # The drain has not started yet, so the connection is kept open.
        connection.setblocking(False)
        time.sleep(max(0.0, send_at_s - time.monotonic()))
        try:
            early_data = connection.recv(65_536)
        except BlockingIOError:
            early_data = None
        if early_data is not None:
            results.append("closed before it was used")
            return
        connection.settimeout(5)
        try:
            connection.sendall(request + b"\r\n")
            answer = connection.recv(65_536)
        except OSError:
            answer = b""
        results.append(answer.split(b"\r\n")[0].decode() or "no answer")


def test_request_that_crosses_the_close_of_its_connection_is_answered(
    fleet: Fleet,
) -> None:
    """Guard against requests lost on idle connections that are being closed.

    A delay of 40 ms in each direction makes requests and closes cross.
    """
    assert fleet.proxy is not None
    address = fleet.get_entry_address(DRAINING_VM)
    key = fleet.shape.teams[0].key
    seed = 5
    rng = random.Random(seed)
    results: list[str] = []
    fleet.proxy.delay(f"{DRAINING_VM}/ingress", 40.0)
    stop_at_s = time.monotonic() + 1.5
    close_at_s = stop_at_s + DRAIN_NOTICE_MS / 1e3
    threads = [
        threading.Thread(
            target=_send_once,
            args=(
                address,
                key,
                close_at_s + rng.uniform(-0.10, 0.20),
                results,
            ),
        )
        for _ in range(80)
    ]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, stop_at_s - time.monotonic()))
    shut_down_daemon(fleet, DRAINING_VM)
    for thread in threads:
        thread.join()
    fleet.proxy.delay(f"{DRAINING_VM}/ingress", 0.0)
    print(f"seed {seed}:", {result: results.count(result) for result in results})
    assert len(results) == len(threads)
    assert "no answer" not in results


@pytest.fixture
def open_fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    """Run a fleet whose routes are open and make no child calls."""
    values = {field.name: getattr(SHAPE, field.name) for field in attrs.fields(Shape)}
    values["services"] = (
        ServiceShape(name="fichero", targets=3, slots=20, service_ms=5),
        ServiceShape(name="registro", targets=2, slots=20, service_ms=5),
    )
    yield from _run_fleet(AllRoutesOpenShape(**values), tmp_path, proxied=True)


def test_entry_with_stale_membership_stops_sending(open_fleet: Fleet) -> None:
    """Guard against an entry that keeps sending to a VM whose drain it missed.

    It misses the announcement because its control streams are cut.
    """
    fleet = open_fleet
    assert fleet.proxy is not None
    states = {vm: fleet.get_admin_json(vm, "/dump")["control"] for vm in fleet.vms}
    stale = next(
        vm
        for vm, state in states.items()
        if not state["children"] and not state["is_relay"] and vm != DRAINING_VM
    )
    counts: list[int] = []

    def cut_and_drain(fleet: Fleet) -> None:
        assert fleet.proxy is not None
        for vm in fleet.vms:
            fleet.proxy.refuse(f"{vm}/control")
            fleet.proxy.cut(f"{vm}/control")
        fleet.set_backend(DRAINING_VM, state="draining")

    def count(fleet: Fleet) -> None:
        counts.append(count_started_runs(fleet, DRAINING_VM))

    events = [
        (500.0, cut_and_drain),
        (500.0 + STOP_SENDING_LIMIT_MS, count),
        (2_500.0 + STOP_SENDING_LIMIT_MS, count),
    ]
    # Calls without a key need no tokens, which arrive over the cut streams.
    streams = [
        attrs.evolve(stream, key="none")
        for stream in make_streams(fleet, views_per_s=60.0)
    ]
    result = apply_load(
        fleet, streams, 6_500, name="stale", events=events, entries=(stale,)
    )
    assert fleet.get_admin_json(stale, "/dump")["control"]["members_known"] == len(
        fleet.vms
    )
    assert counts[0] == counts[1]
    assert counts[0] > 0
    assert_all_complete(result)
