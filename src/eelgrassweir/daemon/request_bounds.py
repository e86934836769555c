"""Bounds on received bytes that are neither a field nor the content."""

import attrs

# Bytes of empty lines before a request (RFC 9112 section 2.2 asks for one line
# to be ignored). Those in the same part as the request before do not count.
MAX_EMPTY_LINE_BYTES = 4_096


@attrs.define(eq=False)
class RequestBounds:
    """What was received of one request beside its fields and its content.

    The methods return why the request is refused, or an empty string.
    """

    _empty_line_bytes: int = 0
    _framing_bytes: int = 0

    def reset(self) -> None:
        """Begin another request."""
        self._empty_line_bytes = 0
        self._framing_bytes = 0

    def add_before_request(self, data: bytes) -> str:
        """Count empty lines, which the parser skips before a request."""
        if not data.startswith((b"\r", b"\n")):
            return ""
        self._empty_line_bytes += len(data) - len(data.lstrip(b"\r\n"))
        if self._empty_line_bytes <= MAX_EMPTY_LINE_BYTES:
            return ""
        return f"empty lines above {MAX_EMPTY_LINE_BYTES} bytes"

    def add_to_body(self, size_bytes: int, has_content: bool, limit_bytes: int) -> str:
        """Count bytes of a body that brought no content.

        They are extensions of chunks and trailing fields, of which the parser
        keeps the last one until its end.
        """
        self._framing_bytes = 0 if has_content else self._framing_bytes + size_bytes
        if self._framing_bytes <= limit_bytes:
            return ""
        return f"trailing fields above {limit_bytes} bytes"
