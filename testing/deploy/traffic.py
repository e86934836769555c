"""Callers on kept connections, and backend servers that make calls.

The callers use a connection until it ends, so that they see each request
whose connection is closed without an answer.
"""

import asyncio
import contextlib
import itertools
import time

import attrs

from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse, find_header
from testing.mesh.fleet import HEALTH_PATH, HOST, KEY, BackendStandIn

CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.05


@attrs.define(kw_only=True)
class Outcome:
    """One request of a caller; status 0 means no whole answer."""

    request_id: str
    path: str
    entry: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""
    reason: str = ""


@attrs.define(eq=False)
class KeptCaller:
    """Send one request after the other on kept connections to one address.

    A connection on which a request got no answer in time, or that says that
    it closes, is replaced.
    """

    address: str
    name: str
    paths: tuple[str, ...]
    deadline_s: float = 5.0
    pause_s: float = 0.02
    outcomes: list[Outcome] = attrs.field(factory=list)
    is_ending: bool = False

    async def run(self) -> None:
        """Send requests until ``is_ending``; then return."""
        numbers = itertools.count()
        paths = itertools.cycle(self.paths)
        while not self.is_ending:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    host, _, port = self.address.rpartition(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            with contextlib.closing(writer):
                while not self.is_ending:
                    request_id = f"{self.name}-{next(numbers)}"
                    is_kept = await self._send(reader, writer, next(paths), request_id)
                    if not is_kept:
                        break
                    await asyncio.sleep(self.pause_s)

    async def _send(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        path: str,
        request_id: str,
    ) -> bool:
        """Send one request; return whether the connection stays usable."""
        outcome = Outcome(
            request_id=request_id,
            path=path,
            entry=self.address,
            sent_s=time.monotonic(),
        )
        self.outcomes.append(outcome)
        writer.write(encode_get(path, request_id, self.deadline_s))
        is_kept = False
        try:
            async with asyncio.timeout(self.deadline_s):
                is_kept = await self._read_answer(reader, outcome)
        except TimeoutError:
            outcome.reason = "no answer within the deadline"
        except (OSError, asyncio.IncompleteReadError) as error:
            outcome.reason = f"{type(error).__name__}: {error}"
        outcome.ended_s = time.monotonic()
        return is_kept

    async def _read_answer(
        self, reader: asyncio.StreamReader, outcome: Outcome
    ) -> bool:
        """Read a whole answer; return whether its connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        status_line, *lines = head.decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
        outcome.body = await reader.readexactly(int(fields.get("content-length", "0")))
        outcome.status = int(status_line.split(" ")[1])
        return fields.get("connection") != "close"


def encode_get(path: str, request_id: str, deadline_s: float) -> bytes:
    """Return the bytes of a request with the key of the team."""
    lines = (
        f"GET {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Credential: {KEY}",
        f"X-Deadline-Milliseconds: {int(deadline_s * 1e3)}",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@attrs.define(eq=False)
class CallingBackend(BackendStandIn):
    """Backend server that makes calls through its daemon while it runs.

    A run whose call gets no success ends with status 500.
    """

    outbound_address: str = ""
    call_paths: tuple[str, ...] = ()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path != HEALTH_PATH and self.call_paths:
            parent_id = find_header(request.headers, "x-request-id") or ""
            statuses = [
                await self._call(path, f"{parent_id}.{number}")
                for number, path in enumerate(self.call_paths)
            ]
            if any(status != 200 for status in statuses):
                signature = ("X-Response-Signature", "signed")
                return HttpResponse(
                    500, (("X-Request-Id", parent_id), signature), b"call failed"
                )
        return await super()._handle(request)

    async def _call(self, path: str, request_id: str) -> int:
        """Return the status of a call without a key; 0 without an answer."""
        host, _, port = self.outbound_address.rpartition(":")
        head = (
            f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
            "X-Deadline-Milliseconds: 3000\r\nConnection: close\r\n\r\n"
        )
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            with contextlib.closing(writer):
                writer.write(head.encode())
                return int((await reader.read()).split(b" ", 2)[1])
        except (OSError, IndexError, ValueError):
            return 0
