"""TCP proxy that delays, cuts, silences or refuses connections.

``TcpProxy`` runs in the process of a test. ``python -m
testing.stand_ins.tcp_proxy --targets JSON`` runs one as a process, which is
controlled over HTTP.
"""

import argparse
import asyncio
import json
import pathlib
import signal
import threading
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import attrs

from testing.stand_ins.http1 import Request, Response, get_port, serve

DIRECTIONS = ("to_target", "to_client")
READ_BYTES = 65_536

T = TypeVar("T")
# Takes the ports of the client and of the listener.
IsPartitioned = Callable[[int, int], bool]


@attrs.define(eq=False)
class _ProxiedConnection:
    """One proxied connection, as a pair of streams."""

    client: asyncio.StreamWriter
    target: asyncio.StreamWriter
    # Directions whose bytes are read and discarded.
    silenced: set[str] = attrs.field(factory=set)

    @property
    def client_port(self) -> int:
        """Return the port from which the client connected."""
        return int(self.client.get_extra_info("peername")[1])

    def cut(self) -> None:
        for writer in (self.client, self.target):
            writer.transport.abort()


class ProxyListener:
    """Forward the connections to one port to one target address."""

    def __init__(self, target_address: str, port: int = 0) -> None:
        host, _, target_port = target_address.rpartition(":")
        self._target = (host, int(target_port))
        self._port = port
        self._server: asyncio.Server | None = None
        self._connections: set[_ProxiedConnection] = set()
        self.delay_ms = 0.0
        self.is_refusing = False
        self.accepted_count = 0
        # Whether a connection, new or established, is to be silenced.
        self.is_partitioned: IsPartitioned = lambda client_port, port: False
        self.forwarded_bytes = dict.fromkeys(DIRECTIONS, 0)

    @property
    def address(self) -> str:
        """Return the address that clients connect to."""
        return f"127.0.0.1:{self._port}"

    @property
    def open_connections(self) -> int:
        """Return the number of established connections."""
        return len(self._connections)

    async def start(self) -> None:
        """Listen; after a stop, on the same port as before."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self._port)
        self._port = get_port(self._server)

    async def stop(self) -> None:
        """Stop listening and cut every connection."""
        self.cut()
        if self._server is not None:
            self._server.close()
            self._server = None

    def cut(self) -> None:
        """Reset every established connection."""
        for connection in list(self._connections):
            connection.cut()

    def silence(self, directions: tuple[str, ...] = DIRECTIONS) -> int:
        """Discard all bytes of established connections; return their number.

        The connections stay open, and later ones are not affected.
        """
        for connection in self._connections:
            connection.silenced.update(directions)
        return len(self._connections)

    def partition(self, is_partitioned: IsPartitioned) -> None:
        """Silence the connections of some clients, later ones included.

        Connections that were silenced and no longer match are reset.
        """
        self.is_partitioned = is_partitioned
        for connection in list(self._connections):
            if is_partitioned(connection.client_port, self._port):
                connection.silenced.update(DIRECTIONS)
            elif connection.silenced:
                connection.cut()

    async def refuse(self, is_refusing: bool) -> None:
        """Refuse new connections, or accept them again."""
        self.is_refusing = is_refusing
        if is_refusing and self._server is not None:
            self._server.close()
            self._server = None
        if not is_refusing and self._server is None:
            await self.start()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self.accepted_count += 1
        connection = _ProxiedConnection(writer, target_writer)
        if self.is_partitioned(connection.client_port, self._port):
            connection.silenced.update(DIRECTIONS)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(connection, "to_target", reader, target_writer),
                self._forward(connection, "to_client", target_reader, writer),
            )
        except asyncio.CancelledError:
            # The proxy is closing; asyncio would log the cancellation.
            return
        finally:
            connection.cut()
            self._connections.discard(connection)

    async def _forward(
        self,
        connection: _ProxiedConnection,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one direction; the delay applies to each block of bytes."""
        loop = asyncio.get_running_loop()
        blocks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=1024)
        sender = asyncio.ensure_future(
            self._write_blocks(connection, direction, blocks, writer)
        )
        try:
            while True:
                data = await reader.read(READ_BYTES)
                await blocks.put((loop.time() + self.delay_ms / 1000, data))
                if not data:
                    break
            await sender
        except OSError:
            connection.cut()
        finally:
            sender.cancel()

    async def _write_blocks(
        self,
        connection: _ProxiedConnection,
        direction: str,
        blocks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await blocks.get()
            if due_s > loop.time():
                await asyncio.sleep(due_s - loop.time())
            # The end of a silenced stream is not forwarded either.
            if direction in connection.silenced:
                if not data:
                    await _wait_for_cut(writer)
                    return
                continue
            if not data:
                if writer.can_write_eof() and not writer.is_closing():
                    writer.write_eof()
                return
            self.forwarded_bytes[direction] += len(data)
            writer.write(data)
            await writer.drain()


async def _wait_for_cut(writer: asyncio.StreamWriter) -> None:
    while not writer.is_closing():
        await asyncio.sleep(0.05)


class TcpProxy:
    """Named listeners in a thread of their own.

    A context manager; every method is thread-safe.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._listeners: dict[str, ProxyListener] = {}

    def __enter__(self) -> "TcpProxy":
        self._thread.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        self.close()

    def close(self) -> None:
        """Stop every listener and the thread."""
        for listener in self._listeners.values():
            self._run_in_loop(listener.stop())
        self._run_in_loop(_cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def listen(self, name: str, target_address: str, port: int = 0) -> str:
        """Open the listener ``name`` and return its address."""
        listener = ProxyListener(target_address, port)
        self._run_in_loop(listener.start())
        self._listeners[name] = listener
        return listener.address

    def delay(self, name: str, delay_ms: float) -> None:
        """Delay the bytes of one listener by ``delay_ms`` per direction."""
        self._call_in_loop(lambda: setattr(self._listeners[name], "delay_ms", delay_ms))

    def cut(self, name: str) -> None:
        """Reset the established connections of one listener."""
        self._call_in_loop(self._listeners[name].cut)

    def silence(self, name: str, directions: tuple[str, ...] = DIRECTIONS) -> int:
        """Silence the established connections; return their number."""
        return self._call_in_loop(lambda: self._listeners[name].silence(directions))

    def partition(self, name: str, is_partitioned: IsPartitioned) -> None:
        """Silence the connections from some client ports of one listener."""
        self._call_in_loop(lambda: self._listeners[name].partition(is_partitioned))

    def refuse(self, name: str, is_refusing: bool = True) -> None:
        """Refuse new connections, or accept them again."""
        self._run_in_loop(self._listeners[name].refuse(is_refusing))

    def forwarded_bytes(self, name: str) -> dict[str, int]:
        """Return the bytes forwarded so far by direction."""
        return dict(self._listeners[name].forwarded_bytes)

    def open_connections(self, name: str) -> int:
        """Return the number of established connections."""
        return self._listeners[name].open_connections

    def _run_in_loop(self, work: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(10)

    def _call_in_loop(self, work: Callable[[], T]) -> T:
        async def call() -> T:
            return work()

        return self._run_in_loop(call())


async def _cancel_all() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _make_control_handler(listeners: dict[str, ProxyListener]) -> Callable[..., Any]:
    """Return the request handler of the control port.

    ``POST /set`` takes {"name", "action", "delay_ms", "directions"}, where the
    action is "delay", "cut", "silence", "refuse" or "accept"; ``GET /state``
    returns the address and the counts of each listener.
    """

    async def handle(request: Request) -> Response:
        if request.path == "/state":
            return Response(200, json.dumps(_describe_listeners(listeners)).encode())
        command = json.loads(request.body)
        listener = listeners[command["name"]]
        action = command["action"]
        if action == "delay":
            listener.delay_ms = float(command["delay_ms"])
        elif action == "cut":
            listener.cut()
        elif action == "silence":
            listener.silence(tuple(command.get("directions", DIRECTIONS)))
        elif action in ("refuse", "accept"):
            await listener.refuse(action == "refuse")
        else:
            return Response(400, b"{}")
        return Response(200, b"{}")

    return handle


def _describe_listeners(listeners: dict[str, ProxyListener]) -> dict[str, Any]:
    return {
        name: {
            "address": listener.address,
            "open": listener.open_connections,
            "accepted": listener.accepted_count,
            "forwarded_bytes": listener.forwarded_bytes,
        }
        for name, listener in listeners.items()
    }


async def _main(targets: dict[str, str], control_port: int, port_file: str) -> None:
    listeners = {name: ProxyListener(address) for name, address in targets.items()}
    for listener in listeners.values():
        await listener.start()
    server = await serve(_make_control_handler(listeners), control_port)
    if port_file:
        pathlib.Path(port_file).write_text(str(get_port(server)))
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()


def main() -> None:
    """Run one proxy process until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--targets", required=True, help="JSON: name to address")
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--port-file", default="")
    options = parser.parse_args()
    asyncio.run(
        _main(json.loads(options.targets), options.control_port, options.port_file)
    )


if __name__ == "__main__":
    main()
