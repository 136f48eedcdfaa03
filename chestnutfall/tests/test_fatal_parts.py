"""Prompt parts that end each engine that writes on them, with the real programs."""

from __future__ import annotations

import asyncio
import random
import time
import unittest

from ..platform.standin.stream_caller import StreamCaller
from .stream_scenario import StreamScenario

ENGINES = ("v1",) * 8
CALM_S = 2.0
LENGTH_S = 9.0
DOWN_S = 1.5
SETTLED_S = 3.0
"""Time after the fifth end from which no more engine may end under the part."""
MAX_ENDS = 5
MAX_LATER_ARRIVALS = 3
MIN_SHARE = 0.95
"""Of what was served before, for sound requests with the same first part."""
FATAL, COMPANION = "dead0001", "dead0002"
FATAL_CALLERS = 2


class FatalPartTest(unittest.TestCase):
    # Guards against requests that end one engine after the other, as no two of them are alike.
    def test_a_part_that_ends_engines_is_refused_and_sound_requests_are_served(self) -> None:
        self._check(StreamScenario(71, ENGINES, break_share=0.0, parts=_sound), (FATAL,), False)

    # Guards against the same with a part that only such requests have, while leaders change.
    def test_a_part_beside_the_fatal_one_and_a_change_of_leader_cost_no_more_engines(self) -> None:
        play = StreamScenario(72, ENGINES, break_share=0.0, parts=_sound)
        self._check(play, (COMPANION, FATAL), True)

    def _check(self, play: StreamScenario, parts: tuple[str, ...], ends_leaders: bool) -> None:
        async def script(play: StreamScenario) -> None:
            await asyncio.sleep(CALM_S)
            for engine in play.engines:
                engine.down_s = DOWN_S
            self.began_s = time.monotonic()
            play.office.run_registry.fatal_parts.add(FATAL)
            rng = random.Random(play.seed)
            caller = StreamCaller(rng, lambda: play._draw_gateway(rng))
            fatal = [
                asyncio.ensure_future(_send_fatal(caller, rng, parts)) for _ in range(FATAL_CALLERS)
            ]
            if ends_leaders:
                await asyncio.sleep(CALM_S)
                await _end_controllers(play)
            left_s = self.began_s + LENGTH_S - time.monotonic()
            await asyncio.sleep(max(left_s, 0.0))
            for task in fatal:
                task.cancel()
            await asyncio.gather(*fatal, return_exceptions=True)
            await caller.close()

        asyncio.run(play.run(script))
        registry = play.office.run_registry
        ends_s = registry.fatal_end_times_s
        last_s = ends_s[:MAX_ENDS][-1]
        late = [one for one in registry.fatal_arrival_times_s if one > last_s + SETTLED_S]
        before = play.share_that_begins(until_s=self.began_s)
        after = play.share_that_begins(from_s=last_s + SETTLED_S)
        seen = (
            f"{len(ends_s)} ends, {len(late)} later, {after:.3f} of the sound, {before:.3f} before"
        )
        self.assertLessEqual(len(ends_s), MAX_ENDS, seen)
        self.assertLessEqual(len(late), MAX_LATER_ARRIVALS, seen)
        self.assertGreaterEqual(after, MIN_SHARE * before, seen)


def _sound(rng: random.Random) -> tuple[str, ...]:
    return f"aa{rng.randrange(3)}", f"bb{rng.randrange(200):03d}"


async def _send_fatal(caller: StreamCaller, rng: random.Random, parts: tuple[str, ...]) -> None:
    while True:
        first, second = _sound(rng)
        await caller.stream(None, parts=(first, second, *parts))
        await asyncio.sleep(rng.uniform(0.1, 0.5))


async def _end_controllers(play: StreamScenario) -> None:
    for controller in play.office.controllers:
        await controller.kill()
        await controller.start(False)
        await asyncio.sleep(1.5)
