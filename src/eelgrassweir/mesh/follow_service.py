"""Serve news of the store to the daemons that follow this one."""

import math

from eelgrassweir.clock import Clock
from eelgrassweir.membership.freshness import Freshness
from eelgrassweir.proto import link_pb2
from eelgrassweir.store.items import Change, Item, Removal
from eelgrassweir.store.replica import ReplicaUpdate, StoreReplica

# An update is sent without changes if its proof is newer by this time.
MIN_PROOF_GAIN_MS = 100.0
MAX_WAIT_MS = 30_000
# Largest duration that a message holds.
MAX_DURATION_MS = 2**31


class FollowService:
    """Answer a follower once there is something that it does not know."""

    def __init__(
        self, *, clock: Clock, replica: StoreReplica, freshness: Freshness
    ) -> None:
        self._clock = clock
        self._replica = replica
        self._freshness = freshness

    async def serve(self, request: link_pb2.Follow) -> link_pb2.Update:
        """Return the changes that the follower lacks and the latest proof.

        Wait for news, but no longer than the request says.
        """
        arrived_ms = self._clock.now_ms()
        wait_ms = min(request.wait_ms, MAX_WAIT_MS)
        while self._replica.revision is not None:
            remaining_ms = arrived_ms + wait_ms - self._clock.now_ms()
            if remaining_ms <= 0 or self._has_news(request, arrived_ms):
                break
            await self._replica.wait_for_news(remaining_ms)
        return self._make_update(request, arrived_ms)

    def _has_news(self, request: link_pb2.Follow, arrived_ms: float) -> bool:
        if self._replica.has_changes(request.cursor, request.revision, request.era):
            return True
        if request.era > self._replica.era:
            return False
        now_ms = self._clock.now_ms()
        age_ms = self._freshness.age_ms(now_ms)
        if age_ms is None:
            return False
        known_age_ms = request.age_ms + now_ms - arrived_ms
        return known_age_ms - age_ms >= MIN_PROOF_GAIN_MS

    def _make_update(
        self, request: link_pb2.Follow, arrived_ms: float
    ) -> link_pb2.Update:
        now_ms = self._clock.now_ms()
        age_ms = self._freshness.age_ms(now_ms)
        update = link_pb2.Update(era=self._replica.era)
        if self._replica.revision is None or request.era > self._replica.era:
            return update
        if age_ms is not None:
            # Rounded so that the proof looks older, never newer.
            update.has_proof = True
            update.proof_age_ms = min(MAX_DURATION_MS, math.ceil(age_ms))
            update.elapsed_ms = min(MAX_DURATION_MS, math.floor(now_ms - arrived_ms))
        elif request.era == self._replica.era:
            return update
        # Without a proof the follower still learns of the later era.
        news = self._replica.read(request.cursor, request.revision, request.era)
        _encode_changes(update, news)
        return update


def _encode_changes(update: link_pb2.Update, news: ReplicaUpdate) -> None:
    update.cursor = news.cursor
    update.revision = news.revision
    update.is_snapshot = news.is_snapshot
    for change in news.changes:
        item = update.items.add(key=change.key, revision=change.revision)
        if isinstance(change, Item):
            item.value = change.value
        else:
            item.is_removed = True


def decode_changes(update: link_pb2.Update) -> tuple[Change, ...]:
    """Return the changes, or the items of a snapshot, in an update."""
    return tuple(_decode_change(item, update.era) for item in update.items)


def _decode_change(item: link_pb2.StoreItem, era: int) -> Change:
    if item.is_removed:
        return Removal(key=item.key, revision=item.revision, era=era)
    return Item(
        key=item.key, value=item.value, revision=item.revision, lease_id=0, era=era
    )
