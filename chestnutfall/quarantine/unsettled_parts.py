"""Prompt parts that may end engines, as far as a gateway knows without asking the leader."""

from __future__ import annotations

import itertools
import logging
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ..clock import Clock
from ..control.crash_messages import MAX_SUSPECT_PARTS
from ..control.latest_times import NEVER_MS, LatestTimes

log = logging.getLogger(__name__)
REMEMBERED_MS = 10_000
"""As long as reports of broken answers are sent again to a new leader, which suspects the parts.
Also how long an answer tells that a part is sound."""
MAX_LOGGED_PARTS = 64
MAX_REMEMBERED = 2_048
"""Parts of own broken answers and of own answers that are kept, the latest of each; 150 bytes."""
ENDS_TO_DISTRUST = 2
"""Engines that ended one after the other since the last answer to a part, after which earlier
answers count no more: a release of the engines' software may have made it fatal."""


@dataclass(frozen=True, slots=True)
class _Ends:
    """Ends of engines that ran a part, one after the other, and the clock time of the last."""

    at_ms: int
    count: int = 1

    def with_end(self, at_ms: int, began_ms: int) -> _Ends:
        # What ran as the last engine ended is in the same end as that, or one at the same moment.
        return _Ends(at_ms, self.count + (began_ms >= self.at_ms))


class UnsettledParts:
    """Parts that are suspect, until a request that has them is answered.

    Only the leader sees to it that requests with a suspect part risk one engine at a time. Without
    a leader each gateway would send them to another one. What was suspect before is kept here until
    the next leader, and told to it before it places anything.

    A common part is suspect with each engine that ends, until it is answered some ms later. If the
    leader ends at that moment, requests with it are sent nevertheless, as long as this gateway had
    an answer to one lately: a part that ends engines has none.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._told: dict[str, None] = {}
        self._ends: dict[str, _Ends] = {}
        self._checked: Counter[str] = Counter()
        self._answers = LatestTimes(MAX_REMEMBERED)

    @property
    def told(self) -> tuple[str, ...]:
        """Parts that the last leader suspected, as far as they were not answered here since."""
        return tuple(self._told)

    @property
    def has_told(self) -> bool:
        """Whether the last leader suspected any part."""
        return bool(self._told)

    def replace_told(self, parts: Iterable[str]) -> None:
        """Replace the parts that the leader suspects."""
        told = dict.fromkeys(parts)
        if told.keys() != self._told.keys():
            named = ",".join(itertools.islice(told, MAX_LOGGED_PARTS))
            log.info("quarantine: suspects parts=%s", named)
        self._told = told

    def check_begins(self, parts: Iterable[str]) -> None:
        """Record that an answer broke off, and that the engine's port is looked at."""
        self._checked.update(parts)

    def check_ends(self, parts: Iterable[str], ended: bool, began_ms: int) -> None:
        """Record whether the engine of an answer that broke off has ended.

        Parameters
        ----------
        began_ms : int
            Clock time at which the request was sent.
        """
        for part in parts:
            self._checked[part] -= 1
            if self._checked[part] <= 0:
                del self._checked[part]
        if ended:
            self.note_ended(parts, began_ms)

    def note_ended(self, parts: Iterable[str], began_ms: int) -> None:
        """Record that an engine ended while it ran a request with these parts."""
        now_ms = self._clock.now_ms()
        for part in parts:
            known = self._ends.pop(part, None)
            self._ends[part] = known.with_end(now_ms, began_ms) if known else _Ends(now_ms)
        while len(self._ends) > MAX_REMEMBERED:
            del self._ends[next(iter(self._ends))]

    def note_answer_times(self, parts: Collection[str]) -> None:
        """Record when a request with these parts was answered, whether any of them is suspect."""
        self._answers.note(parts, self._clock.now_ms())

    def answered_lately(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Return those parts that this gateway had an answer to in the last ten seconds."""
        oldest_ms = max(self._clock.now_ms() - REMEMBERED_MS, NEVER_MS + 1)
        return tuple(one for one in parts if self._answers.last_ms(one) >= oldest_ms)

    def note_answered(self, parts: Collection[str]) -> tuple[str, ...]:
        """Settle the parts of an answered request, and return those that the leader suspected."""
        found = []
        for part in parts:
            self._ends.pop(part, None)
            if part in self._told:
                del self._told[part]
                found.append(part)
        return tuple(found)

    def includes_any(self, parts: Collection[str]) -> bool:
        """Whether one of these parts may end engines, so that only a leader may place it."""
        self._drop_old()
        return any(self._is_unsettled(one) for one in parts)

    def _is_unsettled(self, part: str) -> bool:
        if part not in self._told and part not in self._ends and part not in self._checked:
            return False
        ends = self._ends.get(part)
        if ends is not None and ends.count >= ENDS_TO_DISTRUST:
            return True
        return not self.answered_lately((part,))

    def to_tell(self) -> tuple[str, ...]:
        """Return the parts that a new leader has to suspect, the latest if there are many."""
        self._drop_old()
        return tuple(dict.fromkeys((*self._told, *self._ends)))[-MAX_SUSPECT_PARTS:]

    def _drop_old(self) -> None:
        oldest_ms = self._clock.now_ms() - REMEMBERED_MS
        while self._ends and next(iter(self._ends.values())).at_ms < oldest_ms:
            del self._ends[next(iter(self._ends))]
