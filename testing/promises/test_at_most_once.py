"""Guard against filings that run twice and against a false "not run"."""

import concurrent.futures
from collections.abc import Iterator

import attrs
import pytest

from testing.fleet import Fleet, wait_until
from testing.promises.filing import Filing, Reply, count_runs

pytestmark = pytest.mark.processes

TEAM_INDEX = 0
# Long enough that the filing still runs at the backend server when the fault
# is injected.
SLOWDOWN_FACTOR = 200.0


@pytest.fixture
def pool() -> Iterator[concurrent.futures.ThreadPoolExecutor]:
    """Provide threads for concurrent copies of requests."""
    with concurrent.futures.ThreadPoolExecutor(16) as executor:
        yield executor


def make_filing(fleet: Fleet, entry: str, home: str = "") -> Filing:
    """Return a filing with a ticket from ``entry``, of ``home`` if given."""
    filing = Filing(fleet, fleet.shape.teams[TEAM_INDEX])
    filing.obtain_ticket(entry, home)
    return filing


def assert_replies_match_runs(
    fleet: Fleet, filing: Filing, replies: list[Reply | None]
) -> int:
    """Check the replies against the number of runs, and return the latter."""
    runs = count_runs(fleet.directory, filing.marker)
    assert runs <= 1, f"{filing.marker} ran {runs} times: {replies}"
    for reply in replies:
        if reply is not None and reply.not_run:
            assert runs == 0, f"{filing.marker} ran although its caller got {reply}"
        if reply is not None and reply.status == 200:
            assert runs == 1
    return runs


def wait_for_run(fleet: Fleet, filing: Filing) -> None:
    """Wait until a backend server has started the filing."""
    wait_until(
        lambda: count_runs(fleet.directory, filing.marker), 5_000, "the filing starts"
    )


def test_sequential_copies_get_the_same_answer(pair_fleet: Fleet) -> None:
    """Guard against a resend that runs again or gets another answer."""
    filing = make_filing(pair_fleet, "fichero-1")
    replies = [filing.send(name) for name in pair_fleet.vms] * 2
    assert {reply.status for reply in replies if reply} == {200}
    assert len({str(reply.body) for reply in replies if reply}) == 1
    assert assert_replies_match_runs(pair_fleet, filing, replies) == 1


def test_concurrent_copies_run_once(
    pair_fleet: Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guard against a second run when copies arrive concurrently."""
    for _ in range(10):
        filing = make_filing(pair_fleet, "fichero-2")
        futures = [
            filing.send_in_background(pool, name) for name in list(pair_fleet.vms) * 3
        ]
        replies = [future.result() for future in futures]
        assert {reply.status for reply in replies if reply} == {200}
        assert assert_replies_match_runs(pair_fleet, filing, replies) == 1


def test_answer_lost_on_a_silent_link(
    pair_fleet: Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guard against a lost answer when the link goes silent during the run.

    The entry must ask again over a new link.
    """
    assert pair_fleet.proxy is not None
    pair_fleet.set_backend("fichero-1", slowdown=SLOWDOWN_FACTOR)
    filing = make_filing(pair_fleet, "fichero-1", home="fichero-1")
    first = filing.send_in_background(pool, "registro-1", deadline_ms=4_000)
    wait_for_run(pair_fleet, filing)
    pair_fleet.proxy.silence("fichero-1/link", ("to_client",))
    second = filing.send_in_background(pool, "fichero-2", deadline_ms=4_000)
    replies = [first.result(), second.result()]
    pair_fleet.set_backend("fichero-1", slowdown=1.0)
    assert assert_replies_match_runs(pair_fleet, filing, replies) == 1
    assert [reply.status for reply in replies if reply] == [200, 200]


def test_request_lost_on_a_silent_link(pair_fleet: Fleet) -> None:
    """Guard against a lost filing when an established link has gone silent.

    The entry must send it over a new link.
    """
    assert pair_fleet.proxy is not None
    filing = make_filing(pair_fleet, "fichero-1", home="fichero-1")
    filing.send("registro-1")
    filing = make_filing(pair_fleet, "fichero-1", home="fichero-1")
    pair_fleet.proxy.silence("fichero-1/link")
    reply = filing.send("registro-1", deadline_ms=4_000)
    assert assert_replies_match_runs(pair_fleet, filing, [reply]) == 1
    assert reply is not None
    assert reply.status == 200


def test_home_daemon_killed_while_the_filing_runs(
    pair_fleet: Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guard against a second run, or "not run", after the record is lost."""
    pair_fleet.set_backend("fichero-1", slowdown=SLOWDOWN_FACTOR)
    filing = make_filing(pair_fleet, "fichero-1", home="fichero-1")
    first = filing.send_in_background(pool, "registro-1")
    wait_for_run(pair_fleet, filing)
    pair_fleet.kill("fichero-1", backend=False)
    replies = [first.result(), filing.send("fichero-2"), filing.send("registro-2")]
    pair_fleet.start_vm("fichero-1", backend=False)
    pair_fleet.wait_ready()
    replies += [filing.send(name) for name in pair_fleet.vms]
    assert assert_replies_match_runs(pair_fleet, filing, replies) == 1
    assert {reply.code for reply in replies if reply} == {"outcome_unknown"}


def test_home_vm_replaced_without_its_records(pair_fleet: Fleet) -> None:
    """Guard against a second run at a VM that restarted without records."""
    filing = make_filing(pair_fleet, "fichero-1", home="fichero-1")
    first = filing.send("registro-1")
    assert first is not None
    assert first.status == 200
    pair_fleet.restart("fichero-1")
    pair_fleet.wait_ready()
    replies = [filing.send(name) for name in pair_fleet.vms]
    assert assert_replies_match_runs(pair_fleet, filing, replies) == 1
    assert {reply.code for reply in replies if reply} == {"outcome_unknown"}


def test_unused_ticket_of_a_replaced_vm_never_runs(pair_fleet: Fleet) -> None:
    """Guard against a run, or "not run", for a ticket of a replaced VM.

    Without its records no daemon can tell whether another copy ran.
    """
    filing = make_filing(pair_fleet, "fichero-1", home="fichero-1")
    pair_fleet.restart("fichero-1")
    pair_fleet.wait_ready()
    reply = filing.send("registro-1")
    assert reply is not None
    assert reply.code == "outcome_unknown"
    assert assert_replies_match_runs(pair_fleet, filing, [reply]) == 0


def test_home_vm_paused_past_its_lease_with_a_request_in_flight(
    pair_fleet: Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    """Guard against a second run when a paused VM resumes with a request."""
    filing = make_filing(pair_fleet, "fichero-1", home="fichero-1")
    pair_fleet.pause("fichero-1")
    first = filing.send_in_background(pool, "registro-1", deadline_ms=2_500)
    second = filing.send_in_background(pool, "fichero-2", deadline_ms=2_500)
    replies = [first.result(), second.result()]
    assert {reply.code for reply in replies if reply} <= {"outcome_unknown"}
    # The lease expires, and the other VMs mark this one as down.
    wait_until(
        lambda: (
            pair_fleet.get_admin_json("registro-1", "/dump")["control"]["members_known"]
            < 5
        ),
        10_000,
        "registro-1 marks the paused VM as down",
    )
    pair_fleet.resume("fichero-1")
    pair_fleet.wait_ready()
    replies.append(filing.send("registro-2"))
    assert assert_replies_match_runs(pair_fleet, filing, replies) <= 1
    last = replies[-1]
    assert last is not None
    assert last.status == 200 or last.code in ("outcome_unknown", "deadline_exceeded")


def test_graceful_shutdown_of_the_home_between_attempt_and_resend(
    pair_fleet: Fleet,
) -> None:
    """Guard against a second run when the home VM shuts down gracefully."""
    filing = make_filing(pair_fleet, "fichero-1", home="fichero-1")
    first = filing.send("registro-1")
    pair_fleet.terminate("fichero-1")
    replies = [first]
    for _ in range(20):
        replies.append(filing.send("registro-1"))
    daemon = pair_fleet.vms["fichero-1"].daemon
    assert daemon is not None
    daemon.wait(timeout=20)
    replies.append(filing.send("registro-2"))
    assert assert_replies_match_runs(pair_fleet, filing, replies) == 1
    assert replies[1] is not None
    assert replies[1].status == 200


def test_new_filing_at_a_draining_home_runs_elsewhere(pair_fleet: Fleet) -> None:
    """Guard against refusing a ticket that was issued before the drain."""
    filings = [make_filing(pair_fleet, "fichero-1", home="fichero-1") for _ in range(3)]
    pair_fleet.set_backend("fichero-1", state="draining")
    wait_until(
        lambda: pair_fleet.get_admin_json("fichero-1", "/dump")["requests"][
            "refuses_new_work"
        ],
        10_000,
        "the drain notice ends",
    )
    for filing in filings:
        replies = [filing.send("registro-1"), filing.send("fichero-2")]
        assert [reply.status for reply in replies if reply] == [200, 200]
        assert assert_replies_match_runs(pair_fleet, filing, replies) == 1
    pair_fleet.set_backend("fichero-1", state="ready")


def test_refused_filing_never_runs_with_its_ticket(pair_fleet: Fleet) -> None:
    """Guard against a delayed copy that runs after "not run"."""
    filing = make_filing(pair_fleet, "fichero-1", home="fichero-1")
    pair_fleet.set_backend("fichero-1", slowdown=1.0)
    late = Filing(pair_fleet, filing.team, marker=filing.marker, ticket=filing.ticket)
    refused = filing.send("registro-1", deadline_ms=0)
    replies = [refused, late.send("fichero-2"), late.send("registro-2")]
    assert_replies_match_runs(pair_fleet, filing, replies)
    assert refused is not None
    if refused.not_run:
        assert {reply.not_run for reply in replies if reply} == {True}


def test_resend_refused_at_the_entry_is_not_reported_as_not_run(
    pair_fleet: Fleet,
) -> None:
    """Guard against "not run" when a key is withdrawn before the resend.

    The refusal of the resend says nothing about the first attempt.
    """
    filing = make_filing(pair_fleet, "fichero-1")
    first = filing.send("fichero-1")
    filing.team = attrs.evolve(filing.team, name="nobody")
    replies = [first, filing.send("fichero-1"), filing.send("registro-2")]
    assert assert_replies_match_runs(pair_fleet, filing, replies) == 1
    assert [reply.code for reply in replies if reply] == ["", *["key_unknown"] * 2]
