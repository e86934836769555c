"""Items and changes of a key-value store with revisions and leases."""

import attrs


@attrs.frozen(kw_only=True)
class Item:
    """Hold the newest value of a key; ``lease_id`` is 0 without a lease."""

    key: str
    value: bytes
    revision: int
    lease_id: int


@attrs.frozen(kw_only=True)
class Removal:
    """Say that a key was removed."""

    key: str
    revision: int


Change = Item | Removal


@attrs.frozen(kw_only=True)
class Snapshot:
    """Hold all items and the revision from which to watch on."""

    items: tuple[Item, ...]
    revision: int


@attrs.frozen(kw_only=True)
class Changes:
    """Hold what a watch returned and the revision from which to go on."""

    changes: tuple[Change, ...]
    revision: int


class HistoryGone(Exception):
    """Say that the store no longer has the history a watch asked for."""


class LeaseGone(Exception):
    """Say that a lease has ended."""


@attrs.frozen
class Conflict(Exception):
    """Say that a condition of a write did not hold.

    ``revision`` is the one that the key has; 0 if there is no such key.
    """

    revision: int
