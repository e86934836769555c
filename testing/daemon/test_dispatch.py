"""Guard against calls that fail while another target could take them."""

import asyncio
import random
from typing import Any, cast

import pytest

from eelgrassweir.admission.backpressure import BackpressureTable
from eelgrassweir.clock import Clock
from eelgrassweir.daemon.dispatch import Call, Dispatcher
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.link_client import LinkPool, Reply
from eelgrassweir.daemon.metrics import Metrics
from eelgrassweir.daemon.target import TargetService
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.proto import control_pb2, link_pb2
from eelgrassweir.requests.refusal import Refusal
from eelgrassweir.retries.budget import RetryBudget, RetryRatio
from eelgrassweir.routing.picker import TargetPicker

BROKEN, SOUND = "vm-0", "vm-1"
CALLS = 20


class Links:
    """Answer as a target without a backend server and a sound one."""

    def __init__(self, code: str, not_run: bool) -> None:
        self._refusal = link_pb2.Refusal(code=code, not_run=not_run)
        self.refused_calls = 0

    async def call(
        self, address: str, _incarnation: str, request: link_pb2.Request, **_: float
    ) -> Reply:
        """Refuse or answer, by the target's address."""
        if address == BROKEN:
            self.refused_calls += 1
            return self._refusal
        return link_pb2.Response(status=200)


def make_dispatcher(links: Links) -> Dispatcher:
    """Return a dispatcher that knows both targets and has no spare retries."""
    members = MemberTable()
    for vm in (BROKEN, SOUND):
        member = control_pb2.Member(
            vm=vm,
            incarnation="i",
            sequence=1,
            state=control_pb2.READY,
            failure_domain="a",
            link_address=vm,
            service="notes",
            slots=10,
        )
        members.merge(member)
    unused: Any = None
    return Dispatcher(
        vm="vm-9",
        incarnation="i",
        failure_domain="a",
        clock=Clock(),
        rng=random.Random(1),
        members=members,
        picker=TargetPicker(random.Random(2)),
        pressure=BackpressureTable(),
        ratio=RetryRatio(percent=0, spare_retries=0),
        links=cast(LinkPool, links),
        target=cast(TargetService, unused),
        metrics=Metrics(),
        ticket_life_ms=1_000,
        is_draining=lambda: False,
    )


async def send_all(dispatcher: Dispatcher) -> list[HttpResponse | Refusal]:
    """Send idempotent calls without a retry budget."""
    results = []
    for _ in range(CALLS):
        call = Call(
            request=HttpRequest("GET", "/", (), b""),
            context=link_pb2.CallContext(idempotent=True),
            service="notes",
            deadline_ms=Clock().now_ms() + 2_000.0,
            attempt_timeout_ms=1_000,
            budget=RetryBudget(0),
        )
        results.append(await dispatcher.send(call))
    return results


@pytest.mark.parametrize("code", ["draining", "no_target", "backend_failed"])
def test_refusal_without_a_backend_server_needs_no_retry_budget(code: str) -> None:
    """A killed backend server used the budget up, and reads failed."""
    links = Links(code, not_run=True)
    results = asyncio.run(send_all(make_dispatcher(links)))
    assert links.refused_calls > 0
    assert all(isinstance(result, HttpResponse) for result in results)


def test_call_that_may_have_run_needs_retry_budget() -> None:
    """Guard against free retries that repeat work."""
    links = Links("backend_failed", not_run=False)
    results = asyncio.run(send_all(make_dispatcher(links)))
    assert any(isinstance(result, Refusal) for result in results)
