"""Races of attempts of which some fail, without engines."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncGenerator

from ..clock import ManualClock
from ..engine_edge import EngineRefused
from ..requests import Executed, Refusal
from ..routing.answer_race import AnswerRace
from ..routing.attempt import Attempt

SILENT_MS = 1_000


class AnswerRaceTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a request that is refused instead of repeated, since no other engine was free
    # while its own, which then turned it away, was silent.
    async def test_an_attempt_that_was_not_sent_is_no_failure(self) -> None:
        clock = ManualClock()
        unsent: list[None] = []

        async def begin(attempt: Attempt) -> AsyncGenerator[None, None]:
            if attempt.beside:
                raise Refusal(503, "no_engine", "no engine took the request", Executed.NO)
            attempt.upstream, attempt.heard_ms = "e0", clock.now_ms()
            await clock.sleep_ms(1.5 * SILENT_MS)
            raise EngineRefused("overloaded", "asks for backoff")
            yield

        race: AnswerRace[None] = AnswerRace(
            begin,
            lambda: "beside",
            lambda _: False,
            lambda: unsent.append(None),
            set(),
            clock,
            SILENT_MS,
        )
        race.start(Attempt("first"))
        first = asyncio.ensure_future(race.first())
        while not first.done():
            await clock.advance(100)
        self.assertIsNone(first.result())
        self.assertEqual([type(one) for one in race.failures], [EngineRefused])
        self.assertEqual(len(unsent), 1)
