"""Taking an address apart."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return IP and port of a checked address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
