"""Guard against a backend server that is mistaken for an earlier one."""

import attrs

from eelgrassweir.clock import ManualClock
from eelgrassweir.daemon.http_client import BackendClient
from eelgrassweir.mesh.backend import BackendBeside, Taken
from eelgrassweir.requests.calls import Announcement, Deregistration

READY = Announcement(
    instance="i-1",
    address="127.0.0.1:9",
    service="notes",
    slots=10,
    is_draining=False,
    started_wall_ms=1_000,
    sequence=5,
)
DRAIN_MS = 2_000.0


def beside(clock: ManualClock) -> BackendBeside:
    """Return what knows no backend server yet."""

    def connect(address: str) -> BackendClient:
        return BackendClient(address, clock=clock, body_limit_bytes=100)

    return BackendBeside(clock=clock, drain_ms=DRAIN_MS, connect=connect)


def test_late_announcement_of_an_earlier_start_changes_nothing() -> None:
    """Guard against a heartbeat that a partition delayed."""
    backend = beside(ManualClock())
    assert backend.take(READY) is Taken.INSTANCE
    old = attrs.evolve(READY, instance="i-0", started_wall_ms=900, sequence=99)
    assert backend.take(old) is Taken.NOTHING
    assert backend.announcement == READY


def test_start_under_the_same_id_counts_anew() -> None:
    """Guard against a restart that is ignored since its count is lower."""
    backend = beside(ManualClock())
    backend.take(attrs.evolve(READY, is_draining=True))
    again = attrs.evolve(READY, started_wall_ms=2_000, sequence=1)
    assert backend.take(again) is Taken.INSTANCE
    assert not backend.is_leaving
    assert backend.takes_new()


def test_drain_is_not_taken_back_by_a_late_announcement() -> None:
    """Guard against work for a backend server that has said it leaves."""
    clock = ManualClock()
    backend = beside(clock)
    backend.take(READY)
    draining = attrs.evolve(READY, is_draining=True, sequence=7)
    assert backend.take(draining) is Taken.STATE
    assert backend.take(attrs.evolve(READY, sequence=6)) is Taken.NOTHING
    assert backend.take(attrs.evolve(READY, sequence=8)) is Taken.NOTHING
    assert backend.is_leaving
    clock.advance(DRAIN_MS / 2)
    assert not backend.takes_new()
    assert backend.may_send()
    clock.advance(DRAIN_MS * 0.4)
    assert not backend.may_send()


def test_leave_binds_only_the_start_that_it_names() -> None:
    """Guard against a late leave that empties the next backend server."""
    backend = beside(ManualClock())
    backend.take(READY)
    other = Deregistration(instance="i-0", started_wall_ms=None)
    earlier = Deregistration(instance="i-1", started_wall_ms=900)
    assert backend.leave(other) is Taken.NOTHING
    assert backend.leave(earlier) is Taken.NOTHING
    assert not backend.is_leaving
    assert (
        backend.leave(Deregistration(instance="i-1", started_wall_ms=1_000))
        is Taken.STATE
    )
    assert backend.is_leaving


def test_silent_backend_server_is_left_out() -> None:
    """Guard against a target that crashed without a word."""
    clock = ManualClock()
    backend = beside(clock)
    backend.take(READY)
    clock.advance(60_000.0)
    assert not backend.takes_new()
