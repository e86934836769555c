"""HTTP/1.1 server and client of the stand-ins, on asyncio and httptools."""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Iterable

import attrs
import httptools

Headers = list[tuple[bytes, bytes]]


class ExchangeError(Exception):
    """An exchange did not complete.

    ``sent`` is False if the connection failed before any byte was written.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


@attrs.frozen
class Request:
    """One complete request as a server received it."""

    method: str
    target: str
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    def get_header(self, name: bytes) -> bytes:
        """Return the first value of ``name`` in any letter case, or empty."""
        return find_header(self.headers, name)


@attrs.frozen
class Response:
    """One complete response.

    ``misbehaviour`` is the fault with which a server sends it: "cut" (half of
    the body, then the connection is closed), "cut_silently" (the same without
    closing), "short_length" or "long_length" (wrong content length), "twice"
    or "twice_late" (20 ms apart); empty sends it correctly.
    """

    status: int
    body: bytes
    headers: Headers = attrs.field(factory=list)
    misbehaviour: str = ""

    def get_header(self, name: bytes) -> bytes:
        """Return the first value of ``name`` in any letter case, or empty."""
        return find_header(self.headers, name)


Handler = Callable[[Request], Awaitable[Response]]


def find_header(headers: Headers, name: bytes) -> bytes:
    """Return the first value of ``name`` in any letter case, or empty."""
    lower_name = name.lower()
    for key, value in headers:
        if key.lower() == lower_name:
            return value
    return b""


class ServerProtocol(asyncio.Protocol):
    """Serve one connection; cancel the running handler when it closes."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[tuple[Request, bool]] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._target = b""
        self._headers: Headers = []
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._transport is not None:
                self._transport.abort()

    def on_message_begin(self) -> None:
        self._target, self._headers, self._body = b"", [], []

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        request = Request(
            self._parser.get_method().decode(),
            self._target.decode("latin-1"),
            self._headers,
            b"".join(self._body),
        )
        self._pending.append((request, self._parser.should_keep_alive()))
        if self._task is None:
            self._start_next()

    def _start_next(self) -> None:
        request, keep_alive = self._pending.popleft()
        self._task = asyncio.ensure_future(self._serve(request, keep_alive))

    async def _serve(self, request: Request, keep_alive: bool) -> None:
        response = await self._handler(request)
        self._task = None
        if self._transport is None:
            return
        if response.misbehaviour:
            self._write_with_misbehaviour(response)
        else:
            self._transport.write(_encode_response(response, keep_alive))
        if not keep_alive:
            self._transport.close()
        elif self._pending:
            self._start_next()

    def _write_with_misbehaviour(self, response: Response) -> None:
        assert self._transport is not None
        encoded = _encode_response(response, True)
        kind = response.misbehaviour
        length = b"content-length: %d" % len(response.body)
        if kind.startswith("cut"):
            self._transport.write(encoded[: -len(response.body) // 2])
            if kind == "cut":
                self._transport.close()
        elif kind.endswith("_length"):
            # The bytes beyond a short length are read as the next response.
            change = -10 if kind == "short_length" else 10
            wrong = b"content-length: %d" % (len(response.body) + change)
            self._transport.write(encoded.replace(length, wrong, 1))
        elif kind == "twice":
            self._transport.write(encoded * 2)
        elif kind == "twice_late":
            self._transport.write(encoded)
            transport = self._transport
            asyncio.get_running_loop().call_later(0.02, transport.write, encoded)
        else:
            raise ValueError(kind)


def _encode_response(response: Response, keep_alive: bool) -> bytes:
    head = [
        b"HTTP/1.1 %d -\r\ncontent-type: application/json\r\n" % response.status,
        b"content-length: %d\r\n" % len(response.body),
    ]
    head += [b"%s: %s\r\n" % pair for pair in response.headers]
    if not keep_alive:
        head.append(b"connection: close\r\n")
    return b"".join(head) + b"\r\n" + response.body


async def serve(handler: Handler, port: int = 0) -> asyncio.Server:
    """Listen on the loopback address and return the started server."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: ServerProtocol(handler), "127.0.0.1", port, backlog=2048
    )


def get_port(server: asyncio.Server) -> int:
    """Return the port that ``server`` listens on."""
    return int(server.sockets[0].getsockname()[1])


class ClientConnection(asyncio.Protocol):
    """Client side of one connection; runs one exchange at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._result: asyncio.Future[Response] | None = None
        self._headers: Headers = []
        self._body: list[bytes] = []
        self.is_reusable = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_reusable = False
        self._transport = None
        if self._result is not None and not self._result.done():
            self._result.set_exception(
                ExchangeError("connection closed during the exchange", sent=True)
            )

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self._result is not None and not self._result.done():
                self._result.set_exception(ExchangeError(str(error), sent=True))
            self.close()

    def on_message_begin(self) -> None:
        self._headers, self._body = [], []

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        status = self._parser.get_status_code()
        if status < 200 or self._result is None or self._result.done():
            return
        self._result.set_result(Response(status, b"".join(self._body), self._headers))

    async def exchange(self, payload: bytes) -> Response:
        """Send one encoded request and return its complete response.

        :raises ExchangeError: if the connection closes before that or the
            response is malformed.
        """
        if self._transport is None:
            raise ExchangeError("connection is closed", sent=False)
        self._result = asyncio.get_running_loop().create_future()
        self._transport.write(payload)
        try:
            return await self._result
        except BaseException:
            # A late response must not be matched with the next request.
            self.close()
            raise

    def close(self) -> None:
        """Close the connection at once."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()


class ClientPool:
    """Pool of idle connections to one address."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._host, self._port = host, int(port)
        self._idle: list[ClientConnection] = []

    async def request(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        timeout_ms: float = 10_000.0,
    ) -> Response:
        """Send a request and return its response.

        :raises ExchangeError: if the connection fails.
        :raises TimeoutError: if there is no response after ``timeout_ms``.
        """
        payload = encode_request(self.address, method, target, headers, body)
        async with asyncio.timeout(timeout_ms / 1000):
            connection = await self._acquire()
            response = await connection.exchange(payload)
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()
        return response

    async def _acquire(self) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                ClientConnection, self._host, self._port
            )
        except OSError as error:
            raise ExchangeError(f"cannot connect: {error}", sent=False) from error
        return connection

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()


def encode_request(
    host: str,
    method: str,
    target: str,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Encode one request with its ``content-length``."""
    lines = [f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n".encode("latin-1")]
    lines += [b"%s: %s\r\n" % pair for pair in headers]
    lines.append(b"content-length: %d\r\n\r\n" % len(body))
    return b"".join(lines) + body
