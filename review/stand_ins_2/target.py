"""Stand-in for an application target on a machine.

It runs requests, tells what it did not run, answers health checks, and sends
heartbeats to the control address of its machine.
"""

import asyncio
import contextlib
import json
import random
import time

from review.stand_ins_2.http1 import Message, encode, read_message
from review.stand_ins_2.record import Record

HEARTBEAT_S = 1.5
MAX_BODY_BYTES = 67_108_864
ACK_TIMEOUT_S = 1.0


class Target:
    """One start of a target.

    ``late_extra_share`` of its answers are sent a second time, late: at the
    point where the next response of the connection is expected.
    """

    def __init__(
        self,
        record: Record,
        *,
        service: str,
        zone: str,
        instance: str,
        port: int,
        work_s: float = 0.02,
        slots: int = 50,
    ) -> None:
        self.record = record
        self.service = service
        self.zone = zone
        self.instance = instance
        self.port = port
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1e3)
        self.sequence = 0
        self.is_leaving = False
        self.late_extra_share = 0.0
        self.sent_extras = 0
        # Request id and time of each run.
        self.runs: list[tuple[str, float]] = []
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._rng = random.Random(instance)
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, control_port: int) -> None:
        """Listen, and send heartbeats until the end."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=MAX_BODY_BYTES
        )
        self._tasks.append(asyncio.create_task(self._beat(control_port)))

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Exit: the address no longer accepts connections."""
        self.stop_heartbeats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            _abort(writer)

    # Requests

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        late = b""
        try:
            while True:
                request = await read_message(reader)
                if late:
                    self.sent_extras += 1
                    self.record.add(f"{self.instance} sends the late extra answer")
                    writer.write(late)
                    late = b""
                answer = await self._answer(request)
                writer.write(answer)
                await writer.drain()
                if self._rng.random() < self.late_extra_share:
                    late = answer
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            _abort(writer)

    async def _answer(self, request: Message) -> bytes:
        method, path, _ = request.start_line.split(" ", 2)
        request_id = request.headers.get("x-request-id", "")
        if path == "/health":
            status = "503 Service Unavailable" if self.is_leaving else "200 OK"
            fields = {"X-Instance-Id": self.instance, "Content-Length": "0"}
            return encode(f"HTTP/1.1 {status}", fields)
        fields = {"X-Request-Id": request_id, "X-Instance-Id": self.instance}
        expected = request.headers.get("x-expected-instance", self.instance)
        if expected != self.instance:
            fields["Content-Length"] = "0"
            return encode("HTTP/1.1 421 Misdirected Request", fields)
        now_s = self.record.add(f"{self.instance} runs {request_id} {method} {path}")
        self.runs.append((request_id, now_s))
        await asyncio.sleep(self.work_s)
        body = f"body of {request_id}".encode()
        fields["X-Response-Signature"] = f"signature-of-{request_id}"
        fields["Content-Length"] = str(len(body))
        return encode("HTTP/1.1 200 OK", fields, b"" if method == "HEAD" else body)

    # Service discovery

    def make_heartbeat(self) -> bytes:
        """Return the next heartbeat."""
        self.sequence += 1
        return self._encode_call(
            "Heartbeat",
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "draining" if self.is_leaving else "ready",
                "coldRemaining": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    def make_deregistration(self) -> bytes:
        """Return the deregistration."""
        return self._encode_call("Deregister", {"born": self.born})

    def _encode_call(self, verb: str, fields: dict[str, object]) -> bytes:
        body = json.dumps(fields).encode()
        headers = {
            "Host": "control",
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
        start = f"POST /-/Instances.{verb}/{self.instance} HTTP/1.1"
        return encode(start, headers, body)

    async def _beat(self, control_port: int) -> None:
        while True:
            await send_control(control_port, self.make_heartbeat())
            await asyncio.sleep(HEARTBEAT_S)


def _abort(writer: asyncio.StreamWriter) -> None:
    """Close a connection at once, unless its event loop has ended."""
    with contextlib.suppress(RuntimeError):
        writer.transport.abort()


async def send_control(port: int, call: bytes) -> int:
    """Return the status of a call to a control address, 0 without one."""
    writer = None
    try:
        async with asyncio.timeout(ACK_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(call)
            return (await read_message(reader)).status
    except (OSError, TimeoutError):
        return 0
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
