"""Prompt parts that end engines while it is not known at once whether an engine has ended."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from ..control.part_monitor import QUESTION_MS
from ..placement.suspect_parts import CLEARING_MS, PART_ENDS_UPSTREAMS
from ..quarantine.broken_answer_checks import LOOKED_AT_MS
from .fakes.part_office import PartCall, PartOffice
from .fakes.placing_office import STEP_MS

ENGINES, GATEWAYS = 8, 3
SOUND_EACH_MS = 24
FATAL_CALLERS = 2
FATAL = "fatal"
MAX_ENDS, MAX_LATER_ARRIVALS = 5, 3
SETTLED_MS = 3_000
MIN_SHARE = 0.95
LEADERS_EACH_MS, ELECTION_MS = 1_800, 480
PLAY_MS = 8_000


class UnsureEndTest(unittest.IsolatedAsyncioTestCase):
    async def _begin(self) -> None:
        self.office = PartOffice(GATEWAYS, ENGINES)
        self.addAsyncCleanup(self.office.stop)
        self.sound: list[PartCall] = []
        self.fatal: dict[int, PartCall] = {}
        self.fatal_callers = FATAL_CALLERS
        await self._play(1_000)
        self.office.fatal.add(FATAL)

    def _gateway(self) -> str:
        return f"g{self.office.rng.randrange(GATEWAYS)}"

    def _sound_parts(self) -> tuple[str, str]:
        rng = self.office.rng
        return f"a{rng.randrange(3)}", f"b{rng.randrange(150)}"

    async def _play(self, ms: int, script: Callable[[int], None] = lambda ms: None) -> None:
        for passed_ms in range(0, ms, STEP_MS):
            if passed_ms % SOUND_EACH_MS == 0:
                self.sound.append(self.office.send(self._gateway(), self._sound_parts()))
            script(passed_ms)
            await self.office.step()

    def _send_fatal(self, passed_ms: int) -> None:
        """Let each caller send the next request some time after its last one was answered."""
        for caller in range(self.fatal_callers):
            sent = self.fatal.get(caller)
            is_free = sent is None or sent.reply.ended
            if is_free and self.office.rng.random() < STEP_MS / 300:
                parts = (*self._sound_parts(), FATAL)
                self.fatal[caller] = self.office.send(self._gateway(), parts)

    def _end_leaders(self, passed_ms: int) -> None:
        if passed_ms % LEADERS_EACH_MS == LEADERS_EACH_MS // 2:
            self.office.lose_leader()
        if passed_ms % LEADERS_EACH_MS == LEADERS_EACH_MS // 2 + ELECTION_MS:
            self.office.begin_leader()

    async def _check(
        self, tells: Callable[[], bool], check_ms: int = 150, ends_leaders: bool = False
    ) -> None:
        self.office.tells, self.office.check_ms = tells, check_ms

        def script(passed_ms: int) -> None:
            self._send_fatal(passed_ms)
            if ends_leaders:
                self._end_leaders(passed_ms)

        await self._play(PLAY_MS, script)
        ends = self.office.ends_ms
        self.assertLessEqual(len(ends), MAX_ENDS)
        later = [one for one in self.office.fatal_arrivals_ms if one > ends[-1] + SETTLED_MS]
        self.assertLessEqual(len(later), MAX_LATER_ARRIVALS)
        refused = [one for one in self.sound if one.reply.reason == PART_ENDS_UPSTREAMS]
        self.assertEqual(refused, [])
        self.assertGreaterEqual(self.office.share_served(self.sound), MIN_SHARE)

    # Guards against ends that nobody counts until the engines are back: a busy gateway sees the
    # port closed and no helper confirms it in time, so the look was taken to show no end.
    async def test_a_part_ends_few_engines_while_no_helper_confirms_that_they_ended(self) -> None:
        for unsure_ms in (300, 600, 1_200, 60_000):
            for ends_leaders in (False, True):
                with self.subTest(unsure_ms, ends_leaders=ends_leaders):
                    await self._begin()
                    until_ms = self.office.clock.now_ms() + unsure_ms
                    await self._check(
                        lambda until_ms=until_ms: self.office.clock.now_ms() >= until_ms,  # type: ignore[misc]
                        ends_leaders=ends_leaders,
                    )

    # Guards against the same where a port that is open again is taken for that of a process that
    # never ended, some time before its next incarnation announces itself.
    async def test_a_part_ends_few_engines_though_their_ports_open_before_they_announce_themselves(
        self,
    ) -> None:
        for announce_ms in (300, 600):
            for callers in (2, 4):
                with self.subTest(announce_ms, callers=callers):
                    await self._begin()
                    self.office.announce_ms, self.fatal_callers = announce_ms, callers
                    await self._check(lambda: False, 20)

    # Guards against the same where some looks tell and others don't.
    async def test_a_part_ends_few_engines_while_half_of_the_looks_tell(self) -> None:
        for ends_leaders in (False, True):
            with self.subTest(ends_leaders=ends_leaders):
                await self._begin()
                await self._check(lambda: self.office.rng.random() < 0.5, ends_leaders=ends_leaders)

    # Guards against requests that are sent to other engines while a look at a port takes long.
    async def test_a_part_ends_few_engines_while_looks_take_long(self) -> None:
        for check_ms in (150, 300, 400, 800):
            for ends_leaders in (False, True):
                with self.subTest(check_ms, ends_leaders=ends_leaders):
                    await self._begin()
                    await self._check(lambda: True, check_ms, ends_leaders)

    # Guards against sound callers who wait for a look: their part is answered elsewhere meanwhile.
    async def test_an_answer_settles_what_is_in_question(self) -> None:
        await self._begin()
        self.office.tells, self.office.check_ms = lambda: False, 400
        self.office.send("g0", ("a0", "rare"))
        await self._play(40)
        running = self.office.send("g1", ("a0", "rare"))
        await self._play(40)
        instance = next(at for _, at, call in self.office.runs if call.parts[1].part_id == "rare")
        self.office.end(instance)
        await self._play(40)
        leader = self.office.leader
        assert leader is not None
        questions = leader.placer.suspects.questions
        self.assertTrue(questions.includes_any(("/rare",)))
        await self._play(100)
        self.assertTrue(running.served)
        self.assertFalse(questions.includes_any(("/a0", "/rare")))

    # Guards against rare parts that no request may have any more, since no look ever tells.
    async def test_a_part_is_in_question_for_a_bounded_time(self) -> None:
        await self._begin()
        self.office.tells = lambda: False
        self.office.send("g0", ("a0", "rare"))
        await self._play(40)
        instance = next(at for _, at, call in self.office.runs if call.parts[1].part_id == "rare")
        self.office.end(instance, down_ms=60_000)
        await self._play(CLEARING_MS)
        leader = self.office.leader
        assert leader is not None
        suspects = leader.placer.suspects
        self.assertIsNone(suspects.barred(("/rare",), (), self.office.clock.now_ms()))
        await self._play(max(QUESTION_MS, LOOKED_AT_MS))
        self.assertEqual(len(suspects.questions), 0)
        later = self.office.send("g0", ("a0", "rare"))
        await self._play(500)
        self.assertTrue(later.served)
        self.assertTrue(suspects.is_empty)
