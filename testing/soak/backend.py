"""Backend server of the soak, which records each run with its time."""

import asyncio
import time

import attrs

from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse, find_header
from testing.mesh.fleet import HEALTH_PATH, BackendStandIn


@attrs.frozen
class Run:
    """One request that a backend server started to run."""

    request_id: str
    team: str
    instance: str
    started_s: float


@attrs.define(eq=False)
class SoakBackend(BackendStandIn):
    """Backend server that records its runs, drains and restarts.

    ``state`` is "ready" or "draining" and goes into the heartbeats, or is
    "deregistered", after which none are sent.
    """

    timed_runs: list[Run] = attrs.field(factory=list)
    state: str = "ready"
    sequence: int = 0
    generation: int = 0

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        expected = find_header(request.headers, "x-expected-instance")
        is_run = request.path != HEALTH_PATH and not self.is_refusing
        if is_run and expected in (None, self.instance):
            run = Run(
                request_id=find_header(request.headers, "x-request-id") or "",
                team=find_header(request.headers, "x-tenant") or "",
                instance=self.instance,
                started_s=time.monotonic(),
            )
            self.timed_runs.append(run)
        return await super()._handle(request)

    def make_next_heartbeat(self) -> HttpRequest:
        """Return the next heartbeat of this instance."""
        self.sequence += 1
        return self.make_heartbeat(self.sequence, self.state)

    async def restart_as_new_instance(self) -> None:
        """Abort all requests and restart with a new instance id."""
        assert self.server is not None
        port = self.server.port
        await self.server.stop()
        await asyncio.sleep(0.1)
        self.generation += 1
        self.instance = f"{self.instance.partition('.')[0]}.{self.generation}"
        self.started_wall_ms += 1
        self.state, self.sequence = "ready", 0
        await self.server.start("127.0.0.1", port)
