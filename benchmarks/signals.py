"""Real programs before upstreams that ask for time or leave: what they get, what callers get.

`python -m benchmarks.signals --seeds 5 6` plays three gateways, three controllers, three engines
and two plain upstreams with fourteen callers, and prints a row a play.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from chestnutfall.platform.standin.signal_history import RequestsAfterSignal
from chestnutfall.platform.standin.upstream import StandInUpstream
from chestnutfall.tests.office_scenario import OfficeScenario, request_backoff

BACKOFF_S = 3.0
ASKED_FOR_S = 5.5
LEFT_S = 6.0
AFTER_S = 2.0
KILL_EVERY_S = 0.5


@dataclass(slots=True)
class Spans:
    """Moments of a play, in seconds: upstreams speak from `began` to `ended`."""

    began_s: float = 0.0
    ended_s: float = 0.0


Choose = Callable[[OfficeScenario], list[StandInUpstream]]


def one_of_each(play: OfficeScenario) -> list[StandInUpstream]:
    """An engine and a plain upstream."""
    return list(play.engine_and_plain())


def everyone(play: OfficeScenario) -> list[StandInUpstream]:
    """All upstreams."""
    return play.office.upstreams


async def nothing() -> None:
    """Do nothing beside the play."""


async def restart_controllers(play: OfficeScenario) -> None:
    """Kill and start the controllers in turn."""
    for one in play.office.controllers:
        await one.kill()
        await one.start(False)
        await asyncio.sleep(KILL_EVERY_S)


def backing_off(
    choose: Choose, spans: Spans, restarts: bool = False
) -> Callable[[OfficeScenario], Awaitable[None]]:
    """Let some ask for time, take work again, and serve the time that is left."""

    async def script(play: OfficeScenario) -> None:
        spans.began_s = time.monotonic()
        beside = asyncio.ensure_future(restart_controllers(play) if restarts else nothing())
        await request_backoff(choose(play), f"{BACKOFF_S:g}", ASKED_FOR_S)
        await beside
        spans.ended_s = time.monotonic()
        await asyncio.sleep(BACKOFF_S + AFTER_S)

    return script


def leaving(
    choose: Choose, spans: Spans, restarts: bool = False
) -> Callable[[OfficeScenario], Awaitable[None]]:
    """Let some say that they leave, and go on to answer."""

    async def script(play: OfficeScenario) -> None:
        spans.began_s = time.monotonic()
        for one in choose(play):
            one.leaving = True
        if restarts:
            await restart_controllers(play)
        await asyncio.sleep(LEFT_S)
        spans.ended_s = time.monotonic()

    return script


def most(found: list[RequestsAfterSignal]) -> int:
    """Most requests that one gateway sent in one such time."""
    return max((one.got for one in found), default=0)


def row(name: str, seed: int, play: OfficeScenario, spans: Spans) -> str:
    """One line of the table."""
    refused = play.refused(spans.began_s, spans.ended_s)
    took_ms = sorted(1000 * seen.took_s for seen in refused)
    told_s = [seen.retry_after_s or 0.0 for seen in refused]
    told = f"{min(told_s):.2f} to {max(told_s):.2f}" if told_s else "-"
    after_s = spans.ended_s + BACKOFF_S
    silent = sum(one.result.status == 0 for one in play.answers)
    cells = (
        name,
        str(seed),
        f"{play.success_ratio(spans.began_s, spans.ended_s):.3f}",
        f"{play.success_ratio(after_s, after_s + AFTER_S):.3f}" if "time" in name else "-",
        str(most(list(play.requests_in_backoffs()))),
        str(most(list(play.requests_after_leaving()))),
        str(len(refused)),
        f"{statistics.median(took_ms):.0f}" if took_ms else "-",
        told,
        f"{silent} of {len(play.answers)}",
    )
    return f"| {' | '.join(cells)} |"


def plays() -> list[tuple[str, Callable[[Spans], Callable[[OfficeScenario], Awaitable[None]]]]]:
    """All plays by name."""
    return [
        ("one of each asks for time", lambda spans: backing_off(one_of_each, spans)),
        ("one asks for time, restarts", lambda spans: backing_off(one_of_each, spans, True)),
        ("all ask for time", lambda spans: backing_off(everyone, spans)),
        ("one of each leaves", lambda spans: leaving(one_of_each, spans)),
        ("all leave", lambda spans: leaving(everyone, spans)),
        ("one leaves, restarts", lambda spans: leaving(one_of_each, spans, restarts=True)),
    ]


def main() -> None:
    """Play what is chosen."""
    cli = argparse.ArgumentParser(description=__doc__)
    cli.add_argument("--seeds", type=int, nargs="+", default=[5])
    cli.add_argument("--play", default="", help="a part of the names of plays")
    args = cli.parse_args()
    print("| play | seed | served | after | in a time asked for | after leaving | refused | in ms |"
          " told s | no answer |")  # fmt: skip
    for name, make in plays():
        if args.play not in name:
            continue
        for seed in args.seeds:
            play, spans = OfficeScenario(seed), Spans()
            asyncio.run(play.run(make(spans)))
            print(row(name, seed, play, spans), flush=True)
            for one in play.answers:
                if one.result.status == 0:
                    at_s = one.sent_s - spans.began_s
                    print(
                        f"no answer: sent {at_s:.2f} s, took {one.result.took_s:.2f} s:"
                        f" {one.result}"
                    )


if __name__ == "__main__":
    main()
