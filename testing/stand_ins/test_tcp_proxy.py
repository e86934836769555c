"""Tests of the TCP proxy: which connections its faults affect."""

import asyncio
import threading
from collections.abc import Iterator

import pytest

from testing.fleet import wait_until
from testing.stand_ins.http1 import (
    ClientPool,
    ExchangeError,
    Request,
    Response,
    get_port,
    serve,
)
from testing.stand_ins.tcp_proxy import TcpProxy

seen: list[str] = []


async def _echo(request: Request) -> Response:
    seen.append(request.path)
    return Response(200, request.body)


@pytest.fixture
def target() -> Iterator[str]:
    """Run an echo server in a thread and return its address."""
    seen.clear()
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    server = asyncio.run_coroutine_threadsafe(serve(_echo), loop).result(5)
    yield f"127.0.0.1:{get_port(server)}"
    loop.call_soon_threadsafe(server.close)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()


async def echo(pool: ClientPool, path: str, timeout_ms: float = 5_000.0) -> bytes:
    response = await pool.request("POST", path, (), b"x" * 300_000, timeout_ms)
    return response.body


@pytest.mark.parametrize(
    ("direction", "reaches_target"), [("to_target", False), ("to_client", True)]
)
def test_silence_keeps_old_connections_open_and_new_ones_work(
    target: str, direction: str, reaches_target: bool
) -> None:
    """Guard against silence of the wrong direction or of new connections."""

    async def test(proxy: TcpProxy, address: str) -> None:
        pool = ClientPool(address)
        assert len(await echo(pool, "/first")) == 300_000
        assert proxy.silence("link", (direction,)) == 1
        with pytest.raises(TimeoutError):
            await echo(pool, "/silent", timeout_ms=200.0)
        assert ("/silent" in seen) == reaches_target
        assert len(await echo(pool, "/second")) == 300_000

    with TcpProxy() as proxy:
        asyncio.run(test(proxy, proxy.listen("link", target)))


def test_delay_cut_and_refuse_apply_until_they_are_reversed(target: str) -> None:
    """Guard against faults without effect and faults that do not end."""

    async def test(proxy: TcpProxy, address: str) -> None:
        pool = ClientPool(address)
        await echo(pool, "/first")
        proxy.delay("link", 60.0)
        start_s = asyncio.get_running_loop().time()
        await echo(pool, "/delayed")
        assert asyncio.get_running_loop().time() - start_s >= 0.120
        slow = asyncio.ensure_future(echo(pool, "/cut"))
        await asyncio.sleep(0)
        await asyncio.to_thread(
            wait_until, lambda: proxy.open_connections("link") == 1, 5_000
        )
        proxy.cut("link")
        with pytest.raises(ExchangeError):
            await slow
        proxy.refuse("link")
        with pytest.raises(ExchangeError) as refused:
            await echo(pool, "/refused")
        assert not refused.value.sent
        proxy.refuse("link", False)
        await echo(pool, "/accepted")

    with TcpProxy() as proxy:
        asyncio.run(test(proxy, proxy.listen("link", target)))
