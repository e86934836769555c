"""Identity of one process of a daemon."""

import secrets

import attrs

from eelgrassweir.clock import Clock

# The name in the certificates of all daemons. Daemons are addressed by IP
# address and replaced often, so certificates carry this name instead.
FLEET_CERTIFICATE_NAME = "daemon.eelgrassweir"


@attrs.frozen(kw_only=True)
class Identity:
    """VM name and incarnation of one daemon process."""

    vm: str
    incarnation: str
    started_ms: float
    started_wall_ms: int


def make_identity(vm: str, clock: Clock) -> Identity:
    """Return the identity of a daemon that starts now.

    The incarnation is random: a VM stores nothing from which a counter could
    continue, and a ticket must never match a later process by chance.
    """
    return Identity(
        vm=vm,
        incarnation=secrets.token_hex(8),
        started_ms=clock.now_ms(),
        started_wall_ms=clock.wall_ms(),
    )
