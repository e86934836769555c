"""Division of scarce capacity between kinds of requests and between teams.

Load condition: the roots that arrive need more of a service than it has. All
functions are pure; ``tree_admission`` calls them.
"""

import math
from collections.abc import Mapping, Sequence

import attrs

# Part of its proportional share that every kind keeps, so that none starves.
FLOOR_SHARE = 0.5
# Shares from this one on differ from 1 by rounding only.
FULL_SHARE = 0.9999


@attrs.frozen
class KindDemand:
    """Demand of the roots of one rank and route at a scarce service.

    ``cost_ms`` is the run time of one tree there, ``roots`` a number of roots.
    """

    rank: int
    route: str
    roots: float
    cost_ms: float


def divide_among_kinds(
    kinds: Sequence[KindDemand], share: float
) -> dict[tuple[int, str], float]:
    """Return the admitted share of each kind; its cost sums up to ``share``.

    Higher ranks go first, and within a rank the kinds with cheaper trees.
    """
    floor = FLOOR_SHARE * share
    demand_ms = sum(kind.roots * kind.cost_ms for kind in kinds)
    left_ms = (share - floor) * demand_ms
    shares = {}
    for kind in sorted(kinds, key=lambda kind: (-kind.rank, kind.cost_ms)):
        kind_ms = kind.roots * kind.cost_ms
        added_ms = min(left_ms, (1.0 - floor) * kind_ms)
        left_ms -= added_ms
        shares[kind.rank, kind.route] = floor + added_ms / max(kind_ms, 1e-9)
    return shares


def compute_fair_level(demands: Mapping[str, float], share: float) -> float:
    """Return the level up to which each team's demand is admitted.

    The level is max-min fair: a team below it gets all that it asks for.
    """
    if share >= FULL_SHARE:
        return math.inf
    left = share * sum(demands.values())
    ordered = sorted(demands.values())
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand >= level:
            return level
        left -= demand
    return math.inf
