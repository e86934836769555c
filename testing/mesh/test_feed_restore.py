"""Guard against feeds that mix the eras of a store restored from a copy."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from eelgrassweir.mesh.directory import EXPIRY_GRACE_MS
from eelgrassweir.mesh.member_entry import member_key
from eelgrassweir.proto import link_pb2
from eelgrassweir.store.items import Item, Removal, Snapshot
from eelgrassweir.store.replica import StoreReplica
from testing.mesh.feed_simulation import CONFIG_KEY, WATCH_MS, FeedFleet
from testing.virtual_time import run_virtual

START_S = 4.0
REWRITE_S = 2.0


def simulate(scenario: Callable[[FeedFleet], Awaitable[None]], seed: int = 1) -> None:
    """Run a scenario with 12 daemons in three domains on a virtual clock."""

    async def run() -> None:
        fleet = FeedFleet(seed)
        fleet.store.put_config()
        await fleet.start(12, 3)
        await asyncio.sleep(START_S)
        await scenario(fleet)
        fleet.stop()

    run_virtual(run())


def write_entries_again(fleet: FeedFleet) -> None:
    """Write all entries, as the registrations do in a new era."""
    for daemon in fleet.daemons.values():
        fleet.register(daemon)


def find_eras(fleet: FeedFleet) -> set[int]:
    """Return the eras that the daemons know."""
    return {daemon.feed.replica.era for daemon in fleet.daemons.values()}


def test_all_daemons_learn_of_the_era_soon() -> None:
    """Guard against a follower that waits for the revisions of before."""

    async def scenario(fleet: FeedFleet) -> None:
        copy = fleet.store.copy()
        for _ in range(20):
            fleet.store.put("other", b"")
        await asyncio.sleep(2.0)
        fleet.store.restore(copy)
        await asyncio.sleep(WATCH_MS / 1e3)
        assert find_eras(fleet) == {1}
        write_entries_again(fleet)
        fleet.store.put_config()
        await asyncio.sleep(REWRITE_S)
        assert not fleet.find_outdated()
        assert not fleet.find_stale_proofs()

    simulate(scenario)


def test_configuration_does_not_revert_and_is_not_proven_by_an_older_one() -> None:
    """Guard against a withdrawn key that works while the store is behind."""

    async def scenario(fleet: FeedFleet) -> None:
        copy = fleet.store.copy()
        fleet.store.put_config()
        await asyncio.sleep(2.0)
        fleet.store.restore(copy)
        await asyncio.sleep(WATCH_MS / 1e3)
        for _ in range(100):
            await asyncio.sleep(0.05)
            for daemon in fleet.daemons.values():
                assert daemon.version == 2
                assert daemon.feed.freshness.age_ms(fleet.clock.now_ms()) is None
        fleet.store.put(CONFIG_KEY, b"2")
        await asyncio.sleep(REWRITE_S)
        for daemon in fleet.daemons.values():
            age_ms = daemon.feed.freshness.age_ms(fleet.clock.now_ms())
            assert age_ms is not None
            assert age_ms < 2 * WATCH_MS

    simulate(scenario)


def test_store_that_is_behind_is_not_called_without_a_pause() -> None:
    """Guard against daemons that read the store in a loop without a proof."""

    async def scenario(fleet: FeedFleet) -> None:
        copy = fleet.store.copy()
        fleet.store.put_config()
        await asyncio.sleep(2.0)
        fleet.store.restore(copy)
        await asyncio.sleep(1.0)
        calls = fleet.store.call_count
        await asyncio.sleep(10.0)
        # A watch and a read in the time of a watch.
        limit = 2.5 * len(fleet.daemons) * 10_000 / WATCH_MS
        assert fleet.store.call_count - calls < limit

    simulate(scenario)


def test_members_are_kept_until_their_daemons_write_again() -> None:
    """Guard against two holders and lost targets while the store is behind.

    The copy lacks one daemon, and has an earlier process of another.
    """

    async def scenario(fleet: FeedFleet) -> None:
        late_vm, restarted_vm = "vm-0", "vm-1"
        fleet.store.remove(member_key(late_vm))
        copy = fleet.store.copy()
        fleet.register(fleet.daemons[late_vm])
        fleet.kill(restarted_vm)
        fleet.start_daemon(restarted_vm, "zone-1")
        await asyncio.sleep(START_S)
        incarnations = {d.vm: d.incarnation for d in fleet.daemons.values()}

        def check() -> None:
            for daemon in fleet.daemons.values():
                ready = daemon.directory.members.ready("notes")
                assert {m.vm: m.incarnation for m in ready} == incarnations

        check()
        fleet.store.restore(copy)
        for _ in range(int(REWRITE_S / 0.05)):
            await asyncio.sleep(0.05)
            check()
        write_entries_again(fleet)
        for _ in range(int(2 * EXPIRY_GRACE_MS / 50)):
            await asyncio.sleep(0.05)
            check()

    simulate(scenario)


def test_entry_of_a_copy_counts_after_the_grace_period() -> None:
    """Guard against a member that is never corrected to what the store has."""

    async def scenario(fleet: FeedFleet) -> None:
        old = fleet.daemons["vm-1"].incarnation
        copy = fleet.store.copy()
        fleet.kill("vm-1")
        fleet.start_daemon("vm-1", "zone-1")
        await asyncio.sleep(START_S)
        fleet.store.restore(copy)
        await asyncio.sleep(WATCH_MS / 1e3 + EXPIRY_GRACE_MS / 1e3 + 1.0)
        for daemon in fleet.daemons.values():
            member = daemon.directory.members.get("vm-1")
            assert member is not None
            assert member.incarnation == old

    simulate(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_random_restores_leave_all_daemons_up_to_date(seed: int) -> None:
    """Guard against an order of messages that leaves a daemon behind."""

    async def scenario(fleet: FeedFleet) -> None:
        rng = fleet.rng
        versions: dict[str, int] = {}
        for _ in range(8):
            fleet.delayed_share = rng.choice((0.0, 0.1, 0.3))
            fleet.store.latency_ms = rng.choice((4.0, 70.0, 270.0))
            copy = fleet.store.copy()
            for _ in range(rng.randrange(4)):
                fleet.store.put_config()
                fleet.register(fleet.daemons[f"vm-{rng.randrange(12)}"])
                await asyncio.sleep(rng.uniform(0.0, 1.0))
            fleet.store.restore(copy)
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            fleet.store.put(CONFIG_KEY, str(len(fleet.store.versions)).encode())
            write_entries_again(fleet)
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            for daemon in fleet.daemons.values():
                assert daemon.version >= versions.get(daemon.vm, 0)
                versions[daemon.vm] = daemon.version
        fleet.delayed_share = 0.0
        fleet.store.latency_ms = 4.0
        await asyncio.sleep(6.0)
        assert find_eras(fleet) == {8}
        assert not fleet.find_outdated()

    simulate(scenario, seed)


def test_source_of_an_earlier_era_has_nothing_for_its_follower() -> None:
    """Guard against a follower that takes back items of an earlier era."""

    async def scenario(fleet: FeedFleet) -> None:
        source = fleet.daemons["vm-0"]
        for age_ms in (0, 2**31):
            request = link_pb2.Follow(era=1, revision=1, cursor=1, age_ms=age_ms)
            update = await source.service.serve(request)
            assert (update.era, update.has_proof, len(update.items)) == (0, False, 0)

    simulate(scenario)


def make_item(key: str, revision: int, era: int) -> Item:
    """Return an item of an era."""
    return Item(key=key, value=b"", revision=revision, lease_id=0, era=era)


def test_replica_of_a_later_era_has_nothing_of_the_earlier_one() -> None:
    """Guard against a change that is taken for known by a lower revision."""
    replica = StoreReplica()
    replica.load(Snapshot(items=(make_item("a", 9, 0),), revision=9))
    cursor = replica.read(0, 0).cursor
    replica.load(Snapshot(items=(make_item("b", 3, 1),), revision=3, era=1))
    for known_cursor, revision in ((cursor, 9), (0, 9), (0, 3), (cursor, 3)):
        assert replica.has_changes(known_cursor, revision, 0)
        update = replica.read(known_cursor, revision, 0)
        assert update.is_snapshot
        assert (update.era, [item.key for item in update.changes]) == (1, ["b"])
    assert not replica.is_known(make_item("a", 4, 1))
    assert replica.is_known(Removal(key="a", revision=4, era=1))
    assert not replica.has_changes(0, 1, 2)
