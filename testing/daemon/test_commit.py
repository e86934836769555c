"""Guard against a relay that treats slow answers as missing ones."""

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

HEARTBEAT_MS = 20
DOMAINS = ("bilbao", "oviedo", "donostia")


class SlowRelays:
    """Client whose calls are answered after a delay or time out."""

    def __init__(self, answer_ms: float) -> None:
        self._answer_ms = answer_ms

    async def subtree(
        self, address: str, timeout_ms: float
    ) -> Result[SubtreeReply, StepError]:
        """Answer after the delay, or fail after the timeout."""
        await asyncio.sleep(min(self._answer_ms, timeout_ms) / 1e3)
        if timeout_ms < self._answer_ms:
            return Failure(StepError("subtree", address, "no answer"))
        return Success(SubtreeReply())


def make_node() -> Node:
    """Return a stub of the node of a relay in the first domain."""
    relays = [
        RelayBeat(vm=domain, control_address=domain, failure_domain=domain)
        for domain in DOMAINS[1:]
    ]
    node: Any = SimpleNamespace(
        config_log=SimpleNamespace(document=SimpleNamespace(failure_domains=DOMAINS)),
        own_member=SimpleNamespace(failure_domain=DOMAINS[0]),
        settings=SimpleNamespace(beat_ms=HEARTBEAT_MS),
        other_relays=lambda: relays,
    )
    return cast(Node, node)


@pytest.mark.parametrize(
    ("answer_heartbeats", "is_reached"), [(0.5, True), (2.5, True), (100.0, False)]
)
def test_late_answers_of_relays_count_for_the_majority(
    answer_heartbeats: float, is_reached: bool
) -> None:
    """Guard against a change refused although all relays are up.

    Relays on a busy machine can take more than a heartbeat to answer.
    """
    relays = cast(ControlClient, SlowRelays(answer_heartbeats * HEARTBEAT_MS))
    assert asyncio.run(can_reach_majority(make_node(), relays)) is is_reached
