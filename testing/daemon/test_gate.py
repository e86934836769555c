"""Guard against admission that wastes capacity or sheds the wrong calls."""

import asyncio
import random

import pytest

from eelgrassweir.admission.limit import Outcome
from eelgrassweir.clock import ManualClock
from eelgrassweir.daemon.gate import Admission, Gate
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.refusal import Refusal
from testing.daemon.overload_run import (
    CAPACITY_PER_S,
    SHARES,
    OverloadRun,
    run_simulated,
)


@pytest.fixture
def gate(clock: ManualClock) -> Gate:
    gate = Gate(clock, "vm", 2, random.Random(1))
    gate.set_slots(1)
    return gate


async def enter(
    gate: Gate, priority: int = 1, remaining_ms: float = 1_000.0
) -> Admission | Refusal:
    return await gate.enter(priority=priority, depth=0, remaining_ms=remaining_ms)


def admitted(result: Admission | Refusal) -> Admission:
    assert isinstance(result, Admission)
    return result


def refused(result: Admission | Refusal, code: str) -> None:
    assert isinstance(result, Refusal)
    assert result.code == code
    assert result.not_run
    assert result.retry_after_ms > 0


def test_full_queue_sheds_the_lowest_priority(gate: Gate, clock: ManualClock) -> None:
    async def main() -> None:
        running = admitted(await enter(gate))
        waiting = [asyncio.create_task(enter(gate, priority)) for priority in (0, 1)]
        await asyncio.sleep(0)
        critical = asyncio.create_task(enter(gate, 2))
        refused(await waiting[0], "overloaded")
        assert gate.load().accepts_from == link_pb2.NORMAL
        gate.leave(running, Outcome.OK)
        gate.leave(running, Outcome.OK)
        assert gate.load().in_flight == 1
        gate.leave(admitted(await critical), Outcome.OK)
        gate.leave(admitted(await waiting[1]), Outcome.OK)
        assert gate.load().in_flight == 0

    run_simulated(main(), clock)


def test_waiting_call_is_refused_at_its_deadline(
    gate: Gate, clock: ManualClock
) -> None:
    async def main() -> None:
        refused(await enter(gate, remaining_ms=0.0), "deadline_exceeded")
        await enter(gate)
        refused(await enter(gate, remaining_ms=50.0), "deadline_exceeded")
        assert clock.now_ms() == pytest.approx(1_050.0, abs=1.0)

    run_simulated(main(), clock)


@pytest.mark.parametrize("is_let_in", [False, True])
def test_cancelled_waiter_leaves_no_call_behind(
    gate: Gate, clock: ManualClock, is_let_in: bool
) -> None:
    async def main() -> None:
        running = admitted(await enter(gate))
        waiter = asyncio.create_task(enter(gate))
        await asyncio.sleep(0)
        if is_let_in:
            gate.leave(running, Outcome.OK)
        waiter.cancel()
        gate.leave(running, Outcome.OK)
        await asyncio.gather(waiter, return_exceptions=True)
        assert gate.load() == link_pb2.Load(limit=1)

    run_simulated(main(), clock)


@pytest.mark.parametrize("is_child", [True, False])
def test_only_slowness_of_its_own_lowers_the_limit(
    clock: ManualClock, is_child: bool
) -> None:
    async def main() -> None:
        gate = Gate(clock, "vm", 2, random.Random(1))
        gate.set_slots(10)
        for slow_ms in [0.0] * 50 + [500.0] * 8:
            admission = admitted(await enter(gate))
            if is_child:
                gate.pause_latency(admission)
            clock.advance(slow_ms)
            gate.resume_latency(admission)
            clock.advance(10.0)
            gate.leave(admission, Outcome.OK)
        assert (gate.load().limit == 10) is is_child

    run_simulated(main(), clock)


def test_gate_keeps_goodput_and_sheds_important_calls_last() -> None:
    for load in (1, 2, 4, 8):
        span_ms = 3_000.0 if load <= 2 else 2_000.0
        with_gate = OverloadRun(load=load, span_ms=span_ms).run()
        without = OverloadRun(load=load, span_ms=1_500.0, has_gate=False).run()
        print(f"{load}x with gate {with_gate.figures()}, without {without.figures()}")
        assert with_gate.goodput_per_s() >= 0.9 * CAPACITY_PER_S
        offered_per_s = SHARES[2] * load * CAPACITY_PER_S
        wanted_per_s = 0.9 * min(offered_per_s, CAPACITY_PER_S)
        assert with_gate.goodput_per_s(2) >= wanted_per_s


def test_wrong_announced_slots_cost_little() -> None:
    run = OverloadRun(load=2, span_ms=4_000.0, slots=40).run()
    print(f"announced slots 4 times too high: {run.figures()}")
    assert run.goodput_per_s() >= 0.8 * CAPACITY_PER_S


@pytest.mark.parametrize("slow_ms", [2_000.0, 6_000.0])
def test_recovery_does_not_depend_on_the_length_of_the_spell(slow_ms: float) -> None:
    run = OverloadRun(
        load=0.9,
        span_ms=slow_ms + 4_000.0,
        slow_from_ms=1_000.0,
        slow_until_ms=1_000.0 + slow_ms,
    ).run()
    print(f"after {slow_ms:.0f} ms: {run.recovery_ms():.0f} ms, seed {run.seed}")
    assert run.recovery_ms() <= 500.0
