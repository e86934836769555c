"""Pressure that target daemons report, used to refuse calls early."""

import random

import attrs

PRIORITIES = 3
CRITICAL = 2
# Weight of one report. The targets of a service differ, and one overloaded
# target must not stop calls that the others would accept.
REPORT_WEIGHT = 0.3


@attrs.define
class _Entry:
    reported_ms: float
    # Share of the recent reports that refuse each priority.
    refused_share: list[float] = attrs.Factory(lambda: [0.0] * PRIORITIES)


class BackpressureTable:
    """Keep the lowest accepted priority per route and service."""

    def __init__(self, *, ttl_ms: float = 500.0) -> None:
        self._ttl_ms = ttl_ms
        self._routes: dict[str, dict[str, _Entry]] = {}

    def record(
        self, route: str, service: str, accepts_from: int, now_ms: float
    ) -> None:
        """Take in the report that came with one response."""
        entry = self._routes.get(route, {}).get(service)
        if entry is None:
            if accepts_from <= 0:
                return
            entry = _Entry(reported_ms=now_ms)
            self._routes.setdefault(route, {})[service] = entry
        freshness = self._freshness(entry, now_ms)
        for priority, share in enumerate(entry.refused_share):
            faded = share * freshness
            refuses = 1.0 if priority < accepts_from else 0.0
            entry.refused_share[priority] = faded + REPORT_WEIGHT * (refuses - faded)
        entry.reported_ms = now_ms

    def accepts(
        self,
        route: str,
        service: str,
        priority: int,
        now_ms: float,
        random: random.Random,
    ) -> bool:
        """Tell whether to let a call in; critical calls always get in."""
        if priority >= CRITICAL:
            return True
        entry = self._routes.get(route, {}).get(service)
        if entry is None:
            return True
        freshness = self._freshness(entry, now_ms)
        return random.random() >= entry.refused_share[priority] * freshness

    def accepts_from(self, route: str, now_ms: float) -> int:
        """Return the lowest priority that all services of a route accept."""
        lowest = 0
        for entry in self._routes.get(route, {}).values():
            freshness = self._freshness(entry, now_ms)
            for priority, share in enumerate(entry.refused_share):
                if share * freshness > 0.5:
                    lowest = max(lowest, min(priority + 1, CRITICAL))
        return lowest

    def _freshness(self, entry: _Entry, now_ms: float) -> float:
        if self._ttl_ms <= 0:
            return 0.0
        age_ms = max(0.0, now_ms - entry.reported_ms)
        return max(0.0, 1.0 - age_ms / self._ttl_ms)
