"""The limit on the time between the parts of an answer."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator
from unittest.mock import patch

from ..engine_edge.gap_limit import GapLimit
from ..forwarding.upstream_api import SILENT, AnswerLost
from .fakes.shifted_loop import ShiftedLoop

SILENT_MS = 1_000
SOON_S = 0.9
LATE_S = 1.1


class GapLimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.loop = ShiftedLoop()
        self.parts: asyncio.Queue[int] = asyncio.Queue()
        self.got: list[int] = []
        self.wake = asyncio.Event()
        self.wake.set()
        self.reading = asyncio.ensure_future(self._read())
        await self.loop.pass_s(0)

    async def asyncTearDown(self) -> None:
        self.reading.cancel()
        await asyncio.gather(self.reading, return_exceptions=True)

    async def _body(self) -> AsyncIterator[int]:
        while True:
            yield await self.parts.get()

    async def _read(self) -> None:
        """Take parts as the reader of an answer does; `wake` holds their receiver back."""
        with GapLimit(SILENT_MS) as gap:
            async for part in self._body():
                gap.end_wait()
                self.got.append(part)
                await self.wake.wait()
                gap.begin_wait()

    async def _give(self, part: int) -> None:
        self.parts.put_nowait(part)
        await self.loop.pass_s(0)

    async def _assert_lost(self) -> None:
        with self.assertRaises(AnswerLost) as caught:
            await self.reading
        self.assertEqual(str(caught.exception), SILENT)

    async def test_parts_in_time_pass_whatever_they_take_together(self) -> None:
        for part in range(5):
            await self._give(part)
            await self.loop.pass_s(SOON_S)
        self.assertEqual((self.got, self.reading.done()), ([0, 1, 2, 3, 4], False))

    async def test_a_gap_ends_the_wait(self) -> None:
        for part in range(3):
            await self._give(part)
            await self.loop.pass_s(SOON_S)
        await self.loop.pass_s(LATE_S - SOON_S)
        await self._assert_lost()

    # Guards against a limit that the timer's first call, which came too early, has used up.
    async def test_a_gap_that_begins_before_the_timer_is_due_ends_the_wait(self) -> None:
        await self._give(0)
        await self.loop.pass_s(SOON_S)
        await self._give(1)
        await self.loop.pass_s(LATE_S - SOON_S)
        self.assertFalse(self.reading.done())
        await self.loop.pass_s(SOON_S)
        await self._assert_lost()

    # Guards against the cost of a timer for each event of a stream.
    async def test_one_timer_serves_many_parts(self) -> None:
        loop = asyncio.get_running_loop()
        with patch.object(loop, "call_at", wraps=loop.call_at) as call_at:
            for part in range(50):
                await self._give(part)
        self.assertEqual((len(self.got), call_at.call_count), (50, 1))

    # Guards against a gap after a wait of the receiver in which the timer fell due and was not set.
    async def test_a_gap_after_a_slow_receiver_ends_the_wait(self) -> None:
        await self._give(0)
        self.wake.clear()
        await self._give(1)
        await self.loop.pass_s(LATE_S)
        self.wake.set()
        await self.loop.pass_s(0)
        await self.loop.pass_s(LATE_S)
        await self._assert_lost()

    # Guards against a slow caller that is taken for a silent engine.
    async def test_a_slow_receiver_is_no_gap(self) -> None:
        await self._give(0)
        self.wake.clear()
        await self._give(1)
        await self.loop.pass_s(10 * LATE_S)
        self.wake.set()
        await self._give(2)
        self.assertEqual((self.got, self.reading.done()), ([0, 1, 2], False))

    async def test_the_first_part_has_no_limit(self) -> None:
        await self.loop.pass_s(10 * LATE_S)
        await self._give(0)
        self.assertEqual(self.got, [0])

    # Guards against a request that goes on although it was cancelled as the timer fell due.
    async def test_a_cancellation_by_others_is_obeyed(self) -> None:
        await self._give(0)
        self.loop.skip(LATE_S)
        asyncio.get_running_loop().call_later(0, self.reading.cancel)
        await self.loop.pass_s(0)
        with self.assertRaises(asyncio.CancelledError):
            await self.reading

    # Guards against a timer that outlives its answer and cancels what the task does next.
    async def test_nothing_is_cancelled_after_the_end(self) -> None:
        async def read_and_go_on() -> str:
            with GapLimit(SILENT_MS) as gap:
                gap.begin_wait()
            await self.wake.wait()
            return "went on"

        self.wake.clear()
        task = asyncio.ensure_future(read_and_go_on())
        await self.loop.pass_s(0)
        await self.loop.pass_s(LATE_S)
        self.wake.set()
        self.assertEqual(await task, "went on")
