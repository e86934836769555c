"""Tests of the caller stand-in: validity of responses and use of tickets."""

import asyncio
import json

from testing.stand_ins.backend_server import BackendServer, Spec
from testing.stand_ins.caller import Caller, Outcome, Plan, Stream
from testing.stand_ins.http1 import Request, Response, get_port, serve

SEED = 7


def make_stream(method: str = "GET", **fields: float) -> Stream:
    return Stream(
        team="academia",
        key="k",
        kind="view",
        method=method,
        path="/fichero/view",
        **{"rate_per_s": 200.0, **fields},  # type: ignore[arg-type]
    )


async def run_against(address: str, stream: Stream) -> list[Outcome]:
    plan = Plan(
        entries=[address], streams=[stream], duration_ms=150, output="", seed=SEED
    )
    caller = Caller(plan)
    await caller.run()
    return caller.outcomes


def test_intact_responses_of_a_backend_server_are_counted() -> None:
    """Guard against counting intact responses as invalid."""

    async def test() -> None:
        server = BackendServer(Spec(service="fichero", service_ms=1.0))
        await server.start()
        outcomes = await run_against(server.address, make_stream())
        await server.stop()
        assert len(outcomes) >= 10
        assert all(outcome.whole for outcome in outcomes)

    asyncio.run(test())


def test_response_to_another_request_is_not_intact() -> None:
    """Guard against accepting the response to another request."""
    bodies: list[bytes] = []

    async def send_previous_body(request: Request) -> Response:
        """Respond with the body that belongs to the previous request."""
        marker = request.get_header(b"X-Marker").decode()
        body = {"marker": marker, "length": 0, "checksum": 0, "payload": ""}
        bodies.append(json.dumps(body).encode())
        return Response(200, bodies[max(0, len(bodies) - 2)])

    async def test() -> None:
        server = await serve(send_previous_body)
        address = f"127.0.0.1:{get_port(server)}"
        outcomes = await run_against(address, make_stream())
        server.close()
        assert [outcome.whole for outcome in outcomes[:3]] == [True, False, False]

    asyncio.run(test())


def test_ticket_is_reused_until_a_refusal_says_not_run() -> None:
    """Guard against a new ticket for a filing that may have run."""
    seen: dict[str, list[str]] = {}

    def refuse(status: int, code: str, not_run: bool, ticket: str) -> Response:
        body = json.dumps({"code": code, "not_run": not_run, "ticket": ticket})
        header = (b"Eelgrassweir-Refusal", code.encode())
        return Response(status, body.encode(), [header])

    async def handle(request: Request) -> Response:
        tickets = seen.setdefault(request.get_header(b"X-Marker").decode(), [])
        tickets.append(request.get_header(b"Idempotency-Key").decode())
        if len(tickets) == 1:
            return refuse(428, "ticket_required", True, "t1")
        if len(tickets) == 2:
            return refuse(502, "outcome_unknown", False, "")
        if len(tickets) == 3:
            return refuse(503, "overloaded", True, "t2")
        return refuse(503, "overloaded", True, "t3")

    async def test() -> None:
        server = await serve(handle)
        address = f"127.0.0.1:{get_port(server)}"
        outcomes = await run_against(address, make_stream("POST", resends=3))
        server.close()
        assert list(seen.values())[0] == ["", "t1", "t1", "t2", "t3"]
        assert not any(outcome.never_run for outcome in outcomes)

    asyncio.run(test())


def test_ticket_is_reused_when_an_entry_refuses_the_connection() -> None:
    """Guard against a new ticket for a filing that may have run.

    An attempt without a connection was not sent, but an earlier one may have
    run.
    """
    seen: dict[str, list[str]] = {}

    async def handle(request: Request) -> Response:
        tickets = seen.setdefault(request.get_header(b"X-Marker").decode(), [])
        tickets.append(request.get_header(b"Idempotency-Key").decode())
        body = json.dumps({"ticket": "t1", "not_run": True})
        if tickets[-1] == "":
            return Response(428, body.encode(), [(b"Eelgrassweir-Refusal", b"x")])
        return Response(500, b"{}")

    async def test() -> None:
        server = await serve(handle)
        address = f"127.0.0.1:{get_port(server)}"
        closed = await serve(handle)
        closed_address = f"127.0.0.1:{get_port(closed)}"
        closed.close()
        plan = Plan(
            entries=[address, closed_address],
            streams=[make_stream("POST", resends=20)],
            duration_ms=150,
            output="",
            seed=SEED,
        )
        caller = Caller(plan)
        await caller.run()
        server.close()
        for tickets in seen.values():
            assert set(tickets[1:]) <= {"t1"}

    asyncio.run(test())
