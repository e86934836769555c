"""Guard against requests without a valid key and against leaked keys."""

import base64
import concurrent.futures
import http.client
import json
import pathlib
import signal
import time
import urllib.parse
from collections.abc import Iterator
from functools import partial
from typing import Any

import attrs
import pytest
import urllib3

from testing.fleet import Fleet, Vm, wait_until
from testing.promises.filing import count_runs
from testing.promises.partition import heal_partition, isolate_vms
from testing.promises.supervisor import Supervisor

pytestmark = pytest.mark.processes

VIEW = "/fichero/view"
# The requirement is "within seconds"; for changes in two years' time it is
# 11 s.
LIMIT_S = 5.0
# Time for one heartbeat and for one request on a busy machine.
TOLERANCE_S = 1.0
WITHDRAWN_CODES = {"key_unknown", "config_stale"}


@attrs.define
class Caller:
    """Send requests with one key over one connection to a daemon."""

    vm: Vm
    key: str
    connection: http.client.HTTPConnection | None = None

    def call(self, path: str = VIEW, method: str = "GET") -> str:
        """Send one request; return its refusal code or else its status."""
        self.send(path, method)
        return self.receive()

    def send(self, path: str = VIEW, method: str = "GET") -> None:
        """Send one request without waiting for the answer."""
        if self.connection is None:
            host, _, port = self.vm.ingress_address.rpartition(":")
            self.connection = http.client.HTTPConnection(host, int(port), timeout=10)
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        self.connection.request(method, path, headers=headers)

    def receive(self) -> str:
        """Return the refusal code of the answer or else its status."""
        assert self.connection is not None
        response = self.connection.getresponse()
        response.read()
        return response.getheader("Eelgrassweir-Refusal") or str(response.status)


@pytest.fixture
def supervisor(
    partition_fleet: Fleet, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Supervisor]:
    """Return a supervisor who keeps plans outside the fleet's directory."""
    yield Supervisor(partition_fleet, tmp_path_factory.mktemp("plans"), "fichero-1")


def gets_answer(caller: Caller, code: str) -> bool:
    """Send one request and tell whether its code or status is ``code``."""
    return caller.call() == code


def measure_last_use_s(
    callers: list[Caller], final_codes: set[str], limit_s: float
) -> float:
    """Send requests on all connections until each gets a final code.

    Return the monotonic time at which the last served request was sent, 0 if
    there was none. Fail after ``limit_s``.
    """
    last_s = 0.0
    remaining = list(callers)
    end_s = time.monotonic() + limit_s
    while remaining:
        assert time.monotonic() < end_s, [caller.vm.name for caller in remaining]
        for caller in list(remaining):
            sent_s = time.monotonic()
            code = caller.call()
            if code == "200":
                last_s = sent_s
            elif code in final_codes:
                remaining.remove(caller)
        time.sleep(0.02)
    return last_s


def connect_to_all(fleet: Fleet, key: str, connections: int = 2) -> list[Caller]:
    """Return callers connected to every daemon, with a working key."""
    callers = [Caller(vm, key) for vm in fleet.vms.values() for _ in range(connections)]
    for caller in callers:
        wait_until(
            partial(gets_answer, caller, "200"),
            10_000,
            f"the key works at {caller.vm.name}",
        )
    return callers


def test_open_routes_need_no_key_and_all_others_do(partition_fleet: Fleet) -> None:
    """Guard against a route that is open by mistake, or closed."""
    for vm in partition_fleet.vms.values():
        assert Caller(vm, "").call("/fichero/open") == "200"
        assert Caller(vm, "no-such-key-31c7-31c7").call("/fichero/open") == "200"
        assert Caller(vm, "").call() == "key_missing"
        assert Caller(vm, "no-such-key-31c7-31c7").call() == "key_unknown"
        assert Caller(vm, "").call("/fichero/file", "POST") == "key_missing"


def test_no_key_leaks_behind_the_entry(supervisor: Supervisor) -> None:
    """Guard against keys in backend requests, answers, dumps and files."""
    fleet = supervisor.fleet
    _, key = supervisor.grant_key("academia")
    unknown = "unknown-key-77aa-99bb-31c7"
    escaped = "".join(f"%{byte:02x}" for byte in key.encode())
    basic = base64.b64encode(f"user:{key}".encode()).decode()
    presented = [
        {"Authorization": f"Bearer {key}"},
        {"AUTHORIZATION": f"bearer   {key} "},
        {"X-Api-Key": key},
        {"x_api_key": key},
        {"X-Api-Key": key, "Authorization": f"Basic {basic}"},
        {"X-Api-Key": key, "Cookie": f"session={key}", "Proxy-Authorization": key},
        {"X-Api-Key": key, "X-Note": f"my key is {key}", f"X-{key}": "name"},
        {"X-Api-Key": key, "X-Note": escaped},
        {"X-Note": f"only here: {key}", "Referer": f"http://somewhere/?k={key}"},
        {"Authorization": f"Bearer {unknown}", "X-Note": unknown},
    ]
    targets = [
        (method, path + query, body)
        for path in (VIEW, "/fichero/open", "/fichero/file", "/nowhere")
        for method, query, body in (
            ("GET", "", b""),
            ("GET", f"?key={key}", b""),
            ("GET", f"/{escaped}?k={escaped}", b""),
            ("POST", "", f'{{"key": "{key}"}}'.encode()),
            ("POST", "", f"key={escaped}".encode()),
        )
    ]
    statuses = set()
    for headers in presented:
        for method, path, body in targets:
            sent = {**headers, "Content-Type": "application/x-www-form-urlencoded"}
            answer = fleet.call("fichero-1", method, path, headers=sent, body=body)
            content = str(answer.headers).encode() + answer.data
            assert not find_keys(content, key, unknown), (headers, method, path)
            statuses.add(answer.status)
            if find_keys(path.encode() + body, key):
                # A path or body cannot be redacted, so the request is refused.
                assert answer.headers.get("Eelgrassweir-Refusal"), (headers, path)
    assert statuses >= {200, 400, 401, 404}
    for name, vm in fleet.vms.items():
        state = json.dumps(fleet.get_backend_state(name, full=True)).encode()
        assert not find_keys(state, key, unknown), name
        for path in ("/dump", "/metrics", "/config", "/status"):
            url = f"http://{vm.admin_address}{path}"
            content = urllib3.request("GET", url, timeout=5.0).data
            assert not find_keys(content, key, unknown), (name, path)
    for file in pathlib.Path(fleet.directory).rglob("*"):
        if file.is_file():
            assert not find_keys(file.read_bytes(), key, unknown), file


def test_open_filing_runs_once_whatever_key_its_copies_carry(
    partition_fleet: Fleet,
) -> None:
    """Guard against a second run of a copy with another key or without one.

    A copy can be sent after its key was withdrawn.
    """
    key, marker = partition_fleet.shape.teams[0].key, "open-filing"
    path, ticket = "/fichero/sign", ""
    for sent in (
        key,
        key,
        "",
        "no-such-key-31c7-31c7",
        partition_fleet.shape.teams[1].key,
    ):
        headers = {"X-Marker": marker, "Idempotency-Key": ticket}
        headers |= {"X-Api-Key": sent} if sent else {}
        answer = partition_fleet.call("registro-1", "POST", path, headers=headers)
        ticket = ticket or str(answer.json()["ticket"])
    assert answer.status == 200
    assert count_runs(partition_fleet.directory, marker) == 1


def find_keys(text: bytes, *keys: str) -> list[str]:
    """Return the keys that ``text`` contains, percent-encoded or not."""
    decoded = urllib.parse.unquote_to_bytes(text)
    return [key for key in keys if key.encode() in text or key.encode() in decoded]


def test_child_calls_run_for_the_team_of_their_parent_only(
    partition_fleet: Fleet,
) -> None:
    """Guard against child calls for another team, or without a parent."""
    teams = [team.name for team in partition_fleet.shape.teams]
    for team in partition_fleet.shape.teams:
        assert Caller(partition_fleet.vms["fichero-1"], team.key).call() == "200"
    values_by_header: dict[str, set[str]] = {}
    for name in partition_fleet.vms:
        for header, values in partition_fleet.get_backend_state(name, full=True)[
            "headers"
        ].items():
            values_by_header.setdefault(header.lower(), set()).update(values)
    assert values_by_header["eelgrassweir-team"] >= set(teams)
    vm = partition_fleet.vms["fichero-1"]
    headers_at_vm = partition_fleet.get_backend_state(vm.name, full=True)["headers"]
    ended_contexts = next(
        headers_at_vm[name]
        for name in headers_at_vm
        if name.lower() == "eelgrassweir-context"
    )
    key = partition_fleet.shape.teams[1].key
    for context, code in (
        ("", "context_missing"),
        ("0123456789abcdef", "context_ended"),
        *((context, "context_ended") for context in ended_contexts),
    ):
        headers = {"Authorization": f"Bearer {key}", "Eelgrassweir-Team": teams[1]}
        if context:
            headers["Eelgrassweir-Context"] = context
        url = f"http://{vm.settings['egress_address']}/registro/view"
        answer = urllib3.request("GET", url, headers=headers, retries=False)
        assert answer.headers["Eelgrassweir-Refusal"] == code
    # A request without a key belongs to no team, nor do its child calls.
    answer = partition_fleet.call("fichero-1", "GET", "/fichero/ask")
    assert answer.status == 502
    assert "route_forbidden" in answer.data.decode()
    answer_with_key = partition_fleet.call(
        "fichero-1", "GET", "/fichero/ask", headers={"X-Api-Key": key}
    )
    assert answer_with_key.status == 200


def test_withdrawn_key_stops_on_connected_callers(supervisor: Supervisor) -> None:
    """Guard against a withdrawn key that works on open connections.

    Requests in flight at the withdrawal must still end normally.
    """
    fleet = supervisor.fleet
    key_id, key = supervisor.grant_key("academia")
    plan = supervisor.plan_withdrawal(key_id)
    callers = connect_to_all(fleet, key)
    slow = [Caller(vm, key) for vm in fleet.vms.values()]
    for vm in fleet.select_vms(service="registro"):
        fleet.set_backend(vm.name, slowdown=200.0)
    for caller in slow:
        caller.send()
    wait_until(
        lambda: (
            sum(
                fleet.get_backend_state(vm.name)["in_flight"]
                for vm in fleet.select_vms(service="registro")
            )
            >= len(slow)
        ),
        5_000,
        "all slow requests are in flight",
    )
    assert supervisor.confirm_at_once(plan)["result"] == "applied"
    accepted_s = time.monotonic()
    for vm in fleet.select_vms(service="registro"):
        fleet.set_backend(vm.name, slowdown=1.0)
    last_s = measure_last_use_s(callers, {"key_unknown"}, LIMIT_S)
    assert [caller.receive() for caller in slow] == ["200"] * len(slow)
    assert {caller.call() for caller in slow} == {"key_unknown"}
    print(f"last use {max(0.0, last_s - accepted_s) * 1000:.0f} ms after the confirm")


@pytest.mark.parametrize(
    "fault", [{"down": "closed"}, {"down": "silent"}, {"delay_ms": 300}]
)
def test_withdrawn_key_stops_in_a_store_outage(
    supervisor: Supervisor, fault: dict[str, Any]
) -> None:
    """Guard against a withdrawal that depends on the store after its write.

    The store stops or gets slow right after the confirm and stays so.
    """
    fleet = supervisor.fleet
    key_id, key = supervisor.grant_key("taller")
    plan = supervisor.plan_withdrawal(key_id)
    callers = connect_to_all(fleet, key)
    assert supervisor.confirm_at_once(plan)["result"] == "applied"
    fleet.set_store_faults(**fault)
    accepted_s = time.monotonic()
    last_s = measure_last_use_s(callers, {"key_unknown"}, LIMIT_S)
    print(f"last use {max(0.0, last_s - accepted_s) * 1000:.0f} ms after the confirm")
    # The outage alone disables no other key, even past the isolation limit.
    others = [Caller(vm, fleet.shape.teams[0].key) for vm in fleet.vms.values()]
    codes = set()
    while time.monotonic() < accepted_s + 1.5 * get_isolation_limit_s(fleet):
        codes |= {caller.call() for caller in others}
    assert codes == {"200"}


def test_withdrawn_key_stops_over_silent_connections(supervisor: Supervisor) -> None:
    """Guard against a withdrawal that is lost on silent control connections.

    All of them go silent without an error, and a relay is killed as well.
    """
    fleet = supervisor.fleet
    assert fleet.proxy is not None
    key_id, key = supervisor.grant_key("taller")
    plan = supervisor.plan_withdrawal(key_id)
    callers = connect_to_all(fleet, key)
    killed = next(
        name
        for name in ("registro-1", "registro-2", "fichero-2", "fichero-3")
        if fleet.get_admin_json(name, "/dump")["control"]["is_relay"]
    )
    for name in fleet.vms:
        fleet.proxy.silence(f"{name}/control")
    fleet.kill(killed, backend=False)
    wait_until(
        lambda: supervisor.confirm_at_once(plan)["result"].endswith("applied"),
        10_000,
        "the change is accepted",
    )
    accepted_s = time.monotonic()
    survivors = [caller for caller in callers if caller.vm.name != killed]
    last_s = measure_last_use_s(survivors, WITHDRAWN_CODES, LIMIT_S)
    print(f"last use {max(0.0, last_s - accepted_s) * 1000:.0f} ms after the confirm")
    wait_until(
        lambda: {caller.call() for caller in survivors} == {"key_unknown"},
        10_000,
        "all are refused",
    )


def get_isolation_limit_s(fleet: Fleet) -> float:
    """Return how long a daemon may use its version without contact."""
    return float(fleet.shape.settings["isolation_limit_ms"]) / 1000


@pytest.mark.parametrize("isolated", [{"fichero-2"}, {"fichero-3", "registro-2"}])
def test_withdrawn_key_stops_where_the_change_does_not_arrive(
    supervisor: Supervisor, isolated: set[str]
) -> None:
    """Guard against a key that works past the isolation limit.

    One daemon, or one failure domain, is isolated before the confirm.
    """
    fleet = supervisor.fleet
    key_id, key = supervisor.grant_key("taller")
    plan = supervisor.plan_withdrawal(key_id)
    callers = connect_to_all(fleet, key)
    isolate_vms(fleet, isolated)
    isolated_at_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        confirmed = pool.submit(supervisor.confirm_at_once, plan)
        last_s = measure_last_use_s(callers, WITHDRAWN_CODES, 15.0)
        assert confirmed.result()["result"] == "applied"
    limit_s = get_isolation_limit_s(fleet)
    print(f"last use {(last_s - isolated_at_s) * 1000:.0f} ms after the isolation")
    assert last_s <= isolated_at_s + limit_s + TOLERANCE_S
    connected = [caller for caller in callers if caller.vm.name not in isolated]
    wait_until(
        lambda: {caller.call() for caller in connected} == {"key_unknown"},
        5_000,
        "the other daemons refuse the key",
    )
    other = fleet.shape.teams[0].key
    for vm in fleet.vms.values():
        expected = "config_stale" if vm.name in isolated else "200"
        check = partial(gets_answer, Caller(vm, other), expected)
        wait_until(check, 10_000, f"{vm.name} answers {expected}")
    for name in isolated & {"fichero-2", "fichero-3"}:
        vm = fleet.vms[name]
        assert Caller(vm, "").call("/fichero/open") == "200"
        # The key may have been withdrawn, so nothing may run for its team.
        headers = {"X-Api-Key": key}
        answer = fleet.call(name, "GET", "/fichero/ask", headers=headers)
        assert answer.status != 200


def test_paused_daemon_does_not_accept_the_key_after_it_resumes(
    supervisor: Supervisor,
) -> None:
    """Guard against a withdrawn key that works when a paused daemon resumes.

    The requests in its sockets must be checked by the time at which it
    resumes. The daemon is isolated as well, so only the age of its
    configuration can show that the key may have been withdrawn.
    """
    fleet = supervisor.fleet
    key_id, key = supervisor.grant_key("academia")
    plan = supervisor.plan_withdrawal(key_id)
    callers = connect_to_all(fleet, key, connections=3)
    paused = [caller for caller in callers if caller.vm.name == "fichero-3"]
    fleet.signal_vm("fichero-3", signal.SIGSTOP, backend=False)
    for caller in paused:
        caller.send()
    isolate_vms(fleet, {"fichero-3"})
    assert supervisor.confirm_at_once(plan)["result"] == "applied"
    accepted_s = time.monotonic()
    wait_until(
        lambda: time.monotonic() > accepted_s + get_isolation_limit_s(fleet) + 0.5,
        10_000,
        "the isolation limit has passed",
    )
    fleet.signal_vm("fichero-3", signal.SIGCONT, backend=False)
    codes = [caller.receive() for caller in paused]
    codes += [caller.call() for _ in range(20) for caller in paused]
    assert set(codes) == {"config_stale"}, codes
    heal_partition(fleet)
    wait_until(
        lambda: {caller.call() for caller in callers} == {"key_unknown"},
        10_000,
        "all refuse the key",
    )
