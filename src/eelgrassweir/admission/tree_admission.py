"""Admission of roots by the capacity that their call trees need below.

Load condition: a service below the roots has less capacity than the admitted
trees need, so most trees would fail at their last calls and waste the work of
the other services. The mesh entry asks before a root is sent.
"""

import math
import random

import attrs

from eelgrassweir.admission.fair_shares import (
    KindDemand,
    compute_fair_level,
    divide_among_kinds,
)
from eelgrassweir.admission.rooms import Room, RoomTable
from eelgrassweir.admission.tree_costs import TreeCost

PLAN_INTERVAL_MS = 100.0
# Roots are counted long enough that an entry with few of them sees each kind.
DEMAND_MS = 5_000.0
MIN_COUNT = 0.02
# Weight of a root in its own team's count. With 1, an entry that sees a team
# rarely admits less than the planned share, with 0 more.
OWN_WEIGHT = 0.5
COST_VALID_MS = 10_000.0
# A kind whose trees need less than this part of the mean at a service is not
# refused for it: that would free little, and calls of other kinds that run at
# the same backend servers can be attributed to it by chance.
MIN_COST_PART = 0.25
MAX_ROUTES = 64
SLOW_START_MS = 1_000.0
MIN_SLOW_START_SHARE = 0.1

Kind = tuple[int, str]


@attrs.frozen
class Shortage:
    """Inputs of a refusal: a service without enough room for a tree."""

    room: Room
    cost_ms: float
    rank: int
    kind_share: float
    team_share: float


@attrs.frozen
class _KindPlan:
    room: Room
    cost_ms: float
    share: float
    # Decayed number of roots of a team up to which all are admitted.
    fair_level: float


@attrs.frozen
class _KnownCost:
    cost: TreeCost
    learned_ms: float


class TreeAdmission:
    """Decide on roots by rank, cost of their tree, and team."""

    def __init__(self, rooms: RoomTable, rng: random.Random, started_ms: float) -> None:
        self._rooms = rooms
        self._rng = rng
        self._started_ms = started_ms
        self._costs: dict[str, _KnownCost] = {}
        # Decaying number of roots by kind and team.
        self._demand: dict[Kind, dict[str, float]] = {}
        self._decayed_ms = started_ms
        self._plan: dict[Kind, _KindPlan] = {}
        self._planned_ms = float("-inf")

    def record_cost(self, route: str, cost: TreeCost, now_ms: float) -> None:
        """Record the cost of a tree that a reply to its root reports."""
        if cost and (route in self._costs or len(self._costs) < MAX_ROUTES):
            self._costs[route] = _KnownCost(cost, now_ms)

    def has_basis(self, route: str, now_ms: float) -> bool:
        """Return whether the room below a route is known by reports."""
        known = self._costs.get(route)
        if known is None:
            return False
        return any(
            room.service in known.cost for room in self._rooms.list_rooms(now_ms)
        )

    def try_admit(
        self, route: str, rank: int, team: str, now_ms: float
    ) -> Shortage | None:
        """Count a root; return None if it is admitted."""
        teams = self._demand.setdefault((rank, route), {})
        count = teams.get(team, 0.0)
        teams[team] = count + 1.0
        if now_ms - self._planned_ms >= PLAN_INTERVAL_MS:
            self._planned_ms = now_ms
            self._plan = self._make_plan(now_ms)
        plan = self._plan.get((rank, route))
        if plan is None:
            return None
        team_share = min(1.0, plan.fair_level / (count + OWN_WEIGHT))
        team_share *= self._slow_start_share(now_ms)
        if self._rng.random() < team_share:
            return None
        return Shortage(plan.room, plan.cost_ms, rank, plan.share, team_share)

    def state(self) -> dict[str, float]:
        """Return the admitted share of each kind that is short, by name."""
        return {f"{route}/{rank}": p.share for (rank, route), p in self._plan.items()}

    def _slow_start_share(self, now_ms: float) -> float:
        age_ms = now_ms - self._started_ms
        return min(1.0, max(MIN_SLOW_START_SHARE, age_ms / SLOW_START_MS))

    def _make_plan(self, now_ms: float) -> dict[Kind, _KindPlan]:
        self._decay_demand(now_ms)
        plan: dict[Kind, _KindPlan] = {}
        for room in self._rooms.list_rooms(now_ms):
            if room.share < 1.0:
                self._plan_service(room, plan)
        return plan

    def _plan_service(self, room: Room, plan: dict[Kind, _KindPlan]) -> None:
        kinds = []
        for (rank, route), teams in self._demand.items():
            known = self._costs.get(route)
            cost = known.cost.get(room.service) if known is not None else None
            if cost is not None and cost.run_ms > 0:
                roots = sum(teams.values())
                kinds.append(KindDemand(rank, route, roots, cost.run_ms))
        kinds = _drop_negligible(kinds)
        shares = divide_among_kinds(kinds, room.share)
        for kind in kinds:
            key = (kind.rank, kind.route)
            share = shares[key]
            if key in plan and plan[key].share <= share:
                continue
            level = compute_fair_level(self._demand[key], share)
            plan[key] = _KindPlan(room, kind.cost_ms, share, level)

    def _decay_demand(self, now_ms: float) -> None:
        factor = math.exp((self._decayed_ms - now_ms) / DEMAND_MS)
        self._decayed_ms = now_ms
        for kind, teams in list(self._demand.items()):
            for team, count in list(teams.items()):
                teams[team] = count * factor
                if teams[team] < MIN_COUNT:
                    del teams[team]
            if not teams:
                del self._demand[kind]
        for route, known in list(self._costs.items()):
            if now_ms - known.learned_ms > COST_VALID_MS:
                del self._costs[route]


def _drop_negligible(kinds: list[KindDemand]) -> list[KindDemand]:
    """Return the kinds whose trees need a considerable part of a service."""
    roots = sum(kind.roots for kind in kinds)
    mean_ms = sum(kind.roots * kind.cost_ms for kind in kinds) / max(roots, 1e-9)
    return [kind for kind in kinds if kind.cost_ms >= MIN_COST_PART * mean_ms]
