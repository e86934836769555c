"""Guard against work that starts behind an end that has already arrived.

A daemon that is behind reads requests, cancels and closes late, and many of
them at once.
"""

import asyncio
import socket
import time

import attrs
import pytest

from eelgrassweir.clock import Clock, ManualClock
from eelgrassweir.daemon.http_message import Body, HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer
from eelgrassweir.daemon.link_client import LinkError, Reply
from eelgrassweir.daemon.link_server import LinkServer
from eelgrassweir.daemon.start_queue import (
    LOWER_STARTS_PER_TURN,
    MAX_LOWER_WAIT_MS,
    MAX_STARTS_PER_TURN,
    MIN_BEHIND_MS,
    MIN_TURNS_BEHIND,
    QueuedStart,
    StartQueue,
    Wait,
)
from eelgrassweir.daemon.transit_time import WINDOW_MS, TransitTime
from eelgrassweir.proto import link_pb2
from testing.daemon.test_link import HELLO, OPTIONS, encode, open_link, read_frame

# Both ends run in one event loop, which the tests stop for a while.
PATIENT_OPTIONS = attrs.evolve(OPTIONS, silence_ms=60_000)
LIMIT_S = 5.0
# Requests of one read, more than a daemon starts in one turn.
MANY = 300


def test_deadline_counts_from_the_sending_of_a_request() -> None:
    """Guard against runs past a deadline that passed before the read."""
    remaining_ms: list[int] = []

    async def handler(request: link_pb2.Request, _peer: str, _body: Body) -> Reply:
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

    async def handler(request: link_pb2.Request, _peer: str, _body: Body) -> Reply:
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


def make_request(stream_id: int) -> link_pb2.Frame:
    """Return a request that an idempotent route allows."""
    context = link_pb2.CallContext(request_id=str(stream_id), idempotent=True)
    request = link_pb2.Request(stream_id=stream_id, context=context)
    return link_pb2.Frame(request=request)


def make_cancel(stream_id: int) -> link_pb2.Frame:
    """Return the cancel of a request."""
    return link_pb2.Frame(cancel=link_pb2.Cancel(stream_id=stream_id))


def test_request_whose_cancel_has_arrived_does_not_start() -> None:
    """Guard against runs of requests whose cancel stands behind others."""
    started: list[str] = []

    async def handler(request: link_pb2.Request, _peer: str, _body: Body) -> Reply:
        started.append(request.context.request_id)
        return link_pb2.Response()

    async def scenario() -> None:
        server = LinkServer(OPTIONS, handler, Clock())
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        requests = [make_request(number) for number in range(1, MANY)]
        cancels = [make_cancel(number) for number in range(1, MANY)]
        last = make_request(MANY)
        writer.write(encode(HELLO, *requests, *cancels, last))
        async with asyncio.timeout(LIMIT_S):
            while str(MANY) not in started:
                await reader.read(65_536)
        writer.close()
        await server.stop()

    asyncio.run(scenario())
    assert started == [str(MANY)]


def test_request_that_waited_past_its_deadline_unread_does_not_start() -> None:
    """Guard against deadlines that count from the read of a request."""
    started: list[str] = []

    async def handler(request: link_pb2.Request, _peer: str, _body: Body) -> Reply:
        started.append(request.path)
        return link_pb2.Response()

    async def scenario() -> None:
        async with open_link(handler, PATIENT_OPTIONS) as (pool, address):

            async def call(path: str, timeout_ms: int) -> Reply:
                request = link_pb2.Request(path=path)
                return await pool.call(address, "1", request, timeout_ms=timeout_ms)

            await call("first", 5_000)
            late = asyncio.create_task(call("late", 100))
            # The request is sent, and then both ends are stopped.
            await asyncio.sleep(0)
            time.sleep(0.4)
            await asyncio.wait((late,))
            assert isinstance(late.exception(), LinkError)
            await call("last", 5_000)

    asyncio.run(scenario())
    assert started == ["first", "last"]


def test_request_whose_close_has_arrived_does_not_start_after_a_pause() -> None:
    """Guard against work for callers that left while a daemon was paused."""
    started: list[str] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        started.append(request.path)
        return HttpResponse(200, (), b"")

    async def scenario() -> None:
        server = HttpServer(handle, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        callers = []
        for _ in range(20):
            caller = socket.create_connection(("127.0.0.1", server.port))
            callers.append(caller)
        await asyncio.sleep(0.1)
        for caller in callers:
            caller.sendall(b"GET /left HTTP/1.1\r\n\r\n")
            caller.close()
        time.sleep(0.3)
        async with asyncio.timeout(LIMIT_S):
            while server.connection_count:
                await asyncio.sleep(0.01)
        await server.stop()

    asyncio.run(scenario())
    assert not started


def test_urgent_requests_start_first_and_few_in_a_turn() -> None:
    """Guard against ends that wait for the starts of many requests."""
    started: list[int] = []

    async def scenario() -> None:
        queue = StartQueue()

        def add(number: int, priority: int) -> QueuedStart:
            return queue.add(lambda _: started.append(number), priority=priority)

        for number in range(MAX_STARTS_PER_TURN):
            add(number, 1)
        add(100, 2)
        add(101, 2).cancel()
        add(102, 2)
        assert not started
        await asyncio.sleep(0)
        assert len(started) == MAX_STARTS_PER_TURN
        await asyncio.sleep(0)
        assert not len(queue)

    asyncio.run(scenario())
    assert started == [100, 102, *range(MAX_STARTS_PER_TURN)]


def test_lower_priorities_keep_a_part_of_the_starts() -> None:
    """Guard against requests that wait behind calls until their deadline."""
    started: list[tuple[int, Wait]] = []

    async def scenario() -> None:
        clock = ManualClock()
        queue = StartQueue(clock)

        def add(priority: int) -> None:
            queue.add(lambda wait: started.append((priority, wait)), priority=priority)

        for _ in range(20 * MAX_STARTS_PER_TURN):
            add(2)
            add(1)
        for _ in range(MIN_TURNS_BEHIND):
            started.clear()
            await asyncio.sleep(0)
            first = [priority for priority, _ in started]
            assert first.count(1) == LOWER_STARTS_PER_TURN
            assert first.count(2) == MAX_STARTS_PER_TURN - LOWER_STARTS_PER_TURN
        assert not any(wait.is_too_long for _, wait in started)
        # The others have waited too long, and are started to be refused.
        clock.advance(MIN_BEHIND_MS)
        started.clear()
        await asyncio.sleep(0)
        overdue = [wait for priority, wait in started if priority == 1]
        used_starts = MIN_TURNS_BEHIND * LOWER_STARTS_PER_TURN
        assert len(overdue) == 20 * MAX_STARTS_PER_TURN - used_starts
        assert all(wait.is_too_long for wait in overdue)

    asyncio.run(scenario())


def test_burst_of_requests_in_long_turns_is_not_refused() -> None:
    """Guard against refusals by a daemon that is not behind."""
    waits: list[Wait] = []

    async def scenario() -> None:
        clock = ManualClock()
        queue = StartQueue(clock)
        for _ in range(8 * MAX_STARTS_PER_TURN):
            queue.add(waits.append)
        for _ in range(9):
            clock.advance(10 * MAX_LOWER_WAIT_MS)
            await asyncio.sleep(0)

    asyncio.run(scenario())
    assert len(waits) == 8 * MAX_STARTS_PER_TURN
    assert min(wait.waited_ms for wait in waits) > MAX_LOWER_WAIT_MS
    assert not any(wait.is_too_long for wait in waits)


@pytest.mark.parametrize(
    ("priority", "ticket", "is_run"),
    [
        (link_pb2.NORMAL, "", False),
        (link_pb2.CRITICAL, "", True),
        (link_pb2.NORMAL, "a ticket, whose record must be looked up", True),
    ],
)
def test_link_refuses_new_requests_while_its_daemon_is_behind(
    priority: link_pb2.Priority.ValueType, ticket: str, is_run: bool
) -> None:
    """Guard against requests that are held until their deadline."""
    clock = ManualClock()
    queue = StartQueue(clock)

    async def handler(request: link_pb2.Request, _peer: str, _body: Body) -> Reply:
        return link_pb2.Response(status=200)

    async def stay_behind() -> None:
        """Let more requests wait than start, for several turns."""
        for _ in range(4 * MIN_TURNS_BEHIND):
            for _ in range(MAX_STARTS_PER_TURN):
                queue.add(lambda _wait: None, priority=link_pb2.CRITICAL)
                queue.add(lambda _wait: None, priority=link_pb2.CRITICAL + 1)
            clock.advance(MAX_LOWER_WAIT_MS / 2)
            await asyncio.sleep(0)

    async def scenario() -> link_pb2.Frame:
        options = attrs.evolve(PATIENT_OPTIONS, start_queue=queue)
        server = LinkServer(
            options, handler, clock, load_handler=lambda: link_pb2.Load(queued=7)
        )
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        context = link_pb2.CallContext(priority=priority, ticket=ticket)
        request = link_pb2.Request(stream_id=1, context=context)
        writer.write(encode(HELLO, link_pb2.Frame(request=request)))
        while not len(queue):
            await asyncio.sleep(0)
        await stay_behind()
        async with asyncio.timeout(LIMIT_S):
            assert (await read_frame(reader)).HasField("hello")
            reply = await read_frame(reader)
        assert server.busy_count == 0
        writer.close()
        await server.stop()
        return reply

    reply = asyncio.run(scenario())
    assert reply.HasField("response") is is_run
    if not is_run:
        assert reply.refusal.not_run
        assert reply.refusal.load.queued == 7


def test_request_that_waits_for_its_start_is_refused_at_the_end_of_a_stop() -> None:
    """Guard against requests that are read and cut off without an answer."""

    async def handle(_request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, (), b"")

    async def scenario() -> bytes:
        server = HttpServer(handle, body_limit_bytes=1_000)
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        while not len(server.start_queue):
            await asyncio.sleep(0)
        server.fail_pending_requests()
        answer = await asyncio.wait_for(reader.read(), LIMIT_S)
        writer.close()
        await server.stop()
        return answer

    answer = asyncio.run(scenario())
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b'"not_run": true' in answer or b'"not_run":true' in answer


def test_pause_of_the_calling_end_is_no_silence_of_its_peers() -> None:
    """Guard against calls that fail because their own daemon was paused."""

    async def scenario() -> None:
        async with open_link() as (pool, address):
            request = link_pb2.Request(path="60")
            call = asyncio.create_task(
                pool.call(address, "1", request, timeout_ms=5_000)
            )
            await asyncio.sleep(0.03)
            time.sleep(5 * OPTIONS.silence_ms / 1e3)
            assert isinstance(await call, link_pb2.Response)

    asyncio.run(scenario())


@pytest.mark.parametrize("is_cancelled", [True, False])
def test_request_that_was_held_up_waits_for_its_cancel(is_cancelled: bool) -> None:
    """Guard against runs of requests whose cancel arrives some ms later."""
    remaining_ms: list[int] = []

    async def handler(request: link_pb2.Request, _peer: str, _body: Body) -> Reply:
        remaining_ms.append(request.context.remaining_ms)
        return link_pb2.Response()

    async def scenario() -> None:
        server = LinkServer(PATIENT_OPTIONS, handler, Clock())
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        now_ms = Clock().now_ms()
        hello = link_pb2.Hello(vm="b", incarnation="2", sent_ms=now_ms)
        context = link_pb2.CallContext(remaining_ms=5_000)
        late = link_pb2.Request(stream_id=1, context=context, sent_ms=now_ms - 1_000)
        late_frame = link_pb2.Frame(request=late)
        writer.write(encode(link_pb2.Frame(hello=hello), late_frame))
        await asyncio.sleep(0.03)
        if is_cancelled:
            writer.write(encode(make_cancel(1)))
        writer.write(encode(make_request(2)))
        async with asyncio.timeout(LIMIT_S):
            while len(remaining_ms) < 2 - is_cancelled:
                await reader.read(65_536)
        await asyncio.sleep(0.2)
        writer.close()
        await server.stop()

    asyncio.run(scenario())
    assert len(remaining_ms) == 2 - is_cancelled
    assert max(remaining_ms) <= (0 if is_cancelled else 3_900)
