"""Tickets from the owners of engines."""

from __future__ import annotations

from ..clock import Clock
from ..membership import GatewayAgent, Upstream, UpstreamRegistry
from ..observability.metrics import Metrics
from ..ownership import TicketGrant, TicketRefusal, TicketRequest
from ..ownership.engine_send_limit import LIMITED
from ..peers import PeerLinks
from ..requests import CallerRequest, Executed, Refusal
from ..signals import BACKING_OFF
from ..signals.known_signals import KnownSignals
from .attempt import Attempt
from .engine_choice import engine_candidates

OWNER_WAIT_MS = 5000
"""How long a request waits for an engine to get an owner."""
OWNER_POLL_MS = 100
RETRY_AFTER_MS = 1000
_OWNER_CODES = frozenset(
    {"no_owner", "not_owner", "owner_changed", "owner_unreachable", "owner_silent"}
)


class Tickets:
    """Selects an engine for an attempt and gets a ticket from the engine's owner."""

    def __init__(
        self,
        agent: GatewayAgent,
        registry: UpstreamRegistry,
        links: PeerLinks,
        signals: KnownSignals,
        clock: Clock,
        metrics: Metrics,
        data_centre: str,
    ) -> None:
        self._agent = agent
        self._registry = registry
        self._links = links
        self._signals = signals
        self._clock = clock
        self._metrics = metrics
        self._data_centre = data_centre

    async def acquire(self, req: CallerRequest, attempt: Attempt) -> Upstream:
        """Return the engine whose owner granted a ticket.

        Raises
        ------
        Refusal
            When no engine takes the request in time; nothing ran.
        """
        asked_ms = self._clock.now_ms()
        attempt_id = attempt.attempt_id
        while True:
            self.refuse_if_held_back(req, Executed.NO)
            refusal = TicketRefusal(attempt_id, "no_engine", RETRY_AFTER_MS)
            for engine in self._candidates(req, attempt):
                outcome = await self._ask(req, attempt_id, engine)
                if isinstance(outcome, TicketGrant):
                    return engine
                refusal = _earlier_refusal(refusal, outcome)
                if outcome.code not in _OWNER_CODES and outcome.code != LIMITED:
                    break
            waited_ms = self._clock.now_ms() - asked_ms
            # An engine has no owner only for a few seconds while ownership moves, so these refusals
            # are retried. All other refusals are final, and the caller gets a retry time at once.
            moving = refusal.code in _OWNER_CODES or refusal.code == "no_engine"
            late = self._clock.now_ms() + OWNER_POLL_MS >= req.deadline_ms
            if (
                not moving
                or waited_ms > OWNER_WAIT_MS
                or late
                or not self._any_engine(req, attempt)
            ):
                self._metrics.count(f"refused.{refusal.code}")
                message = f"no engine took the request: {refusal.code}"
                wait_ms = refusal.retry_after_ms or RETRY_AFTER_MS
                raise Refusal(503, refusal.code, message, Executed.NO, wait_ms)
            await self._clock.sleep_ms(OWNER_POLL_MS)

    def refuse_if_held_back(self, req: CallerRequest, executed: Executed) -> None:
        """Refuse a request if all engines of its service are backing off.

        Parameters
        ----------
        executed : Executed
            Whether previous attempts may have run the request.

        Raises
        ------
        Refusal
            With `executed` and a retry time.
        """
        serving = self._registry.serving(req.service)
        held_back_ms = self._signals.held_back_ms(one.instance for one in serving)
        if not held_back_ms:
            return
        self._metrics.count(f"refused.{BACKING_OFF}")
        status = 503 if executed is Executed.NO else 502
        wait_ms = self._signals.caller_retry_ms(req.service, held_back_ms)
        raise Refusal(status, BACKING_OFF, "no engine wants work now", executed, wait_ms)

    def _any_engine(self, req: CallerRequest, attempt: Attempt) -> bool:
        return any(True for _ in self._serving(req, attempt))

    def _serving(self, req: CallerRequest, attempt: Attempt) -> list[Upstream]:
        serving = self._registry.serving(req.service)
        return [one for one in serving if one.name not in attempt.excluded]

    def _candidates(self, req: CallerRequest, attempt: Attempt) -> list[Upstream]:
        serving = self._serving(req, attempt)
        found = engine_candidates(
            (one for one in serving if self._signals.may_send(one.instance)),
            self._links.views(),
            req.model,
            self._data_centre,
            self._agent.config.limits.running_per_engine,
        )
        return sorted(found, key=lambda one: one.name in attempt.avoid)

    async def _ask(
        self, req: CallerRequest, attempt_id: str, engine: Upstream
    ) -> TicketGrant | TicketRefusal:
        wait_ms = max(req.deadline_ms - self._clock.now_ms(), 0)
        limit = self._signals.limits.report_for_owner(engine.instance)
        ticket = TicketRequest(
            attempt_id, engine.name, req.model, req.priority.rank, wait_ms, limit
        )
        return await self._links.acquire(ticket)


def _earlier_refusal(before: TicketRefusal, now: TicketRefusal) -> TicketRefusal:
    """Return the later refusal, or the one with the earlier retry if rate limits caused both."""
    if before.code != LIMITED or now.code != LIMITED:
        return now
    return min(before, now, key=lambda one: one.retry_after_ms)
