"""Clients that stay within no limit: endless, held and oversized heads."""

import asyncio
import contextlib

import attrs

CHUNK_BYTES = 65_536
START = b"GET / HTTP/1.1\r\nHost: a\r\n"
# Memory that is written before the client looks at its connection again.
CONNECT_PAUSE_S = 0.02


@attrs.frozen(kw_only=True)
class Attack:
    """What each client of a crowd sends.

    A client sends ``start`` and then ``repeated`` up to ``repeats`` times, as
    fast as it is read. With ``holds`` it then keeps its connection open until
    the daemon closes it. It connects again up to ``rounds`` times.
    """

    name: str
    start: bytes
    repeated: bytes = b""
    repeats: int = 0
    holds: bool = False
    clients: int
    rounds: int = 1_000


def make_field(size_bytes: int) -> bytes:
    """Return the begin of a header field without its end."""
    return b"X-Long: " + b"a" * size_bytes


def make_attacks(held_bytes: int) -> tuple[Attack, ...]:
    """Return all forms; incomplete heads of ``held_bytes`` are held."""
    return (
        Attack(
            name="endless_field",
            start=START + make_field(0),
            repeated=b"a" * CHUNK_BYTES,
            repeats=512,
            clients=200,
        ),
        Attack(
            name="endless_fields",
            start=START,
            repeated=b"abc:def\r\n" * (CHUNK_BYTES // 9),
            repeats=512,
            clients=200,
        ),
        Attack(
            name="held_heads",
            start=START + make_field(held_bytes),
            holds=True,
            clients=500,
        ),
        Attack(
            name="held_fields",
            start=START + b"abc:def\r\n" * (held_bytes // 9),
            holds=True,
            clients=500,
        ),
        Attack(
            name="oversized_heads",
            start=START + make_field(300_000) + b"\r\n\r\n",
            clients=200,
        ),
        Attack(
            name="empty_lines",
            start=b"",
            repeated=b"\r\n" * (CHUNK_BYTES // 2),
            repeats=512,
            clients=40,
        ),
        Attack(
            name="endless_trailers",
            start=START
            + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
            + make_field(0),
            repeated=b"a" * CHUNK_BYTES,
            repeats=64,
            clients=40,
        ),
    )


async def attack(address: str, form: Attack, limit_s: float) -> int:
    """Run a crowd for at most ``limit_s``; return the bytes it has sent."""
    end = asyncio.get_running_loop().time() + limit_s
    sent = await asyncio.gather(
        *(_run_client(address, form, end) for _ in range(form.clients))
    )
    return sum(sent)


async def _run_client(address: str, form: Attack, end_s: float) -> int:
    loop = asyncio.get_running_loop()
    sent_bytes = 0
    for _ in range(form.rounds):
        if loop.time() >= end_s:
            break
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout_at(end_s):
                sent_bytes += await _send(address, form)
        await asyncio.sleep(CONNECT_PAUSE_S)
    return sent_bytes


async def _send(address: str, form: Attack) -> int:
    """Send what the form says on one connection, and leave without a close."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    sent_bytes = len(form.start)
    try:
        writer.write(form.start)
        await writer.drain()
        for _ in range(form.repeats):
            writer.write(form.repeated)
            await writer.drain()
            sent_bytes += len(form.repeated)
        while form.holds and await reader.read(CHUNK_BYTES):
            pass
    except OSError:
        # The daemon has closed the connection, which is allowed.
        return sent_bytes
    finally:
        writer.transport.abort()
    return sent_bytes
