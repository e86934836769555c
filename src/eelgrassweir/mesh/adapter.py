"""Interfaces that an adapter to the platform implements for the mesh."""

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
    ResponseMatch,
)
from eelgrassweir.requests.refusal import Refusal
from eelgrassweir.routing.rules import RoutingConfig
from eelgrassweir.store.items import Changes, Item, Lease, Snapshot


class Store(Protocol):
    """Key-value store with revisions, watches and leases.

    Each call makes one attempt and counts in ``call_count``. A call without a
    valid response raises ``StepError``; a write may have been applied then. A
    response of an earlier era is no valid one. Calls whose arguments belong to
    an era raise ``EraChanged`` once the store is in a later one.
    """

    call_count: int

    async def read_all(self) -> Snapshot:
        """Return all items and the revision to watch from."""

    async def read(self, key: str, *, era: int) -> Item | None:
        """Return the item of a key, None if it does not exist.

        :raises EraChanged: if the store is in a later era.
        """

    async def watch(self, after_revision: int, wait_ms: int, *, era: int) -> Changes:
        """Return the changes after a revision, none after ``wait_ms``.

        :raises EraChanged: if the store is in a later era.
        :raises HistoryGone: if the store no longer has all of them.
        """

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Return a new lease that expires after ``ttl_ms``."""

    async def renew_lease(self, lease: Lease) -> None:
        """Extend a lease by its lifetime.

        :raises EraChanged: if the store is in a later era.
        :raises LeaseGone: if it has expired.
        """

    async def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease and remove its keys."""

    async def write(
        self, key: str, value: bytes, *, lease: Lease, expected_revision: int
    ) -> int:
        """Write an item by compare-and-swap and return its new revision.

        ``expected_revision`` is 0 for a key that must not exist; otherwise it
        is of the era of the lease.

        :raises Conflict: if the key has another revision.
        :raises EraChanged: if the store is in a later era.
        :raises LeaseGone: if the lease has expired.
        """

    def close(self) -> None:
        """Close the connections."""


@attrs.frozen(kw_only=True)
class PlatformAdapter:
    """Functions that translate between platform messages and our types.

    ``config_key`` is the store key of the configuration document,
    ``evacuation_prefix`` starts the keys that name evacuated failure domains.
    """

    config_key: str
    evacuation_prefix: str
    decode_config: Callable[[bytes], Result[RoutingConfig, StepError]]
    read_caller_request: Callable[[HttpRequest], CallerRequest]
    has_key: Callable[[HttpRequest], bool]
    read_control_message: Callable[[HttpRequest], ControlMessage | None]
    make_backend_headers: Callable[[Headers, BackendFields], Headers]
    match_response: Callable[[HttpRequest, Headers], ResponseMatch]
    is_not_run: Callable[[HttpResponse], bool]
    is_genuine: Callable[[HttpResponse], bool]
    read_instance: Callable[[HttpResponse], str]
    read_cold_ms: Callable[[HttpResponse], int | None]
    make_refusal_response: Callable[[Refusal], HttpResponse]
