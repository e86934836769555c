"""Describe the differences between two configurations to an operator."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any, TypeVar

import attrs

from eelgrassweir.config.document import (
    ConfigDocument,
    Key,
    Route,
    Stop,
    Team,
    route_to_json,
)

_ENTRIES = "every daemon, for requests that enter there"

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class Change:
    """One change of a plan, and the processes where it takes effect."""

    what: str
    where: str


def describe_changes(old: ConfigDocument, new: ConfigDocument) -> list[Change]:
    """Return the differences between two documents, described in words."""
    old_routes = {route.name: route for route in old.routes}
    new_routes = {route.name: route for route in new.routes}
    holders = "share holders of " + (", ".join(new.failure_domains) or "no domain")
    return [
        *_describe_differences(
            old.teams, new.teams, lambda a, b: _describe_team(a, b, holders)
        ),
        *_describe_differences(old.keys, new.keys, _describe_key),
        *_describe_differences(old_routes, new_routes, _describe_route),
        *_describe_domains(old.failure_domains, new.failure_domains),
        *_describe_differences(old.stops, new.stops, _describe_stop),
    ]


def _describe_differences(
    old: Mapping[str, T],
    new: Mapping[str, T],
    describe: Callable[[T | None, T | None], Change],
) -> Iterator[Change]:
    for name in sorted(old.keys() | new.keys()):
        if old.get(name) != new.get(name):
            yield describe(old.get(name), new.get(name))


def _describe_team(old: Team | None, new: Team | None, holders: str) -> Change:
    if new is None:
        assert old is not None
        return Change(what=f"team {old.name}: removed", where=holders)
    limits = f"{new.rate_per_s:g} calls/s, burst of {new.burst_calls} calls"
    if old is None:
        return Change(what=f"team {new.name}: added with {limits}", where=holders)
    before = f"{old.rate_per_s:g} calls/s, burst of {old.burst_calls} calls"
    return Change(what=f"team {new.name}: {before} -> {limits}", where=holders)


def _describe_key(old: Key | None, new: Key | None) -> Change:
    if new is None:
        assert old is not None
        what = f"key {old.key_id} of team {old.team}: withdrawn"
    elif old is None:
        what = f"key {new.key_id}: granted to team {new.team}"
    else:
        what = f"key {old.key_id} of team {old.team} -> {new.key_id} of {new.team}"
    return Change(what=what, where=_ENTRIES)


def _describe_route(old: Route | None, new: Route | None) -> Change:
    if new is None:
        assert old is not None
        what = f"route {old.name} ({old.path_prefix}): removed"
    elif old is None:
        values = ", ".join(_format_fields(route_to_json(new).items()))
        what = f"route {new.name}: added with {values}"
    else:
        before, after = route_to_json(old), route_to_json(new)
        differences = [
            f"{field} {_format_value(before[field])} -> {_format_value(after[field])}"
            for field in after
            if before[field] != after[field]
        ]
        what = f"route {new.name}: " + ", ".join(differences)
    return Change(what=what, where=_ENTRIES)


def _format_fields(items: Any) -> Iterator[str]:
    return (f"{field} {_format_value(value)}" for field, value in items)


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return "+".join(value) or "all"
    return str(value)


def _describe_domains(old: Sequence[str], new: Sequence[str]) -> Iterator[Change]:
    if tuple(old) == tuple(new):
        return
    before, after = ", ".join(old) or "none", ", ".join(new) or "none"
    yield Change(
        what=f"failure domains: {before} -> {after}",
        where="share holders of all failure domains",
    )


def _describe_stop(old: Stop | None, new: Stop | None) -> Change:
    if new is None:
        assert old is not None
        what = f"planned stop of {old.vm} at {format_time(old.start_wall_ms)}: removed"
        return Change(what=what, where=f"VM {old.vm}")
    what = f"planned stop of {new.vm} at {format_time(new.start_wall_ms)}"
    if old is not None:
        what += f" (before: {format_time(old.start_wall_ms)})"
    return Change(what=what, where=f"VM {new.vm}")


def format_time(wall_ms: float) -> str:
    """Return a wall time as ISO 8601 in UTC, or in ms if out of range."""
    try:
        moment = datetime.fromtimestamp(wall_ms / 1000, UTC)
    except (OverflowError, ValueError, OSError):
        return f"{wall_ms} ms"
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")
