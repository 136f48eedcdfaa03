"""aiohttp's answer of an upstream on a connection that may have served other requests."""

from __future__ import annotations

import aiohttp
from aiohttp.connector import Connection

from .upstream_connection import UpstreamConnection


class UpstreamResponse(aiohttp.ClientResponse):
    """An answer that begins behind extra answers to former requests of its connection."""

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        if isinstance(connection.protocol, UpstreamConnection):
            await connection.protocol.skip_extra_answers()
        return await super().start(connection)
