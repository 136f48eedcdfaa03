"""An upstream of the platform, either an engine or one of a plain service."""

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

from ...standin.silence import Silence, SilentMoment
from ...wire.resets import reset
from .. import header_names as names
from ..listening import Listener, listen
from .adapter_store import AdapterStore
from .endless import Endless, write_endless
from .idle_connections import IdleConnections
from .malformed import Malformed, write_malformed
from .room import NoRoom, StandInRoom
from .run_registry import RunRegistry
from .stream_text import event_text
from .uneven_speed import UnevenSpeed
from .unframed_answer import UnframedAnswer

BATCH = 8
HEARTBEAT_S = 0.4
EVENTS = 4
EVENT_S = 0.01
ANSWER_BYTES = 400
FATAL_BODY = b"fatal"
"""A request whose body begins with it crashes each upstream that runs it."""
ENTRY_HEADER = "X-Entry"
"""Header in which the stand-in client names the address of the gateway that it calls."""
IDLE_S = 2
"""Time after which idle connections are closed; stated in each answer."""
DOWN_S = 0.4
"""Time from the end of an upstream to its restart; one heartbeat interval."""


LONG_PATH = "/long-answer"
"""End of the path of plain requests that are answered at length."""
SLOW_READ_BYTES, SLOW_READ_S = 15_000, 0.1
"""What an upstream that reads slowly takes of a long body, and how often."""


def answer_body(request_id: str) -> bytes:
    """Return the only correct answer to a plain request."""
    return (request_id.encode() * (ANSWER_BYTES // 8 + 1))[:ANSWER_BYTES]


class StandInUpstream:
    """Runs requests, carries out orders, and announces itself to controllers.

    It records runs and the faults of gateways and controllers in a `RunRegistry`.

    Attributes
    ----------
    instance : str
        Name that it announces; a new one after each restart.
    instances : list of str
        All of these names.
    address : str
        Address at which it listens.
    announced_address : str
        Address that it announces, for example that of a relay in front of it.
    on_end, on_start : callable
        Called when it crashes or restarts, and when it listens again under a new name.
    limit : str or None
        Requests a second that its answers name as its limit; None for no such header.
    backoff : str or None
        While it is set, every request is refused with this Retry-After.
    marks_not_executed : bool
        Whether these refusals carry the proof that the request did not run.
    rejections_per_s : int or None
        Rejections for want of room that it bears within a second and names in its answers; with
        one more it crashes. None for any number.
    leaving : bool
        Whether its answers carry the header that it leaves.
    speed : UnevenSpeed or None
        Speed of an engine, whose answers then report its load; None for one of the usual speed.
    announces_draining : bool
        Whether its announcements have the state "draining".
    room : StandInRoom
        Places of an upstream of a plain service; a new one after each restart.
    idle : IdleConnections
        Connections of gateways that wait for their next request.
    build, next_build : str
        Version of its software, which it announces and writes into each event, and the one that it
        has after its next restart; empty for none.
    events : int
        Events of a whole stream.
    break_share : float
        Share of streams that it breaks off after one of their events, and of answers without an
        end that it breaks off halfway.
    unframed_share : float
        Share of its answers that have neither a length nor chunks.
    down_s : float
        Time from its end to its restart.
    foreign_routes : tuple of str
        Routes that lead to other services only.
    event_s : float
        Time from one event of a stream to the next, for an engine of the usual speed.
    silence : Silence
        Times in which it writes nothing, though it is sound and announces itself.
    endless : Endless or None
        What it writes without end in place of each answer of 200; None for its answers.
    malformed : Malformed or None
        What is wrong with the heads of its answers of 200; None for sound ones.
    long_answer_bytes : int
        Length of its answers to requests whose path ends with `LONG_PATH`.
    reads_slowly : bool
        Whether it reads bodies of requests a small part at a time.
    """

    def __init__(
        self,
        service: str,
        is_engine: bool,
        registry: RunRegistry,
        rng: random.Random,
        control: list[str],
    ) -> None:
        self.service = service
        self.instance = f"i-{rng.randrange(16**8):08x}"
        self.announced_address = ""
        self.address = ""
        self.instances = [self.instance]
        self._is_engine = is_engine
        self._registry = registry
        self._rng = rng
        self._control = control
        self._announcement_numbers = itertools.count(1)
        self._started_ms = time.time_ns() // 1_000_000
        self._adapters = self._new_store()
        self._instance_rng = random.Random(self.instance)
        # Of its own: draws from `rng` would change what the seeds of a soak play.
        self._rng_of_answers = random.Random(f"answers {self.instance}")
        self.on_end: Callable[[], None] = lambda: None
        self.on_start: Callable[[], Awaitable[None]] = _do_nothing
        self.limit: str | None = None
        self.backoff: str | None = None
        self.marks_not_executed = True
        self.rejections_per_s: int | None = None
        self.leaving = False
        self.speed: UnevenSpeed | None = None
        self.announces_draining = False
        self.room = StandInRoom()
        self.idle = IdleConnections()
        self.build = self.next_build = ""
        self.events = EVENTS
        self.break_share = self.unframed_share = 0.0
        self.down_s = DOWN_S
        self.silence = Silence()
        self.endless: Endless | None = None
        self.malformed: Malformed | None = None
        self.long_answer_bytes = ANSWER_BYTES
        self.reads_slowly = False
        self.event_s = EVENT_S
        self.foreign_routes: tuple[str, ...] = ()
        self._ending: asyncio.Task[None] | None = None
        self._server: web.Server | None = None
        self._announcing: asyncio.Task[None] | None = None
        self._runner: Listener | None = None

    async def start(self) -> None:
        """Listen on a free port and set `address`; `announce` must be called separately."""
        await self._listen("127.0.0.1:0")
        assert self._runner is not None
        port = self._runner.addresses[0][1]
        self.address = f"127.0.0.1:{port}"

    async def _listen(self, address: str) -> None:
        self._server = web.Server(self._on_request, access_log=None, keepalive_timeout=IDLE_S)
        self._runner = await listen(self._server, address)

    def announce(self) -> None:
        """Start to announce itself at each heartbeat."""
        self._announcing = asyncio.ensure_future(self._announce_forever())

    async def stop(self) -> None:
        """Stop at once, without waiting for running requests."""
        if self._ending is not None:
            self._ending.cancel()
        await self._close()

    async def restart(self) -> None:
        """Abort all connections, start again under a new name, and announce itself."""
        if self._ending is None:
            self._ending = asyncio.ensure_future(self._end_and_restart())
        await asyncio.shield(self._ending)

    async def _close(self) -> None:
        if self._announcing is not None:
            self._announcing.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _end_and_restart(self) -> None:
        """Abort all connections like a crash, and start again, empty and under a new name."""
        self.on_end()
        for conn in self._server.connections if self._server is not None else ():
            if conn.transport is not None:
                reset(conn.transport)
        await self._close()
        await asyncio.sleep(self.down_s)
        self.instance = f"i-{self._instance_rng.randrange(16**8):08x}"
        self.instances.append(self.instance)
        self._started_ms = time.time_ns() // 1_000_000
        self.build = self.next_build
        self.backoff, self.leaving, self.announces_draining = None, False, False
        self._adapters = self._new_store()
        self.silence.end()
        self.endless = self.malformed = None
        refused, self.room = self.room.refused, StandInRoom()
        self.room.refused = refused
        await self._listen(self.address)
        await self.on_start()
        self._ending = None
        self.announce()

    async def _announce_forever(self) -> None:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1)) as session:
            while True:
                await self._announce_once(session)
                await asyncio.sleep(HEARTBEAT_S)

    async def _announce_once(self, session: aiohttp.ClientSession) -> None:
        for address in self._rng.sample(self._control, len(self._control)):
            url = f"http://{address}/v1/instances/{self.instance}"
            try:
                async with session.put(url, json=self._description()) as resp:
                    if resp.status == 200:
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue

    def _description(self) -> dict[str, Any]:
        message: dict[str, Any] = {
            "service": self.service,
            "addr": self.announced_address,
            "zone": "dc",
            "state": "draining" if self.announces_draining else "ready",
            "seq": next(self._announcement_numbers),
            "born": self._started_ms,
        }
        if self._is_engine:
            message["models"] = self._adapters.models()
        if self.build:
            message["version"] = self.build
        return message

    def _new_store(self) -> AdapterStore:
        return AdapterStore(
            lambda finding: self._registry.note_violation(f"{self.instance}: {finding}")
        )

    # HTTP requests

    async def _on_request(self, request: web.BaseRequest) -> web.StreamResponse:
        self._registry.note_reached(request.headers.get(names.REQUEST_ID, ""))
        await self.silence.before_running()
        expected = request.headers.get(names.EXPECTED_INSTANCE, self.instance)
        if expected != self.instance:
            return await self._held(web.Response(status=421, headers=self._own_name()))
        match request.method, request.path:
            case "GET", "/v1/report":
                message = self._adapters.report() | {"born": self._started_ms}
                return await self._held(web.json_response(message, headers=self._signal_headers()))
            case "POST", "/v1/order":
                status = self._adapters.order(json.loads(await request.read()))
                return await self._held(web.Response(status=status))
            case _:
                with self.idle.serving(request):
                    return await self._held(await self._run(request))

    async def _held(self, response: web.StreamResponse) -> web.StreamResponse:
        """Hold back an answer that was not written yet while this upstream is silent."""
        if not response.prepared:
            await self.silence.before_writing(SilentMoment.WHOLE)
        return response

    def _own_name(self) -> dict[str, str]:
        return {names.INSTANCE: self.instance}

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await self._read(request)
        request_id = request.headers[names.REQUEST_ID]
        gateway = request.headers.get(ENTRY_HEADER, "")
        self._registry.note_arrival(self.instance, gateway, request_id)
        history = self._registry.signals_of(self.instance)
        history.address = self.announced_address
        if self.leaving:
            history.note_leaving_answer(gateway)
        if self.backoff is not None:
            return self._refuse_for_backoff(request_id, gateway, self.backoff)
        name = request.headers.get(names.MODEL, "").partition("/")[2]
        store = self._adapters
        if self._is_engine and name not in store.versions:
            return self._answer(request_id, 421, self._own_name())
        if not self._is_engine:
            return await self._run_plain(request, request_id, body)
        if self._has_fatal_part(request):
            self._registry.fatal_arrival_times_s.append(time.monotonic())
        if len(store.running) >= BATCH:
            return self._reject(request_id)
        if store.is_leaving(name):
            return self._answer(request_id, 503, {names.NOT_EXECUTED: "1"})
        store.running.append(name)
        self._note_run(request, request_id, body)
        try:
            await self._work(self._rng.uniform(0.002, 0.03))
            return await self._stream(request, request_id, name)
        finally:
            store.end_run(name)

    async def _read(self, request: web.BaseRequest) -> bytes:
        """Read the body of a request, of which only the beginning matters."""
        if not self.reads_slowly:
            return await request.read()
        first = await request.content.read(SLOW_READ_BYTES)
        while await request.content.read(SLOW_READ_BYTES):
            await asyncio.sleep(SLOW_READ_S)
        return first

    async def _run_plain(
        self, request: web.BaseRequest, request_id: str, body: bytes
    ) -> web.StreamResponse:
        room = self.room
        try:
            async with room.place():
                self._note_run(request, request_id, body)
                await asyncio.sleep(self._rng.uniform(0.002, 0.03) * room.slowdown)
                await self.silence.before_running()
                return await self._answer_plain(request, request_id)
        except NoRoom:
            return self._reject(request_id)

    async def _answer_plain(self, request: web.BaseRequest, request_id: str) -> web.StreamResponse:
        if self.endless is not None:
            return await write_endless(request, self._headers(request_id), self.endless)
        body = answer_body(request_id)
        if self.malformed is not None:
            return write_malformed(request, self._headers(request_id), self.malformed, body)
        if request.path.endswith(LONG_PATH):
            body = b"p" * self.long_answer_bytes
        if self._rng_of_answers.random() >= self.unframed_share:
            return self._answer(request_id, 200, {}, body)
        answer = UnframedAnswer(self._headers(request_id))
        await self.silence.before_writing(SilentMoment.HEAD)
        await answer.prepare(request)
        if self._break_after(0) is not None and request.transport is not None:
            await answer.write(body[: len(body) // 2])
            self._registry.broken_off.add(request_id)
            reset(request.transport)
        else:
            await answer.write_eof(body)
        return answer

    def _reject(self, request_id: str) -> web.Response:
        """Refuse a request for want of room; one too many ends a brittle upstream."""
        rejections = self._registry.note_rejection(self.instance)
        bears = self.rejections_per_s
        if bears is not None and rejections > bears and self._ending is None:
            self._registry.falls.append(self.instance)
            self._ending = asyncio.ensure_future(self._end_and_restart())
        return self._answer(request_id, 503, {names.NOT_EXECUTED: "1"})

    def _note_run(self, request: web.BaseRequest, request_id: str, body: bytes) -> None:
        if request.path.split("/")[1] in self.foreign_routes:
            finding = f"{self.instance} of {self.service}: ran {request_id} of another service"
            self._registry.note_violation(finding)
        if names.KEY in request.headers:
            self._registry.note_violation(f"{self.instance}: got the key of {request_id}")
        self._registry.note_run(request_id, request.headers.get(names.ORGANISATION, ""))
        if body.startswith(FATAL_BODY) and self._ending is None:
            self._registry.ends[body] += 1
            self._ending = asyncio.ensure_future(self._end_and_restart())

    def _answer(
        self, request_id: str, status: int, headers: dict[str, str], body: bytes = b""
    ) -> web.Response:
        return web.Response(status=status, headers=self._headers(request_id) | headers, body=body)

    def _refuse_for_backoff(self, request_id: str, gateway: str, backoff: str) -> web.Response:
        headers = {names.RETRY_AFTER: backoff}
        if self.marks_not_executed:
            headers[names.NOT_EXECUTED] = "1"
        self._registry.signals_of(self.instance).note_backoff_refusal(gateway, _seconds(backoff))
        return self._answer(request_id, 503, headers)

    def _headers(self, request_id: str) -> dict[str, str]:
        kept = {"Keep-Alive": f"timeout={IDLE_S}"}
        return {names.REQUEST_ID: request_id, **kept, **self._signal_headers()}

    def _signal_headers(self) -> dict[str, str]:
        """Headers in which every answer signals the state of this upstream."""
        headers = {}
        if self.limit is not None:
            headers[names.REQUEST_LIMIT] = self.limit
        if self.leaving:
            headers[names.LEAVING] = "1"
        if self.rejections_per_s is not None:
            headers[names.REJECTION_LIMIT] = str(self.rejections_per_s)
        if not self._is_engine:
            headers[names.LOAD] = self.room.load()
        elif self.speed is not None:
            headers[names.LOAD] = self.speed.load(
                len(self._adapters.running), BATCH, time.monotonic()
            )
        return headers

    async def _stream(
        self, request: web.BaseRequest, request_id: str, name: str
    ) -> web.StreamResponse:
        if self.endless is not None:
            return await write_endless(request, self._headers(request_id), self.endless)
        if self.malformed is not None:
            event = event_text(1, request_id, self.build)
            return write_malformed(request, self._headers(request_id), self.malformed, event)
        after = int(request.headers.get(names.LAST_EVENT, "0"))
        breaks_at = self._break_after(after)
        build = self.build
        is_unframed = self._rng_of_answers.random() < self.unframed_share
        make = UnframedAnswer if is_unframed else web.StreamResponse
        response = make(headers=self._headers(request_id))
        await self.silence.before_writing(SilentMoment.HEAD)
        await response.prepare(request)
        for number in range(after + 1, self.events + 1):
            if name not in self._adapters.versions:
                self._registry.note_violation(
                    f"{self.instance}: {name} was evicted while it served"
                )
            await self._write_event(response, event_text(number, request_id, build))
            await self._work(self.event_s)
            if self._has_fatal_part(request):
                self._crash_under_part()
                return response
            if number == breaks_at and request.transport is not None:
                self._registry.broken_off.add(request_id)
                reset(request.transport)
                return response
        await response.write_eof()
        return response

    async def _write_event(self, response: web.StreamResponse, event: bytes) -> None:
        first = self.silence.first_bytes(event)
        if first:
            await response.write(event[:first])
        moment = SilentMoment.REST_OF_EVENT if first else SilentMoment.EVENT
        await self.silence.before_writing(moment)
        await response.write(event[first:])

    def _has_fatal_part(self, request: web.BaseRequest) -> bool:
        parts = request.headers.get(names.PROMPT_PARTS, "").split(",")[:-1]
        return any(part.partition(":")[0] in self._registry.fatal_parts for part in parts)

    def _crash_under_part(self) -> None:
        if self._ending is None:
            self._registry.fatal_end_times_s.append(time.monotonic())
            self._ending = asyncio.ensure_future(self._end_and_restart())

    def _break_after(self, after: int) -> int | None:
        """Draw the event after which a stream is broken off; None if it is not."""
        rng = self._rng_of_answers
        if not self.break_share or rng.random() >= self.break_share:
            return None
        return rng.randrange(after + 1, self.events + 1)

    async def _work(self, work_s: float) -> None:
        """Pass the time that work takes at the speed of this upstream."""
        if self.speed is not None:
            work_s = self.speed.stretched_s(work_s, time.monotonic())
        await asyncio.sleep(work_s)
        await self.silence.before_running()


def _seconds(text: str) -> float:
    """Parse a Retry-After in seconds; 0 if it is not a valid time."""
    try:
        return max(float(text), 0.0)
    except ValueError:
        return 0.0


async def _do_nothing() -> None:
    """Default of `on_start`."""
