"""Routing configuration: routes, services, teams and limits of one version."""

import hashlib
import random
from collections.abc import Mapping, Sequence

import attrs


@attrs.frozen
class WeightedService:
    """Name a service that gets a part of a route's requests."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class RouteRule:
    """Say where the requests below a prefix go and what is allowed for them.

    A lower ``priority`` is more urgent. ``timeout_ms`` bounds the whole stay
    of a request, ``attempts`` the targets that it may reach.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: int
    objective_ms: int
    priority: int
    services: tuple[WeightedService, ...]
    attempts: int
    is_open: bool


@attrs.frozen(kw_only=True)
class TeamRule:
    """Hold rate, burst and priority of one team; a rate of 0 is no limit."""

    name: str
    priority: int
    rate_per_s: float
    burst_calls: float


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Bound what callers send and how long their connections stay idle."""

    head_bytes: int
    body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


@attrs.frozen(kw_only=True)
class RoutingConfig:
    """Hold one version of the configuration, ready for look-ups."""

    version: int
    routes_by_host: Mapping[str, Sequence[RouteRule]]
    teams_by_key_hash: Mapping[bytes, TeamRule]
    teams: Mapping[str, TeamRule]
    limits: CallerLimits
    # Path of the health check of each service.
    health_paths: Mapping[str, str] = attrs.field(factory=dict)

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix that begins ``path``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_team(self, key: str) -> TeamRule | None:
        """Return the team that holds ``key``."""
        return self.teams_by_key_hash.get(hash_key(key))


def hash_key(key: str) -> bytes:
    """Return what is kept of a key."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


def group_routes_by_host(
    routes: Sequence[RouteRule],
) -> dict[str, tuple[RouteRule, ...]]:
    """Return the routes by host, longest prefix first."""
    by_host: dict[str, list[RouteRule]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(rules, key=lambda rule: -len(rule.prefix)))
        for host, rules in by_host.items()
    }


def pick_service(route: RouteRule, rng: random.Random) -> str:
    """Return one of the route's services, as often as its weight says."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    total = sum(part.weight for part in services)
    point = rng.random() * total
    for part in services:
        point -= part.weight
        if point < 0:
            return part.service
    return services[-1].service
