"""Replicate the leaves of the local backend server to other daemons.

A leave must outlive the process that acknowledges it, also while the store
cannot take it. The next process of the VM asks the other daemons for it.
"""

import asyncio
import zlib
from collections.abc import Iterable, Sequence

from eliot import log_message

from eelgrassweir.daemon.link_client import LinkError
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.membership.table import MemberTable
from eelgrassweir.mesh.backend import MAX_LEAVES, Leave
from eelgrassweir.proto import link_pb2
from eelgrassweir.proto.control_pb2 import DOWN, Member

# Daemons that hold the leaves of one VM.
REPLICA_COUNT = 6
# Replicas that must have a leave before it is acknowledged without the store.
MIN_REPLICAS = 2
# A longer wait would delay the service of a restarted daemon.
REPLY_TIMEOUT_MS = 400.0
# VMs whose leaves are held; the one without a new leave for longest is
# dropped first.
MAX_VMS = 1_024


class LeaveReplication:
    """Hold the leaves of other VMs, and have those of this VM held."""

    def __init__(self, *, vm: str, members: MemberTable, links: LinkPool) -> None:
        self._vm = vm
        self._members = members
        self._links = links
        # Latest start that leaves, by VM and instance.
        self._held: dict[str, dict[str, int]] = {}
        self._replicated: set[Leave] = set()
        # Incarnations that were asked for the leaves of this VM.
        self._asked: set[str] = set()

    async def replicate(self, leave: Leave) -> bool:
        """Return whether enough daemons hold a leave of this VM."""
        if leave in self._replicated:
            return True
        replicas = self._choose_replicas()
        replies = await self._share(replicas, (_encode(leave),))
        log_message(
            message_type="backend:leave_replicated",
            instance=leave.instance,
            replicas=len(replies),
        )
        if not replicas or len(replies) < min(MIN_REPLICAS, len(replicas)):
            return False
        self._replicated.add(leave)
        return True

    async def fetch(self) -> tuple[link_pb2.BackendLeave, ...]:
        """Return the leaves of this VM that other daemons hold.

        Daemons that were asked before are left out.
        """
        replicas = [
            replica
            for replica in self._choose_replicas()
            if replica.incarnation not in self._asked
        ]
        self._asked.update(replica.incarnation for replica in replicas)
        replies = await self._share(replicas, ())
        return tuple(leave for reply in replies for leave in reply.leaves)

    def hold(self, member: Member) -> None:
        """Hold the leave in the entry of another VM, which may be lost."""
        if member.leaving_instance and member.vm != self._vm:
            leave = link_pb2.BackendLeave(
                instance=member.leaving_instance,
                latest_started_wall_ms=member.leaving_started_wall_ms,
            )
            self.serve(link_pb2.ShareLeaves(vm=member.vm, leaves=[leave]))

    def serve(self, request: link_pb2.ShareLeaves) -> link_pb2.KnownLeaves:
        """Hold the leaves of a peer and return those known of its VM."""
        known = self._held.pop(request.vm, {})
        for leave in request.leaves:
            _hold(known, leave)
        if known:
            self._held[request.vm] = known
        if len(self._held) > MAX_VMS:
            del self._held[next(iter(self._held))]
        return link_pb2.KnownLeaves(
            leaves=[
                link_pb2.BackendLeave(instance=instance, latest_started_wall_ms=start)
                for instance, start in known.items()
            ]
        )

    def _choose_replicas(self) -> Sequence[Member]:
        return choose_replicas(self._members.all(), self._vm)

    async def _share(
        self, replicas: Iterable[Member], leaves: Sequence[link_pb2.BackendLeave]
    ) -> list[link_pb2.KnownLeaves]:
        """Return the replies of the replicas that answer in time."""
        replies = await asyncio.gather(
            *(self._ask(replica, leaves) for replica in replicas)
        )
        return [reply for reply in replies if reply is not None]

    async def _ask(
        self, replica: Member, leaves: Sequence[link_pb2.BackendLeave]
    ) -> link_pb2.KnownLeaves | None:
        try:
            return await self._links.share_leaves(
                replica.link_address,
                replica.incarnation,
                link_pb2.ShareLeaves(vm=self._vm, leaves=leaves),
                timeout_ms=REPLY_TIMEOUT_MS,
            )
        except LinkError as error:
            log_message(
                message_type="backend:replica_unanswered",
                replica=replica.vm,
                reason=str(error),
            )
            return None


def choose_replicas(members: Iterable[Member], vm: str) -> Sequence[Member]:
    """Return the daemons that hold the leaves of a VM.

    The order by a hash of both VMs (rendezvous hashing) keeps most of them
    whoever joins or leaves; each failure domain has one before any has two.
    """
    live = [member for member in members if member.state != DOWN and member.vm != vm]
    live.sort(key=lambda member: zlib.crc32(f"{vm}/{member.vm}".encode()))
    count_by_domain: dict[str, int] = {}
    turns = []
    for member in live:
        turn = count_by_domain.get(member.failure_domain, 0)
        count_by_domain[member.failure_domain] = turn + 1
        turns.append(turn)
    order = sorted(range(len(live)), key=lambda index: turns[index])
    return [live[index] for index in order[:REPLICA_COUNT]]


def _encode(leave: Leave) -> link_pb2.BackendLeave:
    return link_pb2.BackendLeave(
        instance=leave.instance, latest_started_wall_ms=leave.latest_started_wall_ms
    )


def _hold(known: dict[str, int], leave: link_pb2.BackendLeave) -> None:
    """Add a leave to those of its VM, of which the last ones are kept."""
    earlier_start = known.pop(leave.instance, 0)
    known[leave.instance] = max(earlier_start, leave.latest_started_wall_ms)
    if len(known) > MAX_LEAVES:
        del known[next(iter(known))]
