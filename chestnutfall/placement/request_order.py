"""Order in which the requests of one round are placed and sent."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .service_round import ServiceRound
from .waiting_request import WaitingRequest


def in_order(
    waiting: Iterable[WaitingRequest], rounds: Mapping[str, ServiceRound]
) -> list[WaitingRequest]:
    """Return the requests in the order in which they are placed.

    Requests that their class is owed go first, then the order is that of
    `WaitingRequest.sort_key`. The key of each request is computed once.
    """
    by_urgency = sorted(waiting, key=lambda one: rounds[one.req.service].sort_key(one))
    if not any(service_round.owes for service_round in rounds.values()):
        return by_urgency
    owed: list[WaitingRequest] = []
    others: list[WaitingRequest] = []
    for one in by_urgency:
        target = owed if rounds[one.req.service].take_owed(one) else others
        target.append(one)
    return owed + others
