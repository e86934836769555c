"""Log what libraries and the interpreter would write to standard error."""

import logging
import sys
from typing import TYPE_CHECKING

from eliot import log_message

if TYPE_CHECKING:
    from sys import UnraisableHookArgs


class EliotHandler(logging.Handler):
    """Log the records of the standard library's loggers."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record."""
        log_message(
            message_type="library:message",
            logger=record.name,
            level=record.levelname,
            reason=record.getMessage(),
        )


def log_library_messages() -> None:
    """Log warnings of libraries, and errors that nothing can handle."""
    logging.getLogger().addHandler(EliotHandler(logging.WARNING))
    sys.unraisablehook = log_unraisable


def log_unraisable(unraisable: "UnraisableHookArgs") -> None:
    """Log an error in a finalizer or a callback of the interpreter."""
    error = unraisable.exc_value
    log_message(
        message_type="library:error",
        reason=unraisable.err_msg or f"ignored in {unraisable.object!r}",
        error=f"{type(error).__name__}: {error}",
    )
