"""Bound on the engines that process long prompts while short ones wait."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from .engine import Engine
from .place_request import PlaceRequest
from .prompt_cache import Prefixes

LONG_FACTOR = 4.0
"""A prompt is long if it needs as much prefill as so many usual prompts: those that arrive at the
engine meanwhile wait for it."""
ENGINE_SHARE = 0.5
"""Part of a service's engines, one at least, that process long prompts at a time."""
USUAL_STEP = 0.03
"""Each prompt moves the usual size by this part; a size that is wrong by half is corrected after
about thirty prompts."""


@dataclass(frozen=True, slots=True)
class _BusyEngine:
    """An engine that was assigned a long prompt, and when it will have processed it."""

    instance: str
    until_ms: float


class LongPrompts:
    """Which prompts are long, and which engines are busy with one.

    Prompts spread over all engines by load. As long prompts take ten times as long as others, a few
    of them a second then occupy every engine, and every short prompt waits behind one. While no
    short prompt waits, they may use all engines.
    """

    def __init__(self) -> None:
        self._usual_tokens: dict[str, float] = {}
        self._busy: dict[str, _BusyEngine] = {}
        self._services_short: set[str] = set()
        self._kept_waiting: set[str] = set()

    def note_prompt(self, service: str, tokens: int) -> None:
        """Count an arriving prompt for the usual size, which is about the median."""
        usual = self._usual_tokens.setdefault(service, max(float(tokens), 1.0))
        step = 1 + USUAL_STEP if tokens > usual else 1 - USUAL_STEP
        self._usual_tokens[service] = max(usual * step, 1.0)

    def begin_round(self) -> None:
        """Take over which services kept a short prompt waiting in the last round."""
        self._services_short = self._kept_waiting
        self._kept_waiting = set()

    def note_waiting(self, req: PlaceRequest) -> None:
        """Record that a request is kept waiting for its engine, or for its turn there."""
        if req.service not in self._kept_waiting and not self._is_long(
            req.service, req.prompt_tokens
        ):
            self._kept_waiting.add(req.service)

    def note_assigned(self, req: PlaceRequest, engine: Engine, load_ms: float, now_ms: int) -> None:
        """Record that a request was assigned to an engine.

        Parameters
        ----------
        load_ms : float
            Time until the engine has the adapter.
        """
        if not self._is_long(req.service, req.prompt_tokens):
            return
        self._drop_expired(now_ms)
        until_ms = now_ms + load_ms + engine.prefill_wait_ms(now_ms)
        self._busy[req.ticket] = _BusyEngine(engine.instance, until_ms)

    def note_unassigned(self, ticket: str) -> None:
        """Record that a request lost its engine before it was sent."""
        self._busy.pop(ticket, None)

    def barred(
        self, req: PlaceRequest, prefixes: Prefixes, engines: Collection[Engine], now_ms: int
    ) -> Collection[str]:
        """Return the instances that may not be given this request now."""
        service = req.service
        if service not in self._services_short or not self._is_long(service, req.prompt_tokens):
            return ()
        self._drop_expired(now_ms)
        long_at = {
            engine.instance
            for engine in engines
            if self._is_long(
                service, engine.prompt_cache.missing_tokens(req.prompt_tokens, prefixes)
            )
        }
        busy_instances = {one.instance for one in self._busy.values()}
        busy = [one.instance for one in engines if one.instance in busy_instances]
        if len(busy) >= math.ceil(ENGINE_SHARE * len(engines)):
            return long_at
        return long_at.intersection(busy)

    def _drop_expired(self, now_ms: int) -> None:
        self._busy = {ticket: one for ticket, one in self._busy.items() if one.until_ms > now_ms}

    def _is_long(self, service: str, tokens: float) -> bool:
        return tokens > LONG_FACTOR * self._usual_tokens.get(service, math.inf)
