"""Clients that nobody controls: heads and bodies that are held or too long."""

import asyncio
import contextlib

import attrs

from testing.mesh.fleet import HOST

CHUNK_BYTES = 65_536
START = b"GET / HTTP/1.1\r\nHost: a\r\n"
# Time between two connections of a client.
CONNECT_PAUSE_S = 0.02
CHUNKED = b"Transfer-Encoding: chunked\r\n"


@attrs.frozen(kw_only=True)
class Attack:
    """What each client of a crowd sends.

    A client sends ``start`` and then ``repeated`` up to ``repeats`` times, as
    fast as it is read. With ``holds`` it then keeps its connection open until
    the daemon closes it. It connects again up to ``rounds`` times. The first
    ``finishers`` clients send ``end`` instead, and wait for an answer.
    """

    name: str
    start: bytes
    repeated: bytes = b""
    repeats: int = 0
    holds: bool = False
    clients: int
    rounds: int = 1_000
    end: bytes = b""
    finishers: int = 0


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


def make_post(path: str, *fields: bytes) -> bytes:
    """Return the head of a filing with these header lines."""
    line = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd\r\n"
    return line.encode() + b"".join(fields) + b"\r\n"


def make_body_attacks(path: str, body_bytes: int) -> tuple[Attack, ...]:
    """Return all forms of bodies; each may have up to ``body_bytes``."""
    announced = make_post(path, b"Content-Length: %d\r\n" % body_bytes)
    chunked = make_post(path, CHUNKED)
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"a" * CHUNK_BYTES)
    return (
        Attack(
            name="whole_bodies",
            start=announced + b"a" * (body_bytes - 1),
            holds=True,
            end=b"a",
            clients=150,
            finishers=10,
        ),
        Attack(
            name="bodies_in_pieces",
            start=announced + b"a" * (body_bytes % 1_000 + 999),
            repeated=b"a" * 1_000,
            repeats=body_bytes // 1_000 - 1,
            holds=True,
            end=b"a",
            clients=150,
            finishers=10,
        ),
        Attack(
            name="large_chunks",
            start=chunked,
            repeated=chunk,
            repeats=body_bytes // CHUNK_BYTES,
            holds=True,
            end=b"0\r\n\r\n",
            clients=150,
            finishers=10,
        ),
        Attack(
            name="one_byte_chunks",
            start=chunked,
            repeated=b"1\r\na\r\n" * 10_000,
            repeats=50,
            holds=True,
            end=b"0\r\n\r\n",
            clients=100,
            finishers=5,
        ),
        Attack(
            name="announced_excess",
            start=make_post(path, b"Content-Length: 500000000\r\n"),
            repeated=b"a" * CHUNK_BYTES,
            repeats=512,
            clients=40,
        ),
        Attack(
            name="sent_excess",
            start=chunked,
            repeated=chunk,
            repeats=512,
            clients=40,
        ),
    )


async def attack(address: str, form: Attack, limit_s: float) -> None:
    """Run a crowd for at most ``limit_s``."""
    end = asyncio.get_running_loop().time() + limit_s
    finishing = attrs.evolve(form, holds=False)
    await asyncio.gather(
        *(
            _run_client(address, finishing if number < form.finishers else form, end)
            for number in range(form.clients)
        )
    )


async def _run_client(address: str, form: Attack, end_s: float) -> None:
    loop = asyncio.get_running_loop()
    for _ in range(form.rounds):
        if loop.time() >= end_s:
            break
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout_at(end_s):
                await _send(address, form)
        await asyncio.sleep(CONNECT_PAUSE_S)


async def _send(address: str, form: Attack) -> None:
    """Send what the form says on one connection, and leave without a close."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(form.start)
        await writer.drain()
        for _ in range(form.repeats):
            writer.write(form.repeated)
            await writer.drain()
        if form.end and not form.holds:
            writer.write(form.end)
            await reader.readline()
        while form.holds and await reader.read(CHUNK_BYTES):
            pass
    except OSError:
        # The daemon has closed the connection, which is allowed.
        return
    finally:
        writer.transport.abort()
