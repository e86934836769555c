"""Renew the lease of this VM's entry, through another daemon if need be.

The store may turn a VM away while it serves others. Without a renewal the
VM's entry would expire, although its backend server is well and reachable.
"""

import attrs
from eliot import log_message

from eelgrassweir.daemon.link_client import LinkError
from eelgrassweir.daemon.link_pool import LinkPool
from eelgrassweir.errors import StepError
from eelgrassweir.mesh.adapter import Store
from eelgrassweir.mesh.source_selector import SourceSelector
from eelgrassweir.proto import link_pb2
from eelgrassweir.proto.control_pb2 import Member
from eelgrassweir.store.items import EraChanged, Lease, LeaseGone

PEER_TIMEOUT_MS = 1_200.0
# The preferred source may be turned away as well.
MAX_PEERS = 3


@attrs.frozen
class LeaseRenewer:
    """Renew leases at the store, or at the store through a peer."""

    store: Store
    links: LinkPool
    sources: SourceSelector

    async def renew(self, lease: Lease) -> None:
        """Extend a lease by its lifetime.

        :raises EraChanged: if the store is in a later era.
        :raises LeaseGone: if it has expired.
        :raises StepError: if neither the store nor a peer renewed it.
        """
        try:
            await self.store.renew_lease(lease)
        except (StepError, OSError) as error:
            await self._renew_through_peer(lease, error)

    async def serve(self, request: link_pb2.RenewLease) -> link_pb2.Renewal:
        """Renew a lease for a peer; without a further peer in between."""
        try:
            lease = Lease(era=request.era, lease_id=request.lease_id)
            await self.store.renew_lease(lease)
        except (LeaseGone, EraChanged):
            return link_pb2.Renewal(outcome=link_pb2.LEASE_GONE)
        except (StepError, OSError) as error:
            log_message(message_type="registration:peer_failed", reason=str(error))
            return link_pb2.Renewal(outcome=link_pb2.RENEWAL_FAILED)
        return link_pb2.Renewal(outcome=link_pb2.RENEWED)

    async def _renew_through_peer(self, lease: Lease, error: Exception) -> None:
        """Ask one source after another; raise ``error`` if none helps."""
        for peer in self.sources.list_usable()[:MAX_PEERS]:
            outcome = await self._ask(peer, lease)
            if outcome == link_pb2.LEASE_GONE:
                raise LeaseGone
            if outcome == link_pb2.RENEWED:
                log_message(
                    message_type="registration:renewed_by_peer",
                    peer=peer.vm,
                    reason=str(error),
                )
                return
        raise error

    async def _ask(
        self, peer: Member, lease: Lease
    ) -> link_pb2.RenewalOutcome.ValueType:
        try:
            renewal = await self.links.renew_lease(
                peer.link_address,
                peer.incarnation,
                link_pb2.RenewLease(lease_id=lease.lease_id, era=lease.era),
                timeout_ms=PEER_TIMEOUT_MS,
            )
        except LinkError as error:
            log_message(
                message_type="registration:peer_unanswered",
                peer=peer.vm,
                reason=str(error),
            )
            return link_pb2.RENEWAL_FAILED
        return renewal.outcome
