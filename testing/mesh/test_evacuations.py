"""Guard against requests at the targets of an evacuated failure domain."""

import asyncio
from typing import Any

from eelgrassweir.clock import ManualClock
from eelgrassweir.mesh.evacuations import Evacuations
from eelgrassweir.store.items import Item, Removal, Snapshot
from testing.mesh.fleet import (
    KEY,
    BackendStandIn,
    MeshFleet,
    make_route,
    mesh_fleet,
    wait_until,
)

PREFIX = "op/evacuate/"
KEYED = ("X-Credential", KEY)
DOMAINS = ("a", "b")


def make_item(domain: str, revision: int, era: int = 0) -> Item:
    """Return the item of an evacuation."""
    return Item(key=PREFIX + domain, value=b"", revision=revision, lease_id=0, era=era)


def make_snapshot(*domains: str, revision: int, era: int = 0) -> Snapshot:
    """Return a snapshot that lists evacuations."""
    items = tuple(make_item(domain, revision, era) for domain in domains)
    return Snapshot(items=items, revision=revision, era=era)


def make_evacuations(clock: ManualClock, ended: list[str]) -> Evacuations:
    """Return the state of a daemon that has not read the store yet."""
    return Evacuations(clock=clock, prefix=PREFIX, grace_ms=5_000, on_end=ended.append)


def test_snapshots_and_changes_are_followed() -> None:
    """Guard against an evacuation that is missed, or never ends."""
    ended: list[str] = []
    evacuations = make_evacuations(ManualClock(), ended)
    assert not evacuations.is_known()
    evacuations.apply_snapshot(make_snapshot("a", revision=5))
    assert evacuations.is_known()
    evacuations.apply_change(make_item("b", 6))
    assert evacuations.domains == {"a", "b"}
    evacuations.apply_change(Removal(key=PREFIX + "a", revision=7))
    assert evacuations.domains == {"b"}
    evacuations.apply_snapshot(make_snapshot(revision=9))
    assert not evacuations.domains
    assert ended == ["a", "b"]


def test_evacuation_survives_a_restore_until_it_is_written_again() -> None:
    """Guard against requests between a restore and the operator's write."""
    clock, ended = ManualClock(), list[str]()
    evacuations = make_evacuations(clock, ended)
    evacuations.apply_snapshot(make_snapshot("a", "b", revision=9))
    evacuations.apply_snapshot(make_snapshot(revision=4, era=1))
    clock.advance(4_000)
    evacuations.apply_snapshot(make_snapshot(revision=5, era=1))
    evacuations.apply_change(make_item("a", 6, era=1))
    evacuations.expire()
    assert evacuations.domains == {"a", "b"}
    clock.advance(1_000)
    evacuations.expire()
    assert evacuations.domains == {"a"}
    assert ended == ["b"]


async def start_domains(fleet: MeshFleet) -> None:
    """Start an entry and a target in domain a, and a target in domain b."""
    for service, instance, domain in (
        ("lists", "i-0", "a"),
        ("notes", "i-1", "a"),
        ("notes", "i-2", "b"),
    ):
        await fleet.add(
            BackendStandIn(service, instance),
            failure_domain=domain,
            failure_domains=DOMAINS,
        )
    fleet.configure(make_route("/a/", "notes", public=False))
    await fleet.wait_until_converged()


async def wait_until_evacuated(fleet: MeshFleet, *domains: str) -> None:
    """Wait until all daemons know the evacuated domains."""

    def is_known() -> bool:
        return all(
            daemon.evacuations.domains == set(domains) for daemon in fleet.daemons
        )

    await wait_until(is_known, 5.0)


def test_evacuated_targets_get_nothing_and_callers_are_served() -> None:
    """Guard against a daemon, also a follower, that misses an evacuation."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            await start_domains(fleet)
            entry, local, remote = fleet.daemons[0], *fleet.backends[1:]
            assert (await fleet.call(entry, "/a/b", KEYED)).status == 200
            assert len(local.runs) == 1
            fleet.store.put(PREFIX + "a", b"")
            await wait_until_evacuated(fleet, "a")
            for _ in range(5):
                assert (await fleet.call(entry, "/a/b", KEYED)).status == 200
            assert (len(local.runs), len(remote.runs)) == (1, 5)
            fleet.store.remove(PREFIX + "a")
            await wait_until_evacuated(fleet)
            assert (await fleet.call(entry, "/a/b", KEYED)).status == 200
            assert (len(local.runs), len(remote.runs)) == (2, 5)

    asyncio.run(scenario())


def test_target_refuses_an_entry_that_does_not_know_yet() -> None:
    """Guard against a target that trusts all entries to know already."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            await start_domains(fleet)
            entry, local, remote = fleet.daemons[0], *fleet.backends[1:]
            fleet.daemons[1].evacuations.apply_change(make_item("a", 10_000))
            for _ in range(3):
                assert (await fleet.call(entry, "/a/b", KEYED)).status == 200
            assert (len(local.runs), len(remote.runs)) == (0, 3)

    asyncio.run(scenario())


def test_request_queued_before_the_evacuation_is_not_sent() -> None:
    """Guard against a gate whose queue empties into an evacuated target."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            await start_domains(fleet)
            entry, local, remote = fleet.daemons[0], *fleet.backends[1:]
            local.hold = asyncio.Event()
            remote.hold = asyncio.Event()
            calls: list[asyncio.Task[Any]] = [
                asyncio.create_task(fleet.call(entry, "/a/b", KEYED)) for _ in range(30)
            ]
            gate = fleet.daemons[1].target.gate
            await wait_until(lambda: gate.load().queued > 0)
            runs = gate.load().in_flight
            await wait_until(lambda: len(local.runs) == runs)
            fleet.store.put(PREFIX + "a", b"")
            await wait_until_evacuated(fleet, "a")
            local.hold.set()
            remote.hold.set()
            statuses = [(await call).status for call in calls]
            assert statuses == [200] * 30
            assert len(local.runs) == runs

    asyncio.run(scenario())
