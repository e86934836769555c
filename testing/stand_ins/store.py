"""Stand-in for the key-value store of ``eelgrassweir.store``, as a process.

``python -m testing.stand_ins.store --port 0 --port-file FILE``

In addition to the store's interface, ``GET /stand-in/counts`` returns the
number of calls by kind, and ``POST /stand-in/faults`` takes any of

- ``down``: ``""``, ``"closed"`` (connections are closed), ``"silent"`` (no
  response) or ``"error"`` (status 503); writes have no effect
- ``delay_ms``: delay of each response
- ``lose_answers``: number of writes that take effect without a response
- ``stale_reads``: number of reads of one key that return its previous value
- ``watches_stopped``: watches return only at the end of their wait
- ``lease_percent``: leases expire after this percentage of their TTL
- ``end_leases``: true expires all leases now
- ``silence_connections``: true leaves all further requests on the connections
  that are open now without a response; new connections work

The process exits by itself after ``--life-s`` seconds.
"""

import argparse
import asyncio
import json
import pathlib
import re
import signal
import uuid
from collections import Counter
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import attrs

MAX_VALUE_BYTES = 1_000_000


@attrs.define(kw_only=True)
class Faults:
    """Faults that are active; see the module for their meaning."""

    down: str = ""
    delay_ms: int = 0
    lose_answers: int = 0
    stale_reads: int = 0
    watches_stopped: bool = False
    lease_percent: int = 100


@attrs.define(kw_only=True)
class Lease:
    """One lease with its timer and the keys that expire with it."""

    ttl_ms: int
    timer: asyncio.TimerHandle | None = None
    keys: set[str] = attrs.Factory(set)


class StoreState:
    """Keys, leases, pending watches and faults of one store."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, tuple[str, int]] = {}
        self.previous: dict[str, tuple[str, int] | None] = {}
        # Last revision of each key ever written, including deletions.
        self.last_revisions: dict[str, int] = {}
        self.lease_by_key: dict[str, str] = {}
        self.leases: dict[str, Lease] = {}
        self.waiting: set[tuple[str, asyncio.Event]] = set()
        self.faults = Faults()
        self.counts: Counter[str] = Counter()

    def write(self, key: str, value: str | None, lease_id: str = "") -> int:
        """Set or delete a key and wake the watches of its prefixes.

        Returns the new revision; ``None`` deletes the key.
        """
        self.previous[key] = self.items.get(key)
        self.revision += 1
        self.last_revisions[key] = self.revision
        self._attach(key, lease_id)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (value, self.revision)
        if not self.faults.watches_stopped:
            for prefix, event in self.waiting:
                if key.startswith(prefix):
                    event.set()
        return self.revision

    def _attach(self, key: str, lease_id: str) -> None:
        old = self.leases.get(self.lease_by_key.pop(key, ""))
        if old is not None:
            old.keys.discard(key)
        if lease_id:
            self.lease_by_key[key] = lease_id
            self.leases[lease_id].keys.add(key)

    def newest_revision(self, prefix: str) -> int:
        """Return the newest revision of the keys with ``prefix``, or 0."""
        found = (n for key, n in self.last_revisions.items() if key.startswith(prefix))
        return max(found, default=0)

    def schedule_expiry(self, lease_id: str) -> None:
        """Start the timer of a lease, or restart it with the full TTL."""
        lease = self.leases[lease_id]
        if lease.timer is not None:
            lease.timer.cancel()
        ttl_s = lease.ttl_ms * self.faults.lease_percent / 100_000
        loop = asyncio.get_running_loop()
        lease.timer = loop.call_later(ttl_s, self.remove_lease, lease_id)

    def remove_lease(self, lease_id: str) -> bool:
        """Remove a lease and delete its keys; return False if it is absent."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        if lease.timer is not None:
            lease.timer.cancel()
        for key in sorted(lease.keys):
            self.write(key, None)
        del self.leases[lease_id]
        return True


@attrs.frozen(kw_only=True)
class Request:
    """One decoded request."""

    method: str
    path: str
    query: dict[str, str]
    body: dict[str, Any]


Response = tuple[int, dict[str, Any]]


def put_key(state: StoreState, key: str, body: dict[str, Any]) -> Response:
    """Write a key if its revision is ``expect_revision`` (0: absent)."""
    lease_id = body.get("lease_id", "")
    if len(body["value"].encode()) > MAX_VALUE_BYTES:
        return 413, {"error": f"a value holds at most {MAX_VALUE_BYTES} bytes"}
    if lease_id and lease_id not in state.leases:
        return 404, {"error": "the lease has expired"}
    if state.items.get(key, ("", 0))[1] != body["expect_revision"]:
        return 409, {"error": "the revision of the key does not match"}
    return 200, {"revision": state.write(key, body["value"], lease_id)}


def delete_key(state: StoreState, key: str, expected: int) -> Response:
    """Delete a key if its revision is the expected one."""
    if key not in state.items:
        return 404, {"error": "the key is absent"}
    if state.items[key][1] != expected:
        return 409, {"error": "the revision of the key does not match"}
    return 200, {"revision": state.write(key, None)}


def get_key(state: StoreState, key: str) -> Response:
    """Return a key, or its previous value while ``stale_reads`` is set."""
    item = state.items.get(key)
    if state.faults.stale_reads and key in state.previous:
        state.faults.stale_reads -= 1
        item = state.previous[key]
    if item is None:
        return 404, {"error": "the key is absent"}
    return 200, {"value": item[0], "revision": item[1]}


def list_keys(state: StoreState, prefix: str) -> Response:
    """Return all keys with ``prefix`` and their newest revision."""
    items = {
        key: {"value": value, "revision": revision}
        for key, (value, revision) in state.items.items()
        if key.startswith(prefix)
    }
    return 200, {"items": items, "revision": state.newest_revision(prefix)}


async def watch(state: StoreState, query: dict[str, str]) -> Response:
    """Wait until a prefix has a revision above ``after_revision``.

    Returns the newest revision of the prefix, at the latest after
    ``wait_ms``.
    """
    prefix, after = query["prefix"], int(query["after_revision"])
    if state.newest_revision(prefix) <= after or state.faults.watches_stopped:
        event = asyncio.Event()
        state.waiting.add((prefix, event))
        try:
            await asyncio.wait_for(event.wait(), int(query["wait_ms"]) / 1000)
        except TimeoutError:
            pass
        finally:
            state.waiting.discard((prefix, event))
    return 200, {"revision": state.newest_revision(prefix)}


def grant_lease(state: StoreState, body: dict[str, Any]) -> Response:
    """Create a lease and start its timer."""
    lease_id = uuid.uuid4().hex
    state.leases[lease_id] = Lease(ttl_ms=int(body["ttl_ms"]))
    state.schedule_expiry(lease_id)
    return 200, {"lease_id": lease_id}


def renew_lease(state: StoreState, lease_id: str) -> Response:
    """Restart the timer of a lease."""
    if lease_id not in state.leases:
        return 404, {"error": "the lease has expired"}
    state.schedule_expiry(lease_id)
    return 200, {}


def set_faults(
    state: StoreState, body: dict[str, Any], open_connections: set["Connection"]
) -> None:
    """Set the lasting faults and carry out the momentary ones."""
    changes = dict(body)
    if changes.pop("end_leases", False):
        for lease_id in list(state.leases):
            state.remove_lease(lease_id)
    if changes.pop("silence_connections", False):
        for connection in open_connections:
            connection.is_silent = True
    state.faults = attrs.evolve(state.faults, **changes)


def classify_call(request: Request) -> str:
    """Return the kind of call that the request is counted as."""
    if request.path == "/v1/watch":
        return "watch"
    if request.path == "/v1/kv":
        return "list"
    if request.path.startswith("/v1/kv/"):
        return request.method.lower()
    if request.path == "/v1/leases":
        return "grant_lease"
    return "renew_lease" if request.path.endswith("/renew") else "revoke_lease"


async def handle_call(state: StoreState, request: Request) -> Response:
    """Carry out one call of the store's interface."""
    if request.path == "/v1/watch":
        return await watch(state, request.query)
    if request.path == "/v1/kv":
        return list_keys(state, request.query.get("prefix", ""))
    if request.path == "/v1/leases" and request.method == "POST":
        return grant_lease(state, request.body)
    key = request.path.removeprefix("/v1/kv/")
    if key != request.path:
        if request.method == "GET":
            return get_key(state, key)
        if request.method == "PUT":
            return put_key(state, key, request.body)
        if request.method == "DELETE":
            return delete_key(state, key, int(request.query["expect_revision"]))
    lease = re.fullmatch(r"/v1/leases/([^/]+)(/renew)?", request.path)
    if lease and request.method == "POST" and lease[2]:
        return renew_lease(state, lease[1])
    if lease and request.method == "DELETE" and not lease[2]:
        is_removed = state.remove_lease(lease[1])
        return (200, {}) if is_removed else (404, {"error": "the lease has expired"})
    return 400, {"error": "no such call"}


class Connection:
    """Server side of one connection; serves its requests in order."""

    def __init__(
        self,
        state: StoreState,
        open_connections: set["Connection"],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._state = state
        self._open_connections = open_connections
        self._reader = reader
        self._writer = writer
        self.is_silent = False

    async def serve(self) -> None:
        """Serve requests until the connection closes."""
        self._open_connections.add(self)
        try:
            while (request := await self._read_request()) is not None:
                if not await self._handle(request):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._open_connections.discard(self)
            self._writer.close()

    async def _read_request(self) -> Request | None:
        line = (await self._reader.readline()).decode("latin-1").split()
        if len(line) < 2:
            return None
        size_bytes = 0
        while (header := await self._reader.readline()) not in (b"\r\n", b""):
            name, _, value = header.decode("latin-1").partition(":")
            if name.lower() == "content-length":
                size_bytes = int(value)
        payload = await self._reader.readexactly(size_bytes)
        target = urlsplit(line[1])
        return Request(
            method=line[0],
            path=unquote(target.path),
            query=dict(parse_qsl(target.query)),
            body=json.loads(payload) if payload else {},
        )

    async def _handle(self, request: Request) -> bool:
        """Handle one request; return False to close the connection."""
        if request.path.startswith("/stand-in/"):
            await self._send_response(*self._handle_control(request))
            return True
        state = self._state
        state.counts[classify_call(request)] += 1
        if self.is_silent or state.faults.down == "silent":
            await self._reader.read()
            return False
        if state.faults.down == "closed":
            return False
        if state.faults.down == "error":
            await self._send_response(503, {"error": "out of service"})
            return True
        try:
            status, body = await handle_call(state, request)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            status, body = 400, {"error": repr(error)}
        is_write = request.method in ("PUT", "DELETE") or request.path == "/v1/leases"
        if is_write and status == 200 and state.faults.lose_answers:
            state.faults.lose_answers -= 1
            return False
        await asyncio.sleep(state.faults.delay_ms / 1000)
        if self.is_silent:
            await self._reader.read()
            return False
        await self._send_response(status, body)
        return True

    def _handle_control(self, request: Request) -> Response:
        if request.path == "/stand-in/counts":
            return 200, dict(self._state.counts)
        if request.path != "/stand-in/faults":
            return 404, {"error": "no such call"}
        try:
            if request.method == "POST":
                set_faults(self._state, request.body, self._open_connections)
        except TypeError as error:
            return 400, {"error": str(error)}
        return 200, attrs.asdict(self._state.faults)

    async def _send_response(self, status: int, body: dict[str, Any]) -> None:
        payload = json.dumps(body).encode()
        head = (
            f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(payload)}\r\n\r\n"
        )
        self._writer.write(head.encode() + payload)
        await self._writer.drain()


async def serve(
    port: int, port_file: pathlib.Path | None, max_runtime_s: float
) -> None:
    """Serve one store on the loopback address until a signal to stop.

    Stops after ``max_runtime_s`` in any case. ``port_file`` receives the port.
    """
    state = StoreState()
    open_connections: set[Connection] = set()

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await Connection(state, open_connections, reader, writer).serve()

    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.call_later(max_runtime_s, stopping.set)
    server = await asyncio.start_server(
        serve_connection, "127.0.0.1", port, backlog=512
    )
    bound_port = server.sockets[0].getsockname()[1]
    if port_file is not None:
        # The rename is atomic: a reader never sees an incomplete file.
        draft = port_file.with_name(port_file.name + ".draft")
        draft.write_text(str(bound_port))
        draft.rename(port_file)
    await stopping.wait()
    server.close()


def main() -> None:
    """Read the command line and serve."""
    parser = argparse.ArgumentParser(description="Stand-in of the key-value store.")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--port-file", type=pathlib.Path)
    parser.add_argument("--life-s", type=float, default=1800.0)
    options = parser.parse_args()
    asyncio.run(serve(options.port, options.port_file, options.life_s))


if __name__ == "__main__":
    main()
