"""Path of one machine to the store, which can be cut."""

import asyncio
import contextlib


class StorePath:
    """Forward connections to the store; refuse them while the path is cut."""

    def __init__(self, port: int, store_address: str) -> None:
        self._port = port
        self._store_port = int(store_address.rpartition(":")[2])
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Accept connections."""
        if self._server is not None:
            return
        self._server = await asyncio.start_server(
            self._forward, "127.0.0.1", self._port
        )

    def cut(self) -> None:
        """Reset the connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            with contextlib.suppress(RuntimeError):
                writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            store_reader, store_writer = await asyncio.open_connection(
                "127.0.0.1", self._store_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, store_writer}
        await asyncio.gather(_copy(reader, store_writer), _copy(store_reader, writer))
        self._writers -= {writer, store_writer}


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy bytes until one end closes, then close the other."""
    with contextlib.suppress(OSError, RuntimeError, asyncio.CancelledError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    with contextlib.suppress(RuntimeError):
        writer.close()
