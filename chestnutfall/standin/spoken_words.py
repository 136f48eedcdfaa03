"""What a stand-in upstream says of itself, as tests tell it to."""

from __future__ import annotations

from aiohttp import web

from ..signals.backoff_signal import BACKOFF_HEADER


class SpokenWords:
    """Headers of every answer; with a time in them, requests are turned away.

    Attributes
    ----------
    turned_away : int
        Requests that were turned away.
    """

    def __init__(self) -> None:
        self.turned_away = 0
        self._headers: dict[str, str] = {}

    def attach(self, app: web.Application) -> None:
        """Have the answers of `app` say what `POST /standin/words` names."""
        app.router.add_post("/standin/words", self._set)
        app.on_response_prepare.append(self._speak)

    async def _set(self, request: web.Request) -> web.Response:
        self._headers = dict(await request.json())
        return web.json_response(self._headers)

    async def _speak(self, request: web.Request, response: web.StreamResponse) -> None:
        response.headers.update(self._headers)

    def turns_away(self) -> bool:
        """Whether a request that has come is turned away; counts it if so."""
        self.turned_away += BACKOFF_HEADER in self._headers
        return BACKOFF_HEADER in self._headers
