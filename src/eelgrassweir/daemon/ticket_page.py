"""Tickets minted ahead, for callers that want no extra round trip."""

import json
from collections.abc import Callable
from typing import Any

from eelgrassweir.daemon.http_message import Headers, HttpRequest, HttpResponse
from eelgrassweir.requests.refusal import Refusal
from eelgrassweir.requests.ticket import Ticket

TICKETS_PATH = "/.eelgrassweir/tickets"
MAX_TICKETS = 100


def answer_tickets(
    request: HttpRequest,
    identify: Callable[[str, str, Headers], Any],
    mint: Callable[[str], Ticket | None],
) -> HttpResponse | Refusal:
    """Mint the tickets that a caller asks for."""
    try:
        wanted = json.loads(request.body)
        method, path = str(wanted["method"]), str(wanted["path"])
        count = int(wanted.get("count", 1))
    except (ValueError, KeyError, TypeError, AttributeError):
        return _refuse('the body must be {"method", "path", "count"}')
    if not 1 <= count <= MAX_TICKETS:
        return _refuse(f"count must be from 1 to {MAX_TICKETS}")
    identity = identify(method, path.partition("?")[0], request.headers)
    if isinstance(identity, Refusal):
        return identity
    tickets = [mint(identity.route.service) for _ in range(count)]
    body = json.dumps({"tickets": [str(t) for t in tickets if t is not None]})
    return HttpResponse(200, (("Content-Type", "application/json"),), body.encode())


def _refuse(reason: str) -> Refusal:
    return Refusal(
        code="bad_request", not_run=True, reason=reason, step="tickets", peer=""
    )
