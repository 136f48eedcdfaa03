"""This gateway's share of the connections that an upstream accepts."""

from __future__ import annotations

import zlib

KEPT_FRACTION = 0.5
"""Part of an upstream's limit that all gateways together keep idle. The rest is for requests that
find no idle connection, and for an upstream that accepts fewer while its queue is long."""
MAX_KEPT = 16
"""Idle connections to one upstream at most; also where no limit is known."""


def kept_connections(max_connections: int, gateways: int, gateway: str, instance: str) -> int:
    """Return how many idle connections a gateway keeps to an upstream.

    The sum over all gateways stays below the upstream's limit although they don't talk to each
    other. Where a share is not a whole number, a hash of gateway and upstream decides which
    gateways keep one more, so that other ones do so at other upstreams.

    Parameters
    ----------
    max_connections : int
        Connections that the upstream accepts from all gateways; 0 if no limit is known.
    gateways : int
        Number of gateways.
    gateway, instance : str
        Names of this gateway and of the upstream.
    """
    if max_connections <= 0:
        return MAX_KEPT
    share = max_connections * KEPT_FRACTION / max(gateways, 1)
    whole = int(share)
    has_one_more = zlib.crc32(f"{gateway}|{instance}".encode()) / 2**32 < share - whole
    return min(whole + has_one_more, MAX_KEPT)
