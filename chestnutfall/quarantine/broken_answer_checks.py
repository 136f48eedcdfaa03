"""Whether the upstreams of answers that broke off have ended."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from ..clock import Clock
from .broken_answer import BrokenAnswer
from .port_looks import PortLooks
from .unsettled_parts import UnsettledParts

log = logging.getLogger(__name__)
REMEMBERED_MS = 5_000
"""How long after a broken answer a new process at the address shows that the old one ended with it.
A process is restarted within this time; a later restart may have another cause."""
TOLD_AFTER_MS = 25
"""Usual looks at a port take less. If one takes longer, the leader is told that it goes on: each
moment may send the next engine what ended this one."""
LOOKED_AT_MS = 2_000
"""How long after a broken answer looks are repeated that do not tell whether the process ended."""
MAX_REMEMBERED = 1_024
"""Limit on the remembered broken answers; several times the requests that one upstream runs at
once."""


class BrokenAnswerChecks:
    """Looks at the upstream of each broken answer until it is known whether it has ended.

    A look that does not tell is no proof that the process lives. A busy gateway, or a helper that
    can't be asked in time, would otherwise hide each end until the upstream is back, and what ended
    it would reach the next one meanwhile.

    Parameters
    ----------
    report : callable
        Called with a broken answer, whether its upstream has ended, and whether that is known. If
        it is not known, it may be called again for the same answer.
    unsettled : UnsettledParts
        Hears which prompt parts are looked at.
    """

    def __init__(
        self,
        looks: PortLooks,
        report: Callable[[BrokenAnswer, bool, bool], None],
        unsettled: UnsettledParts,
        clock: Clock,
    ) -> None:
        self._looks = looks
        self._report = report
        self._unsettled = unsettled
        self._clock = clock
        self._first: set[asyncio.Task[bool]] = set()
        self._repeated: set[asyncio.Task[None]] = set()
        self._being_checked: set[BrokenAnswer] = set()
        self._still_open: deque[BrokenAnswer] = deque(maxlen=MAX_REMEMBERED)

    def __len__(self) -> int:
        """Number of checks that go on."""
        return len(self._first) + len(self._repeated)

    def begin(self, broken: BrokenAnswer) -> asyncio.Task[bool]:
        """Start the check, and return the task of its first look.

        Its result is whether the look shows an end. False if the upstream lives, and also if the
        look does not tell: further looks then follow by themselves.
        """
        self._unsettled.check_begins(broken.parts)
        task = asyncio.ensure_future(self._check_and_report(broken))
        self._first.add(task)
        task.add_done_callback(self._first.discard)
        return task

    def note_replaced(self, address: str, instance: str) -> None:
        """Record that `instance` now listens at `address`, so that its predecessor has ended."""
        self._being_checked -= {
            one for one in self._being_checked if one.is_replaced_by(address, instance)
        }
        oldest_ms = self._clock.now_ms() - REMEMBERED_MS
        remembered = [one for one in self._still_open if one.broke_ms >= oldest_ms]
        self._still_open.clear()
        for one in remembered:
            if one.is_replaced_by(address, instance):
                self._unsettled.note_ended(one.parts, one.began_ms)
                self._report(one, True, True)
            else:
                self._still_open.append(one)

    async def _check_and_report(self, broken: BrokenAnswer) -> bool:
        self._being_checked.add(broken)
        try:
            ended = await self._look(broken)
        except BaseException:
            self._settle(broken, False)
            raise
        if ended is None:
            task = asyncio.ensure_future(self._look_again(broken))
            self._repeated.add(task)
            task.add_done_callback(self._repeated.discard)
            return False
        self._conclude(broken, ended)
        return ended

    async def _look(self, broken: BrokenAnswer) -> bool | None:
        telling = asyncio.ensure_future(self._tell_of_slow_look(broken))
        try:
            ended = await self._looks.look(broken.address)
            is_told = telling.done()
        finally:
            telling.cancel()
        if broken not in self._being_checked:
            return True
        if ended is None and not is_told:
            self._report_unchecked(broken)
        return ended

    async def _tell_of_slow_look(self, broken: BrokenAnswer) -> None:
        await self._clock.sleep_ms(TOLD_AFTER_MS)
        self._report_unchecked(broken)

    async def _look_again(self, broken: BrokenAnswer) -> None:
        ended = False
        try:
            ended = await self._looks.look_until_ended(
                broken.address,
                broken.broke_ms + LOOKED_AT_MS,
                lambda: broken not in self._being_checked,
            )
        finally:
            ended = ended or broken not in self._being_checked
            self._conclude(broken, ended, is_known=ended)

    def _settle(self, broken: BrokenAnswer, ended: bool) -> None:
        self._being_checked.discard(broken)
        # Rejections explain the end of an upstream that bears few.
        self._unsettled.check_ends(broken.parts, ended and not broken.rejecting, broken.began_ms)

    def _conclude(self, broken: BrokenAnswer, ended: bool, is_known: bool = True) -> None:
        self._settle(broken, ended)
        if not ended:
            self._still_open.append(broken)
        if is_known and (ended or not broken.is_silent):
            self._report(broken, ended, True)

    def _report_unchecked(self, broken: BrokenAnswer) -> None:
        # The silence of an upstream alone is no sign that it has ended.
        if not broken.is_silent:
            log.info("quarantine: not known yet whether instance=%s has ended", broken.instance)
            self._report(broken, False, False)
