"""Estimate how long requests of a route take.

A planned stop lets in only those that can end in time.
"""

import attrs

# Weight of a new duration that is below the estimate. A longer one replaces
# the estimate, so that it stays near the slowest of the recent requests.
DECAY_WEIGHT = 0.05


@attrs.define
class RunDurations:
    """Durations of the slowest recent requests, by route."""

    _slow_ms: dict[str, float] = attrs.field(factory=dict)

    def record(self, route: str, duration_ms: float) -> None:
        """Record the duration of a request that got an answer."""
        slow_ms = self._slow_ms.get(route, 0.0)
        if duration_ms < slow_ms:
            duration_ms = slow_ms + DECAY_WEIGHT * (duration_ms - slow_ms)
        self._slow_ms[route] = duration_ms

    def estimate_ms(self, route: str) -> float | None:
        """Return the expected duration, None if there were no answers yet.

        A route without answers is taken to be as slow as the slowest one.
        """
        slow_ms = self._slow_ms.get(route)
        if slow_ms is not None:
            return slow_ms
        return max(self._slow_ms.values(), default=None)

    def keep_routes(self, routes: set[str]) -> None:
        """Forget the routes that the configuration no longer has."""
        self._slow_ms = {
            route: slow_ms
            for route, slow_ms in self._slow_ms.items()
            if route in routes
        }
