"""Guard against wrong documents, leaked keys and wrongly matched routes."""

import json
from typing import Any

import attrs
import pytest
from returns.result import Failure

from eelgrassweir.config.document import (
    document_to_json,
    find_team_of_key,
    hash_key,
    match_route,
    parse_document,
)
from testing.config.documents import make_document, make_route


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (("teams", "alfa", "rate_per_s"), -1, "teams.alfa.rate_per_s is -1"),
        (("teams", "alfa", "rate_per_s"), float("nan"), "a number from 0"),
        (("teams", "alfa", "burst_calls"), True, "teams.alfa.burst_calls is true"),
        (("teams", "alfa", "limit"), 1, "teams.alfa.limit is unknown"),
        (("teams", "two words"), {"rate_per_s": 1, "burst_calls": 1}, "a name of"),
        (("routes", "all", "class"), "urgent", "background, normal, critical"),
        (("routes", "all", "path_prefix"), "/a/../b", "without '.' segments"),
        (("routes", "all", "path_prefix"), "/.eelgrassweir/x", "path_prefix"),
        (("routes", "all", "deadline_ms"), 1, "from 500"),
        (("routes", "more"), document_to_json(make_document())["routes"]["all"], "all"),
        (("keys", hash_key("b")), {"key_id": "k2", "team": "none"}, "team is none"),
        (("keys", hash_key("b")), {"key_id": "k1", "team": "alfa"}, "key_id is k1"),
        (("failure_domains",), ["a", "a"], "each name once"),
        (("version",), "1", 'version is "1"'),
        (("change_ids",), [f"c{n}" for n in range(65)], "at most 64"),
    ],
)
def test_error_names_field_and_what_is_allowed(
    path: tuple[str, ...], value: Any, named: str
) -> None:
    """Guard against invalid documents, and errors that do not help."""
    document = document_to_json(make_document())
    parent = document
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    result = parse_document(json.dumps(document).encode())
    assert isinstance(result, Failure)
    assert named in str(result.failure())


def test_repeated_name_or_deep_nesting_is_an_error() -> None:
    """Guard against entries ignored, or an exception, while decoding."""
    assert isinstance(parse_document(b'{"version":1,"version":2}'), Failure)
    assert isinstance(parse_document(b"[" * 100_000), Failure)


@pytest.mark.parametrize(
    "entry",
    [
        {"ew_secret-in-clear": {"key_id": "k", "team": "alfa"}},
        {hash_key("x"): {"key_id": "ew_secret-in-clear-and-long", "team": "alfa"}},
    ],
)
def test_plaintext_key_is_refused_and_not_shown(entry: dict[str, Any]) -> None:
    """Guard against secrets in documents and error messages."""
    document = document_to_json(make_document()) | {"keys": entry}
    result = parse_document(json.dumps(document).encode())
    assert isinstance(result, Failure)
    assert "secret" not in str(result.failure())


def test_key_is_found_by_hash_and_absent_from_reprs() -> None:
    """Guard against a hash accepted as its key, and hashes in logs."""
    document = make_document()
    assert find_team_of_key(document, "a-key") == "alfa"
    assert find_team_of_key(document, hash_key("a-key")) is None
    assert find_team_of_key(document, "") is None
    assert find_team_of_key(document, "\udcff\ud800") is None
    shown = repr(document) + repr(list(document.keys.values()))
    assert hash_key("a-key") not in shown


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/a/b", "b"),
        ("GET", "/a/b/c?x=/../", "b"),
        ("GET", "/a/bc", "a"),
        ("POST", "/a", "a-post"),
        ("GET", "/a/", "a"),
        ("GET", "/x", "all"),
        ("GET", "/x%20y", "all"),
        ("GET", "/x/../a/b", None),
        ("GET", "/x/%2e%2e/a/b", None),
        ("GET", "/x/..;p/a/b", None),
        ("GET", "/%61/b", None),
        ("GET", "/a;p/b", None),
        ("GET", "//a/b", None),
        ("GET", "/x\\..\\a", None),
        ("GET", "a/b", None),
        ("GET", "*", None),
    ],
)
def test_route_has_the_longest_prefix_and_one_interpretation(
    method: str, path: str, expected: str | None
) -> None:
    """Guard against paths that reach another route than the one checked."""
    document = attrs.evolve(
        make_document(),
        routes=(
            make_route("all", "/", is_open=True),
            make_route("a", "/a"),
            make_route("a-post", "/a", methods=("POST",)),
            make_route("b", "/a/b"),
        ),
    )
    found = match_route(document, method, path)
    assert (None if found is None else found.name) == expected
