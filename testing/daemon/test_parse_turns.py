"""Guard against clients that take the processor time of a daemon."""

import asyncio
from unittest import mock

import attrs

from eelgrassweir.daemon.parse_turns import (
    PART_BYTES,
    READ_BYTES,
    SHORT_READ_BYTES,
    TURN_WORK,
    PacedReads,
    ParseTurns,
)

# A part of chunks of one byte has so many of them.
DENSE_EVENTS = PART_BYTES // 6
LIMIT_S = 10.0


@attrs.define(eq=False)
class Client:
    """Reads of one connection; ``log`` has the name and size of each part."""

    name: str
    turns: ParseTurns
    log: list[tuple[str, int]]
    events_per_byte: float
    reads: PacedReads = attrs.field(init=False)
    transport: mock.Mock = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.reads = PacedReads(self.turns, feed=self._feed, is_bulk=lambda: True)
        self.transport = mock.create_autospec(asyncio.Transport, instance=True)
        self.transport.is_closing.return_value = False
        self.reads.start(self.transport)

    def _feed(self, data: bytes) -> int:
        self.log.append((self.name, len(data)))
        return int(self.events_per_byte * len(data))


async def wait_until_parsed(clients: list[Client]) -> None:
    """Wait until nothing waits for its turn."""
    async with asyncio.timeout(LIMIT_S):
        while any(client.reads.is_waiting for client in clients):
            await asyncio.sleep(0)


def test_short_requests_go_before_crowds_of_small_chunks() -> None:
    """Guard against turns that parse all that has arrived.

    100 clients with bodies in chunks of one byte kept a daemon from all its
    other work for seconds.
    """

    async def scenario() -> None:
        turns = ParseTurns()
        log: list[tuple[str, int]] = []
        crowd = [Client(f"crowd-{n}", turns, log, 1 / 6) for n in range(100)]
        ordinary = Client("ordinary", turns, log, 1 / 40)
        for client in crowd:
            client.reads.receive(b"x" * READ_BYTES)
        ordinary.reads.receive(b"x" * 400)
        # One turn is used up, and the next one begins with the short request.
        assert len(log) <= TURN_WORK // DENSE_EVENTS + 1
        while ("ordinary", 400) not in log:
            await asyncio.sleep(0)
        assert log.index(("ordinary", 400)) <= TURN_WORK // DENSE_EVENTS + 1
        await wait_until_parsed(crowd)
        for client in crowd:
            sizes = [size for name, size in log if name == client.name]
            assert sum(sizes) == READ_BYTES
            assert client.transport.resume_reading.called

    asyncio.run(scenario())


def test_many_short_requests_leave_a_part_to_longer_ones() -> None:
    """Guard against long requests that never get their turn."""

    async def scenario() -> None:
        turns = ParseTurns()
        log: list[tuple[str, int]] = []
        long = Client("long", turns, log, 1 / 6)
        short = [Client(f"short-{n}", turns, log, 1 / 10) for n in range(500)]
        turns.spend(TURN_WORK, 0)
        long.reads.receive(b"x" * SHORT_READ_BYTES)
        for _ in range(2):
            for client in short:
                client.reads.receive(b"x" * 400)
            await asyncio.sleep(0)
        assert ("long", SHORT_READ_BYTES) in log

    asyncio.run(scenario())


def test_bulk_is_parsed_at_once() -> None:
    """Guard against long bodies that are slowed down without need."""

    async def scenario() -> None:
        turns = ParseTurns()
        log: list[tuple[str, int]] = []
        client = Client("bulk", turns, log, 1 / 50_000)
        for _ in range(10):
            client.reads.receive(b"x" * READ_BYTES)
        assert not client.reads.is_waiting
        assert sum(size for _, size in log) == 10 * READ_BYTES
        # Longer parts follow a part with few chunks.
        assert len(log) <= 12

    asyncio.run(scenario())


def test_reads_are_short_once_a_turn_is_used_up() -> None:
    """Guard against unparsed bytes that together fill the memory."""

    async def scenario() -> None:
        turns = ParseTurns()
        assert len(turns.get_buffer()) == READ_BYTES
        turns.spend(TURN_WORK, 0)
        assert len(turns.get_buffer()) == SHORT_READ_BYTES
        await asyncio.sleep(0)
        assert len(turns.get_buffer()) == READ_BYTES

    asyncio.run(scenario())


def test_bytes_stay_in_order_and_end_with_the_connection() -> None:
    """Guard against bytes that overtake others or outlive the connection."""

    async def scenario() -> None:
        turns = ParseTurns()
        received = bytearray()

        def feed(data: bytes) -> int:
            received.extend(data)
            return len(data)

        reads = PacedReads(turns, feed=feed, is_bulk=lambda: False)
        text = bytes(range(256)) * 100
        for start in range(0, len(text), 1_000):
            reads.receive(text[start : start + 1_000])
        assert reads.is_waiting
        reads.receive_again(b"")
        while reads.is_waiting:
            await asyncio.sleep(0)
        assert bytes(received) == text
        turns.spend(TURN_WORK, 0)
        reads.receive(b"behind")
        reads.receive_again(b"before ")
        await asyncio.sleep(0)
        assert bytes(received[len(text) :]) == b"before behind"
        turns.spend(TURN_WORK, 0)
        reads.receive(b"lost")
        reads.stop()
        await asyncio.sleep(0)
        assert not received.endswith(b"lost")

    asyncio.run(scenario())
