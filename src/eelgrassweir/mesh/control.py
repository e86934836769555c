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

    ``on_backend_change`` is called if a message changed the known state. A
    leave is acknowledged only if ``keep_leave`` returns that the next process
    of this VM will know of it; it takes the instance. ``is_named_service``
    returns whether the settings or the configuration name a service.
    """

    def __init__(
        self,
        *,
        adapter: PlatformAdapter,
        backend: BackendTracker,
        on_backend_change: Callable[[], None],
        keep_leave: Callable[[str], Awaitable[bool]],
        is_ready: Callable[[], bool],
        is_named_service: Callable[[str], bool],
    ) -> None:
        self._adapter = adapter
        self._backend = backend
        self._on_backend_change = on_backend_change
        self._keep_leave = keep_leave
        self._is_ready = is_ready
        self._is_named_service = is_named_service

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one message; status 200 acknowledges it."""
        message = self._check(self._adapter.read_control_message(request))
        if isinstance(message, ReadinessCheck):
            return _make_response(200 if self._is_ready() else 503)
        if isinstance(message, Announcement):
            self._report_change(self._backend.apply_announcement(message), message)
            return await self._acknowledge(message, message.is_draining)
        if isinstance(message, Deregistration):
            self._report_change(self._backend.apply_deregistration(message), message)
            return await self._acknowledge(message, True)
        if isinstance(message, MalformedMessage):
            log_message(message_type="backend:malformed", reason=message.reason)
            return _make_response(400, message.reason)
        return _make_response(404, "no such path")

    def _check(self, message: ControlMessage | None) -> ControlMessage | None:
        """Return the message, as malformed if it is of another writer.

        Its start may be later than that of the backend server of this VM, and
        would outrank all announcements of that server.
        """
        if isinstance(message, Announcement | Deregistration):
            started_wall_ms = message.started_wall_ms or 0
            if not self._backend.is_plausible_start(started_wall_ms):
                return MalformedMessage("start in the future")
        if not isinstance(message, Announcement):
            return message
        if not self._is_named_service(message.service):
            return MalformedMessage("service that is not named")
        return message

    async def _acknowledge(
        self, message: Announcement | Deregistration, is_leave: bool
    ) -> HttpResponse:
        """Acknowledge a message, unless it is a leave that may be lost."""
        if not is_leave or await self._keep_leave(message.instance):
            return _make_response(200)
        log_message(
            message_type="backend:leave_unacknowledged", instance=message.instance
        )
        return _make_response(503, "the leave cannot be stored now")

    def _report_change(
        self, change: BackendChange, message: Announcement | Deregistration
    ) -> None:
        if change is BackendChange.NOTHING:
            self._report_remembered(message)
            return
        log_message(
            message_type="backend:changed",
            instance=message.instance,
            change=change.value,
            is_leaving=self._backend.is_leaving,
        )
        self._on_backend_change()

    def _report_remembered(self, message: Announcement | Deregistration) -> None:
        """Report and log a leave of a start that is not the known one."""
        if isinstance(message, Announcement) and not message.is_draining:
            return
        known = self._backend.announcement
        if known and known.instance == message.instance and self._backend.is_leaving:
            return
        self._on_backend_change()
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
