"""Prompt parts that end each engine that writes on them, and what sound requests are served."""

from __future__ import annotations

import asyncio
import random
import time

from chestnutfall.platform.standin.stream_caller import StreamCaller, StreamResult

from .office import Office
from .verdict import Verdict

EPISODE_S = 6.0
FATAL_CALLERS, SOUND_CALLERS = 2, 2
PAUSE_S = (0.1, 0.4)
SOUND_BEFORE_S = 3.0
"""Time for which only sound requests are sent before an episode that is judged: callers send them
all the time, so that answers tell what earlier ends were not caused by."""
SETTLED_S = 3.0
"""Time after the fifth end from which hardly any more request with the part may reach engines."""
MAX_ENDS = 5
MAX_LATER_ARRIVALS = 3
MIN_SERVED_PART = 0.5
"""Part of the sound requests that must begin, from `SETTLED_S` after the fifth end on."""
FIRST_PARTS, SECOND_PARTS = 3, 50


class PartEpisodes:
    """Sends prompts with a part that ends engines, beside sound ones that share its other parts."""

    def __init__(self, office: Office) -> None:
        self._office = office

    async def play_until_cancelled(self, rng: random.Random) -> None:
        """Send sound requests, and episodes of ones with a fatal part, until cancelled.

        The part is the same in all episodes; what they cost isn't judged.
        """
        fatal = self._draw_fatal(rng)
        caller = StreamCaller(rng, lambda: self._draw_gateway(rng))
        sound = [self._send(caller, rng, (), float("inf"), []) for _ in range(SOUND_CALLERS)]
        try:
            await asyncio.gather(self._play_episodes(caller, rng, fatal), *sound)
        finally:
            await caller.close()

    async def _play_episodes(self, caller: StreamCaller, rng: random.Random, fatal: str) -> None:
        while True:
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            until_s = time.monotonic() + rng.uniform(0.5, 2.0)
            sends = (self._send(caller, rng, (fatal,), until_s, []) for _ in range(FATAL_CALLERS))
            await asyncio.gather(*sends)

    def _draw_fatal(self, rng: random.Random) -> str:
        fatal = f"{rng.randrange(16**8):08x}"
        self._office.run_registry.fatal_parts.add(fatal)
        return fatal

    async def check_calm(self, rng: random.Random, verdict: Verdict) -> None:
        """Check what an episode costs while no fault is injected."""
        registry = self._office.run_registry
        arrivals, ends = registry.fatal_arrival_times_s, registry.fatal_end_times_s
        first_arrival, first_end = len(arrivals), len(ends)
        sound = await self._play(rng, EPISODE_S)
        ends = ends[first_end:]
        verdict.counts["engines ended by a part"] = len(ends)
        if not ends:
            verdict.note_violation(True, "no request with a fatal part reached an engine")
            return
        settled_s = ends[:MAX_ENDS][-1] + SETTLED_S
        late = sum(one > settled_s for one in arrivals[first_arrival:])
        verdict.note_violation(
            late > MAX_LATER_ARRIVALS,
            f"{late} requests with a part that had ended engines were sent to more",
        )
        after = [one for one in sound if one.attempts[0].sent_s > settled_s]
        begun = sum(one.began for one in after)
        reasons = [one.attempts[0].reason for one in after if not one.began]
        verdict.note_violation(
            begun < MIN_SERVED_PART * len(after),
            f"{begun} of {len(after)} sound requests beside a fatal part began: {reasons}",
        )

    async def _play(self, rng: random.Random, length_s: float) -> list[StreamResult]:
        """Return the sound requests of an episode."""
        fatal = self._draw_fatal(rng)
        caller = StreamCaller(rng, lambda: self._draw_gateway(rng))
        until_s = time.monotonic() + SOUND_BEFORE_S + length_s
        results: list[StreamResult] = []
        sound = asyncio.gather(
            *(self._send(caller, rng, (), until_s, results) for _ in range(SOUND_CALLERS))
        )
        try:
            await asyncio.sleep(SOUND_BEFORE_S)
            sends = (self._send(caller, rng, (fatal,), until_s, []) for _ in range(FATAL_CALLERS))
            await asyncio.gather(sound, *sends)
        finally:
            sound.cancel()
            await caller.close()
        return results

    async def _send(
        self,
        caller: StreamCaller,
        rng: random.Random,
        parts: tuple[str, ...],
        until_s: float,
        results: list[StreamResult],
    ) -> None:
        while time.monotonic() < until_s:
            shared = f"aa{rng.randrange(FIRST_PARTS)}", f"bb{rng.randrange(SECOND_PARTS):03d}"
            results.append(await caller.stream(parts=(*shared, *parts)))
            await asyncio.sleep(rng.uniform(*PAUSE_S))

    def _draw_gateway(self, rng: random.Random) -> str:
        return self._office.client_address(rng.choice(self._office.gateways))
