"""The configuration document: teams, hashed keys, routes, domains, stops.

It is parsed from and dumped to JSON. ``X_from_json`` functions raise a
``CheckError`` for an invalid value.
"""

import hashlib
import json
import re
from collections.abc import Mapping, Sequence
from typing import Any, TypeVar
from urllib.parse import unquote

import attrs
from returns.result import Failure, Result, Success

from eelgrassweir.config.check import (
    CheckError,
    check_choice,
    check_entries,
    check_fields,
    check_flag,
    check_list,
    check_name,
    check_number,
    check_text,
    check_whole,
    load_json,
)
from eelgrassweir.errors import StepError

PRIORITIES = {"background": 0, "normal": 1, "critical": 2}
PRIORITY_NAMES = {number: name for name, number in PRIORITIES.items()}
# A repeated confirm is recognised while its change id is among these, which is
# about 25 minutes at 3,600 changes a day.
KEPT_CHANGE_IDS = 64
# The store accepts values of up to 1 MB.
MAX_DOCUMENT_BYTES = 1_000_000
MAX_RATE_PER_S = 100_000_000
MAX_BURST_CALLS = 100_000_000
MAX_TIMEOUT_MS = 3_600_000
MAX_WALL_MS = 1 << 53
RESERVED_PREFIX = "/.eelgrassweir"

_HASH_FORM = r"[0-9a-f]{64}"
_METHOD_FORM = r"[A-Z]{1,20}"
_SEGMENT_FORM = r"[A-Za-z0-9_~-][A-Za-z0-9._~-]*"
_PREFIX_FORM = rf"/|(?:/{_SEGMENT_FORM})+|/\.well-known(?:/{_SEGMENT_FORM})*"
_PLAIN_PATH = re.compile(rf"(?:/{_SEGMENT_FORM})+/?|/")

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class Team:
    """Rate, in calls per second, and burst of one team."""

    name: str
    rate_per_s: float
    burst_calls: int


@attrs.frozen(kw_only=True)
class Key:
    """Hash of one key and the team that it authenticates."""

    key_hash: str = attrs.field(repr=False)
    key_id: str
    team: str


@attrs.frozen(kw_only=True)
class Route:
    """Service and treatment of the requests below one path prefix.

    Empty ``methods`` mean all methods. An open route needs no key.
    """

    name: str
    path_prefix: str
    methods: tuple[str, ...] = ()
    service: str
    priority: int
    idempotent: bool
    is_open: bool
    attempt_timeout_ms: int
    deadline_ms: int


@attrs.frozen(kw_only=True)
class Stop:
    """Planned stop of one VM, with its start in ms since the Unix epoch."""

    vm: str
    start_wall_ms: int


def _sort_by_name(routes: Sequence[Route]) -> tuple[Route, ...]:
    return tuple(sorted(routes, key=lambda route: route.name))


def _index_by_prefix(document: "ConfigDocument") -> dict[str, tuple[Route, ...]]:
    found: dict[str, list[Route]] = {}
    for route in document.routes:
        found.setdefault(route.path_prefix, []).append(route)
    # A route that names its methods comes before one for all methods.
    return {
        prefix: tuple(sorted(routes, key=lambda route: not route.methods))
        for prefix, routes in found.items()
    }


@attrs.frozen(kw_only=True)
class ConfigDocument:
    """One version of the configuration.

    ``keys`` are by hash; ``change_ids`` are of the last changes, oldest first.
    """

    version: int
    teams: Mapping[str, Team] = attrs.field(factory=dict)
    keys: Mapping[str, Key] = attrs.field(factory=dict, repr=False)
    routes: tuple[Route, ...] = attrs.field(default=(), converter=_sort_by_name)
    failure_domains: tuple[str, ...] = ()
    stops: Mapping[str, Stop] = attrs.field(factory=dict)
    change_ids: tuple[str, ...] = ()
    _routes_by_prefix: dict[str, tuple[Route, ...]] = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(_index_by_prefix, takes_self=True),
    )

    def routes_of_prefix(self, prefix: str) -> tuple[Route, ...]:
        """Return the routes with this path prefix, the most specific first."""
        return self._routes_by_prefix.get(prefix, ())


EMPTY_DOCUMENT = ConfigDocument(version=0)


def hash_key(key: str) -> str:
    """Return the SHA-256 hash of a key as 64 hexadecimal digits.

    A fast hash is enough: keys are 256 random bits, so they cannot be
    guessed from their hashes.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


def find_team_of_key(document: ConfigDocument, key: str) -> str | None:
    """Return the team whose key this is, or None.

    The key is hashed before the lookup, so the time taken does not reveal
    how much of it is right.
    """
    found = document.keys.get(hash_key(key))
    return None if found is None else found.team


def match_route(document: ConfigDocument, method: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix, or None.

    ``path`` may include a query. Prefixes match whole path segments. A path
    matches no route if a backend server could interpret it as the path of
    another one (dot segments, empty segments, escapes, path parameters).
    """
    path = path.partition("?")[0]
    if _PLAIN_PATH.fullmatch(path):
        return _find_longest_match(document, method, path)
    decoded = unquote(path, errors="replace")
    if _is_ambiguous(decoded):
        return None
    without_parameters = re.sub(r";[^/]*", "", decoded)
    if _is_ambiguous(without_parameters):
        return None
    forms = {path, decoded, without_parameters}
    found = {_find_longest_match(document, method, form) for form in forms}
    return found.pop() if len(found) == 1 else None


def _is_ambiguous(path: str) -> bool:
    if not path.startswith("/") or "\\" in path or "\0" in path or "//" in path:
        return True
    return any(segment in (".", "..") for segment in path.split("/"))


def _find_longest_match(
    document: ConfigDocument, method: str, path: str
) -> Route | None:
    prefix = path.rstrip("/") or "/"
    while True:
        for route in document.routes_of_prefix(prefix):
            if not route.methods or method in route.methods:
                return route
        if prefix == "/":
            return None
        prefix = prefix.rpartition("/")[0] or "/"


def find_version_of_change(document: ConfigDocument, change_id: str) -> int | None:
    """Return the version that a change made, or None if its id is gone."""
    # Each version adds one change id at the end.
    for age, kept_id in enumerate(reversed(document.change_ids)):
        if kept_id == change_id:
            return document.version - age
    return None


def parse_document(payload: bytes) -> Result[ConfigDocument, StepError]:
    """Return the checked document from JSON."""
    try:
        return Success(document_from_json(load_json(payload)))
    except CheckError as error:
        return Failure(StepError("parse configuration", "document", str(error)))


def dump_document(document: ConfigDocument) -> bytes:
    """Return the document as JSON; equal documents give equal bytes."""
    return encode_json(document_to_json(document))


def encode_json(value: Any) -> bytes:
    """Return compact JSON with sorted names."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def document_from_json(value: Any) -> ConfigDocument:
    """Return the checked document; raise CheckError for the first error."""
    names = [field.name for field in attrs.fields(ConfigDocument) if field.init]
    found = check_fields(value, "document", names)
    document = ConfigDocument(
        version=check_whole(found["version"], "version", 0, MAX_WALL_MS),
        teams=check_entries(found["teams"], "teams", team_from_json),
        keys=check_entries(found["keys"], "keys", key_from_json),
        routes=_routes_from_json(found["routes"]),
        failure_domains=domains_from_json(found["failure_domains"]),
        stops=check_entries(found["stops"], "stops", stop_from_json),
        change_ids=change_ids_from_json(found["change_ids"]),
    )
    check_document(document)
    return document


def document_to_json(document: ConfigDocument) -> dict[str, Any]:
    """Return the document as JSON values."""
    return {
        "version": document.version,
        "teams": {name: team_to_json(team) for name, team in document.teams.items()},
        "keys": {digest: key_to_json(key) for digest, key in document.keys.items()},
        "routes": {route.name: route_to_json(route) for route in document.routes},
        "failure_domains": list(document.failure_domains),
        "stops": {vm: stop_to_json(stop) for vm, stop in document.stops.items()},
        "change_ids": list(document.change_ids),
    }


def team_from_json(name: str, value: Any, field: str) -> Team:
    """Return the checked team."""
    found = check_fields(value, field, ("rate_per_s", "burst_calls"))
    return Team(
        name=check_name(name, field),
        rate_per_s=check_number(
            found["rate_per_s"], f"{field}.rate_per_s", 0, MAX_RATE_PER_S
        ),
        burst_calls=check_whole(
            found["burst_calls"], f"{field}.burst_calls", 0, MAX_BURST_CALLS
        ),
    )


def team_to_json(team: Team) -> dict[str, Any]:
    """Return the team without its name."""
    return {"rate_per_s": team.rate_per_s, "burst_calls": team.burst_calls}


def key_from_json(digest: str, value: Any, _: str) -> Key:
    """Return the checked key; its errors never contain given values."""
    # The name of an entry may be a plaintext key by mistake, so neither the
    # field nor the value of an error contains it.
    if not re.fullmatch(_HASH_FORM, digest):
        allowed = "a SHA-256 hash of 64 hexadecimal digits"
        raise CheckError("keys", "withheld", allowed)
    field = f"keys.{digest[:8]}..."
    found = check_fields(value, field, ("key_id", "team"))
    return Key(
        key_hash=digest,
        key_id=check_key_id(found["key_id"], f"{field}.key_id"),
        team=check_name(found["team"], f"{field}.team"),
    )


def check_key_id(value: Any, field: str) -> str:
    """Return ``value`` if it is a key id; the error never contains it."""
    # Ids are shorter than keys, so a key cannot be stored as its own id.
    if isinstance(value, str) and re.fullmatch(r"[A-Za-z0-9._-]{1,24}", value):
        return value
    raise CheckError(field, "withheld", "1 to 24 letters, digits, '.', '_' or '-'")


def key_to_json(key: Key) -> dict[str, Any]:
    """Return the key without its hash."""
    return {"key_id": key.key_id, "team": key.team}


def _routes_from_json(value: Any) -> tuple[Route, ...]:
    return tuple(check_entries(value, "routes", route_from_json).values())


def route_from_json(name: str, value: Any, field: str) -> Route:
    """Return the checked route."""
    found = check_fields(
        value,
        field,
        ("path_prefix", "service", "attempt_timeout_ms", "deadline_ms"),
        ("methods", "class", "idempotent", "open"),
    )
    attempt_ms = check_whole(
        found["attempt_timeout_ms"], f"{field}.attempt_timeout_ms", 1, MAX_TIMEOUT_MS
    )
    return Route(
        name=check_name(name, field),
        path_prefix=_check_prefix(found["path_prefix"], f"{field}.path_prefix"),
        methods=_check_methods(found.get("methods", []), f"{field}.methods"),
        service=check_name(found["service"], f"{field}.service"),
        priority=check_choice(
            found.get("class", "normal"), f"{field}.class", PRIORITIES
        ),
        idempotent=check_flag(found.get("idempotent", False), f"{field}.idempotent"),
        is_open=check_flag(found.get("open", False), f"{field}.open"),
        attempt_timeout_ms=attempt_ms,
        deadline_ms=check_whole(
            found["deadline_ms"], f"{field}.deadline_ms", attempt_ms, MAX_TIMEOUT_MS
        ),
    )


def _check_prefix(value: Any, field: str) -> str:
    meaning = "'/' or a path like /a/b without '.' segments and final '/'"
    prefix = check_text(value, field, _PREFIX_FORM, meaning)
    if prefix == RESERVED_PREFIX or prefix.startswith(RESERVED_PREFIX + "/"):
        raise CheckError(field, prefix, f"a path outside {RESERVED_PREFIX}")
    return prefix


def _check_methods(value: Any, field: str) -> tuple[str, ...]:
    meaning = "HTTP methods in capitals"
    methods = [
        check_text(item, field, _METHOD_FORM, meaning)
        for item in check_list(value, field)
    ]
    return tuple(sorted(set(methods)))


def route_to_json(route: Route) -> dict[str, Any]:
    """Return the route without its name."""
    return {
        "path_prefix": route.path_prefix,
        "methods": list(route.methods),
        "service": route.service,
        "class": PRIORITY_NAMES[route.priority],
        "idempotent": route.idempotent,
        "open": route.is_open,
        "attempt_timeout_ms": route.attempt_timeout_ms,
        "deadline_ms": route.deadline_ms,
    }


def stop_from_json(vm: str, value: Any, field: str) -> Stop:
    """Return the checked planned stop."""
    found = check_fields(value, field, ("start_wall_ms",))
    start_ms = check_whole(
        found["start_wall_ms"], f"{field}.start_wall_ms", 0, MAX_WALL_MS
    )
    return Stop(vm=check_name(vm, field), start_wall_ms=start_ms)


def stop_to_json(stop: Stop) -> dict[str, Any]:
    """Return the planned stop without its VM."""
    return {"start_wall_ms": stop.start_wall_ms}


def domains_from_json(value: Any) -> tuple[str, ...]:
    """Return the checked failure domains."""
    field = "failure_domains"
    names = tuple(check_name(item, field) for item in check_list(value, field))
    if len(set(names)) != len(names):
        raise CheckError(field, ", ".join(names), "each name once")
    return names


def change_ids_from_json(value: Any) -> tuple[str, ...]:
    """Return the checked change ids."""
    field = "change_ids"
    found = check_list(value, field)
    if len(found) > KEPT_CHANGE_IDS:
        raise CheckError(field, f"{len(found)} ids", f"at most {KEPT_CHANGE_IDS}")
    return tuple(check_name(item, field) for item in found)


def check_document(document: ConfigDocument) -> None:
    """Raise CheckError if entries of the document contradict each other."""
    seen_ids: set[str] = set()
    for key in document.keys.values():
        if key.team not in document.teams:
            field = f"keys.{key.key_hash[:8]}....team"
            raise CheckError(field, key.team, "a team of the document")
        if key.key_id in seen_ids:
            field = f"keys.{key.key_hash[:8]}....key_id"
            raise CheckError(field, key.key_id, "an id used by no other")
        seen_ids.add(key.key_id)
    seen_routes: dict[tuple[str, str], str] = {}
    for route in document.routes:
        for method in route.methods or ("",):
            other = seen_routes.setdefault((route.path_prefix, method), route.name)
            if other != route.name:
                shown = f"{method or 'all methods'} {route.path_prefix}"
                allowed = f"a path and method not used by {other}"
                raise CheckError(f"routes.{route.name}", shown, allowed)
