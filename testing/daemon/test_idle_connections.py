"""Guard against idle connections to a backend server that hold memory."""

import asyncio
import tracemalloc

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.held_bytes import HeldBytes
from eelgrassweir.daemon.http_client import BackendClient
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer

BODY_BYTES = 1_000_000
CONNECTION_COUNT = 16
TIMEOUT_MS = 10_000


def test_idle_connections_keep_neither_requests_nor_answers() -> None:
    """Guard against a pool whose connections keep their last messages.

    Answers of 4 MB took a daemon told 200 MB to 352 MB.
    """

    async def handle(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(0.05)
        return HttpResponse(200, (), bytes(BODY_BYTES))

    async def scenario() -> int:
        server = HttpServer(handle, body_limit_bytes=BODY_BYTES)
        await server.start("127.0.0.1", 0)
        client = BackendClient(
            f"127.0.0.1:{server.port}",
            clock=Clock(),
            body_limit_bytes=BODY_BYTES,
            held=HeldBytes(),
        )

        async def exchange() -> int:
            request = HttpRequest("POST", "/", (), bytes(BODY_BYTES // 10))
            return (await client.exchange(request, timeout_ms=TIMEOUT_MS)).status

        statuses = await asyncio.gather(*(exchange() for _ in range(CONNECTION_COUNT)))
        assert set(statuses) == {200}
        assert len(client._idle) == CONNECTION_COUNT
        held_bytes, _ = tracemalloc.get_traced_memory()
        client.close()
        await server.stop()
        return held_bytes

    tracemalloc.start()
    try:
        assert asyncio.run(scenario()) < BODY_BYTES
    finally:
        tracemalloc.stop()
