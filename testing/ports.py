"""Reserve free ports for the listeners that tests start."""

import contextlib
import random
import socket

# Below the ephemeral range: an outgoing connection could otherwise take a port
# while the process that is to listen on it starts.
FIRST_PORT = 12_000
END_PORT = 32_000
# Ports returned by this process, whose listeners may not have started yet.
_returned_ports: set[int] = set()


def reserve_port() -> tuple[int, socket.socket]:
    """Return a free TCP port and the bound UDP socket that reserves it.

    Test runs on the same machine skip a TCP port whose UDP port is bound. The
    reservation ends when the socket is closed. No port is returned twice.
    """
    random_source = random.SystemRandom()
    while True:
        port = random_source.randrange(FIRST_PORT, END_PORT)
        if port in _returned_ports:
            continue
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        with socket.socket() as probe, contextlib.suppress(OSError):
            reservation.bind(("127.0.0.1", port))
            probe.bind(("127.0.0.1", port))
            _returned_ports.add(port)
            return port, reservation
        reservation.close()
