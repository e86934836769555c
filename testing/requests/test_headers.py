"""Guard against callers' keys that reach a backend server."""

import pytest

from eelgrassweir.requests.headers import (
    all_presented_keys,
    forwarded_headers,
    presented_key,
)

KEY = "k-3f9a0c5e"


@pytest.mark.parametrize(
    "name",
    [
        "Authorization",
        "AUTHORIZATION",
        "authorization",
        "X-Api-Key",
        "x_api_key",
        "X_API_KEY",
        "Proxy-Authorization",
        "Cookie",
        "X-Auth-Token",
    ],
)
@pytest.mark.parametrize("value", [KEY, f"Bearer {KEY}"])
def test_credential_field_is_dropped_in_any_spelling(name: str, value: str) -> None:
    """Guard against a credential field missed for its case or underscores."""
    headers = ((name, value), ("Accept", "*/*"))
    forwarded = forwarded_headers(headers, all_presented_keys(headers))
    assert forwarded == (("Accept", "*/*"),)


def test_field_that_contains_the_key_is_dropped() -> None:
    """Guard against a key copied into another field."""
    headers = (("X-Api-Key", KEY), ("X-Debug", f"sent {KEY}"), (f"x-{KEY}", "1"))
    assert forwarded_headers(headers, all_presented_keys(headers)) == ()


def test_reserved_fields_of_callers_are_dropped() -> None:
    """Guard against callers that set their own team or class."""
    headers = (("Eelgrassweir-Team", "other"), ("eelgrassweir_class", "critical"))
    assert forwarded_headers(headers, ()) == ()


@pytest.mark.parametrize(
    ("headers", "key"),
    [
        ((("Authorization", f"Bearer {KEY}"),), KEY),
        ((("authorization", f"bearer  {KEY} "),), KEY),
        ((("X-Api-Key", KEY),), KEY),
        ((("Authorization", f"Basic {KEY}"),), None),
        ((), None),
    ],
)
def test_presented_key(headers: tuple[tuple[str, str], ...], key: str | None) -> None:
    """Guard against a valid key that is not found."""
    assert presented_key(headers) == key
