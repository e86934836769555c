"""Guard against calls that fail although another target could run them."""

import asyncio
import random
from typing import Any, cast

import pytest

from eelgrassweir.admission.backpressure import BackpressureTable
from eelgrassweir.clock import Clock
from eelgrassweir.daemon.dispatch import Call, Dispatcher
from eelgrassweir.daemon.http_message import HttpRequest, HttpResponse
from eelgrassweir.daemon.link_client import Reply
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.daemon.metrics import Metrics
from eelgrassweir.daemon.target import TargetService
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.proto import control_pb2, link_pb2
from eelgrassweir.requests.refusal import Refusal
from eelgrassweir.retries.budget import RetryBudget, RetryRatio
from eelgrassweir.routing.picker import TargetPicker

REFUSING_VM, HEALTHY_VM = "vm-0", "vm-1"
CALLS = 20


class FakeLinks:
    """Stand-in for the links to a refusing and a healthy target."""

    def __init__(self, code: str, not_run: bool) -> None:
        self._refusal = link_pb2.Refusal(code=code, not_run=not_run)
        self.refused_calls = 0

    async def call(
        self, address: str, _incarnation: str, request: link_pb2.Request, **_: float
    ) -> Reply:
        """Refuse or answer, depending on the target's address."""
        if address == REFUSING_VM:
            self.refused_calls += 1
            return self._refusal
        return link_pb2.Response(status=200)


def make_dispatcher(links: FakeLinks) -> Dispatcher:
    """Return a dispatcher with both targets and a retry ratio of zero."""
    members = MemberTable()
    for vm in (REFUSING_VM, HEALTHY_VM):
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
    no_local_target: Any = None
    return Dispatcher(
        vm="vm-9",
        incarnation="i",
        failure_domain="a",
        clock=Clock(),
        rng=random.Random(1),
        members=members,
        picker=TargetPicker(random.Random(2)),
        backpressure=BackpressureTable(),
        retry_ratio=RetryRatio(percent=0, spare_retries=0),
        links=cast(LinkPool, links),
        target=cast(TargetService, no_local_target),
        metrics=Metrics(),
        ticket_life_ms=1_000,
        is_draining=lambda: False,
    )


async def send_all(dispatcher: Dispatcher) -> list[HttpResponse | Refusal]:
    """Send idempotent calls with an empty retry budget."""
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
def test_refusal_without_backend_server_needs_no_retry_budget(code: str) -> None:
    """Guard against reads that fail after a backend server was killed.

    Its refusals used up the retry budget.
    """
    links = FakeLinks(code, not_run=True)
    results = asyncio.run(send_all(make_dispatcher(links)))
    assert links.refused_calls > 0
    assert all(isinstance(result, HttpResponse) for result in results)


def test_call_that_may_have_run_needs_retry_budget() -> None:
    """Guard against retries that repeat work without retry budget."""
    links = FakeLinks("backend_failed", not_run=False)
    results = asyncio.run(send_all(make_dispatcher(links)))
    assert any(isinstance(result, Refusal) for result in results)
