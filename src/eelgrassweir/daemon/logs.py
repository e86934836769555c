"""Output of the log of state changes."""

import sys
from typing import TextIO

from eliot import to_file


def open_log(path: str) -> None:
    """Write log lines to the file at ``path``, or else to standard error.

    :raises OSError: if the file cannot be opened
    """
    output: TextIO = sys.stderr
    if path:
        output = open(path, "a", buffering=1)  # noqa: SIM115
    to_file(output)
