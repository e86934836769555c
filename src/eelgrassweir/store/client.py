"""Blocking client of the platform's key-value store."""

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

# Values in the store may have up to 1 MB, and a listing may contain several.
MAX_RESPONSE_BYTES = 16_000_000
_CHUNK_BYTES = 65_536
_IDLE_CONNECTIONS = 16

T = TypeVar("T")


@attrs.frozen
class StoreError(StepError):
    """Failed call of the store.

    ``may_be_applied`` is True if the call was a write that the store may have
    applied although no valid response arrived.
    """

    may_be_applied: bool = False


@attrs.frozen(kw_only=True)
class Value:
    """Value of one key and the revision of its last write."""

    value: str
    revision: int


@attrs.frozen(kw_only=True)
class _Call:
    kind: str
    method: str
    path: str
    body: Mapping[str, Any] | None = None
    # Only writes could be applied twice, or fail wrongly, if repeated.
    is_write: bool = False
    wait_ms: int = 0


@attrs.frozen(kw_only=True)
class _Response:
    status: int
    body: Any
    url: str


@attrs.frozen
class _AttemptError(Exception):
    reason: str
    is_sent: bool


class StoreClient:
    """Call the store over HTTP; safe to use from several threads.

    Each attempt times out after ``timeout_ms``, for watches plus their wait. A
    call makes at most one attempt per URL. A write that may have been applied
    is not repeated; the caller must read the stored value instead.
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
        counts_by_kind: dict[str, dict[str, int]] = {}
        for (kind, outcome), count in items:
            counts_by_kind.setdefault(kind, {})[outcome] = count
        return counts_by_kind

    def get(self, key: str) -> Result[Value | None, StepError]:
        """Return the value of ``key``, or None if it is absent."""
        call = _Call(kind="get", method="GET", path=_key_path(key))
        return self._run(call, {200: _parse_value, 404: lambda _: None})

    def list(self, prefix: str) -> Result[dict[str, Value], StepError]:
        """Return the values of all keys that start with ``prefix``."""
        path = "/v1/kv?" + urlencode({"prefix": prefix})
        return self._run(
            _Call(kind="list", method="GET", path=path),
            {
                200: lambda body: {
                    key: _parse_value(item) for key, item in body["items"].items()
                }
            },
        )

    def put(
        self, key: str, value: str, *, expect_revision: int, lease_id: str = ""
    ) -> Result[int | None, StepError]:
        """Compare and swap: write ``key`` if its revision is the expected one.

        The expected revision of an absent key is 0. Return the new revision,
        or None if the revision did not match.
        """
        body = {
            "value": value,
            "expect_revision": expect_revision,
            "lease_id": lease_id,
        }
        call = _Call(
            kind="put", method="PUT", path=_key_path(key), body=body, is_write=True
        )
        return self._run(call, {200: _parse_revision, 409: lambda _: None})

    def delete(self, key: str, *, expect_revision: int) -> Result[bool, StepError]:
        """Delete ``key`` if its revision is the expected one.

        Return False if the revision did not match or the key is absent.
        """
        path = f"{_key_path(key)}?expect_revision={expect_revision}"
        call = _Call(kind="delete", method="DELETE", path=path, is_write=True)
        return_false: Callable[[Any], bool] = lambda _: False  # noqa: E731
        return self._run(
            call, {200: lambda _: True, 404: return_false, 409: return_false}
        )

    def grant_lease(self, ttl_ms: int) -> Result[str, StepError]:
        """Return the id of a new lease.

        The call is repeated if its response is lost; the first lease then
        expires unused.
        """
        body = {"ttl_ms": ttl_ms}
        call = _Call(kind="grant_lease", method="POST", path="/v1/leases", body=body)
        return self._run(call, {200: lambda response: str(response["lease_id"])})

    def renew_lease(self, lease_id: str) -> Result[bool, StepError]:
        """Renew a lease for its full life; return False if it has expired."""
        path = f"/v1/leases/{quote(lease_id, safe='')}/renew"
        call = _Call(kind="renew_lease", method="POST", path=path)
        return self._run(call, {200: lambda _: True, 404: lambda _: False})

    def revoke_lease(self, lease_id: str) -> Result[bool, StepError]:
        """Revoke a lease, delete its keys; return False if it has expired."""
        path = f"/v1/leases/{quote(lease_id, safe='')}"
        call = _Call(kind="revoke_lease", method="DELETE", path=path)
        return self._run(call, {200: lambda _: True, 404: lambda _: False})

    def watch(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> Result[int, StepError]:
        """Wait for a change under ``prefix`` after ``after_revision``.

        Return the newest revision, after ``wait_ms`` at the latest.
        """
        query = {"prefix": prefix, "after_revision": after_revision, "wait_ms": wait_ms}
        path = "/v1/watch?" + urlencode(query)
        call = _Call(kind="watch", method="GET", path=path, wait_ms=wait_ms)
        return self._run(call, {200: _parse_revision})

    def _run(
        self, call: _Call, decoders: Mapping[int, Callable[[Any], T]]
    ) -> Result[T, StepError]:
        result = self._run_attempts(call).bind(
            lambda response: _decode_response(call, response, decoders)
        )
        outcome = "ok" if isinstance(result, Success) else "failed"
        with self._lock:
            self._counts[call.kind, outcome] += 1
        return result

    def _run_attempts(self, call: _Call) -> Result[_Response, StepError]:
        """Try the URLs in turn, beginning with the preferred one."""
        with self._lock:
            first = self._preferred
        reasons: list[str] = []
        is_sent = False
        for offset in range(len(self._urls)):
            index = (first + offset) % len(self._urls)
            url = self._urls[index]
            try:
                response = self._attempt(url, call)
            except _AttemptError as error:
                reasons.append(f"{url}: {error.reason}")
                self._abandon_url(index)
                is_sent = is_sent or error.is_sent
                if call.is_write and is_sent:
                    break
                continue
            with self._lock:
                self._preferred = index
            return Success(response)
        return Failure(_make_error(call, "; ".join(reasons), is_sent=is_sent))

    def _abandon_url(self, index: int) -> None:
        """Drop the connections to a URL that failed and prefer the next URL.

        Established connections can stop responding while new ones work, so no
        idle connection to a failed URL is reused.
        """
        with self._lock:
            self._pools.pop(self._urls[index], None)
            if self._preferred == index:
                self._preferred = (index + 1) % len(self._urls)

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

    def _attempt(self, url: str, call: _Call) -> _Response:
        timeout_s = (self._timeout_ms + call.wait_ms) / 1000
        deadline_s = time.monotonic() + timeout_s
        # Connecting takes one round trip, however long the response takes.
        connect_timeout_s = self._timeout_ms / 1000
        try:
            response = self._pool(url).request(
                call.method,
                call.path,
                body=None if call.body is None else json.dumps(call.body),
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(total=timeout_s, connect=connect_timeout_s),
                retries=False,
                redirect=False,
                preload_content=False,
            )
            payload = _read_body(response, deadline_s)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.ClosedPoolError,
        ) as error:
            raise _AttemptError(f"connection failed ({error})", False) from None
        except (urllib3.exceptions.HTTPError, OSError) as error:
            reason = f"no response within {timeout_s * 1000:.0f} ms, or connection lost"
            raise _AttemptError(f"{reason} ({error})", True) from None
        if response.status >= 500:
            raise _AttemptError(f"status {response.status}", True)
        try:
            body = json.loads(payload) if payload else {}
        except ValueError:
            raise _AttemptError("response body is not JSON", True) from None
        return _Response(status=response.status, body=body, url=url)


def _read_body(response: urllib3.BaseHTTPResponse, deadline_s: float) -> bytes:
    """Read the whole body.

    Raise HTTPError if it is too large or not complete at ``deadline_s``, which
    a response that arrives in small pieces could otherwise postpone forever.
    """
    parts: list[bytes] = []
    size_bytes = 0
    # read1 returns after one receive, so the deadline is checked each time.
    while part := response.read1(_CHUNK_BYTES):
        parts.append(part)
        size_bytes += len(part)
        if size_bytes > MAX_RESPONSE_BYTES or time.monotonic() > deadline_s:
            response.close()
            raise urllib3.exceptions.HTTPError(
                "response is too large or not complete in time"
            )
    response.release_conn()
    return b"".join(parts)


def _decode_response(
    call: _Call, response: _Response, decoders: Mapping[int, Callable[[Any], T]]
) -> Result[T, StepError]:
    decode = decoders.get(response.status)
    if decode is None:
        reason = (
            f"{response.url}: status {response.status} {_error_detail(response.body)}"
        )
        return Failure(_make_error(call, reason, is_sent=False))
    try:
        return Success(decode(response.body))
    except (KeyError, TypeError, ValueError, AttributeError):
        reason = f"{response.url}: unexpected response body"
        return Failure(_make_error(call, reason, is_sent=True))


def _error_detail(body: Any) -> str:
    detail = body.get("error", "") if isinstance(body, dict) else ""
    return str(detail)[:200]


def _make_error(call: _Call, reason: str, *, is_sent: bool) -> StoreError:
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


def _parse_value(body: Any) -> Value:
    return Value(value=str(body["value"]), revision=int(body["revision"]))


def _parse_revision(body: Any) -> int:
    return int(body["revision"])
