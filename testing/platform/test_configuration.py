"""Guard against decoding a configuration document wrongly."""

import json

import pytest
from returns.result import Failure, Success

from eelgrassweir.platform.configuration import decode_config
from eelgrassweir.routing.rules import WeightedService, hash_key

ROUTE = {
    "name": "r1",
    "host": "Notes.example",
    "prefix": "/a/",
    "kind": "unsafe",
    "timeout": 800,
    "objective": 300,
    "priority": 1,
    "service": "notes",
    "attempts": 2,
    "public": False,
}
LIMITS = {
    "headerBytes": 16384,
    "bodyBytes": 1000,
    "headerTimeout": 3000,
    "idleTimeout": 15000,
}
SPLIT = {
    "trafficSplit": [{"service": "x", "weight": 90}, {"service": "y", "weight": 1}]
}
DEEPER = {**ROUTE, "prefix": "/a/b/", "kind": "safe", "name": "r2", **SPLIT}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE, DEEPER],
    "services": [],
    "limits": LIMITS,
    "tenants": [
        {"name": "t", "apiKeys": ["k1"], "priority": 1, "ratePerS": 5, "burst": 6},
        {"name": "u", "apiKeys": []},
    ],
}


@pytest.mark.parametrize(
    ("kind", "is_idempotent"),
    [("safe", True), ("unsafe", False), ("upload", False), ("other", False)],
)
def test_only_safe_routes_are_idempotent(kind: str, is_idempotent: bool) -> None:
    """Guard against an upload that is run a second time."""
    document = {**DOCUMENT, "routes": [{**ROUTE, "kind": kind}]}
    config = decode_config(json.dumps(document).encode()).unwrap()
    route = config.match("notes.example", "/a/c")
    assert route is not None
    assert route.idempotent is is_idempotent


def test_routes_teams_and_keys_are_decoded() -> None:
    """Guard against a field that is decoded as another one."""
    result = decode_config(json.dumps(DOCUMENT).encode())
    assert isinstance(result, Success)
    config = result.unwrap()
    assert config.version == 7
    route = config.match("notes.example", "/a/c")
    assert route is not None
    assert (route.name, route.idempotent, route.timeout_ms) == ("r1", False, 800)
    deeper = config.match("notes.example", "/a/b/c")
    assert deeper is not None
    assert deeper.idempotent
    assert deeper.services == (WeightedService("x", 90.0), WeightedService("y", 1.0))
    assert config.match("notes.example", "/b/") is None
    assert config.match("other.example", "/a/c") is None
    team = config.find_team("k1")
    assert team is not None
    assert (team.name, team.rate_per_s, team.burst_calls) == ("t", 5.0, 6.0)
    assert config.find_team("k2") is None
    assert config.teams["u"].rate_per_s == 0.0


def test_keys_are_kept_hashed() -> None:
    """Guard against keys in plain text in a dump of the configuration."""
    config = decode_config(json.dumps(DOCUMENT).encode()).unwrap()
    assert "k1" not in str(config)
    assert hash_key("k1") in config.teams_by_key_hash


def test_unreadable_document_is_an_error() -> None:
    """Guard against an exception on a document that cannot be decoded."""
    broken = {**DOCUMENT, "routes": [{**ROUTE, "timeout": None}]}
    for payload in (b"", b"[]", b"{}", json.dumps(broken).encode()):
        assert isinstance(decode_config(payload), Failure)


def test_rates_of_cold_targets_are_decoded() -> None:
    """Guard against a service whose bound is lost, or made up."""
    services = [
        {"name": "x", "healthPath": "/h", "coldStart": 8, "coldPerS": 3.9},
        {"name": "y", "healthPath": "/h", "coldPerS": 0},
        {"name": "z", "healthPath": "/h"},
    ]
    document = {**DOCUMENT, "services": services}
    config = decode_config(json.dumps(document).encode()).unwrap()
    assert config.cold_rates_per_s == {"x": 3.9, "y": 0.0, "z": 0.0}
