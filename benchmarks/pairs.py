"""Ways to find a gateway that reaches an upstream, where links are cut pair by pair.

`python -m benchmarks.pairs` compares on plain data, for several sizes and shares of cut pairs:

- any helper: a gateway asks three of the four helpers that its place in a ring gives it, if they
  reach half of what they tried;
- with the place: the leader names a helper with each place, on engines only, since gateways choose
  plain upstreams by themselves;
- asking: a gateway asks all others which of them reach an upstream, once for each cut pair;
- by upstream: gateways report what they don't reach, and the leader names who does.

Each upstream is reached by one gateway at least. It prints the share of calls over cut pairs that
are sent, once all pairs have been tried, and the messages and bytes that it takes to begin.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from chestnutfall.clock import ManualClock
from chestnutfall.coordination.gateway_session import GatewaySession
from chestnutfall.coordination.link_directory import SEND_INTERVAL_MS, LinkDirectory
from chestnutfall.coordination.messages import FLEET_CODEC
from chestnutfall.paths.helper_ring import RingGateway, helpers_of_all
from chestnutfall.paths.known_helpers import MAX_ASKED
from chestnutfall.paths.leader_messages import LinkReport

SIZES = ((9, 20), (91, 300), (195, 300), (410, 300))
SHARES = (0.0, 0.1, 0.8)
"""Parts of all pairs that are cut; 0 stands for a single one."""
ENGINES_PART = 0.7
"""Part of the calls that go to engines."""
DATA_CENTRES = 3
CALLS = 4_000
CHECK_BYTES = 60
"""Bytes of a question whether a gateway reaches an upstream, with its answer."""


@dataclass(frozen=True, slots=True)
class _Cut:
    """Gateways by number that don't reach an upstream, for each upstream."""

    gateways: int
    lost: tuple[frozenset[int], ...]

    def pairs(self) -> int:
        """Return the number of pairs that are cut."""
        return sum(map(len, self.lost))


def _draw(gateways: int, upstreams: int, share: float, rng: random.Random) -> _Cut:
    if not share:
        return _Cut(gateways, (frozenset({0}), *[frozenset()] * (upstreams - 1)))
    count = min(round(share * gateways), gateways - 1)
    return _Cut(
        gateways, tuple(frozenset(rng.sample(range(gateways), count)) for _ in range(upstreams))
    )


def _calls(cut: _Cut, rng: random.Random) -> Iterator[tuple[int, int]]:
    """Yield gateway and upstream of calls over cut pairs."""
    pairs = [(at, one) for one, lost in enumerate(cut.lost) for at in lost]
    return (rng.choice(pairs) for _ in range(CALLS))


def _any_helper(cut: _Cut, rng: random.Random) -> float:
    reached = Counter(at for lost in cut.lost for at in range(cut.gateways) if at not in lost)
    ring = [
        RingGateway(f"g{at}", str(at), f"dc{at % DATA_CENTRES}", 2 * reached[at] >= len(cut.lost))
        for at in range(cut.gateways)
    ]
    helpers = helpers_of_all(ring)
    sent = 0
    for gateway, upstream in _calls(cut, rng):
        named = helpers[f"g{gateway}"]
        asked = rng.sample(named, min(MAX_ASKED, len(named)))
        sent += any(int(one) not in cut.lost[upstream] for one in asked)
    return sent / CALLS


@dataclass(frozen=True, slots=True)
class _Named:
    """What naming helpers by upstream gives and takes."""

    share: float
    busiest: float
    messages: int
    size_bytes: int
    rounds: int
    round_ms: float


def _by_upstream(cut: _Cut, rng: random.Random) -> _Named:
    clock = ManualClock()
    links = LinkDirectory(clock)
    sessions = [
        GatewaySession(f"g{at}", str(at), f"dc{at % DATA_CENTRES}") for at in range(cut.gateways)
    ]
    for session in sessions:
        links.add(session)
    messages = size_bytes = 0
    for at, session in enumerate(sessions):
        lost = tuple(f"i-{one:010x}" for one, them in enumerate(cut.lost) if at in them)
        if lost:
            report = LinkReport(lost)
            messages += 1
            size_bytes += len(FLEET_CODEC.encode(report))
            links.record(session, report)
    spent_ms = 0.0
    rounds = 0
    while links.waiting:
        rounds += 1
        clock._now_ms += SEND_INTERVAL_MS  # type: ignore[attr-defined]
        began_s = time.process_time()
        links.send_due()
        spent_ms += (time.process_time() - began_s) * 1000
    helpers: dict[tuple[int, str], tuple[str, ...]] = {}
    for at, session in enumerate(sessions):
        while not session.out.empty():
            msg = session.out.get_nowait()
            messages += 1
            size_bytes += len(FLEET_CODEC.encode(msg))
            helpers.update(((at, one.instance), one.addresses) for one in msg.changed)
    load: Counter[str] = Counter()
    sent = 0
    for gateway, upstream in _calls(cut, rng):
        named = helpers.get((gateway, f"i-{upstream:010x}"), ())
        if named:
            sent += 1
            load[rng.choice(named)] += 1
    busiest = max(load.values(), default=0) * cut.gateways / CALLS
    return _Named(sent / CALLS, busiest, messages, size_bytes, rounds, spent_ms / rounds)


def main() -> None:
    """Print the comparison."""
    print(
        "| gateways, upstreams | cut pairs | any helper | with the place | asking | by upstream |"
    )
    print("|---|---|---|---|---|---|")
    for gateways, upstreams in SIZES:
        rng = random.Random(gateways)
        for share in SHARES:
            cut = _draw(gateways, upstreams, share, rng)
            named = _by_upstream(cut, rng)
            asked = cut.pairs() * (gateways - 1)
            print(
                f"| {gateways}, {upstreams} | {cut.pairs()} | {_any_helper(cut, rng):.3f} "
                f"| {ENGINES_PART * named.share:.3f} "
                f"| 1.000, {asked} messages, {asked * CHECK_BYTES // 1000} KB "
                f"| {named.share:.3f}, {named.messages} messages, {named.size_bytes // 1000} KB, "
                f"{named.rounds} rounds of {named.round_ms:.0f} ms, "
                f"busiest {named.busiest:.1f} of the mean |"
            )


if __name__ == "__main__":
    main()
