"""Compare-and-swap of the configuration, by a relay."""

from returns.result import Failure, Result, Success

from eelgrassweir.config.document import (
    ConfigDocument,
    dump_document,
    parse_document,
)
from eelgrassweir.daemon.store_calls import StoreCalls
from eelgrassweir.errors import StepError
from eelgrassweir.proto.control_pb2 import CommitReply, CommitRequest

CONFIG_KEY = "config/current"
WRITE_ATTEMPTS = 2


async def read_config(
    store: StoreCalls,
) -> Result[tuple[ConfigDocument | None, int], StepError]:
    """Read the document in the store and its revision (0: absent)."""
    read = await store.get(CONFIG_KEY)
    if isinstance(read, Failure):
        return read
    value = read.unwrap()
    if value is None:
        return Success((None, 0))
    return parse_document(value.value.encode()).map(
        lambda document: (document, value.revision)
    )


async def commit_change(
    store: StoreCalls, request: CommitRequest, own: ConfigDocument | None
) -> tuple[CommitReply, ConfigDocument | None]:
    """Write the change; return the reply and the document now in the store.

    A lost answer is settled by reading back: the change id shows whether the
    write took effect.
    """
    proposed = parse_document(request.document_json)
    if isinstance(proposed, Failure) or not _follows(proposed.unwrap(), request):
        return CommitReply(result="invalid"), None
    for attempt in range(WRITE_ATTEMPTS):
        read = await read_config(store)
        if isinstance(read, Failure):
            return CommitReply(result="store_unreachable"), None
        document, revision = read.unwrap()
        reply = _judge(document, request, own)
        if reply is not None:
            if reply.result == "already_applied" and attempt > 0:
                reply.result = "applied"
            return reply, document
        written = await store.put(
            CONFIG_KEY,
            dump_document(proposed.unwrap()).decode(),
            expect_revision=revision,
        )
        if isinstance(written, Success) and written.unwrap() is not None:
            version = request.base_version + 1
            return CommitReply(result="applied", version=version), proposed.unwrap()
    return await _read_back(store, request, own)


async def _read_back(
    store: StoreCalls, request: CommitRequest, own: ConfigDocument | None
) -> tuple[CommitReply, ConfigDocument | None]:
    read = await read_config(store)
    if isinstance(read, Failure):
        return CommitReply(result="store_unreachable"), None
    document, _ = read.unwrap()
    reply = _judge(document, request, own)
    if reply is None:
        return CommitReply(result="store_unreachable"), document
    if reply.result == "already_applied":
        reply.result = "applied"
    return reply, document


def _judge(
    document: ConfigDocument | None, request: CommitRequest, own: ConfigDocument | None
) -> CommitReply | None:
    """Return why the change is not to be written, or None."""
    versions = [0 if known is None else known.version for known in (document, own)]
    # A read that is older than what this relay has passed on is stale.
    for known in (document, own):
        if known is not None and request.change_id in known.change_ids:
            return CommitReply(result="already_applied", version=max(versions))
    if versions[0] != request.base_version or versions[0] < versions[1]:
        return CommitReply(result="conflict", version=max(versions))
    return None


def _follows(document: ConfigDocument, request: CommitRequest) -> bool:
    return (
        document.version == request.base_version + 1
        and request.change_id in document.change_ids
    )
