"""Order in which the requests of one round are placed and sent."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .queue import Queue
from .service_round import ServiceRound
from .waiting_request import WaitingRequest


def in_order(
    waiting: Iterable[WaitingRequest], rounds: Mapping[Queue, ServiceRound]
) -> list[WaitingRequest]:
    """Return the requests in the order in which they are placed.

    Requests that their class is owed go first, then the order is that of
    `WaitingRequest.sort_key`. The key of each request is computed once.
    """
    by_urgency = sorted(waiting, key=lambda one: rounds[one.queue].sort_key(one))
    if not any(service_round.owes for service_round in rounds.values()):
        return by_urgency
    owed: list[WaitingRequest] = []
    others: list[WaitingRequest] = []
    for one in by_urgency:
        target = owed if rounds[one.queue].take_owed(one) else others
        target.append(one)
    return owed + others
