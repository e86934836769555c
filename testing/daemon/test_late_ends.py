"""Guard against work that starts behind an end that has already arrived.

A daemon that is behind reads requests, cancels and closes late, and many of
them at once.
"""

import asyncio
import time

import attrs

from eelgrassweir.daemon.link_client import Reply
from eelgrassweir.daemon.transit_time import WINDOW_MS, TransitTime
from eelgrassweir.proto import link_pb2
from testing.daemon.test_link import OPTIONS, open_link

# Both ends run in one event loop, which the tests stop for a while.
PATIENT_OPTIONS = attrs.evolve(OPTIONS, silence_ms=60_000)


def test_deadline_counts_from_the_sending_of_a_request() -> None:
    """Guard against runs past a deadline that passed before the read."""
    remaining_ms: list[int] = []

    async def handler(request: link_pb2.Request, _peer: str) -> Reply:
        remaining_ms.append(request.context.remaining_ms)
        return link_pb2.Response()

    async def scenario() -> None:
        async with open_link(handler, PATIENT_OPTIONS) as (pool, address):

            async def call(timeout_ms: int) -> Reply:
                context = link_pb2.CallContext(remaining_ms=timeout_ms)
                request = link_pb2.Request(context=context)
                return await pool.call(address, "1", request, timeout_ms=timeout_ms)

            await call(5_000)
            waiting = asyncio.create_task(call(5_000))
            # The request is sent, and then both ends are stopped.
            await asyncio.sleep(0)
            time.sleep(0.4)
            await waiting
            await call(5_000)

    asyncio.run(scenario())
    assert remaining_ms[0] > 4_900
    assert remaining_ms[1] <= 4_600
    assert remaining_ms[2] > 4_900


def test_opening_a_link_counts_towards_the_deadline() -> None:
    """Guard against a target that is told more time than is left."""
    remaining_ms: list[int] = []

    async def handler(request: link_pb2.Request, _peer: str) -> Reply:
        remaining_ms.append(request.context.remaining_ms)
        return link_pb2.Response()

    async def scenario() -> None:
        async with open_link(handler, PATIENT_OPTIONS) as (pool, address):
            context = link_pb2.CallContext(remaining_ms=5_000)
            request = link_pb2.Request(context=context)
            call = asyncio.create_task(
                pool.call(address, "1", request, timeout_ms=5_000)
            )
            await asyncio.sleep(0)
            time.sleep(0.4)
            await call

    asyncio.run(scenario())
    assert remaining_ms[0] <= 4_600


def test_wait_is_what_a_message_took_longer_than_the_fastest() -> None:
    """Guard against deadlines that depend on the clocks of two VMs."""
    transit = TransitTime()
    assert transit.measure_wait_ms(1_000_000.0, 10.0) == 0.0
    assert transit.measure_wait_ms(1_000_100.0, 610.0) == 500.0
    assert transit.measure_wait_ms(1_000_700.0, 708.0) == 0.0
    assert transit.measure_wait_ms(1_000_800.0, 810.0) == 2.0


def test_drift_of_the_clocks_is_no_wait() -> None:
    """Guard against waits that grow while one clock goes faster."""
    transit = TransitTime()
    waits_ms = [
        transit.measure_wait_ms(sent_ms, 1.001 * sent_ms)
        for sent_ms in range(0, 20 * int(WINDOW_MS), 1_000)
    ]
    assert max(waits_ms) <= 0.001 * 2 * WINDOW_MS + 1.0
