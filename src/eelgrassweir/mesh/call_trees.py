"""Connect the admission of call trees with the messages between daemons.

Load condition: a service below the roots is short of capacity. ``target``
reports arrivals and runs, ``dispatch`` the loads in replies, ``entry`` asks
about roots. The decisions are made in the admission package.
"""

import random
from collections.abc import Callable

import attrs

from eelgrassweir.admission.offered import OfferedLoad
from eelgrassweir.admission.rooms import VALID_MS, Room, RoomTable
from eelgrassweir.admission.tree_admission import Shortage, TreeAdmission
from eelgrassweir.admission.tree_costs import MAX_ROUTES, RunCosts, ServiceCost
from eelgrassweir.clock import Clock
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.refusal import Refusal

PER_MILLE = 1000
# Costs change slowly, so the messages of a route are kept for this time.
COST_CACHE_MS = 100.0


@attrs.define
class _EncodedCost:
    """Messages of the cost of one route."""

    parts: list[link_pb2.CallCost]
    encoded_ms: float


class CallTrees:
    """Hold the soft state of one daemon about call trees.

    ``get_service`` returns the service of the local backend server.
    """

    def __init__(
        self, clock: Clock, rng: random.Random, get_service: Callable[[], str]
    ) -> None:
        self._clock = clock
        self._get_service = get_service
        self._offered = OfferedLoad()
        self._costs = RunCosts()
        self._rooms = RoomTable()
        self._admission = TreeAdmission(self._rooms, rng, clock.now_ms())
        self._encoded_costs: dict[str, _EncodedCost] = {}

    def update(self, load: link_pb2.Load) -> None:
        """Measure again; ``load`` is that of the local target."""
        now_ms = self._clock.now_ms()
        self._offered.update(
            limit_calls=load.limit, queued_calls=load.queued, now_ms=now_ms
        )
        self._costs.update(now_ms)

    # At the target

    def record_arrival(self, context: link_pb2.CallContext) -> None:
        """Count a request that arrives at the local target."""
        # Calls of backend servers are sent without a team.
        self._offered.record_arrival(is_call=not context.team)

    def record_start(self, context: link_pb2.CallContext) -> None:
        """Count a request that the local backend server begins to run."""
        if context.route:
            self._costs.record_start(context.route)

    def record_end(
        self, context: link_pb2.CallContext, run_ms: float, queued_ms: float
    ) -> None:
        """Record a run of the local backend server."""
        self._offered.record_run(run_ms, queued_ms)
        if context.route:
            self._costs.record_end(context.route, run_ms)

    def record_refusal(self, refusal: Refusal, *, by_backend: bool) -> None:
        """Record a refusal of the local target for lack of capacity."""
        if refusal.code in ("overloaded", "deadline_exceeded") and refusal.not_run:
            self._offered.record_refusal(by_backend=by_backend)

    def add_to_load(self, load: link_pb2.Load, route: str) -> None:
        """Add the rooms, and the cost of the tree of ``route``, to a load."""
        now_ms = self._clock.now_ms()
        service = self._get_service()
        if self._offered.is_reported(now_ms, VALID_MS):
            share_permille = round(PER_MILLE * self._offered.share)
            load.rooms.add(service=service, share_permille=share_permille)
        for room in self._rooms.list_rooms(now_ms):
            # The own measurement stands for the service of this daemon.
            if room.service != service:
                load.rooms.add(
                    service=room.service,
                    share_permille=round(PER_MILLE * room.share),
                    age_ms=round(room.age_ms),
                )
        if route:
            load.call_costs.extend(self._encode_cost(route, now_ms))

    # At the sender of a request

    def record_reply(self, service: str, vm: str, load: link_pb2.Load) -> None:
        """Record the rooms in the load of a target of ``service``."""
        now_ms = self._clock.now_ms()
        share = 1.0
        for room in load.rooms:
            if room.service == service:
                share = room.share_permille / PER_MILLE
                continue
            known = Room(room.service, room.share_permille / PER_MILLE, room.age_ms)
            self._rooms.record_relayed(known, now_ms)
        self._rooms.record_target(
            service,
            vm,
            limit_calls=load.limit,
            used_calls=load.in_flight + load.queued,
            share=share,
            now_ms=now_ms,
        )

    # At the entry

    def record_call(self, load: link_pb2.Load) -> None:
        """Attribute a call of the local backend server to its runs."""
        self._costs.record_call(_decode_cost(load))

    def record_root(self, route: str, load: link_pb2.Load) -> None:
        """Record the cost of a root's tree."""
        self._admission.record_cost(route, _decode_cost(load), self._clock.now_ms())

    def try_admit(self, context: link_pb2.CallContext, rank: int) -> Shortage | None:
        """Return why a root is refused, or None."""
        now_ms = self._clock.now_ms()
        return self._admission.try_admit(context.route, rank, context.team, now_ms)

    def has_basis(self, route: str) -> bool:
        """Return whether reports on the services below a route are known."""
        return self._admission.has_basis(route, self._clock.now_ms())

    def state(self) -> dict[str, object]:
        """Return the state for the dump."""
        rooms = self._rooms.list_rooms(self._clock.now_ms())
        service = self._get_service()
        return {
            "offered_utilization": self._offered.utilization,
            "share": self._offered.share,
            "rooms": {room.service: [room.share, room.age_ms] for room in rooms},
            "admitted_shares": self._admission.state(),
            "tree_run_ms": {
                route: {name: cost.run_ms for name, cost in costs.items()}
                for route, costs in self._costs.list_costs(service).items()
            },
        }

    def _encode_cost(self, route: str, now_ms: float) -> list[link_pb2.CallCost]:
        known = self._encoded_costs.get(route)
        if known is not None and now_ms - known.encoded_ms < COST_CACHE_MS:
            return known.parts
        cost = self._costs.get_cost(route, self._get_service())
        parts = [
            link_pb2.CallCost(service=name, calls=part.calls, run_ms=part.run_ms)
            for name, part in cost.items()
            if part.run_ms > 0
        ]
        if len(self._encoded_costs) > MAX_ROUTES:
            self._encoded_costs.clear()
        self._encoded_costs[route] = _EncodedCost(parts, now_ms)
        return parts


def describe_shortage(shortage: Shortage, route: str) -> str:
    """Return the reason of a refusal, with its inputs and their age."""
    room = shortage.room
    return (
        f"{room.service} has room for {room.share:.0%} of the trees, measured "
        f"{room.age_ms:.0f} ms ago; {route} needs {shortage.cost_ms:.0f} ms there "
        f"and has rank {shortage.rank}: {shortage.kind_share:.0%} of its requests "
        f"and {shortage.team_share:.0%} of this team's go on"
    )


def _decode_cost(load: link_pb2.Load) -> dict[str, ServiceCost]:
    return {
        part.service: ServiceCost(part.calls, part.run_ms) for part in load.call_costs
    }
