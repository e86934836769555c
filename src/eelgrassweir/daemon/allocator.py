"""Let the C library return the memory of large messages at once.

By default glibc takes buffers up to the size of those that were freed before
from its heap, where small objects behind them keep them from being returned.
"""

import ctypes

# M_MMAP_THRESHOLD of mallopt(3). Setting it also stops its automatic changes.
MMAP_THRESHOLD_OPTION = -3
# Above the parts in which messages are received, up to 256 KiB.
MMAP_THRESHOLD_BYTES = 524_288


def map_large_buffers() -> bool:
    """Map each large buffer apart; return whether the C library can."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return False
    return bool(mallopt(MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES))
