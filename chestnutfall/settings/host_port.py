"""Splitting of an address into its parts."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Return IP and port of a valid `Address`."""
    host, _, port = address.rpartition(":")
    return host, int(port)
