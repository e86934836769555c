"""Guard against answers that are truncated, late or of another request."""

import collections
from collections.abc import Iterator

import attrs
import pytest

from testing.fleet import Fleet, wait_until
from testing.promises.load import apply_load, classify_outcome, make_streams
from testing.promises.shapes import QUICK_SETTINGS
from testing.shapes import ServiceShape, Shape, TeamShape
from testing.stand_ins.caller import Outcome

pytestmark = pytest.mark.processes

# Larger than one read of a socket returns, so that answers arrive in several
# reads and many are in transit at a time.
PAYLOAD_BYTES = 100_000
EXPECTED_ENDS = {
    "whole",
    "outcome_unknown",
    "backend_failed",
    "deadline_exceeded",
    "no_target",
    "overloaded",
    "retry_budget_exhausted",
    "draining",
}

SHAPE = Shape(
    name="whole",
    failure_domains=("bilbao", "santander"),
    services=(
        ServiceShape(name="fichero", targets=2, slots=20, service_ms=5),
        ServiceShape(name="registro", targets=2, slots=20, service_ms=5),
    ),
    teams=(TeamShape(name="academia", rate_per_s=2_000.0, burst_calls=2_000),),
    capacity_per_s=500.0,
    settings=QUICK_SETTINGS,
)


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run a fleet that records its runs, shared by this module."""
    directory = tmp_path_factory.mktemp("whole")
    with Fleet(SHAPE, directory, keep_runs=True) as fleet:
        fleet.wait_ready()
        yield fleet


@pytest.fixture
def fleet(shared_fleet: Fleet) -> Iterator[Fleet]:
    """Return the shared fleet with every VM running and without faults."""
    shared_fleet.restore_vms()
    shared_fleet.wait_ready()
    for vm in shared_fleet.vms:
        shared_fleet.set_backend(
            vm, misbehaviour="", slowdown=1.0, payload_bytes=PAYLOAD_BYTES
        )
    yield shared_fleet
    shared_fleet.restore_vms()


def assert_whole_or_refused(
    fleet: Fleet, outcomes: list[Outcome], expected: set[str] = EXPECTED_ENDS
) -> None:
    """Check the end of each request, and the runs of each filing."""
    runs = collections.Counter(fleet.read_run_lines())
    for outcome in outcomes:
        # A status of 200 with the answer to another request, or with a part of
        # an answer, is neither whole nor refused.
        assert classify_outcome(outcome) in expected, outcome
        if outcome.kind == "file":
            started = runs[f"POST /fichero/file {outcome.marker}"]
            assert started <= 1, outcome
            assert started == 1 or not outcome.whole, outcome
            assert started == 0 or not outcome.never_run, outcome


def wait_for_runs(fleet: Fleet, vm: str, count: int) -> None:
    """Wait until the backend server of ``vm`` starts ``count`` more runs."""
    path = fleet.directory / f"{vm}.runs"
    before = len(path.read_text().splitlines())
    wait_until(
        lambda: len(path.read_text().splitlines()) >= before + count,
        10_000,
        f"{count} more runs at {vm}",
    )


@pytest.mark.parametrize(
    "misbehaviour",
    ["cut", "cut_silently", "short_length", "long_length", "twice", "twice_late"],
)
def test_malformed_answers_of_a_backend_server(fleet: Fleet, misbehaviour: str) -> None:
    """Guard against malformed answers that are passed on to callers.

    Half of the answers of one target are malformed. Bytes beyond a length that
    is too short, and second answers, must not become a part of the answer to
    the next request.
    """
    fleet.set_backend("fichero-1", misbehaviour=misbehaviour, misbehave_percent=50.0)
    streams = make_streams(fleet, views_per_s=40.0, filings_per_s=20.0)
    streams = [attrs.evolve(stream, resends=0) for stream in streams]
    result = apply_load(fleet, streams, 2_000, name=misbehaviour)
    assert fleet.get_backend_state("fichero-1")["counts"]["misbehaved"] > 0
    assert_whole_or_refused(fleet, result.outcomes)
    views = [outcome for outcome in result.outcomes if outcome.kind == "view"]
    served = sum(outcome.whole for outcome in views) / len(views)
    print(f"{misbehaviour}: {100 * served:.1f}% of reads whole")
    if misbehaviour.startswith("twice"):
        assert all(outcome.whole for outcome in result.outcomes)


def test_answers_that_arrive_after_their_timeout(fleet: Fleet) -> None:
    """Guard against a late answer that is taken for that of the next request.

    A connection with a late answer must not be reused.
    """
    fleet.set_backend("fichero-1", slowdown=100.0, stop_on_deadline=False)
    fleet.set_backend("fichero-2", slowdown=100.0, stop_on_deadline=False)
    streams = [
        attrs.evolve(stream, patience_ms=500.0, resends=1)
        for stream in make_streams(fleet, views_per_s=20.0, filings_per_s=10.0)
    ]
    quick_streams = [
        attrs.evolve(stream, path="/registro/view")
        for stream in make_streams(fleet, views_per_s=40.0)[:1]
    ]
    result = apply_load(fleet, streams + quick_streams, 3_000, name="late")
    expected = EXPECTED_ENDS | {"gave_up"}
    assert_whole_or_refused(fleet, result.outcomes, expected)
    assert any(not outcome.whole for outcome in result.outcomes)


@pytest.mark.parametrize("part", ["backend", "daemon", "vm"])
def test_restart_at_the_same_address_while_answers_are_in_transit(
    fleet: Fleet, part: str
) -> None:
    """Guard against answers of the process that had the address before.

    Callers resend the requests that the restart broke.
    """

    def restart(fleet: Fleet) -> None:
        is_daemon, is_backend = part != "backend", part != "daemon"
        fleet.kill("fichero-1", daemon=is_daemon, backend=is_backend)
        fleet.start_vm("fichero-1", daemon=is_daemon, backend=is_backend)
        wait_for_runs(fleet, "fichero-1", 10)

    # Slow enough that some answers are always in transit.
    for vm in ("fichero-1", "fichero-2"):
        fleet.set_backend(vm, slowdown=20.0)
    others = tuple(vm for vm in fleet.vms if vm != "fichero-1")
    streams = make_streams(fleet, views_per_s=60.0, filings_per_s=20.0)
    result = apply_load(
        fleet,
        streams,
        5_000,
        name=f"restart-{part}",
        events=[(700.0, restart)],
        entries=others,
    )
    assert_whole_or_refused(fleet, result.outcomes)
    views = [outcome for outcome in result.outcomes if outcome.kind == "view"]
    assert all(outcome.whole for outcome in views)
