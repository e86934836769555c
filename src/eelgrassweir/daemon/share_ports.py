"""What the share service needs from the rest of the daemon."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

import attrs
from returns.result import Result

from eelgrassweir.errors import StepError
from eelgrassweir.proto import control_pb2


class StoreValue(Protocol):
    """Value of one key."""

    @property
    def value(self) -> str:
        """Return the text of the value."""

    @property
    def revision(self) -> int:
        """Return the revision of the last write of the key."""


class Store(Protocol):
    """Part of the store client that share holders use."""

    def get(self, key: str) -> Result[Any, StepError]:
        """Return the ``StoreValue`` of a key, or None."""

    def put(
        self, key: str, value: str, *, expect_revision: int, lease_id: str = ""
    ) -> Result[int | None, StepError]:
        """Write by compare-and-swap; None for a conflict."""

    def delete(self, key: str, *, expect_revision: int) -> Result[bool, StepError]:
        """Delete by compare-and-swap."""

    def grant_lease(self, ttl_ms: int) -> Result[str, StepError]:
        """Return the id of a new lease."""

    def renew_lease(self, lease_id: str) -> Result[bool, StepError]:
        """Renew a lease; False when it has lapsed."""

    def revoke_lease(self, lease_id: str) -> Result[Any, StepError]:
        """End a lease and delete its keys."""


class TeamPart(Protocol):
    """Rate and burst of one team in the configuration."""

    @property
    def rate_per_s(self) -> float:
        """Return the rate of the team in calls per second."""

    @property
    def burst_calls(self) -> int:
        """Return the burst of the team."""


class ShareConfig(Protocol):
    """Part of the configuration that share holders use."""

    @property
    def version(self) -> int:
        """Return the version of the configuration."""

    @property
    def teams(self) -> Mapping[str, Any]:
        """Return each team's ``TeamPart``."""

    @property
    def failure_domains(self) -> tuple[str, ...]:
        """Return the failure domains that share the rates."""


@attrs.frozen(kw_only=True)
class Successor:
    """Relay of the same failure domain that may be named as successor."""

    vm: str
    incarnation: str
    control_address: str

    def name(self) -> str:
        """Return vm and incarnation, as written in the record."""
        return f"{self.vm}/{self.incarnation}"


SendPromise = Callable[
    [str, control_pb2.PromiseRequest],
    Awaitable[Result[control_pb2.PromiseReply, StepError]],
]
