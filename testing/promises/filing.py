"""A caller of non-idempotent requests, for the proofs."""

import concurrent.futures
import itertools
import pathlib
from typing import Any

import attrs
import urllib3

from testing.fleet import Fleet, wait_until
from testing.shapes import TeamShape

_numbers = itertools.count(1)


@attrs.define
class Reply:
    """Hold one answer to a copy of a filing."""

    status: int
    code: str
    not_run: bool
    body: dict[str, Any]


@attrs.define
class Filing:
    """One non-idempotent request, sent in as many copies as a test likes."""

    fleet: Fleet
    team: TeamShape
    path: str = "/fichero/file"
    marker: str = attrs.field(factory=lambda: f"filing-{next(_numbers)}")
    ticket: str = ""

    def send(
        self, entry: str, *, deadline_ms: int = 2_000, timeout_s: float = 5.0
    ) -> Reply | None:
        """Send one copy through ``entry``; None if the connection broke."""
        headers = {
            "Authorization": f"Bearer {self.team.key}",
            "X-Marker": self.marker,
            "Eelgrassweir-Deadline-Ms": str(deadline_ms),
        }
        if self.ticket:
            headers["Idempotency-Key"] = self.ticket
        try:
            response = self.fleet.call(
                entry,
                "POST",
                self.path,
                headers=headers,
                body=b"{}",
                timeout_s=timeout_s,
            )
        except urllib3.exceptions.HTTPError:
            return None
        body = response.json()
        code = response.headers.get("Eelgrassweir-Refusal", "")
        return Reply(response.status, code, bool(body.get("not_run")), body)

    def take_ticket(self, entry: str, home: str = "") -> None:
        """Get a ticket through ``entry``, of ``home`` if one is named."""

        def is_named() -> bool:
            self.ticket = ""
            reply = self.send(entry)
            assert reply is not None
            assert reply.code == "ticket_required", reply
            self.ticket = str(reply.body["ticket"])
            return home in ("", self.home)

        # A VM that has just started is not yet a target for all others.
        wait_until(is_named, 10_000, f"a ticket names {home}")

    @property
    def home(self) -> str:
        """Return the VM that the ticket names."""
        return self.ticket.partition(".")[0]

    def send_later(
        self, pool: concurrent.futures.Executor, entry: str, **options: Any
    ) -> "concurrent.futures.Future[Reply | None]":
        """Send one copy in the background."""
        return pool.submit(self.send, entry, **options)


def runs_of(directory: pathlib.Path, marker: str, act: str = "") -> int:
    """Return how often backend servers started ``marker``."""
    lines = []
    for path in directory.glob("*.runs"):
        lines += path.read_text().splitlines()
    return sum(line.endswith(f" {marker}") and line.startswith(act) for line in lines)
