"""Stand-in for the platform's metadata store, which may fall silent."""

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from stand_ins.http1 import ConnectionEnded, Message, Server, encode_response

PAGE_ITEMS = 500
EXPIRY_INTERVAL_S = 0.05

Item = dict[str, Any]


class Store:
    """Items with revisions, leases and watches, as PROTOCOL.md has them."""

    def __init__(self) -> None:
        self.revision = 1
        self._items: dict[str, Item] = {}
        self._events: list[Item] = []
        self._ttl_s: dict[int, float] = {}
        self._lease_ends_s: dict[int, float] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        # Set while the store answers.
        self._is_up = asyncio.Event()
        self._is_up.set()
        self._server = Server(self._handle)
        self._expiry: asyncio.Task[None] | None = None

    async def start(self, address: str) -> None:
        """Listen on an address and let leases expire."""
        await self._server.start(address)
        self._expiry = asyncio.create_task(self._expire_leases())

    def stop(self) -> None:
        """Stop the server."""
        if self._expiry is not None:
            self._expiry.cancel()
        self._server.stop()

    async def be_silent(self, duration_s: float) -> None:
        """Answer and do nothing for a time, in which leases pause."""
        self._is_up.clear()
        # Watches that wait are cut.
        self._notify()
        await asyncio.sleep(duration_s)
        for lease in self._lease_ends_s:
            self._lease_ends_s[lease] += duration_s
        self._is_up.set()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item and return its revision."""
        self.revision += 1
        known = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._items[key] = item
        self._add_event(item)
        return self.revision

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is None:
            return
        self.revision += 1
        self._add_event({"key": key, "revision": self.revision, "removed": True})

    def _add_event(self, event: Item) -> None:
        self._events.append(event)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Message) -> bytes:
        if not self._is_up.is_set():
            # The call is not carried out, also after the silence.
            await self._is_up.wait()
            raise ConnectionEnded
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        if url.path == "/-/kv-range":
            return self._range(query)
        if url.path == "/-/kv-watch":
            return await self._watch(query)
        if url.path == "/-/kv-txn":
            return self._transact(body)
        if url.path == "/-/kv-lease":
            return self._grant(body)
        number = int(url.path.rpartition("/")[2])
        if url.path.startswith("/-/kv-keep/"):
            return self._keep(number)
        if url.path.startswith("/-/kv-lease-end/"):
            self._end_lease(number)
            return _respond(200, {})
        return _respond(404, {})

    def _range(self, query: dict[str, str]) -> bytes:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        items = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        page = {
            "items": items[:PAGE_ITEMS],
            "hasMore": len(items) > PAGE_ITEMS,
            "storeRevision": self.revision,
        }
        return _respond(200, page)

    async def _watch(self, query: dict[str, str]) -> bytes:
        after = int(query["after"])
        end_s = time.monotonic() + int(query["waitMs"]) / 1e3
        while True:
            if not self._is_up.is_set():
                await self._is_up.wait()
                raise ConnectionEnded
            prefix = query.get("prefix", "")
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                page = {"events": events, "storeRevision": self.revision}
                return _respond(200, page)
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> bytes:
        for condition in body["expected"]:
            item = self._items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                return _respond(412, {"items": [item] if item else []})
        if any(
            write.get("lease") and write["lease"] not in self._ttl_s
            for write in body["writes"]
        ):
            return _respond(404, {})
        for write in body["writes"]:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease") or 0)
        for key in body.get("deletes") or []:
            self._remove(key)
        return _respond(200, {"revision": self.revision})

    def _grant(self, body: dict[str, Any]) -> bytes:
        lease = self._next_lease
        self._next_lease += 1
        self._ttl_s[lease] = body["ttl_time"] / 1e3
        self._lease_ends_s[lease] = time.monotonic() + self._ttl_s[lease]
        return _respond(200, {"lease": lease, "ttl_time": body["ttl_time"]})

    def _keep(self, lease: int) -> bytes:
        if lease not in self._ttl_s:
            return _respond(404, {})
        self._lease_ends_s[lease] = time.monotonic() + self._ttl_s[lease]
        return _respond(200, {"ttl_time": int(self._ttl_s[lease] * 1e3)})

    def _end_lease(self, lease: int) -> None:
        self._ttl_s.pop(lease, None)
        self._lease_ends_s.pop(lease, None)
        for key in [k for k, item in self._items.items() if item["lease"] == lease]:
            self._remove(key)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            await self._is_up.wait()
            now_s = time.monotonic()
            for lease in [k for k, end in self._lease_ends_s.items() if end < now_s]:
                self._end_lease(lease)


def _respond(status: int, body: dict[str, Any]) -> bytes:
    headers = [("Content-Type", "application/json")]
    return encode_response(status, headers, json.dumps(body).encode())
