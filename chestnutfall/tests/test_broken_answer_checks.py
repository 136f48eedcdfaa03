"""Looks at the ports of broken answers that don't tell at once whether the process has ended."""

from __future__ import annotations

import unittest

from ..clock import ManualClock
from ..control.crash_messages import BrokenRun, CrashReport
from ..quarantine import RequestQuarantine
from ..quarantine.broken_answer_checks import LOOKED_AT_MS, TOLD_AFTER_MS
from ..quarantine.port_looks import AGAIN_MS

ADDRESS = "127.0.0.1:1"
LOOK_MS = 10


class BrokenAnswerChecksTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.reports: list[CrashReport] = []
        self.looks: list[bool | None] = []
        self.look_ms = LOOK_MS
        self.asked = 0
        self.quarantine = RequestQuarantine(self.reports.append, self._refuses, self.clock)

    async def _refuses(self, address: str) -> bool | None:
        self.asked += 1
        await self.clock.sleep_ms(self.look_ms)
        return self.looks.pop(0) if self.looks else None

    def _told(self) -> list[tuple[bool, bool]]:
        """Whether each report said that the port refuses, and that this was checked."""
        return [(one.refuses, one.is_checked) for one in self.reports if isinstance(one, BrokenRun)]

    def _break(self, parts: tuple[str, ...] = ("p",), is_silent: bool = False) -> None:
        self.quarantine.note_broken(
            "r", "i1", ADDRESS, self.clock.now_ms() - 70, parts, is_silent=is_silent
        )

    # Guards against an end that is known only when the process is back: one look does not tell.
    async def test_the_port_is_looked_at_again_until_a_look_tells(self) -> None:
        # A port that is open again may be that of the next incarnation.
        self.looks = [None, None, False, True]
        self._break()
        await self.clock.advance(LOOK_MS)
        self.assertEqual(self._told(), [(False, False)])
        await self.clock.advance(2 * (AGAIN_MS + LOOK_MS))
        self.assertEqual(self._told(), [(False, False)])
        self.assertTrue(self.quarantine.unsettled.includes_any(["p"]))
        await self.clock.advance(AGAIN_MS + LOOK_MS)
        self.assertEqual(self._told(), [(False, False), (True, True)])
        self.assertTrue(self.quarantine.unsettled.includes_any(["p"]))
        await self.clock.advance(LOOKED_AT_MS)
        self.assertEqual(self.asked, 4)
        self.assertEqual(len(self.quarantine._checks), 0)

    # Guards against a living upstream that counts as replaced, since the same request broke off
    # there twice in one moment.
    async def test_two_answers_alike_that_broke_off_at_once_are_two(self) -> None:
        self.looks = [False]
        self._break()
        self._break()
        await self.clock.advance(LOOKED_AT_MS)
        self.assertEqual(self._told(), [(False, True), (False, True)])

    # Guards against looks that go on for ever at a process that nobody can tell of.
    async def test_looks_that_never_tell_end(self) -> None:
        self._break()
        await self.clock.advance(LOOKED_AT_MS + AGAIN_MS + LOOK_MS)
        self.assertEqual(self._told(), [(False, False)])
        self.assertEqual(len(self.quarantine._checks), 0)
        asked = self.asked
        await self.clock.advance(10 * LOOKED_AT_MS)
        self.assertEqual(self.asked, asked)
        self.assertFalse(self.quarantine.unsettled.includes_any(["p"]))

    # Guards against requests that are sent to the next engine while a look takes long.
    async def test_a_look_that_takes_long_is_told_of_before_it_ends(self) -> None:
        self.look_ms, self.looks = 400, [True]
        self._break()
        await self.clock.advance(TOLD_AFTER_MS)
        self.assertEqual(self._told(), [(False, False)])
        await self.clock.advance(400)
        self.assertEqual(self._told(), [(False, False), (True, True)])

    async def test_a_usual_look_is_reported_once(self) -> None:
        self.looks = [True]
        self._break()
        await self.clock.advance(LOOKED_AT_MS)
        self.assertEqual(self._told(), [(True, True)])

    # Guards against an end that is reported late though the next incarnation shows it.
    async def test_another_incarnation_ends_the_looks(self) -> None:
        self._break()
        await self.clock.advance(AGAIN_MS)
        self.quarantine.note_replaced(ADDRESS, "i2")
        await self.clock.advance(AGAIN_MS + LOOK_MS)
        self.assertEqual(self._told()[-1], (True, True))
        self.assertEqual(len(self.quarantine._checks), 0)

    # Guards against a sound upstream that is blamed for the silence of a second.
    async def test_an_upstream_that_is_only_silent_is_reported_only_as_ended(self) -> None:
        self.looks = [None, True]
        self._break(is_silent=True)
        await self.clock.advance(AGAIN_MS)
        self.assertEqual(self._told(), [])
        await self.clock.advance(2 * LOOK_MS)
        self.assertEqual(self._told(), [(True, True)])
        self._break(is_silent=True)
        await self.clock.advance(2 * LOOKED_AT_MS)
        self.assertEqual(len(self.reports), 1)

    # Guards against a dozen looks for the answers that an engine breaks off as it ends.
    async def test_answers_that_break_off_together_share_each_look(self) -> None:
        self.looks = [None, None, True]
        for _ in range(12):
            self._break()
        await self.clock.advance(LOOKED_AT_MS)
        self.assertEqual(self.asked, 3)
        self.assertEqual(self._told().count((True, True)), 12)

    # Guards against parts that stay unsettled since a later look failed.
    async def test_a_later_look_that_fails_ends_the_check(self) -> None:
        async def fails(address: str) -> bool | None:
            self.asked += 1
            if self.asked > 1:
                raise RuntimeError(address)
            return None

        self.quarantine = RequestQuarantine(self.reports.append, fails, self.clock)
        self._break()
        await self.clock.advance(AGAIN_MS)
        self.assertEqual(self._told(), [(False, False)])
        self.assertEqual(len(self.quarantine._checks), 0)
        self.assertFalse(self.quarantine.unsettled.includes_any(["p"]))
