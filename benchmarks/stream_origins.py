"""Messages and bytes of the ways to remember what streams began on.

`python -m benchmarks.stream_origins` encodes the messages that each way would send, and counts them
for a second in which a part of the streams is taken up at other gateways.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from chestnutfall.control.commands import COMMAND_CODEC, EndPermit
from chestnutfall.coordination.messages import FLEET_CODEC, PlaceStream
from chestnutfall.placement import AdapterName, PlaceRequest, PromptPart
from chestnutfall.resumption import StreamOrigin
from chestnutfall.resumption.messages import AnswerOrigin, AskOrigin, HeardOrigin, HeardOrigins

TAKEN_UP = 0.05
"""Part of the streams that is taken up: a gateway of twenty ends in this second."""
STREAM_S = 6.0
"""Time for which a stream may be taken up."""
FOLLOWERS = 4


@dataclass(frozen=True, slots=True)
class Fleet:
    """Gateways, and the streams that begin in a second."""

    gateways: int
    streams_per_s: float


@dataclass(frozen=True, slots=True)
class Cost:
    """What one way costs in a second.

    Attributes
    ----------
    messages, kilobytes : float
        Beside those that each stream needs in any case, in all links together.
    busiest : float
        Messages at the process that handles most of them.
    lost : str
        What is not known any more after which end.
    """

    way: str
    messages: float
    kilobytes: float
    busiest: float
    lost: str


FLEETS = (Fleet(9, 138), Fleet(91, 468), Fleet(195, 900), Fleet(410, 6_100))


def _bytes(msg: Any) -> int:
    return len(FLEET_CODEC.encode(msg))


_PARTS = tuple(PromptPart(f"{at:08x}", 200) for at in range(3))
_ADAPTER = AdapterName("rase16d59d", "a2157")
_REQ = PlaceRequest("front-1#965004/1234", "drafts", _ADAPTER, 500, 80, _PARTS, 1, 500, 4000, "dc")
_ORIGIN = StreamOrigin("drafts", "v1.2")
_ATTEMPT, _OWNER = "9c41d07be2a35f68", "dadcc85522f456cec0fc5ea5d2b99ead"
_ASK = _bytes(AskOrigin(1_234, _ATTEMPT, _OWNER))
_ANSWER = _bytes(AnswerOrigin(1_234, _ORIGIN))
_HEARD = _bytes(HeardOrigins((HeardOrigin(_ATTEMPT, _OWNER, _ORIGIN, 4_000),)))
_NAMED = _bytes(PlaceStream(_REQ, _ATTEMPT, _OWNER, 4_000)) - _bytes(_REQ)
_ENTRY = len(COMMAND_CODEC.encode(EndPermit(_ATTEMPT + _OWNER)))


def costs(fleet: Fleet) -> Iterator[Cost]:
    """Yield what each way costs."""
    streams, taken_up = fleet.streams_per_s, fleet.streams_per_s * TAKEN_UP
    others = fleet.gateways - 1
    questions = 2 * others * taken_up
    yield Cost(
        "each gateway asks all others",
        questions,
        taken_up * others * (_ASK + _ANSWER) / 1000,
        2 * taken_up + questions / fleet.gateways,
        "all of a gateway that ended",
    )
    kept = 2 * streams + 4 * taken_up
    yield Cost(
        "two gateways by the attempt's id",
        kept,
        (2 * streams * _HEARD + 2 * taken_up * (_ASK + _ANSWER)) / 1000,
        2 * kept / fleet.gateways,
        "what both of a pair knew; news on its way",
    )
    yield Cost(
        "the leader, told with the place",
        2 * taken_up,
        (streams * _NAMED + taken_up * (_ASK + _ANSWER)) / 1000,
        2 * taken_up,
        "a gateway's, if leader and gateway end",
    )
    committed = 2 * FOLLOWERS * streams
    yield Cost(
        "the leader's log",
        committed + 2 * taken_up,
        (FOLLOWERS * streams * _ENTRY + taken_up * (_ASK + _ANSWER)) / 1000,
        committed + 2 * taken_up,
        "nothing; a sync for each stream",
    )


def main() -> None:
    """Print a table for each fleet, and what a change of leader costs."""
    print(f"bytes: asked {_ASK}, answered {_ANSWER}, told {_HEARD}, named with a place {_NAMED}")
    for fleet in FLEETS:
        print(f"\n{fleet.gateways} gateways, {fleet.streams_per_s:g} streams a second")
        for one in costs(fleet):
            print(
                f"| {one.way} | {one.messages:.0f} | {one.kilobytes:.0f} | {one.busiest:.0f} "
                f"| {one.lost} |"
            )
        per_gateway = fleet.streams_per_s * STREAM_S / fleet.gateways
        print(
            f"a change of leader: {fleet.gateways} messages, {per_gateway * _HEARD / 1000:.1f} KB "
            f"each; the leader keeps {fleet.streams_per_s * STREAM_S:.0f} streams"
        )


if __name__ == "__main__":
    main()
