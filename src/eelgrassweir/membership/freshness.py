"""Judge whether the configuration may still be the newest."""

from collections.abc import Collection, Mapping

import attrs


@attrs.frozen(kw_only=True)
class PeerReport:
    """Hold what another relay said in its last beat."""

    failure_domain: str
    store_reached: bool
    config_version: int
    # Own clock at a moment before the peer sent the beat.
    as_of_ms: float


class Freshness:
    """Keep the last moment at which the configuration was known to be new.

    All moments are of the daemon's own monotonic clock and lie before the
    statement was made, so a message that was delayed makes the age larger.
    """

    def __init__(self) -> None:
        self._as_of_ms: float | None = None

    def record(self, as_of_ms: float) -> None:
        """Record that the configuration was the newest at ``as_of_ms``."""
        if self._as_of_ms is None or as_of_ms > self._as_of_ms:
            self._as_of_ms = as_of_ms

    def age_ms(self, now_ms: float) -> float | None:
        """Return the age of the last word; None if there was none."""
        if self._as_of_ms is None:
            return None
        return max(0.0, now_ms - self._as_of_ms)

    def is_fresh(self, now_ms: float, limit_ms: float) -> bool:
        """Tell whether the last word is no older than ``limit_ms``."""
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms <= limit_ms


def is_majority(heard: Collection[str], domains: Collection[str]) -> bool:
    """Tell whether ``heard`` holds more than half of the configured domains.

    Without configured domains no outage can be inferred, so any set will do.
    """
    configured = set(domains)
    return not configured or len(configured & set(heard)) > len(configured) // 2


def latest_peer_proof_ms(
    peers: Mapping[str, PeerReport],
    *,
    own_version: int,
    now_ms: float,
    max_report_age_ms: float,
) -> float | None:
    """Return when a peer that reached the store had no newer version."""
    if any(peer.config_version > own_version for peer in peers.values()):
        return None
    moments = [
        peer.as_of_ms
        for peer in peers.values()
        if peer.store_reached
        and peer.config_version == own_version
        and now_ms - peer.as_of_ms <= max_report_age_ms
    ]
    return max(moments, default=None)


def latest_outage_proof_ms(
    peers: Mapping[str, PeerReport],
    *,
    own_domain: str,
    own_version: int,
    domains: Collection[str],
    now_ms: float,
    max_report_age_ms: float,
) -> float | None:
    """Return when a majority of domains said that none reaches the store.

    The caller itself does not reach the store and counts for its domain. A
    peer that reaches the store or has a newer version rules an outage out.
    """
    heard = [
        peer for peer in peers.values() if now_ms - peer.as_of_ms <= max_report_age_ms
    ]
    if any(peer.store_reached for peer in heard):
        return None
    if any(peer.config_version > own_version for peer in heard):
        return None
    latest_ms: dict[str, float] = {}
    for peer in heard:
        before_ms = latest_ms.get(peer.failure_domain, peer.as_of_ms)
        latest_ms[peer.failure_domain] = max(before_ms, peer.as_of_ms)
    latest_ms[own_domain] = now_ms
    moments = sorted(
        (moment for domain, moment in latest_ms.items() if domain in domains),
        reverse=True,
    )
    needed = len(set(domains)) // 2 + 1
    return moments[needed - 1] if len(moments) >= needed else None
