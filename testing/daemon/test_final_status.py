"""Guard against responses whose status is no final one of HTTP.

A target sent a response with the status 000. With a signature it held the
request until its deadline; 600 and 999 reached the caller as responses.
"""

import asyncio

import pytest

from eelgrassweir.clock import Clock
from eelgrassweir.daemon.http_client import (
    BackendClient,
    ClientOptions,
    ExchangeError,
    SendStatus,
)
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.platform import messages
from testing.mesh.fleet import (
    HEALTH_PATH,
    BackendStandIn,
    MeshFleet,
    make_route,
    mesh_fleet,
)

# Options of the daemon of the platform, and of the product's own interface.
OPTIONS = {
    "platform": ClientOptions(
        min_idle_ms=0,
        no_reuse_ms=0,
        accepts_close_delimited=True,
        match_response=messages.match_response,
    ),
    "product": ClientOptions(),
}
FIELDS = b"X-Request-Id: r\r\nX-Response-Signature: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Content-Length: 2\r\n\r\nok"
# A response that waits for the deadline is answered after this time.
TIMEOUT_MS = 3_000


async def exchange_with(
    answer: bytes, options: ClientOptions, method: str
) -> HttpResponse:
    """Return the client's response to an answer on a connection kept open."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = BackendClient(
        f"{host}:{port}", clock=Clock(), body_limit_bytes=1_000, options=options
    )
    request = HttpRequest(method, "/", (("X-Request-Id", "r"),), b"")
    async with server:
        try:
            return await client.exchange(request, timeout_ms=TIMEOUT_MS)
        finally:
            client.close()


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("framing", [b"", b"Content-Length: 2\r\n"])
@pytest.mark.parametrize("status", [b"000", b"042", b"099", b"600", b"999"])
@pytest.mark.parametrize("options", OPTIONS.values(), ids=OPTIONS)
def test_status_that_is_not_final_is_an_unknown_outcome(
    options: ClientOptions, status: bytes, framing: bytes, method: str
) -> None:
    """Guard against a wait for the deadline and a response without sense."""
    answer = b"HTTP/1.1 " + status + b" X\r\n" + FIELDS + framing + b"\r\nok"
    with pytest.raises(ExchangeError) as caught:
        asyncio.run(exchange_with(answer, options, method))
    assert caught.value.sent is SendStatus.MAYBE_SENT
    assert not caught.value.is_timeout


@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"199"])
@pytest.mark.parametrize("options", OPTIONS.values(), ids=OPTIONS)
def test_interim_response_is_skipped(options: ClientOptions, status: bytes) -> None:
    """Guard against a final response that is lost behind an interim one."""
    answer = b"HTTP/1.1 " + status + b" X\r\n\r\n" + OK
    response = asyncio.run(exchange_with(answer, options, "GET"))
    assert (response.status, response.body) == (200, b"ok")


@pytest.mark.parametrize("status", [b"200", b"418", b"503", b"599"])
@pytest.mark.parametrize("options", OPTIONS.values(), ids=OPTIONS)
def test_final_response_is_returned(options: ClientOptions, status: bytes) -> None:
    """Guard against a response with an uncommon status that is dropped."""
    response = asyncio.run(exchange_with(OK.replace(b"200", status), options, "GET"))
    assert response.status == int(status)


async def start_targets(fleet: MeshFleet, kind: str) -> None:
    """Start an entry, a failing target and a sound one of a route's kind."""
    await fleet.add(BackendStandIn("lists", "i-0"))
    await fleet.add(BackendStandIn("notes", "i-1", status=600))
    await fleet.add(BackendStandIn("notes", "i-2"))
    fleet.configure(make_route("/a/", "notes", kind=kind))
    await fleet.wait_until_converged()


def count_runs(backend: BackendStandIn) -> int:
    """Return the number of requests that a backend server ran."""
    return sum(run.path != HEALTH_PATH for run in backend.runs)


@pytest.mark.parametrize(("kind", "status"), [("safe", 200), ("once", 502)])
def test_caller_gets_another_response_or_502(kind: str, status: int) -> None:
    """Guard against a second run of a request that may have run.

    The retry budget allows the retry of the first request that fails.
    """

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            await start_targets(fleet, kind)
            _, failing, sound = fleet.backends
            while not count_runs(failing):
                sound_runs = count_runs(sound)
                response = await fleet.call(fleet.daemons[0], "/a/b", method="POST")
            assert response.status == status
            assert count_runs(sound) - sound_runs == (status == 200)

    asyncio.run(scenario())
