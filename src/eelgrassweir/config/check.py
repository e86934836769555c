"""Checks of decoded JSON values.

Each check returns the value or raises a ``CheckError``.
"""

import json
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

import attrs

T = TypeVar("T")

NAME_FORM = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
_SHOWN_CHARACTERS = 120
_SHOWN_NAME_CHARACTERS = 24


@attrs.frozen
class CheckError(Exception):
    """Error with the invalid field, its value and what is allowed."""

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.field} is {self.value}; allowed: {self.allowed}"


def format_value(value: Any) -> str:
    """Return ``value`` as JSON, truncated for an error message."""
    return json.dumps(value)[:_SHOWN_CHARACTERS]


def load_json(payload: bytes | str) -> Any:
    """Decode JSON; raise CheckError if it is invalid or repeats a name."""
    try:
        return json.loads(payload, object_pairs_hook=_reject_duplicates)
    except (ValueError, RecursionError) as error:
        raise CheckError("document", "not valid JSON", f"JSON ({error})") from None


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("an object contains the same name twice")
    return found


def check_whole(value: Any, field: str, low: int, high: int) -> int:
    """Return ``value`` if it is an integer from ``low`` to ``high``."""
    if isinstance(value, int) and not isinstance(value, bool) and low <= value <= high:
        return value
    raise CheckError(field, format_value(value), f"a whole number from {low} to {high}")


def check_number(value: Any, field: str, low: float, high: float) -> float:
    """Return ``value`` as a float if it is from ``low`` to ``high``."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and low <= value <= high:
        return float(value)
    raise CheckError(field, format_value(value), f"a number from {low:g} to {high:g}")


def check_text(value: Any, field: str, form: str, meaning: str) -> str:
    """Return ``value`` if all of it matches the regular expression ``form``.

    ``meaning`` describes the form in the error.
    """
    if isinstance(value, str) and re.fullmatch(form, value):
        return value
    raise CheckError(field, format_value(value), meaning)


def check_name(value: Any, field: str) -> str:
    """Return ``value`` if it may name a team, VM, route or domain."""
    meaning = "a name of 1 to 63 letters, digits, '.', '_' or '-'"
    return check_text(value, field, NAME_FORM, meaning)


def check_flag(value: Any, field: str) -> bool:
    """Return ``value`` if it is true or false."""
    if isinstance(value, bool):
        return value
    raise CheckError(field, format_value(value), "true or false")


def check_choice(value: Any, field: str, choices: Mapping[str, T]) -> T:
    """Return the entry of ``choices`` that ``value`` names."""
    if isinstance(value, str) and value in choices:
        return choices[value]
    raise CheckError(field, format_value(value), ", ".join(choices))


def check_list(value: Any, field: str) -> list[Any]:
    """Return ``value`` if it is a list."""
    if isinstance(value, list):
        return value
    raise CheckError(field, format_value(value), "a list")


def check_object(value: Any, field: str) -> dict[str, Any]:
    """Return ``value`` if it is a JSON object."""
    if isinstance(value, dict):
        return value
    raise CheckError(field, format_value(value), "a JSON object")


def check_fields(
    value: Any, field: str, required: Iterable[str], optional: Iterable[str] = ()
) -> dict[str, Any]:
    """Return the object ``value`` if its fields are the expected ones.

    All ``required`` fields must be present and ``optional`` ones may be.
    """
    found = check_object(value, field)
    required = tuple(required)
    known = {*required, *optional}
    for name in found:
        if name not in known:
            allowed = "a known field: " + ", ".join(sorted(known))
            # The error omits the value and any name as long as a key, because
            # either may be a key in the wrong place.
            shown = name if len(name) <= _SHOWN_NAME_CHARACTERS else "(long name)"
            raise CheckError(f"{field}.{shown}", "unknown", allowed)
    for name in required:
        if name not in found:
            raise CheckError(f"{field}.{name}", "missing", "required")
    return found


def check_entries(
    value: Any, field: str, check: Callable[[str, Any, str], T]
) -> dict[str, T]:
    """Return the entries of the object ``value``, each passed to ``check``.

    ``check`` gets the entry's name, value and field.
    """
    entries = check_object(value, field)
    return {
        name: check(name, entry, f"{field}.{name}") for name, entry in entries.items()
    }
