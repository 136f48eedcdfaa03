"""Scenarios of the real programs whose upstreams are silent for a second and sound."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from soak.configuration_changes import ConfigurationChanges
from soak.request_checks import check_ends
from soak.request_end import Ending, RequestEnd, of_client
from soak.silence_episodes import SilenceEpisodes
from soak.verdict import Verdict

from ..platform.standin.client import ClientResult
from ..platform.standin.operator import ENGINES, PLAIN, StandInOperator
from ..platform.standin.upstream import StandInUpstream
from .office_scenario import OfficeScenario

UPSTREAMS = ((ENGINES, True),) * 6 + ((PLAIN, False),) * 3
CALLERS = 56
"""More than the engines that aren't silent have room for."""
ROUTES = ("long", "long", "long", "draft", "again", "once")
EVENT_S = 0.04
"""Long enough for most streams to have begun when a silence begins."""
SILENCES = 5
SILENT_S = (1.0, 1.5)
PAUSE_S = 0.5
GAVE_UP_STATUS = 502
MAX_TOLD = 200
"""Lines of logs in the message of a failure, which can be traced by them."""

Choose = Callable[[list[StandInUpstream], random.Random], list[StandInUpstream]]


@dataclass(slots=True)
class SilenceScenario:
    """Callers of all routes while upstreams fall silent again and again, beside changes.

    Attributes
    ----------
    choose : callable
        Draws the upstreams that fall silent from all.
    has_changes : bool
        Whether versions of the document are sent in series meanwhile.
    verdict : Verdict
        What the soak's judgement says of all requests.
    ends : list of RequestEnd
        How they ended.
    broken_off_lines : list of str
        What gateways logged of streams that were broken off.
    """

    seed: int
    choose: Choose
    has_changes: bool = True
    verdict: Verdict = field(default_factory=Verdict)
    ends: list[RequestEnd] = field(default_factory=list)
    broken_off_lines: list[str] = field(default_factory=list)

    def run(self) -> None:
        """Play it."""
        asyncio.run(OfficeScenario(self.seed, CALLERS, ROUTES, UPSTREAMS, True).run(self._script))

    async def _script(self, play: OfficeScenario) -> None:
        play.answers.clear()
        for upstream in play.office.upstreams:
            upstream.event_s = EVENT_S
        rng = random.Random(self.seed)
        seen: list[ClientResult] = []
        operator = StandInOperator(play.office.control_addresses, rng)
        changes = ConfigurationChanges(play.office, operator, self.verdict)
        load = [asyncio.ensure_future(changes.send_until_cancelled(rng, seen))]
        if self.has_changes:
            load.append(asyncio.ensure_future(changes.play_until_cancelled(rng)))
        silences = SilenceEpisodes(play.office, play.office.disturbances)
        for _ in range(SILENCES):
            chosen = self.choose(play.office.upstreams, rng)
            await silences.silence(chosen, rng, rng.uniform(*SILENT_S))
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(max(SILENT_S))
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        await operator.close()
        silences.check(self.verdict)
        self.ends = [of_client(one) for one in (*seen, *(one.result for one in play.answers))]
        check_ends(play.office, self.ends, self.verdict)
        broken_off = {one.request_id for one in self.ends if one.ending is Ending.BROKEN_OFF}
        self.broken_off_lines = [
            line
            for gateway in play.office.gateways
            for line in gateway.log_text().splitlines()
            if any(request_id in line for request_id in broken_off)
        ]

    @property
    def given_up(self) -> list[str]:
        """Streams that were broken off before their deadline, and answers 502."""
        return [
            one.describe()
            for one in self.ends
            if (one.ending is Ending.BROKEN_OFF and one.ended_s - one.sent_s < one.deadline_s - 0.1)
            or one.status == GAVE_UP_STATUS
        ]

    def describe(self) -> str:
        """Return how requests ended, for messages."""
        ends = Counter(f"{one.ending.value} {one.status} {one.reason}".strip() for one in self.ends)
        told = "\n".join(self.broken_off_lines[:MAX_TOLD])
        return f"{dict(ends)}; {self.verdict.lines()}\n{told}"


def one_engine(upstreams: list[StandInUpstream], rng: random.Random) -> list[StandInUpstream]:
    """Draw one engine."""
    return [rng.choice([one for one in upstreams if one.service == ENGINES])]


def most_engines(upstreams: list[StandInUpstream], rng: random.Random) -> list[StandInUpstream]:
    """Draw all engines but one."""
    engines = [one for one in upstreams if one.service == ENGINES]
    return rng.sample(engines, len(engines) - 1)


def most_plain(upstreams: list[StandInUpstream], rng: random.Random) -> list[StandInUpstream]:
    """Draw all upstreams of the plain service but one."""
    plain = [one for one in upstreams if one.service == PLAIN]
    return rng.sample(plain, len(plain) - 1)
