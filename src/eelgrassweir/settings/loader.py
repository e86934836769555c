"""Read and check a daemon's settings file, for the daemons' entry points."""

import contextlib
import json
import pathlib
import re
from collections.abc import Sequence
from typing import Any, TypeVar

import attrs
from returns.result import Failure, Result, Success

from eelgrassweir.settings.field import Field
from eelgrassweir.settings.generated import FIELDS, Settings

AnySettings = TypeVar("AnySettings")


@attrs.frozen
class SettingsError:
    """Hold an invalid field, its value and the allowed values."""

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"settings: {self.field} is {self.value}; allowed: {self.allowed}"


def load_settings(path: pathlib.Path) -> Result[Settings, SettingsError]:
    """Read and check the settings file at ``path``."""
    return load_settings_as(Settings, FIELDS, path)


def check_settings(document: Any) -> Result[Settings, SettingsError]:
    """Check a decoded settings document and convert it to ``Settings``."""
    return check_settings_as(Settings, FIELDS, document)


def load_settings_as(
    settings_class: type[AnySettings], fields: Sequence[Field], path: pathlib.Path
) -> Result[AnySettings, SettingsError]:
    """Read the file at ``path`` and convert it to ``settings_class``."""
    try:
        document = json.loads(path.read_text())
    except OSError as error:
        return Failure(SettingsError("file", str(path), f"readable ({error.strerror})"))
    except ValueError as error:
        return Failure(SettingsError("file", str(path), f"JSON ({error})"))
    return check_settings_as(settings_class, fields, document)


def check_settings_as(
    settings_class: type[AnySettings], fields: Sequence[Field], document: Any
) -> Result[AnySettings, SettingsError]:
    """Check a decoded document and convert it to ``settings_class``.

    The document must hold every required one of ``fields`` and no others.
    """
    if not isinstance(document, dict):
        return Failure(SettingsError("file", _show(document), "one JSON object"))
    document = read_text_numbers(fields, document)
    known = {field.name: field for field in fields}
    for name, value in document.items():
        if name not in known:
            allowed = "a known field: " + ", ".join(sorted(known))
            return Failure(SettingsError(name, "unknown", allowed))
        problem = _check_value(known[name], value)
        if problem is not None:
            return Failure(SettingsError(name, _show(value), problem))
    for field in fields:
        if field.required and field.name not in document:
            return Failure(SettingsError(field.name, "missing", "required"))
    values: dict[str, Any] = {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in document.items()
    }
    return Success(settings_class(**values))


def read_text_numbers(
    fields: Sequence[Field], document: dict[str, Any]
) -> dict[str, Any]:
    """Return a document whose numbers are no texts.

    A template gives a number as a text, which is empty if there is none. Other
    texts are left as they are.
    """
    names = {field.name for field in fields if field.kind == "number"}
    read = {}
    for name, value in document.items():
        if name in names and isinstance(value, str):
            if not value.strip():
                continue
            with contextlib.suppress(ValueError):
                value = json.loads(value)
        read[name] = value
    return read


def _show(value: Any) -> str:
    return json.dumps(value)[:200]


def _check_value(field: Field, value: Any) -> str | None:
    """Return the allowed values as text, or None if ``value`` is valid."""
    if field.kind == "integer":
        return _check_integer(field, value)
    if field.kind == "number":
        return _check_number(field, value)
    if field.kind == "string":
        return _check_string(field, value)
    if field.kind == "boolean":
        return None if isinstance(value, bool) else "true or false"
    if not isinstance(value, list):
        return "a list of strings"
    for item in value:
        problem = _check_string(field, item)
        if problem is not None:
            return f"a list; each item {problem}"
    return None


def _check_integer(field: Field, value: Any) -> str | None:
    allowed = f"a whole number from {field.minimum} to {field.maximum}"
    if not isinstance(value, int) or isinstance(value, bool):
        return allowed
    assert field.minimum is not None
    assert field.maximum is not None
    return None if field.minimum <= value <= field.maximum else allowed


def _check_number(field: Field, value: Any) -> str | None:
    allowed = f"a number from {field.minimum} to {field.maximum}"
    if not isinstance(value, int | float) or isinstance(value, bool):
        return allowed
    assert field.minimum is not None
    assert field.maximum is not None
    return None if field.minimum <= value <= field.maximum else allowed


def _check_string(field: Field, value: Any) -> str | None:
    assert field.pattern is not None
    if isinstance(value, str) and re.match(field.pattern, value):
        return None
    return f"a string of the form {field.pattern}"
