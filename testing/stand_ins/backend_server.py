"""Backend server stand-in with slots, a queue, child calls and run counts.

``python -m testing.stand_ins.backend_server --spec JSON``

``GET /stand-in/state`` returns the counts, with ``?full`` also every run and
header value; ``POST /stand-in/set`` changes fields of the ``Spec``.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import signal
import time
import zlib
from typing import Any

import attrs

from testing.stand_ins.http1 import (
    ClientPool,
    ExchangeError,
    Request,
    Response,
    get_port,
    serve,
)

MARKER = b"X-Marker"
CONTEXT = b"Eelgrassweir-Context"
DEADLINE = b"Eelgrassweir-Deadline-Ms"


@attrs.define(kw_only=True)
class Spec:
    """Behaviour of one backend server.

    ``POST /stand-in/set`` sets any field while the server runs.
    """

    service: str
    egress_address: str = ""
    port: int = 0
    port_file: str = ""
    slots: int = 10
    announced_slots: int = 0
    queue_limit: int = 100
    service_ms: float = 5.0
    spread: float = 0.2
    seed: int = 1
    slowdown: float = 1.0
    cold_ms: float = 0.0
    cold_factor: float = 5.0
    health_status: int = 200
    load_percent: float = -1.0
    state: str = "ready"
    stop_on_close: bool = True
    stop_on_deadline: bool = True
    children: dict[str, list[dict[str, str]]] = attrs.field(factory=dict)
    child_retries: int = 0
    child_timeout_ms: float = 10_000.0
    keep_context: bool = True
    fail_percent: float = 0.0
    fail_status: int = 500
    payload_bytes: int = 100
    announce_ms: float = 1_000.0
    # Address to announce if callers reach the server through a proxy.
    announced_address: str = ""
    # Fault of a response (see Response.misbehaviour), and the percentage of
    # responses that have it.
    misbehaviour: str = ""
    misbehave_percent: float = 100.0
    drain_limit_ms: float = 10_000.0
    # File to which each start of a run is appended, so that the runs are
    # still counted after the server was killed.
    runs_path: str = ""


def make_payload(marker: str, path: str, length: int) -> str:
    """Return the payload of the response to ``marker`` at ``path``."""
    unit = f"{marker}|{path};"
    return (unit * (length // len(unit) + 1))[:length]


def is_intact(document: Any, marker: str) -> bool:
    """Return whether a response body and those of its children are valid.

    Compares marker, payload, length and checksum.
    """
    if not isinstance(document, dict) or document.get("marker") != marker:
        return False
    payload = document.get("payload")
    if not isinstance(payload, str) or len(payload) != document.get("length"):
        return False
    if payload != make_payload(marker, str(document.get("path")), len(payload)):
        return False
    if zlib.crc32(payload.encode()) != document.get("checksum"):
        return False
    children = document.get("children", [])
    return all(
        is_intact(child["answer"], marker)
        for child in children
        if child["status"] == 200
    )


class Slots:
    """Limit the requests in progress; the others wait in arrival order."""

    def __init__(self) -> None:
        self.busy = 0
        self.max_busy = 0
        self.waiting: collections.deque[asyncio.Future[None]] = collections.deque()

    async def acquire(self, slots: int, queue_limit: int) -> bool:
        """Wait for a slot; return False at once if the queue is full."""
        if self.busy < slots:
            self._occupy()
            return True
        if len(self.waiting) >= queue_limit:
            return False
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release(slots)
            else:
                self.waiting.remove(waiter)
            raise
        return True

    def release(self, slots: int) -> None:
        """Release a slot and let the longest waiting request start."""
        self.busy -= 1
        while self.waiting and self.busy < slots:
            waiter = self.waiting.popleft()
            if not waiter.done():
                self._occupy()
                waiter.set_result(None)

    def _occupy(self) -> None:
        self.busy += 1
        self.max_busy = max(self.max_busy, self.busy)


class BackendServer:
    """Serve the requests of one service as described by a ``Spec``."""

    def __init__(self, spec: Spec) -> None:
        self.spec = spec
        self._random = random.Random(spec.seed)
        self._slots = Slots()
        self._started_s = time.monotonic()
        self._egress = ClientPool(spec.egress_address) if spec.egress_address else None
        self._server: asyncio.Server | None = None
        self._announce_task: asyncio.Task[None] | None = None
        self.counts: collections.Counter[str] = collections.Counter()
        # (method and path, marker) to the numbers of runs started and
        # completed.
        self.runs: dict[tuple[str, str], list[int]] = {}
        self.headers: dict[str, set[str]] = {}

    @property
    def address(self) -> str:
        """Return the ``host:port`` that the server listens on."""
        assert self._server is not None
        return f"127.0.0.1:{get_port(self._server)}"

    async def start(self) -> None:
        """Listen and announce the server to the local daemon."""
        self._server = await serve(self._handle, self.spec.port)
        if self.spec.port_file:
            pathlib.Path(self.spec.port_file).write_text(str(get_port(self._server)))
        if self._egress is not None:
            self._announce_task = asyncio.ensure_future(self._announce_forever())

    async def drain(self) -> None:
        """Announce the drain and wait until no request is in flight.

        Waits at most ``drain_limit_ms``.
        """
        self.spec.state = "draining"
        await self._announce()
        end_s = time.monotonic() + self.spec.drain_limit_ms / 1000
        while time.monotonic() < end_s and (self._slots.busy or self._slots.waiting):
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Close the listener."""
        if self._announce_task is not None:
            self._announce_task.cancel()
        if self._server is not None:
            self._server.close()

    async def _announce_forever(self) -> None:
        while True:
            await self._announce()
            await asyncio.sleep(self.spec.announce_ms / 1000)

    async def _announce(self) -> None:
        if self._egress is None:
            return
        body = {
            "service": self.spec.service,
            "address": self.spec.announced_address or self.address,
            "slots": self.spec.announced_slots or self.spec.slots,
            "state": self.spec.state,
        }
        try:
            response = await self._egress.request(
                "POST",
                "/.eelgrassweir/announce",
                [(b"content-type", b"application/json")],
                json.dumps(body).encode(),
                timeout_ms=self.spec.announce_ms,
            )
        except (ExchangeError, TimeoutError):
            self.counts["announce_failed"] += 1
            return
        self.counts[f"announce_{response.status}"] += 1

    async def _handle(self, request: Request) -> Response:
        path = request.path
        if path == "/health":
            return Response(self.spec.health_status, b"{}")
        if path == "/load":
            return _json_response(200, {"load_percent": self._load_percent()})
        if path == "/stand-in/state":
            return _json_response(200, self.get_state(full="full" in request.target))
        if path == "/stand-in/set":
            return self._set_fields(json.loads(request.body))
        self._record_headers(request)
        if self.spec.stop_on_close:
            return await self._run_until_deadline(request)
        return await asyncio.shield(self._run_until_deadline(request))

    def _load_percent(self) -> float:
        if self.spec.load_percent >= 0:
            return self.spec.load_percent
        return 100.0 * self._slots.busy / max(1, self.spec.slots)

    def _set_fields(self, changes: dict[str, Any]) -> Response:
        for name, value in changes.items():
            if not hasattr(self.spec, name):
                return _json_response(400, {"unknown": name})
            setattr(self.spec, name, value)
        if "state" in changes:
            self._state_announcement = asyncio.ensure_future(self._announce())
        return _json_response(200, {})

    def _record_headers(self, request: Request) -> None:
        for name, value in request.headers:
            seen = self.headers.setdefault(name.decode("latin-1"), set())
            seen.add(value.decode("latin-1"))

    def get_state(self, *, full: bool) -> dict[str, Any]:
        """Return the counts; with ``full`` also every run and header value."""
        max_runs: dict[str, int] = {}
        for (operation, _), (started, _completed) in self.runs.items():
            max_runs[operation] = max(max_runs.get(operation, 0), started)
        state: dict[str, Any] = {
            "service": self.spec.service,
            "counts": dict(self.counts),
            "in_flight": self._slots.busy,
            "waiting": len(self._slots.waiting),
            "max_in_flight": self._slots.max_busy,
            "most_runs": max_runs,
            "header_names": sorted(self.headers),
        }
        if full:
            state["headers"] = {
                name: sorted(values) for name, values in self.headers.items()
            }
            state["runs"] = [
                [operation, marker, started, completed]
                for (operation, marker), (started, completed) in self.runs.items()
            ]
        return state

    async def _run_until_deadline(self, request: Request) -> Response:
        deadline = request.get_header(DEADLINE)
        if not deadline or not self.spec.stop_on_deadline:
            return await self._count_cancellation(request)
        try:
            async with asyncio.timeout(float(deadline) / 1000):
                return await self._count_cancellation(request)
        except TimeoutError:
            self.counts["deadline_passed"] += 1
            return _json_response(504, {"error": "deadline passed"})

    async def _count_cancellation(self, request: Request) -> Response:
        try:
            return await self._run_in_slot(request)
        except asyncio.CancelledError:
            self.counts["stopped"] += 1
            raise

    async def _run_in_slot(self, request: Request) -> Response:
        self.counts["received"] += 1
        slots = self.spec.slots
        if not await self._slots.acquire(slots, self.spec.queue_limit):
            self.counts["shed"] += 1
            return _json_response(503, {"error": "slots and queue are full"})
        try:
            return await self._execute(request)
        finally:
            self._slots.release(self.spec.slots)

    async def _execute(self, request: Request) -> Response:
        marker = request.get_header(MARKER).decode("latin-1")
        operation = f"{request.method} {request.path}"
        run = self.runs.setdefault((operation, marker), [0, 0])
        run[0] += 1
        self.counts["started"] += 1
        if self.spec.runs_path:
            with open(self.spec.runs_path, "a") as file:
                file.write(f"{operation} {marker}\n")
        await asyncio.sleep(self._draw_service_time_s())
        if self._random.uniform(0, 100) < self.spec.fail_percent:
            self.counts["failed"] += 1
            return _json_response(
                self.spec.fail_status, {"error": "failed as configured"}
            )
        children = await self._call_children(request, marker)
        run[1] += 1
        self.counts["completed"] += 1
        is_complete = all(child["status"] == 200 for child in children)
        response = _json_response(
            200 if is_complete else 502, self._make_body(request, children)
        )
        return self._add_misbehaviour(response)

    def _add_misbehaviour(self, response: Response) -> Response:
        spec = self.spec
        if not spec.misbehaviour:
            return response
        if self._random.uniform(0, 100) >= spec.misbehave_percent:
            return response
        self.counts["misbehaved"] += 1
        return attrs.evolve(response, misbehaviour=spec.misbehaviour)

    def _draw_service_time_s(self) -> float:
        spec = self.spec
        factor = spec.slowdown * self._random.uniform(1 - spec.spread, 1 + spec.spread)
        if (time.monotonic() - self._started_s) * 1000 < spec.cold_ms:
            factor *= spec.cold_factor
        return spec.service_ms * factor / 1000

    def _make_body(
        self, request: Request, children: list[dict[str, Any]]
    ) -> dict[str, Any]:
        marker = request.get_header(MARKER).decode("latin-1")
        payload = make_payload(marker, request.path, self.spec.payload_bytes)
        return {
            "marker": marker,
            "service": self.spec.service,
            "path": request.path,
            "length": len(payload),
            "checksum": zlib.crc32(payload.encode()),
            "payload": payload,
            "children": children,
        }

    async def _call_children(
        self, request: Request, marker: str
    ) -> list[dict[str, Any]]:
        children: list[dict[str, Any]] = []
        for index, call in enumerate(self._find_child_calls(request.path)):
            child = await self._call_child(request, marker, index, call)
            children.append(child)
            if child["status"] != 200:
                break
        return children

    def _find_child_calls(self, path: str) -> list[dict[str, str]]:
        prefixes = [prefix for prefix in self.spec.children if path.startswith(prefix)]
        if not prefixes:
            return []
        return self.spec.children[max(prefixes, key=len)]

    async def _call_child(
        self, request: Request, marker: str, index: int, call: dict[str, str]
    ) -> dict[str, Any]:
        headers = [(MARKER, marker.encode("latin-1"))]
        context = request.get_header(CONTEXT)
        if context and self.spec.keep_context:
            headers.append((CONTEXT, context))
        # The index makes two otherwise equal calls of one parent distinct.
        body = json.dumps({"marker": marker, "index": index}).encode()
        child: dict[str, Any] = {}
        for _attempt in range(1 + self.spec.child_retries):
            child = await self._attempt_child_call(call, headers, body)
            if child["status"] == 200:
                break
        return child

    async def _attempt_child_call(
        self, call: dict[str, str], headers: list[tuple[bytes, bytes]], body: bytes
    ) -> dict[str, Any]:
        self.counts["child_calls"] += 1
        child: dict[str, Any] = {"path": call["path"], "status": 0, "answer": None}
        if self._egress is None:
            return child
        try:
            response = await self._egress.request(
                call.get("method", "GET"),
                call["path"],
                headers,
                body,
                self.spec.child_timeout_ms,
            )
        except (ExchangeError, TimeoutError) as error:
            self.counts[f"child_{type(error).__name__}"] += 1
            return child
        code = response.get_header(b"Eelgrassweir-Refusal").decode("latin-1")
        self.counts[f"child_{code or response.status}"] += 1
        child |= {"status": response.status, "refusal": code}
        try:
            child["answer"] = json.loads(response.body)
        except ValueError:
            child["status"] = 0
        return child


def _json_response(status: int, document: Any) -> Response:
    return Response(status, json.dumps(document).encode())


async def _main(spec: Spec) -> None:
    server = BackendServer(spec)
    await server.start()
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()
    await server.drain()
    await server.stop()


def main() -> None:
    """Run one backend server; drain and stop it on SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--spec", required=True, help="JSON of the Spec fields")
    spec = Spec(**json.loads(parser.parse_args().spec))
    asyncio.run(_main(spec))


if __name__ == "__main__":
    main()
