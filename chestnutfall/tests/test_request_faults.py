"""Answers to callers when an engine fails at each step of a request.

Guards against four failures: an answer that belongs to another caller, a short answer that looks
whole, an answer of the wrong adapter version, and a second run of a non-idempotent request. The
engine or its connection has one fault at a time. The gateway checks the answer and resumes it,
repeats the request on another engine if it can't run twice that way, or reports what it knows.
"""

from __future__ import annotations

import asyncio
import unittest

from ..requests import Executed, Refusal
from .fakes.fake_office import FakeOffice

RESUMED = ("mid_reset", "mid_silent", "short", "gap")
REPEATED = ("unreachable", "reset", "silent", "wrong_model", "wrong_answer")


class RequestFaultTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.office = FakeOffice()
        await self.office.start(gateways=2, engines=2)
        self.entry = self.office.gateway(0)

    async def asyncTearDown(self) -> None:
        await self.office.stop()

    def _fault_everywhere(self, fault: str, times: int = 1) -> None:
        for engine, _ in self.office.announced.values():
            engine.faults[fault] = times

    def _runs(self) -> list[str]:
        return [run for engine, _ in self.office.announced.values() for run in engine.ran]

    async def _refusal(self, model: str, **headers: str) -> Refusal:
        with self.assertRaises(Refusal) as caught:
            await self.office.finish(self.entry.answer(self.entry.request(model, **headers)))
        return caught.exception

    def _assert_whole(self, events: list[bytes], model: str) -> None:
        self.assertEqual(events[-1], b"[DONE]")
        texts = [f'"{model} {number}"'.encode() for number in range(6)]
        self.assertEqual(len(events), 7)
        for text, event in zip(texts, events, strict=False):
            self.assertIn(text, event)

    async def test_an_answer_is_whole_and_from_the_exact_version(self) -> None:
        req = self.entry.request("a1@1")
        events = await self.office.finish(self.entry.answer(req))
        self._assert_whole(events, "a1@1+" + "ab" * 8)

    async def test_idempotent_requests_are_repeated_and_come_back_whole(self) -> None:
        for fault in REPEATED:
            with self.subTest(fault=fault):
                self._fault_everywhere(fault)
                req = self.entry.request("a1@1")
                events = await self.office.finish(self.entry.answer(req))
                self._assert_whole(events, req.model)
                self._fault_everywhere(fault, 0)

    async def test_broken_streams_are_resumed_without_a_second_run(self) -> None:
        for fault in (*RESUMED, "duplicate"):
            for model in ("a1@1", "once@1"):
                with self.subTest(fault=fault, model=model):
                    self._fault_everywhere(fault)
                    before = len(self._runs())
                    req = self.entry.request(model)
                    events = await self.office.finish(self.entry.answer(req))
                    self._assert_whole(events, req.model)
                    self.assertEqual(len(self._runs()), before + 1)
                    self._fault_everywhere(fault, 0)

    async def test_event_of_another_answer_is_never_passed_on(self) -> None:
        # A proxy confuses two connections in the middle of a stream.
        self._fault_everywhere("mixed_up")
        seen: list[bytes] = []

        async def read() -> None:
            async for events in self.entry.dispatcher.answer(self.entry.request("a1@1")):
                seen.extend(event.data for event in events)

        with self.assertRaises(Refusal) as caught:
            await self.office.finish(read())
        self.assertEqual(caught.exception.code, "wrong_answer")
        self.assertEqual(len(seen), 2)
        self.assertFalse([event for event in seen if b"another" in event])

    async def test_event_that_comes_twice_is_dropped_and_counted(self) -> None:
        self._fault_everywhere("duplicate")
        await self.office.finish(self.entry.answer(self.entry.request("a1@1")))
        self.assertEqual(self.entry.metrics.counts["events_dropped"], 1)
        self.assertEqual(self.entry.metrics.counts["resumes"], 0)

    async def test_non_idempotent_requests_are_never_dispatched_twice(self) -> None:
        for fault in ("reset", "silent", "wrong_model", "wrong_answer"):
            with self.subTest(fault=fault):
                self._fault_everywhere(fault)
                before = len(self._runs())
                refusal = await self._refusal("once@1", X_Timeout_Ms="5000")
                self.assertEqual(len(self._runs()), before + 1)
                self.assertIsNot(refusal.executed, Executed.NO)
                self.assertIsNone(refusal.retry_after_ms)
                self._fault_everywhere(fault, 0)

    async def test_non_idempotent_request_that_never_left_is_sent_elsewhere(self) -> None:
        self._fault_everywhere("unreachable")
        req = self.entry.request("once@1")
        self._assert_whole(await self.office.finish(self.entry.answer(req)), req.model)
        self.assertEqual(len(self._runs()), 1)

    async def test_not_run_is_said_only_when_nothing_ran(self) -> None:
        self._fault_everywhere("unreachable", 100)
        refusal = await self._refusal("a1@1")
        self.assertIs(refusal.executed, Executed.NO)
        self.assertEqual(refusal.status, 503)
        self.assertEqual(self._runs(), [])
        self._fault_everywhere("unreachable", 0)
        self._fault_everywhere("reset", 100)
        refusal = await self._refusal("a1@1")
        self.assertIs(refusal.executed, Executed.UNKNOWN)

    async def test_refused_repeat_does_not_hide_that_the_first_attempt_may_have_run(self) -> None:
        # The first attempt breaks off after the engine accepted it, and no engine accepts the
        # repeat. The second attempt ran nothing, but the request may have run in the first.
        self._fault_everywhere("reset")
        answer = asyncio.ensure_future(self.entry.answer(self.entry.request("a1@1")))
        while not self._runs():
            await self.office.clock.advance(1)
        for name, (engine, _) in list(self.office.announced.items()):
            self.office.announced[name] = (engine, "leaving")
        for gateway in self.office.gateways.values():
            gateway.registry.is_drained = lambda name: True
        with self.assertRaises(Refusal) as caught:
            await self.office.done(answer)
        self.assertIs(caught.exception.executed, Executed.UNKNOWN)
        self.assertEqual(caught.exception.status, 502)

    async def test_stream_that_can_not_be_resumed_breaks_visibly(self) -> None:
        # The engine restarts empty after some events, so the rest of the answer is lost. The events
        # sent so far must not look like a whole answer, and the request must not run again.
        for model in ("a1@1", "once@1"):
            req = self.entry.request(model)
            seen: list[bytes] = []

            async def read(req: object = req, seen: list[bytes] = seen) -> None:
                async for events in self.entry.dispatcher.answer(req):  # type: ignore[arg-type]
                    seen.extend(event.data for event in events)
                    if len(seen) == 2:
                        for engine, _ in self.office.announced.values():
                            engine.restart_empty()

            with self.subTest(model=model), self.assertRaises(Refusal) as caught:
                await self.office.finish(read())
            self.assertNotIn(b"[DONE]", seen)
            self.assertIs(caught.exception.executed, Executed.YES)
            await self.office.clock.advance(1000)

    async def test_caller_that_leaves_frees_its_place_on_the_engine(self) -> None:
        req = self.entry.request("a1@1")
        events = self.entry.dispatcher.answer(req)
        await self.office.finish(anext(events))
        await self.office.finish(events.aclose())
        await self.office.clock.advance(500)
        self.assertEqual(len(self.office.engines.cancelled), 1)
        views = list(self.office.gateway(0).links.views())
        self.assertEqual([view.running for view in views], [0, 0])

    async def test_load_that_fails_is_refused_with_a_time_to_come_back(self) -> None:
        self._fault_everywhere("load_failure", 100)
        refusal = await self._refusal("a1@1")
        self.assertEqual(refusal.code, "adapter_load_failed")
        self.assertIs(refusal.executed, Executed.NO)
        self.assertGreater(refusal.retry_after_ms or 0, 0)
        self._fault_everywhere("load_failure", 0)
        req = self.entry.request("a2@1")
        self._assert_whole(await self.office.finish(self.entry.answer(req)), req.model)

    async def test_engine_that_restarts_empty_is_loaded_again(self) -> None:
        # The engine's old process held the adapter, and the owner still takes it as loaded.
        for pause_ms in (0, 300, 3000):
            with self.subTest(pause_ms=pause_ms):
                for engine, _ in self.office.announced.values():
                    engine.restart_empty()
                await self.office.clock.advance(pause_ms)
                req = self.entry.request("a1@1")
                self._assert_whole(await self.office.finish(self.entry.answer(req)), req.model)

    async def test_gateway_without_a_session_dispatches_nothing(self) -> None:
        # The gateway was suspended between its ticket and the dispatch, so the owner dropped the
        # ticket.
        self.entry.agent._lease_until_ms = 0
        self.entry.client.cut = True
        owner = self.office.other(self.entry)
        self.assertTrue(owner.agent.has_session())
        refusal = await self._refusal("a1@1")
        self.assertIs(refusal.executed, Executed.NO)
        self.assertEqual(self._runs(), [])

    async def test_order_whose_answer_was_lost_is_found_out_from_the_engine(self) -> None:
        self._fault_everywhere("order_lost")
        req = self.entry.request("a1@1")
        self._assert_whole(await self.office.finish(self.entry.answer(req)), req.model)
