"""Check of what a process uses while clients outside all limits call it."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from eelgrassweir.daemon.link_frames import LENGTH, encode_frame
from eelgrassweir.proto import link_pb2
from testing.mesh.client_crowd import Attack, attack
from testing.mesh.process_usage import (
    DescriptorWatch,
    count_descriptors,
    read_peak_bytes,
)

# Growth of a process whose pool of messages in progress has 16 MiB, or half of
# it: the other half is for connections and for bytes that are being read.
MAX_GROWTH_BYTES = 33_554_432
# Descriptors that the process may have, and may use. Some of them are left for
# the store, links and the backend server.
DESCRIPTORS = 420
MAX_DESCRIPTORS = 380
# Descriptors beyond those before the crowd, for connections of its own.
SPARE_DESCRIPTORS = 10
CROWD_S = 4.0
# Only keeps a test from hanging.
ANSWER_LIMIT_S = 40.0


async def is_linked(address: str) -> bool:
    """Return whether a ping on a new link is answered."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        hello = link_pb2.Hello(vm="vm-1", incarnation="1")
        for frame in (
            link_pb2.Frame(hello=hello),
            link_pb2.Frame(ping=link_pb2.Ping(id=7)),
        ):
            writer.write(b"".join(encode_frame(frame)))
        while True:
            (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
            frame = link_pb2.Frame.FromString(await reader.readexactly(length))
            if frame.HasField("pong"):
                return frame.pong.id == 7
    finally:
        writer.close()


async def wait_until_true(probe: Callable[[], Awaitable[bool]]) -> None:
    """Wait until one ordinary request is answered.

    :raises TimeoutError: if none is after ANSWER_LIMIT_S.
    """
    async with asyncio.timeout(ANSWER_LIMIT_S):
        while True:
            with contextlib.suppress(OSError, EOFError):
                if await probe():
                    return
            await asyncio.sleep(0.1)


async def _attack_until_answered(
    address: str, form: Attack, probe: Callable[[], Awaitable[bool]]
) -> None:
    """Run a crowd for CROWD_S, and until a request in its second half ends."""
    attacking = asyncio.create_task(attack(address, form, CROWD_S + ANSWER_LIMIT_S))
    try:
        await asyncio.sleep(CROWD_S / 2)
        await wait_until_true(probe)
        await asyncio.sleep(CROWD_S / 2)
        assert not attacking.done()
    finally:
        attacking.cancel()
        await asyncio.wait((attacking,))


async def check_crowd(
    pid: int,
    address: str,
    form: Attack,
    probe: Callable[[], Awaitable[bool]],
    *,
    answers_during: bool = False,
) -> None:
    """Run a crowd; check what the process uses, and one request after it.

    With ``answers_during`` the crowd stays until an ordinary request that was
    sent once all clients had connected is answered.
    """
    base_bytes, base_descriptors = read_peak_bytes(pid), count_descriptors(pid)
    watch = DescriptorWatch(pid)
    watching = asyncio.create_task(watch.run())
    if answers_during:
        await _attack_until_answered(address, form, probe)
    else:
        await attack(address, form, CROWD_S)
    watching.cancel()
    await wait_until_true(probe)
    grown_bytes = read_peak_bytes(pid) - base_bytes
    figures = (
        f"grown by {grown_bytes} bytes to {base_bytes + grown_bytes},"
        f" {watch.peak} descriptors"
    )
    print(figures)
    assert grown_bytes < MAX_GROWTH_BYTES, figures
    assert watch.peak < MAX_DESCRIPTORS, figures
    async with asyncio.timeout(ANSWER_LIMIT_S):
        while count_descriptors(pid) > base_descriptors + SPARE_DESCRIPTORS:
            await asyncio.sleep(0.1)
