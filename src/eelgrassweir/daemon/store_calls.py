"""Store calls off the event loop, counted by kind."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from returns.result import Result, Success

from eelgrassweir.daemon.control_metrics import ControlMetrics
from eelgrassweir.errors import StepError

T = TypeVar("T")


class StoreValue(Protocol):
    """Describe a value read from the store."""

    @property
    def value(self) -> str:
        """Return the text stored."""

    @property
    def revision(self) -> int:
        """Return the revision of the write."""


class Store(Protocol):
    """Describe what the control plane uses of the store client."""

    def get(self, key: str) -> Result[Any, StepError]:
        """Read one key."""

    def list(self, prefix: str) -> Result[dict[str, Any], StepError]:
        """Read all keys under a prefix."""

    def put(
        self, key: str, value: str, *, expect_revision: int, lease_id: str = ""
    ) -> Result[int | None, StepError]:
        """Write a key if it has the expected revision."""

    def delete(self, key: str, *, expect_revision: int) -> Result[bool, StepError]:
        """Delete a key if it has the expected revision."""

    def grant_lease(self, ttl_ms: int) -> Result[str, StepError]:
        """Make a lease."""

    def renew_lease(self, lease_id: str) -> Result[bool, StepError]:
        """Extend a lease; False if it has lapsed."""

    def revoke_lease(self, lease_id: str) -> Result[bool, StepError]:
        """End a lease."""

    def watch(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> Result[int, StepError]:
        """Wait for a change under a prefix."""


class StoreCalls:
    """Run calls of the synchronous client in threads and count them."""

    def __init__(self, store: Store, metrics: ControlMetrics) -> None:
        self._store = store
        self._metrics = metrics

    async def get(self, key: str) -> Result[StoreValue | None, StepError]:
        """Read one key."""
        return await self._run("get", lambda: self._store.get(key))

    async def list(self, prefix: str) -> Result[dict[str, StoreValue], StepError]:
        """Read all keys under a prefix."""
        return await self._run("list", lambda: self._store.list(prefix))

    async def put(
        self, key: str, value: str, expect_revision: int, lease_id: str = ""
    ) -> Result[int | None, StepError]:
        """Write a key if it has the expected revision."""
        return await self._run(
            "put",
            lambda: self._store.put(
                key, value, expect_revision=expect_revision, lease_id=lease_id
            ),
        )

    async def grant_lease(self, ttl_ms: int) -> Result[str, StepError]:
        """Make a lease."""
        return await self._run("lease", lambda: self._store.grant_lease(ttl_ms))

    async def renew_lease(self, lease_id: str) -> Result[bool, StepError]:
        """Extend a lease; False if it has lapsed."""
        return await self._run("renew", lambda: self._store.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: str) -> Result[bool, StepError]:
        """End a lease."""
        return await self._run("revoke", lambda: self._store.revoke_lease(lease_id))

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Result[int, StepError]:
        """Wait for a change under a prefix."""
        return await self._run(
            "watch",
            lambda: self._store.watch(
                prefix, after_revision=after_revision, wait_ms=wait_ms
            ),
        )

    async def _run(
        self, kind: str, call: Callable[[], Result[T, StepError]]
    ) -> Result[T, StepError]:
        result = await asyncio.to_thread(call)
        outcome = "ok" if isinstance(result, Success) else "failed"
        self._metrics.store_calls.labels(kind, outcome).inc()
        return result
