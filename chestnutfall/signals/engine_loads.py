"""Message in which a gateway reports what slows engines down at this moment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineLoads:
    """Slowdowns that answers reported to one gateway since its last such message.

    Only unusual ones are reported, and the end of one that the same gateway reported before. The
    leader stops using a report by itself after half a second.

    Attributes
    ----------
    slowdowns : dict of str to float
        How many times as long as usual work takes now, by instance of the engine; 1 is as usual.
    """

    slowdowns: dict[str, float]
