"""Track the local backend server by its announcements.

Used by ``RequestPath``; ``target`` sends requests to its client.
"""

import attrs

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.held_bytes import HeldBytes
from eelgrassweir.daemon.http_client import BackendClient
from eelgrassweir.daemon.parse_turns import ParseTurns


@attrs.frozen(kw_only=True)
class Announcement:
    """Announcement of a backend server.

    ``slots`` is the number of requests that it can run at a time, and
    ``address`` is ``IP:PORT``.
    """

    service: str
    address: str
    slots: int
    is_draining: bool


class LocalBackend:
    """Newest announcement of the backend server and the client for it."""

    def __init__(
        self,
        *,
        clock: Clock,
        ttl_ms: int,
        body_limit_bytes: int,
        held: HeldBytes | None = None,
        parse_turns: ParseTurns | None = None,
    ) -> None:
        self._held = held
        self._parse_turns = parse_turns
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._body_limit_bytes = body_limit_bytes
        self._announced_ms = 0.0
        self.announcement: Announcement | None = None
        self.client: BackendClient | None = None

    def announce(self, announcement: Announcement) -> None:
        """Record an announcement; a new address gets a new client."""
        self._announced_ms = self._clock.now_ms()
        self.announcement = announcement
        if self.client is not None and self.client.address == announcement.address:
            return
        if self.client is not None:
            self.client.close()
        self.client = BackendClient(
            announcement.address,
            clock=self._clock,
            body_limit_bytes=self._body_limit_bytes,
            held=self._held,
            parse_turns=self._parse_turns,
        )

    def is_present(self) -> bool:
        """Return whether the last announcement has not expired."""
        age_ms = self._clock.now_ms() - self._announced_ms
        return self.announcement is not None and age_ms <= self._ttl_ms

    def close(self) -> None:
        """Close the connections to the backend server."""
        if self.client is not None:
            self.client.close()
