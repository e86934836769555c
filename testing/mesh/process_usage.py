"""Memory and descriptors of a process that a test has started."""

import asyncio
import os
import pathlib
import re

import attrs

SAMPLE_INTERVAL_S = 0.05


def read_peak_bytes(pid: int) -> int:
    """Return the largest resident size that the process has had."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert match is not None
    return 1_024 * int(match[1])


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of the process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


@attrs.define
class DescriptorWatch:
    """Highest number of open descriptors that has been seen."""

    pid: int
    peak: int = 0

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.peak = max(self.peak, count_descriptors(self.pid))
            await asyncio.sleep(SAMPLE_INTERVAL_S)
