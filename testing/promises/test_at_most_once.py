"""Guard against a filing that runs twice, and against a false "not run"."""

import concurrent.futures
from collections.abc import Iterator

import attrs
import pytest

from testing.fleet import Fleet, wait_until
from testing.promises.filing import Filing, Reply, runs_of

pytestmark = pytest.mark.processes

TEAM = 0
# A filing that is given this long in the backend server is still in progress
# when the fault comes.
SLOW_FACTOR = 200.0


@pytest.fixture
def pool() -> Iterator[concurrent.futures.ThreadPoolExecutor]:
    """Run copies of requests in threads."""
    with concurrent.futures.ThreadPoolExecutor(16) as executor:
        yield executor


def make_filing(fleet: Fleet, entry: str, home: str = "") -> Filing:
    """Return a filing with a ticket."""
    filing = Filing(fleet, fleet.shape.teams[TEAM])
    filing.take_ticket(entry, home)
    return filing


def assert_honest(fleet: Fleet, filing: Filing, replies: list[Reply | None]) -> int:
    """Check the runs against what the caller was told; return the runs."""
    runs = runs_of(fleet.directory, filing.marker)
    assert runs <= 1, f"{filing.marker} ran {runs} times: {replies}"
    for reply in replies:
        if reply is not None and reply.not_run:
            assert runs == 0, f"{filing.marker} ran in spite of {reply}"
        if reply is not None and reply.status == 200:
            assert runs == 1
    return runs


def wait_for_run(fleet: Fleet, filing: Filing) -> None:
    """Wait until the backend server has started the filing."""
    wait_until(
        lambda: runs_of(fleet.directory, filing.marker), 5_000, "the filing starts"
    )


def test_copies_one_after_the_other_get_one_answer(whole: Fleet) -> None:
    filing = make_filing(whole, "fichero-1")
    replies = [filing.send(name) for name in whole.vms] * 2
    assert {reply.status for reply in replies if reply} == {200}
    assert len({str(reply.body) for reply in replies if reply}) == 1
    assert assert_honest(whole, filing, replies) == 1


def test_copies_at_the_same_time_run_once(
    whole: Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    for _ in range(10):
        filing = make_filing(whole, "fichero-2")
        futures = [filing.send_later(pool, name) for name in list(whole.vms) * 3]
        replies = [future.result() for future in futures]
        assert {reply.status for reply in replies if reply} == {200}
        assert assert_honest(whole, filing, replies) == 1


def test_answer_lost_on_a_silent_link(
    whole: Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    """The link dies while the filing runs; the entry asks over a new one."""
    assert whole.proxy is not None
    whole.set_backend("fichero-1", slowdown=SLOW_FACTOR)
    filing = make_filing(whole, "fichero-1", home="fichero-1")
    first = filing.send_later(pool, "registro-1", deadline_ms=4_000)
    wait_for_run(whole, filing)
    whole.proxy.silence("fichero-1/link", ("to_client",))
    second = filing.send_later(pool, "fichero-2", deadline_ms=4_000)
    replies = [first.result(), second.result()]
    whole.set_backend("fichero-1", slowdown=1.0)
    assert assert_honest(whole, filing, replies) == 1
    assert [reply.status for reply in replies if reply] == [200, 200]


def test_request_lost_on_a_silent_link(whole: Fleet) -> None:
    """Nothing arrives over the established link; a new link carries it."""
    assert whole.proxy is not None
    filing = make_filing(whole, "fichero-1", home="fichero-1")
    filing.send("registro-1")
    filing = make_filing(whole, "fichero-1", home="fichero-1")
    whole.proxy.silence("fichero-1/link")
    reply = filing.send("registro-1", deadline_ms=4_000)
    assert assert_honest(whole, filing, [reply]) == 1
    assert reply is not None
    assert reply.status == 200


def test_home_killed_while_the_filing_runs(
    whole: Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    whole.set_backend("fichero-1", slowdown=SLOW_FACTOR)
    filing = make_filing(whole, "fichero-1", home="fichero-1")
    first = filing.send_later(pool, "registro-1")
    wait_for_run(whole, filing)
    whole.kill("fichero-1", backend=False)
    replies = [first.result(), filing.send("fichero-2"), filing.send("registro-2")]
    whole.start_vm("fichero-1", backend=False)
    whole.wait_ready()
    replies += [filing.send(name) for name in whole.vms]
    assert assert_honest(whole, filing, replies) == 1
    assert {reply.code for reply in replies if reply} == {"outcome_unknown"}


def test_vm_replaced_with_nothing_kept(whole: Fleet) -> None:
    filing = make_filing(whole, "fichero-1", home="fichero-1")
    first = filing.send("registro-1")
    assert first is not None
    assert first.status == 200
    whole.restart("fichero-1")
    whole.wait_ready()
    replies = [filing.send(name) for name in whole.vms]
    assert assert_honest(whole, filing, replies) == 1
    assert {reply.code for reply in replies if reply} == {"outcome_unknown"}


def test_unused_ticket_of_a_replaced_vm_never_runs(whole: Fleet) -> None:
    """Nobody can tell whether another copy ran, so nobody says "not run"."""
    filing = make_filing(whole, "fichero-1", home="fichero-1")
    whole.restart("fichero-1")
    whole.wait_ready()
    reply = filing.send("registro-1")
    assert reply is not None
    assert reply.code == "outcome_unknown"
    assert assert_honest(whole, filing, [reply]) == 0


def test_home_paused_past_its_lease_with_a_request_in_hand(
    whole: Fleet, pool: concurrent.futures.ThreadPoolExecutor
) -> None:
    filing = make_filing(whole, "fichero-1", home="fichero-1")
    whole.pause("fichero-1")
    first = filing.send_later(pool, "registro-1", deadline_ms=2_500)
    second = filing.send_later(pool, "fichero-2", deadline_ms=2_500)
    replies = [first.result(), second.result()]
    assert {reply.code for reply in replies if reply} <= {"outcome_unknown"}
    # By now the lease has lapsed and the others count the VM as down.
    wait_until(
        lambda: (
            whole.get_admin_json("registro-1", "/dump")["control"]["members_known"] < 5
        ),
        10_000,
        "the paused VM counts as down",
    )
    whole.resume("fichero-1")
    whole.wait_ready()
    replies.append(filing.send("registro-2"))
    assert assert_honest(whole, filing, replies) <= 1
    last = replies[-1]
    assert last is not None
    assert last.status == 200 or last.code in ("outcome_unknown", "deadline_exceeded")


def test_planned_end_of_the_home_between_try_and_resend(whole: Fleet) -> None:
    filing = make_filing(whole, "fichero-1", home="fichero-1")
    first = filing.send("registro-1")
    whole.terminate("fichero-1")
    replies = [first]
    for _ in range(20):
        replies.append(filing.send("registro-1"))
    daemon = whole.vms["fichero-1"].daemon
    assert daemon is not None
    daemon.wait(timeout=20)
    replies.append(filing.send("registro-2"))
    assert assert_honest(whole, filing, replies) == 1
    assert replies[1] is not None
    assert replies[1].status == 200


def test_new_filing_at_a_leaving_home_runs_elsewhere(whole: Fleet) -> None:
    """A ticket that was minted before the drain still gets its answer."""
    filings = [make_filing(whole, "fichero-1", home="fichero-1") for _ in range(3)]
    whole.set_backend("fichero-1", state="draining")
    wait_until(
        lambda: whole.get_admin_json("fichero-1", "/dump")["requests"][
            "refuses_new_work"
        ],
        10_000,
        "the drain notice ends",
    )
    for filing in filings:
        replies = [filing.send("registro-1"), filing.send("fichero-2")]
        assert [reply.status for reply in replies if reply] == [200, 200]
        assert assert_honest(whole, filing, replies) == 1
    whole.set_backend("fichero-1", state="ready")


def test_refused_filing_never_runs_with_its_ticket(whole: Fleet) -> None:
    """After "not run", a delayed copy of the same request must not run."""
    filing = make_filing(whole, "fichero-1", home="fichero-1")
    whole.set_backend("fichero-1", slowdown=1.0)
    late = Filing(whole, filing.team, marker=filing.marker, ticket=filing.ticket)
    refused = filing.send("registro-1", deadline_ms=0)
    replies = [refused, late.send("fichero-2"), late.send("registro-2")]
    assert_honest(whole, filing, replies)
    assert refused is not None
    if refused.not_run:
        assert {reply.not_run for reply in replies if reply} == {True}


def test_resend_that_is_refused_at_the_entry_is_not_called_not_run(
    whole: Fleet,
) -> None:
    """A key withdrawn between try and resend says nothing about the try."""
    filing = make_filing(whole, "fichero-1")
    first = filing.send("fichero-1")
    filing.team = attrs.evolve(filing.team, name="nobody")
    replies = [first, filing.send("fichero-1"), filing.send("registro-2")]
    assert assert_honest(whole, filing, replies) == 1
    assert [reply.code for reply in replies if reply] == ["", *["key_unknown"] * 2]
