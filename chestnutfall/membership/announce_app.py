"""HTTP application that receives the announcements of upstreams."""

from __future__ import annotations

import hmac

from aiohttp import web
from pydantic import TypeAdapter

from ..findings.json_document import read_json_text
from ..findings.typed_document import to_typed
from ..requests import key_digest
from .announcement import Announcement
from .gateway_agent import GatewayAgent
from .upstream_registry import UpstreamRegistry

MAX_BODY_BYTES = 16 * 1024
_ANNOUNCEMENT = TypeAdapter(Announcement)


class AnnounceApp:
    """Registers announcements that carry the announce key of their service.

    The answer is 400 for a malformed announcement, 401 for a wrong key, and 409 for one that the
    registry refuses.
    """

    def __init__(self, agent: GatewayAgent, registry: UpstreamRegistry) -> None:
        self._agent = agent
        self._registry = registry

    def build(self) -> web.Application:
        """Return a new aiohttp application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v1/announcements", self._announce)
        return app

    async def _announce(self, request: web.Request) -> web.Response:
        parsed = read_json_text(await request.read(), "announcement").bind(
            lambda value: to_typed(_ANNOUNCEMENT, value, "announcement")
        )
        if parsed.is_error():
            return _refused(400, "; ".join(str(finding) for finding in parsed.error))
        announcement = parsed.ok
        if not self._has_service_key(
            announcement.service, request.headers.get("Authorization", "")
        ):
            return _refused(401, "the key is not that of the service")
        problem = self._registry.register(announcement)
        return _refused(409, problem) if problem else web.json_response({"heard": True})

    def _has_service_key(self, service: str, header: str) -> bool:
        known = self._agent.config.services.get(service)
        if known is None:
            return False
        key = header.removeprefix("Bearer ")
        return hmac.compare_digest(key_digest(key), known.announce_key_sha256)


def _refused(status: int, message: str) -> web.Response:
    return web.json_response({"heard": False, "message": message}, status=status)
