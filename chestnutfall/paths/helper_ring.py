"""Which gateways help which others."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice
from zlib import crc32

HELPERS = 4
"""Helpers that each gateway knows: with two of them in another data centre and two in its own, one
is left when a whole data centre and a further helper are lost."""
OWN_DATA_CENTRE_HELPERS = 2
MAX_LOOKED_AT = 64
"""Gateways looked at in search of the helpers of one. Among so many, both data centres occur, and
the time for four hundred gateways stays at some milliseconds."""


@dataclass(frozen=True, slots=True)
class RingGateway:
    """A gateway as the ring sees it.

    Attributes
    ----------
    address : str
        Address for the internal protocol; empty if it sends no calls for others.
    can_help : bool
        Whether it reaches upstreams and is not about to end.
    """

    name: str
    address: str
    data_centre: str
    can_help: bool = True


def helpers_of_all(gateways: Iterable[RingGateway]) -> Mapping[str, tuple[str, ...]]:
    """Return the addresses of the helpers of each gateway, by its name.

    The helpers of a gateway are its successors in an order by hash. Each gateway therefore helps
    about as many others as help it, and one that comes or goes changes the helpers of a few only.
    """
    ring = sorted(gateways, key=lambda one: (crc32(one.name.encode()), one.name))
    able = [one for one in ring if one.can_help and one.address]
    places = {one.name: place for place, one in enumerate(able)}
    helpers: dict[str, tuple[str, ...]] = {}
    place = 0
    for one in ring:
        place = places.get(one.name, place)
        helpers[one.name] = _helpers(one, able, place)
        if one.name in places:
            place += 1
    return helpers


def _helpers(gateway: RingGateway, able: Sequence[RingGateway], place: int) -> tuple[str, ...]:
    count = len(able)
    successors = [able[(place + at) % count] for at in range(min(count, MAX_LOOKED_AT))]
    others = [one for one in successors if one.name != gateway.name]
    near = [one for one in others if one.data_centre == gateway.data_centre]
    far = [one for one in others if one.data_centre != gateway.data_centre]
    chosen = [*near[:OWN_DATA_CENTRE_HELPERS], *far]
    chosen += near[OWN_DATA_CENTRE_HELPERS:]
    return tuple(one.address for one in islice(chosen, HELPERS))
