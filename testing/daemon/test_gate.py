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
    PRIORITY_SHARES,
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
    """Ask the gate to admit a call of depth 0."""
    return await gate.enter(priority=priority, depth=0, remaining_ms=remaining_ms)


def assert_admitted(result: Admission | Refusal) -> Admission:
    """Assert that a call was admitted and return its admission."""
    assert isinstance(result, Admission)
    return result


def assert_refused(result: Admission | Refusal, code: str) -> None:
    """Assert that a call was refused, not run, and may be retried later."""
    assert isinstance(result, Refusal)
    assert result.code == code
    assert result.not_run
    assert result.retry_after_ms > 0


def test_full_queue_sheds_the_lowest_priority(gate: Gate, clock: ManualClock) -> None:
    """Guard against a full queue that refuses critical calls."""

    async def main() -> None:
        running = assert_admitted(await enter(gate))
        waiting = [asyncio.create_task(enter(gate, priority)) for priority in (0, 1)]
        await asyncio.sleep(0)
        critical = asyncio.create_task(enter(gate, 2))
        assert_refused(await waiting[0], "overloaded")
        assert gate.load().accepts_from == link_pb2.NORMAL
        gate.leave(running, Outcome.OK)
        gate.leave(running, Outcome.OK)
        assert gate.load().in_flight == 1
        gate.leave(assert_admitted(await critical), Outcome.OK)
        gate.leave(assert_admitted(await waiting[1]), Outcome.OK)
        assert gate.load().in_flight == 0

    run_simulated(main(), clock)


def test_waiting_call_is_refused_at_its_deadline(
    gate: Gate, clock: ManualClock
) -> None:
    """Guard against calls that wait beyond their deadline."""

    async def main() -> None:
        assert_refused(await enter(gate, remaining_ms=0.0), "deadline_exceeded")
        await enter(gate)
        assert_refused(await enter(gate, remaining_ms=50.0), "deadline_exceeded")
        assert clock.now_ms() == pytest.approx(1_050.0, abs=1.0)

    run_simulated(main(), clock)


@pytest.mark.parametrize("is_admitted", [False, True])
def test_cancelled_waiter_leaves_no_call_in_flight(
    gate: Gate, clock: ManualClock, is_admitted: bool
) -> None:
    """Guard against cancelled calls that keep a slot or a queue entry."""

    async def main() -> None:
        running = assert_admitted(await enter(gate))
        waiter = asyncio.create_task(enter(gate))
        await asyncio.sleep(0)
        if is_admitted:
            gate.leave(running, Outcome.OK)
        waiter.cancel()
        gate.leave(running, Outcome.OK)
        await asyncio.gather(waiter, return_exceptions=True)
        assert gate.load() == link_pb2.Load(limit=1)

    run_simulated(main(), clock)


@pytest.mark.parametrize("is_child", [True, False])
def test_slow_child_calls_do_not_lower_the_limit(
    clock: ManualClock, is_child: bool
) -> None:
    """Guard against a limit that drops because child calls are slow.

    The backend server's own latency must still lower it.
    """

    async def main() -> None:
        gate = Gate(clock, "vm", 2, random.Random(1))
        gate.set_slots(10)
        for slow_ms in [0.0] * 50 + [500.0] * 8:
            admission = assert_admitted(await enter(gate))
            if is_child:
                gate.pause_latency(admission)
            clock.advance(slow_ms)
            gate.resume_latency(admission)
            clock.advance(10.0)
            gate.leave(admission, Outcome.OK)
        assert (gate.load().limit == 10) is is_child

    run_simulated(main(), clock)


def test_gate_keeps_goodput_and_sheds_important_calls_last() -> None:
    """Guard against an overload that costs goodput or critical calls."""
    for load in (1, 2, 4, 8):
        span_ms = 3_000.0 if load <= 2 else 2_000.0
        with_gate = OverloadRun(load=load, span_ms=span_ms).run()
        without_gate = OverloadRun(load=load, span_ms=1_500.0, has_gate=False).run()
        print(
            f"{load}x with gate {with_gate.format_goodput()},"
            f" without {without_gate.format_goodput()}"
        )
        assert with_gate.goodput_per_s() >= 0.9 * CAPACITY_PER_S
        offered_per_s = PRIORITY_SHARES[2] * load * CAPACITY_PER_S
        required_per_s = 0.9 * min(offered_per_s, CAPACITY_PER_S)
        assert with_gate.goodput_per_s(2) >= required_per_s


def test_too_many_announced_slots_keep_goodput() -> None:
    """Guard against goodput lost to a backend server's wrong slot count."""
    run = OverloadRun(load=2, span_ms=4_000.0, slots=40).run()
    print(f"announced slots 4 times too high: {run.format_goodput()}")
    assert run.goodput_per_s() >= 0.8 * CAPACITY_PER_S


@pytest.mark.parametrize("slow_ms", [2_000.0, 6_000.0])
def test_recovery_does_not_depend_on_the_length_of_a_slowdown(slow_ms: float) -> None:
    """Guard against slow recovery after a long slowdown."""
    run = OverloadRun(
        load=0.9,
        span_ms=slow_ms + 4_000.0,
        slow_from_ms=1_000.0,
        slow_until_ms=1_000.0 + slow_ms,
    ).run()
    print(f"after {slow_ms:.0f} ms: {run.recovery_ms():.0f} ms, seed {run.seed}")
    assert run.recovery_ms() <= 500.0
