"""Graceful shutdown: finish the requests in flight in a planned stop."""

import asyncio
from collections.abc import Callable

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_server import HttpServer
from eelgrassweir.mesh.entry import EntryService
from eelgrassweir.mesh.target import TargetService

# Callers check the readiness once a second. They notice a planned stop after
# up to two failed checks and may still send requests for a while after that.
MIN_SERVE_MS = 3_500
# Root requests that arrive later than this might not finish within the grace
# time. Calls of requests in flight are accepted a little longer.
REFUSE_ROOTS_AFTER_MS = 3_000
REFUSE_ALL_AFTER_MS = 4_200
# Requests that still run in the last sixth of the grace time are failed.
STOP_MARGIN_SHARE = 0.16
STOP_POLL_MS = 20
CLOSE_TIMEOUT_MS = 200
# Longest time in which connections that wait are accepted before the listener
# closes.
MAX_ACCEPT_MS = 80
# Time from the end of the stop in which the request of a connection that was
# just opened arrives.
FIRST_REQUEST_MS = 160


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
    """Serve until callers know of the stop, then close their connections.

    Returns within ``grace_ms``; requests that still run by then are failed.
    """
    started_ms = clock.now_ms()
    caller_server.set_closing()
    max_wait_ms = grace_ms * (1.0 - STOP_MARGIN_SHARE)
    entry.stop_end_ms = started_ms + max_wait_ms
    while True:
        waited_ms = clock.now_ms() - started_ms
        if waited_ms >= max_wait_ms:
            break
        if waited_ms >= MIN_SERVE_MS and not in_flight_calls():
            break
        entry.is_refusing_roots = waited_ms >= REFUSE_ROOTS_AFTER_MS
        entry.is_refusing_all = waited_ms >= REFUSE_ALL_AFTER_MS
        if waited_ms >= drain_ms / 2:
            target.is_stopping = True
        await asyncio.sleep(STOP_POLL_MS / 1e3)
    # A request that arrives while the connections close would be cut off.
    entry.is_refusing_all = True
    caller_server.fail_pending_requests()
    await close_connections(clock, caller_server)


async def close_connections(clock: Clock, caller_server: HttpServer) -> None:
    """Close the callers' connections, each once its response is written.

    The listener closes first. Those opened just before have time to send their
    request, which is refused as not run.
    """
    started_ms = clock.now_ms()
    await _accept_waiting(clock, caller_server)
    caller_server.stop_listening()
    while caller_server.connection_count:
        waited_ms = clock.now_ms() - started_ms
        if waited_ms >= CLOSE_TIMEOUT_MS:
            return
        if waited_ms >= FIRST_REQUEST_MS:
            caller_server.close_idle()
        await asyncio.sleep(STOP_POLL_MS / 1e3)


async def _accept_waiting(clock: Clock, caller_server: HttpServer) -> None:
    """Accept the connections that wait; the system would reset them."""
    end_ms = clock.now_ms() + MAX_ACCEPT_MS
    while clock.now_ms() < end_ms:
        accepted_count = caller_server.accepted_count
        await asyncio.sleep(STOP_POLL_MS / 1e3)
        if caller_server.accepted_count == accepted_count:
            return
