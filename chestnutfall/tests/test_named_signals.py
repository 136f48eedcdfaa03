"""Upstreams that ask for time or say that they leave, before the real programs."""

from __future__ import annotations

import asyncio
import time
import unittest

from ..platform.standin.signal_history import DRAIN_S, MOST_IN_BACKOFF, SETTLE_S
from .office_play import OfficePlay, ask_for_time

BACKOFF_S = 3.0
ASKED_FOR_S = 5.5
SERVED = 0.98
SERVED_AFTER = 0.95
LEFT_PLAYED_S = 5.0


class NamedSignalTest(unittest.TestCase):
    # Guards against upstreams that ask a gateway for time and get its next request at once.
    def test_one_that_asks_for_time_gets_it_and_callers_lose_nothing(self) -> None:
        play = OfficePlay(seed=5)

        async def script(play: OfficePlay) -> None:
            self.began_s = time.monotonic()
            await ask_for_time(list(play.one_of_each()), f"{BACKOFF_S:g}", ASKED_FOR_S)
            await asyncio.sleep(1.0)

        asyncio.run(play.run(script))
        self._check_backoffs(play)
        self.assertGreaterEqual(play.served(self.began_s), SERVED)

    # Guards against callers who come back too soon while all want time.
    def test_where_all_ask_for_time_callers_are_told_when_to_come_back(self) -> None:
        play = OfficePlay(seed=6)

        async def script(play: OfficePlay) -> None:
            self.began_s = time.monotonic()
            await ask_for_time(play.office.upstreams, f"{BACKOFF_S:g}", 1.0)
            self.ended_s = time.monotonic()
            await asyncio.sleep(BACKOFF_S + 1.5)

        asyncio.run(play.run(script))
        self._check_backoffs(play)
        refused = play.refused(self.began_s + SETTLE_S, self.ended_s)
        self.assertGreater(len(refused), 0)
        # The first refusals came within the first half second, so that this is a true time.
        told_s = [seen.retry_after_s or 0.0 for seen in refused]
        self.assertGreater(min(told_s), BACKOFF_S - 1.0 - SETTLE_S)
        self.assertGreaterEqual(play.served(self.ended_s + BACKOFF_S + SETTLE_S), SERVED_AFTER)

    # Guards against upstreams that say that they leave and get work all the same.
    def test_one_that_says_that_it_leaves_gets_nothing_more_and_callers_lose_nothing(self) -> None:
        play = OfficePlay(seed=7)

        async def script(play: OfficePlay) -> None:
            self.began_s = time.monotonic()
            for one in play.one_of_each():
                one.leaving = True
            await asyncio.sleep(LEFT_PLAYED_S)

        asyncio.run(play.run(script))
        self.assertGreater(len(list(play.after_leaving())), 0)
        self.assertEqual([one for one in play.after_leaving() if one.got], [])
        self.assertGreaterEqual(play.served(self.began_s), SERVED)
        self.assertGreater(LEFT_PLAYED_S, DRAIN_S + SETTLE_S)

    def _check_backoffs(self, play: OfficePlay) -> None:
        asked = list(play.in_backoffs())
        self.assertGreater(len(asked), 0)
        self.assertEqual([one for one in asked if one.got > MOST_IN_BACKOFF], [])
