"""Guard against a daemon that starts with invalid settings."""

import json
import pathlib
from typing import Any

import pytest
from returns.result import Failure, Success

from eelgrassweir.settings.field import Field
from eelgrassweir.settings.loader import (
    check_settings,
    check_settings_as,
    load_settings,
)

VALID: dict[str, Any] = {
    "vm": "oviedo-fichero-1",
    "failure_domain": "oviedo",
    "store_urls": ["http://127.0.0.1:9000"],
    "ingress_address": "127.0.0.1:9001",
    "egress_address": "127.0.0.1:9002",
    "link_address": "127.0.0.1:9003",
    "control_address": "127.0.0.1:9004",
    "admin_address": "127.0.0.1:9005",
}


def test_valid_settings_get_their_defaults() -> None:
    """Guard against optional fields without their default."""
    result = check_settings(VALID)
    assert isinstance(result, Success)
    assert result.unwrap().lease_ms == 5000


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("vm", "two words"),
        ("lease_ms", 10),
        ("lease_ms", "5000"),
        ("lease_ms", True),
        ("store_urls", "http://127.0.0.1:9000"),
        ("link_address", "localhost:9003"),
        ("lease_seconds", 5),
    ],
)
def test_invalid_value_is_reported_with_field_and_range(name: str, value: Any) -> None:
    """Guard against an error that does not say which field to correct."""
    result = check_settings({**VALID, name: value})
    assert isinstance(result, Failure)
    error = result.failure()
    assert error.field == name
    assert error.value
    assert error.allowed


def test_missing_required_field_is_reported() -> None:
    """Guard against a start without a required field."""
    document = {key: value for key, value in VALID.items() if key != "vm"}
    result = check_settings(document)
    assert isinstance(result, Failure)
    assert result.failure().field == "vm"


def test_file_that_is_not_json_is_an_error(tmp_path: pathlib.Path) -> None:
    """Guard against a traceback instead of an error for a broken file."""
    path = tmp_path / "settings.json"
    path.write_text("{")
    assert isinstance(load_settings(path), Failure)
    path.write_text(json.dumps(VALID))
    assert isinstance(load_settings(path), Success)


@pytest.mark.parametrize("value", ["true", 1, None])
def test_switch_is_true_or_false(value: object) -> None:
    """Guard against a text that counts as a switch that is on."""
    fields = (Field(name="is_on", kind="boolean", required=True),)
    assert isinstance(check_settings_as(dict, fields, {"is_on": True}), Success)
    result = check_settings_as(dict, fields, {"is_on": value})
    assert result.failure().allowed == "true or false"
