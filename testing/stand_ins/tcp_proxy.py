"""TCP proxy that delays, cuts, silences or refuses connections."""

import argparse
import asyncio
import json
import pathlib
import signal
import threading
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import attrs

from testing.stand_ins.http1 import Request, Response, port_of, serve

DIRECTIONS = ("to_target", "to_client")
READ_BYTES = 65_536

T = TypeVar("T")
# Takes the client's port and the listener's.
IsCutOff = Callable[[int, int], bool]


@attrs.define(eq=False)
class _Pair:
    """One proxied connection."""

    client: asyncio.StreamWriter
    target: asyncio.StreamWriter
    # Directions whose bytes are read and dropped.
    silent: set[str] = attrs.field(factory=set)

    @property
    def client_port(self) -> int:
        """Return the port from which the client connected."""
        return int(self.client.get_extra_info("peername")[1])

    def cut(self) -> None:
        for writer in (self.client, self.target):
            writer.transport.abort()


class ProxyListener:
    """Forward the connections of one port to one target address."""

    def __init__(self, target_address: str, port: int = 0) -> None:
        host, _, target_port = target_address.rpartition(":")
        self._target = (host, int(target_port))
        self._port = port
        self._server: asyncio.Server | None = None
        self._pairs: set[_Pair] = set()
        self.delay_ms = 0.0
        self.refusing = False
        self.accepted = 0
        # Tells whether a connection is to be silent.
        self.is_cut_off: IsCutOff = lambda client_port, port: False
        self.forwarded_bytes = dict.fromkeys(DIRECTIONS, 0)

    @property
    def address(self) -> str:
        """Return the address that clients connect to."""
        return f"127.0.0.1:{self._port}"

    @property
    def open_connections(self) -> int:
        """Return the number of established connections."""
        return len(self._pairs)

    async def start(self) -> None:
        """Listen; the port stays the same for the life of the listener."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self._port)
        self._port = port_of(self._server)

    async def stop(self) -> None:
        """Stop listening and cut every connection."""
        self.cut()
        if self._server is not None:
            self._server.close()
            self._server = None

    def cut(self) -> None:
        """Reset every established connection."""
        for pair in list(self._pairs):
            pair.cut()

    def silence(self, directions: tuple[str, ...] = DIRECTIONS) -> int:
        """Drop all bytes of established connections; return their number.

        Nothing is closed, and connections made later work.
        """
        for pair in self._pairs:
            pair.silent.update(directions)
        return len(self._pairs)

    def partition(self, is_cut_off: IsCutOff) -> None:
        """Silence the connections of some clients, later ones included.

        Those that were silent and are not any more are reset.
        """
        self.is_cut_off = is_cut_off
        for pair in list(self._pairs):
            if is_cut_off(pair.client_port, self._port):
                pair.silent.update(DIRECTIONS)
            elif pair.silent:
                pair.cut()

    async def refuse(self, refusing: bool) -> None:
        """Refuse new connections, or accept them again."""
        self.refusing = refusing
        if refusing and self._server is not None:
            self._server.close()
            self._server = None
        if not refusing and self._server is None:
            await self.start()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self.accepted += 1
        pair = _Pair(writer, target_writer)
        if self.is_cut_off(pair.client_port, self._port):
            pair.silent.update(DIRECTIONS)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, "to_target", reader, target_writer),
                self._pump(pair, "to_client", target_reader, writer),
            )
        except asyncio.CancelledError:
            # The proxy is closing; asyncio would log the cancellation.
            return
        finally:
            pair.cut()
            self._pairs.discard(pair)

    async def _pump(
        self,
        pair: _Pair,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one direction; a delay is kept per block of bytes."""
        loop = asyncio.get_running_loop()
        blocks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=1024)
        sender = asyncio.ensure_future(self._send(pair, direction, blocks, writer))
        try:
            while True:
                data = await reader.read(READ_BYTES)
                await blocks.put((loop.time() + self.delay_ms / 1000, data))
                if not data:
                    break
            await sender
        except OSError:
            pair.cut()
        finally:
            sender.cancel()

    async def _send(
        self,
        pair: _Pair,
        direction: str,
        blocks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await blocks.get()
            if due_s > loop.time():
                await asyncio.sleep(due_s - loop.time())
            # The end of a silent connection is not passed on either.
            if direction in pair.silent:
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
    """Run named listeners in a thread; every method is thread-safe."""

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
            self._run(listener.stop())
        self._run(_cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def listen(self, name: str, target_address: str, port: int = 0) -> str:
        """Open the listener ``name`` and return its address."""
        listener = ProxyListener(target_address, port)
        self._run(listener.start())
        self._listeners[name] = listener
        return listener.address

    def delay(self, name: str, delay_ms: float) -> None:
        """Delay the bytes of one listener, in ms per direction."""
        self._call(lambda: setattr(self._listeners[name], "delay_ms", delay_ms))

    def cut(self, name: str) -> None:
        """Reset the established connections of one listener."""
        self._call(self._listeners[name].cut)

    def silence(self, name: str, directions: tuple[str, ...] = DIRECTIONS) -> int:
        """Silence the established connections; return their number."""
        return self._call(lambda: self._listeners[name].silence(directions))

    def partition(self, name: str, is_cut_off: IsCutOff) -> None:
        """Silence the connections from some client ports of one listener."""
        self._call(lambda: self._listeners[name].partition(is_cut_off))

    def refuse(self, name: str, refusing: bool = True) -> None:
        """Refuse new connections, or accept them again."""
        self._run(self._listeners[name].refuse(refusing))

    def forwarded_bytes(self, name: str) -> dict[str, int]:
        """Return the bytes forwarded so far by direction."""
        return dict(self._listeners[name].forwarded_bytes)

    def open_connections(self, name: str) -> int:
        """Return the number of established connections."""
        return self._listeners[name].open_connections

    def _run(self, work: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(10)

    def _call(self, work: Callable[[], T]) -> T:
        async def call() -> T:
            return work()

        return self._run(call())


async def _cancel_all() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _control(listeners: dict[str, ProxyListener]) -> Callable[..., Any]:
    """Return the handler of the control port.

    ``POST /set`` takes {"name", "action", "delay_ms", "directions"}; ``GET
    /state`` answers with the listeners.
    """

    async def handle(request: Request) -> Response:
        if request.path == "/state":
            return Response(200, json.dumps(_state(listeners)).encode())
        order = json.loads(request.body)
        listener = listeners[order["name"]]
        action = order["action"]
        if action == "delay":
            listener.delay_ms = float(order["delay_ms"])
        elif action == "cut":
            listener.cut()
        elif action == "silence":
            listener.silence(tuple(order.get("directions", DIRECTIONS)))
        elif action in ("refuse", "accept"):
            await listener.refuse(action == "refuse")
        else:
            return Response(400, b"{}")
        return Response(200, b"{}")

    return handle


def _state(listeners: dict[str, ProxyListener]) -> dict[str, Any]:
    return {
        name: {
            "address": listener.address,
            "open": listener.open_connections,
            "accepted": listener.accepted,
            "forwarded_bytes": listener.forwarded_bytes,
        }
        for name, listener in listeners.items()
    }


async def _main(targets: dict[str, str], control_port: int, port_file: str) -> None:
    listeners = {name: ProxyListener(address) for name, address in targets.items()}
    for listener in listeners.values():
        await listener.start()
    server = await serve(_control(listeners), control_port)
    if port_file:
        pathlib.Path(port_file).write_text(str(port_of(server)))
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()


def main() -> None:
    """Run one proxy process until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--targets", required=True, help="JSON: name to address")
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--port-file", default="")
    values = parser.parse_args()
    asyncio.run(
        _main(json.loads(values.targets), values.control_port, values.port_file)
    )


if __name__ == "__main__":
    main()
