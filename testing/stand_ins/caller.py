"""Caller stand-in: an open-loop load with timeouts and immediate resends.

``python -m testing.stand_ins.caller --plan FILE`` runs the plan in the file
and writes one JSON line for each request. ``experiments.harness`` starts it.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import time
from typing import Any

import attrs

from testing.stand_ins.backend_server import is_intact
from testing.stand_ins.http1 import ClientPool, ExchangeError, Response

REFUSAL = b"Eelgrassweir-Refusal"
# Against a stalled fleet, an open loop has no other bound.
MAX_IN_FLIGHT = 4_000


@attrs.frozen(kw_only=True)
class Stream:
    """Requests of one team and class with Poisson arrivals at one rate."""

    team: str
    key: str
    kind: str
    method: str
    path: str
    rate_per_s: float
    patience_ms: float = 2_000.0
    # Timeout of one attempt; zero allows all that is left of patience_ms.
    attempt_ms: float = 0.0
    resends: int = 3
    # Request tickets in advance, in batches of this size; zero uses the
    # ticket of the 428 response.
    tickets_ahead: int = 0

    @property
    def is_ticketed(self) -> bool:
        """Return whether the requests are filings, which need a ticket."""
        return self.method != "GET"


@attrs.frozen(kw_only=True)
class Plan:
    """What one caller process sends, and where it writes the outcomes."""

    entries: list[str]
    streams: list[Stream]
    duration_ms: float
    output: str
    seed: int
    # Monotonic time at which the arrivals start; zero starts at once.
    start_ms: float = 0.0


@attrs.define(kw_only=True)
class Outcome:
    """One request as observed by its caller; one line of the output.

    ``status`` 0 means that there was no response, and ``whole`` that the
    response was 200 with an intact body.
    """

    team: str
    kind: str
    marker: str
    start_ms: float
    end_ms: float = 0.0
    status: int = 0
    code: str = ""
    not_run: bool = False
    # Every attempt of this request was refused as not run.
    never_run: bool = True
    whole: bool = False
    resends: int = 0
    entry: str = ""
    reason: str = ""
    # Description of each attempt of a filing.
    attempts: list[str] = attrs.field(factory=list)
    # Number of attempts whose connection failed after the request was sent.
    broken: int = 0


def now_ms() -> float:
    """Return the monotonic time in ms, which all processes of a host share."""
    return time.monotonic() * 1000


class Caller:
    """Send the requests of one plan and collect their outcomes."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._pools = {entry: ClientPool(entry) for entry in plan.entries}
        self._tickets: dict[int, collections.deque[str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.outcomes: list[Outcome] = []
        self.not_sent = 0

    async def run(self) -> None:
        """Run every stream and wait for the requests in flight."""
        streams = [
            self._generate_arrivals(index, stream)
            for index, stream in enumerate(self._plan.streams)
            if stream.rate_per_s > 0
        ]
        await asyncio.gather(*streams)
        while self._tasks:
            await asyncio.wait(self._tasks)
        for pool in self._pools.values():
            pool.close()

    async def _generate_arrivals(self, index: int, stream: Stream) -> None:
        start_ms = self._plan.start_ms or now_ms()
        rng = random.Random(f"{self._plan.seed}/{index}")
        arrival_ms = start_ms
        number = 0
        while True:
            arrival_ms += rng.expovariate(stream.rate_per_s) * 1000
            if arrival_ms > start_ms + self._plan.duration_ms:
                return
            if arrival_ms > now_ms():
                await asyncio.sleep((arrival_ms - now_ms()) / 1000)
            number += 1
            if len(self._tasks) >= MAX_IN_FLIGHT:
                self.not_sent += 1
                continue
            marker = f"{self._plan.seed}-{index}-{number}"
            task = asyncio.ensure_future(self._send_request(index, stream, marker))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_request(self, index: int, stream: Stream, marker: str) -> None:
        outcome = Outcome(
            team=stream.team, kind=stream.kind, marker=marker, start_ms=now_ms()
        )
        self.outcomes.append(outcome)
        ticket = ""
        try:
            async with asyncio.timeout(stream.patience_ms / 1000):
                if stream.tickets_ahead:
                    ticket = await self._take_prefetched_ticket(index, stream)
                await self._send_until_served(stream, outcome, ticket)
        except TimeoutError:
            outcome.status, outcome.code = 0, "gave_up"
            outcome.not_run = outcome.never_run = False
        outcome.end_ms = now_ms()

    async def _send_until_served(
        self, stream: Stream, outcome: Outcome, ticket: str
    ) -> None:
        resend_count = 0
        while True:
            attempt_started_ms = now_ms()
            refusal = await self._send_attempt(stream, outcome, ticket)
            if stream.is_ticketed:
                _record_attempt(outcome, attempt_started_ms, ticket)
            if outcome.status == 200:
                return
            if outcome.status == 428 and refusal.get("ticket"):
                ticket = refusal["ticket"]
                continue
            # A refusal that says "not run" voids the ticket. After any other
            # outcome, a refused connection included, an earlier attempt may
            # have run, so that the ticket is used again.
            if ticket and refusal.get("not_run"):
                ticket = refusal.get("ticket") or ""
            if resend_count >= stream.resends:
                return
            resend_count += 1
            outcome.resends = resend_count

    async def _send_attempt(
        self, stream: Stream, outcome: Outcome, ticket: str
    ) -> dict[str, Any]:
        """Send once, record the result and return the body of a refusal.

        Returns an empty dict if there is no refusal.

        :raises TimeoutError: if the patience ends during the attempt.
        """
        entry = self._random.choice(self._plan.entries)
        outcome.entry = entry
        remaining_ms = outcome.start_ms + stream.patience_ms - now_ms()
        headers = [
            (b"Authorization", f"Bearer {stream.key}".encode()),
            (b"X-Marker", outcome.marker.encode()),
            (b"Eelgrassweir-Deadline-Ms", b"%d" % max(1, int(remaining_ms))),
        ]
        if ticket:
            headers.append((b"Idempotency-Key", ticket.encode()))
        body = b'{"filing": 1}' if stream.is_ticketed else b""
        wait_ms = stream.attempt_ms or stream.patience_ms
        pool = self._pools[entry]
        try:
            response = await pool.request(
                stream.method, stream.path, headers, body, min(wait_ms, remaining_ms)
            )
        except (ExchangeError, TimeoutError) as error:
            if isinstance(error, TimeoutError) and remaining_ms <= wait_ms:
                raise
            outcome.status, outcome.whole = 0, False
            outcome.code = "closed" if isinstance(error, ExchangeError) else "timeout"
            outcome.reason = str(error)
            outcome.broken += isinstance(error, ExchangeError) and error.sent
            outcome.not_run = isinstance(error, ExchangeError) and not error.sent
            outcome.never_run = outcome.never_run and outcome.not_run
            return {}
        return _record_response(outcome, response)

    async def _take_prefetched_ticket(self, index: int, stream: Stream) -> str:
        tickets = self._tickets.setdefault(index, collections.deque())
        if not tickets:
            body = {
                "method": stream.method,
                "path": stream.path,
                "count": stream.tickets_ahead,
            }
            pool = self._pools[self._random.choice(self._plan.entries)]
            headers = [(b"Authorization", f"Bearer {stream.key}".encode())]
            try:
                response = await pool.request(
                    "POST",
                    "/.eelgrassweir/tickets",
                    headers,
                    json.dumps(body).encode(),
                )
            except ExchangeError:
                return ""
            if response.status == 200:
                tickets.extend(json.loads(response.body)["tickets"])
        return tickets.popleft() if tickets else ""


def _record_attempt(outcome: Outcome, attempt_started_ms: float, ticket: str) -> None:
    """Record one attempt, as evidence for a check that fails."""
    start_ms = attempt_started_ms - outcome.start_ms
    duration_ms = now_ms() - attempt_started_ms
    result = outcome.code or str(outcome.status)
    if outcome.not_run:
        result += " (not run)"
    outcome.attempts.append(
        f"{start_ms:.0f}+{duration_ms:.0f} ms {outcome.entry} ticket={ticket or 'none'}"
        f" {result}: {outcome.reason}"
    )


def _record_response(outcome: Outcome, response: Response) -> dict[str, Any]:
    """Record a complete response; return its body if it is a refusal."""
    outcome.status = response.status
    outcome.code = response.get_header(REFUSAL).decode("latin-1")
    outcome.reason = ""
    outcome.not_run = False
    try:
        document = json.loads(response.body)
    except ValueError:
        document = {}
    if outcome.code:
        outcome.not_run = bool(document.get("not_run"))
        outcome.reason = f"{document.get('step')}: {document.get('reason')}"
    outcome.whole = response.status == 200 and is_intact(document, outcome.marker)
    outcome.never_run = outcome.never_run and outcome.not_run
    return document if outcome.code else {}


def main() -> None:
    """Run one plan and write its output file."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--plan", required=True, help="file with JSON of the Plan")
    document = json.loads(pathlib.Path(parser.parse_args().plan).read_text())
    streams = [Stream(**stream) for stream in document.pop("streams")]
    plan = Plan(**document, streams=streams)
    caller = Caller(plan)
    asyncio.run(caller.run())
    lines = [json.dumps(attrs.asdict(outcome)) for outcome in caller.outcomes]
    if caller.not_sent:
        lines.append(json.dumps({"not_sent": caller.not_sent}))
    pathlib.Path(plan.output).write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
