"""Guard against versions that decrease and updates applied wrongly."""

import random

import attrs
import pytest
from returns.result import Failure, Success

from eelgrassweir.config.document import ConfigDocument, Team
from eelgrassweir.daemon.config_log import MAX_KEPT_DELTAS, ConfigLog
from eelgrassweir.proto.control_pb2 import ConfigUpdate
from testing.daemon.control_fakes import make_document

SEED = 11


def make_large_document(version: int) -> ConfigDocument:
    """Return a document whose delta is smaller than the full document."""
    teams = {
        f"team{number}": Team(
            name=f"team{number}", rate_per_s=number + 1, burst_calls=9
        )
        for number in range(200)
    }
    small = make_document(version)
    return attrs.evolve(small, teams={**small.teams, **teams})


def make_log(versions: int) -> ConfigLog:
    """Return a log to which versions 1 to ``versions`` were applied."""
    log = ConfigLog()
    for version in range(1, versions + 1):
        assert log.apply(make_large_document(version), "store") == Success(True)
    return log


def test_chain_of_deltas_leads_to_the_newest_version() -> None:
    """Guard against deltas that do not add up to the newest document."""
    log, follower = make_log(6), make_log(2)
    updates = log.updates_for(2)
    assert [update.base_version for update in updates] == [2, 3, 4, 5]
    for update in updates:
        assert follower.apply_update(update, "parent") == Success(True)
    assert follower.document == log.document


@pytest.mark.parametrize("version", [0, 1])
def test_version_older_than_the_kept_deltas_gets_the_full_document(
    version: int,
) -> None:
    """Guard against a follower left behind after deltas were evicted."""
    log, follower = make_log(MAX_KEPT_DELTAS + 3), make_log(version)
    updates = log.updates_for(version)
    assert [update.base_version for update in updates] == [0]
    assert follower.apply_update(updates[0], "parent") == Success(True)
    assert follower.document == log.document


def test_random_mix_of_old_and_new_updates_never_decreases_the_version() -> None:
    """Guard against a delayed update that restores an old version."""
    rng = random.Random(SEED)
    source = make_log(12)
    updates = [
        update for version in range(12) for update in make_log(12).updates_for(version)
    ]
    updates += [make_log(version).updates_for(0)[0] for version in range(1, 13)]
    follower = ConfigLog()
    highest = 0
    for _ in range(300):
        follower.apply_update(rng.choice(updates), "peer")
        assert follower.version >= highest
        highest = follower.version
    assert follower.document == source.document, f"seed {SEED}"


def test_same_version_with_other_content_is_counted_and_not_applied() -> None:
    """Guard against two documents that share a version."""
    log = make_log(3)
    other = make_document(3, rate_per_s=99.0)
    assert isinstance(log.apply(other, "store"), Failure)
    assert log.document == make_large_document(3)
    assert log.conflicting_updates == 1
    assert log.apply(make_large_document(3), "store") == Success(False)
    assert log.conflicting_updates == 1


def test_invalid_update_is_an_error_and_changes_nothing() -> None:
    """Guard against applying a wrong, truncated or mislabelled update."""
    log = make_log(3)
    wrong_base = make_log(6).updates_for(4)[0]
    truncated = make_log(4).updates_for(0)[0]
    truncated = ConfigUpdate(version=4, payload_zlib=truncated.payload_zlib[:-5])
    renamed = ConfigUpdate(
        version=9, payload_zlib=make_log(4).updates_for(0)[0].payload_zlib
    )
    for update in (wrong_base, truncated, renamed):
        assert isinstance(log.apply_update(update, "parent"), Failure)
    assert log.document == make_large_document(3)
