"""Which gateways help which others."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
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

    The helpers of a gateway that is not cut off are its successors in an order by hash. It needs
    them only if it loses its links and its leader at once, and one gateway that comes or goes
    changes those of a few others. Gateways that are cut off are dealt out evenly to the others, so
    that these get equal parts of their calls.
    """
    ring = in_order(gateways)
    able = [one for one in ring if one.can_help and one.address]
    cut_off = [one for one in ring if not one.can_help]
    helpers = {one.name: _successors(able, place) for place, one in enumerate(able)}
    helpers.update(_dealt_out(cut_off, able))
    helpers.update((one.name, ()) for one in ring if one.name not in helpers)
    return helpers


def dealt_out(
    cut_off: Sequence[RingGateway], able: Sequence[RingGateway]
) -> Mapping[str, tuple[str, ...]]:
    """Return the helpers of gateways that are cut off, by name, dealt out evenly to them.

    Parameters
    ----------
    cut_off, able : sequence of RingGateway
        Both as `in_order` returns them, so that every process deals out the same.
    """
    return dict(_dealt_out(cut_off, able))


def in_order(gateways: Iterable[RingGateway]) -> list[RingGateway]:
    """Return gateways in an order that only their names decide."""
    return sorted(gateways, key=lambda one: (crc32(one.name.encode()), one.name))


def _successors(able: Sequence[RingGateway], place: int) -> tuple[str, ...]:
    count = len(able)
    gateway = able[place]
    others = [able[(place + at) % count] for at in range(1, min(count, MAX_LOOKED_AT))]
    near = [one for one in others if one.data_centre == gateway.data_centre]
    far = [one for one in others if one.data_centre != gateway.data_centre]
    chosen = [*near[:OWN_DATA_CENTRE_HELPERS], *far, *near[OWN_DATA_CENTRE_HELPERS:]]
    return tuple(one.address for one in islice(chosen, HELPERS))


def _dealt_out(
    cut_off: Sequence[RingGateway], able: Sequence[RingGateway]
) -> Iterator[tuple[str, tuple[str, ...]]]:
    """Yield the helpers of each gateway that is cut off.

    They are in its own data centre if at least as many gateways there help as are cut off.
    """
    near: dict[str, list[RingGateway]] = {}
    for one in able:
        near.setdefault(one.data_centre, []).append(one)
    lost = Counter(one.data_centre for one in cut_off)
    numbers: Counter[str] = Counter()
    for one in cut_off:
        place = one.data_centre
        pool = near.get(place, [])
        if len(pool) < lost[place]:
            place, pool = "", list(able)
        yield one.name, _spread(pool, numbers[place])
        numbers[place] += 1


def _spread(pool: Sequence[RingGateway], number: int) -> tuple[str, ...]:
    """Return helpers that lie as far apart in the pool as they can, from its place `number` on."""
    count = min(HELPERS, len(pool))
    step = len(pool) // count if count else 0
    return tuple(pool[(number + at * step) % len(pool)].address for at in range(count))
