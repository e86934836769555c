"""HTTP header fields: keys of callers and what may be forwarded."""

import re
from collections.abc import Callable, Iterable
from urllib.parse import unquote

Headers = tuple[tuple[str, str], ...]

# Fields that carry a caller's key or session, normalized by `normalize_name`.
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
RESERVED_PREFIX = "eelgrassweir-"
# Matches every key: keys are longer and have no other characters.
_KEY_CANDIDATE = re.compile(r"[A-Za-z0-9_-]{16,}")
# Form of the keys that the command line grants.
_GRANTED_KEY = re.compile(rb"ew_[A-Za-z0-9_-]{43}")


def normalize_name(name: str) -> str:
    """Return a field name in the form used for comparison.

    Underscores become hyphens, since some servers treat them alike.
    """
    return name.strip().lower().replace("_", "-")


def presented_key(headers: Headers) -> str | None:
    """Return the key that a caller sent, or None."""
    for name, value in headers:
        field = normalize_name(name)
        if field == "authorization":
            scheme, _, credentials = value.strip().partition(" ")
            if scheme.lower() == "bearer" and credentials.strip():
                return credentials.strip()
        if field == "x-api-key" and value.strip():
            return value.strip()
    return None


def all_presented_keys(headers: Headers) -> set[str]:
    """Return the keys in all credential fields."""
    keys = set()
    for name, value in headers:
        if normalize_name(name) in CREDENTIAL_FIELDS:
            keys.add(value.strip())
            keys.add(value.strip().partition(" ")[2].strip())
    keys.discard("")
    return keys


def misplaced_keys(
    path: str,
    headers: Headers,
    body: bytes | bytearray,
    is_key: Callable[[str], bool],
) -> set[str]:
    """Return the valid keys outside the credential fields.

    In a body only keys of the granted form are searched for, since a body may
    contain many candidates.
    """
    candidates = set(_KEY_CANDIDATE.findall(unquote(path)))
    for name, value in headers:
        if normalize_name(name) not in CREDENTIAL_FIELDS:
            candidates.update(_KEY_CANDIDATE.findall(unquote(value)))
    candidates.update(candidate.decode() for candidate in _GRANTED_KEY.findall(body))
    return {candidate for candidate in candidates if is_key(candidate)}


def forwarded_headers(headers: Headers, keys: Iterable[str]) -> Headers:
    """Return the fields that may be forwarded to a backend server.

    Fields that contain any of ``keys`` are dropped.
    """
    secrets = tuple(keys)
    return tuple(
        (name, value)
        for name, value in headers
        if is_forwarded(normalize_name(name))
        and not any(
            secret in value or secret in unquote(value) or secret in name
            for secret in secrets
        )
    )


def is_forwarded(field: str) -> bool:
    """Tell whether a field with this normalized name is forwarded."""
    if field in CREDENTIAL_FIELDS or field in ("idempotency-key", "host"):
        return False
    return not field.startswith(RESERVED_PREFIX)
