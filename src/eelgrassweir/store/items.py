"""Items, changes and errors of a store with revisions and leases.

The era of a store increases each time that it is restored from a copy. It
issues the revisions and lease ids of after the copy again, so both are only
meaningful within one era.

The platform package produces them; the mesh daemon's feed consumes them.
"""

import attrs


@attrs.frozen(kw_only=True)
class Item:
    """Latest value of a key; ``lease_id`` is 0 without a lease."""

    key: str
    value: bytes
    revision: int
    lease_id: int
    era: int = 0


@attrs.frozen(kw_only=True)
class Removal:
    """Removal of a key."""

    key: str
    revision: int
    era: int = 0


Change = Item | Removal


@attrs.frozen(kw_only=True)
class Snapshot:
    """All items and the revision after which to start a watch."""

    items: tuple[Item, ...]
    revision: int
    era: int = 0


@attrs.frozen(kw_only=True)
class Changes:
    """Result of a watch and the revision after which to continue it."""

    changes: tuple[Change, ...]
    revision: int


@attrs.frozen(kw_only=True)
class Lease:
    """Lease granted by the store in an era."""

    era: int
    lease_id: int


class EraChanged(Exception):
    """The store has been restored since the era of the call's arguments."""


class HistoryGone(Exception):
    """The store has compacted the history that a watch requested."""


class LeaseGone(Exception):
    """The lease has expired or was revoked."""


@attrs.frozen
class Conflict(Exception):
    """A compare-and-swap failed because the key has another revision.

    ``revision`` is the current revision of the key, or 0 if it is absent.
    """

    revision: int
