"""Guard against a cold target that gets requests at its usual rate."""

import asyncio
import json

import attrs

from eelgrassweir.clock import ManualClock
from eelgrassweir.daemon.http_client import BackendClient
from eelgrassweir.mesh.app import Application
from eelgrassweir.mesh.backend import BackendTracker
from eelgrassweir.mesh.cold_target import ColdTarget
from eelgrassweir.proto import link_pb2
from eelgrassweir.requests.calls import Announcement
from testing.mesh.fleet import (
    KEY,
    BackendStandIn,
    MeshFleet,
    make_config_document,
    make_route,
    mesh_fleet,
)

KEYED = ("X-Credential", KEY)
PER_S = 3.9
LIMIT_CALLS = 5
OPEN_CALLS = 8
ANNOUNCED = Announcement(
    instance="i",
    address="127.0.0.1:1",
    service="notes",
    slots=10,
    is_draining=False,
    started_wall_ms=1,
    sequence=1,
)


class ColdSetup:
    """A cold target's state with a manual clock."""

    def __init__(self, per_s: float = PER_S) -> None:
        self.clock = ManualClock(10_000.0)
        self.backend = BackendTracker(
            clock=self.clock, drain_ms=400, connect=self._connect
        )
        self.cold = ColdTarget(
            clock=self.clock,
            backend=self.backend,
            get_per_s=lambda _: per_s,
            overage=1.5,
            slack_calls=8,
        )
        self._sequence = 0

    def _connect(self, address: str) -> BackendClient:
        return BackendClient(address, clock=self.clock, body_limit_bytes=1_000)

    def announce(self, cold_ms: int | None) -> None:
        """Apply the next heartbeat."""
        self._sequence += 1
        self.backend.apply_announcement(
            attrs.evolve(ANNOUNCED, sequence=self._sequence, cold_ms=cold_ms)
        )

    def send(self, calls: int = 100) -> int:
        """Send requests that are answered at once; return how many passed."""
        sent = 0
        for _ in range(calls):
            if self.cold.take():
                self.cold.release()
                sent += 1
        return sent


def test_cold_target_is_bounded_for_the_announced_time() -> None:
    """Guard against a bound that starts late, or outlasts the cold time."""
    setup = ColdSetup()
    setup.announce(4_000)
    assert setup.send() == LIMIT_CALLS
    setup.clock.advance(1_000)
    assert setup.send() == 0
    setup.clock.advance(200)
    assert setup.send() == LIMIT_CALLS
    setup.clock.advance(2_800)
    assert setup.send() == 100


def test_target_without_a_rate_is_not_bounded() -> None:
    """Guard against a bound in deployments that configure none."""
    setup = ColdSetup(per_s=0)
    setup.announce(None)
    assert setup.send() == 100


def test_unknown_state_counts_as_cold() -> None:
    """Guard against the usual rate at a target after its daemon's restart."""
    setup = ColdSetup()
    setup.announce(None)
    assert setup.send() == LIMIT_CALLS
    setup.announce(0)
    assert setup.send() == 100


def test_target_is_cold_after_a_pause_until_its_next_heartbeat() -> None:
    """Guard against a target that turned cold unnoticed without traffic."""
    setup = ColdSetup()
    setup.announce(0)
    assert setup.send() == 100
    setup.clock.advance(3_000)
    setup.announce(0)
    assert setup.send() == LIMIT_CALLS
    setup.clock.advance(1_500)
    setup.announce(0)
    assert setup.send() == 100


def test_target_of_unknown_state_is_cold_until_its_next_heartbeat() -> None:
    """Guard against the usual rate right after an evacuation."""
    setup = ColdSetup()
    setup.announce(0)
    setup.cold.require_heartbeat()
    assert setup.send() == LIMIT_CALLS
    setup.clock.advance(1)
    setup.announce(0)
    assert setup.send() == 100


def test_paused_cold_target_has_few_unanswered_requests() -> None:
    """Guard against all requests of a pause arriving in one second."""
    setup = ColdSetup()
    setup.announce(60_000)
    sent = 0
    for _ in range(20):
        sent += sum(setup.cold.take() for _ in range(100))
        setup.clock.advance(1_200)
    assert sent == OPEN_CALLS


def test_request_that_connects_late_counts_when_it_is_sent() -> None:
    """Guard against slow connections that open in the same second."""
    setup = ColdSetup()
    setup.announce(60_000)
    counted_ms = setup.clock.now_ms()
    assert setup.cold.take()
    setup.clock.advance(1_300)
    assert setup.send() == LIMIT_CALLS
    assert not setup.cold.count_late(counted_ms)


def test_load_of_a_full_cold_target_shows_no_room() -> None:
    """Guard against entries that keep on choosing a cold target."""
    setup = ColdSetup()
    setup.announce(60_000)
    setup.send()
    load = link_pb2.Load(limit=50)
    setup.cold.limit_load(load)
    assert load.limit == LIMIT_CALLS
    assert load.queued >= load.limit


async def start_cold_and_warm(fleet: MeshFleet) -> Application:
    """Start an entry, a cold target and a warm one; return the entry."""
    changes = {"cold_overage": 1.5, "cold_slack_calls": 8}
    entry = await fleet.add(BackendStandIn("lists", "i-0"), **changes)
    for number in (1, 2):
        await fleet.add(BackendStandIn("notes", f"i-{number}", slots=50), **changes)
    document = json.loads(
        make_config_document(1, [make_route("/a/", "notes", public=False)])
    )
    for service in document["services"]:
        service |= {"coldStart": 30, "coldPerS": PER_S}
    fleet.version = 1
    fleet.store.put("op/config", json.dumps(document).encode())
    await fleet.wait_until_converged()
    heartbeat = fleet.backends[1].make_heartbeat(sequence=2)
    body = json.loads(heartbeat.body) | {"coldRemaining": 30_000}
    await fleet.daemons[1].control.handle(
        attrs.evolve(heartbeat, body=json.dumps(body).encode())
    )
    return entry


def test_requests_that_a_cold_target_refuses_run_elsewhere() -> None:
    """Guard against a burst at a cold target, and against failed callers."""

    async def scenario() -> None:
        async with mesh_fleet() as fleet:
            entry = await start_cold_and_warm(fleet)
            cold, warm = fleet.backends[1:]
            calls = [
                asyncio.create_task(fleet.call(entry, "/a/b", KEYED)) for _ in range(40)
            ]
            statuses = [(await call).status for call in calls]
            assert statuses == [200] * 40
            assert len(cold.runs) + len(warm.runs) == 40
            assert 0 < len(cold.runs) <= LIMIT_CALLS

    asyncio.run(scenario())
