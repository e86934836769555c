"""Interfaces through which the share service uses the rest of the daemon."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

import attrs
from returns.result import Result

from eelgrassweir.errors import StepError
from eelgrassweir.proto import control_pb2


class StoreValue(Protocol):
    """Value of one key in the store."""

    @property
    def value(self) -> str:
        """Return the text of the value."""

    @property
    def revision(self) -> int:
        """Return the revision of the last write of the key."""


class Store(Protocol):
    """Part of the store client that share holders use."""

    def get(self, key: str) -> Result[Any, StepError]:
        """Return the ``StoreValue`` of a key, or None if it is absent."""

    def put(
        self, key: str, value: str, *, expect_revision: int, lease_id: str = ""
    ) -> Result[int | None, StepError]:
        """Write by compare-and-swap; return None on a conflict.

        ``expect_revision`` is the revision of the last write, or 0 for an
        absent key. Returns the new revision. The key is deleted with the lease
        ``lease_id``, if one is given.
        """

    def delete(self, key: str, *, expect_revision: int) -> Result[bool, StepError]:
        """Delete by compare-and-swap; return whether the key was deleted."""

    def grant_lease(self, ttl_ms: int) -> Result[str, StepError]:
        """Return the id of a new lease of ``ttl_ms``."""

    def renew_lease(self, lease_id: str) -> Result[bool, StepError]:
        """Renew a lease; return False if it has lapsed."""

    def revoke_lease(self, lease_id: str) -> Result[Any, StepError]:
        """Revoke a lease and delete its keys."""


class TeamRate(Protocol):
    """Rate and burst of one team in the configuration."""

    @property
    def rate_per_s(self) -> float:
        """Return the rate of the team in calls per second."""

    @property
    def burst_calls(self) -> int:
        """Return the burst of the team in calls."""


class ShareConfig(Protocol):
    """Part of the configuration that share holders use."""

    @property
    def version(self) -> int:
        """Return the version of the configuration."""

    @property
    def teams(self) -> Mapping[str, Any]:
        """Return each team's ``TeamRate``."""

    @property
    def failure_domains(self) -> tuple[str, ...]:
        """Return the failure domains over which the rates are split."""


@attrs.frozen(kw_only=True)
class Successor:
    """Relay of the same failure domain that may be named as successor."""

    vm: str
    incarnation: str
    control_address: str

    def name(self) -> str:
        """Return the name (vm/incarnation) that the record holds."""
        return f"{self.vm}/{self.incarnation}"


SendPromise = Callable[
    [str, control_pb2.PromiseRequest],
    Awaitable[Result[control_pb2.PromiseReply, StepError]],
]
