"""Fake engines behind `EngineApi`, with scripted faults and records of what they ran."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

from ...clock import Clock
from ...control.upstream_record import UpstreamRecord
from ...engine_edge import (
    AnswerEvent,
    Batches,
    EngineApi,
    EngineBroken,
    EngineRefused,
    EngineRequest,
    EngineState,
    Order,
    OrderKind,
)
from ...signals import UpstreamSignals, read_signals
from ...signals.own_headers import OWN_SIGNALS

TOKENS = 6
TOKEN_MS = 10
LOAD_MS = 200
DOWN_MS = 500
"""Time until an engine that crashed is reachable again."""
FATAL_TEXT = b"fatal"
"""A request that contains it crashes each engine that runs it."""


class FakeEngine:
    """State, records and scripted faults of one engine.

    Attributes
    ----------
    checked : bool
        Whether it refuses orders with an older epoch than the newest it has seen.
    faults : Counter of str
        How often each fault still occurs: `unreachable`, `reset` (after the request was
        taken), `silent`, `wrong_model`, `wrong_answer`, `short`, `duplicate`, `gap`, `mid_reset`,
        `mid_silent`, `mixed_up` (one event is of another answer), `load_failure`, `order_lost`,
        `slow_state`.
    ran : list of str
        Attempt ids of all runs, oldest first.
    ended : set of str
        Attempt ids of runs that ended whole, whose events are still held for who lost some.
    crashes : int
        Crashes caused by requests with `FATAL_TEXT`.
    limit, backoff : str or None
        Values of the limit and `Retry-After` headers of its answers.
    turned_away, arrivals : list of int
        Clock times in ms of requests refused with a backoff, and of all requests.
    tries : int
        Runs and resumes for which no connection opened while it was cut off.
    head_ms : int
        Time until it begins an answer.
    silent_until_ms : int
        Clock time until which it sends nothing, and after which it goes on as if nothing had been.
    cut_until_ms : int
        Clock time until which no connection to it opens or is refused, and open ones are silent.
    """

    def __init__(self, clock: Clock, slots: int = 2, checked: bool = True) -> None:
        self.clock = clock
        self.slots = slots
        self.checked = checked
        self.incarnation = "first"
        self.adapters: dict[str, str] = {}
        self.running: dict[str, str] = {}
        self.events: dict[str, list[bytes]] = {}
        self.ran: list[str] = []
        self.ended: set[str] = set()
        self.evicted_while_serving = 0
        self.loads = 0
        self.refused_orders = 0
        self.epoch = 0
        self.faults: Counter[str] = Counter()
        self.reachable = True
        self.tokens = TOKENS
        self.crashes = 0
        self.limit: str | None = None
        self.backoff: str | None = None
        self.leaving = False
        self.turned_away: list[int] = []
        self.resumed = 0
        self.arrivals: list[int] = []
        self.head_ms = 0
        self.silent_until_ms = 0
        self.cut_until_ms = 0
        self.tries = 0

    @property
    def is_cut(self) -> bool:
        """Whether no connection to it opens."""
        return self.clock.now_ms() < self.cut_until_ms

    def take_fault(self, fault: str) -> bool:
        """Whether `fault` is due; counts it as used if so."""
        if not self.faults[fault]:
            return False
        self.faults[fault] -= 1
        return True

    async def be_silent(self, limit_ms: float) -> None:
        """Wait while it sends nothing.

        Raises
        ------
        EngineBroken
            When `limit_ms` are over before; the run goes on.
        """
        left_ms = max(self.silent_until_ms, self.cut_until_ms) - self.clock.now_ms()
        if left_ms > limit_ms:
            await self.clock.sleep_ms(limit_ms)
            raise EngineBroken("engine_silent", "silent")
        if left_ms > 0:
            await self.clock.sleep_ms(left_ms)

    def signals(self, status: int) -> UpstreamSignals:
        """Return the signals of an answer with this status."""
        values = {OWN_SIGNALS.limit: self.limit, "Retry-After": self.backoff}
        headers = {name: text for name, text in values.items() if text is not None}
        if self.leaving:
            headers[OWN_SIGNALS.leaving] = "1"
        return read_signals(status, headers, OWN_SIGNALS)

    async def crash_and_restart(self) -> None:
        """Crash, and be reachable again after `DOWN_MS` as a new process."""
        self.crashes += 1
        self.reachable = False
        self.restart_empty()
        await self.clock.sleep_ms(DOWN_MS)
        self.reachable = True

    def holds(self, attempt_id: str) -> bool:
        """Whether the events of a run can be had."""
        return attempt_id in self.running or attempt_id in self.ended

    def restart_empty(self) -> None:
        """Replace the process by a new one that holds nothing."""
        self.incarnation += "+"
        self.adapters.clear()
        self.running.clear()
        self.ended.clear()
        self.events.clear()
        self.epoch = 0


class FakeEngines(EngineApi):
    """Engines by address."""

    def __init__(self) -> None:
        self.by_address: dict[str, FakeEngine] = {}
        self.cancelled: list[str] = []

    def _engine(self, address: str) -> FakeEngine:
        engine = self.by_address[address]
        if not engine.reachable or engine.is_cut:
            raise ConnectionError(f"cannot connect to {address}")
        return engine

    async def refuses_connections(self, address: str) -> bool:
        """Whether the engine's process is gone."""
        return not self.by_address[address].reachable

    async def run(self, engine: UpstreamRecord, req: EngineRequest) -> Batches:
        address = engine.address
        engine = self.by_address[address]
        engine.tries += engine.is_cut
        if not engine.reachable or engine.is_cut or engine.take_fault("unreachable"):
            raise EngineRefused("engine_unreachable", "no connection")
        engine.arrivals.append(engine.clock.now_ms())
        if engine.backoff is not None:
            engine.turned_away.append(engine.clock.now_ms())
            req.on_signals(engine.signals(503), False, False)
            raise EngineRefused("overloaded", "asks for backoff")
        if engine.adapters.get(req.model) != "ready":
            raise EngineRefused("adapter_not_loaded", "not loaded")
        engine.ran.append(req.attempt_id)
        engine.running[req.attempt_id] = req.model
        engine.events[req.attempt_id] = _events(engine, req)
        if FATAL_TEXT in req.body:
            asyncio.ensure_future(engine.crash_and_restart())  # noqa: RUF006
            raise EngineBroken("engine_connection_lost", "reset")
        if engine.take_fault("reset"):
            raise EngineBroken("engine_connection_lost", "reset")
        if engine.take_fault("silent"):
            await engine.clock.sleep_ms(req.begin_ms)
            raise EngineBroken("engine_silent", "silent")
        async for event in self._events_after(engine, req, 0):
            yield event

    async def _events_after(self, engine: FakeEngine, req: EngineRequest, after: int) -> Batches:
        events = engine.events[req.attempt_id]
        incarnation = engine.incarnation
        await engine.clock.sleep_ms(engine.head_ms)
        limit_ms = req.silent_ms if after else req.begin_ms
        await engine.be_silent(limit_ms)
        req.on_signals(engine.signals(200), True, False)
        for number in range(after + 1, len(events) + 1):
            await engine.clock.sleep_ms(TOKEN_MS)
            await engine.be_silent(limit_ms)
            limit_ms = req.silent_ms
            if engine.incarnation != incarnation or not engine.holds(req.attempt_id):
                raise EngineBroken("engine_connection_lost", "gone")
            if number == 3 and engine.take_fault("mid_reset"):
                raise EngineBroken("engine_connection_lost", "reset")
            if number == 3 and engine.take_fault("mid_silent"):
                await engine.clock.sleep_ms(req.silent_ms)
                raise EngineBroken("engine_silent", "silent")
            if number == 3 and engine.take_fault("short"):
                return
            if number == 3 and engine.take_fault("gap"):
                continue
            data = events[number - 1]
            if number == 3 and engine.take_fault("mixed_up"):
                data = data.replace(req.attempt_id.encode(), b"another-callers")
            last = number == len(events)
            if last:
                engine.running.pop(req.attempt_id, None)
                engine.ended.add(req.attempt_id)
            yield [AnswerEvent(number, data, last)]
            if number == 3 and engine.take_fault("duplicate"):
                yield [AnswerEvent(number, data, last)]

    async def resume(self, engine: UpstreamRecord, req: EngineRequest, after: int) -> Batches:
        address = engine.address
        engine = self.by_address[address]
        engine.tries += engine.is_cut
        if not engine.reachable or engine.is_cut:
            raise EngineRefused("engine_unreachable", "no connection")
        engine.arrivals.append(engine.clock.now_ms())
        engine.resumed += 1
        if not engine.holds(req.attempt_id):
            raise EngineRefused("run_unknown", "no such run")
        async for event in self._events_after(engine, req, after):
            yield event

    async def cancel(self, engine: UpstreamRecord, attempt_id: str) -> None:
        address = engine.address
        self.cancelled.append(attempt_id)
        if not self.by_address[address].is_cut:
            self.by_address[address].running.pop(attempt_id, None)

    async def state(self, address: str, timeout_ms: float) -> EngineState:
        engine = self._engine(address)
        state = EngineState(
            engine.incarnation, engine.slots, dict(engine.adapters), dict(engine.running)
        )
        if engine.take_fault("slow_state"):
            await engine.clock.sleep_ms(400)
        return state

    async def order(self, address: str, order: Order, timeout_ms: float) -> str:
        engine = self._engine(address)
        if engine.checked and order.epoch < engine.epoch:
            return "stale_epoch"
        engine.epoch = max(engine.epoch, order.epoch)
        if order.kind is OrderKind.UNLOAD:
            engine.adapters.pop(order.adapter, None)
            used = [run for run, adapter in engine.running.items() if adapter == order.adapter]
            engine.evicted_while_serving += len(used)
            for run in used:
                del engine.running[run]
        elif order.adapter not in engine.adapters:
            if len(engine.adapters) >= engine.slots:
                engine.refused_orders += 1
                return "no_free_slot"
            engine.adapters[order.adapter] = "loading"
            asyncio.ensure_future(_load(engine, order.adapter))  # noqa: RUF006
        if engine.take_fault("order_lost"):
            raise ConnectionError("the answer to an order was lost")
        return "accepted"


async def _load(engine: FakeEngine, adapter: str) -> None:
    await engine.clock.sleep_ms(LOAD_MS)
    if adapter in engine.adapters:
        failed = engine.take_fault("load_failure")
        engine.loads += not failed
        engine.adapters[adapter] = "failed" if failed else "ready"
        if failed:
            del engine.adapters[adapter]


def _events(engine: FakeEngine, req: EngineRequest) -> list[bytes]:
    model = "other@9+0" if engine.take_fault("wrong_model") else req.model
    answer_id = "cmpl-another-callers" if engine.take_fault("wrong_answer") else req.attempt_id
    texts = [
        json.dumps({"id": answer_id, "model": model, "text": f"{req.model} {number}"}).encode()
        for number in range(engine.tokens)
    ]
    return [*texts, b"[DONE]"] if req.stream else texts[:1]
