"""A simulated deployment whose engines end as they write on fatal prompt parts."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from ...clock import Clock
from ...control.crash_messages import BrokenRun
from ...control.crash_monitor import POLL_MS
from ...forwarding.call import Call
from ...forwarding.engine_upstream_selector import EngineUpstreamSelector
from ...forwarding.forwarded_call import ForwardedCall
from ...forwarding.suspect_part_links import link_suspect_parts
from ...forwarding.upstream_api import AnswerLost
from ...placement import AdapterName, PromptPart
from ...quarantine import RequestQuarantine
from ...requests import key_digest
from .fake_upstreams import RecordedReply
from .placing_gateway import PlacingGateway
from .placing_leader import PlacingLeader
from .placing_office import DEADLINE_MS, STEP_MS
from .signal_office import EVENTS, HOST, RUN_MS, SignallingApi, SignalOffice
from .signalling_upstream import ENGINES, SignallingUpstream

DOWN_MS = 1_500
CHECK_MS = 2
WRITING_MS = 60
"""Time from the first event of a fatal request to the end of its engine."""


class PartLeader(PlacingLeader):
    """A leader that also finds out what ends engines."""

    def __init__(self, office: PartOffice) -> None:
        super().__init__(office.upstreams.values, office.on_order, office.state, office.clock)
        self._clock = office.clock
        self._crashes_due_ms = 0
        self.crashes = self._parts.crashes

    def handle(self, name: str, msg: Any) -> None:
        super().handle(name, msg)
        if isinstance(msg, BrokenRun) and msg.refuses:
            self.update_upstreams()

    async def commit_due(self) -> None:
        """Commit what is due."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._crashes_due_ms:
            self._crashes_due_ms = now_ms + POLL_MS
            await self.crashes.commit_due()


class _FatalApi(SignallingApi):
    """Ends engines under fatal parts; all answers of an ended engine break off."""

    def __init__(self, office: PartOffice, gateway: str, clock: Clock) -> None:
        super().__init__(office.upstreams, gateway, clock)
        self._office = office

    async def _events(
        self, upstream: SignallingUpstream, forwarded: ForwardedCall
    ) -> AsyncIterator[bytes]:
        office = self._office
        after = forwarded.resume_after or 0
        is_fatal = office.is_fatal(forwarded.call)
        if is_fatal:
            office.fatal_arrivals_ms.append(self._clock.now_ms())
        office.runs.append((self._clock.now_ms(), upstream.record.instance, forwarded.call))
        for number in range(after + 1, EVENTS + 1):
            if upstream.record.instance in office.ended:
                raise AnswerLost("reset")
            yield b"id: %d\ndata: a\n\n" % number
            if is_fatal:
                await self._clock.sleep_ms(WRITING_MS)
                office.end(upstream.record.instance, is_fatal=True)
            else:
                await self._clock.sleep_ms(office.run_ms // EVENTS)
        if upstream.record.instance in office.ended:
            raise AnswerLost("reset")


@dataclass(slots=True)
class PartCall:
    """A call, and what its client got."""

    sent_ms: int
    parts: tuple[str, ...]
    reply: RecordedReply
    task: asyncio.Task[None]

    @property
    def served(self) -> bool:
        """Whether the client got the whole stream."""
        return self.reply.ended == "whole" and self.reply.body.count(b"id:") == EVENTS


class PartOffice(SignalOffice):
    """Gateways, a leader and engines; `send` makes a call with prompt parts.

    Attributes
    ----------
    fatal : set of str
        Parts that end each engine that begins to write on them.
    ended : set of str
        Instances that ended.
    ends_ms, fatal_arrivals_ms : list of int
        Clock times of ends under fatal parts, and of requests with one that reached engines.
    runs : list
        Time, instance and call of each run.
    run_ms : int
        Time that an answer takes.
    check_ms : int
        Time until a gateway knows whether a port refuses connections.
    announce_ms : int
        Time from the moment when a port is open again until its process announces itself.
    tells : callable
        Whether a look at a closed port tells that the process has ended.
    """

    leader: PartLeader | None

    def __init__(self, gateways: int, engines: int) -> None:
        self.fatal: set[str] = set()
        self.ended: set[str] = set()
        self.ends_ms: list[int] = []
        self.fatal_arrivals_ms: list[int] = []
        self.runs: list[tuple[int, str, Call]] = []
        self.run_ms = RUN_MS
        self.check_ms = CHECK_MS
        self.announce_ms = 0
        self.tells: Callable[[], bool] = lambda: True
        self.sent: list[PartCall] = []
        self._down: set[str] = set()
        super().__init__(gateways, engines, 1)
        for at, upstream in enumerate(self.upstreams.values()):
            upstream.record = dataclasses.replace(upstream.record, address=f"10.0.0.{at}:1")
            self.state.roster.add(upstream.record)
        for name in list(self.gateways):
            self.gateways[name] = self._gateway(name)
        self.begin_leader()

    def begin_leader(self) -> None:
        self.lose_leader()
        self.leader = PartLeader(self)
        for gateway in self.gateways.values():
            if not gateway.cut:
                gateway.join(self.leader)

    def _gateway(self, name: str) -> PlacingGateway:
        gateway = super()._gateway(name)
        forwarder = self._forwarders[name]
        quarantine = RequestQuarantine(gateway.fleet.report, self._refuses, self.clock)
        selector = gateway.selectors[ENGINES]
        assert isinstance(selector, EngineUpstreamSelector)
        link_suspect_parts(gateway.fleet, selector, quarantine)
        forwarder._quarantine = forwarder._result_handler._quarantine = quarantine
        forwarder._send_parts = replace(forwarder._send_parts, quarantine=quarantine)
        forwarder._send_parts.sender._api = self.apis[name] = _FatalApi(self, name, self.clock)
        return gateway

    async def _refuses(self, address: str) -> bool | None:
        await self.clock.sleep_ms(self.check_ms)
        is_down = address in self._down
        return None if is_down and not self.tells() else is_down

    def is_fatal(self, call: Call) -> bool:
        """Whether a call's prompt has a fatal part."""
        return any(part.part_id in self.fatal for part in call.parts[:-1])

    def end(self, instance: str, is_fatal: bool = False, down_ms: int = DOWN_MS) -> None:
        """End an engine, which is back with another instance after `down_ms`."""
        engine = self.upstreams.pop(instance, None)
        if engine is None:
            return
        self.ended.add(instance)
        if is_fatal:
            self.ends_ms.append(self.clock.now_ms())
        self._down.add(engine.record.address)
        task = asyncio.ensure_future(self._restart(engine, down_ms))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _restart(self, engine: SignallingUpstream, down_ms: int) -> None:
        await self.clock.sleep_ms(down_ms)
        self._down.discard(engine.record.address)
        await self.clock.sleep_ms(self.announce_ms)
        name = f"{engine.record.instance}+"
        record = dataclasses.replace(engine.record, instance=name)
        self.upstreams[name] = SignallingUpstream(record)
        self.state.roster.add(record)
        if self.leader is not None:
            self.leader.crashes.address_reused(record.address, record.instance)
        self.see()

    def send(
        self, gateway: str, parts: Iterable[str], organisation: str = "", body: bytes = b""
    ) -> PartCall:
        """Make a call whose prompt has these parts and one of its own."""
        self._numbers += 1
        now_ms = self.clock.now_ms()
        path = f"/{ENGINES}/x"
        names = (*parts, f"own-{self._numbers}")
        call = Call(
            f"id-{self._numbers}",
            "POST",
            path,
            path,
            HOST,
            (),
            body or b"%d" % self._numbers,
            now_ms,
            now_ms + DEADLINE_MS,
            AdapterName("base", f"a{self._numbers % 3}"),
            prompt_tokens=100,
            output_tokens=10,
            parts=tuple(PromptPart(name, 10) for name in names),
            key_digest=key_digest(organisation) if organisation else None,
        )
        reply = RecordedReply()
        task = asyncio.ensure_future(self._forwarders[gateway].serve(call, reply))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        sent = PartCall(now_ms, names[:-1], reply, task)
        self.sent.append(sent)
        return sent

    async def step(self) -> None:
        await super().step()
        if self.leader is not None:
            await self.leader.commit_due()

    async def steps(self, ms: int) -> None:
        """Let time pass."""
        for _ in range(ms // STEP_MS):
            await self.step()

    def share_served(self, sent: Iterable[PartCall]) -> float:
        """Return the share of calls that were served; those that have not ended are left out."""
        done = [one for one in sent if one.reply.ended]
        return sum(one.served for one in done) / max(len(done), 1)
