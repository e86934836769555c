"""Contexts of the requests that the local backend server is running.

A backend server receives only a random context identifier. Team, class,
deadline, retry budget and depth stay in the daemon, so that the backend server
can neither change nor renew them.
"""

import hashlib
from collections.abc import Callable

import attrs

from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.ticket import Ticket
from eelgrassweir.retries.budget import RetryBudget


@attrs.define
class ParentContext:
    """State of one request that its child calls inherit."""

    context: link_pb2.CallContext
    deadline_ms: float
    budget: RetryBudget
    # Called around each child call, whose time is excluded from the parent's.
    on_child_start: Callable[[], None]
    on_child_end: Callable[[], None]
    accepts_from: int = 0
    failed_children: set[bytes] = attrs.field(factory=set)
    maybe_run_children: set[bytes] = attrs.field(factory=set)
    child_tickets: dict[bytes, Ticket] = attrs.field(factory=dict)


class ContextTable:
    """Requests in progress by context identifier."""

    def __init__(self) -> None:
        self._parents: dict[str, ParentContext] = {}

    def __len__(self) -> int:
        return len(self._parents)

    def add(self, context_id: str, parent: ParentContext) -> None:
        """Accept child calls that carry ``context_id`` from now on."""
        self._parents[context_id] = parent

    def find(self, context_id: str) -> ParentContext | None:
        """Return the request in progress with this identifier, or None."""
        return self._parents.get(context_id)

    def remove(self, context_id: str) -> None:
        """End the context; later child calls of it are refused."""
        self._parents.pop(context_id, None)


def digest_child_call(
    method: str, path: str, body: bytes | bytearray, idempotency_key: str
) -> bytes:
    """Return the SHA-256 digest that identifies a child call of one parent.

    Repeated attempts of the same child call have the same digest.
    """
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), idempotency_key.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
