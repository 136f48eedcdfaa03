"""Upstreams that ask for a backoff or are leaving, with the programs run as processes."""

from __future__ import annotations

import asyncio
import time
import unittest

from ..platform.standin.signal_history import DRAIN_S, MAX_IN_BACKOFF, SETTLE_S
from .office_scenario import OfficeScenario, request_backoff

BACKOFF_S = 3.0
BACKOFF_LOAD_S = 5.5
MIN_SERVED = 0.98
MIN_SERVED_AFTER = 0.95
LEAVING_LOAD_S = 5.0
SEEN_WITHIN_S = 30.0
"""Some gateway has to see that an upstream leaves before anything can be judged."""


class NamedSignalTest(unittest.TestCase):
    # Guards against a gateway that ignores a backoff and sends the next request at once.
    def test_an_upstream_that_asks_for_backoff_gets_it_and_callers_lose_nothing(self) -> None:
        play = OfficeScenario(seed=5)

        async def script(play: OfficeScenario) -> None:
            self.began_s = time.monotonic()
            await request_backoff(list(play.engine_and_plain()), f"{BACKOFF_S:g}", BACKOFF_LOAD_S)
            await asyncio.sleep(1.0)

        asyncio.run(play.run(script))
        self._check_backoffs(play)
        self.assertGreaterEqual(play.success_ratio(self.began_s), MIN_SERVED)

    # Guards against callers that retry too soon while all upstreams ask for a backoff.
    def test_when_all_upstreams_back_off_callers_get_a_retry_time(self) -> None:
        play = OfficeScenario(seed=6)

        async def script(play: OfficeScenario) -> None:
            self.began_s = time.monotonic()
            await request_backoff(play.office.upstreams, f"{BACKOFF_S:g}", 1.0)
            self.ended_s = time.monotonic()
            await asyncio.sleep(BACKOFF_S + 1.5)

        asyncio.run(play.run(script))
        self._check_backoffs(play)
        refused = play.refused(self.began_s + SETTLE_S, self.ended_s)
        self.assertGreater(len(refused), 0)
        # The first refusals come within the first half second, so the least retry time is known.
        retry_after_s = [seen.retry_after_s or 0.0 for seen in refused]
        self.assertGreater(min(retry_after_s), BACKOFF_S - 1.0 - SETTLE_S)
        self.assertGreaterEqual(
            play.success_ratio(self.ended_s + BACKOFF_S + SETTLE_S), MIN_SERVED_AFTER
        )

    # Guards against gateways that send new work to an upstream that said that it is leaving.
    def test_a_leaving_upstream_gets_no_more_requests_and_callers_lose_nothing(self) -> None:
        play = OfficeScenario(seed=7)

        async def script(play: OfficeScenario) -> None:
            self.began_s = time.monotonic()
            for one in play.engine_and_plain():
                one.leaving = True
            # Beside a busy machine, both may get their next request only some seconds later.
            async with asyncio.timeout(SEEN_WITHIN_S):
                while not any(True for _ in play.requests_after_leaving()):
                    await asyncio.sleep(0.05)
            await asyncio.sleep(LEAVING_LOAD_S)

        asyncio.run(play.run(script))
        self.assertGreater(len(list(play.requests_after_leaving())), 0)
        self.assertEqual([one for one in play.requests_after_leaving() if one.got], [])
        self.assertGreaterEqual(play.success_ratio(self.began_s), MIN_SERVED)
        self.assertGreater(LEAVING_LOAD_S, DRAIN_S + SETTLE_S)

    def _check_backoffs(self, play: OfficeScenario) -> None:
        asked = list(play.requests_in_backoffs())
        self.assertGreater(len(asked), 0)
        self.assertEqual([one for one in asked if one.got > MAX_IN_BACKOFF], [])
