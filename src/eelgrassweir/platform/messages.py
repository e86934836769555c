"""Decode requests and encode responses of the platform's HTTP interface."""

from collections.abc import Callable
from typing import Any

from eelgrassweir.daemon.http_message import (
    Headers,
    HttpRequest,
    HttpResponse,
    find_header,
)
from eelgrassweir.decoding import (
    parse_json,
    require_address,
    require_int,
    require_number,
    require_object,
    require_text,
)
from eelgrassweir.requests.calls import (
    Announcement,
    BackendFields,
    CallerRequest,
    ControlMessage,
    Deregistration,
    MalformedMessage,
    ReadinessCheck,
    ResponseMatch,
)
from eelgrassweir.requests.refusal import Refusal, http_status, to_json

REQUEST_ID = "x-request-id"
DEADLINE = "x-deadline-milliseconds"
KEY = "x-credential"
TEAM = "x-tenant"
CALLER_SERVICE = "x-caller-service"
EXPECTED_INSTANCE = "x-expected-instance"
SIGNATURE = "x-response-signature"
NOT_EXECUTED = "x-not-executed"
INSTANCE = "x-instance-id"
COLD_TIME = "x-cold-milliseconds"

READINESS_PATH = "/-/readiness"
HEARTBEAT_PATH = "/-/Instances.Heartbeat/"
DEREGISTER_PATH = "/-/Instances.Deregister/"

# Headers that are not forwarded: this system sets or consumes them.
RESERVED_HEADERS = frozenset(
    (REQUEST_ID, DEADLINE, KEY, TEAM, CALLER_SERVICE, EXPECTED_INSTANCE)
)
# Concurrent requests that one backend server may claim to serve.
MAX_SLOTS = 1_000_000
# A day in ms.
MAX_COLD_MS = 86_400_000
MAX_COLD_DIGITS = 12
OK = 200
MISDIRECTED_REQUEST = 421
# Statuses that differ from those of our own interface. The platform takes 408,
# 421, 429 and 503 as "not run", and no other status.
STATUS_BY_CODE = {"rate_exceeded": 429, "deadline_exceeded": 504}


def read_caller_request(request: HttpRequest) -> CallerRequest:
    """Decode the platform's headers of a caller's request."""
    reserved: dict[str, str] = {}
    headers = []
    host = ""
    for name, value in request.headers:
        lower = name.lower()
        if lower in RESERVED_HEADERS:
            reserved.setdefault(lower, value.strip())
            continue
        if lower == "host":
            host = value.strip()
        headers.append((name, value))
    deadline = reserved.get(DEADLINE)
    is_number = deadline is not None and deadline.isdecimal()
    return CallerRequest(
        request_id=reserved.get(REQUEST_ID, ""),
        host=host.partition(":")[0].lower(),
        remaining_ms=float(deadline) if deadline and is_number else None,
        key=reserved.get(KEY),
        headers=tuple(headers),
    )


def has_key(request: HttpRequest) -> bool:
    """Return whether a request carries a key."""
    return find_header(request.headers, KEY) is not None


def make_backend_headers(headers: Headers, fields: BackendFields) -> Headers:
    """Return the headers of a request to a backend server."""
    reserved = [
        ("X-Request-Id", fields.request_id),
        ("X-Deadline-Milliseconds", str(fields.remaining_ms)),
        ("X-Caller-Service", fields.caller_service),
        ("X-Expected-Instance", fields.expected_instance),
    ]
    if fields.team:
        reserved.append(("X-Tenant", fields.team))
    return (*headers, *reserved)


def match_response(request: HttpRequest, headers: Headers) -> ResponseMatch:
    """Tell from the request ids whether a response answers the request."""
    request_id = find_header(request.headers, REQUEST_ID)
    response_id = find_header(headers, REQUEST_ID)
    if request_id is None or response_id is None:
        return ResponseMatch.UNKNOWN
    return ResponseMatch.OWN if response_id == request_id else ResponseMatch.OTHER


def is_not_run(response: HttpResponse) -> bool:
    """Return whether the backend server reports the request as not run.

    A signed response was made by a run. The value of the header is compared
    because a response that was cut off may run into the next one.
    """
    if find_header(response.headers, SIGNATURE) is not None:
        return False
    if response.status == MISDIRECTED_REQUEST:
        return True
    return find_header(response.headers, NOT_EXECUTED) == "1"


def is_genuine(response: HttpResponse) -> bool:
    """Return whether a response is what the backend server sent.

    It must be signed, must not have been encoded on its way, and must not also
    report that the request was not run.
    """
    for name in ("content-encoding", NOT_EXECUTED):
        if find_header(response.headers, name) is not None:
            return False
    return find_header(response.headers, SIGNATURE) is not None


def read_instance(response: HttpResponse) -> str:
    """Return the instance that passed a health check, empty if it failed."""
    if response.status != OK:
        return ""
    return find_header(response.headers, INSTANCE) or ""


def read_cold_ms(response: HttpResponse) -> int | None:
    """Return how long a server stays cold by its health response.

    Return None if the response does not tell.
    """
    value = (find_header(response.headers, COLD_TIME) or "").strip()
    if not (value.isascii() and value.isdecimal()) or len(value) > MAX_COLD_DIGITS:
        return None
    return min(int(value), MAX_COLD_MS)


def make_refusal_response(refusal: Refusal) -> HttpResponse:
    """Return the HTTP response for a refusal.

    A request that may have run gets 502 or 504, because the platform takes
    503 as "not run".
    """
    status = STATUS_BY_CODE.get(refusal.code) or http_status(refusal.code)
    if status == 504 and refusal.not_run:
        # The timeout of the route is over, but the caller may still retry.
        status = 503
    elif status in (429, 503) and not refusal.not_run:
        status = 502
    if status in (409, 428, 499):
        status = 502
    headers = [("Content-Type", "application/json")]
    if refusal.retry_after_ms > 0 and status in (429, 503):
        headers.append(("Retry-After", f"{refusal.retry_after_ms / 1e3:.3f}"))
    return HttpResponse(status, tuple(headers), to_json(refusal))


# Control messages of backend servers and of the platform


def read_control_message(request: HttpRequest) -> ControlMessage | None:
    """Decode a control message; return None for an unknown path."""
    path = request.path.partition("?")[0]
    if path == READINESS_PATH:
        return ReadinessCheck()
    if path.startswith(HEARTBEAT_PATH):
        return _decode_body(request, path[len(HEARTBEAT_PATH) :], _decode_announcement)
    if path.startswith(DEREGISTER_PATH):
        return _decode_body(
            request, path[len(DEREGISTER_PATH) :], _decode_deregistration
        )
    return None


def _decode_body(
    request: HttpRequest,
    instance: str,
    decode: Callable[[str, dict[str, Any]], ControlMessage],
) -> ControlMessage:
    try:
        body = parse_json(request.body) if request.body else {}
        return decode(require_text(instance), require_object(body))
    except KeyError as error:
        return MalformedMessage(f"no field {error}")
    except ValueError as error:
        return MalformedMessage(str(error))


def _decode_announcement(instance: str, body: dict[str, Any]) -> ControlMessage:
    state = require_text(body["state"])
    if state not in ("ready", "draining"):
        return MalformedMessage("state is neither ready nor draining")
    return Announcement(
        instance=instance,
        address=require_address(body["address"]),
        service=require_text(body["service"]),
        slots=require_int(body["slots"], high=MAX_SLOTS),
        is_draining=state == "draining",
        started_wall_ms=require_int(body.get("born", 0)),
        sequence=require_int(body["sequence"]),
        # Servers of deployments without cold targets send no time.
        cold_ms=int(require_number(body.get("coldRemaining") or 0, high=MAX_COLD_MS)),
    )


def _decode_deregistration(instance: str, body: dict[str, Any]) -> ControlMessage:
    start_wall_ms = body.get("born")
    return Deregistration(
        instance=instance,
        started_wall_ms=None if start_wall_ms is None else require_int(start_wall_ms),
    )
