"""Stand-in for the clients of one machine, which keep their connections."""

import asyncio

from stand_ins.http1 import ConnectionEnded, Message, read_message

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Clients:
    """Send requests to the daemon of one machine over kept connections."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle: list[Connection] = []

    async def send(self, message: bytes, timeout_s: float) -> Message | None:
        """Return the response to one request, None without a whole one."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await self._take_connection()
                try:
                    writer.write(message)
                    response = await read_message(reader)
                except BaseException:
                    writer.transport.abort()
                    raise
        except (TimeoutError, OSError, ConnectionEnded):
            return None
        if response.header("connection") == "close":
            writer.transport.abort()
        else:
            self._idle.append((reader, writer))
        return response

    async def _take_connection(self) -> Connection:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        return await asyncio.open_connection(self._host, self._port)

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self._idle:
            writer.transport.abort()
