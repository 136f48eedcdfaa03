"""Check whether the process behind an address has ended."""

from __future__ import annotations

import asyncio

from ..settings.host_port import split_address

ANSWER_S = 0.15
"""Several round trips between data centres; a host that is down or cut off never answers."""


async def opens_connection(address: str) -> bool:
    """Whether a connection to `address` opens in time; it is closed at once."""
    host, port = split_address(address)
    try:
        _, writer = await asyncio.wait_for(asyncio.open_connection(host, port), ANSWER_S)
    except (OSError, TimeoutError):
        # The caller asks only whether it opens; the reason makes no difference.
        return False
    writer.close()
    return True


async def refuses_connections(address: str) -> bool:
    """Whether connections to `address` are refused, which shows that its process has ended.

    False if a connection opens, fails in another way, or gets no answer in time.
    """
    host, port = split_address(address)
    try:
        _, writer = await asyncio.wait_for(asyncio.open_connection(host, port), ANSWER_S)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # A broken network or a full accept queue has the same effect, and neither ends a process.
        return False
    writer.close()
    return False
