"""Prompt parts that may end engines, during one leader term."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from ..clock import Clock
from ..placement.suspect_parts import ANY_SERVICE, SuspectParts
from .broken_upstream import BrokenUpstream
from .control_state import ControlState
from .first_seen import FirstSeen
from .last_ends import LastEnds
from .latest_times import NEVER_MS, LatestTimes
from .part_blame import most_suspect_parts, parts_to_hold
from .part_findings import PartFindings
from .part_ledger import PartLedger, parts_of
from .run_interval import RunInterval
from .run_parts import RunParts

END_RETENTION_MS = 3_600_000
"""A part that causes an end less than once an hour can't be told from coincidence."""
KNOWN_WITHIN_MS = 150
"""Time after a break in which the leader learns whether the engine ended; a new leader, which is
told again, learns of it later."""
UNDECIDED_MS = 1_000
"""How long requests with the most suspect parts of an end wait for other answers. A service that
serves at all gives a few within this time, also to a new leader, which knows none of before."""
QUESTION_MS = 2_000
"""How long after a break requests with the parts that ran there wait to hear whether the engine
ended. A process that ended has been restarted by then, or its end was reported."""


class PartMonitor:
    """Passes the parts of ended engines to placement at once, and finds out which are to blame.

    The ledger holds what was committed. Placement acts on an end before that, since each moment
    may send another engine the same part.
    """

    def __init__(self, state: ControlState, suspects: SuspectParts, clock: Clock) -> None:
        self._state = state
        self._suspects = suspects
        self._clock = clock
        self._last_ends = LastEnds()
        self._breaks, self._answers = LatestTimes(), LatestTimes()
        self._ends_seen, self._holds_seen = FirstSeen(clock), FirstSeen(clock)
        for instance, end in self._ledger.ends.items():
            suspects.suspect(end.parts(), end.service, instance, clock.now_ms())
        for offender in self._ledger.offences:
            suspects.suspect(parts_of(offender), ANY_SERVICE, "", clock.now_ms())
        self.update_holds()

    @property
    def _ledger(self) -> PartLedger:
        return self._state.crashes.parts

    def run_ended(self, instance: str, parts: Iterable[str], broke_ms: int) -> None:
        """Suspect the parts of a request that ran on an upstream whose process ended.

        An upstream that announced that it leaves ends for that reason.

        Parameters
        ----------
        broke_ms : int
            Clock time at which the request's answer broke off.
        """
        record = self._state.roster.records.get(instance)
        if record is None or not record.leaving:
            service = record.service if record is not None else ANY_SERVICE
            parts = self._ledger.unexplained(instance, parts)
            parts = [one for one in parts if self._answers.last_ms(one) <= broke_ms]
            self._breaks.note(parts, broke_ms)
            self._suspects.suspect(parts, service, instance, self._clock.now_ms())

    def run_in_question(
        self, instance: str, parts: Iterable[str], broke_ms: int, answered_lately: Collection[str]
    ) -> None:
        """Hold back requests with the parts of a run until it is known whether its engine ended.

        Of a common part the next answer tells more. So a part that was answered lately is only
        suspected at first, and requests with it risk one engine at a time.

        Parameters
        ----------
        broke_ms : int
            Clock time at which the request's answer broke off.
        """
        now_ms = self._clock.now_ms()
        if now_ms >= broke_ms + QUESTION_MS:
            return
        unknown = [
            one
            for one in self._ledger.unexplained(instance, parts)
            if not self._suspects.answered_since(one, broke_ms)
            and self._answers.last_ms(one) <= broke_ms
        ]
        usual = [
            one
            for one in unknown
            if one in answered_lately and self._suspects.engine_of(one) in ("", instance)
        ]
        questions = self._suspects.questions
        questions.settle(usual, instance)
        record = self._state.roster.records.get(instance)
        service = record.service if record is not None else ANY_SERVICE
        self._suspects.suspect(usual, service, instance, now_ms)
        others = [one for one in unknown if one not in usual]
        questions.ask(others, instance, broke_ms, broke_ms + QUESTION_MS)

    def run_settled(self, instance: str, parts: Iterable[str]) -> None:
        """Let requests with the parts of a run go on, as far as its engine is concerned."""
        self._suspects.questions.settle(parts, instance)

    def told_suspects(self, parts: Iterable[str]) -> None:
        """Suspect what the last leader suspected, as a gateway tells that it does so.

        The report of the end may come later, or not at all if its gateway ended. A part of which an
        answer is known is left out: the gateway may not have heard that it was cleared.
        """
        unknown = [
            one
            for one in parts
            if one not in self._suspects and self._answers.last_ms(one) == NEVER_MS
        ]
        self._suspects.suspect(unknown, ANY_SERVICE, "", self._clock.now_ms())

    def answered(self, parts: Iterable[str], answered_ms: int) -> None:
        """Suspect the parts of an answered request no longer, unless they were in a later end.

        The leader sees the answers to requests that it placed. Gateways report others:
        those placed by the last leader, or without one.
        """
        self._answers.note(parts, answered_ms)
        later = [one for one in parts if self._breaks.last_ms(one) < answered_ms]
        self._suspects.clear_answered(later)

    def findings(self, broken: BrokenUpstream, runs: Mapping[str, RunInterval]) -> PartFindings:
        """Return which parts of the requests of an end are still suspect, and which are not.

        An answer clears a part that many requests share within some ms, long before this is asked.
        """
        suspects = {
            fingerprint: tuple(
                part
                for part in broken.parts.get(fingerprint, ())
                if self._is_suspect(part, run.broke_ms)
            )
            for fingerprint, run in runs.items()
        }
        found = tuple(RunParts(one, parts) for one, parts in suspects.items() if parts)
        by_part = _latest_runs(found, runs, broken.ended_ms)
        overlapping = tuple(
            part for part, run in by_part.items() if not self._last_ends.is_separate(part, run)
        )
        all_parts = {part for one in runs for part in broken.parts.get(one, ())}
        cleared = tuple(sorted(all_parts.difference(by_part)))
        known = tuple(sorted(broken.answered_parts.intersection(by_part)))
        return PartFindings(found, overlapping, cleared, known)

    def _is_suspect(self, part: str, broke_ms: int) -> bool:
        """Whether a part of a run that broke off was not answered since.

        It may be suspect again by then, since another engine ended that ran it.
        """
        if part not in self._suspects or self._suspects.answered_since(part, broke_ms):
            return False
        return self._answers.last_ms(part) <= broke_ms

    def note_committed(
        self, broken: BrokenUpstream, found: Iterable[RunParts], runs: Mapping[str, RunInterval]
    ) -> None:
        """Record when the parts of an end ran last."""
        for part, run in _latest_runs(found, runs, broken.ended_ms).items():
            self._last_ends.note(part, run)

    def to_hold(self, instance: str, ended_ms: int) -> tuple[str, ...] | None:
        """Return the parts to hold after the end of an upstream was committed; None if none.

        Where too little else was answered to tell, requests with the most suspect parts wait.

        Parameters
        ----------
        ended_ms : int
            Clock time at which this leader learned of the end.
        """
        worst = most_suspect_parts(self._ledger, instance)
        parts = parts_to_hold(self._ledger, instance, self._suspects.answers_since(worst))
        if parts is None:
            self._suspects.wait(worst, ended_ms + UNDECIDED_MS)
        return parts

    def update_holds(self) -> None:
        """Tell placement which parts are held now."""
        quarantined = self._ledger.quarantined()
        self._suspects.hold((one.parts, one.retry_ms) for one in quarantined)

    def drop_explained(self, open_parts: Iterable[str]) -> None:
        """Suspect no parts whose ends are explained, but those of ends that are not committed."""
        self._suspects.keep(self._ledger.suspects().union(open_parts))

    def take_cleared(self) -> tuple[str, ...]:
        """Return the parts of the ledger that answers cleared since the last call."""
        return tuple(sorted(self._suspects.take_cleared() & self._ledger.suspects()))

    def expired(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the instances of old ends, and the names of holds that are over."""
        ends = self._ends_seen.older_than(self._ledger.ends, lambda _: END_RETENTION_MS)
        holds = self._holds_seen.older_than(self._ledger.held, self._ledger.hold_ms)
        return ends, holds


def _latest_runs(
    found: Iterable[RunParts], runs: Mapping[str, RunInterval], ended_ms: int | None
) -> dict[str, RunInterval]:
    """Return, by part, the latest start and the latest break of the requests that have it.

    Until the leader learned of the end at `ended_ms`, requests with the part went to any engine, as
    they did before the break.
    """
    by_part: dict[str, RunInterval] = {}
    for request in found:
        run = runs[request.fingerprint]
        for part in request.parts:
            known = by_part.get(part, run)
            began_ms = max(known.began_ms, run.began_ms)
            known_ms = min(ended_ms or run.broke_ms, run.broke_ms + KNOWN_WITHIN_MS)
            by_part[part] = RunInterval(began_ms, max(known.broke_ms, run.broke_ms, known_ms))
    return by_part
