"""Commit a change of the configuration to the store by compare-and-swap.

Relays use it for the operator's confirmed plans.
"""

from collections.abc import Callable
from typing import Literal

import attrs
from returns.result import Failure, Result, Success

from eelgrassweir.config.check import CheckError
from eelgrassweir.config.document import (
    EMPTY_DOCUMENT,
    MAX_DOCUMENT_BYTES,
    ConfigDocument,
    find_version_of_change,
    parse_document,
)
from eelgrassweir.errors import StepError
from eelgrassweir.store.client import StoreClient

CONFIG_KEY = "config/current"
# A lost reply may be followed by a stale read. A store that fails more often
# is reported as unreachable.
_MAX_ATTEMPTS = 4

CommitResult = Literal["applied", "already_applied", "conflict", "store_unreachable"]


@attrs.frozen(kw_only=True)
class CommitOutcome:
    """Result of a commit and a version.

    The version is the one that the change made, or for a conflict the one
    in the store. It is 0 if the store was not reached. The change may have
    been applied then, and it is safe to repeat the same commit.
    """

    result: CommitResult
    version: int = 0


@attrs.frozen(kw_only=True)
class StoredConfig:
    """Document in the store and the revision of its key."""

    document: ConfigDocument
    revision: int


def read_config(store: StoreClient) -> Result[StoredConfig, StepError]:
    """Return the document in the store, empty if there is none."""
    found = store.get(CONFIG_KEY)
    if isinstance(found, Failure):
        return found
    value = found.unwrap()
    if value is None:
        return Success(StoredConfig(document=EMPTY_DOCUMENT, revision=0))
    return parse_document(value.value.encode()).map(
        lambda document: StoredConfig(document=document, revision=value.revision)
    )


def commit_change(
    store: StoreClient,
    *,
    base_version: int,
    change_id: str,
    document_json: bytes,
    may_write: Callable[[], bool] = lambda: True,
) -> Result[CommitOutcome, StepError]:
    """Replace the base version by the document, at most once.

    Fails if the document is not a valid successor of the base version. After
    a lost reply, the change id in the store shows whether the write took
    effect. If not, the compare-and-swap of the same revision is repeated,
    because only one of the two can succeed. ``may_write`` is called right
    before each write; if it returns False, the result is
    ``store_unreachable``.
    """
    problem = _check_successor(base_version, change_id, document_json)
    if problem is not None:
        return Failure(StepError("commit configuration", "document", str(problem)))
    seen_version = 0
    is_written = False
    for _ in range(_MAX_ATTEMPTS):
        read = read_config(store)
        if isinstance(read, Failure):
            continue
        stored = read.unwrap()
        seen_version = stored.document.version
        made = find_version_of_change(stored.document, change_id)
        if made is not None:
            result: CommitResult = "applied" if is_written else "already_applied"
            return Success(CommitOutcome(result=result, version=made))
        if seen_version > base_version:
            return Success(CommitOutcome(result="conflict", version=seen_version))
        if seen_version < base_version:
            # A stale read, or a plan made for another store.
            continue
        if not may_write():
            break
        written = store.put(
            CONFIG_KEY, document_json.decode(), expect_revision=stored.revision
        )
        if isinstance(written, Failure):
            is_written = True
        elif written.unwrap() is not None:
            return Success(CommitOutcome(result="applied", version=base_version + 1))
    if 0 < seen_version < base_version:
        return Success(CommitOutcome(result="conflict", version=seen_version))
    return Success(CommitOutcome(result="store_unreachable"))


def _check_successor(
    base_version: int, change_id: str, document_json: bytes
) -> StepError | CheckError | None:
    if len(document_json) > MAX_DOCUMENT_BYTES:
        shown = f"{len(document_json)} bytes"
        return CheckError("document", shown, f"at most {MAX_DOCUMENT_BYTES} bytes")
    parsed = parse_document(document_json)
    if isinstance(parsed, Failure):
        error: StepError = parsed.failure()
        return error
    document = parsed.unwrap()
    if document.version != base_version + 1:
        shown = str(document.version)
        return CheckError("version", shown, f"{base_version + 1}, one above the base")
    if document.change_ids[-1:] != (change_id,):
        return CheckError("change_ids", "without this change", "this change at the end")
    return None
