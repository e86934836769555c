"""Compare-and-swap of the configuration, by a relay."""

import asyncio

from eliot import log_message
from returns.result import Failure, Result

from eelgrassweir.config.commit import Stored, commit_change, read_config
from eelgrassweir.config.document import ConfigDocument
from eelgrassweir.daemon.store_calls import StoreCalls
from eelgrassweir.errors import StepError
from eelgrassweir.proto.control_pb2 import CommitReply, CommitRequest


async def read_stored(store: StoreCalls) -> Result[Stored, StepError]:
    """Read the document in the store and its revision."""
    return await asyncio.to_thread(read_config, store.counted)


async def commit_at_store(
    store: StoreCalls, request: CommitRequest, own: ConfigDocument | None
) -> CommitReply:
    """Write the change unless the version held here shows how it ended."""
    if own is not None and request.change_id in own.change_ids:
        return CommitReply(result="already_applied", version=own.version)
    if own is not None and own.version > request.base_version:
        return CommitReply(result="conflict", version=own.version)
    result = await asyncio.to_thread(
        commit_change,
        store.counted,
        base_version=request.base_version,
        change_id=request.change_id,
        document_json=request.document_json,
    )
    if isinstance(result, Failure):
        log_message(message_type="control:commit", error=str(result.failure()))
        return CommitReply(result="invalid")
    outcome = result.unwrap()
    return CommitReply(result=outcome.result, version=outcome.version)
