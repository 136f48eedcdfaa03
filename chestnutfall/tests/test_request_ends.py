"""How a client's request ends, and what the log and the metrics say of it."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import get_args
from unittest.mock import patch

from ..clock import ManualClock
from ..forwarding.caller_reply import CallerGone
from ..forwarding.ended_reply import EndedReply
from ..forwarding.request_end import Answered, BrokenOff, CallerLeft, Refused, RequestEnd, Stopped
from ..forwarding.request_ends import READ_WITHIN_MS, RequestEnds
from ..observability.prometheus_metrics import PrometheusMetrics
from ..requests import Executed
from ..routes import RouteKind
from .fakes.fake_upstreams import RecordedReply
from .fakes.forwarder_case import ForwarderCase

Work = Callable[[EndedReply], Awaitable[None]]


async def _answered(answer: EndedReply) -> None:
    await answer.send_whole(200, (), b"answer")


async def _answered_late(answer: EndedReply) -> None:
    await _answered(answer)
    # As after a cancellation in the last write.
    answer.is_sending = True


async def _streamed(answer: EndedReply) -> None:
    await answer.start(200, ())
    await answer.write(b"id: 1\n\n")
    await answer.finish()


async def _refused(answer: EndedReply) -> None:
    await answer.refuse(Refused(503, "full", Executed.NO, 500, "o", 7))


async def _broken_off(answer: EndedReply) -> None:
    await answer.start(200, ())
    answer.break_off(BrokenOff("silent"))


async def _left(answer: EndedReply) -> None:
    raise CallerGone


async def _left_in_stream(answer: EndedReply) -> None:
    await answer.start(200, ())
    raise CallerGone


async def _wait_for_ever(answer: EndedReply) -> None:
    await asyncio.get_running_loop().create_future()


class RequestEndsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(10)
        self.metrics = PrometheusMetrics()
        self.reply = RecordedReply()
        self.lines: list[str] = []

    async def _run(self, work: Work, cancel: bool = False) -> None:
        """Run `work` for the request `id-1`, and collect the log lines."""
        ends = RequestEnds(self.clock, self.metrics)
        with self.assertLogs("chestnutfall.forwarding.request_ends", "INFO") as logs:
            task = asyncio.ensure_future(ends.run("id-1", 0, self.reply, work))
            await self.clock.settle()
            if cancel:
                task.cancel()
            await asyncio.wait({task})
        self.lines = [record.getMessage() for record in logs.records]

    # Guards against an end that is neither in the log nor counted, so that an operator can't tell
    # a client that left from an end on the gateway's side.
    async def test_every_way_to_end_has_one_log_line_and_a_count_of_its_own(self) -> None:
        left = "client closed its connection"
        refusal = "refused status=503 reason=full executed=no organisation=o version=7 retry=500"
        cases: tuple[tuple[type[RequestEnd], Work, bool, bool, str, str], ...] = (
            (Refused, _refused, False, False, refusal, "refused"),
            (BrokenOff, _broken_off, False, False, "broken off reason=silent", "broken_off"),
            (CallerLeft, _left, False, False, f"{left} begun=0 sends=0 sent=-1", "caller_left"),
            (
                CallerLeft,
                _left_in_stream,
                False,
                False,
                f"{left} begun=1 sends=0 sent=-1",
                "caller_left",
            ),
            (
                CallerLeft,
                _wait_for_ever,
                True,
                True,
                f"{left} begun=0 sends=0 sent=-1",
                "caller_left",
            ),
            (Stopped, _wait_for_ever, True, False, "ended as the gateway stops begun=0", "stopped"),
            (Answered, _answered_late, False, False, "answered late status=200", "answered"),
        )
        self.assertEqual({case[0] for case in cases}, set(get_args(RequestEnd)))
        for _, work, cancel, gone, line, count in cases:
            with self.subTest(line):
                self.setUp()
                self.reply.gone = gone
                await self._run(work, cancel)
                self.assertEqual(self.lines, [f"call: id=id-1 {line} ms=10"])
                ended = [one for one in self.metrics.text().splitlines() if "_ended_" in one]
                self.assertEqual(ended, [f"chestnutfall_ended_{count}_total 1"])

    # Guards against answers that use up the lines that a process may write a second: the line of
    # the last send says how they ended.
    async def test_a_whole_answer_is_counted_and_has_no_second_line(self) -> None:
        for work in (_answered, _streamed):
            with self.subTest(work.__name__), self.assertNoLogs("chestnutfall", "INFO"):
                self.setUp()
                ends = RequestEnds(self.clock, self.metrics)
                await ends.run("id-1", 0, self.reply, work)
                self.assertIn("chestnutfall_ended_answered_total 1", self.metrics.text())

    # Guards against an answer that stays in memory for as long as its client likes: the client
    # reads nothing of it, and the call's time is up.
    async def test_an_answer_that_is_not_read_is_broken_off(self) -> None:
        unread: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        async def never_read(*_: object) -> None:
            await asyncio.shield(unread)

        async def out_of_time(answer: EndedReply) -> None:
            try:
                await self.clock.within_ms(100, answer.send_whole(200, (), b"answer"))
            except TimeoutError:
                await answer.refuse(Refused(504, "out_of_time"))

        with (
            patch.object(self.reply, "send_whole", never_read),
            patch.object(self.reply, "delivered", never_read),
        ):
            ends = RequestEnds(self.clock, self.metrics)
            task = asyncio.ensure_future(ends.run("id-1", 0, self.reply, out_of_time))
            await self.clock.advance(100 + READ_WITHIN_MS - 1)
            self.assertEqual((self.reply.ended, task.done()), ("", False))
            await self.clock.advance(1)
            await task
        self.assertEqual((self.reply.ended, self.reply.reason), ("broken off", "not_read"))
        self.assertIn("chestnutfall_ended_broken_off_total 1", self.metrics.text())


class AnswerLineTest(ForwarderCase):
    # Guards against an answer of which the log says nothing: it has no line but that of its send.
    async def test_the_line_of_the_last_send_tells_of_a_whole_answer(self) -> None:
        for script, result in (((b"answer",), "Delivered"), (500, "Failed")):
            self.setUp()
            with (
                self.subTest(result),
                self.assertLogs("chestnutfall.forwarding.send_log", "INFO") as logs,
            ):
                await self._serve(RouteKind.NON_IDEMPOTENT, (script,))
                self.assertEqual(self.reply.ended, "whole")
                self.assertEqual(len(logs.records), 1)
                line = logs.records[0].getMessage()
                self.assertIn("id=id-1 ", line)
                self.assertIn(f"result={result} ", line)
