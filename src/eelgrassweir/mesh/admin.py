"""Serve metrics and the state dump over HTTP."""

import json
from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse

METRICS_PATH = "/metrics"
DUMP_PATH = "/dump"


class AdminService:
    """Serve ``/metrics`` and ``/dump`` to operators."""

    def __init__(
        self, registry: CollectorRegistry, get_state: Callable[[], dict[str, object]]
    ) -> None:
        self._registry = registry
        self._get_state = get_state

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        path = request.path.partition("?")[0]
        if path == METRICS_PATH:
            body = generate_latest(self._registry)
            return HttpResponse(200, (("Content-Type", CONTENT_TYPE_LATEST),), body)
        if path == DUMP_PATH:
            body = json.dumps(self._get_state(), indent=1, default=str).encode()
            return HttpResponse(200, (("Content-Type", "application/json"),), body)
        return HttpResponse(404, (), b"")
