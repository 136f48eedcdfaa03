"""Runs the real programs with upstreams that ask for a backoff or leave.

`python -m benchmarks.signals --seeds 5 6` runs three gateways, three controllers, three engines and
two plain upstreams with fourteen callers, and prints a row for each scenario and seed.

Columns: scenario; seed; fraction of calls served during the signals and afterwards; most requests
that one gateway sent during one backoff, and after one upstream's announcement that it leaves;
calls refused as not run; their median latency in ms; the retry times that callers got in s; calls
without an answer; calls that no gateway took a connection for, as before it listens.
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
ASKING_S = 5.5
LEAVING_S = 6.0
AFTER_S = 2.0
RESTART_INTERVAL_S = 0.5


@dataclass(slots=True)
class SignalTimes:
    """Monotonic clock times between which upstreams send signals."""

    began_s: float = 0.0
    ended_s: float = 0.0


Choose = Callable[[OfficeScenario], list[StandInUpstream]]


def engine_and_plain(play: OfficeScenario) -> list[StandInUpstream]:
    """Choose an engine and a plain upstream."""
    return list(play.engine_and_plain())


def all_upstreams(play: OfficeScenario) -> list[StandInUpstream]:
    """Choose all upstreams."""
    return play.office.upstreams


async def no_restarts() -> None:
    """Do nothing."""


async def restart_controllers(play: OfficeScenario) -> None:
    """Kill and restart the controllers one after another."""
    for one in play.office.controllers:
        await one.kill()
        await one.start(False)
        await asyncio.sleep(RESTART_INTERVAL_S)


def backing_off(
    choose: Choose, times: SignalTimes, restarts: bool = False
) -> Callable[[OfficeScenario], Awaitable[None]]:
    """Return a script in which upstreams ask for backoffs and then accept requests again.

    It goes on until the last backoff has ended and `AFTER_S` more have passed.
    """

    async def script(play: OfficeScenario) -> None:
        times.began_s = time.monotonic()
        restarting = asyncio.ensure_future(restart_controllers(play) if restarts else no_restarts())
        await request_backoff(choose(play), f"{BACKOFF_S:g}", ASKING_S)
        await restarting
        times.ended_s = time.monotonic()
        await asyncio.sleep(BACKOFF_S + AFTER_S)

    return script


def leaving(
    choose: Choose, times: SignalTimes, restarts: bool = False
) -> Callable[[OfficeScenario], Awaitable[None]]:
    """Return a script in which upstreams signal that they leave but still answer."""

    async def script(play: OfficeScenario) -> None:
        times.began_s = time.monotonic()
        for one in choose(play):
            one.leaving = True
        if restarts:
            await restart_controllers(play)
        await asyncio.sleep(LEAVING_S)
        times.ended_s = time.monotonic()

    return script


def max_requests(found: list[RequestsAfterSignal]) -> int:
    """Return the most requests that one gateway sent in one period that forbade them."""
    return max((one.got for one in found), default=0)


def row(name: str, seed: int, play: OfficeScenario, times: SignalTimes) -> str:
    """Return a row of the table."""
    refused = play.refused(times.began_s, times.ended_s)
    took_ms = sorted(1000 * seen.took_s for seen in refused)
    retry_after_s = [seen.retry_after_s or 0.0 for seen in refused]
    retry_range = f"{min(retry_after_s):.2f} to {max(retry_after_s):.2f}" if retry_after_s else "-"
    after_s = times.ended_s + BACKOFF_S
    connected = [one.result for one in play.answers if one.result.connected]
    unanswered = sum(result.status == 0 for result in connected)
    cells = (
        name,
        str(seed),
        f"{play.success_ratio(times.began_s, times.ended_s):.3f}",
        f"{play.success_ratio(after_s, after_s + AFTER_S):.3f}" if "time" in name else "-",
        str(max_requests(list(play.requests_in_backoffs()))),
        str(max_requests(list(play.requests_after_leaving()))),
        str(len(refused)),
        f"{statistics.median(took_ms):.0f}" if took_ms else "-",
        retry_range,
        f"{unanswered} of {len(connected)}",
        str(len(play.answers) - len(connected)),
    )
    return f"| {' | '.join(cells)} |"


def scenarios() -> (
    list[tuple[str, Callable[[SignalTimes], Callable[[OfficeScenario], Awaitable[None]]]]]
):
    """Return the scenarios by name."""
    return [
        ("one of each asks for time", lambda times: backing_off(engine_and_plain, times)),
        ("one asks for time, restarts", lambda times: backing_off(engine_and_plain, times, True)),
        ("all ask for time", lambda times: backing_off(all_upstreams, times)),
        ("one of each leaves", lambda times: leaving(engine_and_plain, times)),
        ("all leave", lambda times: leaving(all_upstreams, times)),
        ("one leaves, restarts", lambda times: leaving(engine_and_plain, times, restarts=True)),
    ]


def main() -> None:
    """Run the chosen scenarios."""
    cli = argparse.ArgumentParser(description=__doc__)
    cli.add_argument("--seeds", type=int, nargs="+", default=[5])
    cli.add_argument("--play", default="", help="a part of the names of plays")
    args = cli.parse_args()
    print("| play | seed | served | after | in a time asked for | after leaving | refused | in ms |"
          " told s | no answer | no connection |")  # fmt: skip
    for name, make_script in scenarios():
        if args.play not in name:
            continue
        for seed in args.seeds:
            play, times = OfficeScenario(seed), SignalTimes()
            asyncio.run(play.run(make_script(times)))
            print(row(name, seed, play, times), flush=True)
            for one in play.answers:
                if one.result.status == 0:
                    at_s = one.sent_s - times.began_s
                    print(
                        f"no answer: sent {at_s:.2f} s, took {one.result.took_s:.2f} s:"
                        f" {one.result}"
                    )


if __name__ == "__main__":
    main()
