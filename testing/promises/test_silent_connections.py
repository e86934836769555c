"""Guard against waiting on connections that carry nothing any more."""

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
IDLE_MS = 1_500
# A change of the configuration is in effect everywhere within this time.
IN_EFFECT_MS = 11_000.0
FAULT_AT_MS = 1_000.0
# A link is silent after 750 ms without a byte, judged every 250 ms.
LINK_SILENCE_MS = 1_000.0

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
    settings={**QUICK_SETTINGS, "caller_idle_ms": IDLE_MS},
)
ATTEMPT_MS = SHAPE.attempt_timeout_ms


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    directory = tmp_path_factory.mktemp("silent")
    with Fleet(SHAPE, directory, fully_proxied=True, keep_runs=True) as fleet:
        fleet.wait_ready()
        yield fleet


@pytest.fixture
def fleet(shared: Fleet) -> Iterator[Fleet]:
    """Return the shared fleet with every VM running."""
    shared.wait_ready()
    yield shared
    for vm in shared.vms:
        shared.set_backend(vm, slowdown=1.0, payload_bytes=100)


def slowest_ms(result: LoadResult, from_ms: float, to_ms: float) -> float:
    """Return the longest wait among requests that came between two times."""
    waits = [
        one.end_ms - one.start_ms for one in result.select_arrivals(from_ms, to_ms)
    ]
    return max(waits, default=0.0)


def report(name: str, result: LoadResult) -> None:
    """Print how long the fault was felt and the goodput through it."""
    during = result.select_arrivals(FAULT_AT_MS - 200, FAULT_AT_MS + 2_000)
    slow = [one for one in during if one.end_ms - one.start_ms > 500]
    whole = sum(one.whole for one in during)
    print(
        f"{name}: {len(slow)} slow requests, slowest "
        f"{slowest_ms(result, 0, 1e9):.0f} ms, goodput through the fault "
        f"{100 * whole / len(during):.1f}%"
    )


@pytest.mark.parametrize("directions", DIRECTIONS)
@pytest.mark.parametrize("service", ["registro", "lemario"])
def test_silent_links_delay_requests_by_their_detection_only(
    fleet: Fleet, service: str, directions: tuple[str, ...]
) -> None:
    """A read goes to another target, or to the only one over a new link.

    With the links of both targets silent it meets one after the other.
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
    report(f"link of {service}, silent {directions}", result)
    assert min(silenced) > 0
    assert_all_complete(result)
    longest_ms = LINK_SILENCE_MS * len(silenced) + ATTEMPT_MS / 4
    assert slowest_ms(result, 0, 1e9) < longest_ms


@pytest.mark.parametrize("directions", DIRECTIONS)
def test_silent_connections_to_a_backend_server(
    fleet: Fleet, directions: tuple[str, ...]
) -> None:
    """A read is sent again within its attempt, over a new connection."""
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
    report(f"backend server, silent {directions}", result)
    assert silenced[0] > 0
    assert_all_complete(result)
    assert slowest_ms(result, 0, 1e9) < ATTEMPT_MS
    # Connections of that age are not trusted once the first was found.
    assert slowest_ms(result, FAULT_AT_MS + ATTEMPT_MS, 1e9) < ATTEMPT_MS / 4


def test_filing_on_a_silent_connection_to_its_backend_server_is_unknown(
    fleet: Fleet,
) -> None:
    """It may have run: it is not sent again and not called "not run"."""
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


def connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=5)


def request_bytes(fleet: Fleet, path: str) -> bytes:
    key = fleet.shape.teams[0].key
    return f"GET {path} HTTP/1.1\r\nX-Api-Key: {key}\r\n\r\n".encode()


def caller_state(fleet: Fleet, vm: str) -> tuple[int, int]:
    """Return callers' connections and requests in progress at ``vm``."""
    state = fleet.get_admin_json(vm, "/dump")["requests"]
    return state["caller_connections"], state["entry_in_flight_calls"]


def test_entry_gives_up_callers_that_went_silent(fleet: Fleet) -> None:
    """Idle ones, ones with a request in progress and half-sent requests."""
    assert fleet.proxy is not None
    vm = "fichero-1"
    wait_until(lambda: caller_state(fleet, vm) == (0, 0), 10_000, "no callers")
    fleet.set_backend("lemario-1", slowdown=400.0)
    sockets = [connect(fleet.get_entry_address(vm)) for _ in range(30)]
    request = request_bytes(fleet, "/lemario/view")
    for number, caller in enumerate(sockets):
        if number % 3 == 1:
            caller.sendall(request)
        if number % 3 == 2:
            caller.sendall(request[:30])
    wait_until(lambda: caller_state(fleet, vm) == (30, 10), 5_000, "callers")
    fleet.proxy.silence(f"{vm}/ingress")
    started_s = time.monotonic()
    wait_until(lambda: caller_state(fleet, vm) == (0, 0), 20_000, "callers given up")
    took_ms = (time.monotonic() - started_s) * 1e3
    print(f"silent callers given up after {took_ms:.0f} ms")
    # The deadline of the request, then the idle limit.
    assert took_ms < SHAPE.deadline_ms + IDLE_MS + 2_000
    for caller in sockets:
        caller.close()


def test_entry_gives_up_a_caller_that_takes_no_answers(fleet: Fleet) -> None:
    """The answers would otherwise pile up in the entry without a bound."""
    vm = "fichero-1"
    wait_until(lambda: caller_state(fleet, vm) == (0, 0), 10_000, "no callers")
    fleet.set_backend("fichero-1", payload_bytes=900_000)
    fleet.set_backend("fichero-2", payload_bytes=900_000)
    resident_kb = memory_kb(fleet, vm)
    caller = connect(fleet.vms[vm].ingress_address)
    caller.sendall(request_bytes(fleet, "/fichero/view") * 100)
    wait_until(lambda: caller_state(fleet, vm)[0] == 1, 5_000, "the caller")
    wait_until(lambda: caller_state(fleet, vm) == (0, 0), 20_000, "caller given up")
    grown_kb = memory_kb(fleet, vm) - resident_kb
    print(f"memory grew by {grown_kb} kB for 100 requests of 900 kB")
    assert grown_kb < 30_000
    caller.close()


def memory_kb(fleet: Fleet, vm: str) -> int:
    daemon = fleet.vms[vm].daemon
    assert daemon is not None
    status = pathlib.Path(f"/proc/{daemon.pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0])


@pytest.mark.parametrize("link", ["control", "store"])
def test_change_takes_effect_past_silent_control_connections(
    fleet: Fleet, link: str
) -> None:
    """Streams between daemons, and watches and calls of the store."""
    assert fleet.proxy is not None
    names = ["store"] if link == "store" else [f"{vm}/control" for vm in fleet.vms]
    silenced = sum(fleet.proxy.silence(name) for name in names)
    assert silenced > 0
    document, revision = fleet.read_document()
    document["version"] += 1
    fleet.write_document(document, revision)
    started_s = time.monotonic()

    def is_in_effect() -> bool:
        states = [fleet.get_admin_json(vm, "/dump")["control"] for vm in fleet.vms]
        return all(s["config_version"] >= document["version"] for s in states)

    wait_until(is_in_effect, IN_EFFECT_MS, "the change is in effect")
    took_ms = (time.monotonic() - started_s) * 1e3
    print(f"{link}: {silenced} silent connections, in effect after {took_ms:.0f} ms")
    # Tokens come over channels that were silent as well.
    fleet.wait_ready(IN_EFFECT_MS)
    served_ms = (time.monotonic() - started_s) * 1e3
    print(f"{link}: keyed requests served by all after {served_ms:.0f} ms")
