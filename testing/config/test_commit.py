"""Guard against changes that are lost, applied twice or reverted."""

import threading
from collections.abc import Iterator

import attrs
import pytest
from returns.result import Failure, Success

from eelgrassweir.config.commit import CommitOutcome, commit_change, read_config
from eelgrassweir.config.document import ConfigDocument, dump_document
from eelgrassweir.store.client import StoreClient
from testing.config.documents import make_document
from testing.stand_ins.store_process import StoreProcess


@pytest.fixture
def client(store: StoreProcess) -> Iterator[StoreClient]:
    client = StoreClient([store.url], timeout_ms=300)
    yield client
    client.close()


def make_successor(
    base_version: int, change_id: str, before: str = "c0"
) -> ConfigDocument:
    document = make_document(base_version + 1)
    return attrs.evolve(document, change_ids=(before, change_id))


def commit(
    client: StoreClient, base_version: int, change_id: str, before: str = "c0"
) -> CommitOutcome:
    outcome: CommitOutcome = commit_change(
        client,
        base_version=base_version,
        change_id=change_id,
        document_json=dump_document(make_successor(base_version, change_id, before)),
    ).unwrap()
    return outcome


def test_one_of_racing_changes_is_applied(client: StoreClient) -> None:
    """Guard against a change that overwrites a concurrent one."""
    outcomes: list[CommitOutcome] = []
    threads = [
        threading.Thread(
            target=lambda n=number: outcomes.append(commit(client, 0, f"p{n}"))
        )
        for number in range(8)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    results = sorted(outcome.result for outcome in outcomes)
    assert results == ["applied"] + ["conflict"] * 7
    assert read_config(client).unwrap().document.version == 1


def test_repeated_change_is_applied_once(client: StoreClient) -> None:
    """Guard against a repeated commit that reverts a later change."""
    assert commit(client, 0, "p1") == CommitOutcome(result="applied", version=1)
    commit(client, 1, "p2", "p1")
    again = commit(client, 0, "p1")
    assert again == CommitOutcome(result="already_applied", version=1)


def test_lost_answer_is_resolved_by_the_change_id(
    client: StoreClient, store: StoreProcess
) -> None:
    """Guard against a change reported as failed or written twice."""
    store.set_faults(lose_answers=1)
    outcome = commit(client, 0, "p1")
    assert outcome == CommitOutcome(result="applied", version=1)
    assert store.get_counts()["put"] == 1
    again = commit(client, 0, "p1")
    assert again == CommitOutcome(result="already_applied", version=1)


@pytest.mark.parametrize("stale_reads", [1, 2])
def test_stale_read_never_lowers_the_version(
    client: StoreClient, store: StoreProcess, stale_reads: int
) -> None:
    """Guard against a stale read that lets an old base be committed."""
    commit(client, 0, "p1")
    commit(client, 1, "p2")
    store.set_faults(stale_reads=stale_reads)
    outcome = commit(client, 1, "p3")
    assert outcome == CommitOutcome(result="conflict", version=2)
    assert read_config(client).unwrap().document == make_successor(1, "p2")


def test_store_that_is_down_is_reported(
    client: StoreClient, store: StoreProcess
) -> None:
    """Guard against a change reported as applied during an outage."""
    store.set_faults(down="closed")
    assert commit(client, 0, "p1") == CommitOutcome(result="store_unreachable")
    store.set_faults(down="")
    assert commit(client, 0, "p1") == CommitOutcome(result="applied", version=1)


def test_pause_between_check_and_write_writes_nothing(client: StoreClient) -> None:
    """Guard against a write by a relay that was paused after its check.

    It no longer knows which failure domains are in contact with it.
    """
    outcome = commit_change(
        client,
        base_version=0,
        change_id="p1",
        document_json=dump_document(make_successor(0, "p1")),
        may_write=lambda: False,
    )
    assert outcome == Success(CommitOutcome(result="store_unreachable"))
    assert read_config(client).map(lambda stored: stored.revision) == Success(0)


def test_document_that_does_not_follow_the_base_is_refused(
    client: StoreClient,
) -> None:
    """Guard against a document with a wrong version or change id."""
    payload = dump_document(make_successor(3, "p1"))
    for base_version, change_id in ((1, "p1"), (3, "p2")):
        result = commit_change(
            client,
            base_version=base_version,
            change_id=change_id,
            document_json=payload,
        )
        assert isinstance(result, Failure)
    assert read_config(client).map(lambda stored: stored.revision) == Success(0)
