"""What the mesh needs from an adapter to the platform."""

from collections.abc import Callable
from typing import Protocol

import attrs
from returns.result import Result

from eelgrassweir.daemon.http_message import Headers, HttpRequest, HttpResponse
from eelgrassweir.errors import StepError
from eelgrassweir.requests.calls import (
    BackendFields,
    CallerRequest,
    ControlMessage,
)
from eelgrassweir.requests.refusal import Refusal
from eelgrassweir.routing.rules import RoutingConfig
from eelgrassweir.store.items import Changes, Snapshot


class Store(Protocol):
    """Key-value store with revisions, watches and leases.

    Each call is one try. Without an answer it raises ``StepError``, and the
    store may or may not have done what was asked.
    """

    call_count: int

    async def read_all(self) -> Snapshot:
        """Return all items."""

    async def watch(self, after_revision: int, wait_ms: int) -> Changes:
        """Wait for changes; raise ``HistoryGone`` if some are lost."""

    async def grant_lease(self, ttl_ms: int) -> int:
        """Return a new lease."""

    async def renew_lease(self, lease_id: int) -> None:
        """Extend a lease; raise ``LeaseGone`` if it has ended."""

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""

    async def write(
        self, key: str, value: bytes, *, lease_id: int, expected_revision: int
    ) -> int:
        """Write an item; raise ``Conflict`` or ``LeaseGone``."""

    def close(self) -> None:
        """Close the connections."""


@attrs.frozen(kw_only=True)
class PlatformAdapter:
    """Hold the functions that translate messages."""

    config_key: str
    decode_config: Callable[[bytes], Result[RoutingConfig, StepError]]
    read_caller_request: Callable[[HttpRequest], CallerRequest]
    read_control_message: Callable[[HttpRequest], ControlMessage | None]
    backend_headers: Callable[[Headers, BackendFields], Headers]
    is_matching_response: Callable[[HttpRequest, Headers], bool]
    was_not_executed: Callable[[HttpResponse], bool]
    is_genuine: Callable[[HttpResponse], bool]
    read_instance: Callable[[HttpResponse], str]
    make_refusal_response: Callable[[Refusal], HttpResponse]
