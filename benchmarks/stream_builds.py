"""Share of streams that go on, and hold one build, in services with several builds.

Real programs and stand-in engines on loopback: `python -m benchmarks.stream_builds --length 30`.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from chestnutfall.tests.stream_scenario import StreamScenario

HALVES = ("v1", "v2", "v1", "v2", "v1", "v2")
PAUSE_S = 1.0
Script = Callable[[StreamScenario, float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Play:
    """One play: what it shows, the builds of the engines, and what happens to them."""

    name: str
    builds: Sequence[str]
    script: Script


async def _nothing(play: StreamScenario, length_s: float) -> None:
    await asyncio.sleep(length_s)


async def _kill_gateways(play: StreamScenario, length_s: float) -> None:
    end_s = time.monotonic() + length_s
    while time.monotonic() < end_s:
        for gateway in play.office.gateways:
            await play.restart_gateway(gateway)
            await asyncio.sleep(PAUSE_S)


async def _kill_controllers(play: StreamScenario, length_s: float) -> None:
    end_s = time.monotonic() + length_s
    while time.monotonic() < end_s:
        for controller in play.office.controllers:
            await controller.kill()
            await controller.start(False)
            await asyncio.sleep(2 * PAUSE_S)


async def _restart_engines(play: StreamScenario, length_s: float) -> None:
    for engine in play.engines[:3]:
        await asyncio.sleep(length_s / 4)
        engine.next_build = "v2"
        await engine.restart()
    await asyncio.sleep(length_s / 4)


PLAYS = (
    Play("one build", ("v1",) * 6, _nothing),
    Play("half of the engines each", HALVES, _nothing),
    Play("the same, gateways killed in turn", HALVES, _kill_gateways),
    Play("the same, controllers killed in turn", HALVES, _kill_controllers),
    Play("one build, three restart as another", ("v1",) * 6, _restart_engines),
    Play("three builds", ("v1", "v2", "v3") * 2, _kill_gateways),
    Play("engines that name none, and others", ("", "v1", "", "v1", "v1", "v1"), _nothing),
)


def main() -> None:
    """Play all and print what their callers saw."""
    cli = argparse.ArgumentParser(description=__doc__)
    cli.add_argument("--seed", type=int, default=60)
    cli.add_argument("--length", type=float, default=10.0, help="seconds of each play")
    args = cli.parse_args()
    for at, play in enumerate(PLAYS):
        scenario = StreamScenario(args.seed + at, play.builds)
        asyncio.run(
            scenario.run(lambda one, script=play.script: script(one, args.length))  # type: ignore[misc]
        )
        print(f"{play.name}: {scenario.describe()}", flush=True)


if __name__ == "__main__":
    main()
