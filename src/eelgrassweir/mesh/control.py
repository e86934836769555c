"""Handle control messages of the local backend server and of the platform."""

import json
from collections.abc import Awaitable, Callable

from eliot import log_message

from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.mesh.adapter import PlatformAdapter
from eelgrassweir.mesh.backend import BackendChange, BackendTracker
from eelgrassweir.requests.calls import (
    Announcement,
    ControlMessage,
    Deregistration,
    MalformedMessage,
    ReadinessCheck,
)


class ControlService:
    """Apply announcements and deregistrations; answer readiness checks.

    ``on_backend_change`` is called if a message changed the known state,
    ``store_leave`` before a leave is acknowledged.
    """

    def __init__(
        self,
        *,
        adapter: PlatformAdapter,
        backend: BackendTracker,
        on_backend_change: Callable[[], None],
        store_leave: Callable[[], Awaitable[None]],
        is_ready: Callable[[], bool],
    ) -> None:
        self._adapter = adapter
        self._backend = backend
        self._on_backend_change = on_backend_change
        self._store_leave = store_leave
        self._is_ready = is_ready

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one message; status 200 acknowledges it."""
        message = self._check_start(self._adapter.read_control_message(request))
        if isinstance(message, ReadinessCheck):
            return _make_response(200 if self._is_ready() else 503)
        if isinstance(message, Announcement):
            await self._report_change(
                self._backend.apply_announcement(message), message
            )
            return _make_response(200)
        if isinstance(message, Deregistration):
            await self._report_change(
                self._backend.apply_deregistration(message), message
            )
            return _make_response(200)
        if isinstance(message, MalformedMessage):
            log_message(message_type="backend:malformed", reason=message.reason)
            return _make_response(400, message.reason)
        return _make_response(404, "no such path")

    def _check_start(self, message: ControlMessage | None) -> ControlMessage | None:
        """Return the message, as malformed if its start is in the future."""
        if isinstance(message, Announcement | Deregistration):
            started_wall_ms = message.started_wall_ms or 0
            if not self._backend.is_plausible_start(started_wall_ms):
                return MalformedMessage("start in the future")
        return message

    async def _report_change(
        self, change: BackendChange, message: Announcement | Deregistration
    ) -> None:
        if change is BackendChange.NOTHING:
            self._log_remembered(message)
            return
        log_message(
            message_type="backend:changed",
            instance=message.instance,
            change=change.value,
            is_leaving=self._backend.is_leaving,
        )
        self._on_backend_change()
        if self._backend.is_leaving:
            await self._store_leave()

    def _log_remembered(self, message: Announcement | Deregistration) -> None:
        """Log a leave of a start that is not the known one."""
        if isinstance(message, Announcement) and not message.is_draining:
            return
        known = self._backend.announcement
        if known and known.instance == message.instance and self._backend.is_leaving:
            return
        log_message(
            message_type="backend:leave_remembered",
            instance=message.instance,
            started_wall_ms=message.started_wall_ms,
            known_instance=known.instance if known else None,
            known_started_wall_ms=known.started_wall_ms if known else None,
        )


def _make_response(status: int, reason: str = "") -> HttpResponse:
    body = json.dumps({"reason": reason}).encode() if reason else b"{}"
    return HttpResponse(status, (("Content-Type", "application/json"),), body)
