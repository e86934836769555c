"""Store calls for the event loop, counted by method and outcome."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

from returns.result import Result, Success

from eelgrassweir.daemon.control_metrics import ControlMetrics
from eelgrassweir.errors import StepError
from eelgrassweir.store.client import StoreClient, Value

T = TypeVar("T")

COUNTED_METHODS = (
    "get",
    "list",
    "put",
    "delete",
    "grant_lease",
    "renew_lease",
    "revoke_lease",
    "watch",
)


class CountedStore:
    """Forward calls to the store client and count them."""

    def __init__(self, store: StoreClient, metrics: ControlMetrics) -> None:
        self._store = store
        self._metrics = metrics

    def __getattr__(self, name: str) -> Any:
        """Return the method of the client, wrapped to count its calls."""
        method = getattr(self._store, name)
        if name not in COUNTED_METHODS:
            return method

        def call(*values: Any, **named: Any) -> Any:
            result = method(*values, **named)
            outcome = "ok" if isinstance(result, Success) else "failed"
            self._metrics.store_calls.labels(name, outcome).inc()
            return result

        return call


class AsyncStoreClient:
    """Run the blocking calls of the store client in threads."""

    def __init__(self, store: StoreClient, metrics: ControlMetrics) -> None:
        self.counted: Any = CountedStore(store, metrics)

    async def get(self, key: str) -> Result[Value | None, StepError]:
        """Read one key."""
        return await _run(lambda: self.counted.get(key))

    async def list(self, prefix: str) -> Result[dict[str, Value], StepError]:
        """Read all keys under a prefix."""
        return await _run(lambda: self.counted.list(prefix))

    async def put(
        self, key: str, value: str, expect_revision: int, lease_id: str = ""
    ) -> Result[int | None, StepError]:
        """Write a key if it has the expected revision (compare-and-swap).

        The result is the new revision, or None if another one was found.
        """
        return await _run(
            lambda: self.counted.put(
                key, value, expect_revision=expect_revision, lease_id=lease_id
            )
        )

    async def grant_lease(self, ttl_ms: int) -> Result[str, StepError]:
        """Grant a lease; return its id."""
        return await _run(lambda: self.counted.grant_lease(ttl_ms))

    async def renew_lease(self, lease_id: str) -> Result[bool, StepError]:
        """Renew a lease; the result is False if it has expired."""
        return await _run(lambda: self.counted.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: str) -> Result[bool, StepError]:
        """Revoke a lease, which deletes its keys."""
        return await _run(lambda: self.counted.revoke_lease(lease_id))

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Result[int, StepError]:
        """Wait for a change under a prefix; return its newest revision."""
        return await _run(
            lambda: self.counted.watch(
                prefix, after_revision=after_revision, wait_ms=wait_ms
            )
        )


async def _run(call: Callable[[], Result[T, StepError]]) -> Result[T, StepError]:
    return await asyncio.to_thread(call)
