"""Parse network addresses."""

from eelgrassweir.decoding import MAX_PORT


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT`` or ``[IPV6]:PORT``.

    :raises ValueError: if there is no port from 0 to 65535.
    """
    host, _, port_text = address.rpartition(":")
    port = int(port_text)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f"no port from 0 to {MAX_PORT}")
    return host.strip("[]"), port
