"""Header fields that callers send and that backend servers may see."""

import re
from collections.abc import Callable, Iterable
from urllib.parse import unquote

Headers = tuple[tuple[str, str], ...]

# Fields that carry a caller's key or session, in the spelling of `normalize`.
CREDENTIAL_FIELDS = frozenset(
    (
        "api-key",
        "authorization",
        "cookie",
        "proxy-authorization",
        "x-access-token",
        "x-api-key",
        "x-auth-key",
        "x-auth-token",
    )
)
OWN_PREFIX = "eelgrassweir-"
# Keys have more characters than this form asks for, and no others.
_WORD = re.compile(r"[A-Za-z0-9_-]{16,}")
# As the command line grants them.
_GRANTED_KEY = re.compile(rb"ew_[A-Za-z0-9_-]{43}")


def normalize(name: str) -> str:
    """Return a field name in the form in which names are compared.

    Some servers treat an underscore as a hyphen.
    """
    return name.strip().lower().replace("_", "-")


def presented_key(headers: Headers) -> str | None:
    """Return the key that a caller sent, or None."""
    for name, value in headers:
        field = normalize(name)
        if field == "authorization":
            scheme, _, credentials = value.strip().partition(" ")
            if scheme.lower() == "bearer" and credentials.strip():
                return credentials.strip()
        if field == "x-api-key" and value.strip():
            return value.strip()
    return None


def all_presented_keys(headers: Headers) -> set[str]:
    """Return every key that stands in a credential field."""
    keys = set()
    for name, value in headers:
        if normalize(name) in CREDENTIAL_FIELDS:
            keys.add(value.strip())
            keys.add(value.strip().partition(" ")[2].strip())
    keys.discard("")
    return keys


def misplaced_keys(
    path: str, headers: Headers, body: bytes, is_key: Callable[[str], bool]
) -> set[str]:
    """Return the valid keys that stand outside of the credential fields.

    In a body only keys of the granted form are looked for, since a body may
    hold many words.
    """
    words = set(_WORD.findall(unquote(path)))
    for name, value in headers:
        if normalize(name) not in CREDENTIAL_FIELDS:
            words.update(_WORD.findall(unquote(value)))
    words.update(word.decode() for word in _GRANTED_KEY.findall(body))
    return {word for word in words if is_key(word)}


def forwarded_headers(headers: Headers, keys: Iterable[str]) -> Headers:
    """Return the fields that a backend server may see."""
    secrets = tuple(keys)
    return tuple(
        (name, value)
        for name, value in headers
        if is_forwarded(normalize(name))
        and not any(
            secret in value or secret in unquote(value) or secret in name
            for secret in secrets
        )
    )


def is_forwarded(field: str) -> bool:
    """Return whether a field of this normalized name is passed on."""
    if field in CREDENTIAL_FIELDS or field in ("idempotency-key", "host"):
        return False
    return not field.startswith(OWN_PREFIX)
