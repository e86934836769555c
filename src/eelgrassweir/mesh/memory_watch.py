"""Report how much of the VM's memory a daemon has used.

A daemon that exceeds the memory is killed and can no longer say why.
"""

import resource

import attrs
from eliot import log_message

# Shares of the memory whose first use is logged.
LOGGED_SHARES = (0.5, 0.6, 0.7, 0.8, 0.9, 1.0)
BYTES_PER_KB = 1_024


def read_peak_bytes() -> int:
    """Return the largest resident size of this process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB


@attrs.define
class MemoryWatch:
    """Log each share of ``limit_bytes`` that the daemon reaches, once."""

    limit_bytes: float
    peak_bytes: int = 0
    _reached_shares: int = 0

    def update(self, peak_bytes: int, held_bytes: int) -> None:
        """Record the peak; ``held_bytes`` are those of the messages."""
        self.peak_bytes = peak_bytes
        reached = sum(peak_bytes >= share * self.limit_bytes for share in LOGGED_SHARES)
        if reached <= self._reached_shares:
            return
        self._reached_shares = reached
        log_message(
            message_type="daemon:memory",
            peak_bytes=peak_bytes,
            limit_bytes=int(self.limit_bytes),
            held_bytes=held_bytes,
        )
