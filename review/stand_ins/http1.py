"""HTTP/1.1 messages of the stand-ins, over asyncio."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

Headers = list[tuple[str, str]]
REASONS = {
    200: "OK",
    404: "Not Found",
    408: "Request Timeout",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


class ConnectionEnded(Exception):
    """The peer closed the connection before a message was complete."""


@dataclass
class Message:
    """Request or response with its complete body."""

    start: str
    headers: Headers = field(default_factory=list)
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of a header field, or None."""
        for field_name, value in self.headers:
            if field_name.lower() == name.lower():
                return value
        return None

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def path(self) -> str:
        """Return the path and query of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])


def encode(start: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a message whose body has a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a response."""
    return encode(f"HTTP/1.1 {status} {REASONS.get(status, '')}", headers, body)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length.

    :raises ConnectionEnded: if the connection ends before.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        raise ConnectionEnded from None
    start, *lines = head.decode("latin-1").split("\r\n")
    message = Message(start)
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            message.headers.append((name, value.strip()))
    length = int(message.header("content-length") or 0)
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        raise ConnectionEnded from None
    return message


async def request(
    address: str, message: bytes, timeout_s: float = 1.0
) -> Message | None:
    """Send one request on a new connection; return None without a response."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(message)
                return await read_message(reader)
            finally:
                writer.transport.abort()
    except (TimeoutError, OSError, ConnectionEnded):
        return None


Handler = Callable[[Message], Awaitable[bytes]]


class Server:
    """Serve the requests of each connection one after another.

    ``handler`` returns the bytes of the response. It is cancelled if the peer
    closes the connection meanwhile.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=2**20, backlog=1024
        )

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                response = await self._run(reader, message)
                writer.write(response)
                await writer.drain()
        except (ConnectionEnded, OSError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _run(self, reader: asyncio.StreamReader, message: Message) -> bytes:
        """Run the handler until it ends or the connection does."""
        work = asyncio.ensure_future(self._handler(message))
        ended = asyncio.ensure_future(_wait_for_end(reader))
        await asyncio.wait((work, ended), return_when=asyncio.FIRST_COMPLETED)
        if work.done():
            ended.cancel()
            return work.result()
        work.cancel()
        raise ConnectionEnded


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Wait until the peer has closed the connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)
