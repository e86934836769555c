"""Backpressure reported by target daemons, used to refuse calls early.

The daemon's entry and dispatch consult it before a call is sent.
"""

import random

import attrs

PRIORITIES = 3
CRITICAL = 2
# Weight of one report in the moving average. One overloaded target must not
# stop calls that the other targets of the service would accept.
REPORT_WEIGHT = 0.3


@attrs.define
class _ServicePressure:
    reported_ms: float
    # Moving average of the reports that refuse each priority, 0 to 1.
    refusing_share: list[float] = attrs.Factory(lambda: [0.0] * PRIORITIES)


class BackpressureTable:
    """Track the priorities that each service refuses, by route.

    Reports lose weight linearly until ``ttl_ms`` after the last one.
    """

    def __init__(self, *, ttl_ms: float = 500.0) -> None:
        self._ttl_ms = ttl_ms
        self._routes: dict[str, dict[str, _ServicePressure]] = {}

    def record(
        self, route: str, service: str, accepts_from: int, now_ms: float
    ) -> None:
        """Update the average with the report of one response.

        :param accepts_from: lowest priority that the target accepts.
        """
        entry = self._routes.get(route, {}).get(service)
        if entry is None:
            if accepts_from <= 0:
                return
            entry = _ServicePressure(reported_ms=now_ms)
            self._routes.setdefault(route, {})[service] = entry
        freshness = self._freshness(entry, now_ms)
        for priority, share in enumerate(entry.refusing_share):
            decayed = share * freshness
            refuses = 1.0 if priority < accepts_from else 0.0
            entry.refusing_share[priority] = decayed + REPORT_WEIGHT * (
                refuses - decayed
            )
        entry.reported_ms = now_ms

    def accepts(
        self,
        route: str,
        service: str,
        priority: int,
        now_ms: float,
        random: random.Random,
    ) -> bool:
        """Decide at random whether to admit a call; always if critical."""
        if priority >= CRITICAL:
            return True
        entry = self._routes.get(route, {}).get(service)
        if entry is None:
            return True
        freshness = self._freshness(entry, now_ms)
        return random.random() >= entry.refusing_share[priority] * freshness

    def accepts_from(self, route: str, now_ms: float) -> int:
        """Return the lowest priority that all services of a route accept."""
        lowest = 0
        for entry in self._routes.get(route, {}).values():
            freshness = self._freshness(entry, now_ms)
            for priority, share in enumerate(entry.refusing_share):
                if share * freshness > 0.5:
                    lowest = max(lowest, min(priority + 1, CRITICAL))
        return lowest

    def _freshness(self, entry: _ServicePressure, now_ms: float) -> float:
        if self._ttl_ms <= 0:
            return 0.0
        age_ms = max(0.0, now_ms - entry.reported_ms)
        return max(0.0, 1.0 - age_ms / self._ttl_ms)
