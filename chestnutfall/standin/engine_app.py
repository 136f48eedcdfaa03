"""HTTP interface of the stand-in engine."""

from __future__ import annotations

import asyncio
import json
import os
from typing import Any

from aiohttp import web

from .engine_core import EngineCore
from .run import Run
from .scripted_headers import ScriptedHeaders
from .scripted_silence import ScriptedSilence
from .silence import SilentMoment

DEFAULT_TOKENS = 16
"""Tokens generated for a request without `max_tokens`."""
FATAL_PROMPT = "a fatal one"
"""A prompt that crashes each engine that runs it, as a faulty input may crash a real one."""
FATAL_EXIT = 70
"""Exit code of an engine that crashed."""


class EngineApp:
    """OpenAI API, with run ids to resume and cancel runs, orders, reports, and scripted faults.

    `POST /standin/faults` adds faults by name, each with the number of times that it occurs:
    "silent", "reset", "wrong_model", "wrong_answer", "short_answer", and for streams "gap",
    "duplicate", "mid_reset" and "mid_silent". The core adds "load_failure". `POST
    /standin/silence` lets it fall silent for a time, which is no fault.

    Attributes
    ----------
    leaving : bool
        Whether the engine announces that it leaves; it goes on to serve requests.
    """

    def __init__(self, core: EngineCore) -> None:
        self._core = core
        self._scripted_headers = ScriptedHeaders()
        self.leaving = False

    def build(self) -> web.Application:
        """Build the aiohttp application."""
        app = web.Application()
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_get("/v1/runs/{attempt_id}", self._resume)
        app.router.add_delete("/v1/runs/{attempt_id}", self._cancel)
        app.router.add_get("/v1/state", self._state)
        app.router.add_post("/v1/orders", self._order)
        app.router.add_post("/standin/faults", self._faults)
        app.router.add_get("/standin/counts", self._counts)
        self._scripted_headers.attach(app)
        ScriptedSilence(self._core.silence).attach(app)
        return app

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if self._scripted_headers.refuses_request():
            return _error(503, "overloaded", "asks for time", ran=False)
        model = str(body["model"])
        if self._core.adapters.get(model) != "ready":
            return _error(404, "adapter_not_loaded", f"{model} is not loaded", ran=False)
        attempt_id = request.headers["X-Request-Id"]
        run = Run(
            attempt_id,
            model,
            request.path,
            int(request.headers.get("X-Priority", "1")),
            int(body.get("max_tokens") or DEFAULT_TOKENS),
        )
        self._core.start_run(run)
        if body.get("prompt") == FATAL_PROMPT:
            os._exit(FATAL_EXIT)
        if self._core.take_fault("silent"):
            await asyncio.sleep(3600)
        if self._core.take_fault("reset") and request.transport is not None:
            request.transport.abort()
        if body.get("stream"):
            return await self._stream(request, run, 0)
        while not run.done and not run.cancelled:
            run.changed.clear()
            await run.changed.wait()
        if run.cancelled:
            return _error(500, "run_cancelled", "the run was cancelled", ran=True)
        wrong = self._core.take_fault("wrong_model")
        answer = run.whole_answer("another@1+0" if wrong else model)
        if self._core.take_fault("wrong_answer"):
            answer["id"] = "cmpl-somebody-else"
        if self._core.take_fault("short_answer"):
            return await _cut_short(request, json.dumps(answer).encode())
        return web.json_response(answer)

    async def _stream(self, request: web.Request, run: Run, after: int) -> web.StreamResponse:
        resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await self._core.silence.before_writing(SilentMoment.HEAD)
        await resp.prepare(request)
        sent = after
        while True:
            while sent < len(run.events):
                data = self._with_fault(run.events[sent])
                sent += 1
                if sent == 3 and self._core.take_fault("short_answer"):
                    return resp
                if sent == 3 and self._core.take_fault("gap"):
                    continue
                await self._write_event(resp, b"id: %d\ndata: %s\n\n" % (sent, data))
                if sent == 3 and self._core.take_fault("duplicate"):
                    await resp.write(b"id: %d\ndata: %s\n\n" % (sent, data))
                if sent == 3 and self._core.take_fault("mid_reset") and request.transport:
                    request.transport.abort()
                if sent == 3 and self._core.take_fault("mid_silent"):
                    await asyncio.sleep(3600)
            if run.done:
                return resp
            if run.cancelled:
                if request.transport is not None:
                    request.transport.abort()
                return resp
            run.changed.clear()
            await run.changed.wait()

    async def _write_event(self, resp: web.StreamResponse, event: bytes) -> None:
        silence = self._core.silence
        first = silence.first_bytes(event)
        if first:
            await resp.write(event[:first])
        await silence.before_writing(SilentMoment.REST_OF_EVENT if first else SilentMoment.EVENT)
        await resp.write(event[first:])

    def _with_fault(self, data: bytes) -> bytes:
        """Return an event, changed if a fault is due."""
        if data != b"[DONE]" and self._core.take_fault("wrong_model"):
            return json.dumps(json.loads(data) | {"model": "another@1+0"}).encode()
        if data != b"[DONE]" and self._core.take_fault("wrong_answer"):
            return json.dumps(json.loads(data) | {"id": "cmpl-somebody-else"}).encode()
        return data

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        run = self._core.runs.get(request.match_info["attempt_id"])
        if run is None or run.cancelled:
            return _error(404, "run_unknown", "no such run", ran=False)
        return await self._stream(request, run, int(request.headers.get("Last-Event-ID", "0")))

    async def _cancel(self, request: web.Request) -> web.Response:
        self._core.cancel(request.match_info["attempt_id"])
        return web.Response(status=204)

    async def _state(self, request: web.Request) -> web.Response:
        core = self._core
        return web.json_response(
            {
                "incarnation": core.incarnation,
                "slots": core.slots,
                "adapters": core.adapters,
                "running": core.running(),
            }
        )

    async def _order(self, request: web.Request) -> web.Response:
        body = await request.json()
        outcome = self._core.order(body["kind"], int(body["epoch"]), body["adapter"])
        return web.json_response({"outcome": outcome})

    async def _faults(self, request: web.Request) -> web.Response:
        self._core.faults.update(await request.json())
        return web.json_response(dict(self._core.faults))

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response(
            self._core.counts
            | {"turned_away": self._scripted_headers.refusals}
            | {f"held: {at.value}": count for at, count in self._core.silence.held.items()}
        )


def _error(status: int, code: str, message: str, ran: bool) -> web.Response:
    body: dict[str, Any] = {"error": {"code": code, "message": message, "ran": ran}}
    return web.json_response(body, status=status)


async def _cut_short(request: web.Request, body: bytes) -> web.StreamResponse:
    """Announce the whole length, send half of the body, and close the connection."""
    resp = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await resp.prepare(request)
    await resp.write(body[: len(body) // 2])
    if request.transport is not None:
        request.transport.close()
    return resp
