"""Find the backend server beside a daemon that was restarted on its own."""

from collections.abc import Callable

from eliot import log_message

from eelgrassweir.daemon.http_client import BackendClient, ExchangeError
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.proto.control_pb2 import Member
from eelgrassweir.requests.calls import Announcement

PROBE_TIMEOUT_MS = 300.0


async def discover_backend(
    client: BackendClient,
    *,
    health_path: str,
    earlier: Member,
    read_instance: Callable[[HttpResponse], str],
) -> Announcement | None:
    """Ask who answers at the backend server's address.

    The service and the slots are those of the earlier process's entry. Any
    announcement of a backend server replaces what is returned. One that had
    said that it leaves is not returned, whatever its health answer is.
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
    if instance == earlier.leaving_instance:
        reason = f"instance {instance} has announced that it leaves"
        log_message(message_type="backend:not_found", reason=reason)
        return None
    return Announcement(
        instance=instance,
        address=client.address,
        service=earlier.service,
        slots=earlier.slots,
        is_draining=False,
        started_wall_ms=0,
        sequence=0,
    )
