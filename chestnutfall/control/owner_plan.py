"""Assignment of engines to gateways."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

import mmh3


def plan_owners(
    engines: Iterable[str], gateways: Iterable[str], present: Mapping[str, str]
) -> dict[str, str]:
    """Spread `engines` evenly over `gateways`, and move as few engines as possible.

    Parameters
    ----------
    engines : iterable of str
        Live engines.
    gateways : iterable of str
        Sessions of the gateways that may own engines.
    present : mapping
        Current owner by engine.

    Returns
    -------
    dict
        Owner by engine. The number of engines per gateway differs by at most one. Empty if there
        are no gateways.
    """
    names = sorted(set(gateways))
    wanted = sorted(set(engines))
    if not names:
        return {}
    floor, extra = divmod(len(wanted), len(names))
    owned = Counter(owner for engine in wanted if (owner := present.get(engine)) in names)
    fullest_first = sorted(names, key=lambda name: (-owned[name], name))
    quota = {name: floor + (place < extra) for place, name in enumerate(fullest_first)}
    plan: dict[str, str] = {}
    for engine, owner in _kept(wanted, present, quota):
        plan[engine] = owner
    room = {name: quota[name] - sum(o == name for o in plan.values()) for name in names}
    for engine in wanted:
        if engine not in plan:
            plan[engine] = _preferred(engine, room)
            room[plan[engine]] -= 1
    return plan


def _kept(
    engines: list[str], present: Mapping[str, str], quota: Mapping[str, int]
) -> Iterator[tuple[str, str]]:
    """Yield the engines that stay with their owner, at most `quota` per owner, and that owner."""
    left = dict(quota)
    for engine in engines:
        owner = present.get(engine, "")
        if left.get(owner, 0) > 0:
            left[owner] -= 1
            yield engine, owner


def _preferred(engine: str, room: Mapping[str, int]) -> str:
    """Return the gateway with free capacity that has the highest rendezvous hash for the engine."""
    open_names = [name for name, left in room.items() if left > 0]
    return max(open_names, key=lambda name: mmh3.hash64(f"{engine}|{name}", signed=False)[0])
