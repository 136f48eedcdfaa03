"""Queues of calls to the limited upstreams of plain services, kept by the leader."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from ..clock import Clock
from ..quota.fair_share import FairShare
from ..quota.retry_schedule import RetrySchedule
from .limit_registry import LimitRegistry
from .messages import AnswerTurn, AskTurn
from .upstream_limit import UpstreamLimit

NO_UPSTREAM_RETRY_MS = 300
"""A plain upstream is found again with its next heartbeat or answer."""
MAX_WAITING_CALLS = 4_096
"""Calls that wait per service; more can't be served within any call's time."""


Gateway = TypeVar("Gateway")
"""Identifies one gateway; compared for equality."""


@dataclass(frozen=True, slots=True)
class _QueuedCall(Generic[Gateway]):
    """A call that waits for a limited upstream.

    Attributes
    ----------
    since_ms : int
        Clock time at which it was queued.
    tag : float
        Its start tag from `FairShare`, which orders the calls of all organisations.
    """

    asked: AskTurn
    gateway: Gateway
    since_ms: int
    tag: float

    @property
    def order(self) -> tuple[int, float, int]:
        """Sort key: urgency, then the least served organisation, then time of arrival."""
        return self.asked.rank, self.tag, self.since_ms


@dataclass(frozen=True, slots=True)
class AddressedAnswer(Generic[Gateway]):
    """An answer and the gateway that it goes to."""

    gateway: Gateway
    answer: AnswerTurn


class PlainSendQueues(Generic[Gateway]):
    """Decides which call goes next to the limited upstreams of each plain service.

    Parameters
    ----------
    serving : callable
        Returns the instances of a service that serve at present.
    may_send : callable
        Whether a gateway may send to an instance, given its backoffs.
    """

    def __init__(
        self,
        limits: LimitRegistry,
        serving: Callable[[str], Sequence[str]],
        may_send: Callable[[Gateway, str], bool],
        clock: Clock,
    ) -> None:
        self._limits = limits
        self._serving = serving
        self._may_send = may_send
        self._clock = clock
        self._queues: dict[str, list[_QueuedCall[Gateway]]] = {}
        self._shares: dict[str, FairShare] = {}
        self._retry_schedule = RetrySchedule()

    @property
    def waiting(self) -> int:
        """Number of queued calls over all services."""
        return sum(len(queue) for queue in self._queues.values())

    def enqueue(self, asked: AskTurn, gateway: Gateway) -> None:
        """Queue a call; a later `due` yields its answer."""
        queue = self._queues.setdefault(asked.service, [])
        share = self._shares.setdefault(asked.service, FairShare())
        tag = share.tag(asked.organisation, 1)
        queue.append(_QueuedCall(asked, gateway, self._clock.now_ms(), tag))

    def drop_gateway(self, gateway: Gateway) -> None:
        """Drop the calls of a gateway whose session ended."""
        for service, queue in self._queues.items():
            self._queues[service] = [one for one in queue if one.gateway != gateway]

    def due(self) -> Iterator[AddressedAnswer[Gateway]]:
        """Yield the answers that can be given now, and remove their calls from the queues."""
        for service in list(self._queues):
            yield from self._due_of(service)
            if not self._queues[service]:
                del self._queues[service]

    def _due_of(self, service: str) -> Iterator[AddressedAnswer[Gateway]]:
        now_ms = self._clock.now_ms()
        limits = {
            one: self._limits.ensure(one, counts_sends=False) for one in self._serving(service)
        }
        free = {one: limit for one, limit in limits.items() if not limit.wait_ms(0, now_ms)}
        in_order: list[_QueuedCall[Gateway]] = []
        for waiting in sorted(self._queues[service], key=lambda one: one.order):
            instance = self._best(waiting, free, now_ms) if free else ""
            if not instance:
                in_order.append(waiting)
                continue
            limits[instance].note_sent(now_ms)
            if limits[instance].wait_ms(0, now_ms):
                del free[instance]
            self._shares[service].served(waiting.tag)
            yield AddressedAnswer(waiting.gateway, AnswerTurn(waiting.asked.number, instance))
        yield from self._keep_or_refuse(
            service, in_order, _SendSchedule.of(limits.values(), now_ms), now_ms
        )

    def _best(
        self, waiting: _QueuedCall[Gateway], free: dict[str, UpstreamLimit], now_ms: int
    ) -> str:
        """Return the upstream with most sends left; one that failed this call comes last.

        Empty if the gateway may send to none of them.
        """
        allowed = [one for one in free if self._may_send(waiting.gateway, one)]
        avoid = waiting.asked.avoid
        return max(allowed, key=lambda one: _preference(one, free[one], avoid, now_ms), default="")

    def _keep_or_refuse(
        self,
        service: str,
        in_order: list[_QueuedCall[Gateway]],
        schedule: _SendSchedule,
        now_ms: int,
    ) -> Iterator[AddressedAnswer[Gateway]]:
        """Keep the calls that are expected to be sent in time, and yield refusals of the others."""
        left: list[_QueuedCall[Gateway]] = []
        for waiting in in_order:
            asked = waiting.asked
            wait_ms = schedule.first_ms + len(left) * schedule.interval_ms
            has_time = now_ms + wait_ms <= waiting.since_ms + asked.wait_ms
            if has_time and len(left) < MAX_WAITING_CALLS:
                left.append(waiting)
                continue
            retry_ms = int(wait_ms)
            if asked.wait_ms:
                retry_ms = self._retry_schedule.wait_ms(
                    service, wait_ms, schedule.interval_ms, now_ms
                )
            yield AddressedAnswer(waiting.gateway, AnswerTurn(asked.number, "", retry_ms))
        self._queues[service] = left


@dataclass(frozen=True, slots=True)
class _SendSchedule:
    """When a service's limited upstreams accept the next sends.

    Attributes
    ----------
    first_ms : float
        Time until the next send.
    interval_ms : float
        Mean time between later sends.
    """

    first_ms: float
    interval_ms: float

    @staticmethod
    def of(limits: Iterable[UpstreamLimit], now_ms: int) -> _SendSchedule:
        """The schedule of some upstreams together; those without a limit don't count."""
        limited = [limit for limit in limits if limit.per_s is not None]
        if not limited:
            return _SendSchedule(NO_UPSTREAM_RETRY_MS, 0)
        per_s = sum(limit.per_s or 0.0 for limit in limited)
        return _SendSchedule(min(limit.wait_ms(0, now_ms) for limit in limited), 1000 / per_s)


def _preference(
    instance: str, limit: UpstreamLimit, avoid: tuple[str, ...], now_ms: int
) -> tuple[bool, bool, float]:
    # Gateways send to upstreams without a limit on their own, and ask here for the limited ones.
    return instance not in avoid, limit.per_s is not None, limit.level(now_ms)
