"""What gateways know of prompt parts that may end engines, while there is no leader."""

from __future__ import annotations

import unittest

from ..clock import ManualClock
from ..control.crash_messages import MAX_SUSPECT_PARTS
from ..forwarding.call import Call
from ..placement.suspect_parts import CLEARING_MS
from ..quarantine.unsettled_parts import MAX_REMEMBERED, REMEMBERED_MS, UnsettledParts
from .fakes.part_office import PartCall, PartOffice
from .fakes.signal_office import HEAD_MS

GATEWAYS, ENGINES = 3, 8
FATAL = "fatal"
KNOWN_MS = CLEARING_MS + 200
"""Time after an end in which all gateways are told what is suspect."""
JUDGED_MS = 1_000
"""Time in which a request and its repeat have ended, and it is judged what that shows."""
ELECTION_MS = 800


class UnsettledPartsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.parts = UnsettledParts(self.clock)

    def test_a_part_is_unsettled_while_it_is_found_out_whether_its_engine_ended(self) -> None:
        for ended in (False, True):
            with self.subTest(ended):
                self.parts.check_begins(["a", "b"])
                self.parts.check_begins(["b"])
                self.assertTrue(self.parts.includes_any(["x", "a"]))
                self.parts.check_ends(["a", "b"], ended, 0)
                self.assertEqual(self.parts.includes_any(["a"]), ended)
                self.assertTrue(self.parts.includes_any(["b"]))
                self.parts.check_ends(["b"], False, 0)
                self.assertEqual(self.parts.includes_any(["b"]), ended)

    def test_an_answer_settles_a_part_and_tells_of_what_the_leader_suspected(self) -> None:
        self.parts.replace_told(["told", "other"])
        self.parts.note_ended(["seen"], 0)
        self.assertEqual(self.parts.note_answered(["told", "seen", "x"]), ("told",))
        self.assertEqual(self.parts.to_tell(), ("other",))
        self.assertFalse(self.parts.includes_any(["told", "seen"]))

    async def test_what_a_gateway_saw_is_forgotten_in_time_and_what_it_was_told_is_not(
        self,
    ) -> None:
        self.parts.replace_told(["told"])
        self.parts.note_ended(["seen"], 0)
        await self.clock.advance(REMEMBERED_MS + 1)
        self.assertEqual(self.parts.to_tell(), ("told",))
        self.assertFalse(self.parts.includes_any(["seen"]))
        self.parts.replace_told(())
        self.assertEqual(self.parts.to_tell(), ())

    # Guards against callers of common parts who wait for a leader: it ended some ms after an engine
    # did, before an answer cleared what had run there.
    async def test_a_part_that_was_answered_lately_waits_for_no_leader_after_one_end(self) -> None:
        self.parts.note_answer_times(["common"])
        self.parts.replace_told(["common"])
        for _ in range(3):
            self.parts.note_ended(["common"], 59_000)
        self.assertFalse(self.parts.includes_any(["common"]))
        self.assertEqual(self.parts.to_tell(), ("common",))
        await self.clock.advance(50)
        self.parts.note_ended(["common"], 59_990)
        self.assertFalse(self.parts.includes_any(["common"]))
        await self.clock.advance(50)
        self.parts.note_ended(["common"], 60_060)
        self.assertTrue(self.parts.includes_any(["common"]))
        self.parts.note_answer_times(["common"])
        self.parts.note_answered(["common"])
        self.parts.replace_told(["common"])
        self.assertFalse(self.parts.includes_any(["common"]))
        await self.clock.advance(REMEMBERED_MS + 1)
        self.assertTrue(self.parts.includes_any(["common"]))

    # Guards against memory and messages that grow with parts that are new in each request.
    def test_parts_are_bounded(self) -> None:
        self.parts.note_ended((f"p{at}" for at in range(2 * MAX_REMEMBERED)), 0)
        self.assertEqual(len(self.parts.to_tell()), MAX_SUSPECT_PARTS)
        self.assertFalse(self.parts.includes_any(["p0"]))
        self.assertTrue(self.parts.includes_any([f"p{2 * MAX_REMEMBERED - 1}"]))


class LeaderlessPartTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.office = PartOffice(GATEWAYS, ENGINES)
        self.addAsyncCleanup(self.office.stop)
        self.sound: list[PartCall] = []
        await self._play(3_000)
        self.office.fatal.add(FATAL)

    async def _play(self, ms: int) -> None:
        """Send sound requests that share common and rare parts, for a time."""
        rng = self.office.rng
        for _ in range(ms // 24):
            parts = f"a{rng.randrange(3)}", f"b{rng.randrange(150)}"
            self.sound.append(self.office.send(f"g{rng.randrange(GATEWAYS)}", parts))
            await self.office.steps(24)

    def _is_suspect(self, part: str) -> bool:
        assert self.office.leader is not None
        return f"/{part}" in self.office.leader.placer.suspects

    def _send_fatal(self, gateway: str) -> PartCall:
        return self.office.send(gateway, ("a0", FATAL))

    async def _end_engines(self, gateway: str) -> int:
        """Return the ends of engines under one request, which is sent twice and proves nothing."""
        self._send_fatal(gateway)
        await self._play(JUDGED_MS)
        self.assertEqual(self.office.state.crashes.parts.held, {})
        return len(self.office.ends_ms)

    # Guards against gateways that send what ended an engine to others while there is no leader.
    async def test_what_the_leader_suspected_is_sent_by_no_gateway_without_one(self) -> None:
        ends = await self._end_engines("g0")
        self.office.lose_leader()
        for _ in range(4):
            for name in self.office.gateways:
                self._send_fatal(name)
            await self._play(200)
        self.assertEqual(len(self.office.ends_ms), ends)

    # Guards against a request that waits at a leader that judges its part, and is sent on to the
    # next engine the moment that leader ends.
    async def test_a_request_that_waited_at_the_lost_leader_is_not_sent_without_one(self) -> None:
        ends = await self._end_engines("g0")
        assert self.office.leader is not None
        self.office.leader.placer.suspects.wait([f"/{FATAL}"], self.office.clock.now_ms() + 1_000)
        self._send_fatal("g1")
        await self._play(100)
        self.office.lose_leader()
        await self._play(ELECTION_MS)
        self.assertEqual(len(self.office.ends_ms), ends)

    # Guards against a gateway that sends other requests with a part that ended an engine of its own
    # since the leader was lost.
    async def test_a_part_that_ended_an_engine_without_a_leader_ends_no_other(self) -> None:
        self.office.lose_leader()
        for _ in range(6):
            self._send_fatal("g0")
            await self._play(100)
        self.assertEqual(len(self.office.ends_ms), 1)

    # Guards against a next leader that places what the last one suspected before it hears of the
    # end: the gateway that would report it has ended as well.
    async def test_the_next_leader_suspects_what_the_last_one_did(self) -> None:
        await self._end_engines("g0")
        self.office.lose_leader()
        self.office.restart("g0")
        await self._play(ELECTION_MS)
        self.office.state.crashes.parts.ends.clear()
        self.office.begin_leader()
        self.assertTrue(self._is_suspect(FATAL))

    # Guards against a sound part that stays suspect at a new leader though it was answered.
    async def test_the_next_leader_does_not_suspect_what_was_answered_without_one(self) -> None:
        self.office.fatal.clear()
        self.office.send("g0", ("a0", "rare"))
        await self.office.steps(HEAD_MS + 16)
        for instance in list(self.office.upstreams)[:ENGINES]:
            self.office.end(instance, down_ms=100)
        await self._play(KNOWN_MS)
        self.assertTrue(self._is_suspect("rare"))
        runs, sent = len(self.office.runs), self.office.send("g1", ("a0", "rare"))
        while all("rare" not in _parts(call) for _, _, call in self.office.runs[runs:]):
            await self.office.step()
        self.office.lose_leader()
        await self._play(200)
        self.assertTrue(sent.served)
        self.office.begin_leader()
        await self._play(200)
        self.assertFalse(self._is_suspect("rare"))

    # Guards against sound callers who wait for a leader since engines ended some ms before it was
    # lost, so that no answer has cleared what ran there.
    async def test_sound_requests_are_sent_without_a_leader_like_before(self) -> None:
        for instance in list(self.office.upstreams)[: ENGINES // 2]:
            self.office.end(instance)
        await self.office.steps(24)
        self.office.lose_leader()
        first = len(self.sound)
        await self._play(ELECTION_MS)
        without_leader = self.sound[first:-5]
        self.assertGreaterEqual(self.office.share_served(without_leader), 0.95)
        self.assertTrue(all(one.reply.ended for one in without_leader))


def _parts(call: Call) -> set[str]:
    return {part.part_id for part in call.parts}
