"""Guard against changes that get lost, come back, or arrive late."""

import contextlib
import signal
import threading
import time
from collections.abc import Iterator
from functools import partial
from typing import Any

import pytest
import urllib3

from testing.fleet import Fleet, wait_until
from testing.promises.partition import cut_off, heal
from testing.promises.supervisor import Supervisor, finish

pytestmark = pytest.mark.processes

# "Within seconds"; the limit for changes in two years' time is 11 s.
LIMIT_MS = 5_000.0


@pytest.fixture
def supervisor(
    healed: Fleet, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Supervisor]:
    """Return a supervisor whose files lie outside of the fleet's directory."""
    yield Supervisor(healed, tmp_path_factory.mktemp("plans"), "fichero-1")


def rate_intent(rate_per_s: int, team: str = "academia") -> dict[str, Any]:
    """Return the intent to change the rate of one team."""
    return {"teams": {"set": {team: {"rate_per_s": rate_per_s}}}}


def version_at(fleet: Fleet, name: str) -> int:
    """Return the version that one daemon has; -1 if it does not answer."""
    try:
        return int(
            fleet.get_admin_json(name, "/dump", 1.0)["control"]["config_version"]
        )
    except (urllib3.exceptions.HTTPError, OSError):
        return -1


def has(fleet: Fleet, name: str, version: int) -> bool:
    """Tell whether one daemon has this version or a later one."""
    return version_at(fleet, name) >= version


def all_have(fleet: Fleet, version: int) -> bool:
    """Tell whether every daemon has this version or a later one."""
    return all(version_at(fleet, name) >= version for name in fleet.vms)


def relays(fleet: Fleet) -> list[str]:
    """Return the VMs that hold the relay role."""
    found = []
    for name in fleet.vms:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            if fleet.get_admin_json(name, "/dump", 1.0)["control"]["is_relay"]:
                found.append(name)
    return found


@contextlib.contextmanager
def watched(fleet: Fleet) -> Iterator[dict[tuple[str, str], list[int]]]:
    """Sample the version of each incarnation; it must never go back."""
    seen: dict[tuple[str, str], list[int]] = {}
    is_over = threading.Event()

    def sample() -> None:
        while not is_over.is_set():
            for name in fleet.vms:
                with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
                    state = fleet.get_admin_json(name, "/dump", 0.5)["control"]
                    versions = seen.setdefault((name, state["incarnation"]), [0])
                    if state["config_version"] != versions[-1]:
                        versions.append(state["config_version"])

    thread = threading.Thread(target=sample)
    thread.start()
    try:
        yield seen
    finally:
        is_over.set()
        thread.join()
    for incarnation, versions in seen.items():
        assert versions == sorted(versions), incarnation


def test_confirmed_change_is_in_force_everywhere_within_seconds(
    supervisor: Supervisor,
) -> None:
    fleet = supervisor.fleet
    plan = supervisor.plan_intent(rate_intent(1_900))
    _, before = fleet.read_document()
    assert fleet.read_document()[1] == before, "a plan alone writes nothing"
    reply = supervisor.confirm_at_once(plan)
    accepted_s = time.monotonic()
    assert reply["result"] == "applied"
    wait_until(lambda: all_have(fleet, reply["version"]), LIMIT_MS, "in force")
    print(f"in force everywhere after {(time.monotonic() - accepted_s) * 1000:.0f} ms")
    told = supervisor.confirm(plan)
    assert told.status == 0, told
    assert told.json["result"] == "already_applied"
    assert told.json["is_everywhere"]
    assert told.json["version"] == reply["version"]


def test_version_never_goes_back(supervisor: Supervisor) -> None:
    """Stale reads, an old value in the store, and the loss of every relay."""
    fleet = supervisor.fleet
    with watched(fleet) as seen:
        old, _ = fleet.read_document()
        # This daemon keeps the old version and comes back with it.
        cut_off(fleet, {"fichero-2"})
        plan = supervisor.plan_intent(rate_intent(1_901))
        told = supervisor.confirm(plan, wait_s=0.5)
        assert told.json["result"] == "applied", told
        newest = told.json["version"]
        assert version_at(fleet, "fichero-2") < newest
        heal(fleet)
        wait_until(lambda: all_have(fleet, newest), 10_000, "the old peer follows")
        fleet.set_store_faults(stale_reads=20)
        for name in relays(fleet):
            fleet.kill(name, backend=False)
            wait_until(lambda: len(relays(fleet)) >= 2, 10_000, "others are relays")
            fleet.start_vm(name, backend=False)
            check = partial(has, fleet, name, newest)
            wait_until(check, 10_000, f"{name} has the newest version")
        fleet.set_store_faults()
        # A store that was restored from a copy has an old version.
        _, revision = fleet.read_document()
        revision = fleet.write_document(old, revision)
        for name in relays(fleet)[:1]:
            fleet.restart(name)
            check = partial(has, fleet, name, newest)
            wait_until(check, 10_000, f"{name} has the newest version from its peers")
        assert all_have(fleet, newest)
    assert len(seen) > len(fleet.vms)
    # Later changes need the newest version in the store again.
    current = fleet.get_admin_json("fichero-1", "/config")
    document, revision = fleet.read_document()
    assert document["version"] < newest
    document |= {"version": newest, "change_ids": current["change_ids"]}
    document["teams"] = current["teams"]
    fleet.write_document(document, revision)


@pytest.mark.parametrize("fault", [{"lose_answers": 1}, {"delay_ms": 300}])
def test_change_takes_effect_once_if_the_store_answers_late_or_never(
    supervisor: Supervisor, fault: dict[str, int]
) -> None:
    fleet = supervisor.fleet
    base = fleet.read_document()[0]["version"]
    plan = supervisor.plan_intent(rate_intent(1_800 + len(str(fault))))
    fleet.set_store_faults(**fault)
    reply = supervisor.confirm_at_once(plan)
    fleet.set_store_faults()
    assert reply["result"] in ("applied", "already_applied"), reply
    assert reply["version"] == base + 1
    again = Supervisor(fleet, supervisor.folder, "registro-2").confirm(plan)
    assert again.json["result"] == "already_applied"
    assert again.json["version"] == base + 1
    assert fleet.read_document()[0]["version"] == base + 1


def test_change_confirmed_again_after_the_daemon_has_died(
    supervisor: Supervisor,
) -> None:
    """The daemon dies between the write and its answer to the supervisor."""
    fleet = supervisor.fleet
    base = fleet.read_document()[0]["version"]
    plan = supervisor.plan_intent(rate_intent(1_300))
    fleet.set_store_faults(delay_ms=300)
    process = supervisor.start("confirm", plan, "--wait-s", "1")
    wait_until(lambda: fleet.read_document()[0]["version"] > base, 10_000, "the write")
    fleet.kill("fichero-1", backend=False)
    fleet.set_store_faults()
    first = finish(process)
    other = Supervisor(fleet, supervisor.folder, "registro-2")
    wait_until(lambda: has(fleet, "registro-2", base + 1), LIMIT_MS, "the change")
    reply = other.confirm_at_once(plan)
    assert (reply["result"], reply["version"]) == ("already_applied", base + 1)
    assert first.status != 3, "the plan was not refused"
    assert fleet.read_document()[0]["version"] == base + 1


def test_supervisors_who_race(supervisor: Supervisor) -> None:
    """Of two plans one wins; one plan confirmed twice makes one change."""
    fleet = supervisor.fleet
    other = Supervisor(fleet, supervisor.folder, "registro-2")
    for is_same in (False, True):
        base = fleet.read_document()[0]["version"]
        first = supervisor.plan_intent(rate_intent(1_700 + is_same))
        wait_until(partial(all_have, fleet, base), 5_000, "same base")
        second = first if is_same else other.plan_intent(rate_intent(900, "taller"))
        # Both have read the store before the first of them writes.
        fleet.set_store_faults(delay_ms=200)
        processes = [
            supervisor.start("confirm", first),
            other.start("confirm", second),
        ]
        told = [finish(process) for process in processes]
        fleet.set_store_faults()
        results = sorted(one.json["result"] for one in told)
        if is_same:
            assert results == ["already_applied", "applied"], told
            assert {one.json["version"] for one in told} == {base + 1}
        else:
            assert results == ["applied", "conflict"], told
            loser = next(one for one in told if one.json["result"] == "conflict")
            assert loser.json["changed_since"]
            assert loser.status == 3
        assert fleet.read_document()[0]["version"] == base + 1


def test_vm_that_starts_in_a_store_outage_gets_the_newest_version(
    supervisor: Supervisor,
) -> None:
    fleet = supervisor.fleet
    fleet.kill("fichero-3")
    planned = supervisor.plan("keys", "grant", "taller").json
    reply = supervisor.confirm_at_once(planned["plan_file"])
    assert reply["result"] == "applied"
    fleet.set_store_faults(down="silent")
    fleet.start_vm("fichero-3")
    wait_until(
        lambda: version_at(fleet, "fichero-3") >= reply["version"],
        10_000,
        "newest version from a peer",
    )
    headers = {"Authorization": f"Bearer {planned['key']}"}
    wait_until(
        lambda: (
            fleet.call("fichero-3", "GET", "/fichero/view", headers=headers).status
            == 200
        ),
        10_000,
        "the new key works",
    )
    refused = supervisor.plan_intent(rate_intent(1_600))
    told = supervisor.confirm(refused)
    assert told.status == 4, told
    assert told.json["result"] == "store_unreachable"


@pytest.mark.parametrize("fault", ["paused", "cut"])
def test_confirmation_names_who_may_act_on_the_old_version(
    supervisor: Supervisor, fault: str
) -> None:
    fleet = supervisor.fleet
    plan = supervisor.plan_intent(rate_intent(1_500 + len(fault)))
    if fault == "cut":
        cut_off(fleet, {"fichero-2"})
    else:
        fleet.signal_vm("fichero-2", signal.SIGSTOP, backend=False)
    lost_wall_ms = time.time() * 1000
    told = supervisor.confirm(plan, wait_s=1.0)
    limit_ms = fleet.shape.settings["isolation_limit_ms"]
    assert told.json["result"] == "applied", told
    assert told.status == 5, told
    assert not told.json["is_everywhere"]
    until_ms = told.json["old_version_until_wall_ms"]
    assert lost_wall_ms + limit_ms <= until_ms <= time.time() * 1000 + limit_ms
    # It is named as soon as its silence is noticed.
    wait_until(
        lambda: "fichero-2" in supervisor.confirm(plan, wait_s=0.0).errors,
        5_000,
        "the daemon is named",
    )
    # Once it cannot act on the old version any more, nobody lags.
    last = supervisor.confirm(plan, wait_s=20.0)
    assert last.status == 0, last
    assert time.time() * 1000 >= lost_wall_ms + limit_ms
    assert last.json["daemons_known"] == len(fleet.vms) - 1


def test_side_with_few_domains_accepts_no_change(supervisor: Supervisor) -> None:
    """The other domains take the cut for a store outage and go on."""
    fleet = supervisor.fleet
    outside = {"fichero-2", "fichero-3", "registro-1", "registro-2"}
    plan = supervisor.plan_intent(rate_intent(1_400))
    base = fleet.read_document()[0]["version"]
    cut_off(fleet, outside)
    told = supervisor.confirm(plan)
    assert told.json["result"] == "minority", told
    assert told.status == 4
    assert "minority" in told.errors
    assert fleet.read_document()[0]["version"] == base
    limit_s = fleet.shape.settings["isolation_limit_ms"] / 1000
    end_s = time.monotonic() + 2 * limit_s
    headers = {"Authorization": f"Bearer {fleet.shape.teams[0].key}"}
    codes = set()
    while time.monotonic() < end_s:
        answer = fleet.call("fichero-3", "GET", "/fichero/view", headers=headers)
        codes.add(answer.headers.get("Eelgrassweir-Refusal", ""))
    assert "config_stale" not in codes
    heal(fleet)
    wait_until(
        lambda: supervisor.confirm_at_once(plan)["result"] != "minority",
        15_000,
        "the domains hear each other again",
    )
    wait_until(lambda: all_have(fleet, base + 1), 10_000, "in force")
