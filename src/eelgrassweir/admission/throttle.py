"""Throttle of new requests whose runs fail because their calls are refused.

The mesh entry consults it before a request is sent to a target.
"""

import math
import random

import attrs

from eelgrassweir.admission.failures import FailureRate

# The admitted share falls while the failure rate is higher, and rises while
# it is lower.
FAILURE_RATE_THRESHOLD = 0.3
# Relative decrease per second and unit of failure rate above the threshold.
# The outcomes show a change only after a few hundred milliseconds, so a faster
# decrease would make the admitted share oscillate.
DECREASE_PER_S = 2.0
INCREASE_PER_S = 0.1
# Some requests are always admitted, since only their calls can show that there
# is capacity again.
MIN_ADMITTED_SHARE = 0.1
# Half-life of the request counts that split the capacity among ranks.
OFFERED_HALF_LIFE_MS = 1_000.0


@attrs.define
class _RouteState:
    """Admitted share of one route and the statistics behind it."""

    updated_ms: float
    admitted_share: float = 1.0
    failures: FailureRate = attrs.Factory(FailureRate)
    # Requests by rank, decaying exponentially with time.
    offered: dict[int, float] = attrs.field(factory=dict)

    def update(self, now_ms: float) -> None:
        """Adjust the admitted share to the recent failure rate."""
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        elapsed_s = elapsed_ms / 1e3
        excess = self.failures.rate(now_ms) - FAILURE_RATE_THRESHOLD
        share = self.admitted_share
        if excess > 0.0:
            share *= math.exp(-DECREASE_PER_S * excess * elapsed_s)
        else:
            share += INCREASE_PER_S * elapsed_s
        self.admitted_share = min(1.0, max(MIN_ADMITTED_SHARE, share))
        factor = math.exp2(-elapsed_ms / OFFERED_HALF_LIFE_MS)
        for rank in self.offered:
            self.offered[rank] *= factor

    def admitted_share_of_rank(self, rank: int) -> float:
        """Return the share of this rank that fits after the higher ranks."""
        capacity = self.admitted_share * sum(self.offered.values())
        capacity -= sum(count for other, count in self.offered.items() if other > rank)
        return capacity / self.offered[rank]


class OverloadThrottle:
    """Refuse part of the requests of routes whose child calls are refused.

    A refused call fails its parent, and the parent's other calls were then
    wasted. Without a throttle such an overload outlasts its cause.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._routes: dict[str, _RouteState] = {}

    def record(self, route: str, *, failed: bool, now_ms: float) -> None:
        """Record a run, and whether it failed for lack of capacity."""
        state = self._routes.get(route)
        if state is None:
            if not failed:
                return
            state = self._routes[route] = _RouteState(updated_ms=now_ms)
        state.update(now_ms)
        state.failures.record(failed=failed, now_ms=now_ms)

    def try_admit(self, route: str, rank: int, now_ms: float) -> bool:
        """Decide whether to admit a new request; higher ranks go first."""
        state = self._routes.get(route)
        if state is None:
            return True
        state.update(now_ms)
        state.offered[rank] = state.offered.get(rank, 0.0) + 1.0
        if state.admitted_share >= 1.0:
            return True
        return self._rng.random() < state.admitted_share_of_rank(rank)

    def admitted_share(self, route: str) -> float:
        """Return the share of new requests that is admitted now."""
        state = self._routes.get(route)
        return 1.0 if state is None else state.admitted_share

    def state(self) -> dict[str, float]:
        """Return the admitted share of each throttled route, for the dump."""
        return {name: state.admitted_share for name, state in self._routes.items()}
