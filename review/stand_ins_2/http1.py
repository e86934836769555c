"""Read HTTP/1.1 messages from a stream, without the code under review."""

import asyncio

import attrs

MAX_LINE_BYTES = 65_536


@attrs.define
class Message:
    """Head and body of one request or response."""

    start_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head; None at the end of the stream."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers.setdefault(name.lower(), value.strip())
    return Message(lines[0], headers)


async def read_message(
    reader: asyncio.StreamReader, *, has_body: bool = True
) -> Message:
    """Return the next message; its body has a length.

    :raises OSError: if the connection fails or ends within the message.
    """
    try:
        message = await read_head(reader)
        assert message is not None
        size_bytes = int(message.headers.get("content-length", "0"))
        if has_body and size_bytes:
            message.body = await reader.readexactly(size_bytes)
    except asyncio.IncompleteReadError:
        raise ConnectionError("the connection has ended") from None
    return message


def encode(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with the given headers."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
