"""Describe the fleets that tests and experiments start."""

import hashlib
from typing import Any

import attrs

# Routes of every service: name, method, class, idempotent.
ROUTE_KINDS = (
    ("view", "GET", "normal", True),
    ("file", "POST", "critical", False),
    ("report", "GET", "background", True),
)


@attrs.frozen(kw_only=True)
class ServiceShape:
    """One service, its targets and the services that it calls."""

    name: str
    targets: int
    slots: int
    service_ms: float
    calls: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class TeamShape:
    """One team, its key, and its rate and burst."""

    name: str
    rate_per_s: float
    burst_calls: int

    @property
    def key(self) -> str:
        """Return the plaintext key, as the team's callers send it."""
        return f"key-of-{self.name}-31c7"


@attrs.frozen(kw_only=True)
class Shape:
    """Failure domains, services and teams of one fleet."""

    name: str
    failure_domains: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    teams: tuple[TeamShape, ...]
    # Completed root requests per second that saturate the deepest service.
    capacity_per_s: float
    patience_ms: float = 2_000.0
    attempt_timeout_ms: int = 1_500
    deadline_ms: int = 3_000
    settings: dict[str, Any] = attrs.field(factory=dict)

    @property
    def front_service(self) -> str:
        """Return the name of the service that callers call."""
        return self.services[0].name

    def service(self, name: str) -> ServiceShape:
        """Return the service with the name ``name``."""
        return next(service for service in self.services if service.name == name)

    def children(self, service: str) -> dict[str, list[dict[str, str]]]:
        """Return the child calls of ``service`` by path, as in its spec."""
        return {
            f"/{service}/{kind}": [
                {"method": method, "path": f"/{callee}/{kind}"}
                for callee in self.service(service).calls
            ]
            for kind, method, _, _ in ROUTE_KINDS
        }

    def vms(self) -> list[tuple[str, str, ServiceShape]]:
        """Return (VM, failure domain, service) of each target.

        The targets of a service rotate over the failure domains.
        """
        placements = []
        for offset, service in enumerate(self.services):
            for number in range(service.targets):
                position = (number + offset) % len(self.failure_domains)
                domain = self.failure_domains[position]
                placements.append((f"{service.name}-{number + 1}", domain, service))
        return placements

    def document(self) -> dict[str, Any]:
        """Return the first configuration as it is stored."""
        return {
            "version": 1,
            "teams": {
                team.name: {
                    "rate_per_s": team.rate_per_s,
                    "burst_calls": team.burst_calls,
                }
                for team in self.teams
            },
            "keys": {
                hashlib.sha256(team.key.encode()).hexdigest(): {
                    "key_id": f"{team.name}-1",
                    "team": team.name,
                }
                for team in self.teams
            },
            "routes": {
                f"{service.name}-{kind}": {
                    "path_prefix": f"/{service.name}/{kind}",
                    "methods": [method],
                    "service": service.name,
                    "class": priority,
                    "idempotent": idempotent,
                    "open": False,
                    "attempt_timeout_ms": self.attempt_timeout_ms,
                    "deadline_ms": self.deadline_ms,
                }
                for service in self.services
                for kind, method, priority, idempotent in ROUTE_KINDS
            },
            "failure_domains": list(self.failure_domains),
            "stops": {},
            "change_ids": [],
        }


def _make_teams(
    names: tuple[str, ...], fractions: tuple[float, ...], total_per_s: float
) -> tuple[TeamShape, ...]:
    return tuple(
        TeamShape(
            name=name,
            rate_per_s=total_per_s * fraction,
            burst_calls=max(8, int(total_per_s * fraction)),
        )
        for name, fraction in zip(names, fractions, strict=True)
    )


# Fractions of the total rate: a few teams are large.
TEAM_FRACTIONS = (0.30, 0.25, 0.20, 0.05, 0.05, 0.05, 0.05, 0.05)
# Slots are a tenth of those in production, and service times are longer: with
# 200 requests per second at the deepest service, the CPUs of one machine and
# not the slots limited the fleet at 4 times the base load.
DEMO = Shape(
    name="demo",
    failure_domains=("bilbao", "santander", "oviedo"),
    services=(
        ServiceShape(
            name="fichero", targets=2, slots=12, service_ms=5, calls=("registro",)
        ),
        ServiceShape(
            name="registro", targets=2, slots=12, service_ms=10, calls=("lemario",)
        ),
        ServiceShape(name="lemario", targets=2, slots=6, service_ms=20),
    ),
    teams=_make_teams(("academia", "editorial", "taller"), (0.6, 0.3, 0.1), 200.0),
    capacity_per_s=600.0,
)
URQUIOLA = Shape(
    name="urquiola",
    failure_domains=("bilbao", "santander", "oviedo", "donostia"),
    services=(
        ServiceShape(
            name="fichero", targets=4, slots=11, service_ms=50, calls=("registro",)
        ),
        ServiceShape(
            name="registro", targets=4, slots=11, service_ms=75, calls=("redaccion",)
        ),
        ServiceShape(
            name="redaccion", targets=4, slots=11, service_ms=75, calls=("lemario",)
        ),
        ServiceShape(name="lemario", targets=4, slots=4, service_ms=200),
    ),
    teams=_make_teams(
        (
            "academia",
            "ministerio",
            "editorial",
            "archivo",
            "escuela",
            "museo",
            "prensa",
            "taller",
        ),
        TEAM_FRACTIONS,
        120.0,
    ),
    capacity_per_s=80.0,
    patience_ms=3_000.0,
    attempt_timeout_ms=2_500,
    deadline_ms=4_000,
)
UMGENI = Shape(
    name="umgeni",
    failure_domains=("stanger", "tongaat", "darnall"),
    services=(
        ServiceShape(
            name="rota-board",
            targets=5,
            slots=14,
            service_ms=50,
            calls=("payroll", "allocations"),
        ),
        ServiceShape(name="payroll", targets=3, slots=23, service_ms=75),
        ServiceShape(
            name="allocations",
            targets=3,
            slots=23,
            service_ms=75,
            calls=("burn-planner",),
        ),
        ServiceShape(name="burn-planner", targets=3, slots=7, service_ms=225),
    ),
    teams=_make_teams(
        (
            "harvest",
            "mill",
            "transport",
            "nursery",
            "workshop",
            "clinic",
            "stores",
            "office",
        ),
        TEAM_FRACTIONS,
        140.0,
    ),
    capacity_per_s=93.0,
    patience_ms=3_000.0,
    attempt_timeout_ms=2_500,
    deadline_ms=4_000,
)
SHAPES = {shape.name: shape for shape in (DEMO, URQUIOLA, UMGENI)}


def make_chain_shape(depth: int, failure_domains: int = 1) -> Shape:
    """Return a chain of ``depth`` services with one target each."""
    names = [f"level-{number}" for number in range(1, depth + 1)]
    services = tuple(
        ServiceShape(
            name=name,
            targets=1,
            slots=20,
            service_ms=2,
            calls=(names[index + 1],) if index + 1 < depth else (),
        )
        for index, name in enumerate(names)
    )
    return Shape(
        name=f"chain-{depth}",
        failure_domains=tuple(f"domain-{i + 1}" for i in range(failure_domains)),
        services=services,
        teams=_make_teams(("academia",), (1.0,), 1_000.0),
        capacity_per_s=1_000.0,
    )


def make_flat_shape(vms: int, failure_domains: int) -> Shape:
    """Return one service on ``vms`` targets that makes no calls."""
    return Shape(
        name=f"flat-{vms}",
        failure_domains=tuple(f"domain-{i + 1}" for i in range(failure_domains)),
        services=(ServiceShape(name="fichero", targets=vms, slots=20, service_ms=2),),
        teams=_make_teams(("academia",), (1.0,), 2_000.0),
        capacity_per_s=2_000.0,
    )
