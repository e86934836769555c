"""Routing configuration: routes, services, teams and limits of one version.

The mesh entry looks requests up here; the platform package fills it from the
configuration document.
"""

import hashlib
import random
from collections.abc import Mapping, Sequence

import attrs


@attrs.frozen
class WeightedService:
    """Service that receives a share of a route's requests."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class RouteRule:
    """Services and limits of the requests below a path prefix.

    A lower ``priority`` is more urgent. ``timeout_ms`` limits the total time
    of a request, ``attempts`` the number of targets that it may reach.
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
    """Rate, burst and priority of one team; a rate of 0 means unlimited."""

    name: str
    priority: int
    rate_per_s: float
    burst_calls: float


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on caller requests and on idle caller connections."""

    head_bytes: int
    body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


@attrs.frozen(kw_only=True)
class RoutingConfig:
    """One version of the configuration, indexed for lookups."""

    version: int
    routes_by_host: Mapping[str, Sequence[RouteRule]]
    teams_by_key_hash: Mapping[bytes, TeamRule]
    teams: Mapping[str, TeamRule]
    limits: CallerLimits
    # Health check path by service.
    health_paths: Mapping[str, str] = attrs.field(factory=dict)
    # Requests per second that a cold target tolerates by service, 0 for no
    # bound.
    cold_rates_per_s: Mapping[str, float] = attrs.field(factory=dict)

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix of ``path``, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def list_route_names(self) -> set[str]:
        """Return the names of all routes."""
        return {
            route.name for routes in self.routes_by_host.values() for route in routes
        }

    def has_less_urgent_roots(self) -> bool:
        """Return whether a route of root requests has a priority above 0."""
        return any(
            route.priority > 0 and not route.is_open
            for routes in self.routes_by_host.values()
            for route in routes
        )

    def find_team(self, key: str) -> TeamRule | None:
        """Return the team that holds ``key``, or None."""
        return self.teams_by_key_hash.get(hash_key(key))


def hash_key(key: str) -> bytes:
    """Return the SHA-256 digest under which a key is stored."""
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
    """Return a random service of the route, in proportion to the weights."""
    services = route.services
    if len(services) == 1:
        return services[0].service
    total = sum(weighted.weight for weighted in services)
    point = rng.random() * total
    for weighted in services:
        point -= weighted.weight
        if point < 0:
            return weighted.service
    return services[-1].service
