"""Client of the platform's key-value store."""

import json
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import attrs
import urllib3
from returns.result import Failure, Result, Success

from eelgrassweir.errors import StepError

# The store holds values up to 1 MB; a listing may hold several.
MAX_ANSWER_BYTES = 16_000_000
_CHUNK_BYTES = 65_536
_IDLE_CONNECTIONS = 16

T = TypeVar("T")


@attrs.frozen
class StoreError(StepError):
    """Report a failed call of the store.

    ``may_be_applied`` is True if the call was a write that the store may
    have carried out although no answer arrived.
    """

    may_be_applied: bool = False


@attrs.frozen(kw_only=True)
class Value:
    """Hold the value of one key and the revision of its last write."""

    value: str
    revision: int


@attrs.frozen(kw_only=True)
class _Call:
    kind: str
    method: str
    path: str
    body: Mapping[str, Any] | None = None
    # Only these may take effect twice or be answered wrongly when repeated.
    is_write: bool = False
    wait_ms: int = 0


@attrs.frozen(kw_only=True)
class _Answer:
    status: int
    body: Any
    url: str


@attrs.frozen
class _AttemptError(Exception):
    reason: str
    is_sent: bool


class StoreClient:
    """Call the store by HTTP; safe to use from several threads.

    Each attempt ends after ``timeout_ms`` (watches: plus their wait), and a
    call makes at most one attempt per URL. A write that may have been
    applied is not repeated: the caller reads back what is stored.
    """

    def __init__(
        self, urls: Sequence[str], *, timeout_ms: int, ca_path: str = ""
    ) -> None:
        if not urls:
            raise ValueError("the store client needs at least one URL")
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._timeout_ms = timeout_ms
        self._ca_path = ca_path or None
        self._lock = threading.Lock()
        self._preferred = 0
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}
        self._counts: Counter[tuple[str, str]] = Counter()

    def close(self) -> None:
        """Close the idle connections."""
        with self._lock:
            pools, self._pools = self._pools, {}
        for pool in pools.values():
            pool.close()

    def counts(self) -> dict[str, dict[str, int]]:
        """Return the number of calls by kind and outcome (ok, failed)."""
        with self._lock:
            items = list(self._counts.items())
        found: dict[str, dict[str, int]] = {}
        for (kind, outcome), count in items:
            found.setdefault(kind, {})[outcome] = count
        return found

    def get(self, key: str) -> Result[Value | None, StepError]:
        """Return the value of ``key``, or None if it is absent."""
        call = _Call(kind="get", method="GET", path=_key_path(key))
        return self._run(call, {200: _value_of_json, 404: lambda _: None})

    def list(self, prefix: str) -> Result[dict[str, Value], StepError]:
        """Return the values of all keys that start with ``prefix``."""
        path = "/v1/kv?" + urlencode({"prefix": prefix})
        return self._run(
            _Call(kind="list", method="GET", path=path),
            {
                200: lambda body: {
                    key: _value_of_json(item) for key, item in body["items"].items()
                }
            },
        )

    def put(
        self, key: str, value: str, *, expect_revision: int, lease_id: str = ""
    ) -> Result[int | None, StepError]:
        """Write ``key`` if its revision is the expected one (0: absent).

        Return the new revision, or None if the revision is another one.
        """
        body = {
            "value": value,
            "expect_revision": expect_revision,
            "lease_id": lease_id,
        }
        call = _Call(
            kind="put", method="PUT", path=_key_path(key), body=body, is_write=True
        )
        return self._run(call, {200: _revision_of_json, 409: lambda _: None})

    def delete(self, key: str, *, expect_revision: int) -> Result[bool, StepError]:
        """Delete ``key`` if its revision is the expected one."""
        path = f"{_key_path(key)}?expect_revision={expect_revision}"
        call = _Call(kind="delete", method="DELETE", path=path, is_write=True)
        no: Callable[[Any], bool] = lambda _: False  # noqa: E731
        return self._run(call, {200: lambda _: True, 404: no, 409: no})

    def grant_lease(self, ttl_ms: int) -> Result[str, StepError]:
        """Return the id of a new lease.

        A lease whose answer is lost is repeated; the first one lapses unused.
        """
        body = {"ttl_ms": ttl_ms}
        call = _Call(kind="grant_lease", method="POST", path="/v1/leases", body=body)
        return self._run(call, {200: lambda found: str(found["lease_id"])})

    def renew_lease(self, lease_id: str) -> Result[bool, StepError]:
        """Extend a lease by its life; return False if it has lapsed."""
        path = f"/v1/leases/{quote(lease_id, safe='')}/renew"
        call = _Call(kind="renew_lease", method="POST", path=path)
        return self._run(call, {200: lambda _: True, 404: lambda _: False})

    def revoke_lease(self, lease_id: str) -> Result[bool, StepError]:
        """End a lease and delete its keys; return False if it has lapsed."""
        path = f"/v1/leases/{quote(lease_id, safe='')}"
        call = _Call(kind="revoke_lease", method="DELETE", path=path)
        return self._run(call, {200: lambda _: True, 404: lambda _: False})

    def watch(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> Result[int, StepError]:
        """Wait for a change under ``prefix``; return its newest revision."""
        query = {"prefix": prefix, "after_revision": after_revision, "wait_ms": wait_ms}
        path = "/v1/watch?" + urlencode(query)
        call = _Call(kind="watch", method="GET", path=path, wait_ms=wait_ms)
        return self._run(call, {200: _revision_of_json})

    def _run(
        self, call: _Call, readers: Mapping[int, Callable[[Any], T]]
    ) -> Result[T, StepError]:
        result = self._attempts(call).bind(lambda answer: _read(call, answer, readers))
        outcome = "ok" if isinstance(result, Success) else "failed"
        with self._lock:
            self._counts[call.kind, outcome] += 1
        return result

    def _attempts(self, call: _Call) -> Result[_Answer, StepError]:
        """Try the URLs in turn, from the last one that answered."""
        with self._lock:
            first = self._preferred
        reasons: list[str] = []
        is_sent = False
        for offset in range(len(self._urls)):
            place = (first + offset) % len(self._urls)
            url = self._urls[place]
            try:
                answer = self._attempt(url, call)
            except _AttemptError as error:
                reasons.append(f"{url}: {error.reason}")
                self._leave(place)
                is_sent = is_sent or error.is_sent
                if call.is_write and is_sent:
                    break
                continue
            with self._lock:
                self._preferred = place
            return Success(answer)
        return Failure(_error(call, "; ".join(reasons), is_sent=is_sent))

    def _leave(self, place: int) -> None:
        """Forget the connections to a URL that failed and prefer the next.

        Established connections can go silent while new ones work, so no idle
        connection of a failed URL is used again.
        """
        with self._lock:
            self._pools.pop(self._urls[place], None)
            if self._preferred == place:
                self._preferred = (place + 1) % len(self._urls)

    def _pool(self, url: str) -> urllib3.HTTPConnectionPool:
        with self._lock:
            if url not in self._pools:
                self._pools[url] = urllib3.connection_from_url(
                    url,
                    maxsize=_IDLE_CONNECTIONS,
                    block=False,
                    **self._tls_options(url),
                )
            return self._pools[url]

    def _tls_options(self, url: str) -> dict[str, Any]:
        if self._ca_path is None or not url.startswith("https:"):
            return {}
        return {"ca_certs": self._ca_path, "cert_reqs": "CERT_REQUIRED"}

    def _attempt(self, url: str, call: _Call) -> _Answer:
        limit_s = (self._timeout_ms + call.wait_ms) / 1000
        end_s = time.monotonic() + limit_s
        # A connect takes one round trip even when the answer takes long.
        connect_s = self._timeout_ms / 1000
        try:
            response = self._pool(url).request(
                call.method,
                call.path,
                body=None if call.body is None else json.dumps(call.body),
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(total=limit_s, connect=connect_s),
                retries=False,
                redirect=False,
                preload_content=False,
            )
            payload = _read_body(response, end_s)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.ClosedPoolError,
        ) as error:
            raise _AttemptError(f"not connected ({error})", False) from None
        except (urllib3.exceptions.HTTPError, OSError) as error:
            reason = f"no answer within {limit_s * 1000:.0f} ms or a broken connection"
            raise _AttemptError(f"{reason} ({error})", True) from None
        if response.status >= 500:
            raise _AttemptError(f"status {response.status}", True)
        try:
            body = json.loads(payload) if payload else {}
        except ValueError:
            raise _AttemptError("an answer that is not JSON", True) from None
        return _Answer(status=response.status, body=body, url=url)


def _read_body(response: urllib3.BaseHTTPResponse, end_s: float) -> bytes:
    """Read the whole body; an answer that trickles in ends the attempt."""
    parts: list[bytes] = []
    size_bytes = 0
    # read1 returns after one receive, so that the end is checked in between.
    while part := response.read1(_CHUNK_BYTES):
        parts.append(part)
        size_bytes += len(part)
        if size_bytes > MAX_ANSWER_BYTES or time.monotonic() > end_s:
            response.close()
            raise urllib3.exceptions.HTTPError("the answer is too long or too slow")
    response.release_conn()
    return b"".join(parts)


def _read(
    call: _Call, answer: _Answer, readers: Mapping[int, Callable[[Any], T]]
) -> Result[T, StepError]:
    reader = readers.get(answer.status)
    if reader is None:
        reason = f"{answer.url}: status {answer.status} {_detail(answer.body)}"
        return Failure(_error(call, reason, is_sent=False))
    try:
        return Success(reader(answer.body))
    except (KeyError, TypeError, ValueError, AttributeError):
        reason = f"{answer.url}: an answer of another form"
        return Failure(_error(call, reason, is_sent=True))


def _detail(body: Any) -> str:
    detail = body.get("error", "") if isinstance(body, dict) else ""
    return str(detail)[:200]


def _error(call: _Call, reason: str, *, is_sent: bool) -> StoreError:
    if call.is_write:
        reason += (
            "; the write may have been applied"
            if is_sent
            else "; the write was not applied"
        )
    return StoreError(
        f"store {call.kind}",
        "store",
        reason,
        may_be_applied=call.is_write and is_sent,
    )


def _key_path(key: str) -> str:
    return "/v1/kv/" + quote(key, safe="/")


def _value_of_json(body: Any) -> Value:
    return Value(value=str(body["value"]), revision=int(body["revision"]))


def _revision_of_json(body: Any) -> int:
    return int(body["revision"])
