"""A scenario of the real programs with requests whose prompt parts end engines."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field
from pathlib import Path

from ..platform.standin.stream_caller import StreamCaller
from .stream_scenario import StreamScenario

CALM_S = 2.0
SETTLED_S = 3.0
"""Time after the fifth end from which no more engine may end under the part."""
MEASURED_S = 2.0
"""Shortest time after that in which it is seen what sound requests get."""
KNOWN_S = 0.1
"""Time after an end in which the leader is told of it; it stores it later."""
FATAL, COMPANION = "dead0001", "dead0002"
SECOND_PARTS = 200


@dataclass(slots=True)
class PartScenario:
    """Sound callers, and from a moment on callers whose prompts have fatal parts.

    Attributes
    ----------
    length_s : float
        Shortest time for which fatal requests are sent; longer if `settled_s` comes late.
    parts : tuple of str
        Parts that the fatal requests have beside those of sound ones.
    ends_leaders : bool
        Whether controllers are killed in turn meanwhile.
    leaders_end_after_s : float
        Time from the first fatal request to the end of the first controller; less than 0 if that
        comes before.
    leader_down_s, leader_up_s : float
        Time from the end of a controller to its restart, and from then to the end of the next.
    all_leaders_down_s : float
        Time for which all controllers are away after the first end of an engine; 0 for none.
    leader_ends : int
        Number of ends of controllers; further ones than there are take them in turn again.
    fatal_callers : int
        Number of callers of fatal requests.
    pause_s : tuple of float
        Shortest and longest time between two requests of such a caller.
    down_s : float
        Time from the end of an engine to its restart.
    """

    seed: int
    engines: int
    length_s: float
    parts: tuple[str, ...] = (FATAL,)
    ends_leaders: bool = False
    fatal_callers: int = 2
    pause_s: tuple[float, float] = (0.1, 0.5)
    down_s: float = 1.5
    leaders_end_after_s: float = CALM_S
    leader_down_s: float = 0.0
    leader_up_s: float = 1.5
    leader_ends: int = 3
    all_leaders_down_s: float = 0.0
    keep: Path | None = None
    began_s: float = 0.0
    play: StreamScenario = field(init=False)

    def run(self) -> None:
        """Play it."""
        builds = ("v1",) * self.engines
        self.play = StreamScenario(self.seed, builds, break_share=0.0, parts=draw_sound_parts)
        self.play.keep = self.keep
        asyncio.run(self.play.run(self._script))

    async def _script(self, play: StreamScenario) -> None:
        leaders = asyncio.ensure_future(self._end_leaders(play))
        await asyncio.sleep(CALM_S)
        for engine in play.engines:
            engine.down_s = self.down_s
        self.began_s = time.monotonic()
        play.office.run_registry.fatal_parts.add(FATAL)
        rng = random.Random(self.seed)
        caller = StreamCaller(rng, lambda: play.draw_gateway(rng))
        fatal = [
            asyncio.ensure_future(self._send_fatal(caller, rng)) for _ in range(self.fatal_callers)
        ]
        await leaders
        if self.all_leaders_down_s:
            await self._end_all_controllers(play)
        while time.monotonic() < max(self.began_s + self.length_s, self.settled_s + MEASURED_S):
            await asyncio.sleep(0.1)
        for task in fatal:
            task.cancel()
        await asyncio.gather(*fatal, return_exceptions=True)
        await caller.close()

    async def _send_fatal(self, caller: StreamCaller, rng: random.Random) -> None:
        while True:
            await caller.stream(None, parts=(*draw_sound_parts(rng), *self.parts))
            await asyncio.sleep(rng.uniform(*self.pause_s))

    async def _end_leaders(self, play: StreamScenario) -> None:
        if not self.ends_leaders:
            return
        await asyncio.sleep(CALM_S + self.leaders_end_after_s)
        controllers = itertools.cycle(play.office.controllers)
        for controller in itertools.islice(controllers, self.leader_ends):
            await controller.kill()
            await asyncio.sleep(self.leader_down_s)
            await controller.start(False)
            await asyncio.sleep(self.leader_up_s)

    async def _end_all_controllers(self, play: StreamScenario) -> None:
        while not self.ends_s:
            await asyncio.sleep(0.01)
        await asyncio.sleep(KNOWN_S)
        await asyncio.gather(*(one.kill() for one in play.office.controllers))
        await asyncio.sleep(self.all_leaders_down_s)
        await asyncio.gather(*(one.start(False) for one in play.office.controllers))

    # What came of it

    @property
    def ends_s(self) -> list[float]:
        """Times of the ends under the fatal part."""
        return self.play.office.run_registry.fatal_end_times_s

    @property
    def settled_s(self) -> float:
        """Time from which no more fatal request may reach an engine."""
        return (self.ends_s[:5] or [self.began_s])[-1] + SETTLED_S

    @property
    def late_arrivals(self) -> int:
        """Number of fatal requests that reached engines later than that."""
        arrivals = self.play.office.run_registry.fatal_arrival_times_s
        return sum(one > self.settled_s for one in arrivals)

    @property
    def share_before(self) -> float:
        """Share of the sound requests that began at the first attempt, before the first fatal."""
        return self.play.share_that_begins(until_s=self.began_s)

    @property
    def share_after(self) -> float:
        """The same since `settled_s`."""
        return self.play.share_that_begins(from_s=self.settled_s)

    def describe(self) -> str:
        """Return what happened, for messages."""
        return (
            f"{len(self.ends_s)} ends, {self.late_arrivals} later; of the sound "
            f"{self.share_after:.3f} begin, {self.share_before:.3f} before, "
            f"{self.play.share_that_begins(from_s=self.began_s):.3f} all the while"
        )


def draw_sound_parts(rng: random.Random) -> tuple[str, ...]:
    """Draw the shared parts of a sound prompt."""
    return f"aa{rng.randrange(3)}", f"bb{rng.randrange(SECOND_PARTS):03d}"
