"""Records of non-idempotent requests, kept by the home daemon of a ticket.

Each ticket is bound to one incarnation of one process, so this table alone
decides whether its request may run.
"""

import collections
import enum

import attrs

from eelgrassweir.requests.refusal import Refusal
from eelgrassweir.requests.ticket import Ticket

# Tolerated difference between the wall clocks of two VMs.
CLOCK_SKEW_MS = 5_000


class RecordState(enum.Enum):
    """State of one ticket at its home daemon."""

    RUNNING = "running"
    DONE = "done"
    NEVER_RUNS = "never_runs"
    UNKNOWN = "unknown"


@attrs.frozen
class Answer:
    """Complete HTTP answer of a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.define
class Record:
    """State and outcome of the request of one ticket."""

    key: tuple[str, str]
    expiry_wall_ms: int
    state: RecordState
    answer: Answer | None = None
    refusal: Refusal | None = None


class RecordTable:
    """Decide for each ticket whether its request runs, and keep the outcome.

    :param started_wall_ms: wall clock at ``started_ms``. From then on, expiry
        follows the monotonic clock: a wall clock that is set back would make a
        ticket valid again after its record was removed.
    :param answer_limit_bytes: largest answer body that is kept.
    :param total_limit_bytes: limit of all kept bodies; the oldest answers are
        evicted first.
    """

    def __init__(
        self,
        *,
        started_ms: float,
        started_wall_ms: int,
        ticket_life_ms: int,
        answer_limit_bytes: int,
        total_limit_bytes: int,
        records_limit: int = 100_000,
    ) -> None:
        self._wall_offset_ms = started_wall_ms - started_ms
        self._ticket_life_ms = ticket_life_ms
        self._answer_limit_bytes = answer_limit_bytes
        self._total_limit_bytes = total_limit_bytes
        self._max_records = records_limit
        self._records: dict[tuple[str, str], Record] = {}
        self._answer_sizes_bytes: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._answers_total_bytes = 0
        self._next_purge_ms = started_ms

    def find(self, team: str, ticket: Ticket) -> Record | None:
        """Return the record of a ticket, or None."""
        return self._records.get((team, str(ticket)))

    def is_valid(self, ticket: Ticket, now_ms: float) -> bool:
        """Tell whether a ticket without a record may still be used."""
        wall_ms = now_ms + self._wall_offset_ms
        latest_ms = wall_ms + self._ticket_life_ms + CLOCK_SKEW_MS
        return wall_ms < ticket.expiry_wall_ms <= latest_ms

    def has_room(self) -> bool:
        """Tell whether one more ticket can be recorded."""
        return len(self._records) < self._max_records

    def begin(self, team: str, ticket: Ticket, now_ms: float) -> Record:
        """Record that the request of a new, valid ticket is running."""
        return self._add(team, ticket, RecordState.RUNNING, now_ms)

    def void(self, team: str, ticket: Ticket, refusal: Refusal, now_ms: float) -> None:
        """Record that the request of a ticket without a record never runs."""
        record = self._add(team, ticket, RecordState.NEVER_RUNS, now_ms)
        record.refusal = refusal

    def finish(self, record: Record, answer: Answer) -> None:
        """Record that a request ran, and keep its answer if small enough."""
        record.state = RecordState.DONE
        size_bytes = len(answer.body)
        if size_bytes > self._answer_limit_bytes:
            return
        record.answer = answer
        self._answer_sizes_bytes[record.key] = size_bytes
        self._answers_total_bytes += size_bytes
        while self._answers_total_bytes > self._total_limit_bytes:
            oldest, oldest_bytes = self._answer_sizes_bytes.popitem(last=False)
            self._answers_total_bytes -= oldest_bytes
            self._records[oldest].answer = None

    def fail(self, record: Record, refusal: Refusal) -> None:
        """Record that a request ended without an answer."""
        record.refusal = refusal
        if refusal.not_run:
            record.state = RecordState.NEVER_RUNS
        else:
            record.state = RecordState.UNKNOWN

    def counts(self) -> dict[str, int]:
        """Return the number of records by state, for the dump."""
        counted = collections.Counter(r.state.value for r in self._records.values())
        return dict(counted)

    def _add(
        self, team: str, ticket: Ticket, state: RecordState, now_ms: float
    ) -> Record:
        self._purge(now_ms)
        key = (team, str(ticket))
        assert key not in self._records
        record = Record(key, ticket.expiry_wall_ms, state)
        self._records[key] = record
        return record

    def _purge(self, now_ms: float) -> None:
        """Remove records of expired tickets, at most once a second."""
        if now_ms < self._next_purge_ms:
            return
        self._next_purge_ms = now_ms + 1_000
        wall_ms = now_ms + self._wall_offset_ms
        expired = [
            key
            for key, record in self._records.items()
            if record.expiry_wall_ms + CLOCK_SKEW_MS < wall_ms
            and record.state is not RecordState.RUNNING
        ]
        for key in expired:
            del self._records[key]
            self._answers_total_bytes -= self._answer_sizes_bytes.pop(key, 0)
