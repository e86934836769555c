"""Deltas between two versions of the configuration.

Daemons send them instead of whole documents. A delta is a JSON object with
``base``, ``version``, ``change_ids`` and the sections that differ.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from eelgrassweir.config.check import (
    CheckError,
    check_entries,
    check_fields,
    check_list,
    check_whole,
    load_json,
)
from eelgrassweir.config.document import (
    KEPT_CHANGE_IDS,
    MAX_WALL_MS,
    ConfigDocument,
    change_ids_from_json,
    check_document,
    document_to_json,
    domains_from_json,
    encode_json,
    key_from_json,
    route_from_json,
    stop_from_json,
    team_from_json,
)
from eelgrassweir.errors import StepError

SECTIONS = ("teams", "keys", "routes", "stops")

T = TypeVar("T")


def make_delta(old: ConfigDocument, new: ConfigDocument) -> bytes:
    """Return the delta from ``old`` to ``new`` as JSON."""
    before, after = document_to_json(old), document_to_json(new)
    delta: dict[str, Any] = {"base": old.version, "version": new.version}
    for section in SECTIONS:
        change = _section_delta(before[section], after[section])
        if change["changed"] or change["removed"]:
            delta[section] = change
    if old.failure_domains != new.failure_domains:
        delta["failure_domains"] = after["failure_domains"]
    delta["change_ids"] = _ids_delta(old.change_ids, new.change_ids)
    return encode_json(delta)


def _section_delta(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> dict[str, Any]:
    return {
        "changed": {
            name: entry
            for name, entry in after.items()
            if name not in before or before[name] != entry
        },
        "removed": sorted(before.keys() - after.keys()),
    }


def _ids_delta(old: Sequence[str], new: Sequence[str]) -> dict[str, Any]:
    """Return how many ids are dropped at the front and which are added."""
    dropped = 0
    while tuple(old[dropped:]) != tuple(new[: len(old) - dropped]):
        dropped += 1
    return {"dropped": dropped, "added": list(new[len(old) - dropped :])}


def apply_delta(
    old: ConfigDocument, payload: bytes
) -> Result[ConfigDocument, StepError]:
    """Return the checked document that results from the delta to ``old``."""
    try:
        return Success(_apply_checked(old, load_json(payload)))
    except CheckError as error:
        return Failure(StepError("apply configuration delta", "document", str(error)))


def _apply_checked(old: ConfigDocument, value: Any) -> ConfigDocument:
    required = ("base", "version", "change_ids")
    delta = check_fields(value, "delta", required, (*SECTIONS, "failure_domains"))
    base = check_whole(delta["base"], "base", 0, MAX_WALL_MS)
    if base != old.version:
        raise CheckError(
            "base", str(base), f"the version of this daemon, {old.version}"
        )
    routes = {route.name: route for route in old.routes}
    document = ConfigDocument(
        version=check_whole(delta["version"], "version", base + 1, MAX_WALL_MS),
        teams=_merge(old.teams, delta, "teams", team_from_json),
        keys=_merge(old.keys, delta, "keys", key_from_json),
        routes=tuple(_merge(routes, delta, "routes", route_from_json).values()),
        failure_domains=(
            domains_from_json(delta["failure_domains"])
            if "failure_domains" in delta
            else old.failure_domains
        ),
        stops=_merge(old.stops, delta, "stops", stop_from_json),
        change_ids=_merge_ids(old.change_ids, delta["change_ids"]),
    )
    check_document(document)
    return document


def _merge(
    old: Mapping[str, T],
    delta: Mapping[str, Any],
    section: str,
    check: Callable[[str, Any, str], T],
) -> Mapping[str, T]:
    if section not in delta:
        return old
    change = check_fields(delta[section], section, ("changed", "removed"))
    changed = check_entries(change["changed"], section, check)
    removed = check_list(change["removed"], f"{section}.removed")
    for name in removed:
        if not isinstance(name, str) or name not in old:
            allowed = "entries of this daemon's version"
            raise CheckError(f"{section}.removed", "an unknown entry", allowed)
    removed_names = set(removed)
    kept = {name: entry for name, entry in old.items() if name not in removed_names}
    return {**kept, **changed}


def _merge_ids(old: Sequence[str], value: Any) -> tuple[str, ...]:
    found = check_fields(value, "change_ids", ("dropped", "added"))
    dropped = check_whole(found["dropped"], "change_ids.dropped", 0, KEPT_CHANGE_IDS)
    added = check_list(found["added"], "change_ids.added")
    return change_ids_from_json([*old[dropped:], *added])
