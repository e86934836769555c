"""Identity of one run of a daemon."""

import secrets

import attrs

from eelgrassweir.clock import Clock

# The name in the certificates of all daemons.
FLEET_CERTIFICATE_NAME = "daemon.eelgrassweir"


@attrs.frozen(kw_only=True)
class Identity:
    """Name a VM and one incarnation of its daemon."""

    vm: str
    incarnation: str
    started_ms: float
    started_wall_ms: int


def make_identity(vm: str, clock: Clock) -> Identity:
    """Return the identity of a daemon that starts now.

    The incarnation is random: nothing is kept on a VM from which a counter
    could go on, and tickets must never match a later process by chance.
    """
    return Identity(
        vm=vm,
        incarnation=secrets.token_hex(8),
        started_ms=clock.now_ms(),
        started_wall_ms=clock.wall_ms(),
    )
