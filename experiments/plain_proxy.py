"""Plain asyncio proxy that the cost of a daemon is compared with."""

import asyncio
import sys

import uvloop

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.address import split_address
from eelgrassweir.daemon.http_client import BackendClient, ClientOptions
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.http_server import HttpServer

BODY_LIMIT_BYTES = 100_000
TIMEOUT_MS = 10_000.0


async def serve(address: str, backend_address: str) -> None:
    """Forward each request to the backend server until cancelled."""
    client = BackendClient(
        backend_address,
        clock=Clock(),
        body_limit_bytes=BODY_LIMIT_BYTES,
        options=ClientOptions(min_idle_ms=0, forwards_host=True),
    )

    async def forward(request: HttpRequest) -> HttpResponse:
        return await client.exchange(request, timeout_ms=TIMEOUT_MS)

    server = HttpServer(forward, body_limit_bytes=BODY_LIMIT_BYTES)
    await server.start(*split_address(address))
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1], sys.argv[2]))
