"""Response headers of a stand-in upstream that tests script."""

from __future__ import annotations

from aiohttp import web

from ..signals.backoff_signal import BACKOFF_HEADER


class ScriptedHeaders:
    """Headers that are added to every answer.

    While they contain Retry-After, requests are to be refused.

    Attributes
    ----------
    refusals : int
        Requests that were refused.
    """

    def __init__(self) -> None:
        self.refusals = 0
        self._headers: dict[str, str] = {}

    def attach(self, app: web.Application) -> None:
        """Add to answers of `app` the headers last sent as JSON to `POST /standin/words`."""
        app.router.add_post("/standin/words", self._set)
        app.on_response_prepare.append(self._add_headers)

    async def _set(self, request: web.Request) -> web.Response:
        self._headers = dict(await request.json())
        return web.json_response(self._headers)

    async def _add_headers(self, request: web.Request, response: web.StreamResponse) -> None:
        response.headers.update(self._headers)

    def refuses_request(self) -> bool:
        """Return whether a request that has arrived is to be refused, and count it if so."""
        self.refusals += BACKOFF_HEADER in self._headers
        return BACKOFF_HEADER in self._headers
