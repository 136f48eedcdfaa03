"""HTTP server of a controller, for operators and upstreams."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import Any

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, json_response

from ..accounts import AccountFull, ProcessAccount
from ..clock import Clock
from ..coordination.controller_runner import CurrentRelay
from ..coordination.document_compression import compress_document, decompress_document
from ..coordination.relay_messages import (
    Accepted,
    HeldDocument,
    ReadDocument,
    Rejected,
    StoreDocument,
    Unavailable,
)
from ..findings.finding import Finding
from ..routes import DocumentCodec, UnreadableDocument, check_document
from ..wire.bounded_connection import FULL, BoundedConnection, BoundedServer
from ..wire.request_body import read_body
from .accepted_listening import AcceptedListener, listen_accepted
from .upstream_json import read_announcement, read_departure
from .version_json import read_version

log = logging.getLogger(__name__)
MAX_BODY_BYTES = 32 * 1024 * 1024
"""A configuration document of 1,400 routes takes a hundredth of it."""
MAX_ANNOUNCEMENT_BYTES = 256 * 1024
"""Announcements name what an upstream holds, a few KB."""
DECODED_FACTOR = 8
"""Memory of a decoded document, for each of its bytes; one is decoded at a time."""
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

    def __init__(
        self, relay: CurrentRelay, codec: DocumentCodec, clock: Clock, account: ProcessAccount
    ) -> None:
        self._relay = relay
        self._codec = codec
        self._clock = clock
        self._account = account
        self._max_document_bytes = min(
            MAX_BODY_BYTES, account.memory.capacity_bytes // (2 * DECODED_FACTOR)
        )
        self._runner: AcceptedListener | None = None
        self._address = ""

    async def start(self, address: str) -> None:
        """Listen on `address`, which answers to heartbeats name as well."""
        self._address = address
        server = BoundedServer(
            self._on_request, self._account, access_log=None, keepalive_timeout=IDLE_TIMEOUT_S
        )
        self._runner = listen_accepted(server, address)

    async def stop(self) -> None:
        """Close every connection."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _on_request(self, request: BaseRequest) -> Response:
        of_upstream = request.path.startswith(INSTANCES_PATH)
        max_bytes = MAX_ANNOUNCEMENT_BYTES if of_upstream else self._max_document_bytes
        try:
            reading = read_body(request, max_bytes)
            body = await self._clock.within_ms(BODY_WITHIN_MS, reading)
        except TimeoutError:
            return json_response({"error": f"no body in {BODY_WITHIN_MS} ms"}, status=408)
        except AccountFull:
            # The account counts and logs who gave way.
            return json_response({"error": FULL}, status=503)
        if body is None:
            return json_response({"error": f"over {max_bytes} bytes"}, status=413)
        instance = request.path.removeprefix(INSTANCES_PATH)
        try:
            match request.method, request.path:
                case "GET", "/v1/config":
                    answer = self._document_answer(await self._relay.ask(ReadDocument()))
                    return _held(request, answer)
                case "PUT", "/v1/config":
                    return await self._put(body)
                case "POST", "/v1/version-put":
                    return _empty_answer(await self._relay.ask(read_version(body)))
                case "PUT", path if path.startswith(INSTANCES_PATH):
                    return self._heartbeat_answer(
                        await self._relay.ask(read_announcement(instance, body))
                    )
                case "DELETE", path if path.startswith(INSTANCES_PATH):
                    return _empty_answer(await self._relay.ask(read_departure(instance, body)))
                case _:
                    return json_response({"error": "no such call"}, status=404)
        except ValueError as exc:
            reason = repr(exc)[:MAX_REASON_CHARACTERS]
            path = request.path[:MAX_REASON_CHARACTERS]
            # Not a warning: these are written however many there are.
            log.info("control: %s %s is malformed, answered 400: %s", request.method, path, reason)
            return json_response({"error": reason}, status=400)

    async def _put(self, body: bytes) -> Response:
        try:
            with self._account.memory.holder() as held:
                held.resize(DECODED_FACTOR * len(body))
                version, findings = self._check(body)
        except AccountFull:
            return json_response({"error": FULL}, status=503)
        if findings:
            log.info("document: rejected, findings: %s", "; ".join(map(str, findings[:5])))
            return json_response({"findings": [str(one) for one in findings]}, status=400)
        return _empty_answer(await self._relay.ask(StoreDocument(version, compress_document(body))))

    def _check(self, body: bytes) -> tuple[int, Sequence[Finding]]:
        """Return the version of a document, and what is wrong with it."""
        try:
            document = self._codec.decode(body)
        except UnreadableDocument as exc:
            return 0, exc.findings
        return document.version, list(check_document(document))

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


def _held(request: BaseRequest, answer: Response) -> Response:
    """Return an answer that may be long, and that its client may read slowly."""
    conn = request.protocol
    assert isinstance(conn, BoundedConnection)
    try:
        conn.keep_answer(len(answer.body) if isinstance(answer.body, bytes) else 0)
    except AccountFull:
        return json_response({"error": FULL}, status=503)
    return answer


def _empty_answer(answer: Any) -> Response:
    match answer:
        case Accepted():
            return json_response({})
        case Rejected(reason):
            return json_response({"error": reason}, status=409)
        case Unavailable() | _:
            return json_response({"error": "no leader"}, status=503)
