"""Gateways, leaders that follow one another, and engines that count their rejections."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from ...clock import Clock
from ...control.upstream_record import UpstreamRecord
from ...coordination.gateway_session import GatewaySession
from ...coordination.gateway_sessions import GatewaySessions
from ...coordination.rejection_coordinator import RejectionCoordinator
from ...forwarding.running_sends import RunningEngineSends
from ...limits.limit_registry import LimitRegistry
from ...limits.plain_send_queues import PlainSendQueues
from ...placement import AdapterName, Grant, PlaceRequest, Reject, RunOutcome
from ...placement.placer import Placer
from ...routes import EngineSpec, ModelSpec
from ...signals.known_rejections import KnownRejections
from ...signals.messages import HeardRejections, RejectionsInForce
from .accounts import usual_memory

BATCH = 8
ENGINES = 3
SPEC = EngineSpec(BATCH, 1_000_000, (ModelSpec("base", 50),), 1_000, 4, 5)
RUN_MS = (60, 300)
LEAVING_FRACTION = 0.05
"""Part of the requests whose callers leave midway; the engine works on to their end."""
WAIT_MS = 400


@dataclass(slots=True)
class CountingEngine:
    """An engine without a queue.

    Attributes
    ----------
    running : dict of str to int
        Clock time at which each request ends.
    rejected_ms : list of int
        Clock times of its rejections.
    """

    running: dict[str, int] = field(default_factory=dict)
    rejected_ms: list[int] = field(default_factory=list)
    served: int = 0

    def end_due(self, now_ms: int) -> None:
        """End the requests whose time is over."""
        self.running = {one: until for one, until in self.running.items() if until > now_ms}

    def most_rejected(self) -> int:
        """Most rejections within any second."""
        return max(
            (
                sum(at_ms - 1_000 < other <= at_ms for other in self.rejected_ms)
                for at_ms in self.rejected_ms
            ),
            default=0,
        )


class RejectingOffice:
    """Plays requests at engines that bear few rejections, over changes of leader."""

    def __init__(self, gateways: int, per_s: int, clock: Clock) -> None:
        self.clock = clock
        self.rng = random.Random(gateways)
        self.engines = {f"e{at}": CountingEngine() for at in range(ENGINES)}
        self._per_s = per_s
        self._known = []
        self.running = []
        for _ in range(gateways):
            known = KnownRejections(lambda report: None, clock)
            known.apply(
                RejectionsInForce(tuple(HeardRejections(name, per_s) for name in self.engines))
            )
            self._known.append(known)
            self.running.append(RunningEngineSends(known, clock))
        self._numbers = 0
        self._requests: dict[str, PlaceRequest] = {}
        self._due: list[tuple[int, int, str, RunOutcome]] = []
        self._joined: dict[int, GatewaySession] = {}
        self._joins_ms: dict[int, int] = {}
        self.begin_leader(0)

    def begin_leader(self, delay_ms: int) -> None:
        """Replace the leader by one that knows nothing; gateways find it within `delay_ms`."""
        self.placer, self._sessions = Placer(self.clock), GatewaySessions(usual_memory())
        turns: PlainSendQueues[GatewaySession] = PlainSendQueues(
            LimitRegistry(self.clock), lambda service: [], lambda *_: True, self.clock
        )
        self._coordinator = RejectionCoordinator(self.placer, turns, self._sessions, self.clock)
        records = [UpstreamRecord(name, "s", f"{name}:80", "dc") for name in self.engines]
        for one in records:
            self.placer.engine_up(one.instance, "s", "dc", SPEC)
        self._coordinator.set_serving(records)
        self._joined = {}
        now_ms = self.clock.now_ms()
        self._joins_ms = {
            at: now_ms + self.rng.randint(0, delay_ms) for at in range(len(self.running))
        }

    def step(self, requests: int) -> None:
        """Let one moment pass, in which callers send so many requests."""
        now_ms = self.clock.now_ms()
        for engine in self.engines.values():
            engine.end_due(now_ms)
        self._release_due(now_ms)
        for at in [one for one, due_ms in self._joins_ms.items() if due_ms <= now_ms]:
            self._join(at)
        for _ in range(requests):
            self._request(self.rng.randrange(len(self.running)))
        for decision in list(self.placer.decide()):
            if isinstance(decision, Grant):
                self._send(
                    int(decision.ticket.partition("/")[0]), decision.ticket, decision.instance
                )
            elif isinstance(decision, Reject):
                self._sessions.release_ticket(decision.ticket)

    def _join(self, at: int) -> None:
        del self._joins_ms[at]
        session = GatewaySession(f"{at}", known_gateways=len(self.running))
        self._sessions.add(session)
        self._joined[at] = session
        self._coordinator.add_gateway(session)
        for report in self._known[at].reports_for_new_leader():
            self._coordinator.record(report)
        for running in self.running[at].reports_for_new_leader():
            self._coordinator.adopt(session, running)
        self.running[at].leader_found()

    def _request(self, at: int) -> None:
        self._numbers += 1
        req = PlaceRequest(
            f"{at}/{self._numbers}", "s", AdapterName("", ""), 10, 10, (), 1, WAIT_MS, WAIT_MS, "dc"
        )
        self._requests[req.ticket] = req
        if at in self._joined:
            self._sessions.assign_ticket(req, self._joined[at], lambda: None)
            self.placer.submit(req)
            return
        for name in self.engines:
            if self.running[at].may_send_without_leader(name):
                self._send(at, req.ticket, name)
                return

    def _send(self, at: int, ticket: str, instance: str) -> None:
        now_ms = self.clock.now_ms()
        engine = self.engines[instance]
        self.running[at].began(self._requests[ticket], instance)
        if len(engine.running) >= BATCH:
            engine.rejected_ms.append(now_ms)
            self._release(at, ticket, RunOutcome.FULL)
            return
        run_ms = self.rng.randint(*RUN_MS)
        engine.running[ticket] = now_ms + run_ms
        engine.served += 1
        leaves = self.rng.random() < LEAVING_FRACTION
        ends_ms = now_ms + (run_ms // 2 if leaves else run_ms)
        outcome = RunOutcome.LEFT if leaves else RunOutcome.DONE
        self._due.append((ends_ms, at, ticket, outcome))

    def _release_due(self, now_ms: int) -> None:
        due = [one for one in self._due if one[0] <= now_ms]
        self._due = [one for one in self._due if one[0] > now_ms]
        for _, at, ticket, outcome in due:
            self._release(at, ticket, outcome)

    def _release(self, at: int, ticket: str, outcome: RunOutcome) -> None:
        self.running[at].ended(ticket)
        if at in self._joined:
            self.placer.release(ticket, outcome)
            self._sessions.release_ticket(ticket)
