"""Stand-in for the backend server of one VM."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from stand_ins.http1 import Message, Server, encode, encode_response, request

HEARTBEAT_INTERVAL_S = 1.5


@dataclass
class Run:
    """One request that a target began to work on."""

    request_id: str
    target: str
    tenant: str
    started_s: float
    # None while the target is at work.
    ended_s: float | None = None
    is_complete: bool = False


@dataclass
class Target:
    """Sound backend server; ``get_work_s`` is the time of one request."""

    name: str
    service: str
    zone: str
    address: str
    control_address: str
    get_work_s: Callable[[], float]
    slots: int = 200
    get_body: Callable[[Message], bytes] = lambda message: b"body of the target"
    runs: list[Run] = field(default_factory=list)
    running: int = 0
    sequence: int = 0
    is_leaving: bool = False
    born_ms: int = field(default_factory=lambda: time.time_ns() // 1_000_000)

    async def start(self) -> None:
        """Listen, and send heartbeats to the daemon of this VM."""
        self._server = Server(self._handle)
        await self._server.start(self.address)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def stop(self) -> None:
        """Stop the server and the heartbeats."""
        self._heartbeats.cancel()
        self._server.stop()

    async def _handle(self, message: Message) -> bytes:
        request_id = message.header("x-request-id") or ""
        headers = [("X-Request-Id", request_id), ("X-Instance-Id", self.name)]
        if message.path == "/health":
            return encode_response(503 if self.is_leaving else 200, headers)
        if message.header("x-expected-instance") not in (None, self.name):
            return encode_response(421, headers)
        if self.running >= self.slots:
            return encode_response(503, [*headers, ("X-Not-Executed", "1")])
        tenant = message.header("x-tenant") or ""
        run = Run(request_id, self.name, tenant, time.monotonic())
        self.runs.append(run)
        self.running += 1
        try:
            await asyncio.sleep(self.get_work_s())
            run.is_complete = True
        finally:
            self.running -= 1
            run.ended_s = time.monotonic()
        signed = [*headers, ("X-Response-Signature", f"sig.{request_id}")]
        return encode_response(200, signed, self.get_body(message))

    async def _send_heartbeats(self) -> None:
        while True:
            await request(self.control_address, self.make_heartbeat())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def make_heartbeat(self) -> bytes:
        """Return the next heartbeat."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemaining": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        return self._encode_control("Heartbeat", body)

    async def deregister(self) -> bool:
        """Leave, and send no further heartbeat; return if it is acknowledged.

        The server goes on serving, and its health check fails from now on.
        """
        self._heartbeats.cancel()
        self.is_leaving = True
        message = self._encode_control("Deregister", {"born": self.born_ms})
        response = await request(self.control_address, message)
        return response is not None and response.status // 100 == 2

    def _encode_control(self, call: str, body: dict[str, object]) -> bytes:
        headers = [("Host", "control"), ("Content-Type", "application/json")]
        start = f"POST /-/Instances.{call}/{self.name} HTTP/1.1"
        return encode(start, headers, json.dumps(body).encode())
