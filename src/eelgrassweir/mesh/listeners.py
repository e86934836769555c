"""Open the listeners of a daemon, also where a port is taken for a while."""

import asyncio
import errno
from collections.abc import Awaitable, Callable

from eliot import log_message

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.address import split_address

RETRY_DELAY_MS = 100
LOG_INTERVAL_MS = 10_000
# Errors that end without a change of the settings: the port is taken, the
# address is not up yet, or descriptors or memory are used up.
PASSING_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)


async def open_listener(
    purpose: str,
    address: str,
    start: Callable[[str, int], Awaitable[None]],
    clock: Clock,
) -> None:
    """Start a server at an address, as soon as its port is free.

    A port may still be held by the earlier process or by an outgoing
    connection.

    :raises OSError: if the server cannot listen for a lasting reason.
    """
    host, port = split_address(address)
    logged_errno = None
    logged_ms = 0.0
    while True:
        try:
            await start(host, port)
        except OSError as error:
            if error.errno not in PASSING_ERRORS:
                reason = f"{purpose} listener at {address}: {error}"
                raise OSError(error.errno, reason) from error
            now_ms = clock.now_ms()
            is_new = error.errno != logged_errno
            if is_new or now_ms - logged_ms >= LOG_INTERVAL_MS:
                log_message(
                    message_type="daemon:port_taken",
                    purpose=purpose,
                    address=address,
                    reason=str(error),
                )
                logged_errno = error.errno
                logged_ms = now_ms
        else:
            return
        await asyncio.sleep(RETRY_DELAY_MS / 1e3)
