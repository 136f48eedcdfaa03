"""aiohttp's request to an upstream, for exactly the target that the client named."""

from __future__ import annotations

from typing import Any

import aiohttp
from yarl import URL

from .upstream_send import CURRENT_SEND


class _NamedTarget:
    """A URL whose path and query are written as they were named.

    A URL knows no difference between an empty query and none, and takes a fragment off. Another
    path is another request for an upstream.
    """

    def __init__(self, url: URL, target: str) -> None:
        self._url = url
        self.raw_path_qs = target

    def __getattr__(self, name: str) -> Any:
        return getattr(self._url, name)


class UpstreamRequest(aiohttp.ClientRequest):
    """Writes the target of the running send into its first line."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        self.url = _NamedTarget(self.url, CURRENT_SEND.get().target)  # type: ignore[assignment]
        return await super().send(conn)
