"""Client of the platform's metadata store."""

import base64
import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar
from urllib.parse import quote

from eliot import log_message

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_client import (
    BackendClient,
    ClientOptions,
    ExchangeError,
)
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse, find_header
from eelgrassweir.decoding import (
    MalformedValue,
    parse_json,
    require_int,
    require_list,
    require_object,
    require_text,
)
from eelgrassweir.errors import StepError
from eelgrassweir.store.items import (
    Change,
    Changes,
    Conflict,
    EraChanged,
    HistoryGone,
    Item,
    Lease,
    LeaseGone,
    Removal,
    Snapshot,
)

T = TypeVar("T")

# A page of a range holds at most 1 MB of values, in base64 within JSON.
MAX_RESPONSE_BYTES = 4_194_304
CONNECT_TIMEOUT_MS = 500
# Time after its wait within which a watch must be answered. A silent
# connection must be detected before a new configuration has to be in force.
WATCH_MARGIN_MS = 600
# Field of each response; a store without it is in era 0.
ERA_FIELD = "store-era"
MAX_ERA_DIGITS = 6


class PlatformStore:
    """Implement ``mesh.adapter.Store``; each call is one HTTP exchange.

    Calls are not retried. A response of an earlier era than the latest one
    known is dropped: its call fails.
    """

    def __init__(self, address: str, *, clock: Clock, timeout_ms: int) -> None:
        self._address = address
        self._timeout_ms = timeout_ms
        self._client = BackendClient(
            address,
            clock=clock,
            body_limit_bytes=MAX_RESPONSE_BYTES,
            options=ClientOptions(connect_timeout_ms=CONNECT_TIMEOUT_MS, min_idle_ms=0),
        )
        self.call_count = 0
        # Latest era in a response, None before the first.
        self._era: int | None = None

    def close(self) -> None:
        """Close the connections to the store."""
        self._client.close()

    async def read_all(self) -> Snapshot:
        """Return all items and the revision of the first page.

        The pages are read one after another and may be inconsistent. A watch
        from the returned revision delivers the changes made meanwhile.

        :raises EraChanged: if the era increases between two pages.
        :raises StepError: if there is no valid response.
        """
        items: list[Item] = []
        revision = 0
        after = ""
        era: int | None = None
        while True:
            path = f"/-/kv-range?prefix=&after={quote(after, safe='')}"
            page, era = await self._call(
                "GET", path if after else "/-/kv-range?prefix=", era=era
            )
            entries = self._require(require_list, page.get("items"))
            revision = revision or self._read_revision(page)
            items += self._decode_items(entries, era)
            if not page.get("hasMore") or not entries:
                return Snapshot(items=tuple(items), revision=revision, era=era)
            last_key = self._require(_read_key, entries[-1])
            if last_key <= after:
                raise StepError("store range", self._address, "pages do not advance")
            after = last_key

    async def read(self, key: str, *, era: int) -> Item | None:
        """Return the item of a key, None if it does not exist.

        :raises EraChanged: if the store is in a later era.
        :raises StepError: if there is no valid response.
        """
        # The range, because a 404 is taken for an expired lease.
        path = f"/-/kv-range?prefix={quote(key, safe='')}"
        page, era = await self._call("GET", path, era=era)
        items = self._decode_items(self._require(require_list, page.get("items")), era)
        return next((item for item in items if item.key == key), None)

    async def watch(self, after_revision: int, wait_ms: int, *, era: int) -> Changes:
        """Return the changes after a revision, none after ``wait_ms``.

        :raises EraChanged: if the store is in a later era.
        :raises HistoryGone: if the store no longer has all of them, or if they
            exceed the limit of a response.
        :raises StepError: if there is no valid response.
        """
        path = f"/-/kv-watch?prefix=&after={after_revision}&waitMs={wait_ms}"
        try:
            answer, era = await self._call(
                "GET", path, era=era, timeout_ms=wait_ms + WATCH_MARGIN_MS
            )
        except ExchangeError as error:
            if error.is_too_large:
                raise HistoryGone from None
            raise
        events = self._require(require_list, answer.get("events"))
        return Changes(
            changes=tuple(self._decode_each(_decode_change, events, era)),
            revision=self._read_revision(answer),
        )

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Return a new lease that expires after ``ttl_ms``."""
        answer, era = await self._call("POST", "/-/kv-lease", {"ttl_time": ttl_ms})
        lease_id = self._require(require_int, answer.get("lease"))
        return Lease(era=era, lease_id=lease_id)

    async def renew_lease(self, lease: Lease) -> None:
        """Extend a lease by its lifetime.

        :raises EraChanged: if the store is in a later era.
        :raises LeaseGone: if it has expired.
        """
        await self._call("POST", f"/-/kv-keep/{lease.lease_id}", {}, era=lease.era)

    async def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease and remove its keys.

        :raises EraChanged: if the store is in a later era.
        """
        await self._call("DELETE", f"/-/kv-lease-end/{lease.lease_id}", era=lease.era)

    async def write(
        self, key: str, value: bytes, *, lease: Lease, expected_revision: int
    ) -> int:
        """Write an item by compare-and-swap and return its new revision.

        ``expected_revision`` is 0 for a key that must not exist; otherwise it
        is of the era of the lease.

        :raises Conflict: if the key has another revision.
        :raises EraChanged: if the store is in a later era; the item may have
            been written.
        :raises LeaseGone: if the lease has expired.
        """
        entry = {
            "key": key,
            "value": base64.b64encode(value).decode("ascii"),
            "lease": lease.lease_id,
        }
        condition = {"key": key, "revision": expected_revision}
        change = {"expected": [condition], "writes": [entry], "deletes": []}
        answer, _ = await self._call("POST", "/-/kv-txn", change, era=lease.era)
        return self._require(require_int, answer.get("revision"))

    def _read_revision(self, answer: Mapping[str, Any]) -> int:
        return self._require(require_int, answer.get("storeRevision"))

    def _require(self, check: Callable[[Any], T], value: Any) -> T:
        """Return the checked value of a response.

        :raises StepError: if the value is malformed.
        """
        try:
            return check(value)
        except MalformedValue as error:
            raise StepError("store response", self._address, str(error)) from None

    def _decode_items(self, entries: list[Any], era: int) -> list[Item]:
        return self._decode_each(_decode_item, entries, era)

    def _decode_each(
        self, decode: Callable[[Any, int], T], entries: list[Any], era: int
    ) -> list[T]:
        """Return the decoded entries without those that are malformed."""
        decoded = []
        for entry in entries:
            try:
                decoded.append(decode(entry, era))
            except MalformedValue as error:
                log_message(message_type="store:item_unreadable", reason=str(error))
        return decoded

    async def _call(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
        *,
        era: int | None = None,
        timeout_ms: int = 0,
    ) -> tuple[dict[str, Any], int]:
        """Return the body of the response and its era.

        ``era`` is that of the revisions and leases in the call, if any.
        """
        step = path.partition("?")[0]
        if era is not None and self._era is not None and era < self._era:
            raise EraChanged
        response = await self._exchange(method, path, body, timeout_ms)
        response_era = self._accept_era(step, response, era)
        if response.status == 410:
            raise HistoryGone
        if response.status == 404:
            raise LeaseGone
        if response.status not in (200, 412):
            raise StepError(step, self._address, f"status {response.status}")
        answer = self._require(_parse_object, response.body)
        if response.status == 412:
            raise Conflict(self._require(_read_conflicting_revision, answer))
        return answer, response_era

    def _accept_era(self, step: str, response: HttpResponse, era: int | None) -> int:
        """Return the era of a response.

        :raises EraChanged: if it is later than that of the call.
        :raises StepError: if it is earlier than the latest one known.
        """
        text = find_header(response.headers, ERA_FIELD) or "0"
        is_number = text.isascii() and text.isdecimal()
        if not is_number or len(text) > MAX_ERA_DIGITS:
            raise StepError(step, self._address, "malformed era")
        response_era = int(text)
        if response_era < max(self._era or 0, era or 0):
            raise StepError(step, self._address, f"response of era {response_era}")
        self._era = response_era
        if era is not None and response_era > era:
            raise EraChanged
        return response_era

    async def _exchange(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
        timeout_ms: int,
    ) -> HttpResponse:
        self.call_count += 1
        headers: tuple[tuple[str, str], ...] = ()
        payload = b""
        if body is not None:
            payload = json.dumps(body, separators=(",", ":")).encode()
            headers = (("Content-Type", "application/json"),)
        request = HttpRequest(method, path, headers, payload)
        return await self._client.exchange(
            request, timeout_ms=timeout_ms or self._timeout_ms
        )


def _parse_object(payload: bytes) -> dict[str, Any]:
    return require_object(parse_json(payload))


def _read_conflicting_revision(answer: Mapping[str, Any]) -> int:
    """Return the present revision of the conflicting key, 0 if absent."""
    for entry in require_list(answer.get("items") or []):
        return require_int(require_object(entry).get("revision") or 0)
    return 0


def _read_key(entry: Any) -> str:
    return require_text(require_object(entry).get("key"))


def _decode_item(entry: Any, era: int) -> Item:
    key = _read_key(entry)
    value = entry.get("value")
    if not isinstance(value, str):
        raise MalformedValue(f"{key}: value is no text")
    try:
        decoded_value = base64.b64decode(value, validate=True)
    except ValueError:
        raise MalformedValue(f"{key}: value is not in base64") from None
    return Item(
        key=key,
        value=decoded_value,
        revision=require_int(entry.get("revision")),
        lease_id=require_int(entry.get("lease") or 0),
        era=era,
    )


def _decode_change(entry: Any, era: int) -> Change:
    key = _read_key(entry)
    if entry.get("removed"):
        revision = require_int(entry.get("revision"))
        return Removal(key=key, revision=revision, era=era)
    return _decode_item(entry, era)
