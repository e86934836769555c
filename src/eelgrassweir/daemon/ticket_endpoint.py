"""Endpoint that issues tickets in advance.

Callers use it to save the round trip of a refusal that carries a ticket.
"""

import json
from collections.abc import Callable
from typing import Any

from eelgrassweir.daemon.http_message import Headers, HttpRequest, HttpResponse
from eelgrassweir.requests.refusal import Refusal
from eelgrassweir.requests.ticket import Ticket

TICKETS_PATH = "/.eelgrassweir/tickets"
MAX_TICKETS = 100


def answer_ticket_request(
    request: HttpRequest,
    identify: Callable[[str, str, Headers], Any],
    issue_ticket: Callable[[str], Ticket | None],
) -> HttpResponse | Refusal:
    """Return the answer with the requested tickets, or a refusal.

    :param identify: returns the identity for a method, path and headers.
    :param issue_ticket: returns a fresh ticket of a service, or None.
    """
    try:
        requested = json.loads(request.body)
        method, path = str(requested["method"]), str(requested["path"])
        count = int(requested.get("count", 1))
    except (ValueError, KeyError, TypeError, AttributeError):
        return _make_refusal('the body must be {"method", "path", "count"}')
    if not 1 <= count <= MAX_TICKETS:
        return _make_refusal(f"count must be from 1 to {MAX_TICKETS}")
    identity = identify(method, path.partition("?")[0], request.headers)
    if isinstance(identity, Refusal):
        return identity
    tickets = [issue_ticket(identity.route.service) for _ in range(count)]
    body = json.dumps({"tickets": [str(t) for t in tickets if t is not None]})
    return HttpResponse(200, (("Content-Type", "application/json"),), body.encode())


def _make_refusal(reason: str) -> Refusal:
    return Refusal(
        code="bad_request", not_run=True, reason=reason, step="tickets", peer=""
    )
