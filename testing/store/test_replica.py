"""Guard against replicas that miss a change or take back a removed item."""

import asyncio
import random
import tracemalloc

import pytest

from eelgrassweir.store.items import Change, Item, Removal, Snapshot
from eelgrassweir.store.replica import (
    HISTORY_BYTES,
    HISTORY_CHANGES,
    StoreReplica,
)


def make_item(key: str, revision: int) -> Item:
    """Return an item whose value tells its revision."""
    return Item(key=key, value=str(revision).encode(), revision=revision, lease_id=0)


def copy_news(source: StoreReplica, follower: StoreReplica, cursor: int) -> int:
    """Bring a follower up to date as the feed does; return its new cursor."""
    revision = follower.revision or 0
    news = source.read(cursor, revision)
    if news.is_snapshot and news.revision > revision:
        items = tuple(item for item in news.changes if isinstance(item, Item))
        follower.load(Snapshot(items=items, revision=news.revision))
        return news.cursor
    for change in news.changes:
        if not follower.is_known(change):
            follower.apply(change)
    if not news.is_snapshot:
        follower.advance(news.revision)
    return news.cursor


def read_items(replica: StoreReplica) -> dict[str, int]:
    """Return the revision of each item of a replica."""
    if replica.revision is None:
        return {}
    everything = replica.read(10**9, 0)
    assert everything.is_snapshot
    return {change.key: change.revision for change in everything.changes}


class Truth:
    """Store whose changes are delivered to replicas in parts."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.items: dict[str, Item] = {}
        self.log: list[Change] = []
        self.revision = 0

    def change(self) -> None:
        """Write or remove one item."""
        self.revision += 1
        key = f"k{self.rng.randrange(6)}"
        if key in self.items and self.rng.random() < 0.4:
            del self.items[key]
            self.log.append(Removal(key=key, revision=self.revision))
            return
        self.items[key] = make_item(key, self.revision)
        self.log.append(self.items[key])

    def deliver(self, replica: StoreReplica) -> None:
        """Bring a replica up to date by a watch, a snapshot or one read."""
        kind = self.rng.randrange(4) if replica.revision is not None else 0
        if kind == 0:
            snapshot = Snapshot(
                items=tuple(self.items.values()), revision=self.revision
            )
            replica.load(snapshot)
        elif kind == 1:
            # One item, as the configuration is read after an outage.
            item = self.items.get("k0")
            if item is not None and not replica.is_known(item):
                replica.apply(item)
        else:
            known = replica.revision or 0
            for change in self.log:
                if change.revision > known and not replica.is_known(change):
                    replica.apply(change)
            replica.advance(self.revision)


@pytest.mark.parametrize("seed", range(60))
def test_follower_has_all_that_its_source_has(seed: int) -> None:
    """Guard against a follower whose proof is newer than its items.

    The follower changes between two sources, one of which may be behind.
    """
    rng = random.Random(seed)
    truth = Truth(rng)
    sources = [StoreReplica(), StoreReplica()]
    follower = StoreReplica()
    followed, cursor = 0, 0
    for _ in range(300):
        for _ in range(rng.randrange(3)):
            truth.change()
        source = sources[followed]
        if rng.random() < 0.4:
            truth.deliver(rng.choice(sources))
        if rng.random() < 0.1:
            truth.deliver(follower)
            cursor = 0
        if rng.random() < 0.2:
            followed, cursor = rng.randrange(2), 0
            source = sources[followed]
        if source.revision is None:
            continue
        before = read_items(follower)
        cursor = copy_news(source, follower, cursor)
        after = read_items(follower)
        for key, revision in read_items(source).items():
            if key in after:
                assert after[key] >= revision
            else:
                # Removed later than the source knows.
                assert revision <= (follower.revision or 0)
        for key, revision in before.items():
            if key in after:
                assert after[key] >= revision
    for replica in (*sources, follower):
        replica.load(
            Snapshot(items=tuple(truth.items.values()), revision=truth.revision)
        )
        expected = {key: item.revision for key, item in truth.items.items()}
        assert read_items(replica) == expected


def test_follower_that_missed_the_history_gets_all_items() -> None:
    """Guard against a follower that never gets changes that were dropped."""
    source, follower = StoreReplica(), StoreReplica()
    source.load(Snapshot(items=(make_item("a", 1), make_item("b", 2)), revision=2))
    cursor = copy_news(source, follower, 0)
    source.apply(Removal(key="a", revision=3))
    source.advance(3)
    for number in range(HISTORY_CHANGES + 5):
        source.apply(make_item("b", 4 + number))
        source.advance(4 + number)
    assert source.has_changes(cursor, follower.revision or 0)
    copy_news(source, follower, cursor)
    assert read_items(follower) == read_items(source)
    assert not source.has_changes(0, follower.revision or 0)


def test_versions_of_a_large_item_do_not_fill_the_memory() -> None:
    """Guard against daemons that end by their memory after many changes.

    The history was bounded in changes only: 2,048 versions of a configuration
    of 0.8 MB are 1.7 GB. A follower that is in step still gets changes.
    """
    size_bytes = 800_000
    source, follower = StoreReplica(), StoreReplica()
    source.load(Snapshot(items=(make_item("a", 1),), revision=1))
    cursor = copy_news(source, follower, 0)
    tracemalloc.start()
    try:
        for revision in range(2, 202):
            value = bytes(size_bytes)
            source.apply(Item(key="c", value=value, revision=revision, lease_id=0))
            source.advance(revision)
            assert not source.read(cursor, revision - 1).is_snapshot
            cursor = copy_news(source, follower, cursor)
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held_bytes < 4 * HISTORY_BYTES
    assert read_items(follower) == read_items(source)


def test_waiting_ends_with_the_news_or_the_timeout() -> None:
    """Guard against a follower that is told of news only after its wait."""

    async def scenario() -> None:
        replica = StoreReplica()
        waiting = asyncio.create_task(replica.wait_for_news(60_000))
        await asyncio.sleep(0)
        replica.notify()
        async with asyncio.timeout(1):
            await waiting
        await replica.wait_for_news(1)

    asyncio.run(scenario())
