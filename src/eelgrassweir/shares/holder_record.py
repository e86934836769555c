"""Record of the last share holder in the store, and its JSON form."""

import json

import attrs


@attrs.frozen(kw_only=True)
class HolderRecord:
    """Last holder of a failure domain's share, as written to the store.

    The fields are the keys of the JSON value.
    """

    holder: str
    incarnation: str
    control_address: str
    # Names of the form vm/incarnation, because a restarted process has lost
    # its promises and must not count as the successor that gave them.
    successors: tuple[str, ...]
    epoch: int
    lease_ms: int
    outage_limit_ms: int
    # Set by a holder that has permanently stopped lending tokens.
    released: bool = False


def dump_record(record: HolderRecord) -> str:
    """Return the value of the store for a record."""
    return json.dumps(attrs.asdict(record), separators=(",", ":"))


def parse_record(value: str) -> HolderRecord | None:
    """Return the record from a value of the store, or None if malformed."""
    try:
        fields = json.loads(value)
        fields["successors"] = tuple(fields["successors"])
        return HolderRecord(**fields)
    except (ValueError, TypeError, KeyError):
        return None
