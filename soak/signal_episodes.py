"""Upstreams that request a backoff or leave, and a check that gateways comply."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterator

from chestnutfall.platform.standin.signal_history import (
    DRAIN_S,
    MAX_IN_BACKOFF,
    SETTLE_S,
    SignalHistory,
)
from chestnutfall.platform.standin.upstream import StandInUpstream

from .disturbances import NO_END_S, Disturbances
from .harm import links_cut, links_held
from .office import Office
from .verdict import Verdict

INEFFECTIVE_BACKOFFS = ("0", "soon", "-1")
"""Retry-After values that request no backoff."""
WHOLE_SERVICE_FRACTION = 0.15
"""Fraction of the backoff episodes in which all upstreams of a service request a backoff."""
LEAVING_FRACTION = 0.2
"""Fraction of the episodes in which an upstream leaves, unless one of its service already does."""


def takes_no_work(upstream: StandInUpstream) -> str:
    """Return the name of the periods in which an upstream asks for no requests."""
    return f"takes no work: {upstream.announced_address}"


class SignalEpisodes:
    """Plays overlapping episodes, each a backoff request or the departure of an upstream."""

    def __init__(self, office: Office, disturbances: Disturbances) -> None:
        self._office = office
        self._disturbances = disturbances
        self._episodes: set[asyncio.Task[None]] = set()
        self._backoffs_requested = self._departures = 0

    async def play_until_cancelled(self, rng: random.Random) -> None:
        """Start episodes until cancelled, then end them and clear the signals of all upstreams."""
        try:
            while True:
                await asyncio.sleep(rng.uniform(0.2, 1.2))
                episode = asyncio.ensure_future(self._play_episode(rng))
                self._episodes.add(episode)
                episode.add_done_callback(self._episodes.discard)
        finally:
            for episode in list(self._episodes):
                episode.cancel()
            await asyncio.gather(*self._episodes, return_exceptions=True)
            await self._clear_signals()

    async def _clear_signals(self) -> None:
        for one in self._office.upstreams:
            one.backoff = None
            if one.leaving or one.announces_draining:
                await one.restart()

    async def _play_episode(self, rng: random.Random) -> None:
        upstream = rng.choice(self._office.upstreams)
        same_service = [one for one in self._office.upstreams if one.service == upstream.service]
        if rng.random() < LEAVING_FRACTION:
            if not any(one.leaving or one.announces_draining for one in same_service):
                await self._leave(upstream, rng)
            return
        await self._request_backoff(
            same_service if rng.random() < WHOLE_SERVICE_FRACTION else [upstream], rng
        )

    async def _request_backoff(self, upstreams: list[StandInUpstream], rng: random.Random) -> None:
        text = (
            rng.choice(INEFFECTIVE_BACKOFFS)
            if rng.random() < 0.1
            else f"{rng.uniform(0.3, 3.0):.2f}"
        )
        self._backoffs_requested += 1
        began_s = time.monotonic()
        try:
            for one in upstreams:
                one.backoff, one.marks_not_executed = text, rng.random() < 0.7
            await asyncio.sleep(rng.uniform(0.2, 2.0))
        finally:
            for one in upstreams:
                one.backoff = None
                ended_s = time.monotonic() + _seconds(text)
                self._disturbances.record(takes_no_work(one), began_s, ended_s)

    async def _leave(self, upstream: StandInUpstream, rng: random.Random) -> None:
        self._departures += 1
        # The signal is in answers only, in announcements only, or in both.
        upstream.leaving, upstream.announces_draining = rng.choice(
            ((True, False), (False, True), (True, True))
        )
        began_s = time.monotonic()
        await asyncio.sleep(rng.uniform(DRAIN_S + 1.0, DRAIN_S + 3.0))
        await upstream.restart()
        self._disturbances.record(takes_no_work(upstream), began_s, time.monotonic())

    def check(self, verdict: Verdict) -> None:
        """Note each gateway that sent requests in spite of a backoff or a departure."""
        verdict.counts["times asked for"] = self._backoffs_requested
        verdict.counts["upstreams left"] = self._departures
        for instance, history in self._office.run_registry.signals.items():
            for finding in self._violations(history):
                verdict.note_violation(True, f"{instance}: {finding}")

    def _violations(self, history: SignalHistory) -> Iterator[str]:
        for one in history.backoff_refusals:
            until_s = one.at_s + one.backoff_s
            got = history.count_between(one.gateway, one.at_s + SETTLE_S, until_s)
            # Requests that a cut held up arrive after it, and a helper may have got the refusal.
            was_cut = self._was_cut(one.gateway, one.at_s, until_s)
            is_excused = was_cut or self._is_explained_by_fault(
                history, one.gateway, one.at_s, until_s
            )
            if got > MAX_IN_BACKOFF and not is_excused:
                yield f"{one.gateway} sent {got} within {one.backoff_s} s that it asked for"
        for gateway, moments_s in history.leaving_answers_s.items():
            yield from self._after_leaving(history, gateway, moments_s)

    def _after_leaving(
        self, history: SignalHistory, gateway: str, moments_s: list[float]
    ) -> Iterator[str]:
        for signalled_s in moments_s:
            got = history.count_between(gateway, signalled_s + DRAIN_S + SETTLE_S, NO_END_S)
            # An answer that a cut held up may never have reached the gateway.
            was_cut = self._was_cut(gateway, signalled_s - SETTLE_S, signalled_s + SETTLE_S)
            is_excused = was_cut or self._is_explained_by_fault(
                history, gateway, signalled_s, NO_END_S
            )
            if got and not is_excused:
                yield f"{gateway} sent {got} later than {DRAIN_S} s after it said that it leaves"
                return

    def _was_cut(self, gateway: str, from_s: float, until_s: float) -> bool:
        """Return whether a link of a gateway to an upstream was cut or silent in the period."""
        return any(
            self._disturbances.overlaps(name, from_s, until_s)
            for name in (links_cut(gateway), links_held(gateway))
        )

    def _is_explained_by_fault(
        self, history: SignalHistory, gateway: str, from_s: float, until_s: float
    ) -> bool:
        """Return whether a fault explains the requests.

        Either the gateway was under a fault in the period, or the upstream's connections were at
        `from_s`, so that the gateway may not have received the answer with the signal.
        """
        answer = self._disturbances.overlaps(history.address, from_s - SETTLE_S, from_s + SETTLE_S)
        return answer or self._disturbances.overlaps(gateway, from_s, until_s)


def _seconds(text: str) -> float:
    """Parse a Retry-After; 0 for one that requests no backoff."""
    try:
        return max(float(text), 0.0)
    except ValueError:
        return 0.0
