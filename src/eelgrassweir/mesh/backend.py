"""Track the local backend server by its announcements.

``control`` applies the messages; ``target`` uses the state for admission.
"""

import enum
from collections.abc import Callable

import attrs
from eliot import log_message

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_client import BackendClient
from eelgrassweir.requests.calls import Announcement, Deregistration

# Other daemons learn within milliseconds that a backend server leaves.
# Requests that they sent before are accepted for this share of the drain time,
# then refused as "not run".
ACCEPT_DRAIN_SHARE = 0.5
# Queued requests are not passed on after this share of the drain time.
SEND_DRAIN_SHARE = 0.85
# Announcements may be seconds late. A crash is detected earlier, by failing
# connections.
MAX_ANNOUNCEMENT_AGE_MS = 12_000.0


class BackendChange(enum.Enum):
    """Effect of a message of the backend server on its known state."""

    NOTHING = "nothing"
    STATE = "state"
    INSTANCE = "instance"


class BackendTracker:
    """Track the newest instance of the backend server and its drain.

    ``drain_ms`` is the time after the acknowledgement of a drain or
    deregistration in which requests may still reach the backend server.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        drain_ms: float,
        connect: Callable[[str], BackendClient],
    ) -> None:
        self._clock = clock
        self._drain_ms = drain_ms
        self._connect = connect
        self._announced_ms = 0.0
        self._leaving_since_ms: float | None = None
        self.announcement: Announcement | None = None
        self.client: BackendClient | None = None

    def apply_announcement(self, announcement: Announcement) -> BackendChange:
        """Apply an announcement, unless it is older than the known one."""
        known = self.announcement
        now_ms = self._clock.now_ms()
        if known is None or _is_later_start(announcement, known):
            self._replace_instance(announcement, now_ms)
            return BackendChange.INSTANCE
        if not _is_same_start(announcement, known):
            return BackendChange.NOTHING
        if announcement.sequence <= known.sequence:
            return BackendChange.NOTHING
        self.announcement = announcement
        self._announced_ms = now_ms
        if announcement.is_draining and self._leaving_since_ms is None:
            self._leaving_since_ms = now_ms
            return BackendChange.STATE
        if known.slots != announcement.slots:
            return BackendChange.STATE
        return BackendChange.NOTHING

    def apply_deregistration(self, deregistration: Deregistration) -> BackendChange:
        """Start the drain of the instance that the message names."""
        known = self.announcement
        if known is None or known.instance != deregistration.instance:
            return BackendChange.NOTHING
        start_ms = deregistration.started_wall_ms
        if start_ms is not None and start_ms != known.started_wall_ms:
            return BackendChange.NOTHING
        if self._leaving_since_ms is not None:
            return BackendChange.NOTHING
        self._leaving_since_ms = self._clock.now_ms()
        return BackendChange.STATE

    @property
    def is_leaving(self) -> bool:
        """Return whether the backend server is draining."""
        return self._leaving_since_ms is not None

    def is_present(self) -> bool:
        """Return whether the last announcement is recent enough."""
        if self.announcement is None:
            return False
        return self._clock.now_ms() - self._announced_ms <= MAX_ANNOUNCEMENT_AGE_MS

    def accepts_new_requests(self) -> bool:
        """Return whether new requests may be queued."""
        return self.is_present() and self._is_within_drain_share(ACCEPT_DRAIN_SHARE)

    def can_send(self) -> bool:
        """Return whether a queued request may be sent now."""
        return self.announcement is not None and self._is_within_drain_share(
            SEND_DRAIN_SHARE
        )

    def state(self) -> dict[str, object]:
        """Return the state of the backend server for the state dump."""
        return {
            "announcement": attrs.asdict(self.announcement)
            if self.announcement
            else None,
            "heard_age_ms": self._clock.now_ms() - self._announced_ms,
            "is_leaving": self.is_leaving,
            "takes_new": self.accepts_new_requests(),
        }

    def close(self) -> None:
        """Close the connections to the backend server."""
        if self.client is not None:
            self.client.close()

    def _is_within_drain_share(self, share: float) -> bool:
        if self._leaving_since_ms is None:
            return True
        leaving_ms = self._clock.now_ms() - self._leaving_since_ms
        return leaving_ms < self._drain_ms * share

    def _replace_instance(self, announcement: Announcement, now_ms: float) -> None:
        self.close()
        self.client = self._connect(announcement.address)
        self.announcement = announcement
        self._announced_ms = now_ms
        self._leaving_since_ms = now_ms if announcement.is_draining else None
        log_message(
            message_type="backend:announced",
            instance=announcement.instance,
            service=announcement.service,
            slots=announcement.slots,
            started_wall_ms=announcement.started_wall_ms,
        )


def _is_same_start(announcement: Announcement, known: Announcement) -> bool:
    return (
        announcement.instance == known.instance
        and announcement.started_wall_ms == known.started_wall_ms
    )


def _is_later_start(announcement: Announcement, known: Announcement) -> bool:
    """Return whether the announcement is of a later process start."""
    return announcement.started_wall_ms > known.started_wall_ms
