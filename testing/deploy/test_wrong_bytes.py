"""Guard against daemons that bytes of other programs keep from serving.

The daemons are real processes, built and started as the deploy file says.
"""

import asyncio
import contextlib
import pathlib
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest

from eelgrassweir.daemon.link_frames import encode_frame
from eelgrassweir.proto import link_pb2
from testing.deploy.checkout import Checkout
from testing.deploy.site import Site, exchange, make_request
from testing.mesh.fleet import make_config_document, make_route

READY_LIMIT_S = 20.0
FLOOD_S = 3.0
FLOOD_BLOCK_BYTES = 262_144
REQUEST_INTERVAL_S = 0.05
# The runs of the backend servers take 50 ms.
ANSWER_LIMIT_S = 1.0
RECONNECT_DELAY_S = 0.01


def encode(**kind: Any) -> bytes:
    """Return the bytes of one frame of a link."""
    return b"".join(encode_frame(link_pb2.Frame(**kind)))


HELLO = encode(hello=link_pb2.Hello(vm="other", incarnation="1"))
PING = encode(ping=link_pb2.Ping(id=1))
CANCEL = encode(cancel=link_pb2.Cancel(stream_id=1))
BORROW = encode(borrow=link_pb2.Borrow(stream_id=1, request=b""))
FOLLOW = encode(follow=link_pb2.Follow(stream_id=1, wait_ms=1_000))
LEAVES = encode(share_leaves=link_pb2.ShareLeaves(stream_id=1, vm="other"))
REQUEST = encode(request=link_pb2.Request(stream_id=1, path="/a/1"))
RENEWAL = encode(renew_lease=link_pb2.RenewLease(stream_id=1, lease_id=1))
# What a connection sends first, and what it repeats without end.
FLOODS = {
    "zero bytes": (b"", b"\0"),
    "zero bytes behind a hello": (HELLO, b"\0"),
    "hellos": (b"", HELLO),
    "pings": (HELLO, PING),
    "cancels": (HELLO, CANCEL),
    "borrow requests": (HELLO, BORROW),
    "follow requests": (HELLO, FOLLOW),
    "leaves": (HELLO, LEAVES),
    "requests": (HELLO, REQUEST),
    "renewals": (HELLO, RENEWAL),
    "frames without a hello": (b"", PING),
    "HTTP": (b"", b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
}


@contextlib.asynccontextmanager
async def open_site(built: Checkout, folder: pathlib.Path) -> AsyncIterator[Site]:
    """Start a site with two VMs of one service, which serves ``/notes/``."""
    site = Site(built, folder)
    for zone in ("a", "b"):
        site.add_vm(zone, "notes")
    routes = [make_route("/notes/", "notes")]
    site.store.put("op/config", make_config_document(1, routes))
    try:
        await site.start_store()
        await site.start_daemons()
        await site.wait_until_served(["/notes/1"], READY_LIMIT_S)
        yield site
    finally:
        await site.stop()


async def flood(address: str, first: bytes, repeated: bytes, end_s: float) -> None:
    """Write to one connection at a time without reading, until ``end_s``."""
    block = repeated * (FLOOD_BLOCK_BYTES // len(repeated))
    host, _, port = address.rpartition(":")
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(end_s - time.monotonic()):
                _, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(first)
                    while True:
                        writer.write(block)
                        await writer.drain()
                finally:
                    writer.transport.abort()
        await asyncio.sleep(RECONNECT_DELAY_S)


async def measure_answers(
    site: Site, is_ending: Callable[[], bool]
) -> list[tuple[int | None, float]]:
    """Send requests through all VMs; return statuses and durations in s."""

    async def measure(address: str, request_id: str) -> tuple[int | None, float]:
        started_s = time.monotonic()
        status = await exchange(address, make_request("/notes/1", request_id))
        return status, time.monotonic() - started_s

    tasks: list[asyncio.Task[tuple[int | None, float]]] = []
    while not is_ending():
        for vm in site.vms:
            request_id = f"{vm.name}-{len(tasks)}"
            measurement = measure(vm.listen["outbound"], request_id)
            tasks.append(asyncio.create_task(measurement))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize("name", FLOODS)
def test_flood_of_a_link_delays_no_caller(
    built: Checkout, tmp_path: pathlib.Path, name: str
) -> None:
    """Guard against one connection that takes all time of a daemon."""
    first, repeated = FLOODS[name]

    async def scenario() -> None:
        async with open_site(built, tmp_path) as site:
            end_s = time.monotonic() + FLOOD_S
            flooding = asyncio.create_task(
                flood(site.vms[0].listen["inbound"], first, repeated, end_s)
            )
            # Requests after the flood are included.
            answers = await measure_answers(
                site, lambda: time.monotonic() > end_s + 1.0
            )
            await flooding
            assert not site.list_ended()
            assert {status for status, _ in answers} == {200}
            assert max(duration_s for _, duration_s in answers) < ANSWER_LIMIT_S

    asyncio.run(scenario())
