"""Addresses in the settings."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT`` or ``[IPV6]:PORT``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
