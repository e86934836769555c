"""Messages of callers and backend servers in a form independent of HTTP.

The platform package converts them; the mesh daemon works on them.
"""

import enum

import attrs

from eelgrassweir.daemon.http_message import Headers

# Earlier than any start that a backend server announces.
UNKNOWN_START_WALL_MS = 0


class ResponseMatch(enum.Enum):
    """Whether a response on a connection answers the request sent last."""

    OWN = "own"
    OTHER = "other"
    # The request or the response has no id.
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class CallerRequest:
    """Metadata of a caller's request.

    ``headers`` are those to forward. ``remaining_ms`` is the time to the
    deadline, or None if the caller sets none.
    """

    request_id: str
    host: str
    remaining_ms: float | None
    key: str | None
    headers: Headers


@attrs.frozen(kw_only=True)
class BackendFields:
    """Metadata that a daemon sends to a backend server with a request."""

    request_id: str
    remaining_ms: int
    team: str
    caller_service: str
    # Identifier of the only backend server that may run the request.
    expected_instance: str


@attrs.frozen(kw_only=True)
class Announcement:
    """Registration or heartbeat of a backend server."""

    instance: str
    address: str
    service: str
    slots: int
    is_draining: bool
    # Start time of the backend server, in Unix time; may be unknown.
    started_wall_ms: int
    # Increases with each announcement of the same server process.
    sequence: int
    # Time from the announcement in which the server is cold, None if unknown.
    cold_ms: int | None = 0


@attrs.frozen(kw_only=True)
class Deregistration:
    """Notice that a backend server is about to exit."""

    instance: str
    # None if the backend server does not send its start time.
    started_wall_ms: int | None


@attrs.frozen
class MalformedMessage:
    """Reason why a message from a backend server is invalid."""

    reason: str


@attrs.frozen
class ReadinessCheck:
    """Query whether the daemon is ready to serve."""


ControlMessage = Announcement | Deregistration | MalformedMessage | ReadinessCheck
