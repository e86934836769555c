"""Give a process standard streams if it was started without them."""

import errno
import os
import sys

STDIN, STDOUT, STDERR = range(3)


def open_closed_streams() -> None:
    """Open the null device for each standard stream that is closed.

    A socket or file would otherwise get its number, and what is written to
    the stream would end up in a connection.
    """
    for descriptor in (STDIN, STDOUT, STDERR):
        if not _is_open(descriptor):
            # The lowest free number is this one.
            os.open(os.devnull, os.O_RDWR)
    # The interpreter has set the objects of closed streams to None.
    sys.stdout = sys.stdout or os.fdopen(STDOUT, "w", closefd=False)
    sys.stderr = sys.stderr or os.fdopen(STDERR, "w", closefd=False)


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError as error:
        if error.errno != errno.EBADF:
            raise
        return False
    return True
