"""Guard against long waits on connections that silently drop all bytes."""

import pathlib
import socket
import time
from collections.abc import Iterator

import attrs
import pytest

from experiments.harness import LoadResult
from testing.fleet import Fleet, wait_until
from testing.promises.load import (
    apply_load,
    assert_all_complete,
    classify_outcome,
    make_streams,
)
from testing.promises.shapes import QUICK_SETTINGS
from testing.shapes import ServiceShape, Shape, TeamShape

pytestmark = pytest.mark.processes

BOTH = ("to_target", "to_client")
DIRECTIONS = [BOTH, ("to_target",), ("to_client",)]
IDLE_TIMEOUT_MS = 1_500
# A configuration change must be in force everywhere within this time.
CHANGE_LIMIT_MS = 11_000.0
FAULT_AT_MS = 1_000.0
# A link counts as silent after 750 ms without a byte, checked every 250 ms.
LINK_DETECTION_MS = 1_000.0

SHAPE = Shape(
    name="silent",
    failure_domains=("bilbao", "santander"),
    services=(
        ServiceShape(name="fichero", targets=2, slots=20, service_ms=5),
        ServiceShape(name="registro", targets=2, slots=20, service_ms=5),
        ServiceShape(name="lemario", targets=1, slots=20, service_ms=5),
    ),
    teams=(TeamShape(name="academia", rate_per_s=2_000.0, burst_calls=2_000),),
    capacity_per_s=500.0,
    settings={**QUICK_SETTINGS, "caller_idle_ms": IDLE_TIMEOUT_MS},
)
ATTEMPT_TIMEOUT_MS = SHAPE.attempt_timeout_ms


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run a fully proxied fleet, shared by this module."""
    directory = tmp_path_factory.mktemp("silent")
    with Fleet(SHAPE, directory, fully_proxied=True, keep_runs=True) as fleet:
        fleet.wait_ready()
        yield fleet


@pytest.fixture
def fleet(shared_fleet: Fleet) -> Iterator[Fleet]:
    """Return the shared fleet; reset its backend servers afterwards."""
    shared_fleet.wait_ready()
    yield shared_fleet
    for vm in shared_fleet.vms:
        shared_fleet.set_backend(vm, slowdown=1.0, payload_bytes=100)


def find_slowest_ms(result: LoadResult, from_ms: float, to_ms: float) -> float:
    """Return the longest latency of requests that arrived in an interval."""
    latencies_ms = [
        one.end_ms - one.start_ms for one in result.select_arrivals(from_ms, to_ms)
    ]
    return max(latencies_ms, default=0.0)


def print_fault_impact(name: str, result: LoadResult) -> None:
    """Print the slow requests and the goodput around the fault."""
    during = result.select_arrivals(FAULT_AT_MS - 200, FAULT_AT_MS + 2_000)
    slow = [one for one in during if one.end_ms - one.start_ms > 500]
    whole = sum(one.whole for one in during)
    print(
        f"{name}: {len(slow)} slow requests, slowest "
        f"{find_slowest_ms(result, 0, 1e9):.0f} ms, goodput during the fault "
        f"{100 * whole / len(during):.1f}%"
    )


@pytest.mark.parametrize("directions", DIRECTIONS)
@pytest.mark.parametrize("service", ["registro", "lemario"])
def test_silent_links_delay_requests_by_their_detection_only(
    fleet: Fleet, service: str, directions: tuple[str, ...]
) -> None:
    """Guard against requests that wait on a silent link past its detection.

    They are resent to another target, or to the only one over a new link. With
    silent links to both targets, a request can wait for one after the other.
    """
    assert fleet.proxy is not None
    silenced: list[int] = []

    def silence(fleet: Fleet) -> None:
        assert fleet.proxy is not None
        for vm in fleet.select_vms(service=service):
            silenced.append(fleet.proxy.silence(f"{vm.name}/link", directions))

    streams = make_streams(
        fleet, views_per_s=60.0, filings_per_s=20.0, path=f"/{service}"
    )
    result = apply_load(
        fleet,
        streams,
        3_500,
        name=f"link-{service}-{len(directions)}-{directions[0]}",
        events=[(FAULT_AT_MS, silence)],
    )
    print_fault_impact(f"link of {service}, silent {directions}", result)
    assert min(silenced) > 0
    assert_all_complete(result)
    limit_ms = LINK_DETECTION_MS * len(silenced) + ATTEMPT_TIMEOUT_MS / 4
    assert find_slowest_ms(result, 0, 1e9) < limit_ms


@pytest.mark.parametrize("directions", DIRECTIONS)
def test_reads_on_silent_connections_to_a_backend_server_are_resent(
    fleet: Fleet, directions: tuple[str, ...]
) -> None:
    """Guard against reads that fail on a silent backend connection.

    Each is resent within its attempt, over a new connection.
    """
    silenced: list[int] = []

    def silence(fleet: Fleet) -> None:
        assert fleet.proxy is not None
        silenced.append(fleet.proxy.silence("lemario-1/backend", directions))

    streams = make_streams(fleet, views_per_s=60.0, path="/lemario")
    streams = [attrs.evolve(stream, resends=0) for stream in streams]
    result = apply_load(
        fleet,
        streams,
        4_000,
        name=f"backend-{len(directions)}-{directions[0]}",
        events=[(FAULT_AT_MS, silence)],
    )
    print_fault_impact(f"backend server, silent {directions}", result)
    assert silenced[0] > 0
    assert_all_complete(result)
    assert find_slowest_ms(result, 0, 1e9) < ATTEMPT_TIMEOUT_MS
    # Once one is detected, connections of its age are not reused.
    assert (
        find_slowest_ms(result, FAULT_AT_MS + ATTEMPT_TIMEOUT_MS, 1e9)
        < ATTEMPT_TIMEOUT_MS / 4
    )


def test_filing_on_a_silent_connection_to_its_backend_server_is_unknown(
    fleet: Fleet,
) -> None:
    """Guard against a resend, or "not run", for a filing that may have run."""
    silenced: list[int] = []

    def silence(fleet: Fleet) -> None:
        assert fleet.proxy is not None
        silenced.append(fleet.proxy.silence("lemario-1/backend", ("to_client",)))

    streams = make_streams(fleet, views_per_s=5.0, filings_per_s=20, path="/lemario")
    result = apply_load(
        fleet, streams, 3_000, name="filing", events=[(FAULT_AT_MS, silence)]
    )
    assert silenced[0] > 0
    lines = fleet.read_run_lines()
    for one in result.outcomes:
        if one.kind == "file":
            runs = lines.count(f"POST /lemario/file {one.marker}")
            assert runs == 1, one
            assert one.whole or not one.never_run, one
            assert classify_outcome(one) in (
                "whole",
                "outcome_unknown",
                "deadline_exceeded",
            )
    assert all(one.whole for one in result.select_arrivals(2_000, 3_000))


def open_connection(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=5)


def make_request_bytes(fleet: Fleet, path: str) -> bytes:
    key = fleet.shape.teams[0].key
    return f"GET {path} HTTP/1.1\r\nX-Api-Key: {key}\r\n\r\n".encode()


def count_caller_load(fleet: Fleet, vm: str) -> tuple[int, int]:
    """Return the number of caller connections and of requests in flight."""
    state = fleet.get_admin_json(vm, "/dump")["requests"]
    return state["caller_connections"], state["entry_in_flight_calls"]


def test_entry_closes_connections_of_silent_callers(fleet: Fleet) -> None:
    """Guard against connections and requests of silent callers that stay.

    A third of the connections is idle, a third has a request in flight and a
    third has sent half a request.
    """
    assert fleet.proxy is not None
    vm = "fichero-1"
    wait_until(
        lambda: count_caller_load(fleet, vm) == (0, 0), 10_000, "no caller is connected"
    )
    fleet.set_backend("lemario-1", slowdown=400.0)
    sockets = [open_connection(fleet.get_entry_address(vm)) for _ in range(30)]
    request = make_request_bytes(fleet, "/lemario/view")
    for number, caller in enumerate(sockets):
        if number % 3 == 1:
            caller.sendall(request)
        if number % 3 == 2:
            caller.sendall(request[:30])
    wait_until(
        lambda: count_caller_load(fleet, vm) == (30, 10),
        5_000,
        "all callers are connected",
    )
    fleet.proxy.silence(f"{vm}/ingress")
    started_s = time.monotonic()
    wait_until(
        lambda: count_caller_load(fleet, vm) == (0, 0),
        20_000,
        "all connections are closed",
    )
    took_ms = (time.monotonic() - started_s) * 1e3
    print(f"connections of silent callers closed after {took_ms:.0f} ms")
    # First the deadline of the request passes, then the idle timeout.
    assert took_ms < SHAPE.deadline_ms + IDLE_TIMEOUT_MS + 2_000
    for caller in sockets:
        caller.close()


def test_entry_closes_the_connection_of_a_caller_that_reads_no_answers(
    fleet: Fleet,
) -> None:
    """Guard against unbounded memory for answers that a caller never reads."""
    vm = "fichero-1"
    wait_until(
        lambda: count_caller_load(fleet, vm) == (0, 0), 10_000, "no caller is connected"
    )
    fleet.set_backend("fichero-1", payload_bytes=900_000)
    fleet.set_backend("fichero-2", payload_bytes=900_000)
    before_kb = read_peak_memory_kb(fleet, vm)
    caller = open_connection(fleet.vms[vm].ingress_address)
    caller.sendall(make_request_bytes(fleet, "/fichero/view") * 100)
    wait_until(
        lambda: count_caller_load(fleet, vm)[0] == 1, 5_000, "the caller is connected"
    )
    wait_until(
        lambda: count_caller_load(fleet, vm) == (0, 0),
        20_000,
        "its connection is closed",
    )
    grown_kb = read_peak_memory_kb(fleet, vm) - before_kb
    print(f"peak memory grew by {grown_kb} kB for 100 requests of 900 kB")
    assert grown_kb < 30_000
    caller.close()


def read_peak_memory_kb(fleet: Fleet, vm: str) -> int:
    """Return the peak resident memory of the daemon of ``vm``, in kB."""
    daemon = fleet.vms[vm].daemon
    assert daemon is not None
    status = pathlib.Path(f"/proc/{daemon.pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0])


@pytest.mark.parametrize("link", ["control", "store"])
def test_change_takes_effect_past_silent_control_connections(
    fleet: Fleet, link: str
) -> None:
    """Guard against silent connections that keep a change from taking effect.

    These are the streams between daemons, or watches and calls of the store.
    """
    assert fleet.proxy is not None
    names = ["store"] if link == "store" else [f"{vm}/control" for vm in fleet.vms]
    silenced = sum(fleet.proxy.silence(name) for name in names)
    assert silenced > 0
    document, revision = fleet.read_document()
    document["version"] += 1
    fleet.write_document(document, revision)
    started_s = time.monotonic()

    def is_in_force() -> bool:
        states = [fleet.get_admin_json(vm, "/dump")["control"] for vm in fleet.vms]
        return all(s["config_version"] >= document["version"] for s in states)

    wait_until(is_in_force, CHANGE_LIMIT_MS, "the change is in force")
    took_ms = (time.monotonic() - started_s) * 1e3
    print(f"{link}: {silenced} silent connections, in force after {took_ms:.0f} ms")
    # Tokens arrive over connections that were silent as well.
    fleet.wait_ready(CHANGE_LIMIT_MS)
    served_ms = (time.monotonic() - started_s) * 1e3
    print(f"{link}: requests with a key served by all after {served_ms:.0f} ms")
