"""Log of changes of state."""

import sys
from typing import TextIO

from eliot import to_file


def open_log(path: str) -> None:
    """Send log lines to the file at ``path``, or to standard error."""
    output: TextIO = sys.stderr
    if path:
        output = open(path, "a", buffering=1)  # noqa: SIM115
    to_file(output)
