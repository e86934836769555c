"""Configuration status of the whole fleet, as one daemon sees it."""

from collections.abc import Sequence

import attrs

from eelgrassweir.daemon.node import Node
from eelgrassweir.membership.tree import MAX_LAGGING_NAMES
from eelgrassweir.proto.control_pb2 import SubtreeReply


@attrs.frozen(kw_only=True)
class FleetStatus:
    """Counts and VM names aggregated from the replies of the relays."""

    newest_version: int
    # Whether a relay that answered has reached the store recently.
    store_reached: bool
    daemons_by_version: dict[int, int]
    lagging: tuple[str, ...]
    unreachable_relays: tuple[str, ...]
    unreachable_domains: tuple[str, ...]
    members_known: int
    # Daemons that no relay counts, since they or their relay are partitioned.
    members_unheard: int
    # Daemons that were lost within the isolation limit.
    lost: tuple[str, ...]
    # A daemon without proof of freshness for this long refuses keyed requests.
    isolation_limit_ms: int


def make_subtree_reply(node: Node) -> SubtreeReply:
    """Return the acknowledgements of this daemon and its descendants."""
    return SubtreeReply(
        relay=node.own_member.vm,
        ack=node.aggregate_acks(),
        config_version=node.config_log.version,
        store_reached=node.has_reached_store(),
    )


def aggregate_replies(
    node: Node, replies: Sequence[SubtreeReply], unreachable: tuple[str, ...]
) -> FleetStatus:
    """Aggregate the replies of the subtrees that answered."""
    counts: dict[int, int] = {}
    for reply in replies:
        for count in reply.ack.counts:
            total = counts.get(count.version, 0) + count.daemons
            counts[count.version] = total
    newest = max([node.config_log.version, *counts])
    lagging: list[str] = []
    for reply in replies:
        lagging += [reply.relay] if reply.config_version < newest else []
        lagging += reply.ack.lagging
    names = {reply.relay for reply in replies}
    reached = {beat.failure_domain for beat in node.live_relays() if beat.vm in names}
    document = node.config_log.document
    domains = () if document is None else document.failure_domains
    known = node.members.count_live()
    return FleetStatus(
        newest_version=newest,
        store_reached=any(reply.store_reached for reply in replies),
        daemons_by_version=dict(sorted(counts.items())),
        lagging=tuple(lagging[:MAX_LAGGING_NAMES]),
        unreachable_relays=unreachable,
        unreachable_domains=tuple(
            domain for domain in domains if domain not in reached
        ),
        members_known=known,
        members_unheard=max(0, known - sum(counts.values())),
        lost=tuple(node.recently_lost_vms()[:MAX_LAGGING_NAMES]),
        isolation_limit_ms=node.settings.isolation_limit_ms,
    )
