"""Stand-in for the platform's store, in the process of the test."""

import asyncio
import base64
import itertools
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


class PlatformStoreStandIn:
    """Keep items, revisions, leases and history; fail on request.

    ``fault`` is one of "", "busy", "silent", "lose_writes" (done, not
    answered) and "mute" (watches hear nothing).
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.history: list[dict[str, Any]] = []
        self.history_start = 1
        self.fault = ""
        self.calls: list[str] = []
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(100)
        self._changed = asyncio.Event()
        self._server = HttpServer(
            self._handle, body_limit_bytes=BODY_LIMIT_BYTES, sends_idle_refusal=False
        )
        self._reaper: asyncio.Task[None] | None = None

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        await self._server.start("127.0.0.1", 0)
        self._reaper = asyncio.create_task(self._expire_leases())
        return f"127.0.0.1:{self._server.port}"

    async def stop(self) -> None:
        """Close everything."""
        if self._reaper is not None:
            self._reaper.cancel()
        await self._server.stop()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item as the operator does."""
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
        self._note(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "removed": True})

    def compact(self) -> None:
        """Forget the history and cut the watches."""
        self.history.clear()
        self.history_start = self.revision + 1
        self._wake()

    def expire_leases(self) -> None:
        """Let all leases run out."""
        for lease_id in list(self._leases):
            self._end_lease(lease_id)

    def _note(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls.append(f"{request.method} {url.path}")
        if self.fault == "busy":
            return _answer(503, {})
        if self.fault == "silent":
            await asyncio.sleep(3_600)
        body = json.loads(request.body) if request.body else {}
        if url.path == "/-/kv-range":
            return self._range(query)
        if url.path == "/-/kv-watch":
            return await self._watch(query)
        response = self._change(request.method, url.path, body)
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
        return _answer(200, page)

    async def _watch(self, query: dict[str, str]) -> HttpResponse:
        after = int(query["after"])
        end_s = time.monotonic() + int(query["waitMs"]) / 1e3
        while True:
            if after + 1 < self.history_start:
                return _answer(410, {})
            events = [event for event in self.history if event["revision"] > after]
            left_s = end_s - time.monotonic()
            if (events and self.fault != "mute") or left_s <= 0:
                found = [] if self.fault == "mute" else events
                revision = after if self.fault == "mute" else self.revision
                return _answer(200, {"events": found, "storeRevision": revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _change(self, method: str, path: str, body: dict[str, Any]) -> HttpResponse:
        if path == "/-/kv-lease":
            lease_id = next(self._lease_ids)
            ttl_ms = float(body["ttl_time"])
            self._leases[lease_id] = _Lease(ttl_ms, time.monotonic() + ttl_ms / 1e3)
            return _answer(200, {"lease": lease_id, "ttl_time": body["ttl_time"]})
        if path.startswith("/-/kv-keep/"):
            lease = self._leases.get(int(path.rpartition("/")[2]))
            if lease is None:
                return _answer(404, {})
            lease.expires_s = time.monotonic() + lease.ttl_ms / 1e3
            return _answer(200, {"ttl_time": lease.ttl_ms})
        if path.startswith("/-/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return _answer(200, {})
        return self._transact(body)

    def _transact(self, body: dict[str, Any]) -> HttpResponse:
        for row in body["expected"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return _answer(412, {"items": [item] if item else []})
        revision = self.revision
        for write in body["writes"]:
            lease_id = write["lease"]
            if lease_id and lease_id not in self._leases:
                return _answer(404, {})
            for lease in self._leases.values():
                lease.keys.discard(write["key"])
            if lease_id:
                self._leases[lease_id].keys.add(write["key"])
            value = base64.b64decode(write["value"])
            revision = self.put(write["key"], value, lease_id)
        return _answer(200, {"revision": revision})

    def _end_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id, None)
        for key in lease.keys if lease else ():
            self.remove(key)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            for lease_id, lease in list(self._leases.items()):
                if lease.expires_s < time.monotonic():
                    self._end_lease(lease_id)


def _answer(status: int, body: dict[str, Any]) -> HttpResponse:
    headers = (("Content-Type", "application/json"),)
    return HttpResponse(status, headers, json.dumps(body).encode())
