"""The backend server beside a daemon, as it announces itself."""

import enum
from collections.abc import Callable

import attrs
from eliot import log_message

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_client import BackendClient
from eelgrassweir.requests.calls import Announcement, Deregistration

# Other daemons learn of a leave within milliseconds. What they sent before is
# taken for this share of the time allowed, then refused as not run.
ACCEPT_DRAIN_SHARE = 0.5
# Nothing is passed on after this share, whatever has waited in the queue.
SEND_DRAIN_SHARE = 0.85
# Announcements may be seconds late; a crash shows in the connections first.
MAX_ANNOUNCEMENT_AGE_MS = 12_000.0


class BackendChange(enum.Enum):
    """Say what an announcement changed."""

    NOTHING = "nothing"
    STATE = "state"
    INSTANCE = "instance"


class LocalBackend:
    """Know the newest incarnation of the backend server and when it leaves."""

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
        """Take an announcement unless it is older than what is known."""
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

    def apply_deregistration(self, leave: Deregistration) -> BackendChange:
        """Note that the backend server exits."""
        known = self.announcement
        if known is None or known.instance != leave.instance:
            return BackendChange.NOTHING
        start_ms = leave.started_wall_ms
        if start_ms is not None and start_ms != known.started_wall_ms:
            return BackendChange.NOTHING
        if self._leaving_since_ms is not None:
            return BackendChange.NOTHING
        self._leaving_since_ms = self._clock.now_ms()
        return BackendChange.STATE

    @property
    def is_leaving(self) -> bool:
        """Return whether the backend server has said that it leaves."""
        return self._leaving_since_ms is not None

    def is_present(self) -> bool:
        """Return whether a backend server announced itself lately."""
        if self.announcement is None:
            return False
        return self._clock.now_ms() - self._announced_ms <= MAX_ANNOUNCEMENT_AGE_MS

    def accepts_new_requests(self) -> bool:
        """Return whether new requests may wait for the backend server."""
        return self.is_present() and self._is_within_drain_share(ACCEPT_DRAIN_SHARE)

    def can_send(self) -> bool:
        """Return whether a request may be passed on now."""
        return self.announcement is not None and self._is_within_drain_share(
            SEND_DRAIN_SHARE
        )

    def state(self) -> dict[str, object]:
        """Return what is known of the backend server, for the dump."""
        return {
            "announcement": attrs.asdict(self.announcement)
            if self.announcement
            else None,
            "heard_age_ms": self._clock.now_ms() - self._announced_ms,
            "is_leaving": self.is_leaving,
            "takes_new": self.accepts_new_requests(),
        }

    def close(self) -> None:
        """Close the connections."""
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
    """Tell whether another, later start announces itself."""
    return announcement.started_wall_ms > known.started_wall_ms
