"""Calls and run time that a run of a route causes, learned from traffic.

Load condition: a service below the roots is full, and the trees of different
routes need different amounts of it. Calls carry nothing that names the run
that made them, so they are attributed to the routes by a least-squares fit.
"""

import math
from collections.abc import Mapping

import attrs

MAX_ROUTES = 64
MAX_SERVICES = 8
FIT_INTERVAL_MS = 500.0
DECAY_MS = 10_000.0
# Weight of the attribution in proportion to the runs, which decides where the
# runs of two routes always coincide.
PROPORTIONAL_WEIGHT = 0.02
SWEEPS = 4
MIN_WEIGHT = 1e-3


@attrs.frozen
class ServiceCost:
    """Calls at one service, and their total run time, per run of a route."""

    calls: float
    run_ms: float


TreeCost = Mapping[str, ServiceCost]


@attrs.define
class _RouteRuns:
    """Runs of a route in the current interval, and its mean run time."""

    runs: float = 0.0
    ended: float = 0.0
    run_ms: float = 0.0


class RunCosts:
    """Learn the cost of the trees below the runs of one backend server.

    Each interval gives one equation for each called service: the calls of the
    interval are the sum over the routes of runs times calls per run. The
    normal equations lose weight over ``DECAY_MS``.
    """

    def __init__(self) -> None:
        self._fitted_ms: float | None = None
        self._routes: dict[str, _RouteRuns] = {}
        self._interval: dict[str, ServiceCost] = {}
        # Decaying sums of products of runs with runs, and of runs with calls.
        self._run_products: dict[str, dict[str, float]] = {}
        self._call_products: dict[str, dict[str, ServiceCost]] = {}
        self._total_runs = 0.0
        self._totals: dict[str, ServiceCost] = {}
        self._below: dict[str, dict[str, ServiceCost]] = {}

    def record_start(self, route: str) -> None:
        """Count a run that begins."""
        if route in self._routes or len(self._routes) < MAX_ROUTES:
            # A run counts half at its start and half at its end, since its
            # calls fall between these.
            self._routes.setdefault(route, _RouteRuns()).runs += 0.5

    def record_end(self, route: str, run_ms: float) -> None:
        """Record a finished run."""
        runs = self._routes.get(route)
        if runs is not None:
            runs.runs += 0.5
            runs.ended += 1.0
            runs.run_ms += run_ms

    def record_call(self, cost: TreeCost) -> None:
        """Add the cost of the tree of one call of the backend server."""
        for service, part in cost.items():
            if service in self._interval or len(self._interval) < MAX_SERVICES:
                _add(self._interval, service, part, 1.0)

    def get_cost(self, route: str, service: str) -> dict[str, ServiceCost]:
        """Return the cost of a run of a route at ``service`` and below."""
        cost = dict(self._below.get(route, {}))
        runs = self._routes.get(route)
        if runs is not None and runs.ended:
            own = ServiceCost(1.0, runs.run_ms / runs.ended)
            _add(cost, service, own, 1.0)
        return cost

    def list_costs(self, service: str) -> dict[str, dict[str, ServiceCost]]:
        """Return the cost of a run of each route, for the dump."""
        return {route: self.get_cost(route, service) for route in self._routes}

    def update(self, now_ms: float) -> None:
        """Fit the costs again once an interval has passed."""
        if self._fitted_ms is None:
            self._fitted_ms = now_ms
        elapsed_ms = now_ms - self._fitted_ms
        if elapsed_ms < FIT_INTERVAL_MS:
            return
        self._fitted_ms = now_ms
        self._decay(math.exp(-elapsed_ms / DECAY_MS))
        self._add_interval()
        for service in list(self._totals):
            self._fit(service)

    def _decay(self, factor: float) -> None:
        self._total_runs *= factor
        _scale(self._totals, factor)
        for row in self._run_products.values():
            for route in row:
                row[route] *= factor
        for products in self._call_products.values():
            _scale(products, factor)
        for route, runs in list(self._routes.items()):
            runs.ended *= factor
            runs.run_ms *= factor
            if runs.runs == 0 and runs.ended < MIN_WEIGHT:
                self._drop_route(route)
        for service, total in list(self._totals.items()):
            if total.calls < MIN_WEIGHT:
                self._drop_service(service)

    def _drop_route(self, route: str) -> None:
        self._routes.pop(route, None)
        self._run_products.pop(route, None)
        self._below.pop(route, None)
        for row in self._run_products.values():
            row.pop(route, None)
        for products in self._call_products.values():
            products.pop(route, None)

    def _drop_service(self, service: str) -> None:
        del self._totals[service]
        self._call_products.pop(service, None)
        for below in self._below.values():
            below.pop(service, None)

    def _add_interval(self) -> None:
        runs = {name: route.runs for name, route in self._routes.items() if route.runs}
        self._total_runs += sum(runs.values())
        for route, count in runs.items():
            row = self._run_products.setdefault(route, {})
            for other, other_count in runs.items():
                row[other] = row.get(other, 0.0) + count * other_count
            self._routes[route].runs = 0.0
        for service, part in self._interval.items():
            if service not in self._totals and len(self._totals) >= MAX_SERVICES:
                continue
            _add(self._totals, service, part, 1.0)
            products = self._call_products.setdefault(service, {})
            for route, count in runs.items():
                _add(products, route, part, count)
        self._interval.clear()

    def _fit(self, service: str) -> None:
        """Improve the non-negative solution for one service by some sweeps."""
        total = self._totals[service]
        runs = max(self._total_runs, MIN_WEIGHT)
        even = ServiceCost(total.calls / runs, total.run_ms / runs)
        products = self._call_products[service]
        solution = {
            route: self._below.get(route, {}).get(service, even)
            for route in self._run_products
        }
        for _ in range(SWEEPS):
            for route, row in self._run_products.items():
                solution[route] = _solve_row(
                    route, row, products.get(route), solution, even
                )
        for route, cost in solution.items():
            self._below.setdefault(route, {})[service] = cost


def _solve_row(
    route: str,
    row: dict[str, float],
    product: ServiceCost | None,
    solution: dict[str, ServiceCost],
    even: ServiceCost,
) -> ServiceCost:
    """Return the cost of one route, given the costs of the others."""
    square = row.get(route, 0.0)
    if square < MIN_WEIGHT:
        return solution[route]
    calls = product.calls if product else 0.0
    run_ms = product.run_ms if product else 0.0
    for other, weight in row.items():
        if other != route:
            calls -= weight * solution[other].calls
            run_ms -= weight * solution[other].run_ms
    calls += PROPORTIONAL_WEIGHT * square * even.calls
    run_ms += PROPORTIONAL_WEIGHT * square * even.run_ms
    scale = square * (1.0 + PROPORTIONAL_WEIGHT)
    return ServiceCost(max(0.0, calls / scale), max(0.0, run_ms / scale))


def _add(
    costs: dict[str, ServiceCost], name: str, part: ServiceCost, weight: float
) -> None:
    known = costs.get(name)
    calls, run_ms = weight * part.calls, weight * part.run_ms
    if known is not None:
        calls, run_ms = calls + known.calls, run_ms + known.run_ms
    costs[name] = ServiceCost(calls, run_ms)


def _scale(costs: dict[str, ServiceCost], factor: float) -> None:
    for name, cost in costs.items():
        costs[name] = ServiceCost(cost.calls * factor, cost.run_ms * factor)
