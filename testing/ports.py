"""Free ports for the listeners of tests."""

import contextlib
import random
import socket

# Below the range of outgoing connections, one of which could take a port
# while the process that is to listen on it starts.
FIRST_PORT = 12_000
END_PORT = 32_000


def reserve_port() -> tuple[int, socket.socket]:
    """Return a free TCP port and the UDP socket that reserves it.

    Holding the UDP port of the same number tells other test runs that this
    one will listen on the TCP port.
    """
    choice = random.SystemRandom()
    while True:
        port = choice.randrange(FIRST_PORT, END_PORT)
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        with socket.socket() as probe, contextlib.suppress(OSError):
            reservation.bind(("127.0.0.1", port))
            probe.bind(("127.0.0.1", port))
            return port, reservation
        reservation.close()
