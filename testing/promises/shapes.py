"""Define small fleets for the system tests."""

from typing import Any

import attrs

from testing.shapes import ServiceShape, Shape, TeamShape

# Shorter than the defaults, so that several leases expire within one test.
QUICK_SETTINGS: dict[str, Any] = {
    "lease_ms": 1_000,
    "beat_ms": 200,
    "isolation_limit_ms": 2_000,
    "drain_notice_ms": 500,
    "store_timeout_ms": 500,
    "relays_per_domain_count": 1,
}

PAIR = Shape(
    name="pair",
    failure_domains=("bilbao", "santander", "oviedo"),
    services=(
        ServiceShape(name="fichero", targets=3, slots=20, service_ms=5),
        ServiceShape(name="registro", targets=2, slots=20, service_ms=5),
    ),
    teams=(
        TeamShape(name="academia", rate_per_s=2_000.0, burst_calls=2_000),
        TeamShape(name="taller", rate_per_s=2_000.0, burst_calls=2_000),
    ),
    capacity_per_s=500.0,
    settings=QUICK_SETTINGS,
)
CHAIN = Shape(
    name="chain",
    failure_domains=("bilbao", "santander"),
    services=(
        ServiceShape(
            name="fichero", targets=2, slots=20, service_ms=5, calls=("registro",)
        ),
        ServiceShape(name="registro", targets=2, slots=20, service_ms=5),
    ),
    teams=(TeamShape(name="academia", rate_per_s=2_000.0, burst_calls=2_000),),
    capacity_per_s=500.0,
    settings=QUICK_SETTINGS,
)


@attrs.frozen(kw_only=True)
class OpenRouteShape(Shape):
    """A shape with open routes of its first service.

    ``/fichero/open`` makes no child calls, ``/fichero/ask`` calls a route that
    needs a key and ``/fichero/sign`` is not idempotent.
    """

    def document(self) -> dict[str, Any]:
        """Return the first configuration, including the open routes."""
        document = super().document()
        for name in ("open", "ask", "sign"):
            document["routes"][f"{self.front_service}-{name}"] = {
                **document["routes"][f"{self.front_service}-view"],
                "path_prefix": f"/{self.front_service}/{name}",
                "methods": [],
                "idempotent": name != "sign",
                "open": True,
            }
        return document

    def children(self, service: str) -> dict[str, list[dict[str, str]]]:
        """Return the child calls, including those of the open route."""
        calls = super().children(service)
        if service == self.front_service:
            calls[f"/{service}/ask"] = calls[f"/{service}/view"]
        return calls


OPEN_ROUTES = OpenRouteShape(
    name="open",
    failure_domains=("bilbao", "santander", "oviedo"),
    services=(
        ServiceShape(
            name="fichero", targets=3, slots=20, service_ms=5, calls=("registro",)
        ),
        ServiceShape(name="registro", targets=2, slots=20, service_ms=5),
    ),
    teams=PAIR.teams,
    capacity_per_s=500.0,
    settings=QUICK_SETTINGS,
)
