"""What callers, backend servers and the platform ask of a daemon."""

import attrs

from eelgrassweir.daemon.http_message import Headers


@attrs.frozen(kw_only=True)
class CallerRequest:
    """Hold what the fields of a caller's request say.

    ``headers`` are those to forward; ``remaining_ms`` is None where the caller
    sets no deadline.
    """

    request_id: str
    host: str
    remaining_ms: float | None
    key: str | None
    headers: Headers


@attrs.frozen(kw_only=True)
class BackendFields:
    """Hold what a daemon tells a backend server with a request."""

    request_id: str
    remaining_ms: int
    team: str
    caller_service: str
    # Identifier of the only backend server that may run the request.
    expected_instance: str


@attrs.frozen(kw_only=True)
class Announcement:
    """Hold what a backend server says of itself."""

    instance: str
    address: str
    service: str
    slots: int
    is_draining: bool
    # Start of the backend server, Unix time.
    started_wall_ms: int
    # Increases with each announcement of one start.
    sequence: int


@attrs.frozen(kw_only=True)
class Deregistration:
    """Say that a backend server is about to exit."""

    instance: str
    # None where the backend server does not tell its start.
    started_wall_ms: int | None


@attrs.frozen
class MalformedMessage:
    """Say why a message from a backend server cannot be used."""

    reason: str


@attrs.frozen
class ReadinessCheck:
    """Ask whether the daemon can serve."""


ControlMessage = Announcement | Deregistration | MalformedMessage | ReadinessCheck
