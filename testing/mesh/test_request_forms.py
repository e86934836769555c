"""Guard against requests that are refused for the form of their head."""

import asyncio

import pytest

from testing.mesh.fleet import HOST, KEY, add_target, mesh_fleet


def test_absolute_form_reaches_the_route_of_its_host() -> None:
    """Guard against a 404 for a path that the configuration serves."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet)
            key = ("X-Credential", KEY)
            response = await fleet.call(daemon, f"http://{HOST}/a/1?b=2", key)
            assert response.status == 200
            assert [run.path for run in backend.runs] == ["/a/1?b=2"]

    asyncio.run(scenario())


OFFER = (
    "Connection: Upgrade, HTTP2-Settings\r\n"
    "Upgrade: h2c\r\n"
    "HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n"
)


@pytest.mark.parametrize("body", ["", "content"])
@pytest.mark.parametrize("is_pipelined", [False, True])
def test_connection_goes_on_behind_an_offer_of_another_protocol(
    body: str, is_pipelined: bool
) -> None:
    """Guard against the loss of requests behind one that offers HTTP/2."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet)
            host, port = daemon.settings.callers_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            requests = [
                f"GET /a/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Credential: {KEY}\r\n"
                f"{OFFER}Content-Length: {len(body)}\r\n\r\n{body}".encode()
                for number in range(3)
            ]
            if is_pipelined:
                requests = [b"".join(requests)]
            async with asyncio.timeout(5.0):
                for request in requests:
                    writer.write(request)
                    for _ in range(3 // len(requests)):
                        head = await reader.readuntil(b"\r\n\r\n")
                        assert head.startswith(b"HTTP/1.1 200 ")
                        assert b"content-length: 0" in head.lower()
            writer.close()
            await writer.wait_closed()
            assert sorted(run.path for run in backend.runs) == ["/a/0", "/a/1", "/a/2"]
            assert {run.body for run in backend.runs} == {body.encode()}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("method", "fields", "status"),
    [
        ("POST", "Transfer-Encoding: chunked\r\n\r\n7\r\ncontent\r\n0\r\n\r\n", 200),
        ("POST", "Expect: 100-continue\r\nContent-Length: 7\r\n\r\ncontent", 100),
        ("GET", f"X-Long: {'x' * 100_000}\r\n\r\n", 400),
        ("CONNECT", "\r\n", 400),
    ],
    ids=["chunked", "expect", "long", "connect"],
)
def test_offer_of_another_protocol_changes_no_request(
    method: str, fields: str, status: int
) -> None:
    """Guard against a body that is dropped, or taken for a request."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet)
            host, port = daemon.settings.callers_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            target = HOST + ":80" if method == "CONNECT" else "/a/1"
            head = (
                f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Credential: {KEY}\r\n"
            )
            data = f"{head}{OFFER}{fields}".encode()
            middle = len(data) - 5
            async with asyncio.timeout(5.0):
                writer.write(data[:middle])
                await writer.drain()
                await asyncio.sleep(0)
                writer.write(data[middle:])
                answer = await reader.readuntil(b"\r\n\r\n")
                assert answer.startswith(b"HTTP/1.1 %d " % status)
                if status == 100:
                    answer = await reader.readuntil(b"\r\n\r\n")
                    assert answer.startswith(b"HTTP/1.1 200 ")
            writer.close()
            await writer.wait_closed()
            bodies = [] if status == 400 else [b"content"]
            assert [run.body for run in backend.runs] == bodies

    asyncio.run(scenario())


def test_request_behind_a_refused_one_is_not_run() -> None:
    """Guard against a request that runs although its connection is closed."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            daemon, backend = await add_target(fleet)
            host, port = daemon.settings.callers_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"HTTP/1.1\r\nHost: {HOST}\r\nX-Credential: {KEY}\r\n"
            long_field = f"X-Long: {'x' * 100_000}\r\n"
            writer.write(f"GET /a/1 {head}{long_field}\r\nGET /a/2 {head}\r\n".encode())
            async with asyncio.timeout(5.0):
                answers = await reader.read()
            assert answers.startswith(b"HTTP/1.1 400 ")
            writer.close()
            await writer.wait_closed()
            # The target serves the next request after any of the first two.
            response = await fleet.call(daemon, "/a/3", ("X-Credential", KEY))
            assert response.status == 200
            assert [run.path for run in backend.runs] == ["/a/3"]

    asyncio.run(scenario())
