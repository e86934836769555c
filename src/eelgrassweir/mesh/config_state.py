"""Hold the configuration in force at this daemon."""

from collections.abc import Callable

from eliot import log_message
from returns.result import Failure, Result

from eelgrassweir.errors import StepError
from eelgrassweir.routing.rules import RoutingConfig


class ConfigState:
    """Decode configuration documents and keep the newest version.

    ``on_config`` is called with each configuration that comes into force.
    """

    def __init__(
        self,
        decode: Callable[[bytes], Result[RoutingConfig, StepError]],
        on_config: Callable[[RoutingConfig], None],
    ) -> None:
        self._decode = decode
        self._on_config = on_config
        self.current: RoutingConfig | None = None
        # Whether the store, restored from a copy, shows an older version than
        # the one in force. A withdrawal that this daemon has not seen may be
        # lost then too.
        self.is_store_behind = False

    def apply(self, payload: bytes, revision: int) -> None:
        """Put a document into force if it is valid and of a newer version."""
        result = self._decode(payload)
        if isinstance(result, Failure):
            error = result.failure()
            log_message(
                message_type="config:unreadable", revision=revision, reason=str(error)
            )
            return
        config = result.unwrap()
        if self.current is None or config.version >= self.current.version:
            self.is_store_behind = False
        if self.current is not None and config.version <= self.current.version:
            return
        self.current = config
        log_message(
            message_type="config:in_force", version=config.version, revision=revision
        )
        self._on_config(config)

    def expect_restored(self) -> None:
        """Take the store as behind until it shows the version in force.

        Called when the store has been restored from a copy, before what it
        shows is applied.
        """
        self.is_store_behind = self.current is not None
