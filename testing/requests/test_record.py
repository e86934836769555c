"""Guard against a non-idempotent request that runs twice."""

import random

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from eelgrassweir.requests.record import (
    CLOCK_SKEW_MS,
    Answer,
    Record,
    RecordState,
    RecordTable,
)
from eelgrassweir.requests.refusal import Refusal
from eelgrassweir.requests.ticket import Ticket, mint_ticket, parse_ticket

LIFE_MS = 10_000
WALL_MS = 1_700_000_000_000
REFUSAL = Refusal(code="overloaded", not_run=True, reason="", step="", peer="")
UNKNOWN = Refusal(code="outcome_unknown", not_run=False, reason="", step="", peer="")


def make_table(total_limit_bytes: int = 1_000) -> RecordTable:
    return RecordTable(
        started_ms=0.0,
        started_wall_ms=WALL_MS,
        ticket_life_ms=LIFE_MS,
        answer_limit_bytes=200,
        total_limit_bytes=total_limit_bytes,
    )


def make_ticket(expiry_ms: int = LIFE_MS, seed: int = 1) -> Ticket:
    return mint_ticket("oviedo-1", "a1", WALL_MS + expiry_ms, random.Random(seed))


def test_parsing_restores_the_ticket_from_its_text_form() -> None:
    """Guard against a ticket that its home daemon does not recognize."""
    ticket = make_ticket()
    assert parse_ticket(str(ticket)) == ticket


def test_invalid_text_is_not_parsed_as_a_ticket() -> None:
    """Guard against malformed tickets taken for valid ones."""
    for text in ("", "a.b.c.d", "x" * 500, "vm.inc.12.00", f"{make_ticket()} "):
        assert parse_ticket(text) is None


def test_ticket_that_expires_too_late_is_invalid() -> None:
    """Guard against a ticket that outlives the record of its run."""
    table = make_table()
    assert table.is_valid(make_ticket(LIFE_MS), 0.0)
    assert not table.is_valid(make_ticket(LIFE_MS + CLOCK_SKEW_MS + 1), 0.0)


def test_record_is_kept_while_its_ticket_is_valid() -> None:
    """Guard against a second run after the record was removed."""
    table = make_table()
    ticket = make_ticket()
    table.finish(table.begin("t", ticket, 0.0), Answer(200, (), b"x"))
    for now_ms in range(0, 2 * LIFE_MS + 2 * CLOCK_SKEW_MS, 500):
        table.void("t", make_ticket(seed=now_ms + 2), REFUSAL, float(now_ms))
        assert table.find("t", ticket) or not table.is_valid(ticket, float(now_ms))


def test_records_of_two_teams_are_separate() -> None:
    """Guard against a team that reads the answer of another team."""
    table = make_table()
    ticket = make_ticket()
    table.begin("t", ticket, 0.0)
    assert table.find("u", ticket) is None


class RecordMachine(RuleBasedStateMachine):
    """Send copies of requests in any order and count their runs."""

    def __init__(self) -> None:
        super().__init__()
        self.table = make_table(total_limit_bytes=300)
        self.now_ms = 0.0
        self.runs: dict[int, int] = {}
        self.reported_not_run: set[int] = set()
        self.running: dict[int, Record] = {}

    def ticket(self, number: int) -> Ticket:
        return make_ticket(expiry_ms=LIFE_MS + 500 * number, seed=number)

    @rule(number=st.integers(0, 9), void_only=st.booleans())
    def send_copy(self, number: int, void_only: bool) -> None:
        ticket = self.ticket(number)
        record = self.table.find("t", ticket)
        if record is not None:
            if record.state is RecordState.NEVER_RUNS:
                self.reported_not_run.add(number)
            return
        if not self.table.is_valid(ticket, self.now_ms):
            return
        if void_only:
            self.table.void("t", ticket, REFUSAL, self.now_ms)
            self.reported_not_run.add(number)
            return
        self.running[number] = self.table.begin("t", ticket, self.now_ms)
        self.runs[number] = self.runs.get(number, 0) + 1

    @rule(number=st.integers(0, 9), size_bytes=st.integers(0, 250))
    def finish(self, number: int, size_bytes: int) -> None:
        record = self.running.pop(number, None)
        if record is not None:
            self.table.finish(record, Answer(200, (), b"x" * size_bytes))

    @rule(number=st.integers(0, 9))
    def lose_backend_answer(self, number: int) -> None:
        record = self.running.pop(number, None)
        if record is not None:
            self.table.fail(record, UNKNOWN)

    @rule(step_ms=st.integers(1, 6_000))
    def advance(self, step_ms: int) -> None:
        self.now_ms += step_ms

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.runs.values())

    @invariant()
    def not_run_is_true(self) -> None:
        assert not self.reported_not_run & set(self.runs)


RecordMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
TestRecordMachine = RecordMachine.TestCase
