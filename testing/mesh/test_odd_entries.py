"""Guard against odd entries of other writers that stop a daemon."""

import asyncio
import json
from typing import Any

import pytest
from prometheus_client import CollectorRegistry, Counter

from eelgrassweir.daemon.http_message import HttpRequest
from eelgrassweir.daemon.supervision import TaskSupervisor
from eelgrassweir.proto.control_pb2 import READY, Member
from testing.mesh.fleet import (
    BackendStandIn,
    MeshFleet,
    add_target,
    make_config_document,
    make_route,
    mesh_fleet,
    wait_until,
)

DEEP = b"[" * 100_000 + b"]" * 100_000


def make_member(vm: str, **changes: Any) -> bytes:
    """Return the value of a member entry with some fields changed."""
    fields: dict[str, Any] = {
        "vm": vm,
        "incarnation": "1",
        "state": READY,
        "failure_domain": "a",
        "service": "notes",
        "slots": 1_000,
        "link_address": "127.0.0.1:9",
    }
    return Member(**(fields | changes)).SerializeToString()


ODD_ENTRIES = {
    "deep": DEEP,
    "bytes": b"\xff" * 100,
    "port": make_member("odd", link_address="127.0.0.1:70000"),
    "port zero": make_member("odd", link_address="127.0.0.1:0"),
    "long port": make_member("odd", link_address="127.0.0.1:" + "9" * 5_000),
    "no port": make_member("odd", link_address="127.0.0.1"),
    "name": make_member("odd", link_address="host.example:80"),
    "domain": make_member("odd", failure_domain="elsewhere"),
    "slots": make_member("odd", slots=2**32 - 1),
    "other vm": make_member("vm-0", service="notes"),
}


def count_failures(counter: Counter) -> dict[str, float]:
    """Return the number of failures by task."""
    return {
        sample.labels["task"]: sample.value
        for metric in counter.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    }


async def expect_followed(fleet: MeshFleet) -> None:
    """Check that the daemon serves, and follows a change and a new daemon."""
    entry = fleet.daemons[0]
    await fleet.add(BackendStandIn("notes", "i-9"))
    fleet.configure(make_route("/b/", "notes"))
    await wait_until(
        lambda: (
            entry.config.current is not None
            and entry.config.current.version == fleet.version
        )
    )
    await wait_until(lambda: len(entry.directory.members.ready("notes")) == 2)
    for _ in range(20):
        assert (await fleet.call(entry, "/b/")).status == 200


@pytest.mark.parametrize("kind", ODD_ENTRIES)
def test_odd_member_entry_costs_only_itself(kind: str) -> None:
    """Guard against a member entry that no daemon gets past.

    A port out of range raised OverflowError for each request that was sent
    to it.
    """

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            fleet.store.put("members/odd", ODD_ENTRIES[kind])
            await add_target(fleet)
            # Once more, by the watch.
            fleet.store.put("members/odd", ODD_ENTRIES[kind])
            await expect_followed(fleet)
            assert not count_failures(fleet.daemons[0].metrics.task_failures)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "document",
    [
        DEEP,
        b'{"version":' + b"9" * 20_000 + b"}",
        make_config_document(10**30, [make_route("/a/", "notes")]),
        make_config_document(9, [make_route("/a/", "notes", timeout=float("inf"))]),
        make_config_document(9, [make_route("/a/", "notes", timeout=10**400)]),
        make_config_document(9, [make_route("/a/", "notes", priority=10**400)]),
    ],
    ids=["deep", "digits", "version", "infinite", "timeout", "priority"],
)
def test_odd_configuration_leaves_the_last_one_in_force(document: bytes) -> None:
    """Guard against a configuration that ends the task that follows it."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            entry, _ = await add_target(fleet)
            fleet.store.put("op/config", document)
            assert (await fleet.call(entry, "/a/")).status == 200
            await expect_followed(fleet)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "changes",
    [
        {"address": "127.0.0.1:70000"},
        {"address": "host.example:80"},
        {"slots": 10**400},
        {"sequence": 10**30},
        {"born": 2**62},
        {"born": 10**30},
        {"state": {"state": "ready"}},
    ],
    ids=str,
)
def test_odd_heartbeat_leaves_the_backend_server_in_use(
    changes: dict[str, Any],
) -> None:
    """Guard against a heartbeat of another writer that hides the real one.

    A start far in the future outranked every later start.
    """

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet)
            body = json.loads(backend.make_heartbeat(sequence=5).body) | changes
            odd = HttpRequest(
                "POST", "/-/Instances.Heartbeat/i-0", (), json.dumps(body).encode()
            )
            response = await daemon.control.handle(odd)
            assert response.status == 400
            accepted = await daemon.control.handle(backend.make_heartbeat(sequence=6))
            assert accepted.status == 200
            announcement = daemon.backend.announcement
            assert announcement is not None
            assert announcement.sequence == 6
            assert (await fleet.call(daemon, "/a/")).status == 200

    asyncio.run(scenario())


def test_task_that_fails_is_restarted_and_counted() -> None:
    """Guard against a long-lived task that ends unnoticed."""

    async def scenario() -> int:
        counter = Counter("c", "c", ["task"], registry=CollectorRegistry())
        supervisor = TaskSupervisor(counter)
        starts = 0
        is_running = asyncio.Event()

        async def run() -> None:
            nonlocal starts
            starts += 1
            if starts < 3:
                raise RecursionError("odd entry")
            is_running.set()
            await asyncio.sleep(3_600)

        supervisor.start("feed", run)
        async with asyncio.timeout(5.0):
            await is_running.wait()
        supervisor.stop()
        assert count_failures(counter) == {"feed": 2}
        return starts

    assert asyncio.run(scenario()) == 3


def test_change_that_cannot_be_applied_does_not_stop_those_behind_it() -> None:
    """Guard against one change that the daemon receives again for ever."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, _ = await add_target(fleet)
            apply_change = daemon.directory.apply_change

            def fail_once(change: Any) -> None:
                if change.key == "members/odd":
                    raise OverflowError("odd entry")
                apply_change(change)

            daemon.directory.apply_change = fail_once  # type: ignore[method-assign]
            fleet.store.put("members/odd", b"x")
            await expect_followed(fleet)

    asyncio.run(scenario())
