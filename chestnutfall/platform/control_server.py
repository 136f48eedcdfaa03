"""Where operators and upstreams call a controller."""

from __future__ import annotations

import json
import logging
from typing import Any

from aiohttp import web

from ..coordination.controller_runner import CurrentRelay
from ..coordination.document_compression import compress_document, decompress_document
from ..coordination.relay_messages import (
    Accepted,
    HeldDocument,
    ReadDocument,
    Rejected,
    StoreDocument,
    StoreVersion,
    Unavailable,
)
from ..routes import DocumentCodec, UnreadableDocument, check_document
from .body import read_body
from .listening import listen
from .upstream_json import read_announcement, read_departure

log = logging.getLogger(__name__)
MAX_BODY_BYTES = 32 * 1024 * 1024
"""A hundred times a document of 1,400 routes."""
INSTANCES = "/v1/instances/"
IDLE_S = 10.0
"""Several heartbeats. Connections of upstreams that call elsewhere by now must not add up: every
one takes a descriptor, and a controller that runs out of them ends."""
MOST_REASON = 300
"""Characters of a reason or path in a log line; what others send may have any length."""


class ControlServer:
    """Translates each HTTP call to a message for the desk, and its answer back."""

    def __init__(self, desk: CurrentRelay, codec: DocumentCodec) -> None:
        self._desk = desk
        self._codec = codec
        self._runner: web.ServerRunner | None = None
        self._address = ""

    async def start(self, address: str) -> None:
        """Begin to listen."""
        self._address = address
        server = web.Server(self._on_call, access_log=None, keepalive_timeout=IDLE_S)
        self._runner = await listen(server, address)

    async def stop(self) -> None:
        """Close every connection."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _on_call(self, request: web.BaseRequest) -> web.Response:
        body = await read_body(request, MAX_BODY_BYTES)
        if body is None:
            return web.json_response({"error": f"over {MAX_BODY_BYTES} bytes"}, status=413)
        instance = request.path.removeprefix(INSTANCES)
        try:
            match request.method, request.path:
                case "GET", "/v1/config":
                    return self._document(await self._desk.ask(ReadDocument()))
                case "PUT", "/v1/config":
                    return await self._put(body)
                case "POST", "/v1/version-put":
                    return _plain(await self._desk.ask(_version(json.loads(body))))
                case "PUT", path if path.startswith(INSTANCES):
                    return self._heard(await self._desk.ask(read_announcement(instance, body)))
                case "DELETE", path if path.startswith(INSTANCES):
                    return _plain(await self._desk.ask(read_departure(instance, body)))
                case _:
                    return web.json_response({"error": "no such call"}, status=404)
        except (ValueError, KeyError, TypeError) as exc:
            reason = repr(exc)[:MOST_REASON]
            path = request.path[:MOST_REASON]
            log.warning("control: %s %s is malformed: %s", request.method, path, reason)
            return web.json_response({"error": reason}, status=400)

    async def _put(self, body: bytes) -> web.Response:
        try:
            document = self._codec.decode(body)
            findings = list(check_document(document))
        except UnreadableDocument as exc:
            findings = exc.findings
        if findings:
            log.info("document: refused %s", "; ".join(map(str, findings[:5])))
            return web.json_response({"findings": [str(one) for one in findings]}, status=400)
        return _plain(
            await self._desk.ask(StoreDocument(document.version, compress_document(body)))
        )

    def _heard(self, answer: Any) -> web.Response:
        # It stays here while it is answered here. Spread anew with each heartbeat, thousands of
        # upstreams keep a connection to every controller.
        if isinstance(answer, Accepted):
            return web.json_response({"heartbeat_url": self._address})
        return _plain(answer)

    @staticmethod
    def _document(answer: Any) -> web.Response:
        match answer:
            case HeldDocument(version, content) if version >= 0:
                return web.Response(
                    body=decompress_document(content), content_type="application/json"
                )
            case _:
                return web.json_response({"error": "not known"}, status=503)


def _plain(answer: Any) -> web.Response:
    match answer:
        case Accepted():
            return web.json_response({})
        case Rejected(reason):
            return web.json_response({"error": reason}, status=409)
        case Unavailable() | _:
            return web.json_response({"error": "no leader"}, status=503)


def _version(wire: dict[str, Any]) -> StoreVersion:
    return StoreVersion(wire["model"], wire.get("adapter", ""), int(wire["version"]))
