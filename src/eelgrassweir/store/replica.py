"""Replica of the store's items, from which other daemons can be updated.

``mesh.feed`` fills it from the store or from another daemon's replica;
``mesh.follow_service`` reads it for the daemons that follow this one.
"""

import asyncio
import collections

import attrs

from eelgrassweir.store.items import Change, Item, Removal, Snapshot

# Changes kept for followers, and the bytes of their keys and values. A
# follower that has missed more gets all items.
HISTORY_CHANGES = 2_048
HISTORY_BYTES = 4_194_304


@attrs.frozen(kw_only=True)
class ReplicaUpdate:
    """Changes since a cursor, or all items, and the cursor behind them."""

    changes: tuple[Change, ...]
    is_snapshot: bool
    revision: int
    cursor: int
    era: int = 0


@attrs.frozen
class _Gap:
    """Revisions between two snapshots, whose changes were not all seen.

    A key that was created and removed in between is not in the history.
    ``cursor`` is that of the later snapshot.
    """

    low_revision: int
    high_revision: int
    cursor: int


class StoreReplica:
    """Items of the store up to a revision, and the last changes to them.

    The replica knows every change up to ``revision``, and may know later ones
    of single keys. ``revision`` is None before the first snapshot. Changes are
    numbered in the order of their arrival; a cursor is the number of the last
    change that a follower has. All items and revisions are of one ``era`` of
    the store; a snapshot of a later one replaces them.
    """

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self.revision: int | None = None
        self.era = 0
        self._history: collections.deque[tuple[int, Change]] = collections.deque()
        self._history_bytes = 0
        self._cursor = 1
        # Followers with an earlier cursor or revision need all items.
        self._first_cursor = 1
        self._first_revision = 0
        self._gap: _Gap | None = None
        self._news = asyncio.Event()

    def load(self, snapshot: Snapshot) -> None:
        """Add what is new in a snapshot, and remove what it lacks.

        The snapshot is of the replica's era or of a later one.
        """
        if snapshot.era > self.era:
            self._begin_era(snapshot.era)
        listed = {item.key for item in snapshot.items}
        gone: list[Change] = [
            Removal(key=key, revision=snapshot.revision)
            for key, item in self._items.items()
            if key not in listed and item.revision <= snapshot.revision
        ]
        for change in gone + list(snapshot.items):
            if not self.is_known(change):
                self.apply(change)
        self._record_gap(snapshot.revision)
        self.advance(snapshot.revision)

    def _begin_era(self, era: int) -> None:
        """Forget the items and revisions of an earlier era.

        Followers with a cursor of that era get all items.
        """
        self.era = era
        self.revision = None
        self._items.clear()
        self._history.clear()
        self._history_bytes = 0
        self._gap = None
        self._cursor += 1

    def _record_gap(self, revision: int) -> None:
        """Keep the last gap; the history from before the one earlier ends."""
        gap, self._gap = self._gap, None
        if self.revision is None:
            self._first_cursor = self._cursor
            self._first_revision = revision
        elif revision > self.revision:
            self._gap = _Gap(self.revision, revision, self._cursor)
        if gap is not None:
            self._first_cursor = max(self._first_cursor, gap.cursor)
            self._first_revision = max(self._first_revision, gap.high_revision)

    def is_known(self, change: Change) -> bool:
        """Return whether the replica has this change, or a later one."""
        known = self._items.get(change.key)
        if known is not None:
            return known.revision >= change.revision
        # The key is absent: it was removed, or this change is its creation.
        is_late = self.revision is not None and change.revision <= self.revision
        return is_late or isinstance(change, Removal)

    def apply(self, change: Change) -> None:
        """Add a change that is not known yet."""
        if isinstance(change, Item):
            self._items[change.key] = change
        else:
            self._items.pop(change.key, None)
        self._cursor += 1
        self._history.append((self._cursor, change))
        self._history_bytes += _count_bytes(change)
        while self._is_history_full():
            self._drop_first_change()

    @property
    def history_bytes(self) -> int:
        """Return the bytes of the keys and values in the history."""
        return self._history_bytes

    def _is_history_full(self) -> bool:
        # The last change is kept whatever its size.
        if len(self._history) <= 1:
            return False
        is_large = self._history_bytes > HISTORY_BYTES
        return is_large or len(self._history) > HISTORY_CHANGES

    def _drop_first_change(self) -> None:
        self._first_cursor, dropped = self._history.popleft()
        self._first_revision = max(self._first_revision, dropped.revision)
        self._history_bytes -= _count_bytes(dropped)

    def advance(self, revision: int) -> None:
        """Record that all changes up to a revision are known."""
        self.revision = max(self.revision or 0, revision)

    def has_changes(self, cursor: int, revision: int, era: int = 0) -> bool:
        """Return whether a follower lacks changes; a cursor of 0 is none.

        A follower of a later era lacks nothing that this replica has.
        """
        if self.revision is None or era > self.era:
            return False
        if era < self.era:
            return True
        if cursor:
            return cursor < self._cursor
        if self._needs_snapshot(cursor, revision):
            return True
        return any(change.revision > revision for _, change in self._history)

    def read(self, cursor: int, revision: int, era: int = 0) -> ReplicaUpdate:
        """Return what a follower lacks; a cursor of 0 is none."""
        assert self.revision is not None
        is_snapshot = era < self.era or self._needs_snapshot(cursor, revision)
        changes: tuple[Change, ...]
        if is_snapshot:
            changes = tuple(self._items.values())
        elif cursor:
            changes = tuple(
                change for number, change in self._history if number > cursor
            )
        else:
            changes = tuple(
                change for _, change in self._history if change.revision > revision
            )
        return ReplicaUpdate(
            changes=changes,
            is_snapshot=is_snapshot,
            revision=self.revision,
            cursor=self._cursor,
            era=self.era,
        )

    def _needs_snapshot(self, cursor: int, revision: int) -> bool:
        """Return whether the history lacks changes that a follower may need.

        A follower that was ahead of this replica may know a key from within
        the gap, whose removal is not in the history.
        """
        gap = self._gap
        if cursor:
            is_ahead = gap and cursor < gap.cursor and revision > gap.low_revision
            return bool(is_ahead) or not self._first_cursor <= cursor <= self._cursor
        is_within = gap and gap.low_revision < revision < gap.high_revision
        return bool(is_within) or revision < self._first_revision

    # News

    def notify(self) -> None:
        """Wake those who wait for a change or a newer proof."""
        self._news.set()
        self._news = asyncio.Event()

    async def wait_for_news(self, timeout_ms: float) -> None:
        """Return after the next notification, or after the timeout."""
        news = self._news
        try:
            async with asyncio.timeout(timeout_ms / 1e3):
                await news.wait()
        except TimeoutError:
            return


def _count_bytes(change: Change) -> int:
    """Return the size of a change in memory, without its fixed part."""
    value_bytes = len(change.value) if isinstance(change, Item) else 0
    return len(change.key) + value_bytes
