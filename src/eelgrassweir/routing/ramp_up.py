"""Ramp-up of new and returning targets.

Load condition addressed: a target that starts or returns looks idle to all
entries at once.
"""

RAMP_UP_MS = 1_000.0
MIN_RAMP_SHARE = 0.1


def ramp_share(returned_ms: float, now_ms: float) -> float:
    """Return the share of its usual calls that a target gets."""
    return min(1.0, max(MIN_RAMP_SHARE, (now_ms - returned_ms) / RAMP_UP_MS))
