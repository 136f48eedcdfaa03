"""Engines that fall silent for a second or so and go on, which is no fault.

Guards against requests that are given up although their engine still answers, and before another
one could take them; and against silent engines that are taken for dead ones.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from ..requests import Executed, Refusal
from ..routing.retry_budget import MAX_TOKENS, PER_REQUEST
from .fakes.fake_engine import FakeEngine
from .fakes.fake_office import FakeOffice

SILENT_MS = 1_000
"""Silence after which a service's connections count as dead, in the configuration of the office."""
PAUSES_MS = (300, 1_000, 1_500, 4_500)
KINDS: tuple[tuple[str, dict[str, str]], ...] = (
    ("a1@1", {}),
    ("once@1", {}),
    ("a1@1", {"Idempotency_Key": "key"}),
)
FOR_EVER_MS = 1_000_000


class CompletionSilenceTest(unittest.IsolatedAsyncioTestCase):
    async def _start(self, engines: int) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.office = FakeOffice()
        await self.office.start(gateways=2, engines=engines)
        self.gateway = self.office.gateway()
        self.broken: list[Any] = []
        quarantine: Any = self.gateway.quarantine
        quarantine.note_broken = lambda *args: self.broken.append(args)

    async def asyncTearDown(self) -> None:
        await self.office.stop()

    def _engines(self) -> list[FakeEngine]:
        return [engine for engine, _ in self.office.announced.values()]

    def _runs(self) -> int:
        return sum(len(engine.ran) for engine in self._engines())

    def _silence(self, ms: int) -> None:
        for engine in self._engines():
            engine.silent_until_ms = self.office.clock.now_ms() + ms

    def _begin(self, model: str, **headers: str) -> asyncio.Task[list[bytes]]:
        req = self.gateway.request(model, **headers)
        return asyncio.ensure_future(self.gateway.answer(req))

    async def _whole(self, task: asyncio.Task[list[bytes]]) -> None:
        events = await self.office.done(task, 100_000)
        self.assertEqual((len(events), events[-1]), (7, b"[DONE]"))

    async def _until_sent(self, runs: int) -> None:
        while self._runs() < runs:
            await self.office.clock.advance(1)

    # Guards against a request that is refused, or sent twice, since all engines pause at once.
    async def test_a_pause_before_the_first_event(self) -> None:
        await self._start(1)
        for pause_ms in PAUSES_MS:
            for number, (model, headers) in enumerate(KINDS):
                with self.subTest(pause_ms=pause_ms, kind=number):
                    headers = {name: f"{key}-{pause_ms}" for name, key in headers.items()}
                    await self._whole(self._begin(model))
                    before = self._runs()
                    self._silence(pause_ms)
                    task = self._begin(model, **headers)
                    await self._whole(task)
                    self.assertEqual(self._runs(), before + 1)
        self.assertEqual(self.broken, [])
        self.assertEqual(self.gateway.metrics.counts["retries"], 0)

    # Guards against a stream that is broken off after a few pauses, or one long one.
    async def test_pauses_between_events(self) -> None:
        await self._start(1)
        for pause_ms in PAUSES_MS:
            for number, (model, headers) in enumerate(KINDS):
                with self.subTest(pause_ms=pause_ms, kind=number):
                    headers = {name: f"{key}-{pause_ms}" for name, key in headers.items()}
                    await self._whole(self._begin(model))
                    before = self._runs()
                    task = self._begin(model, **headers)
                    await self._until_sent(before + 1)
                    for _ in range(4):
                        await self.office.clock.advance(12)
                        self._silence(pause_ms)
                        await self.office.clock.advance(pause_ms)
                    await self._whole(task)
                    self.assertEqual(self._runs(), before + 1)
        self.assertEqual(self.broken, [])

    # Guards against a request that waits for a hung engine although another one is sound.
    async def test_a_hung_engine_costs_callers_no_more_than_the_silence(self) -> None:
        await self._start(2)
        for _ in range(2):
            await self._whole(self._begin("a1@1"))
        for engine in self._engines():
            engine.adapters[self.gateway.request("a1@1").model] = "ready"
        task = self._begin("a1@1")
        await self._until_sent(3)
        hung = next(engine for engine in self._engines() if engine.running)
        hung.silent_until_ms = self.office.clock.now_ms() + FOR_EVER_MS
        began_ms = self.office.clock.now_ms()
        await self._whole(task)
        self.assertLessEqual(self.office.clock.now_ms() - began_ms, 2 * SILENT_MS)
        await self.office.clock.advance(100)
        self.assertEqual(hung.running, {})
        self.assertEqual(self.broken, [])

    # Guards against an answer that is thrown away since a repeat is under way.
    async def test_whoever_answers_first_is_passed_on(self) -> None:
        await self._start(2)
        await self._whole(self._begin("a1@1"))
        for engine in self._engines():
            engine.head_ms = 800
        first = next(engine for engine in self._engines() if engine.ran)
        self._silence(0)
        task = self._begin("a1@1")
        await self._until_sent(2)
        first.silent_until_ms = self.office.clock.now_ms() + SILENT_MS + 300
        await self._whole(task)
        self.assertEqual(len(first.ran), 2)
        await self.office.clock.advance(100)
        self.assertEqual([engine.running for engine in self._engines()], [{}, {}])

    # Guards against two engines that both run a request for as long as its answer takes.
    async def test_the_attempt_that_did_not_answer_first_ends_at_once(self) -> None:
        await self._start(2)
        for engine in self._engines():
            engine.tokens = 100
            engine.adapters[self.gateway.request("a1@1").model] = "ready"
        task = self._begin("a1@1")
        await self._until_sent(1)
        first = next(engine for engine in self._engines() if engine.ran)
        first.silent_until_ms = self.office.clock.now_ms() + FOR_EVER_MS
        await self.office.clock.advance(SILENT_MS + 300)
        self.assertFalse(task.done())
        self.assertEqual(first.running, {})
        events = await self.office.done(task)
        self.assertEqual(events[-1], b"[DONE]")

    # Guards against a living request that is given up without a repeat that could replace it.
    async def test_without_a_repeat_in_the_budget(self) -> None:
        await self._start(2)
        await self._whole(self._begin("a1@1"))
        self.gateway.dispatcher._budget._tokens = 0.0
        self._silence(1_500)
        await self._whole(self._begin("a1@1"))
        self.assertEqual(self._runs(), 2)

    # Guards against a budget that a second of silence empties for the failures that follow.
    async def test_a_pause_of_all_engines_leaves_the_budget_as_it_was(self) -> None:
        await self._start(2)
        await self._whole(self._begin("a1@1"))
        before = self.gateway.dispatcher._budget._tokens
        self._silence(1_500)
        tasks = [self._begin("a1@1") for _ in range(8)]
        for task in tasks:
            await self._whole(task)
        self.assertGreaterEqual(self.gateway.dispatcher._budget._tokens, before)
        self.assertEqual(self.broken, [])

    # Guards against a request that ends sooner, or later, than its caller's own deadline.
    async def test_a_request_that_may_run_once_waits_to_its_deadline(self) -> None:
        await self._start(2)
        await self._whole(self._begin("once@1"))
        self._silence(FOR_EVER_MS)
        began_ms = self.office.clock.now_ms()
        with self.assertRaises(Refusal) as caught:
            await self._whole(self._begin("once@1", X_Timeout_Ms="5000"))
        waited_ms = self.office.clock.now_ms() - began_ms
        self.assertTrue(5_000 <= waited_ms <= 5_500, waited_ms)
        self.assertEqual((caught.exception.status, self._runs()), (502, 2))
        self.assertIs(caught.exception.executed, Executed.UNKNOWN)
        self.assertEqual(self.broken, [])

    # Guards against a begun stream that ends sooner than its caller waits, or never.
    async def test_a_stream_that_stays_silent_ends_when_its_caller_would_give_up(self) -> None:
        await self._start(1)
        await self._whole(self._begin("a1@1"))
        task = self._begin("a1@1", X_Timeout_Ms="5000")
        await self._until_sent(2)
        await self.office.clock.advance(25)
        self._silence(FOR_EVER_MS)
        began_ms = self.office.clock.now_ms()
        with self.assertRaises(Refusal) as caught:
            await self.office.done(task)
        waited_ms = self.office.clock.now_ms() - began_ms
        self.assertTrue(5_000 <= waited_ms <= 5_000 + 2 * SILENT_MS, waited_ms)
        self.assertIs(caught.exception.executed, Executed.YES)
        self.assertEqual(self.broken, [])

    # Guards against a request that waits to its deadline since the second engine hangs as well.
    async def test_two_hung_engines_leave_a_third(self) -> None:
        await self._start(3)
        for engine in self._engines():
            engine.adapters[self.gateway.request("a1@1").model] = "ready"
        for engine in self._engines()[:2]:
            engine.silent_until_ms = self.office.clock.now_ms() + FOR_EVER_MS
        began_ms = self.office.clock.now_ms()
        tasks = [self._begin("a1@1") for _ in range(3)]
        for task in tasks:
            await self._whole(task)
        self.assertLessEqual(self.office.clock.now_ms() - began_ms, 4 * SILENT_MS)
        self.assertGreaterEqual(min(len(engine.ran) for engine in self._engines()), 1)

    async def _begin_at_hung(
        self, engines: int, hung_ms: int = FOR_EVER_MS
    ) -> tuple[asyncio.Task[list[bytes]], FakeEngine]:
        """Begin a request at an engine that hangs; all hold its adapter."""
        await self._start(engines)
        for engine in self._engines():
            engine.adapters[self.gateway.request("a1@1").model] = "ready"
        task = self._begin("a1@1", X_Timeout_Ms="20000")
        await self._until_sent(1)
        hung = next(engine for engine in self._engines() if engine.ran)
        hung.silent_until_ms = self.office.clock.now_ms() + hung_ms
        return task, hung

    # Guards against a request that goes to an engine that fails again and again, beside one that
    # hangs, while sound ones are not asked.
    async def test_an_engine_that_failed_beside_a_hung_one_is_not_asked_again(self) -> None:
        for number in range(4):
            with self.subTest(failing=number):
                task, hung = await self._begin_at_hung(5)
                began_ms = self.office.clock.now_ms()
                failing = [engine for engine in self._engines() if engine is not hung][number]
                failing.faults["reset"] = 1_000
                await self._whole(task)
                self.assertLessEqual(self.office.clock.now_ms() - began_ms, 4 * SILENT_MS)
                self.assertLessEqual(len(failing.ran), 1)
                await self.office.stop()

    # Guards against a request that reaches one engine after the other beside one that hangs.
    async def test_attempts_beside_a_hung_engine_are_bounded(self) -> None:
        task, hung = await self._begin_at_hung(8, 16 * SILENT_MS)
        for engine in self._engines():
            if engine is not hung:
                engine.faults["reset"] = 1_000
        await self.office.clock.advance(15 * SILENT_MS)
        self.assertFalse(task.done())
        self.assertEqual((len(hung.ran), self._runs()), (1, 4))
        await self._whole(task)
        self.assertEqual(self._runs(), 4)

    # Guards against a repeat that goes back to the engine that failed, while sound ones are idle.
    async def test_a_repeat_avoids_the_engine_that_failed(self) -> None:
        await self._start(3)
        for engine in self._engines():
            engine.adapters[self.gateway.request("a1@1").model] = "ready"
        failing = self._engines()[0]
        failing.faults["reset"] = 1_000
        for _ in range(3):
            await self._whole(self._begin("a1@1"))
        self.assertGreaterEqual(len(failing.ran), 1)
        self.assertEqual(self.gateway.metrics.counts["retries"], len(failing.ran))

    # Guards against a second and third run of each request, for ever, of engines that begin late.
    async def test_slow_engines_get_few_second_runs(self) -> None:
        for head_ms in (1_500, 3_500):
            with self.subTest(head_ms=head_ms):
                await self._start(3)
                for engine in self._engines():
                    engine.adapters[self.gateway.request("a1@1").model] = "ready"
                    engine.head_ms = head_ms
                for _ in range(100):
                    await self._whole(self._begin("a1@1"))
                self.assertLessEqual(self._runs(), self._most_runs(100))
                await self.office.stop()

    @staticmethod
    def _most_runs(requests: int) -> float:
        """Runs of the requests, repeats of the budget, and some that pauses give back."""
        return requests * 1.2 + MAX_TOKENS + PER_REQUEST * requests

    # Guards against second runs of all requests of a service whose engines pause together.
    async def test_a_pause_of_all_engines_gets_no_second_run(self) -> None:
        await self._start(4)
        for engine in self._engines():
            engine.adapters[self.gateway.request("a1@1").model] = "ready"
        self._silence(1_500)
        tasks = [self._begin("a1@1") for _ in range(8)]
        await self._until_sent(8)
        for task in tasks:
            await self._whole(task)
        self.assertEqual(self._runs(), 8)

    # Guards against a request that is kept at a hung engine since others paused before.
    async def test_engines_that_hang_together_are_left(self) -> None:
        await self._start(4)
        for engine in self._engines():
            engine.adapters[self.gateway.request("a1@1").model] = "ready"
        for engine in self._engines()[:2]:
            engine.silent_until_ms = self.office.clock.now_ms() + FOR_EVER_MS
        began_ms = self.office.clock.now_ms()
        for task in [self._begin("a1@1") for _ in range(4)]:
            await self._whole(task)
        self.assertLessEqual(self.office.clock.now_ms() - began_ms, 4 * SILENT_MS)

    # Guards against a budget that attempts empty which waited for a ticket and were never sent.
    async def test_what_was_not_sent_costs_no_repeat(self) -> None:
        await self._start(1)
        await self._whole(self._begin("a1@1"))
        before = self.gateway.dispatcher._budget._tokens
        for _ in range(3):
            self._silence(4_500)
            await self._whole(self._begin("a1@1"))
        self.assertGreater(self.gateway.metrics.counts["attempts_beside"], 0)
        self.assertGreaterEqual(self.gateway.dispatcher._budget._tokens, before)
