"""Decode the platform's configuration document."""

import json
from typing import Any

from returns.result import Failure, Result, Success

from eelgrassweir.errors import StepError
from eelgrassweir.routing.rules import (
    CallerLimits,
    RouteRule,
    RoutingConfig,
    TeamRule,
    WeightedService,
    group_routes_by_host,
    hash_key,
)

CONFIG_KEY = "op/config"


def decode_config(payload: bytes) -> Result[RoutingConfig, StepError]:
    """Return the configuration in the stored value of ``CONFIG_KEY``.

    The document holds times in ms and rates in requests per second. Return a
    ``StepError`` as the failure if it cannot be decoded.
    """
    try:
        return Success(_decode_document(json.loads(payload)))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        reason = f"not a valid configuration ({type(error).__name__}: {error})"
        return Failure(StepError("decode configuration", CONFIG_KEY, reason))


def _decode_document(document: dict[str, Any]) -> RoutingConfig:
    teams = {}
    teams_by_key_hash = {}
    for entry in document.get("tenants") or ():
        team = TeamRule(
            name=entry["name"],
            priority=int(entry.get("priority") or 0),
            rate_per_s=float(entry.get("ratePerS") or 0),
            burst_calls=float(entry.get("burst") or 0),
        )
        teams[team.name] = team
        for key in entry.get("apiKeys") or ():
            teams_by_key_hash[hash_key(key)] = team
    limits = document["limits"]
    return RoutingConfig(
        version=int(document["version"]),
        routes_by_host=group_routes_by_host(
            [_decode_route(entry) for entry in document["routes"]]
        ),
        teams_by_key_hash=teams_by_key_hash,
        teams=teams,
        health_paths={
            entry["name"]: entry["healthPath"] for entry in document["services"]
        },
        limits=CallerLimits(
            head_bytes=int(limits["headerBytes"]),
            body_bytes=int(limits["bodyBytes"]),
            head_timeout_ms=int(limits["headerTimeout"]),
            idle_timeout_ms=int(limits["idleTimeout"]),
        ),
    )


def _decode_route(entry: dict[str, Any]) -> RouteRule:
    parts = entry.get("trafficSplit")
    if parts:
        services = tuple(
            WeightedService(part["service"], float(part["weight"])) for part in parts
        )
    else:
        services = (WeightedService(entry["service"], 1.0),)
    return RouteRule(
        name=entry["name"],
        host=entry["host"].lower(),
        prefix=entry["prefix"],
        idempotent=entry["kind"] == "safe",
        timeout_ms=int(entry["timeout"]),
        objective_ms=int(entry["objective"]),
        priority=int(entry.get("priority") or 0),
        services=services,
        attempts=max(1, int(entry.get("attempts") or 1)),
        is_open=bool(entry.get("public")),
    )
