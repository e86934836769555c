"""Guard against a relay that takes slow answers for missing ones."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest
from returns.result import Failure, Result, Success

from eelgrassweir.daemon.commit import can_reach_majority
from eelgrassweir.daemon.control_client import ControlClient
from eelgrassweir.daemon.node import Node
from eelgrassweir.errors import StepError
from eelgrassweir.proto.control_pb2 import RelayBeat, SubtreeReply

BEAT_MS = 20
DOMAINS = ("bilbao", "oviedo", "donostia")


class SlowRelays:
    """Answer questions after a time, if the asker waits so long."""

    def __init__(self, answer_ms: float) -> None:
        self._answer_ms = answer_ms

    async def subtree(
        self, address: str, timeout_ms: float
    ) -> Result[SubtreeReply, StepError]:
        """Answer, or fail once the limit has passed."""
        await asyncio.sleep(min(self._answer_ms, timeout_ms) / 1e3)
        if timeout_ms < self._answer_ms:
            return Failure(StepError("subtree", address, "no answer"))
        return Success(SubtreeReply())


def make_node() -> Node:
    """Return what the question needs of a relay in the first domain."""
    others = [
        RelayBeat(vm=domain, control_address=domain, failure_domain=domain)
        for domain in DOMAINS[1:]
    ]
    node: Any = SimpleNamespace(
        config_log=SimpleNamespace(document=SimpleNamespace(failure_domains=DOMAINS)),
        own_member=SimpleNamespace(failure_domain=DOMAINS[0]),
        settings=SimpleNamespace(beat_ms=BEAT_MS),
        other_relays=lambda: others,
    )
    return cast(Node, node)


@pytest.mark.parametrize(
    ("answer_beats", "hears"), [(0.5, True), (2.5, True), (100.0, False)]
)
def test_relays_that_answer_late_are_heard(answer_beats: float, hears: bool) -> None:
    """On a busy machine a change was refused though all relays were there."""
    relays = cast(ControlClient, SlowRelays(answer_beats * BEAT_MS))
    assert asyncio.run(can_reach_majority(make_node(), relays)) is hears
