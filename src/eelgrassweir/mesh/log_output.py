"""Non-blocking log output with rate limits and a bounded buffer."""

import collections
import json
import os
from typing import Any, Protocol

# Lines of one message type that are written in one second; more are omitted.
MAX_LINES_PER_S = 40
# Message types without a rate limit: they report changes of state, which are
# few and needed to explain the other lines.
UNLIMITED_PREFIXES = ("daemon:", "config:", "member:", "store:", "backend:")
BUFFER_LIMIT_BYTES = 1_048_576
WINDOW_MS = 1_000.0


# Status from which a response is a failure.
FAILED_STATUS = 500


class CanLog(Protocol):
    """Tell whether a line of a message type would be written now."""

    def __call__(self, kind: str, *, is_failure: bool = False) -> bool:
        """Return whether the line would be written."""


class LogOutput:
    """Buffer log lines and write as many as the descriptor accepts.

    Lines of a message type beyond ``MAX_LINES_PER_S`` are counted instead of
    written, as are lines that the buffer cannot hold. Lines of failed requests
    are counted apart, so that those of successes cannot use up their limit.
    ``flush`` adds one line with the counts. It blocks only if the descriptor
    is a blocking one.

    Each line names the VM of this daemon as ``daemon``, for logs of many VMs
    in one stream.
    """

    def __init__(self, descriptor: int, vm: str = "") -> None:
        self._descriptor = descriptor
        self._vm = vm
        self._lines: collections.deque[bytes] = collections.deque()
        self._size_bytes = 0
        self._window_start_ms = 0.0
        self._counts: dict[str, int] = {}
        self._omitted_lines: dict[str, int] = {}
        self.dropped_lines = 0

    def can_log(self, kind: str, *, is_failure: bool = False) -> bool:
        """Return whether a line of this type would be written now.

        If not, the line is counted as omitted. Calling this first avoids the
        cost of composing lines for the many requests that succeed.
        """
        limit = _limit_name(kind, is_failure)
        if self._counts.get(limit, 0) < MAX_LINES_PER_S:
            return True
        self._omitted_lines[limit] = self._omitted_lines.get(limit, 0) + 1
        return False

    def write(self, message: dict[str, Any]) -> None:
        """Buffer one eliot message; an eliot destination."""
        kind = str(message.get("message_type", "eliot:other"))
        status = message.get("status")
        limit = _limit_name(kind, isinstance(status, int) and is_failed(status))
        count = self._counts.get(limit, 0) + 1
        self._counts[limit] = count
        if count > MAX_LINES_PER_S and not kind.startswith(UNLIMITED_PREFIXES):
            self._omitted_lines[limit] = self._omitted_lines.get(limit, 0) + 1
            return
        self._append(message)

    def flush(self, now_ms: float) -> None:
        """Write buffered lines; report the counts at the start of a window."""
        if now_ms - self._window_start_ms >= WINDOW_MS:
            self._window_start_ms = now_ms
            self._counts.clear()
            if self._omitted_lines or self.dropped_lines:
                self._append(
                    {
                        "message_type": "log:left_out",
                        "lines": self._omitted_lines,
                        "dropped_lines": self.dropped_lines,
                    }
                )
                self._omitted_lines = {}
                self.dropped_lines = 0
        if self._lines:
            self._write_lines()

    def _write_lines(self) -> None:
        """Write all lines in one system call; keep what is not accepted."""
        data = b"".join(self._lines)
        self._lines.clear()
        self._size_bytes = 0
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed its end.
            self.dropped_lines += data.count(b"\n")
            return
        rest = data[written:]
        if rest:
            self._lines.append(rest)
            self._size_bytes = len(rest)

    def _append(self, message: dict[str, Any]) -> None:
        if self._vm:
            message = {"daemon": self._vm, **message}
        line = json.dumps(message, default=str, separators=(",", ":")).encode()
        if self._size_bytes + len(line) > BUFFER_LIMIT_BYTES:
            self.dropped_lines += 1
            return
        self._lines.append(line + b"\n")
        self._size_bytes += len(line) + 1


def is_failed(status: int) -> bool:
    """Return whether the status of a response is that of a failure."""
    return status >= FAILED_STATUS


def _limit_name(kind: str, is_failure: bool) -> str:
    return f"{kind} (failed)" if is_failure else kind
