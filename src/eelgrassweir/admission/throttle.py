"""Bound on new requests whose runs fail since their calls find no room."""

import math
import random

import attrs

from eelgrassweir.admission.failures import FailureRate

# The bound falls while more runs than this fail, and rises while fewer do.
FAILED_SHARE = 0.3
# Speed of the fall for the part of failed runs above that share. Answers show
# a change of the bound after a few hundred milliseconds, so a faster one would
# swing.
FALL_PER_S = 2.0
RISE_PER_S = 0.1
# Some must always get in, since only their calls can show that there is room.
LEAST_ADMITTED_SHARE = 0.1
# Requests of this time tell how the room is shared among ranks.
OFFERED_HALF_LIFE_MS = 1_000.0


@attrs.define
class _Route:
    """Hold the bound for one route and what it is made from."""

    updated_ms: float
    admitted_share: float = 1.0
    failures: FailureRate = attrs.Factory(FailureRate)
    # Recent requests by rank, newer ones more.
    offered: dict[int, float] = attrs.field(factory=dict)

    def update(self, now_ms: float) -> None:
        """Move the bound by the failures of late."""
        past_ms = max(0.0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        past_s = past_ms / 1e3
        excess = self.failures.rate(now_ms) - FAILED_SHARE
        share = self.admitted_share
        if excess > 0.0:
            share *= math.exp(-FALL_PER_S * excess * past_s)
        else:
            share += RISE_PER_S * past_s
        self.admitted_share = min(1.0, max(LEAST_ADMITTED_SHARE, share))
        factor = math.exp2(-past_ms / OFFERED_HALF_LIFE_MS)
        for rank in self.offered:
            self.offered[rank] *= factor

    def share_of(self, rank: int) -> float:
        """Return the part of one rank that fits after the higher ones."""
        room = self.admitted_share * sum(self.offered.values())
        room -= sum(count for other, count in self.offered.items() if other > rank)
        return room / self.offered[rank]


class OverloadThrottle:
    """Refuse part of the requests of a route whose runs fail below it.

    A call that is refused fails its parent, whose other calls were then made
    for nothing. Without the bound such an overload outlasts its cause.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._routes: dict[str, _Route] = {}

    def record(self, route: str, *, failed: bool, now_ms: float) -> None:
        """Count a run, and whether it failed for lack of room."""
        state = self._routes.get(route)
        if state is None:
            if not failed:
                return
            state = self._routes[route] = _Route(updated_ms=now_ms)
        state.update(now_ms)
        state.failures.record(failed=failed, now_ms=now_ms)

    def try_admit(self, route: str, rank: int, now_ms: float) -> bool:
        """Tell whether a new request may go on; higher ranks first."""
        state = self._routes.get(route)
        if state is None:
            return True
        state.update(now_ms)
        state.offered[rank] = state.offered.get(rank, 0.0) + 1.0
        if state.admitted_share >= 1.0:
            return True
        return self._rng.random() < state.share_of(rank)

    def admitted_share(self, route: str) -> float:
        """Return the share of new requests that is let in now."""
        state = self._routes.get(route)
        return 1.0 if state is None else state.admitted_share

    def state(self) -> dict[str, float]:
        """Return the bounds in force, for the dump."""
        return {name: state.admitted_share for name, state in self._routes.items()}
