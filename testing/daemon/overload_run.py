"""Simulated overload of a gate: callers, backend server and virtual time.

Used by ``test_gate``.
"""

import asyncio
import collections
import random
import selectors
from collections.abc import Coroutine
from typing import Any

import attrs

from eelgrassweir.admission.limit import Outcome
from eelgrassweir.clock import ManualClock
from eelgrassweir.daemon.gate import Gate
from eelgrassweir.requests.refusal import Refusal

SLOTS = 10
SERVICE_MS = 20.0
CAPACITY_PER_S = SLOTS * 1000.0 / SERVICE_MS
ATTEMPT_TIMEOUT_MS = 250.0
ATTEMPTS = 5
PRIORITY_SHARES = (0.3, 0.5, 0.2)
BUCKET_MS = 100.0


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advance the manual clock instead of waiting."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "deadlock: all tasks wait without a timer"
        self._clock.advance(max(0.0, timeout) * 1000.0)
        return super().select(0)


def run_simulated(main: Coroutine[Any, Any, None], clock: ManualClock) -> None:
    """Run ``main`` to completion in virtual time."""
    loop = asyncio.SelectorEventLoop(_VirtualTimeSelector(clock))
    loop.time = lambda: clock.now_ms() / 1000.0  # type: ignore[method-assign]
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(main)


@attrs.define(kw_only=True, slots=False)
class OverloadRun:
    """Open-loop callers that retry at once, and a server that thrashes.

    :param load: offered load, as a multiple of the server's capacity.
    :param slots: slots that the server announces; ``SLOTS`` is what it has.
    """

    load: float
    span_ms: float
    has_gate: bool = True
    slow_from_ms: float = 0.0
    slow_until_ms: float = 0.0
    slots: int = SLOTS
    seed: int = 7
    clock: ManualClock = attrs.Factory(ManualClock)
    running: int = 0
    runs_started: int = 0
    completed: collections.Counter[tuple[int, int]] = attrs.Factory(collections.Counter)

    def run(self) -> "OverloadRun":
        """Run to the end and return self."""
        self._random = random.Random(self.seed)
        self.gate = Gate(self.clock, "fake", 200, self._random)
        self.gate.set_slots(self.slots)
        run_simulated(self._main(), self.clock)
        return self

    def goodput_per_s(self, priority: int | None = None) -> float:
        """Return the responses in time per second, after the first second."""
        total = sum(
            count
            for (bucket, done_priority), count in self.completed.items()
            if bucket * BUCKET_MS >= 1000.0 and priority in (None, done_priority)
        )
        return total * 1000.0 / (self.span_ms - 1000.0)

    def format_goodput(self) -> str:
        """Return the goodput in total and per priority, critical first."""
        parts = "/".join(f"{self.goodput_per_s(p):.0f}" for p in (2, 1, 0))
        return f"{self.goodput_per_s():.0f}/s ({parts}), seed {self.seed}"

    def recovery_ms(self) -> float:
        """Return the time from the end of the slowdown to 90% goodput."""
        series = [
            sum(self.completed[bucket, priority] for priority in range(3))
            for bucket in range(int(self.span_ms / BUCKET_MS))
        ]
        baseline = series[2 : int(self.slow_from_ms / BUCKET_MS)]
        required_calls = 0.9 * sum(baseline) / len(baseline)
        first_bucket = int(self.slow_until_ms / BUCKET_MS)
        for bucket in range(first_bucket, len(series) - 4):
            # Single buckets vary with the arrivals, unlike half a second.
            if sum(series[bucket : bucket + 5]) >= 5 * required_calls:
                return (bucket - first_bucket) * BUCKET_MS
        return float("inf")

    async def _main(self) -> None:
        tasks = set()
        while self.clock.now_ms() < self.span_ms:
            rate_per_s = self.load * CAPACITY_PER_S
            await asyncio.sleep(self._random.expovariate(rate_per_s))
            priority = self._random.choices(range(3), PRIORITY_SHARES)[0]
            task = asyncio.create_task(self._run_caller(priority))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        for task in tasks:
            task.cancel()

    async def _run_caller(self, priority: int) -> None:
        for _ in range(ATTEMPTS):
            try:
                async with asyncio.timeout(ATTEMPT_TIMEOUT_MS / 1000.0):
                    if await self._attempt(priority):
                        bucket = int(self.clock.now_ms() / BUCKET_MS)
                        self.completed[bucket, priority] += 1
                        return
            except TimeoutError:
                continue
            await asyncio.sleep(0.001)

    async def _attempt(self, priority: int) -> bool:
        if not self.has_gate:
            await self._run_service()
            return True
        admission = await self.gate.enter(
            priority=priority, depth=0, remaining_ms=ATTEMPT_TIMEOUT_MS
        )
        if isinstance(admission, Refusal):
            return False
        outcome = Outcome.CANCELLED
        try:
            await self._run_service()
            outcome = Outcome.OK
        finally:
            self.gate.leave(admission, outcome)
        return True

    async def _run_service(self) -> None:
        self.running += 1
        self.runs_started += 1
        try:
            overload_factor = max(1.0, self.running / SLOTS)
            is_slow = self.slow_from_ms <= self.clock.now_ms() < self.slow_until_ms
            factor = 10.0 if is_slow else 1.0
            spread = self._random.uniform(0.7, 1.3)
            service_ms = SERVICE_MS * overload_factor**1.5 * factor * spread
            await asyncio.sleep(service_ms / 1000.0)
        finally:
            self.running -= 1
