"""Intents of supervisors: changes to make to the configuration.

An intent is a JSON object with any of these sections::

    {"teams": {"set": {TEAM: {"rate_per_s": 50, "burst_calls": 20}},
               "remove": [TEAM]},
     "keys": {"grant": {HASH: {"key_id": ID, "team": TEAM}},
              "withdraw": [ID]},
     "routes": {"set": {ROUTE: {"path_prefix": "/a", "service": "fichero",
                                "class": "critical", "idempotent": false,
                                "open": false, "methods": ["POST"],
                                "attempt_timeout_ms": 500,
                                "deadline_ms": 2000}},
                "remove": [ROUTE]},
     "failure_domains": [DOMAIN],
     "stops": {"set": {VM: {"start_wall_ms": 1700000000000}},
               "remove": [VM]}}

``set`` may give only some fields of an existing team or route; the others
keep their values.
"""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from eelgrassweir.config.check import (
    CheckError,
    check_entries,
    check_fields,
    check_list,
    check_name,
    check_object,
)
from eelgrassweir.config.document import (
    ConfigDocument,
    Key,
    Route,
    Stop,
    Team,
    check_key_id,
    domains_from_json,
    key_from_json,
    route_from_json,
    route_to_json,
    stop_from_json,
    team_from_json,
    team_to_json,
)

T = TypeVar("T", Team, Route, Stop)


@attrs.frozen(kw_only=True)
class Intent:
    """Intent whose form has been checked, without regard to a document."""

    set_teams: Mapping[str, dict[str, Any]]
    remove_teams: tuple[str, ...]
    grant_keys: Mapping[str, Key]
    withdraw_keys: tuple[str, ...]
    set_routes: Mapping[str, dict[str, Any]]
    remove_routes: tuple[str, ...]
    failure_domains: tuple[str, ...] | None
    set_stops: Mapping[str, dict[str, Any]]
    remove_stops: tuple[str, ...]


def parse_intent(value: Any) -> Intent:
    """Return the intent; raise CheckError if its form is invalid."""
    sections = ("teams", "keys", "routes", "failure_domains", "stops")
    found = check_fields(value, "intent", (), sections)
    teams = _parse_section(found, "teams", ("set", "remove"))
    keys = _parse_section(found, "keys", ("grant", "withdraw"))
    routes = _parse_section(found, "routes", ("set", "remove"))
    stops = _parse_section(found, "stops", ("set", "remove"))
    domains = found.get("failure_domains")
    return Intent(
        set_teams=_parse_set(teams, "teams"),
        remove_teams=_parse_remove(teams, "teams"),
        grant_keys=check_entries(keys.get("grant", {}), "keys", key_from_json),
        withdraw_keys=tuple(
            check_key_id(item, "keys.withdraw")
            for item in check_list(keys.get("withdraw", []), "keys.withdraw")
        ),
        set_routes=_parse_set(routes, "routes"),
        remove_routes=_parse_remove(routes, "routes"),
        failure_domains=None if domains is None else domains_from_json(domains),
        set_stops=_parse_set(stops, "stops"),
        remove_stops=_parse_remove(stops, "stops"),
    )


def _parse_section(
    found: Mapping[str, Any], name: str, fields: tuple[str, ...]
) -> dict[str, Any]:
    return check_fields(found.get(name, {}), name, (), fields)


def _parse_set(section: Mapping[str, Any], name: str) -> dict[str, dict[str, Any]]:
    return check_entries(
        section.get("set", {}),
        f"{name}.set",
        lambda _, entry, field: check_object(entry, field),
    )


def _parse_remove(section: Mapping[str, Any], name: str) -> tuple[str, ...]:
    field = f"{name}.remove"
    return tuple(
        check_name(item, field) for item in check_list(section.get("remove", []), field)
    )


def apply_intent(
    base: ConfigDocument, intent: Intent
) -> tuple[ConfigDocument, list[str]]:
    """Return the document after the intent, and the reasons for refusal.

    The document keeps the version and the change ids of ``base``.
    """
    refusals: list[str] = []
    routes = {route.name: route for route in base.routes}
    document = attrs.evolve(
        base,
        teams=_apply_changes(
            base.teams,
            "team",
            _merge_with_existing(intent.set_teams, base.teams, team_to_json),
            intent.remove_teams,
            team_from_json,
            refusals,
        ),
        keys=_apply_key_changes(base.keys, intent, refusals),
        routes=tuple(
            _apply_changes(
                routes,
                "route",
                _merge_with_existing(intent.set_routes, routes, route_to_json),
                intent.remove_routes,
                route_from_json,
                refusals,
            ).values()
        ),
        failure_domains=(
            base.failure_domains
            if intent.failure_domains is None
            else intent.failure_domains
        ),
        stops=_apply_changes(
            base.stops,
            "planned stop",
            intent.set_stops,
            intent.remove_stops,
            stop_from_json,
            refusals,
        ),
    )
    return document, refusals


def _merge_with_existing(
    given: Mapping[str, dict[str, Any]],
    old: Mapping[str, T],
    to_json: Callable[[T], dict[str, Any]],
) -> dict[str, dict[str, Any]]:
    return {
        name: {**to_json(old[name]), **entry} if name in old else entry
        for name, entry in given.items()
    }


def _apply_changes(
    old: Mapping[str, T],
    kind: str,
    given: Mapping[str, dict[str, Any]],
    removed: tuple[str, ...],
    check: Callable[[str, Any, str], T],
    refusals: list[str],
) -> dict[str, T]:
    entries = dict(old)
    for name in removed:
        if name in given:
            refusals.append(f"{kind} {name} is both set and removed; leave out one")
        if entries.pop(name, None) is None:
            refusals.append(f"{kind} {name} cannot be removed: it does not exist")
    for name, entry in given.items():
        try:
            entries[name] = check(name, entry, f"{kind} {name}")
        except CheckError as error:
            refusals.append(str(error))
    return entries


def _apply_key_changes(
    old: Mapping[str, Key], intent: Intent, refusals: list[str]
) -> dict[str, Key]:
    entries = dict(old)
    by_id = {key.key_id: key for key in old.values()}
    for key_id in intent.withdraw_keys:
        if key_id in by_id:
            entries.pop(by_id[key_id].key_hash, None)
        else:
            refusals.append(f"key {key_id} cannot be withdrawn: it does not exist")
    for digest, key in intent.grant_keys.items():
        if digest in old:
            refusals.append(f"the key granted as {key.key_id} already exists")
        entries[digest] = key
    return entries
