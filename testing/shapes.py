"""Shapes of the fleets that tests and experiments start."""

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
    """One service, its targets and the calls it makes itself."""

    name: str
    targets: int
    slots: int
    service_ms: float
    calls: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class TeamShape:
    """One team, its key and its allowance."""

    name: str
    rate_per_s: float
    burst_calls: int

    @property
    def key(self) -> str:
        """Return the key in clear, as the team's callers send it."""
        return f"key-of-{self.name}-31c7"


@attrs.frozen(kw_only=True)
class Shape:
    """Failure domains, services and teams of one fleet."""

    name: str
    failure_domains: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    teams: tuple[TeamShape, ...]
    # Completed root requests a second at which the deepest service is full.
    capacity_per_s: float
    patience_ms: float = 2_000.0
    attempt_timeout_ms: int = 1_500
    deadline_ms: int = 3_000
    settings: dict[str, Any] = attrs.field(factory=dict)

    @property
    def front_service(self) -> str:
        """Return the service that callers use."""
        return self.services[0].name

    def service(self, name: str) -> ServiceShape:
        """Return the service called ``name``."""
        return next(service for service in self.services if service.name == name)

    def children(self, service: str) -> dict[str, list[dict[str, str]]]:
        """Return the child calls of ``service`` for each of its paths."""
        return {
            f"/{service}/{kind}": [
                {"method": method, "path": f"/{callee}/{kind}"}
                for callee in self.service(service).calls
            ]
            for kind, method, _, _ in ROUTE_KINDS
        }

    def vms(self) -> list[tuple[str, str, ServiceShape]]:
        """Return (vm, failure domain, service), domains in rotation."""
        placed = []
        for offset, service in enumerate(self.services):
            for number in range(service.targets):
                position = (number + offset) % len(self.failure_domains)
                domain = self.failure_domains[position]
                placed.append((f"{service.name}-{number + 1}", domain, service))
        return placed

    def document(self) -> dict[str, Any]:
        """Return the first configuration as the store keeps it."""
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


def _teams(
    names: tuple[str, ...], shares: tuple[float, ...], total_per_s: float
) -> tuple[TeamShape, ...]:
    return tuple(
        TeamShape(
            name=name,
            rate_per_s=total_per_s * share,
            burst_calls=max(8, int(total_per_s * share)),
        )
        for name, share in zip(names, shares, strict=True)
    )


# A few teams are large.
SHARES = (0.30, 0.25, 0.20, 0.05, 0.05, 0.05, 0.05, 0.05)
# Slots are a tenth of the real ones, and service times are longer: with 200
# requests a second at the deepest service, the processors of one machine and
# not the slots were the limit at 4 times the base load.
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
    teams=_teams(("academia", "editorial", "taller"), (0.6, 0.3, 0.1), 200.0),
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
    teams=_teams(
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
        SHARES,
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
    teams=_teams(
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
        SHARES,
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
        teams=_teams(("academia",), (1.0,), 1_000.0),
        capacity_per_s=1_000.0,
    )


def make_flat_shape(vms: int, failure_domains: int) -> Shape:
    """Return one service on ``vms`` targets that calls nobody."""
    return Shape(
        name=f"flat-{vms}",
        failure_domains=tuple(f"domain-{i + 1}" for i in range(failure_domains)),
        services=(ServiceShape(name="fichero", targets=vms, slots=20, service_ms=2),),
        teams=_teams(("academia",), (1.0,), 2_000.0),
        capacity_per_s=2_000.0,
    )
