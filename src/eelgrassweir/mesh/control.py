"""Answers to the backend server's announcements and to the platform."""

import json
from collections.abc import Callable

from eliot import log_message

from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.mesh.backend import BackendBeside, Taken
from eelgrassweir.mesh.wire import Wire
from eelgrassweir.requests.calls import (
    Announcement,
    Deregistration,
    MalformedMessage,
    ReadinessCheck,
)


class ControlService:
    """Take announcements and say whether the daemon is ready."""

    def __init__(
        self,
        *,
        wire: Wire,
        backend: BackendBeside,
        on_taken: Callable[[Taken], None],
        is_ready: Callable[[], bool],
    ) -> None:
        self._wire = wire
        self._backend = backend
        self._on_taken = on_taken
        self._is_ready = is_ready

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one message; an answer of 200 acknowledges it."""
        message = self._wire.read_control_message(request)
        if isinstance(message, ReadinessCheck):
            return _answer(200 if self._is_ready() else 503)
        if isinstance(message, Announcement):
            self._note(self._backend.take(message), message.instance)
            return _answer(200)
        if isinstance(message, Deregistration):
            self._note(self._backend.leave(message), message.instance)
            return _answer(200)
        if isinstance(message, MalformedMessage):
            log_message(message_type="backend:malformed", reason=message.reason)
            return _answer(400, message.reason)
        return _answer(404, "no such path")

    def _note(self, taken: Taken, instance: str) -> None:
        if taken is Taken.NOTHING:
            return
        log_message(
            message_type="backend:changed",
            instance=instance,
            change=taken.value,
            is_leaving=self._backend.is_leaving,
        )
        self._on_taken(taken)


def _answer(status: int, reason: str = "") -> HttpResponse:
    body = json.dumps({"reason": reason}).encode() if reason else b"{}"
    return HttpResponse(status, (("Content-Type", "application/json"),), body)
