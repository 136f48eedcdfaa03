"""One pass over the calls that wait for the upstreams of a plain service."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from ..concurrency.pace import Pace
from ..concurrency.service_room import ServiceRoom
from ..concurrency.turn_messages import AskTurn
from ..concurrency.waiting_call import WaitingCall
from .upstream_limit import UpstreamLimit

NO_UPSTREAM_RETRY_MS = 300
"""A plain upstream is found again with its next heartbeat or answer."""

Gateway = TypeVar("Gateway")
"""Identifies one gateway; compared for equality, hashable."""


class TurnRound(Generic[Gateway]):
    """The upstreams that take calls in one pass over a queue."""

    def __init__(
        self,
        limits: dict[str, UpstreamLimit],
        room: ServiceRoom[Gateway] | None,
        may_send: Callable[[Gateway, str], bool],
        now_ms: int,
    ) -> None:
        self._limits = limits
        self._room = room
        self._may_send = may_send
        self._now_ms = now_ms
        self._places: dict[str, float] = dict.fromkeys(limits, math.inf)
        if room is not None:
            self._places = dict(room.free(now_ms))
        self._free = {
            one for one, limit in limits.items() if one in self._places and self._may_go(limit)
        }

    @property
    def any_free(self) -> bool:
        """Whether any upstream takes a call now."""
        return bool(self._free)

    def _may_go(self, limit: UpstreamLimit) -> bool:
        return not limit.wait_ms(0, self._now_ms)

    def choose(self, call: WaitingCall[Gateway]) -> str:
        """Return the upstream that takes a call now; empty if there is none."""
        allowed = [one for one in self._free if self._allows(one, call)]
        return min(allowed, key=lambda one: self._preference(one, call.asked), default="")

    def _allows(self, instance: str, call: WaitingCall[Gateway]) -> bool:
        if not self._may_send(call.gateway, instance):
            return False
        if self._room is None:
            return True
        return self._room.may_take(instance, call.asked.idempotent, self._now_ms)

    def _preference(self, instance: str, asked: AskTurn) -> tuple[bool, bool, float, str]:
        """Sort key: not one that failed this call, the cheapest, the one with most sends left.

        Gateways whose service has room send to upstreams without a limit on their own.
        """
        limit = self._limits[instance]
        if self._room is None:
            level = limit.level(self._now_ms)
            return instance in asked.avoid, limit.per_s is None, -level, instance
        cost_ms = self._room.cost_ms(instance, self._now_ms)
        return instance in asked.avoid, False, cost_ms, instance

    def give(self, call: WaitingCall[Gateway], instance: str) -> None:
        """Count a call for the upstream that takes it."""
        limit = self._limits[instance]
        limit.note_sent(self._now_ms)
        if self._room is not None:
            asked = call.asked
            left_ms = asked.left_ms or asked.wait_ms
            self._room.give(call.gateway, asked.number, instance, left_ms, self._now_ms)
            self._places[instance] -= 1
        if self._places[instance] <= 0 or not self._may_go(limit):
            self._free.discard(instance)

    def pace(self) -> Pace:
        """When the upstreams take the calls that are left."""
        if not self._limits:
            return Pace(NO_UPSTREAM_RETRY_MS, math.inf)
        if self._room is None:
            return _limit_pace(self._limits.values(), self._now_ms)
        per_ms = {
            one: min(rate, _per_ms(self._limits[one]))
            for one, rate in self._room.per_ms(self._now_ms).items()
        }
        total = sum(per_ms.values())
        return Pace(0.0 if self._free or not total else 1 / total, total)


def _limit_pace(limits: Iterable[UpstreamLimit], now_ms: int) -> Pace:
    """The pace of upstreams of which some declare a limit; the others don't count."""
    limited = [limit for limit in limits if limit.per_s is not None]
    if not limited:
        return Pace(NO_UPSTREAM_RETRY_MS, math.inf)
    first_ms = min(limit.wait_ms(0, now_ms) for limit in limited)
    return Pace(first_ms, sum(_per_ms(limit) for limit in limited))


def _per_ms(limit: UpstreamLimit) -> float:
    return limit.per_s / 1000 if limit.per_s is not None else math.inf
