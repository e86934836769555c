"""Commit of a configuration change by a relay, with compare-and-swap."""

import asyncio
from collections.abc import Callable, Sequence

from eliot import log_message
from returns.result import Failure, Result, Success

from eelgrassweir.config.commit import StoredConfig, commit_change, read_config
from eelgrassweir.config.document import ConfigDocument, find_version_of_change
from eelgrassweir.daemon.control_client import ControlClient
from eelgrassweir.daemon.node import Node
from eelgrassweir.daemon.store_calls import AsyncStoreClient
from eelgrassweir.errors import StepError
from eelgrassweir.membership.freshness import is_majority
from eelgrassweir.proto.control_pb2 import CommitReply, CommitRequest, RelayBeat

# Timeouts of the rounds of questions, in heartbeats. The first round may use
# a connection that has become silent; it is replaced. The last one is longer,
# since a relay on a busy machine can take more than a heartbeat to answer.
MAJORITY_ROUND_HEARTBEATS = (1, 1, 3)


async def can_reach_majority(node: Node, client: ControlClient) -> bool:
    """Ask the other relays; return whether a majority of domains answers.

    A majority of domains whose relays do not reach the store assumes a store
    outage and keeps using its version. A relay that is partitioned from such
    a majority must therefore commit no change. Earlier heartbeats prove
    nothing, since the partition may have begun after them.
    """
    document = node.config_log.document
    domains = () if document is None else document.failure_domains
    answered = {node.own_member.failure_domain}
    for heartbeats in MAJORITY_ROUND_HEARTBEATS:
        if is_majority(answered, domains):
            return True
        timeout_ms = float(heartbeats * node.settings.beat_ms)
        await _ask_relays(node, client, answered, domains, timeout_ms)
    return is_majority(answered, domains)


async def _ask_relays(
    node: Node,
    client: ControlClient,
    answered: set[str],
    domains: Sequence[str],
    timeout_ms: float,
) -> None:
    """Add the domains that answer to ``answered``; stop at a majority."""

    async def ask(relay: RelayBeat) -> str:
        reply = await client.subtree(relay.control_address, timeout_ms)
        return relay.failure_domain if isinstance(reply, Success) else ""

    tasks = [asyncio.create_task(ask(relay)) for relay in node.other_relays()]
    try:
        for result in asyncio.as_completed(tasks):
            answered.add(await result)
            if is_majority(answered, domains):
                return
    finally:
        for task in tasks:
            task.cancel()


async def read_stored_config(
    store: AsyncStoreClient,
) -> Result[StoredConfig, StepError]:
    """Read the document in the store and its revision."""
    return await asyncio.to_thread(read_config, store.counted)


def reply_from_local_config(
    request: CommitRequest, local: ConfigDocument | None
) -> CommitReply | None:
    """Return the reply if the local version shows how the change ended."""
    if local is None:
        return None
    committed = find_version_of_change(local, request.change_id)
    if committed is not None:
        return CommitReply(result="already_applied", version=committed)
    if local.version > request.base_version:
        return CommitReply(result="conflict", version=local.version)
    return None


async def commit_at_store(
    store: AsyncStoreClient, request: CommitRequest, may_write: Callable[[], bool]
) -> CommitReply:
    """Write the change; read the result back if the reply is lost.

    ``may_write`` is asked immediately before each write.
    """
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
