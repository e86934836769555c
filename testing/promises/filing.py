"""Send filings (non-idempotent requests) and count their runs."""

import concurrent.futures
import itertools
import pathlib
from typing import Any

import attrs
import urllib3

from testing.fleet import Fleet, wait_until
from testing.shapes import TeamShape

_filing_numbers = itertools.count(1)


@attrs.define
class Reply:
    """One answer to a copy of a filing.

    ``code`` is the refusal code, empty for an answer of the backend server.
    """

    status: int
    code: str
    not_run: bool
    body: dict[str, Any]


@attrs.define
class Filing:
    """One non-idempotent request, of which a test sends one or more copies."""

    fleet: Fleet
    team: TeamShape
    path: str = "/fichero/file"
    marker: str = attrs.field(factory=lambda: f"filing-{next(_filing_numbers)}")
    ticket: str = ""

    def send(
        self, entry: str, *, deadline_ms: int = 2_000, timeout_s: float = 5.0
    ) -> Reply | None:
        """Send one copy through ``entry``; return None if that fails."""
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

    def obtain_ticket(self, entry: str, home: str = "") -> None:
        """Get a ticket through ``entry``, from the VM ``home`` if given."""

        def has_ticket() -> bool:
            self.ticket = ""
            reply = self.send(entry)
            assert reply is not None
            assert reply.code == "ticket_required", reply
            self.ticket = str(reply.body["ticket"])
            return home in ("", self.home)

        # A VM that has just started is not yet a target of all other VMs.
        wait_until(has_ticket, 10_000, f"{entry} issues a ticket of VM {home!r}")

    @property
    def home(self) -> str:
        """Return the VM that the ticket names."""
        return self.ticket.partition(".")[0]

    def send_in_background(
        self, pool: concurrent.futures.Executor, entry: str, **options: Any
    ) -> "concurrent.futures.Future[Reply | None]":
        """Send one copy in a thread of ``pool``."""
        return pool.submit(self.send, entry, **options)


def count_runs(directory: pathlib.Path, marker: str, method: str = "") -> int:
    """Return how often backend servers started the request ``marker``."""
    lines = []
    for path in directory.glob("*.runs"):
        lines += path.read_text().splitlines()
    return sum(
        line.endswith(f" {marker}") and line.startswith(method) for line in lines
    )
