"""Parse network addresses."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT`` or ``[IPV6]:PORT``.

    :raises ValueError: if the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
