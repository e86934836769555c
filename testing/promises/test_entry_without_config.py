"""Guard against a false "not run" of an entry that cannot judge a filing."""

import pytest

from testing.fleet import Fleet, wait_until
from testing.promises.filing import Filing, Reply, runs_of

pytestmark = pytest.mark.processes


def test_entry_without_config_does_not_say_not_run(whole: Fleet) -> None:
    """A replaced VM starts while the store is down and knows no peer."""
    filing = Filing(whole, whole.shape.teams[0])
    filing.take_ticket("fichero-1")
    first = filing.send("fichero-1")
    assert first is not None
    assert first.status == 200
    whole.set_store_faults(down="closed")
    try:
        whole.restart("registro-1")

        def resend() -> Reply | None:
            return filing.send("registro-1")

        reply = wait_until(resend, 10_000, "the entry answers")
    finally:
        whole.set_store_faults(down="")
    assert runs_of(whole.directory, filing.marker) == 1
    assert reply.code in ("", "outcome_unknown", "config_missing")
    assert not reply.not_run, reply
