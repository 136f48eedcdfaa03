"""A gateway's knowledge of what upstreams say, and a leader who gives turns, for tests."""

from __future__ import annotations

import random

from ...clock import Clock
from ...forwarding.fleet_client import LeaderLost
from ...forwarding.place import Wanted
from ...limits.known_limits import KnownLimits
from ...limits.messages import AnswerTurn, HeardLimit
from ...signals.known_backoffs import KnownBackoffs
from ...signals.known_signals import KnownSignals
from ...signals.messages import HeardBackoff


def known_limits(
    clock: Clock, told: list[HeardLimit] | None = None, gateways: int = 1, seed: int = 1
) -> KnownLimits:
    """What a gateway knows of limits; what it tells the leader is added to `told`."""
    tell = told.append if told is not None else lambda heard: None
    return KnownLimits(tell, lambda: gateways, clock, random.Random(seed))


def known_signals(clock: Clock, told: list[HeardBackoff] | None = None) -> KnownSignals:
    """What a gateway knows of upstreams; what it tells of backoffs is added to `told`."""
    tell = told.append if told is not None else lambda heard: None
    return KnownSignals(known_limits(clock), KnownBackoffs(tell, clock), clock)


class ScriptedTurns:
    """A leader that gives the answers it is told to; there is none after the last one."""

    def __init__(self, *answers: AnswerTurn) -> None:
        self._answers = list(answers)
        self.waits_ms: list[int] = []

    async def ask(self, wanted: Wanted, wait_ms: int) -> AnswerTurn:
        """The next answer."""
        self.waits_ms.append(wait_ms)
        if not self._answers:
            raise LeaderLost("scripted")
        return self._answers.pop(0)
