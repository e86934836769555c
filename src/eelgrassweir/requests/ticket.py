"""Tickets: identifiers that let a non-idempotent request run at most once."""

import random
import re

import attrs

TICKET_PATTERN = re.compile(
    r"^([A-Za-z0-9_-]{1,63})\.([A-Za-z0-9]{1,32})\.([0-9]{1,15})\.([0-9a-f]{16})$"
)


@attrs.frozen
class Ticket:
    """Ticket bound to one incarnation of its home daemon, with an expiry."""

    vm: str
    incarnation: str
    expiry_wall_ms: int
    nonce: str

    def __str__(self) -> str:
        return f"{self.vm}.{self.incarnation}.{self.expiry_wall_ms}.{self.nonce}"


def mint_ticket(
    vm: str, incarnation: str, expiry_wall_ms: int, rng: random.Random
) -> Ticket:
    """Return a new ticket with a random nonce."""
    return Ticket(vm, incarnation, expiry_wall_ms, f"{rng.getrandbits(64):016x}")


def parse_ticket(text: str) -> Ticket | None:
    """Return the ticket with the text form ``text``, or None if invalid."""
    match = TICKET_PATTERN.match(text)
    if match is None:
        return None
    vm, incarnation, expiry, nonce = match.groups()
    return Ticket(vm, incarnation, int(expiry), nonce)
