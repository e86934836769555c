"""Freshness: how long ago the configuration was known to be the newest.

The daemon's control plane records the proofs; the request path refuses
requests when the configuration is too old.
"""

from collections.abc import Collection, Mapping

import attrs


@attrs.frozen(kw_only=True)
class PeerReport:
    """State of another relay as of its last heartbeat."""

    failure_domain: str
    store_reached: bool
    config_version: int
    # Time of the own clock before the peer sent the heartbeat.
    as_of_ms: float


class Freshness:
    """Time at which the configuration was last proven to be the newest.

    All times are of the daemon's own monotonic clock and precede the proof, so
    a delayed message makes the configuration look older, never newer.
    """

    def __init__(self) -> None:
        self._as_of_ms: float | None = None

    def record(self, as_of_ms: float) -> None:
        """Record a proof that the configuration was newest at ``as_of_ms``."""
        if self._as_of_ms is None or as_of_ms > self._as_of_ms:
            self._as_of_ms = as_of_ms

    def invalidate(self) -> None:
        """Forget the proof; the next one may be older."""
        self._as_of_ms = None

    def age_ms(self, now_ms: float) -> float | None:
        """Return the age of the latest proof, or None without any."""
        if self._as_of_ms is None:
            return None
        return max(0.0, now_ms - self._as_of_ms)

    def is_fresh(self, now_ms: float, limit_ms: float) -> bool:
        """Tell whether the latest proof is no older than ``limit_ms``."""
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms <= limit_ms


def is_majority(reached: Collection[str], domains: Collection[str]) -> bool:
    """Tell whether ``reached`` is a majority of the configured domains.

    Without configured domains no outage can be inferred, so any set suffices.
    """
    configured = set(domains)
    return not configured or len(configured & set(reached)) > len(configured) // 2


def latest_peer_proof_ms(
    peers: Mapping[str, PeerReport],
    *,
    own_version: int,
    now_ms: float,
    max_report_age_ms: float,
) -> float | None:
    """Return when a peer with store access last had the own version.

    Return None if no recent report shows this or any peer has a newer version.
    """
    if any(peer.config_version > own_version for peer in peers.values()):
        return None
    times_ms = [
        peer.as_of_ms
        for peer in peers.values()
        if peer.store_reached
        and peer.config_version == own_version
        and now_ms - peer.as_of_ms <= max_report_age_ms
    ]
    return max(times_ms, default=None)


def latest_outage_proof_ms(
    peers: Mapping[str, PeerReport],
    *,
    own_domain: str,
    own_version: int,
    domains: Collection[str],
    now_ms: float,
    max_report_age_ms: float,
) -> float | None:
    """Return when a majority of domains last reported a store outage.

    The caller must not reach the store itself and counts for its own domain.
    Return None without such a majority, or if a recent report comes from a
    peer that reaches the store or has a newer version.
    """
    recent = [
        peer for peer in peers.values() if now_ms - peer.as_of_ms <= max_report_age_ms
    ]
    if any(peer.store_reached for peer in recent):
        return None
    if any(peer.config_version > own_version for peer in recent):
        return None
    latest_ms: dict[str, float] = {}
    for peer in recent:
        previous_ms = latest_ms.get(peer.failure_domain, peer.as_of_ms)
        latest_ms[peer.failure_domain] = max(previous_ms, peer.as_of_ms)
    latest_ms[own_domain] = now_ms
    times_ms = sorted(
        (time_ms for domain, time_ms in latest_ms.items() if domain in domains),
        reverse=True,
    )
    needed = len(set(domains)) // 2 + 1
    return times_ms[needed - 1] if len(times_ms) >= needed else None
