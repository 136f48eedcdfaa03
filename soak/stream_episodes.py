"""Clients that take their streams up anywhere, while engines run several software versions."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator

from chestnutfall.platform.standin.operator import ENGINES
from chestnutfall.platform.standin.stream_caller import StreamAttempt, StreamCaller, StreamResult
from chestnutfall.platform.standin.upstream import EVENTS, StandInUpstream

from .office import Office
from .verdict import Verdict

BUILDS = ("v1", "v1", "v2")
"""Software version of each engine at the start; a later one begins with its next start."""
NEXT_BUILDS = ("v1", "v2", "v3", "")
CHANGE_S = (1.0, 4.0)
BREAK_SHARE, UNFRAMED_SHARE = 0.05, 0.1
LEAVING_SHARE = 0.4
PAUSE_S = (0.0, 0.2)
CALM_STREAMS = 40
MIN_PART_THAT_GOES_ON = 0.5
"""Of the share of new streams that begin."""


class StreamEpisodes:
    """Lets clients leave streams and take them up at any gateway, and checks what they have."""

    def __init__(self, office: Office) -> None:
        self._office = office
        self._results: list[StreamResult] = []

    def begin(self) -> None:
        """Let upstreams break answers off, and send some without a length."""
        for upstream in self._office.upstreams:
            upstream.break_share, upstream.unframed_share = BREAK_SHARE, UNFRAMED_SHARE

    async def play_until_cancelled(self, rng: random.Random) -> None:
        """Send streams and change the versions of engines until cancelled."""
        caller = StreamCaller(rng, lambda: self._draw_gateway(rng))
        try:
            await asyncio.gather(self._send(caller, rng), self._change_builds(rng))
        finally:
            await caller.close()

    async def _send(self, caller: StreamCaller, rng: random.Random) -> None:
        while True:
            self._results.append(await self._stream(caller, rng))
            await asyncio.sleep(rng.uniform(*PAUSE_S))

    async def _stream(self, caller: StreamCaller, rng: random.Random) -> StreamResult:
        leaves_after = rng.randrange(1, 4) if rng.random() < LEAVING_SHARE else None
        return await caller.stream(leaves_after)

    async def _change_builds(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.uniform(*CHANGE_S))
            engine = rng.choice(self._engines())
            engine.next_build = rng.choice(NEXT_BUILDS)

    def _engines(self) -> list[StandInUpstream]:
        return [one for one in self._office.upstreams if one.service == ENGINES]

    def _draw_gateway(self, rng: random.Random) -> str:
        return self._office.client_address(rng.choice(self._office.gateways))

    async def check_calm(self, rng: random.Random, verdict: Verdict) -> None:
        """Check how many streams go on while no fault is injected and all engines stay."""
        for upstream in self._office.upstreams:
            upstream.break_share = 0.0
        caller = StreamCaller(rng, lambda: self._draw_gateway(rng))
        results = [await self._stream(caller, rng) for _ in range(CALM_STREAMS)]
        await caller.close()
        self._results += results
        begun = sum(one.began for one in results) / len(results)
        attempts = [one for result in results for one in _taken_up(result)]
        gone_on = sum(bool(one.events) for one in attempts) / max(len(attempts), 1)
        ends = [f"{one.status} {one.reason}" for one in attempts if not one.events]
        verdict.note_violation(
            bool(attempts) and gone_on < MIN_PART_THAT_GOES_ON * begun,
            f"{gone_on:.2f} of {len(attempts)} streams go on, {begun:.2f} begin: {ends}",
        )

    def attempts(self) -> Iterator[StreamAttempt]:
        """Yield all attempts that ended."""
        for one in self._results:
            yield from one.attempts

    def check(self, verdict: Verdict) -> None:
        """Note streams of several versions, and streams with a hole."""
        verdict.counts["streams"] = len(self._results)
        verdict.counts["streams taken up"] = sum(bool(_taken_up(one)) for one in self._results)
        for one in self._results:
            what = f"stream {one.attempts[0].request_id}, {len(one.attempts)} attempts"
            verdict.note_violation(len(one.builds) > 1, f"{what}: versions {sorted(one.builds)}")
            verdict.note_violation(one.has_hole, f"{what}: events are missing or repeated")


def _taken_up(result: StreamResult) -> list[StreamAttempt]:
    """Return the attempts that took a stream up, with events still missing."""
    return [one for one in result.resumed if one.after < EVENTS]
