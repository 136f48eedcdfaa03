"""Builders of a gateway's `KnownLimits` and `KnownSignals`, and a leader with scripted answers."""

from __future__ import annotations

import random

from ...clock import Clock
from ...concurrency.turn_messages import AnswerTurn
from ...forwarding.leader_questions import LeaderLost
from ...forwarding.place import SelectionCriteria
from ...limits.known_limits import KnownLimits
from ...limits.messages import HeardLimit
from ...signals.known_backoffs import KnownBackoffs
from ...signals.known_signals import KnownSignals
from ...signals.messages import HeardBackoff


def known_limits(
    clock: Clock, reports: list[HeardLimit] | None = None, gateways: int = 1, seed: int = 1
) -> KnownLimits:
    """Build a gateway's known limits; reports to the leader are appended to `reports`."""
    send_report = reports.append if reports is not None else lambda report: None
    return KnownLimits(send_report, lambda: gateways, clock, random.Random(seed))


def known_signals(clock: Clock, reports: list[HeardBackoff] | None = None) -> KnownSignals:
    """Build a gateway's known signals; reports of backoffs are appended to `reports`."""
    send_report = reports.append if reports is not None else lambda report: None
    return KnownSignals(known_limits(clock), KnownBackoffs(send_report, clock), clock)


class ScriptedTurns:
    """A leader that gives scripted answers in order, and is lost after the last one.

    Attributes
    ----------
    waits_ms : list of int
        The `wait_ms` of each question.
    """

    def __init__(self, *answers: AnswerTurn) -> None:
        self._answers = list(answers)
        self.waits_ms: list[int] = []

    async def ask(self, wanted: SelectionCriteria, wait_ms: int) -> AnswerTurn:
        """Return the next scripted answer.

        Raises
        ------
        LeaderLost
            After the last answer.
        """
        self.waits_ms.append(wait_ms)
        if not self._answers:
            raise LeaderLost("scripted")
        return self._answers.pop(0)
