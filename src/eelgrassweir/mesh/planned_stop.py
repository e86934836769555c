"""End of what is in flight when a daemon leaves."""

import asyncio
from collections.abc import Callable

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_server import HttpServer
from eelgrassweir.mesh.entry import EntryService
from eelgrassweir.mesh.target import TargetService

# Callers take up to two missed questions, a second apart, to learn that the
# daemon leaves, and may send for a while after that.
STOP_SERVE_MS = 3_500
# Requests of callers that come later than this could still run at the end of
# the grace time. Calls of requests in flight are taken a little longer.
REFUSE_ROOTS_MS = 3_000
REFUSE_ALL_MS = 4_200
# Requests still at work are given up in the last sixth of the grace time.
STOP_MARGIN_SHARE = 0.16
STOP_POLL_MS = 20
CLOSE_LIMIT_MS = 200


async def finish_requests(
    *,
    clock: Clock,
    caller_server: HttpServer,
    entry: EntryService,
    target: TargetService,
    in_flight_calls: Callable[[], int],
    grace_ms: float,
    drain_ms: float,
) -> None:
    """Serve until callers know of the stop, then end their connections.

    Returns within the grace time; what is still at work then is given up.
    """
    started_ms = clock.now_ms()
    caller_server.set_closing()
    longest_ms = grace_ms * (1.0 - STOP_MARGIN_SHARE)
    while True:
        waited_ms = clock.now_ms() - started_ms
        if waited_ms >= longest_ms:
            break
        if waited_ms >= STOP_SERVE_MS and not in_flight_calls():
            break
        entry.is_refusing_roots = waited_ms >= REFUSE_ROOTS_MS
        entry.is_refusing_all = waited_ms >= REFUSE_ALL_MS
        if waited_ms >= drain_ms / 2:
            target.is_stopping = True
        await asyncio.sleep(STOP_POLL_MS / 1e3)
    caller_server.fail_pending_requests()
    await _close_connections(clock, caller_server)


async def _close_connections(clock: Clock, caller_server: HttpServer) -> None:
    """Close callers' connections; those with an answer under way last."""
    end_ms = clock.now_ms() + CLOSE_LIMIT_MS
    while caller_server.connection_count and clock.now_ms() < end_ms:
        caller_server.close_idle()
        await asyncio.sleep(STOP_POLL_MS / 1e3)
