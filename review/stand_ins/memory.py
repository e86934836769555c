"""The platform's limit of the memory of a process."""

import asyncio
import pathlib

from stand_ins.deployment import Machine, Record

CHECK_INTERVAL_S = 0.005
# A line is recorded for each such rise of the memory.
RECORDED_RISE = 1.2


async def limit_memory(record: Record, machine: Machine, limit_mb: int) -> None:
    """Kill the daemon of a machine once its memory exceeds the limit."""
    assert machine.process is not None
    status = pathlib.Path(f"/proc/{machine.process.pid}/status")
    recorded_mb = 0.0
    while machine.process.poll() is None:
        # The platform misses no peak, however short it is.
        highest_mb = _read_highest_mb(status)
        if highest_mb > RECORDED_RISE * recorded_mb:
            record.write("memory", vm=machine.name, mb=round(highest_mb))
            recorded_mb = highest_mb
        if highest_mb > limit_mb:
            machine.process.kill()
            record.write("killed_by_platform", vm=machine.name, mb=round(highest_mb))
            return
        await asyncio.sleep(CHECK_INTERVAL_S)


def _read_highest_mb(status: pathlib.Path) -> float:
    """Return the highest resident memory of a process, 0 if it has ended."""
    try:
        lines = status.read_text().splitlines()
    except OSError:
        return 0.0
    sizes_kb = [int(line.split()[1]) for line in lines if line.startswith("VmHWM:")]
    return sizes_kb[0] / 1024 if sizes_kb else 0.0
