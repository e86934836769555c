"""Open listening sockets."""

import asyncio
import errno
import ssl
from collections.abc import Callable

BACKLOG_CONNECTIONS = 1_024


async def open_server(
    make_protocol: Callable[[], asyncio.Protocol],
    host: str,
    port: int,
    tls: ssl.SSLContext | None = None,
) -> asyncio.Server:
    """Return a server that listens on ``host`` and ``port``.

    :raises OSError: if it cannot listen.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        make_protocol, host, port, ssl=tls, backlog=BACKLOG_CONNECTIONS
    )
    # The loop skips an address for which it gets no socket.
    if not server.sockets:
        server.close()
        raise OSError(errno.EMFILE, f"no socket to listen on {host}:{port}")
    return server
