"""Guard against a false "not run" by an entry without a configuration."""

import pytest

from testing.fleet import Fleet, wait_until
from testing.promises.filing import Filing, Reply, count_runs

pytestmark = pytest.mark.processes


def test_entry_without_config_does_not_say_not_run(pair_fleet: Fleet) -> None:
    """Guard against "not run" for a filing that ran through another entry.

    The replaced VM starts during a store outage and knows no peer.
    """
    filing = Filing(pair_fleet, pair_fleet.shape.teams[0])
    filing.obtain_ticket("fichero-1")
    first = filing.send("fichero-1")
    assert first is not None
    assert first.status == 200
    pair_fleet.set_store_faults(down="closed")
    try:
        pair_fleet.restart("registro-1")

        def resend() -> Reply | None:
            return filing.send("registro-1")

        reply = wait_until(resend, 10_000, "the entry answers")
    finally:
        pair_fleet.set_store_faults(down="")
    assert count_runs(pair_fleet.directory, filing.marker) == 1
    assert reply.code in ("", "outcome_unknown", "config_missing")
    assert not reply.not_run, reply
