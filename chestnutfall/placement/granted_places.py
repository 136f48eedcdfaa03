"""Which engine each granted place is on."""

from __future__ import annotations

from ..clock import Clock
from .engine import Engine
from .place_request import PlaceRequest
from .run_end import note_end
from .run_outcome import RunOutcome
from .run_times import RunTimes
from .suspect_parts import SuspectParts


class GrantedPlaces:
    """The places that requests have on engines, from their grant to their release.

    Parameters
    ----------
    engines : dict of str to Engine
        Engines by instance.
    """

    def __init__(self, engines: dict[str, Engine], suspects: SuspectParts, clock: Clock) -> None:
        self._engines = engines
        self._suspects = suspects
        self._clock = clock
        self._instances: dict[str, str] = {}

    def __contains__(self, ticket: str) -> bool:
        return ticket in self._instances

    def instance_of(self, ticket: str) -> str:
        """The engine of the place that the ticket holds; empty when it holds none."""
        return self._instances.get(ticket, "")

    def note_granted(self, ticket: str, engine: Engine) -> None:
        """Record that a ticket was granted a place, and that its request is sent now."""
        now_ms = self._clock.now_ms()
        engine.prefill.send(ticket, now_ms)
        engine.limit.note_sent(now_ms)
        engine.backoff.note_sent(ticket, now_ms)
        engine.rejections.note_granted(ticket, now_ms)
        self._instances[ticket] = engine.instance

    def adopt(self, req: PlaceRequest, engine: Engine) -> None:
        """Count a request that runs on an engine, placed by the last leader or without one."""
        engine.adopt(req)
        engine.rejections.note_granted(req.ticket, self._clock.now_ms())
        self._instances[req.ticket] = engine.instance
        if (holding := engine.holdings.get(req.adapter)) is not None:
            holding.tickets.add(req.ticket)

    def release(self, ticket: str, outcome: RunOutcome, times: RunTimes) -> None:
        """Free a place after its request ended with `outcome`."""
        engine = self._engines.get(self._instances.pop(ticket, ""))
        if outcome is RunOutcome.BROKEN:
            self._suspects.broke(ticket, self._clock.now_ms())
        self._suspects.ended(ticket)
        if engine is not None and outcome is RunOutcome.DONE:
            engine.learn(ticket, times, self._clock.now_ms())
            engine.backoff.served(ticket)
        req = engine.end(ticket) if engine is not None else None
        if engine is None or req is None:
            return
        if outcome is RunOutcome.DONE and times.first_ms > 0:
            self._suspects.answered(req, self._clock.now_ms())
        note_end(engine, req, outcome, times, self._clock.now_ms())

    def drop_engine(self, engine: Engine) -> None:
        """Forget the places on an engine that is gone."""
        for ticket in engine.running:
            self._instances.pop(ticket, None)
