"""Open the listeners of a daemon, also where a port is taken for a while."""

import asyncio
import errno
from collections.abc import Awaitable, Callable

from eliot import log_message

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.address import split_address

RETRY_DELAY_MS = 100
# Below the grace time of a planned stop, which waits for the listeners.
MAX_WAIT_MS = 5_000


async def open_listener(
    purpose: str,
    address: str,
    start: Callable[[str, int], Awaitable[None]],
    clock: Clock,
) -> None:
    """Start a server at an address, once its port is free.

    A port may still be held by the earlier process or by an outgoing
    connection.

    :raises OSError: if the server cannot listen, or its port is not free in
        time.
    """
    host, port = split_address(address)
    end_ms = clock.now_ms() + MAX_WAIT_MS
    is_logged = False
    while True:
        try:
            await start(host, port)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or clock.now_ms() >= end_ms:
                raise
            if not is_logged:
                log_message(
                    message_type="daemon:port_taken", purpose=purpose, address=address
                )
                is_logged = True
        else:
            return
        await asyncio.sleep(RETRY_DELAY_MS / 1e3)
