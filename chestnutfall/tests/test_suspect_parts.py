"""Prompt parts that end engines, through gateways, a leader and its log, without a network."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from ..control.part_ledger import HOLD_MS
from ..placement.suspect_parts import PART_ENDS_UPSTREAMS
from .fakes.part_office import DOWN_MS, PartCall, PartOffice
from .fakes.placing_office import STEP_MS
from .fakes.signal_office import HEAD_MS

ENGINES, GATEWAYS = 8, 3
SOUND_EACH_MS = 24
FIRST_PARTS, SECOND_PARTS = 3, 150
MAX_ENDS = 5
SETTLED_MS = 3_000
MIN_SHARE = 0.95
FATAL = "fatal"


class _PartCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.office = PartOffice(GATEWAYS, ENGINES)
        self.addAsyncCleanup(self.office.stop)
        self.sound: list[PartCall] = []
        self.at = 0
        await self.office.steps(100)

    def _gateway(self) -> str:
        self.at += 1
        return f"g{self.at % GATEWAYS}"

    def _sound_parts(self) -> tuple[str, str]:
        rng = self.office.rng
        return f"a{rng.randrange(FIRST_PARTS)}", f"b{rng.randrange(SECOND_PARTS)}"

    async def _play(self, ms: int, script: Callable[[int], None] = lambda ms: None) -> None:
        """Send sound requests for a time, and call `script` with the time that has passed."""
        for passed_ms in range(0, ms, STEP_MS):
            if passed_ms % SOUND_EACH_MS == 0:
                self.sound.append(self.office.send(self._gateway(), self._sound_parts()))
            script(passed_ms)
            await self.office.step()

    def _send_fatal(self, *more: str) -> PartCall:
        first, second = self._sound_parts()
        return self.office.send(self._gateway(), (first, second, *more, FATAL))

    def _fatal_each(self, each_ms: int, *more: str) -> Callable[[int], None]:
        def script(passed_ms: int) -> None:
            if passed_ms % each_ms == 0:
                self._send_fatal(*more)

        return script

    def _engines(self) -> list[str]:
        return [name for name in self.office.upstreams if name.startswith("engines")]

    def _held(self) -> set[tuple[str, ...]]:
        return set(self.office.state.crashes.parts.held.values())

    def _assert_few_ends(self, most: int = MAX_ENDS) -> None:
        ends = self.office.ends_ms
        self.assertLessEqual(len(ends), most)
        last_ms = ends[:MAX_ENDS][-1] + SETTLED_MS
        self.assertEqual([one for one in self.office.fatal_arrivals_ms if one > last_ms], [])


class FatalPartTest(_PartCase):
    # Guards against requests that end one engine after the other, as no two of them are alike.
    async def test_requests_that_share_a_fatal_part_end_few_engines(self) -> None:
        await self._play(1_000)
        self.office.fatal.add(FATAL)
        await self._play(8_000, self._fatal_each(200))
        self._assert_few_ends()
        self.assertEqual(self._held(), {(f"/{FATAL}",)})
        late = [one for one in self.sound if one.sent_ms > self.office.ends_ms[-1] + SETTLED_MS]
        self.assertGreaterEqual(self.office.share_served(late), MIN_SHARE)

    # Guards against a repeat that ends the next engine before the leader knows what ended.
    async def test_a_request_is_not_sent_again_before_its_engines_port_was_looked_at(self) -> None:
        await self._play(1_000)
        self.office.fatal.add(FATAL)
        self.office.check_ms = 120
        self._send_fatal()
        while not self.office.ends_ms:
            await self._play(STEP_MS)
        await self._play(112)
        self.assertEqual(len(self.office.fatal_arrivals_ms), 1)
        await self._play(400)
        self.assertEqual(len(self.office.fatal_arrivals_ms), 2)

    # Guards against a burst that reaches every engine before the first end is known.
    async def test_a_burst_of_twenty_within_a_second_ends_few_engines(self) -> None:
        await self._play(1_000)
        self.office.fatal.add(FATAL)
        await self._play(1_000, self._fatal_each(48))
        await self._play(5_000)
        self._assert_few_ends()

    # Guards against a part that is told apart from the fatal one only by its own requests.
    async def test_a_part_that_only_such_requests_have_is_held_with_it_and_alone_is_served(
        self,
    ) -> None:
        await self._play(1_000)
        self.office.fatal.add(FATAL)
        await self._play(4_000, self._fatal_each(200, "companion"))
        self._assert_few_ends()
        self.assertEqual(self._held(), {("/companion", f"/{FATAL}")})
        alone = [self.office.send(self._gateway(), ("a0", "companion")) for _ in range(4)]
        await self._play(1_000)
        self.assertEqual(self.office.share_served(alone), 1.0)
        self.assertEqual(self._held(), {(f"/{FATAL}",)})

    # Guards against callers who are refused for the parts that they share with a fatal request.
    async def test_sound_requests_with_the_same_first_part_are_served_like_before(self) -> None:
        await self._play(1_000)
        before = self.office.share_served(self.sound)
        self.office.fatal.add(FATAL)
        await self._play(6_000, self._fatal_each(200))
        refused = [one for one in self.sound if one.reply.reason == PART_ENDS_UPSTREAMS]
        self.assertEqual(refused, [])
        self.assertGreaterEqual(self.office.share_served(self.sound), MIN_SHARE * before)

    # Guards against a rare part that is refused since it ran beside a fatal one.
    async def test_a_rare_part_that_ran_at_two_ends_is_cleared_by_its_next_answer(self) -> None:
        await self._play(1_000)
        self.office.fatal.add(FATAL)

        def script(passed_ms: int) -> None:
            if passed_ms % 200 == 0:
                self._send_fatal()
                self.office.send(self._gateway(), ("a0", "rare"))

        await self._play(4_000, script)
        rare = [one for one in self.office.sent if "rare" in one.parts]
        self.assertEqual([one for one in rare if one.reply.reason == PART_ENDS_UPSTREAMS], [])
        self.assertGreaterEqual(self.office.share_served(rare), 0.85)
        self.assertNotIn("/rare", self.office.leader.placer.suspects)  # type: ignore[union-attr]

    # Guards against an organisation whose requests are refused for another's parts of the same id.
    async def test_a_part_is_held_for_the_organisation_whose_requests_ended_engines(self) -> None:
        await self._play(500)
        self.office.fatal.add(FATAL)

        def script(passed_ms: int) -> None:
            if passed_ms % 200 == 0:
                self.office.send(self._gateway(), (*self._sound_parts(), FATAL), "hot")

        await self._play(3_000, script)
        self.assertEqual(self._held(), {(f"hot/{FATAL}",)})
        self.office.fatal.clear()
        other = [self.office.send(self._gateway(), ("a0", FATAL), "usual") for _ in range(5)]
        await self._play(1_000)
        self.assertEqual(self.office.share_served(other), 1.0)


class HeldPartTest(_PartCase):
    async def _hold(self) -> None:
        await self._play(500)
        self.office.fatal.add(FATAL)
        await self._play(2_500, self._fatal_each(200))
        self.assertEqual(self._held(), {(f"/{FATAL}",)})

    # Guards against a caller who is told that nothing ran after it did, or who waits in vain.
    async def test_a_request_with_a_held_part_is_refused_at_once_as_not_run(self) -> None:
        await self._hold()
        runs, began_ms = len(self.office.runs), self.office.clock.now_ms()
        sent = self._send_fatal()
        while not sent.reply.ended:
            await self.office.step()
        self.assertEqual((sent.reply.status, sent.reply.reason), (503, PART_ENDS_UPSTREAMS))
        self.assertEqual(sent.reply.retry_after_ms, HOLD_MS)
        self.assertLessEqual(self.office.clock.now_ms() - began_ms, STEP_MS)
        self.assertEqual(len(self.office.runs), runs)

    # Guards against an answer that broke off under a part and is called not run.
    async def test_a_request_that_was_sent_before_the_hold_is_not_called_not_run(self) -> None:
        await self._play(500)
        self.office.fatal.add(FATAL)
        await self._play(3_000, self._fatal_each(200))
        ran = {call.request_id for _, _, call in self.office.runs}
        for sent in self.office.sent:
            if FATAL in sent.parts and sent.reply.status == 503:
                self.assertNotIn(f"id-{self.office.sent.index(sent) + 1}", ran)

    # Guards against requests with a held part that wait for an adapter and are sent once it is
    # there.
    async def test_requests_that_wait_as_the_hold_begins_are_refused(self) -> None:
        await self._hold()
        suspects = self.office.leader.placer.suspects  # type: ignore[union-attr]
        suspects.hold(())
        for name in self.office.gateways:
            quarantine = self.office._forwarders[name]._quarantine
            quarantine._parts_retry_ms = {}
        for engine in self.office.upstreams.values():
            engine.holds.clear()
        self.office.see()
        arrivals = len(self.office.fatal_arrivals_ms)
        sent = self._send_fatal()
        await self.office.step()
        self.assertEqual(sent.reply.ended, "")
        suspects.hold([((f"/{FATAL}",), HOLD_MS)])
        await self._play(200)
        self.assertEqual(sent.reply.reason, PART_ENDS_UPSTREAMS)
        self.assertEqual(len(self.office.fatal_arrivals_ms), arrivals)

    # Guards against a hold that ends and costs as many engines as the first time.
    async def test_probing_back_after_a_hold_costs_one_engine_at_most(self) -> None:
        await self._hold()
        ends = len(self.office.ends_ms)
        self.office.clock._now_ms += HOLD_MS
        await self._play(4_000, self._fatal_each(200))
        self.assertLessEqual(len(self.office.ends_ms) - ends, 1)
        self.assertEqual(self._held(), {(f"/{FATAL}",)})
        (offence,) = self.office.state.crashes.parts.offences.values()
        self.assertEqual(offence, 2)

    # Guards against a part that was mended and stays refused.
    async def test_a_part_that_is_answered_after_its_hold_is_cleared(self) -> None:
        await self._hold()
        self.office.fatal.clear()
        self.office.clock._now_ms += HOLD_MS
        await self._play(1_000)
        sent = [self._send_fatal() for _ in range(3)]
        await self._play(1_000)
        self.assertEqual(self.office.share_served(sent), 1.0)
        self.assertEqual(self.office.state.crashes.parts.offences, {})

    # Guards against a hold that a new leader does not know, or that a restart of all forgets.
    async def test_a_hold_is_kept_over_a_change_of_leader_and_restarts_of_gateways(self) -> None:
        await self._hold()
        self.office.begin_leader()
        for name in list(self.office.gateways):
            self.office.restart(name)
        arrivals = len(self.office.fatal_arrivals_ms)
        await self._play(2_000, self._fatal_each(200))
        self.assertEqual(len(self.office.fatal_arrivals_ms), arrivals)

    # Guards against a leader that ends between the first end and the hold, and each of its
    # successors that needs as many ends again.
    async def test_ends_under_a_part_count_over_changes_of_leader(self) -> None:
        await self._play(500)
        self.office.fatal.add(FATAL)

        def script(passed_ms: int) -> None:
            if passed_ms % 200 == 0:
                self._send_fatal()
            if passed_ms % 600 == 304:
                self.office.begin_leader()

        await self._play(6_000, script)
        self._assert_few_ends()

    # Guards against callers who are refused for a sound part: a new leader gets the reports of ends
    # again, of which the cause was found, and another fatal part comes beside the same sound one.
    async def test_ends_of_a_found_part_implicate_no_other_part_at_a_new_leader(self) -> None:
        self.office.fatal = {"fatal-0", "fatal-1"}
        await self._play(1_000)
        for first in ("rare", "a0"):
            self.office.send(self._gateway(), (first, f"{first}-b", "fatal-0"))
            await self._play(800)
        self.assertEqual(self._held(), {("/fatal-0",)})
        self.office.begin_leader()
        await self._play(500)
        self.office.send(self._gateway(), ("rare", "rare-c", "fatal-1"))
        await self._play(800)
        self.assertEqual(self._held(), {("/fatal-0",)})
        sound = self.office.send(self._gateway(), ("rare", "rare-d"))
        await self._play(500)
        self.assertTrue(sound.served)

    # Guards against a request that ended its engine and is sent on to the next without a leader.
    async def test_without_a_leader_a_request_is_not_sent_again_after_its_engine_ended(
        self,
    ) -> None:
        await self._play(3_000)
        self.office.fatal.add(FATAL)
        self._send_fatal()
        await self.office.steps(HEAD_MS + 2 * STEP_MS)
        self.office.lose_leader()
        await self.office.steps(900)
        self.assertLessEqual(len(self.office.ends_ms), 1)


class OtherCauseTest(_PartCase):
    # Guards against frequent parts that are blamed as many engines end at the same moment.
    async def test_engines_that_end_together_implicate_no_part(self) -> None:
        def script(passed_ms: int) -> None:
            if passed_ms % 2_000 == 1_000:
                for instance in list(self.office.upstreams)[: ENGINES // 2]:
                    self.office.end(instance)

        await self._play(9_000, script)
        self.assertEqual(self._held(), set())

    # Guards against parts that are blamed as engines end one after the other for another cause.
    # Guards against callers of a popular part who are refused for a minute: a new leader gets the
    # reports of ends again, and not which parts were answered before the ends were stored.
    async def test_engines_that_ended_before_a_new_leader_implicate_no_part(self) -> None:
        self.office.run_ms = 200
        popular: list[PartCall] = []

        def script(passed_ms: int) -> None:
            if passed_ms % 16 == 0:
                popular.append(self.office.send(self._gateway(), ("popular", f"p{len(popular)}")))
            if passed_ms % 600 == 304 and passed_ms < 2_400:
                self.office.end(self._engines()[0])
            if passed_ms == 3_200:
                self.office.begin_leader()

        await self._play(7_000, script)
        self.assertEqual(self._held(), set())
        refused = [one for one in popular if one.reply.reason == PART_ENDS_UPSTREAMS]
        self.assertEqual(refused, [])

    # Guards against the same where the ends before the new leader came were not stored by any.
    async def test_engines_that_ended_without_a_leader_implicate_no_part(self) -> None:
        self.office.run_ms = 200
        popular: list[PartCall] = []

        def script(passed_ms: int) -> None:
            if passed_ms % 16 == 0:
                popular.append(self.office.send(self._gateway(), ("popular", f"p{len(popular)}")))
            if passed_ms == 200:
                self.office.lose_leader()
            if passed_ms % 600 == 304 and passed_ms < 4_200:
                self.office.end(self._engines()[0])
            if passed_ms == 2_000:
                self.office.begin_leader()

        await self._play(8_000, script)
        self.assertEqual(self._held(), set())
        refused = [one for one in popular if one.reply.reason == PART_ENDS_UPSTREAMS]
        self.assertEqual(refused, [])

    async def test_engines_that_end_in_turn_implicate_no_part(self) -> None:
        def script(passed_ms: int) -> None:
            if passed_ms % 400 == 200:
                self.office.end(self.office.rng.choice(self._engines()))

        await self._play(12_000, script)
        self.assertEqual(self._held(), set())
        self.assertEqual([one for one in self.sound if one.reply.reason == PART_ENDS_UPSTREAMS], [])

    # Guards against sound parts that stay suspect and whose requests share one engine for good.
    async def test_parts_of_an_engine_that_ended_are_cleared_by_the_next_answers(self) -> None:
        await self._play(500)
        self.office.send("g0", ("a0", "rare"))
        await self.office.steps(HEAD_MS + 2 * STEP_MS)
        for instance in self._engines():
            self.office.end(instance, down_ms=100)
        await self._play(100)
        suspects = self.office.leader.placer.suspects  # type: ignore[union-attr]
        self.assertGreater(len(suspects), 0)
        for part in [part for one in self.office.sent for part in one.parts]:
            self.office.send(self._gateway(), (part,))
            await self._play(STEP_MS)
        await self._play(500)
        self.assertEqual(len(suspects), 0)
        self.assertEqual(self.office.state.crashes.parts.ends, {})

    # Guards against the first part of all prompts that is held as nothing is answered any more.
    async def test_a_part_of_all_prompts_is_not_held_while_nothing_is_answered(self) -> None:
        await self._play(500)
        self.office.run_ms = 1_200

        def script(passed_ms: int) -> None:
            if passed_ms % 48 == 0:
                self.office.send(self._gateway(), ("everyone",))
            if passed_ms % 400 == 200:
                for instance in self._engines():
                    self.office.end(instance, down_ms=200)

        for passed_ms in range(0, 5_000, STEP_MS):
            script(passed_ms)
            await self.office.step()
        self.assertEqual(self._held(), set())

    # Guards against parts of requests that ran as an engine ended that had said that it leaves.
    async def test_an_engine_that_leaves_and_ends_implicates_no_part(self) -> None:
        await self._play(500)
        self.office.fatal.add(FATAL)
        for upstream in self.office.upstreams.values():
            self.office.state.roster.mark_leaving(upstream.record.instance)
        self._send_fatal()
        await self._play(150)
        self.assertEqual(len(self.office.ends_ms), 1)
        self.assertEqual(len(self.office.leader.placer.suspects), 0)  # type: ignore[union-attr]

    # Guards against what a single request does being blamed on the parts that it shares.
    async def test_a_request_that_ends_engines_by_itself_brings_no_part_into_disrepute(
        self,
    ) -> None:
        office = self.office
        await self._play(500)
        office.is_fatal = lambda call: call.body == b"deadly"  # type: ignore[method-assign]

        def script(passed_ms: int) -> None:
            if passed_ms % 400 == 0:
                office.send(self._gateway(), ("a0", "b0"), body=b"deadly")

        await self._play(5_000, script)
        self.assertEqual(self._held(), set())
        self.assertEqual(len(office.state.crashes.quarantined), 1)
        self.assertLessEqual(len(office.ends_ms), MAX_ENDS)
        sound = office.send("g0", ("a0", "b0"))
        await self._play(DOWN_MS)
        self.assertTrue(sound.served)


class CostTest(_PartCase):
    # Guards against work for prompts with parts while no engine ends.
    async def test_nothing_is_kept_while_no_engine_ends(self) -> None:
        await self._play(2_000)
        assert self.office.leader is not None
        self.assertTrue(self.office.leader.placer.suspects.is_empty)
        self.assertEqual(self.office.state.crashes.changes, 0)
        self.assertEqual(self.office.share_served(self.sound), 1.0)

    # Guards against memory that grows with the parts of prompts.
    async def test_thousands_of_parts_a_prompt_are_bounded(self) -> None:
        await self._play(200)
        many = [
            self.office.send(self._gateway(), [f"p{at}-{n}" for n in range(3_000)])
            for at in range(20)
        ]
        await self.office.steps(40)
        for instance in self._engines()[:4]:
            self.office.end(instance)
        await self._play(3_000)
        self.assertGreater(self.office.share_served(many), 0.5)
        assert self.office.leader is not None
        self.assertLessEqual(len(self.office.leader.placer.suspects), 20 * 64)
