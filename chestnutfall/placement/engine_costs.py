"""Costs of engines, in ms of expected time to the first event."""

from __future__ import annotations

from collections.abc import Collection

from .active_backoffs import ActiveBackoffs
from .engine import Engine
from .place_request import PlaceRequest
from .prefill_room import PrefillRoom

RUNNING_COST_MS = 2.0
"""Cost of each request that already runs: an engine's step grows with its batch, and prompts share
the step. It also spreads requests over equally good engines."""
BEYOND_BATCH_COST_MS = 200.0
"""Cost of each running request that has to end first. It is several times the time between two ends
at an engine with a small batch: more urgent requests may arrive meanwhile, and a request that is
assigned can't move to another engine that has room sooner."""
RESERVED_COST_MS = 100.0
"""Cost of a reserved place: more than the load of other engines that have a place, less than a wait
until a request ends, so that no place is idle while requests wait."""
OTHER_DATA_CENTRE_COST_MS = 4.0
"""Round trip to another data centre, and the price of its traffic."""
AVOIDED_COST_MS = 5_000.0
"""Makes an engine that failed this request before, or would probably reject it, the last choice,
but keeps it possible."""
STORE_COST_MS = 400.0
"""Cost of a load from the weight store beyond its time, as the store's bandwidth is shared and paid
for. A request may wait this much longer for an engine that has a copy of the adapter."""
RELAY_DELAY_MS = 20.0
"""From a grant at the leader to the engine, and from there to the caller, on a busy gateway."""


class EngineCosts:
    """Costs of the engines of one service during one decision round.

    Costs that do not depend on the request are computed at most once for each round and engine, and
    only for engines that some request could be placed on. After an outage several hundred requests
    wait, and evaluating every engine for each of them would take the leader longer than the
    interval between rounds (3.1 ms of processor time a request with 245 waiting, against 0.5 ms).
    Its answers would then be so late that gateways take the leader for failed and leave it.

    Attributes
    ----------
    ms_per_token : float
        Prefill time of a token on the engine where it takes least.
    """

    def __init__(self, engines: Collection[Engine], backoffs: ActiveBackoffs, now_ms: int) -> None:
        self._backoffs = backoffs
        self._now_ms = now_ms
        schedules = [one.prefill for one in engines]
        self._first_ms = RELAY_DELAY_MS + min((one.first_ms for one in schedules), default=0.0)
        self.ms_per_token = min((one.ms_per_token for one in schedules), default=0.0)
        self._standings: dict[str, tuple[float, PrefillRoom]] = {}
        self._slow_first_ms: dict[str, float] = {}
        self._load_ms: dict[str, tuple[float, float]] = {}

    def first_event_ms(self, req: PlaceRequest) -> float:
        """Time from a grant to the first event, with the adapter loaded and nothing cached."""
        return self._first_ms + req.prompt_tokens * self.ms_per_token

    def forget(self, engine: Engine) -> None:
        """Compute the costs of an engine anew, which was just given a request or a load."""
        self._standings.pop(engine.instance, None)

    def standing(self, engine: Engine) -> tuple[float, PrefillRoom]:
        """Return the part of an engine's cost that no request changes, and its prefill room."""
        known = self._standings.get(engine.instance)
        if known is not None:
            return known
        wait_ms = engine.prefill_wait_ms(self._now_ms)
        slowness = engine.slowness
        cost_ms = wait_ms + engine.health.cost_ms(self._now_ms)
        cost_ms += RUNNING_COST_MS * slowness * len(engine.running)
        if slowness != 1:
            first_ms = engine.prefill.first_ms
            cost_ms += first_ms - first_ms / slowness
            self._slow_first_ms[engine.instance] = RELAY_DELAY_MS + wait_ms + first_ms
        self._standings[engine.instance] = cost_ms, engine.prefill_room(self._now_ms)
        return self._standings[engine.instance]

    def is_too_slow(self, engine: Engine, prefill_ms: float, objective_ms: float) -> bool:
        """Whether the first event would be late there because of the engine's own speed.

        A request that can be in time elsewhere waits for that. Engines as fast as their service are
        not looked at: whether these can be in time was decided for all of them together.

        Parameters
        ----------
        prefill_ms : float
            Time of the load that the request waits for, and of its own prefill.
        """
        slow_first_ms = self._slow_first_ms.get(engine.instance)
        return slow_first_ms is not None and slow_first_ms + prefill_ms > objective_ms

    def cost_ms(self, req: PlaceRequest, engine: Engine) -> float:
        """Expected time to the first event without prefill and load."""
        cost_ms = self.standing(engine)[0]
        if engine.data_centre != req.data_centre:
            cost_ms += OTHER_DATA_CENTRE_COST_MS
        is_cut = engine.reach.is_cut_from(req.gateway, self._now_ms)
        if engine.instance in req.avoid or is_cut or self._backoffs.probably_rejects(engine):
            cost_ms += AVOIDED_COST_MS
        return cost_ms

    def least_with_load_ms(self, engine: Engine) -> float:
        """Cost of a load from the store without prefill, reloads and what a request adds."""
        load_ms = self.expected_load_ms(engine, False)
        cost_ms = self.standing(engine)[0] + STORE_COST_MS
        return cost_ms + max(load_ms, batch_wait_ms(engine))

    def expected_load_ms(self, engine: Engine, from_copy: bool) -> float:
        """Time of a load, computed once for each engine."""
        if engine.instance not in self._load_ms:
            expected = engine.load_time.expected_ms
            self._load_ms[engine.instance] = expected(from_copy=False), expected(from_copy=True)
        return self._load_ms[engine.instance][from_copy]


def batch_wait_ms(engine: Engine) -> float:
    """Cost of the requests that have to end before one more can start, or of a reserved place."""
    if engine.beyond_batch:
        return engine.beyond_batch * BEYOND_BATCH_COST_MS
    return RESERVED_COST_MS if engine.has_only_reserved_places else 0.0
