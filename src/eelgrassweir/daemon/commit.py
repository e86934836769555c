"""Compare-and-swap of the configuration, by a relay."""

import asyncio
from collections.abc import Callable, Sequence

from eliot import log_message
from returns.result import Failure, Result, Success

from eelgrassweir.config.commit import Stored, commit_change, read_config
from eelgrassweir.config.document import ConfigDocument, version_of_change
from eelgrassweir.daemon.control_client import ControlClient
from eelgrassweir.daemon.node import Node
from eelgrassweir.daemon.store_calls import AsyncStoreClient
from eelgrassweir.errors import StepError
from eelgrassweir.membership.freshness import is_majority
from eelgrassweir.proto.control_pb2 import CommitReply, CommitRequest, RelayBeat

# Limits of the rounds of questions, in beats. The first round may use a
# connection that has become silent; it is replaced. The last one is longer,
# since a relay on a busy machine can take more than a beat to answer.
MAJORITY_ROUND_HEARTBEATS = (1, 1, 3)


async def can_reach_majority(node: Node, client: ControlClient) -> bool:
    """Ask the other relays; tell whether a majority of domains answers.

    A majority of domains whose relays do not reach the store takes this for
    an outage and goes on with the version it has. A relay that such a majority
    does not hear must therefore accept no change. Earlier beats are no proof:
    the cut may have come since.
    """
    document = node.config_log.document
    domains = () if document is None else document.failure_domains
    heard = {node.own_member.failure_domain}
    for beats in MAJORITY_ROUND_HEARTBEATS:
        if is_majority(heard, domains):
            return True
        limit_ms = float(beats * node.settings.beat_ms)
        await _ask_relays(node, client, heard, domains, limit_ms)
    return is_majority(heard, domains)


async def _ask_relays(
    node: Node,
    client: ControlClient,
    heard: set[str],
    domains: Sequence[str],
    limit_ms: float,
) -> None:
    """Add the domains that answer to ``heard`` until they are enough."""

    async def ask(beat: RelayBeat) -> str:
        reply = await client.subtree(beat.control_address, limit_ms)
        return beat.failure_domain if isinstance(reply, Success) else ""

    tasks = [asyncio.create_task(ask(beat)) for beat in node.other_relays()]
    try:
        for answer in asyncio.as_completed(tasks):
            heard.add(await answer)
            if is_majority(heard, domains):
                return
    finally:
        for task in tasks:
            task.cancel()


async def read_stored(store: AsyncStoreClient) -> Result[Stored, StepError]:
    """Read the document in the store and its revision."""
    return await asyncio.to_thread(read_config, store.counted)


def reply_from_local_config(
    request: CommitRequest, own_member: ConfigDocument | None
) -> CommitReply | None:
    """Return the reply if the version held here shows how the change ended."""
    if own_member is None:
        return None
    made = version_of_change(own_member, request.change_id)
    if made is not None:
        return CommitReply(result="already_applied", version=made)
    if own_member.version > request.base_version:
        return CommitReply(result="conflict", version=own_member.version)
    return None


async def commit_at_store(
    store: AsyncStoreClient, request: CommitRequest, may_write: Callable[[], bool]
) -> CommitReply:
    """Write the change; read back how it ended if the answer is lost."""
    result = await asyncio.to_thread(
        commit_change,
        store.counted,
        base_version=request.base_version,
        change_id=request.change_id,
        document_json=request.document_json,
        may_write=may_write,
    )
    if isinstance(result, Failure):
        log_message(message_type="control:commit", error=str(result.failure()))
        return CommitReply(result="invalid")
    outcome = result.unwrap()
    return CommitReply(result=outcome.result, version=outcome.version)
