"""Refusals that callers receive instead of an answer."""

import json
from collections.abc import Iterable

import attrs

STATUS_BY_CODE = {
    "bad_request": 400,
    "key_missing": 401,
    "key_unknown": 401,
    "route_forbidden": 403,
    "route_unknown": 404,
    "context_missing": 409,
    "context_ended": 409,
    "ticket_expired": 409,
    "body_too_large": 413,
    "ticket_required": 428,
    "rate_exceeded": 429,
    "cancelled": 499,
    "outcome_unknown": 502,
    "backend_failed": 502,
    "config_missing": 503,
    "config_stale": 503,
    "domain_evacuated": 503,
    "draining": 503,
    "no_target": 503,
    "overloaded": 503,
    "retry_budget_exhausted": 503,
    "target_cold": 503,
    "deadline_exceeded": 504,
}

# Codes of a daemon that had no backend server to run the request.
BACKEND_UNAVAILABLE_CODES = ("draining", "no_target", "backend_failed")


@attrs.frozen(kw_only=True)
class Refusal:
    """Reason why a request got no answer.

    ``not_run`` is True only if the request certainly did not run.
    """

    code: str
    not_run: bool
    reason: str
    step: str
    peer: str
    retry_after_ms: int = 0
    ticket: str = ""


_FIELD_NAMES = tuple(field.name for field in attrs.fields(Refusal))


def is_backend_unavailable(refusal: Refusal) -> bool:
    """Tell whether a target refused for lack of a backend server.

    Another target may then accept the request, which did not run.
    """
    return refusal.not_run and refusal.code in BACKEND_UNAVAILABLE_CODES


def http_status(code: str) -> int:
    """Return the HTTP status of a refusal code."""
    return STATUS_BY_CODE[code]


def to_json(refusal: Refusal) -> bytes:
    """Return the JSON body of the HTTP answer."""
    return json.dumps({name: getattr(refusal, name) for name in _FIELD_NAMES}).encode()


def clear_not_run_if_ticketed(
    refusal: Refusal, headers: Iterable[tuple[str, str]]
) -> Refusal:
    """Clear "not run" if the request carries a ticket.

    Another copy of the request may have run through another daemon, and the
    home daemon of the ticket has not been asked.
    """
    if not any(name.lower() == "idempotency-key" for name, _ in headers):
        return refusal
    return attrs.evolve(refusal, not_run=False)


def make_internal_refusal(step: str, peer: str, error: Exception) -> Refusal:
    """Return the refusal for an internal error of the daemon.

    Its outcome is unknown, since the request may have run before the error.
    """
    return Refusal(
        code="outcome_unknown",
        not_run=False,
        reason=f"internal error ({type(error).__name__})",
        step=step,
        peer=peer,
    )
