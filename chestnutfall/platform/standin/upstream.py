"""An upstream of the platform: engine or plain service."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from aiohttp import web

from .. import header_names as names
from ..listening import listen
from .run_book import RunBook

MODEL = "base"
ADAPTER_SLOTS = 4
BATCH = 8
LOAD_S = 0.05
HEARTBEAT_S = 0.4
EVENTS = 4
ANSWER_BYTES = 400
FATAL_BODY = b"fatal"
"""A request whose body begins so ends each upstream that runs it."""
ENTRY = "X-Entry"
"""Header in which the stand-in client names the gateway that it calls."""
DOWN_S = 0.4
"""How long an upstream that ended is gone; one heartbeat."""


def answer_body(request_id: str) -> bytes:
    """The one right answer to a plain request."""
    return (request_id.encode() * (ANSWER_BYTES // 8 + 1))[:ANSWER_BYTES]


def stream_event(request_id: str, number: int) -> bytes:
    """Event `number` of the one right answer to a streamed request."""
    return b"id: %d\ndata: %s.%d\n\n" % (number, request_id.encode(), number)


class StandInUpstream:
    """Runs requests, takes orders, and announces itself.

    Attributes
    ----------
    address : str
        Where it listens itself.
    announced : str
        Address that it announces; that of a relay before it.
    on_end, on_start : callable
        Told when a request ends it, and when it is back under a new name.
    limit : str or None
        What its answers say of the requests a second that it takes; None for nothing.
    backoff : str or None
        While it is set, every request is turned away with this Retry-After.
    proves : bool
        Whether refusals that ask for time say that nothing ran.
    leaving : bool
        Whether its answers say that it leaves.
    drains : bool
        Whether its announcements say so.
    """

    def __init__(
        self, service: str, is_engine: bool, book: RunBook, rng: random.Random, control: list[str]
    ) -> None:
        self.service = service
        self.instance = f"i-{rng.randrange(16**8):08x}"
        self.announced = ""
        self.address = ""
        self._is_engine = is_engine
        self._book = book
        self._rng = rng
        self._control = control
        self._numbers = itertools.count(1)
        self._started_ms = time.time_ns() // 1_000_000
        self._taken = 0
        self._fence = 0
        self._adapters: dict[str, int] = {}
        self._coming: dict[str, int] = {}
        self._going: set[str] = set()
        self._running: list[str] = []
        self._ids = random.Random(self.instance)
        self.on_end: Callable[[], None] = lambda: None
        self.on_start: Callable[[], Awaitable[None]] = _nothing
        self.limit: str | None = None
        self.backoff: str | None = None
        self.proves = True
        self.leaving = False
        self.drains = False
        self._ending: asyncio.Task[None] | None = None
        self._server: web.Server | None = None
        self._beating: asyncio.Task[None] | None = None
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen on a free port of its own."""
        await self._listen("127.0.0.1:0")
        assert self._runner is not None
        port = self._runner.addresses[0][1]
        self.address = f"127.0.0.1:{port}"

    async def _listen(self, address: str) -> None:
        self._server = web.Server(self._on_call, access_log=None)
        self._runner = await listen(self._server, address)

    def announce(self) -> None:
        """Begin to announce itself."""
        self._beating = asyncio.ensure_future(self._beat())

    async def stop(self) -> None:
        """End at once, whatever runs."""
        if self._ending is not None:
            self._ending.cancel()
        await self._close()

    async def restart(self) -> None:
        """End as a process does that leaves, and be back under a new name."""
        if self._ending is None:
            self._ending = asyncio.ensure_future(self._end_and_restart())
        await asyncio.shield(self._ending)

    async def _close(self) -> None:
        if self._beating is not None:
            self._beating.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _end_and_restart(self) -> None:
        """End as a process does that crashes, and be back later, empty and under a new name."""
        self.on_end()
        for conn in self._server.connections if self._server is not None else ():
            if conn.transport is not None:
                conn.transport.abort()
        await self._close()
        await asyncio.sleep(DOWN_S)
        self.instance = f"i-{self._ids.randrange(16**8):08x}"
        self._started_ms = time.time_ns() // 1_000_000
        self._taken = self._fence = 0
        self.backoff, self.leaving, self.drains = None, False, False
        self._adapters, self._coming, self._going, self._running = {}, {}, set(), []
        await self._listen(self.address)
        await self.on_start()
        self._ending = None
        self.announce()

    async def _beat(self) -> None:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1)) as session:
            while True:
                await self._beat_once(session)
                await asyncio.sleep(HEARTBEAT_S)

    async def _beat_once(self, session: aiohttp.ClientSession) -> None:
        for address in self._rng.sample(self._control, len(self._control)):
            url = f"http://{address}/v1/instances/{self.instance}"
            try:
                async with session.put(url, json=self._description()) as resp:
                    if resp.status == 200:
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue

    def _description(self) -> dict[str, Any]:
        told: dict[str, Any] = {
            "service": self.service,
            "addr": self.announced,
            "zone": "dc",
            "state": "draining" if self.drains else "ready",
            "seq": next(self._numbers),
            "born": self._started_ms,
        }
        if self._is_engine:
            told["models"] = self._models()
        return told

    def _models(self) -> list[dict[str, Any]]:
        held = [f"{name}@{version}" for name, version in self._adapters.items()]
        return [{"name": MODEL, "version": 1, "adapters": held}]

    # Calls

    async def _on_call(self, request: web.BaseRequest) -> web.StreamResponse:
        expected = request.headers.get(names.EXPECTED_INSTANCE, self.instance)
        if expected != self.instance:
            return web.Response(status=421, headers={names.INSTANCE: self.instance})
        match request.method, request.path:
            case "GET", "/v1/report":
                coming = [f"{MODEL}/{name}@{v}" for name, v in self._coming.items()]
                told = {"models": self._models(), "seq": self._taken, "coming": coming}
                told |= {"born": self._started_ms}
                return web.json_response(told, headers=self._says())
            case "POST", "/v1/order":
                return await self._order(json.loads(await request.read()))
            case _:
                return await self._run(request)

    async def _order(self, order: dict[str, Any]) -> web.Response:
        if order["fencing_token"] < self._fence:
            return web.Response(status=412)
        self._fence = order["fencing_token"]
        if order["expect"] != self._taken:
            return web.Response(status=409)
        name = order.get("adapter", "")
        if order["operation"] == "unload":
            return self._unload(name)
        if name in self._adapters:
            return web.Response(status=200)
        if len(self._adapters) + len(self._coming) >= ADAPTER_SLOTS:
            self._book.note_wrong(f"{self.instance}: ordered to hold more than fits")
        self._taken += 1
        self._coming[name] = order.get("version", 1)
        asyncio.get_running_loop().call_later(LOAD_S, self._arrive, name)
        return web.Response(status=202)

    def _unload(self, name: str) -> web.Response:
        if name not in self._adapters:
            return web.Response(status=200)
        self._taken += 1
        if name in self._running:
            self._going.add(name)
            return web.Response(status=202)
        del self._adapters[name]
        return web.Response(status=200)

    def _end_run(self, name: str) -> None:
        if name not in self._running:
            return  # it began before the last restart
        self._running.remove(name)
        if name in self._going and name not in self._running:
            self._going.discard(name)
            del self._adapters[name]

    def _arrive(self, name: str) -> None:
        if name in self._coming:
            self._adapters[name] = self._coming.pop(name)

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers[names.REQUEST_ID]
        gateway = request.headers.get(ENTRY, "")
        self._book.note_arrival(self.instance, gateway)
        history = self._book.signals_of(self.instance)
        history.address = self.announced
        if self.leaving:
            history.note_left(gateway)
        if self.backoff is not None:
            return self._turn_away(request_id, gateway, self.backoff)
        name = request.headers.get(names.MODEL, "").partition("/")[2]
        if self._is_engine and name not in self._adapters:
            return self._answer(request_id, 421, {names.INSTANCE: self.instance})
        if len(self._running) >= BATCH or name in self._going:
            return self._answer(request_id, 503, {names.NOT_EXECUTED: "1"})
        self._running.append(name)
        if names.KEY in request.headers:
            self._book.note_wrong(f"{self.instance}: got the key of {request_id}")
        self._book.note_run(request_id, request.headers.get(names.ORGANISATION, ""))
        if body.startswith(FATAL_BODY) and self._ending is None:
            self._book.ends[body] += 1
            self._ending = asyncio.ensure_future(self._end_and_restart())
        try:
            await asyncio.sleep(self._rng.uniform(0.002, 0.03))
            if not self._is_engine:
                return self._answer(request_id, 200, {}, answer_body(request_id))
            return await self._stream(request, request_id, name)
        finally:
            self._end_run(name)

    def _answer(
        self, request_id: str, status: int, headers: dict[str, str], body: bytes = b""
    ) -> web.Response:
        return web.Response(status=status, headers=self._headers(request_id) | headers, body=body)

    def _turn_away(self, request_id: str, gateway: str, backoff: str) -> web.Response:
        headers = {names.RETRY_AFTER: backoff}
        if self.proves:
            headers[names.NOT_EXECUTED] = "1"
        self._book.signals_of(self.instance).note_turned_away(gateway, _seconds(backoff))
        return self._answer(request_id, 503, headers)

    def _headers(self, request_id: str) -> dict[str, str]:
        return {names.REQUEST_ID: request_id, **self._says()}

    def _says(self) -> dict[str, str]:
        """What every answer says of this upstream."""
        says = {}
        if self.limit is not None:
            says[names.REQUEST_LIMIT] = self.limit
        if self.leaving:
            says[names.LEAVING] = "1"
        return says

    async def _stream(
        self, request: web.BaseRequest, request_id: str, name: str
    ) -> web.StreamResponse:
        after = int(request.headers.get(names.LAST_EVENT, "0"))
        response = web.StreamResponse(headers=self._headers(request_id))
        await response.prepare(request)
        for number in range(after + 1, EVENTS + 1):
            if name not in self._adapters:
                self._book.note_wrong(f"{self.instance}: {name} was evicted while it served")
            await response.write(stream_event(request_id, number))
            await asyncio.sleep(0.01)
        await response.write_eof()
        return response


def _seconds(text: str) -> float:
    """A time that is asked for; 0 where it is none."""
    try:
        return max(float(text), 0.0)
    except ValueError:
        return 0.0


async def _nothing() -> None:
    """Do nothing."""
