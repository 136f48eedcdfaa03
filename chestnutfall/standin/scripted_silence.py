"""Silence of a stand-in upstream that tests script."""

from __future__ import annotations

from aiohttp import web
from aiohttp.typedefs import Handler

from .silence import Silence, SilentMoment

SCRIPTS = "/standin/"
"""Paths that tests call; they are answered at any time."""


class ScriptedSilence:
    """Lets an application fall silent after a `POST /standin/silence`.

    Its body is a JSON object with the arguments of `Silence.begin`.
    """

    def __init__(self, silence: Silence) -> None:
        self._silence = silence

    def attach(self, app: web.Application) -> None:
        """Serve the path, and hold back what `app` writes."""
        app.router.add_post(f"{SCRIPTS}silence", self._begin)
        app.middlewares.append(self._hold_back)

    async def _begin(self, request: web.Request) -> web.Response:
        self._silence.begin(**await request.json())
        return web.json_response({})

    @web.middleware
    async def _hold_back(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path.startswith(SCRIPTS):
            return await handler(request)
        await self._silence.before_running()
        response = await handler(request)
        if not response.prepared:
            await self._silence.before_writing(SilentMoment.WHOLE)
        return response
