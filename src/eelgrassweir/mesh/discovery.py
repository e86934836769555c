"""Discover the running backend server after a restart of the daemon alone."""

from collections.abc import Callable

from eliot import log_message

from eelgrassweir.daemon.http_client import BackendClient, ExchangeError
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.proto.control_pb2 import Member
from eelgrassweir.requests.calls import UNKNOWN_START_WALL_MS, Announcement

PROBE_TIMEOUT_MS = 300.0


async def discover_backend(
    client: BackendClient,
    *,
    health_path: str,
    previous: Member,
    read_instance: Callable[[HttpResponse], str],
    read_cold_ms: Callable[[HttpResponse], int | None],
) -> Announcement | None:
    """Probe the address of the backend server with a health check.

    Return an announcement with the service and the slots of ``previous``, the
    member entry of the previous daemon process; any later announcement of a
    backend server replaces it. Return None without a healthy response, and
    for an instance that was leaving, which may still report itself healthy.
    """
    request = HttpRequest("GET", health_path, (), b"")
    try:
        response = await client.exchange(request, timeout_ms=PROBE_TIMEOUT_MS)
    except ExchangeError as error:
        log_message(message_type="backend:not_found", reason=str(error))
        return None
    instance = read_instance(response)
    if not instance:
        reason = f"status {response.status} without an instance"
        log_message(message_type="backend:not_found", reason=reason)
        return None
    if instance == previous.leaving_instance:
        reason = f"instance {instance} has announced that it leaves"
        log_message(message_type="backend:not_found", reason=reason)
        return None
    return Announcement(
        instance=instance,
        address=client.address,
        service=previous.service,
        slots=previous.slots,
        is_draining=False,
        started_wall_ms=UNKNOWN_START_WALL_MS,
        sequence=0,
        cold_ms=read_cold_ms(response),
    )
