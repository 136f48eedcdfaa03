"""Whether the process behind an address has ended."""

from __future__ import annotations

import asyncio

from ..settings.host_port import split_address

ANSWER_S = 0.15
"""Several round trips between data centres; a host that is cut off never answers."""


async def refuses_connections(address: str) -> bool:
    """Whether nobody listens at `address`; False also when the host does not answer at all."""
    host, port = split_address(address)
    try:
        _, writer = await asyncio.wait_for(asyncio.open_connection(host, port), ANSWER_S)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # A cut or a full queue of connections looks so too, and ends no process.
        return False
    writer.close()
    return False
