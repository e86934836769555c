"""Stand-in for clients that nobody controls, as a process of its own.

``python -m review.stand_ins_2.crowd PORT CLIENTS HEAD_BYTES SECONDS``

Each client opens a connection, sends a head over the limit, made of short
fields, waits for the end of the connection, and begins again.
"""

import asyncio
import contextlib
import sys
import time

FIELD = b"a:b\r\n"
CONNECT_TIMEOUT_S = 5.0


async def send_heads(port: int, head: bytes, end_s: float) -> int:
    """Send heads one after another until the end; return their number."""
    heads = 0
    while time.monotonic() < end_s:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.1)
            continue
        heads += 1
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(max(0.1, end_s - time.monotonic())):
                writer.write(head)
                while await reader.read(4_096):
                    pass
        writer.transport.abort()
    return heads


async def main(port: int, clients: int, head_bytes: int, length_s: float) -> None:
    """Run all clients."""
    end_s = time.monotonic() + length_s
    head = b"GET /fichero/2f HTTP/1.1\r\n" + FIELD * (head_bytes // len(FIELD))
    heads = await asyncio.gather(
        *(send_heads(port, head, end_s) for _ in range(clients))
    )
    print(sum(heads))


if __name__ == "__main__":
    asyncio.run(main(*map(int, sys.argv[1:4]), float(sys.argv[4])))
