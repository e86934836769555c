"""Know whether the local backend server is cold, and bound what it is sent.

``target`` asks before it accepts and before it sends a request.
"""

import math
from collections.abc import Callable

from eliot import log_message

from eelgrassweir.admission.cold_bound import ColdLimits, SendWindow, compute_limits
from eelgrassweir.clock import Clock
from eelgrassweir.mesh.backend import BackendTracker
from eelgrassweir.proto import link_pb2

COLD_MESSAGE_TYPE = "target:cold"
# A backend server without requests for this time may have become cold. Its
# heartbeats come every 1.5 s.
PAUSE_MS = 3_000.0
# A request that waited longer for its connection counts again when it is sent.
MAX_CONNECT_MS = 50.0


class ColdTarget:
    """Bound the requests to the local backend server while it is cold.

    It counts as cold for the time that it announces, while its state is not
    known, and after a pause until its next heartbeat. ``get_per_s`` returns
    the rate that a cold target of a service tolerates, 0 for no bound.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        backend: BackendTracker,
        get_per_s: Callable[[str], float],
        overage: float,
        slack_calls: float,
    ) -> None:
        self._clock = clock
        self._backend = backend
        self._get_per_s = get_per_s
        self._overage = overage
        self._slack_calls = slack_calls
        self._window = SendWindow()
        self._last_sent_ms = clock.now_ms()
        # Announcements up to this time tell nothing of the present state.
        self._unknown_since_ms = -math.inf
        self._was_cold = False
        self._open_calls = 0

    def require_heartbeat(self) -> None:
        """Take the target as cold until its next heartbeat."""
        self._unknown_since_ms = self._clock.now_ms()

    def has_room(self) -> bool:
        """Return whether one more request may be sent now."""
        return self._has_room(self._update())

    def take(self) -> bool:
        """Count a request that is sent now; return False if it must not be.

        ``release`` must be called at the end of a request that is sent.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_sent_ms >= PAUSE_MS:
            self._unknown_since_ms = now_ms
        if not self.has_room():
            return False
        self._record(now_ms)
        self._open_calls += 1
        return True

    def release(self) -> None:
        """End a request that was sent."""
        self._open_calls -= 1

    def count_late(self, counted_ms: float) -> bool:
        """Count a request again that is sent long after ``take``.

        Return False if it must not be sent any more.
        """
        now_ms = self._clock.now_ms()
        if now_ms - counted_ms <= MAX_CONNECT_MS:
            return True
        if self._update() is not None and not self._window.has_room(now_ms):
            return False
        self._record(now_ms)
        return True

    def limit_load(self, load: link_pb2.Load) -> None:
        """Show in a load report how little a cold target accepts."""
        limits = self._update()
        if limits is None:
            return
        load.limit = min(load.limit, max(1, limits.sent_calls))
        if not self._has_room(limits):
            load.queued += load.limit

    def state(self) -> dict[str, object]:
        """Return the state for the dump."""
        limits = self._update()
        return {
            "is_cold": limits is not None,
            "limit_calls": limits.sent_calls if limits else None,
            "open_calls": self._open_calls,
            "has_room": self._has_room(limits),
        }

    def _has_room(self, limits: ColdLimits | None) -> bool:
        if limits is None:
            return True
        if self._open_calls >= limits.open_calls:
            return False
        return self._window.has_room(self._clock.now_ms())

    def _record(self, now_ms: float) -> None:
        self._last_sent_ms = now_ms
        self._window.record(now_ms)

    def _update(self) -> ColdLimits | None:
        """Return the limits in force, None without any."""
        announcement = self._backend.announcement
        per_s = self._get_per_s(announcement.service) if announcement else 0.0
        if per_s <= 0:
            return None
        limits = compute_limits(per_s, self._overage, self._slack_calls)
        self._window.set_limit(limits.sent_calls)
        is_cold = self._is_cold()
        if is_cold != self._was_cold:
            self._was_cold = is_cold
            self._log(is_cold, limits.sent_calls)
        return limits if is_cold else None

    def _is_cold(self) -> bool:
        announcement = self._backend.announcement
        if announcement is None or announcement.cold_ms is None:
            return True
        announced_ms = self._backend.announced_ms
        if announced_ms <= self._unknown_since_ms:
            return True
        return self._clock.now_ms() < announced_ms + announcement.cold_ms

    def _log(self, is_cold: bool, limit_calls: int) -> None:
        announcement = self._backend.announcement
        assert announcement is not None
        now_ms = self._clock.now_ms()
        log_message(
            message_type=COLD_MESSAGE_TYPE,
            instance=announcement.instance,
            is_cold=is_cold,
            cold_ms=announcement.cold_ms,
            announced_age_ms=round(now_ms - self._backend.announced_ms),
            is_state_unknown=self._backend.announced_ms <= self._unknown_since_ms,
            limit_calls=limit_calls,
        )
