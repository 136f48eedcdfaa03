"""Whose call goes next to a plain service's upstreams that name limits."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from ..clock import Clock
from ..quota.fair_share import FairShare
from ..quota.return_times import ReturnTimes
from .limit_book import LimitBook
from .messages import AnswerTurn, AskTurn
from .upstream_limit import UpstreamLimit

NO_UPSTREAM_MS = 300
"""A plain upstream is found again with its next heartbeat or answer."""
MOST_WAITING = 4_096
"""Calls that wait here at a time; more can't be served within any call's time."""


Gateway = TypeVar("Gateway")
"""Whatever tells one gateway from another."""


@dataclass(frozen=True, slots=True)
class _Waiting(Generic[Gateway]):
    """A call in the queue.

    Attributes
    ----------
    tag : float
        Its place among all organisations' calls, by `FairShare`.
    """

    asked: AskTurn
    gateway: Gateway
    since_ms: int
    tag: float

    @property
    def order(self) -> tuple[int, float, int]:
        """Most urgent first, then the least served organisation, then first come."""
        return self.asked.rank, self.tag, self.since_ms


@dataclass(frozen=True, slots=True)
class Turn(Generic[Gateway]):
    """An answer for a gateway."""

    gateway: Gateway
    answer: AnswerTurn


class PlainTurns(Generic[Gateway]):
    """One queue for each service.

    Parameters
    ----------
    serving : callable
        Instances of a service that take work now.
    may_send : callable
        Whether an instance wants work from a gateway.
    """

    def __init__(
        self,
        book: LimitBook,
        serving: Callable[[str], Sequence[str]],
        may_send: Callable[[Gateway, str], bool],
        clock: Clock,
    ) -> None:
        self._book = book
        self._serving = serving
        self._may_send = may_send
        self._clock = clock
        self._queues: dict[str, list[_Waiting[Gateway]]] = {}
        self._shares: dict[str, FairShare] = {}
        self._return_times = ReturnTimes()

    @property
    def waiting(self) -> int:
        """Calls that wait."""
        return sum(len(queue) for queue in self._queues.values())

    def ask(self, asked: AskTurn, gateway: Gateway) -> None:
        """Queue a call; `due` answers it."""
        queue = self._queues.setdefault(asked.service, [])
        share = self._shares.setdefault(asked.service, FairShare())
        tag = share.tag(asked.organisation, 1)
        queue.append(_Waiting(asked, gateway, self._clock.now_ms(), tag))

    def forget(self, gateway: Gateway) -> None:
        """Drop the calls of a gateway that is gone."""
        for service, queue in self._queues.items():
            self._queues[service] = [one for one in queue if one.gateway != gateway]

    def due(self) -> Iterator[Turn[Gateway]]:
        """Yield the answers that can be given now."""
        for service in list(self._queues):
            yield from self._due_of(service)
            if not self._queues[service]:
                del self._queues[service]

    def _due_of(self, service: str) -> Iterator[Turn[Gateway]]:
        now_ms = self._clock.now_ms()
        limits = {one: self._book.of(one, counts_sends=False) for one in self._serving(service)}
        free = {one: limit for one, limit in limits.items() if not limit.wait_ms(0, now_ms)}
        in_order: list[_Waiting[Gateway]] = []
        for waiting in sorted(self._queues[service], key=lambda one: one.order):
            instance = self._best(waiting, free, now_ms) if free else ""
            if not instance:
                in_order.append(waiting)
                continue
            limits[instance].note_sent(now_ms)
            if limits[instance].wait_ms(0, now_ms):
                del free[instance]
            self._shares[service].served(waiting.tag)
            yield Turn(waiting.gateway, AnswerTurn(waiting.asked.number, instance))
        yield from self._left_of(service, in_order, _Queue.before(limits.values(), now_ms), now_ms)

    def _best(self, waiting: _Waiting[Gateway], free: dict[str, UpstreamLimit], now_ms: int) -> str:
        """The upstream with most room, one that failed the call only if no other has any."""
        wants = [one for one in free if self._may_send(waiting.gateway, one)]
        avoid = waiting.asked.avoid
        return max(wants, key=lambda one: _worth(one, free[one], avoid, now_ms), default="")

    def _left_of(
        self, service: str, in_order: list[_Waiting[Gateway]], queue: _Queue, now_ms: int
    ) -> Iterator[Turn[Gateway]]:
        """Keep those that can wait, and yield the others' answers."""
        left: list[_Waiting[Gateway]] = []
        for waiting in in_order:
            asked = waiting.asked
            wait_ms = queue.first_ms + len(left) * queue.step_ms
            has_time = now_ms + wait_ms <= waiting.since_ms + asked.wait_ms
            if has_time and len(left) < MOST_WAITING:
                left.append(waiting)
                continue
            retry_ms = int(wait_ms)
            if asked.wait_ms:
                retry_ms = self._return_times.wait_ms(service, wait_ms, queue.step_ms, now_ms)
            yield Turn(waiting.gateway, AnswerTurn(asked.number, "", retry_ms))
        self._queues[service] = left


@dataclass(frozen=True, slots=True)
class _Queue:
    """How a queue before limited upstreams moves: time to the next send, and between two."""

    first_ms: float
    step_ms: float

    @staticmethod
    def before(limits: Iterable[UpstreamLimit], now_ms: int) -> _Queue:
        """The queue before some upstreams, of which those without a limit don't count."""
        limited = [limit for limit in limits if limit.per_s is not None]
        if not limited:
            return _Queue(NO_UPSTREAM_MS, 0)
        per_s = sum(limit.per_s or 0.0 for limit in limited)
        return _Queue(min(limit.wait_ms(0, now_ms) for limit in limited), 1000 / per_s)


def _worth(
    instance: str, limit: UpstreamLimit, avoid: tuple[str, ...], now_ms: int
) -> tuple[bool, bool, float]:
    # Gateways send to those without a limit by themselves; they ask here for the others.
    return instance not in avoid, limit.per_s is not None, limit.level(now_ms)
