"""Check whether the process behind an address has ended."""

from __future__ import annotations

import asyncio

from ..settings.host_port import split_address

ANSWER_S = 0.15
"""Several round trips between data centres; a host that is down or cut off never answers."""
WAITS = 10
"""Parts of that time, each of which the process sees end. Where it is kept from running, the answer
may be there as a timer for the whole time falls due, and be read only after it."""


async def opens_connection(address: str) -> bool:
    """Whether a connection to `address` opens in time; it is closed at once."""
    try:
        writer = await _connected(address)
    except (OSError, TimeoutError):
        # The caller asks only whether it opens; the reason makes no difference.
        return False
    writer.close()
    return True


async def refuses_connections(address: str) -> bool:
    """Whether connections to `address` are refused, which shows that its process has ended.

    False if a connection opens, fails in another way, or gets no answer in time.
    """
    try:
        writer = await _connected(address)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # A broken network or a full accept queue has the same effect, and neither ends a process.
        return False
    writer.close()
    return False


async def _connected(address: str) -> asyncio.StreamWriter:
    """Open a connection, within `ANSWER_S` of the time in which this process runs."""
    host, port = split_address(address)
    opening = asyncio.ensure_future(asyncio.open_connection(host, port))
    try:
        for _ in range(WAITS):
            done, _ = await asyncio.wait({opening}, timeout=ANSWER_S / WAITS)
            if done:
                _, writer = opening.result()
                return writer
    finally:
        opening.cancel()
    raise TimeoutError(f"no answer from {address}")
