"""Track the local backend server by its announcements.

``control`` applies the messages; ``target`` uses the state for admission.
"""

import enum
import math
from collections.abc import Callable

import attrs
from eliot import log_message

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_client import BackendClient
from eelgrassweir.requests.calls import (
    UNKNOWN_START_WALL_MS,
    Announcement,
    Deregistration,
)

# Other daemons learn within milliseconds that a backend server leaves.
# Requests that they sent before are accepted for this share of the drain time,
# then refused as "not run".
ACCEPT_DRAIN_SHARE = 0.5
# Queued requests are not passed on after this share of the drain time.
SEND_DRAIN_SHARE = 0.85
# Announcements may be seconds late. A crash is detected earlier, by failing
# connections.
MAX_ANNOUNCEMENT_AGE_MS = 12_000.0
# A start later than this from now is not that of a process on this VM. It
# would outrank every later one.
MAX_START_AHEAD_MS = 3_600_000
# Backend servers whose leave is remembered. One runs on a VM at a time, and
# its announcements may arrive seconds after it has left.
MAX_LEAVES = 16


class BackendChange(enum.Enum):
    """Effect of a message of the backend server on its known state."""

    NOTHING = "nothing"
    STATE = "state"
    INSTANCE = "instance"


@attrs.frozen(kw_only=True)
class Leave:
    """Leave of an instance: of all its starts up to the given one.

    ``since_ms`` is the time of its acknowledgement, or ``-math.inf`` if this
    process accepted no request for that start.
    """

    instance: str
    latest_started_wall_ms: int
    since_ms: float

    def covers(self, announcement: Announcement) -> bool:
        """Return whether the announcement is of a start that leaves."""
        return (
            announcement.instance == self.instance
            and announcement.started_wall_ms <= self.latest_started_wall_ms
        )


class BackendTracker:
    """Track the newest instance of the backend server and its drain.

    A leave stays in force whatever is announced later for the same start, and
    also if it arrives before that start is known. ``drain_ms`` is the time
    after the acknowledgement of a drain or deregistration in which requests
    may still reach the backend server.
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
        # Arrival of the announcement.
        self.announced_ms = 0.0
        # By instance, the oldest first.
        self._leaves: dict[str, Leave] = {}
        self.announcement: Announcement | None = None
        self.client: BackendClient | None = None
        # While the leaves that an earlier process acknowledged are not known
        # yet, no requests are passed on.
        self.is_recovering = False

    def is_plausible_start(self, started_wall_ms: int) -> bool:
        """Return whether a backend server can have started at this time."""
        return started_wall_ms <= self._clock.wall_ms() + MAX_START_AHEAD_MS

    def apply_announcement(self, announcement: Announcement) -> BackendChange:
        """Apply an announcement, unless it is older than the known one."""
        known = self.announcement
        was_leaving = self.is_leaving
        if announcement.is_draining:
            self._record_leave(announcement.instance, announcement.started_wall_ms)
        if known is None or _is_later_start(announcement, known):
            self._replace_instance(announcement)
            return BackendChange.INSTANCE
        is_changed = self.is_leaving != was_leaving
        is_same_start = _is_same_start(announcement, known)
        if is_same_start and announcement.sequence > known.sequence:
            is_changed |= announcement.slots != known.slots
            self.announcement = announcement
            self.announced_ms = self._clock.now_ms()
        return BackendChange.STATE if is_changed else BackendChange.NOTHING

    def apply_deregistration(self, deregistration: Deregistration) -> BackendChange:
        """Start the drain of the instance that the message names."""
        was_leaving = self.is_leaving
        self._record_leave(deregistration.instance, deregistration.started_wall_ms)
        if self.is_leaving != was_leaving:
            return BackendChange.STATE
        return BackendChange.NOTHING

    def restore_leave(self, instance: str, latest_started_wall_ms: int) -> None:
        """Apply a leave that an earlier daemon process acknowledged."""
        self._add_leave(
            Leave(
                instance=instance,
                latest_started_wall_ms=latest_started_wall_ms,
                since_ms=-math.inf,
            )
        )

    @property
    def leave(self) -> Leave | None:
        """Return the leave of the known start, None if it does not leave."""
        if self.announcement is None:
            return None
        leave = self._leaves.get(self.announcement.instance)
        return leave if leave and leave.covers(self.announcement) else None

    @property
    def latest_leave(self) -> Leave | None:
        """Return the leave recorded last, None if there is none."""
        return next(reversed(self._leaves.values()), None)

    def find_leave(self, instance: str) -> Leave | None:
        """Return the leave of an instance, None if it has not left."""
        return self._leaves.get(instance)

    @property
    def is_leaving(self) -> bool:
        """Return whether the backend server is draining."""
        return self.leave is not None

    def is_present(self) -> bool:
        """Return whether the last announcement is recent enough."""
        if self.announcement is None:
            return False
        return self._clock.now_ms() - self.announced_ms <= MAX_ANNOUNCEMENT_AGE_MS

    def accepts_new_requests(self) -> bool:
        """Return whether new requests may be queued."""
        if self.is_recovering or not self.is_present():
            return False
        return self._is_within_drain_share(ACCEPT_DRAIN_SHARE)

    def can_send(self) -> bool:
        """Return whether a queued request may be sent now."""
        if self.is_recovering or self.announcement is None:
            return False
        return self._is_within_drain_share(SEND_DRAIN_SHARE)

    def state(self) -> dict[str, object]:
        """Return the state of the backend server for the state dump."""
        return {
            "announcement": attrs.asdict(self.announcement)
            if self.announcement
            else None,
            "heard_age_ms": self._clock.now_ms() - self.announced_ms,
            "is_leaving": self.is_leaving,
            "takes_new": self.accepts_new_requests(),
        }

    def close(self) -> None:
        """Close the connections to the backend server."""
        if self.client is not None:
            self.client.close()

    def _is_within_drain_share(self, share: float) -> bool:
        leave = self.leave
        if leave is None:
            return True
        return self._clock.now_ms() - leave.since_ms < self._drain_ms * share

    def _record_leave(self, instance: str, started_wall_ms: int | None) -> None:
        """Record a leave; without a start it covers all starts so far."""
        is_known_start = self._is_known_start(instance, started_wall_ms)
        if is_known_start and self.is_leaving:
            return
        if started_wall_ms is None:
            started_wall_ms = self._latest_start_so_far(instance)
        self._add_leave(
            Leave(
                instance=instance,
                latest_started_wall_ms=started_wall_ms,
                since_ms=self._clock.now_ms() if is_known_start else -math.inf,
            )
        )

    def _is_known_start(self, instance: str, started_wall_ms: int | None) -> bool:
        known = self.announcement
        if known is None or known.instance != instance:
            return False
        if started_wall_ms is None or known.started_wall_ms == UNKNOWN_START_WALL_MS:
            return True
        return known.started_wall_ms == started_wall_ms

    def _latest_start_so_far(self, instance: str) -> int:
        known = self.announcement
        if known is None or known.instance != instance:
            return self._clock.wall_ms()
        # The wall clock may have been set back since that start.
        return max(self._clock.wall_ms(), known.started_wall_ms)

    def _add_leave(self, leave: Leave) -> None:
        earlier = self._leaves.get(leave.instance)
        if earlier and earlier.latest_started_wall_ms >= leave.latest_started_wall_ms:
            return
        self._leaves.pop(leave.instance, None)
        self._leaves[leave.instance] = leave
        if len(self._leaves) > MAX_LEAVES:
            del self._leaves[next(iter(self._leaves))]

    def _replace_instance(self, announcement: Announcement) -> None:
        self.close()
        self.client = self._connect(announcement.address)
        self.announcement = announcement
        self.announced_ms = self._clock.now_ms()
        log_message(
            message_type="backend:announced",
            instance=announcement.instance,
            service=announcement.service,
            slots=announcement.slots,
            started_wall_ms=announcement.started_wall_ms,
            sequence=announcement.sequence,
            is_leaving=self.is_leaving,
        )


def _is_same_start(announcement: Announcement, known: Announcement) -> bool:
    return (
        announcement.instance == known.instance
        and announcement.started_wall_ms == known.started_wall_ms
    )


def _is_later_start(announcement: Announcement, known: Announcement) -> bool:
    """Return whether the announcement is of a later process start."""
    return announcement.started_wall_ms > known.started_wall_ms
