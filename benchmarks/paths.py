"""Ways to serve callers of gateways that are cut off from upstreams, on plain data.

`python -m benchmarks.paths` compares, for several sizes and cuts:

- helpers: a gateway that is cut off lets others send its calls;
- readiness: it reports "not ready", and a balancer that asks each second sends new connections
  elsewhere after two failed checks, unless over half of its data centre is out;
- placing: the leader gives each call an upstream that its gateway reaches.

It prints the share of the calls at gateways that are cut off that can be sent from 3 s after the
cut began, the most calls of others per helper for one of its own, and the messages that a cut
costs.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace

from chestnutfall.paths.helper_ring import RingGateway, helpers_of_all

SIZES = (9, 91, 195, 410)
DATA_CENTRES = 3
UPSTREAMS = 12
KEPT_CONNECTIONS = 0.8
"""Part of the calls that come over connections that clients keep open."""
PARTIAL_CUT = 0.6
"""Part of the upstreams that each gateway of a partial cut doesn't reach."""
CALLS = 2_000


@dataclass(frozen=True, slots=True)
class _Cut:
    """Gateways that are cut off, by their numbers, from a part of the upstreams each."""

    name: str
    gateways: frozenset[int]
    part: float = 1.0


def _cuts(count: int, rng: random.Random) -> Iterator[_Cut]:
    everyone = range(count)
    yield _Cut("one gateway", frozenset({0}))
    yield _Cut("one data centre", frozenset(at for at in everyone if at % DATA_CENTRES == 0))
    yield _Cut("two thirds, drawn", frozenset(rng.sample(everyone, 2 * count // 3)))
    yield _Cut("all but one", frozenset(range(1, count)))
    yield _Cut("all", frozenset(everyone))
    yield _Cut("two thirds, each 0.6 of the upstreams", _two_thirds(count, rng), PARTIAL_CUT)


def _two_thirds(count: int, rng: random.Random) -> frozenset[int]:
    return frozenset(rng.sample(range(count), 2 * count // 3))


def _ring(count: int) -> list[RingGateway]:
    return [RingGateway(f"g{at}", f"a{at}", f"dc{at % DATA_CENTRES}") for at in range(count)]


def _reaches(cut: _Cut, rng: random.Random, count: int) -> dict[int, set[int]]:
    """Upstreams that each gateway reaches."""
    lost = round(cut.part * UPSTREAMS)
    everything = set(range(UPSTREAMS))
    return {
        at: (
            everything - set(rng.sample(range(UPSTREAMS), lost))
            if at in cut.gateways
            else everything
        )
        for at in range(count)
    }


def _with_helpers(cut: _Cut, count: int, rng: random.Random) -> tuple[float, float, int]:
    """Return the share of calls sent, the load of the busiest helper, and messages to start."""
    reaches = _reaches(cut, rng, count)
    before = helpers_of_all(_ring(count))
    able = [
        replace(one, can_help=2 * len(reaches[at]) > UPSTREAMS)
        for at, one in enumerate(_ring(count))
    ]
    helpers = helpers_of_all(able)
    reports = sum(not one.can_help for one in able)
    changed = sum(before[name] != named for name, named in helpers.items())
    cut_off = sorted(cut.gateways)
    load: Counter[int] = Counter()
    sent = 0
    for _ in range(CALLS):
        gateway, upstream = rng.choice(cut_off), rng.randrange(UPSTREAMS)
        asked = [int(one[1:]) for one in helpers[f"g{gateway}"]]
        able_now = [one for one in asked if upstream in reaches[one]]
        if upstream in reaches[gateway]:
            sent += 1
        elif able_now:
            sent += 1
            load[rng.choice(able_now)] += 1
    busiest = max(load.values(), default=0) * len(cut_off) / CALLS
    return sent / CALLS, busiest, reports + changed


def _with_readiness(cut: _Cut, count: int) -> float:
    """Share of the calls that reach a gateway that is not cut off."""
    if cut.part < 1:
        return 1 - cut.part
    moved = 0.0
    for data_centre in range(DATA_CENTRES):
        here = [at for at in range(count) if at % DATA_CENTRES == data_centre]
        lost = [at for at in here if at in cut.gateways]
        # With over half of a data centre out, its gateways are all used again.
        if lost and 2 * len(lost) <= len(here):
            moved += (1 - KEPT_CONNECTIONS) * len(lost) / len(cut.gateways)
    return moved


def _with_placing(cut: _Cut) -> float:
    """Share of the calls for which some upstream is reached by the gateway itself."""
    return 1.0 if cut.part < 1 else 0.0


def _ring_ms(count: int) -> float:
    ring = _ring(count)
    began_s = time.process_time()
    for _ in range(20):
        helpers_of_all(ring)
    return (time.process_time() - began_s) * 1000 / 20


def main() -> None:
    """Print the comparison and the time that the leader needs to name the helpers."""
    print("| gateways | cut off | helpers | readiness | placing | busiest helper | messages |")
    print("|---|---|---|---|---|---|---|")
    for count in SIZES:
        rng = random.Random(count)
        for cut in _cuts(count, rng):
            sent, busiest, messages = _with_helpers(cut, count, rng)
            readiness, placing = _with_readiness(cut, count), _with_placing(cut)
            print(
                f"| {count} | {cut.name} | {sent:.3f} | {readiness:.3f} | {placing:.3f} "
                f"| {busiest:.1f} | {messages} |"
            )
    for count in SIZES:
        print(f"helpers of {count} gateways named in {_ring_ms(count):.2f} ms")


if __name__ == "__main__":
    main()
