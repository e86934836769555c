"""Admin listener: metrics, state, plans and confirms over HTTP.

``GET /healthz`` needs no token. With a token configured, every other request
needs ``Authorization: Bearer TOKEN``. Answers are JSON except ``/metrics``;
errors are ``{"error": {"step", "peer", "reason"}}``.

``GET /status`` returns the result of the ``status`` callable. The command
line reads these fields of it; all are optional::

    {"vm": "oviedo-fichero-1", "config_version": 7, "is_fresh": true,
     "freshness_age_ms": 400, "store_reached": true,
     "fleet": {"counts": [{"version": 7, "daemons": 12}],
               "lagging": ["oviedo-fichero-2"], "daemons_known": 12}}
"""

import contextlib
import hashlib
import hmac
import json
import secrets
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Future
from typing import Any

import attrs
import prometheus_client
from eliot import log_message
from returns.result import Failure

from eelgrassweir.clock import Clock
from eelgrassweir.config.check import CheckError, load_json
from eelgrassweir.config.confirm import (
    Commit,
    ConfirmReply,
    check_confirm,
    commit_plan,
    make_conflict_reply,
    reply_to_json,
)
from eelgrassweir.config.document import (
    EMPTY_DOCUMENT,
    ConfigDocument,
    document_to_json,
)
from eelgrassweir.config.plan import (
    Plan,
    PlanContext,
    make_plan,
    plan_from_json,
    plan_to_json,
)
from eelgrassweir.daemon.admin_wsgi import STOP_TIMEOUT_S, make_wsgi_server
from eelgrassweir.errors import StepError

# A plan holds the document before and after the change, of up to 1 MB each,
# and the intent.
MAX_BODY_BYTES = 4_000_000
_THREADS = 4
# Time for a conflicting version to arrive at this daemon, so that the reply
# can name what it changed.
_CONFLICT_WAIT_MS = 2_000
_CONFLICT_POLL_S = 0.05

_STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    409: "409 Conflict",
    413: "413 Content Too Large",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}
_STATUS_BY_RESULT = {
    "applied": 200,
    "already_applied": 200,
    "conflict": 409,
    "refused": 409,
    "behind": 503,
    "minority": 503,
    "store_unreachable": 503,
}


@attrs.frozen(kw_only=True)
class AdminSources:
    """Callables through which the listener accesses the daemon.

    All are called from the listener's threads. ``usage`` returns calls/s by
    team over the last minute, ``targets`` the service of each ready VM and
    ``vms`` the known properties of each VM. ``commit`` takes the base version,
    the change id and the document, and returns the result of a
    ``CommitReply`` and its version.
    """

    dump: Callable[[], Mapping[str, Any]]
    status: Callable[[], Mapping[str, Any]]
    config: Callable[[], ConfigDocument | None]
    commit: Commit
    usage: Callable[[], Mapping[str, float]] = dict
    targets: Callable[[], Mapping[str, str]] = dict
    vms: Callable[[], Mapping[str, Mapping[str, str]]] = dict


@attrs.frozen(kw_only=True)
class _Request:
    method: str
    path: str
    authorization: str
    body: bytes


@attrs.frozen(kw_only=True)
class _Answer:
    status: int
    body: bytes
    content_type: str = "application/json"


def _json_answer(status: int, value: Any) -> _Answer:
    return _Answer(status=status, body=json.dumps(value).encode())


def _error_answer(status: int, error: StepError) -> _Answer:
    return _json_answer(status, {"error": attrs.asdict(error)})


def _make_error(status: int, step: str, reason: str) -> _Answer:
    return _error_answer(status, StepError(step, "admin listener", reason))


class AdminServer:
    """Serve the admin interface in ``_THREADS`` threads of its own."""

    def __init__(
        self,
        address: tuple[str, int],
        sources: AdminSources,
        *,
        clock: Clock,
        isolation_limit_ms: int,
        token: str = "",
        registry: prometheus_client.CollectorRegistry = prometheus_client.REGISTRY,
    ) -> None:
        self._sources = sources
        self._clock = clock
        self._isolation_limit_ms = isolation_limit_ms
        self._token_hash = _hash_token(token) if token else None
        self._registry = registry
        self._thread: threading.Thread | None = None
        # One plan is confirmed at a time; the store's compare-and-swap orders
        # them with those of other daemons.
        self._confirm_lock = threading.Lock()
        self._server = make_wsgi_server(
            address,
            self._serve,
            threads=_THREADS,
            body_limit_bytes=MAX_BODY_BYTES,
        )
        self._handlers: dict[tuple[str, str], Callable[[_Request], _Answer]] = {
            ("GET", "/healthz"): lambda _: _json_answer(200, {"ok": True}),
            ("GET", "/metrics"): lambda _: self._metrics(),
            ("GET", "/dump"): lambda _: _json_answer(200, dict(sources.dump())),
            ("GET", "/vms"): lambda _: _json_answer(200, dict(sources.vms())),
            ("GET", "/status"): lambda _: _json_answer(200, dict(sources.status())),
            ("GET", "/config"): lambda _: self._config(),
            ("POST", "/plan"): self._plan,
            ("POST", "/confirm"): self._confirm,
        }

    def start(self) -> tuple[str, int]:
        """Bind, serve in a thread and return the bound host and port.

        :raises OSError: if the address cannot be bound
        """
        is_bound: Future[None] = Future()
        # cheroot's workers inherit the daemon flag of this thread; otherwise
        # they would keep a process alive that exits without calling stop().
        self._thread = threading.Thread(
            target=self._run, args=(is_bound,), name="admin", daemon=True
        )
        self._thread.start()
        is_bound.result()
        host, port = self._server.bind_addr[:2]
        return host, port

    def _run(self, is_bound: Future[None]) -> None:
        try:
            self._server.prepare()
        except BaseException as error:
            is_bound.set_exception(error)
            return
        is_bound.set_result(None)
        self._server.serve()

    def stop(self) -> None:
        """Stop serving; abort requests that run for longer than 5 s."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_S)

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        answer = self._answer(_read_request(environ))
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
        ]
        if answer.status == 401:
            headers.append(("WWW-Authenticate", "Bearer"))
        start_response(_STATUS_LINES[answer.status], headers)
        return [answer.body]

    def _answer(self, request: _Request) -> _Answer:
        if request.path != "/healthz" and not self._is_allowed(request):
            reason = "the token is missing or wrong; pass the daemon's admin token"
            return _make_error(401, "check token", reason)
        handler = self._handlers.get((request.method, request.path))
        if handler is None:
            if any(path == request.path for _, path in self._handlers):
                return _make_error(
                    405, "find request", "this path does not allow the method"
                )
            return _make_error(404, "find request", "no such path")
        try:
            return handler(request)
        except Exception as error:
            # The message may contain data of a caller, so only the type is
            # logged and returned.
            name = type(error).__name__
            log_message("admin:request_failed", path=request.path, error=name)
            return _make_error(
                500, f"answer {request.path}", f"internal error ({name})"
            )

    def _is_allowed(self, request: _Request) -> bool:
        if self._token_hash is None:
            return True
        scheme, _, token = request.authorization.partition(" ")
        given = _hash_token(token.strip())
        is_equal = hmac.compare_digest(given, self._token_hash)
        return is_equal and scheme.lower() == "bearer"

    def _metrics(self) -> _Answer:
        return _Answer(
            status=200,
            body=prometheus_client.generate_latest(self._registry),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    def _config(self) -> _Answer:
        document = self._sources.config()
        if document is None:
            reason = "this daemon has no configuration yet"
            return _make_error(503, "read configuration", reason)
        shown = document_to_json(document)
        # Clients need the key ids only; hashes stay in daemons and store.
        shown["keys"] = sorted(shown["keys"].values(), key=lambda key: key["key_id"])
        return _json_answer(200, shown)

    def _plan(self, request: _Request) -> _Answer:
        try:
            intent = load_json(request.body)
        except CheckError as error:
            return _make_error(400, "read intent", str(error))
        now_wall_ms = self._clock.wall_ms()
        made = make_plan(
            intent,
            self._sources.config() or EMPTY_DOCUMENT,
            plan_id=new_plan_id(now_wall_ms),
            now_wall_ms=now_wall_ms,
            plan_context=PlanContext(
                usage=self._sources.usage(), targets=self._sources.targets()
            ),
        )
        if isinstance(made, Failure):
            return _error_answer(400, made.failure())
        return _json_answer(200, plan_to_json(made.unwrap()))

    def _confirm(self, request: _Request) -> _Answer:
        try:
            given = load_json(request.body)
        except CheckError as error:
            return _make_error(400, "read plan", str(error))
        read = plan_from_json(given)
        if isinstance(read, Failure):
            return _error_answer(400, read.failure())
        with self._confirm_lock:
            reply = self._confirm_plan(read.unwrap())
        log_message(
            "admin:confirm",
            plan_id=read.unwrap().plan_id,
            result=reply.result,
            version=reply.version,
        )
        body = reply_to_json(reply) | {"isolation_limit_ms": self._isolation_limit_ms}
        return _json_answer(_STATUS_BY_RESULT[reply.result], body)

    def _confirm_plan(self, plan: Plan) -> ConfirmReply:
        refused = check_confirm(plan, self._sources.config() or EMPTY_DOCUMENT)
        if refused is not None:
            return refused
        reply = commit_plan(plan, self._commit)
        if reply.result != "conflict":
            return reply
        current = self._wait_for_version(reply.version)
        return reply if current is None else make_conflict_reply(plan, current)

    def _commit(self, base_version: int, plan_id: str, document: bytes) -> Any:
        try:
            return self._sources.commit(base_version, plan_id, document)
        except (TimeoutError, StepError):
            return "store_unreachable", 0

    def _wait_for_version(self, version: int) -> ConfigDocument | None:
        end_ms = self._clock.now_ms() + _CONFLICT_WAIT_MS
        while self._clock.now_ms() < end_ms:
            current = self._sources.config()
            if current is not None and current.version >= version:
                return current
            time.sleep(_CONFLICT_POLL_S)
        return None


def new_plan_id(now_wall_ms: int) -> str:
    """Return a new plan id: the time in UTC and a random part."""
    moment = time.strftime("%Y%m%dT%H%M%SZ", time.gmtime(now_wall_ms / 1000))
    return f"{moment}-{secrets.token_hex(6)}"


def _hash_token(token: str) -> bytes:
    # Equal lengths make the comparison take constant time for any token.
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).digest()


def _read_request(environ: Mapping[str, Any]) -> _Request:
    size_bytes = 0
    with contextlib.suppress(ValueError):
        size_bytes = int(environ.get("CONTENT_LENGTH") or 0)
    return _Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        authorization=environ.get("HTTP_AUTHORIZATION", ""),
        body=environ["wsgi.input"].read(size_bytes) if size_bytes > 0 else b"",
    )
