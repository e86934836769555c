"""Stand-in for a client that repeats a lookup on a kept connection."""

import asyncio

from stand_ins.deployment import Machine, Record, make_request
from stand_ins.http1 import ConnectionEnded, read_message


async def repeat_lookup(
    record: Record,
    machine: Machine,
    name: str,
    path: str,
    key: str,
    deadline_ms: int,
    stop: asyncio.Event,
) -> str | None:
    """Send one lookup after another until ``stop`` is set.

    Return the id of the request whose connection the daemon closed without an
    answer, None if there is none. A connection is a kept one once it has
    served a request; the first request is not returned.
    """
    host, _, port = machine.outbound.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    index = 0
    try:
        while not stop.is_set():
            request_id = f"{name}-{index}"
            writer.write(make_request("GET", path, request_id, deadline_ms, key, b""))
            record.write("sent", id=request_id)
            response = await read_message(reader)
            record.write("answer", id=request_id, status=response.status)
            index += 1
    except (ConnectionEnded, OSError):
        record.write("closed_by_daemon", id=request_id)
        return request_id if index else None
    finally:
        writer.transport.abort()
    return None
