"""Bound the connections of a listener by the descriptors of the process."""

import resource

import attrs

# Descriptors of a process whose number is not limited.
UNLIMITED_DESCRIPTORS = 65_536


@attrs.define(eq=False)
class ConnectionLimit:
    """Connections of one listener, from their acceptance to their close.

    They may take ``percent`` of the descriptors, and at most
    ``max_connections``. Some more are accepted, so that the server can end
    others for them.
    """

    percent: int
    max_connections: int
    spare_connections: int = 16
    open_connections: int = 0

    def get_limit(self) -> int:
        """Return the number of connections that may stay open."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            descriptors = UNLIMITED_DESCRIPTORS
        return min(self.max_connections, descriptors * self.percent // 100)

    def has_room(self) -> bool:
        """Return whether another connection may be accepted."""
        return self.open_connections < self.get_limit() + self.spare_connections

    def record_open(self) -> None:
        """Count a connection."""
        self.open_connections += 1

    def record_close(self) -> None:
        """Stop counting a connection."""
        self.open_connections = max(0, self.open_connections - 1)
