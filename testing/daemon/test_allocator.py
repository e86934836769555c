"""Guard against freed messages that stay in the memory of a daemon."""

import os
import pathlib
import subprocess
import sys

# Frees a large buffer, which raises the limit of glibc, then frees buffers
# that small ones lie behind, and prints what stays in KB.
PROGRAM = """
import sys
from eelgrassweir.daemon.allocator import map_large_buffers

def read_kb():
    with open("/proc/self/statm") as status:
        return 4 * int(status.read().split()[1])

if sys.argv[1] == "mapped":
    assert map_large_buffers()
bytes(30_000_000)
before_kb = read_kb()
large, small = [], []
for _ in range(20):
    large.append(b"x" * 4_000_000)
    small.append(b"y" * 100_000)
del large
print(read_kb() - before_kb)
"""
MAX_KEPT_KB = 20_000
SOURCES = pathlib.Path(__file__).parents[2] / "src"


def measure_kept_kb(mode: str) -> int:
    """Return the memory that a process keeps after it freed 80 MB."""
    command = [sys.executable, "-c", PROGRAM, mode]
    environment = os.environ | {"PYTHONPATH": str(SOURCES)}
    result = subprocess.run(
        command, env=environment, capture_output=True, text=True, check=True
    )
    return int(result.stdout)


def test_large_buffers_are_returned_when_they_are_freed() -> None:
    """Guard against a heap with gaps of the size of long answers."""
    assert measure_kept_kb("mapped") < MAX_KEPT_KB
    # The program reproduces the fault.
    assert measure_kept_kb("default") > MAX_KEPT_KB
