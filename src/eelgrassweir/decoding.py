"""Decode JSON from outside into checked values.

Used by the adapter to the platform. Any payload gives a value within its
range or a ``MalformedValue``, which is a ``ValueError``.
"""

import ipaddress
import json
from typing import Any

# Largest number that the messages between daemons can hold.
MAX_INT = 2**63 - 1
MAX_PORT = 65_535
# Length of a value in an error message, which ends up in a log line.
MAX_SHOWN_CHARS = 80


class MalformedValue(ValueError):
    """A value from outside has the wrong type or is out of range."""


def parse_json(payload: bytes | bytearray) -> Any:
    """Return the decoded JSON document.

    Numbers may be infinite or not a number; ``require_number`` refuses these.

    :raises MalformedValue: if it is not JSON or is nested too deeply.
    """
    try:
        return json.loads(payload)
    except RecursionError:
        raise MalformedValue("nested too deeply") from None
    except ValueError as error:
        raise MalformedValue(f"not JSON ({_shorten(error)})") from None


def require_object(value: Any) -> dict[str, Any]:
    """Return a JSON object.

    :raises MalformedValue: if the value is anything else.
    """
    if not isinstance(value, dict):
        raise MalformedValue(f"{_shorten(value)} is no object")
    return value


def require_list(value: Any) -> list[Any]:
    """Return a JSON array.

    :raises MalformedValue: if the value is anything else.
    """
    if not isinstance(value, list):
        raise MalformedValue(f"{_shorten(value)} is no list")
    return value


def require_text(value: Any) -> str:
    """Return a text that is not empty.

    :raises MalformedValue: if the value is anything else.
    """
    if not isinstance(value, str) or not value:
        raise MalformedValue(f"{_shorten(value)} is no text")
    return value


def require_int(value: Any, *, low: int = 0, high: int = MAX_INT) -> int:
    """Return a whole number from ``low`` to ``high``.

    :raises MalformedValue: if the value is anything else.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise MalformedValue(f"{_shorten(value)} is no whole number")
    if not low <= value <= high:
        raise MalformedValue(f"number out of range {low} to {high}")
    return value


def require_number(value: Any, *, low: float = 0.0, high: float = MAX_INT) -> float:
    """Return a finite number from ``low`` to ``high``.

    :raises MalformedValue: if the value is anything else.
    """
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise MalformedValue(f"{_shorten(value)} is no number")
    # Comparisons with a value that is not a number are false.
    if not low <= value <= high:
        raise MalformedValue(f"number out of range {low} to {high}")
    return float(value)


def require_address(value: Any) -> str:
    """Return an address that can be connected to: an IP number and a port.

    :raises MalformedValue: if the value is anything else.
    """
    address = require_text(value)
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise MalformedValue(f"{_shorten(address)} has no IP number") from None
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        raise MalformedValue(f"{_shorten(address)} has no port from 1 to {MAX_PORT}")
    return address


def _shorten(value: object) -> str:
    if isinstance(value, int) and not isinstance(value, bool):
        # The text of a number of thousands of digits costs time.
        return f"a number of {value.bit_length()} bits"
    if isinstance(value, dict | list):
        return f"a {type(value).__name__} of {len(value)} entries"
    text = str(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."
