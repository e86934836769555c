"""Decode the platform's configuration document."""

from typing import Any

from returns.result import Failure, Result, Success

from eelgrassweir.decoding import (
    parse_json,
    require_int,
    require_list,
    require_number,
    require_object,
    require_text,
)
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
# Followed by the name of an evacuated failure domain.
EVACUATION_PREFIX = "op/evacuate/"
# A day in ms: no route waits longer, and sums of such times stay in range.
MAX_TIME_MS = 86_400_000
MAX_SIZE_BYTES = 2**31 - 1
MAX_PRIORITY = 1_000_000
MAX_RATE_PER_S = 1_000_000


def decode_config(payload: bytes) -> Result[RoutingConfig, StepError]:
    """Return the configuration in the stored value of ``CONFIG_KEY``.

    The document holds times in ms and rates in requests per second. Return a
    ``StepError`` as the failure if it cannot be decoded.
    """
    try:
        return Success(_decode_document(require_object(parse_json(payload))))
    except (ValueError, KeyError) as error:
        reason = f"not a valid configuration ({type(error).__name__}: {error})"
        return Failure(StepError("decode configuration", CONFIG_KEY, reason))


def _decode_document(document: dict[str, Any]) -> RoutingConfig:
    teams = {}
    teams_by_key_hash = {}
    for entry in _objects(document.get("tenants") or []):
        team = _decode_team(entry)
        teams[team.name] = team
        for key in require_list(entry.get("apiKeys") or []):
            teams_by_key_hash[hash_key(require_text(key))] = team
    limits = require_object(document["limits"])
    return RoutingConfig(
        version=require_int(document["version"]),
        routes_by_host=group_routes_by_host(
            [_decode_route(entry) for entry in _objects(document["routes"])]
        ),
        teams_by_key_hash=teams_by_key_hash,
        teams=teams,
        health_paths={
            require_text(entry["name"]): require_text(entry["healthPath"])
            for entry in _objects(document["services"])
        },
        cold_rates_per_s={
            require_text(entry["name"]): _read_cold_per_s(entry)
            for entry in _objects(document["services"])
        },
        limits=CallerLimits(
            head_bytes=_require_size_bytes(limits["headerBytes"]),
            body_bytes=_require_size_bytes(limits["bodyBytes"]),
            head_timeout_ms=_require_time_ms(limits["headerTimeout"]),
            idle_timeout_ms=_require_time_ms(limits["idleTimeout"]),
        ),
    )


def _decode_team(entry: dict[str, Any]) -> TeamRule:
    return TeamRule(
        name=require_text(entry["name"]),
        priority=_read_priority(entry),
        rate_per_s=require_number(entry.get("ratePerS") or 0),
        burst_calls=require_number(entry.get("burst") or 0),
    )


def _decode_route(entry: dict[str, Any]) -> RouteRule:
    parts = entry.get("trafficSplit")
    if parts:
        services = tuple(
            WeightedService(
                require_text(part["service"]), require_number(part["weight"])
            )
            for part in _objects(parts)
        )
    else:
        services = (WeightedService(require_text(entry["service"]), 1.0),)
    return RouteRule(
        name=require_text(entry["name"]),
        host=require_text(entry["host"]).lower(),
        prefix=require_text(entry["prefix"]),
        idempotent=entry["kind"] == "safe",
        timeout_ms=_require_time_ms(entry["timeout"]),
        objective_ms=_require_time_ms(entry["objective"]),
        priority=_read_priority(entry),
        services=services,
        attempts=max(1, require_int(entry.get("attempts") or 1)),
        is_open=bool(entry.get("public")),
    )


def _objects(value: Any) -> list[dict[str, Any]]:
    return [require_object(entry) for entry in require_list(value)]


def _read_priority(entry: dict[str, Any]) -> int:
    value = entry.get("priority") or 0
    return require_int(value, low=-MAX_PRIORITY, high=MAX_PRIORITY)


def _read_cold_per_s(entry: dict[str, Any]) -> float:
    return require_number(entry.get("coldPerS") or 0, high=MAX_RATE_PER_S)


def _require_time_ms(value: Any) -> int:
    return int(require_number(value, high=MAX_TIME_MS))


def _require_size_bytes(value: Any) -> int:
    return int(require_number(value, high=MAX_SIZE_BYTES))
