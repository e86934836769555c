"""Stand-in for the platform's metadata store, in the process of the test.

``testing.mesh``, ``testing.cli`` and the soak use it.
"""

import asyncio
import base64
import copy
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs

from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer

BODY_LIMIT_BYTES = 10_000_000


@attrs.define
class _Lease:
    ttl_ms: float
    expires_s: float
    keys: set[str] = attrs.field(factory=set)


@attrs.frozen(kw_only=True)
class StoreCopy:
    """State of the store at one time, from which it can be restored."""

    items: dict[str, dict[str, Any]]
    history: tuple[dict[str, Any], ...]
    revision: int
    next_lease_id: int
    leases: dict[int, _Lease]


class PlatformStoreStandIn:
    """Server of items, revisions, leases and watches with optional faults.

    ``fault`` is "", "busy" (status 503), "silent" (no response),
    "lose_writes" (writes take effect without a response), "mute" (watches
    return no events) or "refuse_reads" (ranges and watches get status 503).
    ``calls`` holds the method and path of each request. With an ``era``, each
    response has it in a header.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.history: list[dict[str, Any]] = []
        self.oldest_revision = 1
        self.fault = ""
        self.calls: list[str] = []
        self.era: int | None = None
        self._leases: dict[int, _Lease] = {}
        self._next_lease_id = 100
        self._changed = asyncio.Event()
        self._server = HttpServer(
            self._handle, body_limit_bytes=BODY_LIMIT_BYTES, sends_idle_refusal=False
        )
        self._expiry_task: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> str:
        """Listen on a port, by default a free one, and return the address."""
        await self._server.start("127.0.0.1", port)
        self._expiry_task = asyncio.create_task(self._expire_due_leases())
        return f"127.0.0.1:{self._server.port}"

    async def stop(self) -> None:
        """Stop the server and the expiry of leases."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        await self._server.stop()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item, as the operator would, and return its revision."""
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._append_event(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event({"key": key, "revision": self.revision, "removed": True})

    def compact(self) -> None:
        """Discard the history; watches from before then get status 410."""
        self.history.clear()
        self.oldest_revision = self.revision + 1
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Return a copy of all that the store holds now."""
        return StoreCopy(
            items=dict(self.items),
            history=tuple(self.history),
            revision=self.revision,
            next_lease_id=self._next_lease_id,
            leases=copy.deepcopy(self._leases),
        )

    def restore(self, state: StoreCopy) -> None:
        """Return to a copy in the next era; revisions are issued again.

        The leases of the copy run for their whole lifetime from now.
        """
        self.era = (self.era or 0) + 1
        self.items = dict(state.items)
        self.history = list(state.history)
        self.revision = state.revision
        self._next_lease_id = state.next_lease_id
        self._leases = copy.deepcopy(state.leases)
        for lease in self._leases.values():
            lease.expires_s = time.monotonic() + lease.ttl_ms / 1e3
        self._notify_watches()

    def expire_leases(self) -> None:
        """Expire all leases now."""
        for lease_id in list(self._leases):
            self._remove_lease(lease_id)

    def _append_event(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        response = await self._respond(request)
        if self.era is None:
            return response
        era_field = ("Store-Era", str(self.era))
        return attrs.evolve(response, headers=(*response.headers, era_field))

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls.append(f"{request.method} {url.path}")
        if self.fault == "busy":
            return _json_response(503, {})
        if self.fault == "silent":
            await asyncio.sleep(3_600)
        if self.fault == "refuse_reads" and request.method == "GET":
            return _json_response(503, {})
        body = json.loads(request.body) if request.body else {}
        if url.path == "/-/kv-range":
            return self._range(query)
        if url.path == "/-/kv-watch":
            return await self._watch(query)
        response = self._handle_change(request.method, url.path, body)
        if self.fault == "lose_writes":
            await asyncio.sleep(3_600)
        return response

    def _range(self, query: dict[str, str]) -> HttpResponse:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        items = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        page = {
            "items": items[:500],
            "hasMore": len(items) > 500,
            "storeRevision": self.revision,
        }
        return _json_response(200, page)

    async def _watch(self, query: dict[str, str]) -> HttpResponse:
        after = int(query["after"])
        end_s = time.monotonic() + int(query["waitMs"]) / 1e3
        while True:
            if after + 1 < self.oldest_revision or after > self.revision:
                return _json_response(410, {})
            events = [event for event in self.history if event["revision"] > after]
            remaining_s = end_s - time.monotonic()
            if (events and self.fault != "mute") or remaining_s <= 0:
                returned = [] if self.fault == "mute" else events
                revision = after if self.fault == "mute" else self.revision
                return _json_response(
                    200, {"events": returned, "storeRevision": revision}
                )
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _handle_change(
        self, method: str, path: str, body: dict[str, Any]
    ) -> HttpResponse:
        if path == "/-/kv-lease":
            lease_id = self._next_lease_id
            self._next_lease_id += 1
            ttl_ms = float(body["ttl_time"])
            self._leases[lease_id] = _Lease(ttl_ms, time.monotonic() + ttl_ms / 1e3)
            return _json_response(
                200, {"lease": lease_id, "ttl_time": body["ttl_time"]}
            )
        if path.startswith("/-/kv-keep/"):
            lease = self._leases.get(int(path.rpartition("/")[2]))
            if lease is None:
                return _json_response(404, {})
            lease.expires_s = time.monotonic() + lease.ttl_ms / 1e3
            return _json_response(200, {"ttl_time": lease.ttl_ms})
        if path.startswith("/-/kv-lease-end/"):
            self._remove_lease(int(path.rpartition("/")[2]))
            return _json_response(200, {})
        return self._transact(body)

    def _transact(self, body: dict[str, Any]) -> HttpResponse:
        for condition in body["expected"]:
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                return _json_response(412, {"items": [item] if item else []})
        revision = self.revision
        for write in body["writes"]:
            lease_id = write["lease"]
            if lease_id and lease_id not in self._leases:
                return _json_response(404, {})
            for lease in self._leases.values():
                lease.keys.discard(write["key"])
            if lease_id:
                self._leases[lease_id].keys.add(write["key"])
            value = base64.b64decode(write["value"])
            revision = self.put(write["key"], value, lease_id)
        return _json_response(200, {"revision": revision})

    def _remove_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id, None)
        for key in lease.keys if lease else ():
            self.remove(key)

    async def _expire_due_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            for lease_id, lease in list(self._leases.items()):
                if lease.expires_s < time.monotonic():
                    self._remove_lease(lease_id)


def _json_response(status: int, body: dict[str, Any]) -> HttpResponse:
    headers = (("Content-Type", "application/json"),)
    return HttpResponse(status, headers, json.dumps(body).encode())
