"""Share the processor time of a daemon among the connections that send.

In one turn of the event loop all connections with bytes are read. Parsing all
of it would take seconds if many clients send heads of thousands of fields, or
bodies in chunks of one byte, and nobody else would be served meanwhile.
"""

import asyncio
from collections.abc import Callable

# Work of one turn of the event loop, a few milliseconds. A field or a chunk
# counts 1, and so do BYTES_PER_WORK bytes.
TURN_WORK = 2_048
BYTES_PER_WORK = 1_024
READ_BYTES = 65_536
# Size of a read when the work of the turn is used up. Usual requests are
# shorter and go first; of the others, the rest stays with the system.
SHORT_READ_BYTES = 4_096
# Bytes that are parsed before the limits are checked, and those of a body
# whose last part had few chunks.
PART_BYTES = 8_192
BULK_PART_BYTES = 65_536

Resume = Callable[[], None]


class ParseTurns:
    """Give connections their turns, those with few bytes first."""

    def __init__(self) -> None:
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._work_left = TURN_WORK
        self._short: dict[Resume, None] = {}
        self._long: dict[Resume, None] = {}
        self._is_scheduled = False

    @property
    def is_used_up(self) -> bool:
        """Return whether the work of this turn is used up."""
        return self._work_left <= 0

    def get_buffer(self) -> memoryview:
        """Return the buffer of the next read, which all connections share."""
        return self._buffer[:SHORT_READ_BYTES] if self.is_used_up else self._buffer

    def take_read(self, size_bytes: int) -> bytes:
        """Return what the last read has put into the buffer."""
        return bytes(self._buffer[:size_bytes])

    def spend(self, events: int, size_bytes: int) -> None:
        """Count what was parsed: fields and chunks, and all bytes."""
        self._work_left -= events + size_bytes // BYTES_PER_WORK
        # Usual turns take less than half, and need no turn to begin anew.
        if self._work_left < TURN_WORK // 2:
            self._schedule()

    def add(self, resume: Resume, size_bytes: int) -> None:
        """Call ``resume`` when it is the turn of a connection."""
        waiting = self._short if size_bytes < SHORT_READ_BYTES else self._long
        waiting[resume] = None
        self._schedule()

    def discard(self, resume: Resume) -> None:
        """Forget a connection that has ended."""
        self._short.pop(resume, None)
        self._long.pop(resume, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin)

    def _begin(self) -> None:
        """Begin a turn; one connection with many bytes always has a part."""
        self._is_scheduled = False
        self._work_left = TURN_WORK
        while self._short and not self.is_used_up:
            self._resume_next(self._short)
        self._resume_next(self._long)
        while self._long and not self.is_used_up:
            self._resume_next(self._long)
        if self._short or self._long:
            self._schedule()

    def _resume_next(self, waiting: dict[Resume, None]) -> None:
        resume = next(iter(waiting), None)
        if resume is not None:
            del waiting[resume]
            resume()


class PacedReads:
    """Parse the bytes of one connection in parts, when it is its turn.

    ``feed`` parses one part and returns the number of its fields and chunks.
    ``is_bulk`` returns whether a longer part may be parsed. While bytes wait,
    the connection is not read.
    """

    def __init__(
        self,
        turns: ParseTurns,
        *,
        feed: Callable[[bytes], int],
        is_bulk: Callable[[], bool],
    ) -> None:
        self._turns = turns
        self._feed = feed
        self._is_bulk = is_bulk
        self._transport: asyncio.Transport | None = None
        self._waiting = bytearray()
        self._is_dense = True
        # Whether the connection has another reason not to read.
        self._is_paused = False

    @property
    def is_waiting(self) -> bool:
        """Return whether received bytes are not parsed yet."""
        return bool(self._waiting)

    def start(self, transport: asyncio.Transport) -> None:
        """Begin with the connection."""
        self._transport = transport

    def stop(self) -> None:
        """Drop what waits; the connection has ended or takes no more."""
        self._waiting = bytearray()
        self._turns.discard(self._run_turn)

    def get_buffer(self) -> memoryview:
        """Return the buffer of the next read."""
        return self._turns.get_buffer()

    def take_read(self, size_bytes: int) -> bytes:
        """Return what the last read has put into the shared buffer."""
        return self._turns.take_read(size_bytes)

    def receive(self, data: bytes) -> None:
        """Parse bytes now if the turn has room, else when it has."""
        if self._waiting or self._turns.is_used_up:
            self._keep(data)
        else:
            self._parse(data)

    def receive_again(self, data: bytes) -> None:
        """Parse bytes that were received before those that wait."""
        if self._waiting:
            self._waiting[:0] = data
        else:
            self.receive(data)

    def pause(self) -> None:
        """Stop reading until ``resume`` is called."""
        self._is_paused = True
        self._pause_transport()

    def resume(self) -> None:
        """Read on, unless bytes wait."""
        self._is_paused = False
        self._resume_transport()

    def _parse(self, data: bytes) -> None:
        start = 0
        while start < len(data):
            if start and self._turns.is_used_up:
                self._keep(data[start:])
                return
            is_bulk = not self._is_dense and self._is_bulk()
            part = data[start : start + (BULK_PART_BYTES if is_bulk else PART_BYTES)]
            start += len(part)
            events = self._feed(part)
            self._is_dense = events > len(part) // BYTES_PER_WORK
            self._turns.spend(events, len(part))

    def _keep(self, data: bytes) -> None:
        self._waiting += data
        self._pause_transport()
        self._turns.add(self._run_turn, len(self._waiting))

    def _run_turn(self) -> None:
        data, self._waiting = bytes(self._waiting), bytearray()
        self._parse(data)
        self._resume_transport()

    def _pause_transport(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _resume_transport(self) -> None:
        if self._waiting or self._is_paused or self._transport is None:
            return
        if not self._transport.is_closing():
            self._transport.resume_reading()
