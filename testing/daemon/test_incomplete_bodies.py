"""Guard against bodies that stop short of their end and keep the memory."""

import asyncio

import pytest

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.held_bytes import MIN_STALLED_S, HeldBytes, HeldRequest
from eelgrassweir.daemon.http_client import BackendClient
from eelgrassweir.daemon.http_message import (
    INLINE_BODY_BYTES,
    HttpRequest,
    HttpResponse,
)
from eelgrassweir.daemon.http_server import HttpServer
from eelgrassweir.daemon.incomplete_bodies import MIN_PROGRESS_BYTES, IncompleteBody

LIMIT_BYTES = 4_000_000
BODY_BYTES = 900_000
CLIENTS = 6
TIMEOUT_MS = 10_000


async def answer(_request: HttpRequest) -> HttpResponse:
    """Answer at once."""
    return HttpResponse(200, (), b"")


def test_held_bodies_make_room_for_one_that_arrives() -> None:
    """Guard against callers that get 503 until a crowd has left.

    The bodies that had stopped held the pool for 30 s.
    """

    async def scenario() -> None:
        pool = HeldBytes(LIMIT_BYTES)
        server = HttpServer(answer, body_limit_bytes=2 * BODY_BYTES, held=pool)
        await server.start("127.0.0.1", 0)
        head = f"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        held = []
        for _ in range(CLIENTS):
            held.append(await asyncio.open_connection("127.0.0.1", server.port))
            held[-1][1].write(head.encode() + b"a" * (BODY_BYTES - 1))
        await asyncio.sleep(2 * MIN_STALLED_S)
        client = BackendClient(
            f"127.0.0.1:{server.port}", clock=Clock(), body_limit_bytes=1_000
        )
        request = HttpRequest("POST", "/", (), b"a" * 2 * BODY_BYTES)
        response = await client.exchange(request, timeout_ms=TIMEOUT_MS)
        assert response.status == 200
        # Some are refused, as not run; no more of them than needed.
        refused = 0
        for reader, writer in held:
            writer.write(b"a")
            text = await reader.readline()
            refused += text.startswith(b"HTTP/1.1 503 ")
            assert text.split(b" ")[1] in (b"200", b"503")
            writer.close()
        assert 0 < refused < CLIENTS
        client.close()
        await server.stop()
        assert pool.used_bytes == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("is_held_up", [True, False])
def test_only_bodies_that_have_stopped_make_room(is_held_up: bool) -> None:
    """Guard against refusals of bodies that arrive, or wait at this end."""

    async def scenario() -> None:
        pool = HeldBytes(LIMIT_BYTES)
        refused: list[str] = []

        def make_body(name: str, is_held_up: bool) -> IncompleteBody:
            held = HeldRequest(pool)

            def refuse() -> None:
                refused.append(name)
                held.release()

            return IncompleteBody(
                pool, held, refuse=refuse, is_held_up=lambda: is_held_up
            )

        stopped = make_body("stopped", is_held_up)
        arriving = make_body("arriving", False)
        for body in (stopped, arriving):
            assert body.try_grow(LIMIT_BYTES // 3)
        for _ in range(6):
            await asyncio.sleep(MIN_STALLED_S / 5)
            assert arriving.try_grow(MIN_PROGRESS_BYTES)
        newest = make_body("newest", False)
        assert newest.try_grow(LIMIT_BYTES // 3) is not is_held_up
        assert refused == ([] if is_held_up else ["stopped"])
        arriving.release()
        stopped.release()
        await asyncio.sleep(1.2 * MIN_STALLED_S)
        refused.clear()
        assert not make_body("more", False).try_grow(LIMIT_BYTES // 2)
        assert "arriving" not in refused

    asyncio.run(scenario())


def test_short_requests_have_room_beside_long_bodies() -> None:
    """Guard against long bodies that leave no room to usual requests."""
    pool = HeldBytes(LIMIT_BYTES)
    while HeldRequest(pool).try_grow_body(2 * INLINE_BODY_BYTES):
        pass
    assert HeldRequest(pool).try_grow_body(INLINE_BODY_BYTES)
