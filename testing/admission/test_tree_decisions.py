"""Guard against wrong inputs to the admission of call trees."""

import math
import random

import pytest

from eelgrassweir.admission.fair_shares import (
    KindDemand,
    compute_fair_level,
    divide_among_kinds,
)
from eelgrassweir.admission.offered import OfferedLoad
from eelgrassweir.admission.rooms import Room, RoomTable
from eelgrassweir.admission.tree_admission import TreeAdmission
from eelgrassweir.admission.tree_costs import MAX_ROUTES, RunCosts, ServiceCost

CALL = {"leaf": ServiceCost(1.0, 80.0)}


def learn_costs(calls_per_run: dict[str, int], *, seconds: int = 20) -> RunCosts:
    """Return costs learned from routes whose runs overlap at random."""
    rng = random.Random(3)
    costs = RunCosts()
    costs.update(0.0)
    events: list[tuple[float, int, str]] = []
    for route, calls in calls_per_run.items():
        at_ms = 0.0
        while at_ms < seconds * 1e3:
            at_ms += rng.expovariate(1 / 50.0)
            events.append((at_ms, 0, route))
            events += [(at_ms + rng.uniform(0, 300), 1, route)] * calls
            events.append((at_ms + 300, 2, route))
    next_ms = 100.0
    for at_ms, step, route in sorted(events):
        if at_ms >= next_ms:
            costs.update(next_ms)
            next_ms += 100.0
        if step == 0:
            costs.record_start(route)
        elif step == 1:
            costs.record_call(CALL)
        else:
            costs.record_end(route, 300.0)
    return costs


@pytest.mark.parametrize("calls", [{"a": 4}, {"a": 4, "b": 0}, {"a": 8, "b": 1}])
def test_calls_are_attributed_to_the_routes_that_make_them(
    calls: dict[str, int],
) -> None:
    """Guard against the cost of one route charged to another."""
    costs = learn_costs(calls)
    for route, expected in calls.items():
        cost = costs.get_cost(route, "own")
        assert cost["leaf"].calls == pytest.approx(expected, abs=1.0)
        assert cost["leaf"].run_ms == pytest.approx(80.0 * cost["leaf"].calls)
        assert cost["own"].run_ms == pytest.approx(300.0)


def test_costs_are_forgotten_and_bounded() -> None:
    """Guard against memory that grows with the names of routes."""
    costs = learn_costs({"a": 4})
    for number in range(3 * MAX_ROUTES):
        costs.record_start(f"r-{number}")
        costs.record_end(f"r-{number}", 5.0)
    assert len(costs.list_costs("own")) <= MAX_ROUTES
    for second in range(200):
        costs.update(30_000.0 + second * 1e3)
    assert costs.list_costs("own") == {}
    assert costs.get_cost("a", "own") == {}


def test_scarce_capacity_goes_to_higher_ranks_and_cheaper_trees() -> None:
    """Guard against an expensive tree admitted in place of several others."""
    kinds = [
        KindDemand(rank=1, route="dear", roots=10.0, cost_ms=80.0),
        KindDemand(rank=1, route="cheap", roots=10.0, cost_ms=20.0),
        KindDemand(rank=2, route="urgent", roots=10.0, cost_ms=10.0),
    ]
    shares = divide_among_kinds(kinds, 0.6)
    assert shares[2, "urgent"] == pytest.approx(1.0)
    assert shares[1, "cheap"] == pytest.approx(1.0)
    assert 0.3 <= shares[1, "dear"] < 0.6
    used = sum(shares[k.rank, k.route] * k.roots * k.cost_ms for k in kinds)
    assert used == pytest.approx(0.6 * 1_100.0)


def test_capacity_is_max_min_fair_between_teams() -> None:
    """Guard against small teams refused for the demand of a large one."""
    demands = {"large": 80.0, "small-1": 5.0, "small-2": 15.0}
    assert compute_fair_level(demands, 0.5) == pytest.approx(30.0)
    assert compute_fair_level(demands, 0.15) == pytest.approx(5.0)
    assert math.isinf(compute_fair_level(demands, 1.0))
    assert math.isinf(compute_fair_level({}, 0.5))


def record_target(
    rooms: RoomTable, vm: str, share: float, now_ms: float, *, used: int = 10
) -> None:
    """Record the report of one of several equal targets."""
    rooms.record_target(
        "leaf", vm, limit_calls=10, used_calls=used, share=share, now_ms=now_ms
    )


def test_reports_of_targets_are_averaged() -> None:
    """Guard against one full target that refuses the trees of all."""
    rooms = RoomTable()
    for number in range(4):
        record_target(rooms, f"vm-{number}", 1.0, 0.0)
    record_target(rooms, "vm-4", 0.5, 0.0)
    (room,) = rooms.list_rooms(10.0)
    assert room.share == pytest.approx(0.9)


def test_targets_with_free_slots_make_up_for_a_full_one() -> None:
    """Guard against trees refused although other targets have room."""
    rooms = RoomTable()
    for number in range(4):
        record_target(rooms, f"vm-{number}", 1.0, 0.0, used=4)
    record_target(rooms, "vm-4", 0.5, 0.0)
    assert rooms.list_rooms(10.0) == []


def test_a_lost_target_is_not_counted_as_free() -> None:
    """Guard against a loss of targets that reports of them hide."""
    rooms = RoomTable()
    record_target(rooms, "vm-0", 1.0, 0.0)
    for now_ms in range(0, 600, 50):
        for vm in ("vm-1", "vm-2"):
            record_target(rooms, vm, 0.5, float(now_ms))
    (room,) = rooms.list_rooms(600.0)
    assert room.share == pytest.approx(0.5)


def test_the_newest_relayed_report_counts_and_expires() -> None:
    """Guard against refusals by a report that is out of date."""
    rooms = RoomTable()
    rooms.record_relayed(Room("leaf", 0.4, 100.0), 1_000.0)
    rooms.record_relayed(Room("leaf", 0.9, 500.0), 1_000.0)
    assert [room.share for room in rooms.list_rooms(1_001.0)] == [0.4]
    rooms.record_relayed(Room("leaf", 1.0, 0.0), 1_100.0)
    assert [room.share for room in rooms.list_rooms(1_101.0)] == [1.0]
    assert rooms.list_rooms(3_200.0) == []


def offer(load: OfferedLoad, *, is_call: bool, calls_per_tick: int) -> float:
    """Return the share after 2 s of demand at a target with ten slots."""
    for tick in range(1, 21):
        for _ in range(calls_per_tick):
            load.record_arrival(is_call=is_call)
        for _ in range(min(calls_per_tick, 10)):
            load.record_run(100.0, 60.0 if calls_per_tick > 10 else 0.0)
        load.update(limit_calls=10, queued_calls=0, now_ms=tick * 100.0)
    return load.share


def test_a_full_target_without_queueing_has_room() -> None:
    """Guard against refusals while each call gets a slot at once."""
    load = OfferedLoad()
    assert offer(load, is_call=True, calls_per_tick=10) == 1.0
    assert not load.is_reported(2_000.0, 2_000.0)


def test_an_overloaded_target_reports_a_share() -> None:
    """Guard against an overload that no entry hears of."""
    load = OfferedLoad()
    assert offer(load, is_call=True, calls_per_tick=20) < 0.6
    assert load.is_reported(2_000.0, 2_000.0)


def test_a_target_of_roots_reports_no_shortage() -> None:
    """Guard against idle slots where shedding at the gate wastes nothing."""
    assert offer(OfferedLoad(), is_call=False, calls_per_tick=20) == 1.0


def test_routes_without_known_cost_are_admitted() -> None:
    """Guard against refusals without a basis for them."""
    rooms = RoomTable()
    rooms.record_relayed(Room("leaf", 0.05, 0.0), 0.0)
    admission = TreeAdmission(rooms, random.Random(1), -10_000.0)
    assert not admission.has_basis("a", 10.0)
    assert all(admission.try_admit("a", 0, "t", 10.0) is None for _ in range(50))
    admission.record_cost("a", CALL, 20.0)
    assert admission.has_basis("a", 20.0)
    refused = [admission.try_admit("a", 0, "t", 200.0) for _ in range(100)]
    assert sum(shortage is not None for shortage in refused) > 80


def test_a_kind_with_a_negligible_cost_is_admitted() -> None:
    """Guard against refusals for calls that another kind has made."""
    rooms = RoomTable()
    rooms.record_relayed(Room("leaf", 0.5, 0.0), 0.0)
    admission = TreeAdmission(rooms, random.Random(1), -10_000.0)
    admission.record_cost("calling", {"leaf": ServiceCost(8.0, 600.0)}, 0.0)
    admission.record_cost("quiet", {"leaf": ServiceCost(0.5, 40.0)}, 0.0)
    for _ in range(100):
        admission.try_admit("calling", 1, "t", 0.0)
        admission.try_admit("quiet", 0, "t", 0.0)
    quiet = [admission.try_admit("quiet", 0, "t", 200.0) for _ in range(100)]
    calling = [admission.try_admit("calling", 1, "t", 200.0) for _ in range(100)]
    assert all(shortage is None for shortage in quiet)
    assert sum(shortage is not None for shortage in calling) > 20


def test_admission_grows_after_a_restart_while_room_is_short() -> None:
    """Guard against a restart that admits all waiting roots at once."""
    rooms = RoomTable()
    admission = TreeAdmission(rooms, random.Random(1), 0.0)
    admission.record_cost("a", CALL, 0.0)
    assert all(admission.try_admit("a", 0, "t", 1.0) is None for _ in range(200))
    rooms.record_relayed(Room("leaf", 0.99, 0.0), 100.0)
    admitted = [admission.try_admit("a", 0, "t", 200.0) is None for _ in range(200)]
    assert 10 < sum(admitted) < 80


def test_refusals_of_backend_servers_with_free_slots_reduce_nothing() -> None:
    """Guard against a failing backend server taken for a full one."""
    load = OfferedLoad()
    for tick in range(1, 31):
        for _ in range(6):
            load.record_arrival(is_call=True)
            load.record_run(100.0, 0.0)
        load.record_refusal(by_backend=True)
        load.update(limit_calls=10, queued_calls=0, now_ms=tick * 100.0)
    assert load.share == 1.0


def test_the_share_returns_within_two_seconds_of_the_end() -> None:
    """Guard against refusals that outlast an overload."""
    load = OfferedLoad()
    assert offer(load, is_call=True, calls_per_tick=20) < 0.6
    for tick in range(21, 41):
        for _ in range(2):
            load.record_arrival(is_call=True)
            load.record_run(100.0, 0.0)
        load.update(limit_calls=10, queued_calls=0, now_ms=tick * 100.0)
    assert load.share == 1.0
