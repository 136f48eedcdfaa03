"""HTTP server of a controller, for operators and upstreams."""

from __future__ import annotations

import json
import logging
from typing import Any

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, json_response

from ..clock import Clock
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
from ..wire.bounded_connection import BoundedServer
from ..wire.buffer_budget import BufferBudget, BuffersFull
from .body import read_body
from .listening import Listener, listen
from .upstream_json import read_announcement, read_departure

log = logging.getLogger(__name__)
MAX_BODY_BYTES = 32 * 1024 * 1024
"""A configuration document of 1,400 routes takes a hundredth of it."""
MAX_ANNOUNCEMENT_BYTES = 256 * 1024
"""Announcements name what an upstream holds, a few KB."""
MAX_BODIES_BYTES = 40 * 1024 * 1024
"""What is read at a time: the longest document, and announcements beside it."""
BODY_WITHIN_MS = 10_000
"""Time for a body to come; senders turn to another controller long before."""
INSTANCES_PATH = "/v1/instances/"
IDLE_TIMEOUT_S = 10.0
"""Several heartbeat intervals. Upstreams may move on to another controller; their idle connections
must be closed, since each takes a file descriptor and a controller without descriptors exits."""
MAX_REASON_CHARACTERS = 300
"""Characters of a reason or path in log lines and answers; senders may make them any length."""


class ControlServer:
    """Decodes each HTTP request to a message for the relay, and encodes the relay's answer.

    The relay forwards messages to the leader, so that any controller can be called.
    """

    def __init__(self, relay: CurrentRelay, codec: DocumentCodec, clock: Clock) -> None:
        self._relay = relay
        self._codec = codec
        self._clock = clock
        self._bodies = BufferBudget(MAX_BODIES_BYTES)
        self._runner: Listener | None = None
        self._address = ""

    async def start(self, address: str) -> None:
        """Listen on `address`, which answers to heartbeats name as well."""
        self._address = address
        server = BoundedServer(self._on_request, access_log=None, keepalive_timeout=IDLE_TIMEOUT_S)
        self._runner = await listen(server, address)

    async def stop(self) -> None:
        """Close every connection."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _on_request(self, request: BaseRequest) -> Response:
        of_upstream = request.path.startswith(INSTANCES_PATH)
        max_bytes = MAX_ANNOUNCEMENT_BYTES if of_upstream else MAX_BODY_BYTES
        try:
            reading = read_body(request, max_bytes, self._bodies)
            body = await self._clock.within_ms(BODY_WITHIN_MS, reading)
        except TimeoutError:
            return json_response({"error": f"no body in {BODY_WITHIN_MS} ms"}, status=408)
        except BuffersFull as exc:
            log.warning("control: %s not read: %s", request.method, exc)
            return json_response({"error": "too much is being read"}, status=503)
        if body is None:
            return json_response({"error": f"over {max_bytes} bytes"}, status=413)
        instance = request.path.removeprefix(INSTANCES_PATH)
        try:
            match request.method, request.path:
                case "GET", "/v1/config":
                    return self._document_answer(await self._relay.ask(ReadDocument()))
                case "PUT", "/v1/config":
                    return await self._put(body)
                case "POST", "/v1/version-put":
                    return _empty_answer(await self._relay.ask(_read_version(json.loads(body))))
                case "PUT", path if path.startswith(INSTANCES_PATH):
                    return self._heartbeat_answer(
                        await self._relay.ask(read_announcement(instance, body))
                    )
                case "DELETE", path if path.startswith(INSTANCES_PATH):
                    return _empty_answer(await self._relay.ask(read_departure(instance, body)))
                case _:
                    return json_response({"error": "no such call"}, status=404)
        except (ValueError, KeyError, TypeError) as exc:
            reason = repr(exc)[:MAX_REASON_CHARACTERS]
            path = request.path[:MAX_REASON_CHARACTERS]
            log.warning(
                "control: %s %s is malformed, answered 400: %s", request.method, path, reason
            )
            return json_response({"error": reason}, status=400)

    async def _put(self, body: bytes) -> Response:
        try:
            document = self._codec.decode(body)
            findings = list(check_document(document))
        except UnreadableDocument as exc:
            findings = exc.findings
        if findings:
            log.info("document: rejected, findings: %s", "; ".join(map(str, findings[:5])))
            return json_response({"findings": [str(one) for one in findings]}, status=400)
        return _empty_answer(
            await self._relay.ask(StoreDocument(document.version, compress_document(body)))
        )

    def _heartbeat_answer(self, answer: Any) -> Response:
        # Naming this controller keeps an upstream on it while it answers. If each heartbeat went to
        # a random controller, thousands of upstreams would hold a connection to every one of them.
        if isinstance(answer, Accepted):
            return json_response({"heartbeat_url": self._address})
        return _empty_answer(answer)

    @staticmethod
    def _document_answer(answer: Any) -> Response:
        match answer:
            case HeldDocument(version, content) if version >= 0:
                return Response(body=decompress_document(content), content_type="application/json")
            case _:
                return json_response({"error": "not known"}, status=503)


def _empty_answer(answer: Any) -> Response:
    match answer:
        case Accepted():
            return json_response({})
        case Rejected(reason):
            return json_response({"error": reason}, status=409)
        case Unavailable() | _:
            return json_response({"error": "no leader"}, status=503)


def _read_version(wire: dict[str, Any]) -> StoreVersion:
    return StoreVersion(wire["model"], wire.get("adapter", ""), int(wire["version"]))
