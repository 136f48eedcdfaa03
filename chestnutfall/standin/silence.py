"""Times in which a stand-in upstream writes nothing, though it is sound."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from enum import Enum


class SilentMoment(Enum):
    """What an upstream was about to do when it fell silent."""

    RUN = "run"
    WHOLE = "whole"
    HEAD = "head"
    EVENT = "event"
    REST_OF_EVENT = "rest of event"


class Silence:
    """Holds back what an upstream writes until a time, and then lets it go on.

    Connections are accepted, and what arrives is kept.

    Attributes
    ----------
    held : Counter of SilentMoment
        Number of writes, and of steps of runs, that were held back.
    """

    def __init__(self) -> None:
        self.held: Counter[SilentMoment] = Counter()
        self._until_s = 0.0
        self._pauses_runs = False
        self._splits_events = False

    def begin(self, for_s: float, pauses_runs: bool = False, splits_events: bool = False) -> None:
        """Fall silent now.

        Parameters
        ----------
        pauses_runs : bool
            Whether requests are read and runs go on only afterwards.
        splits_events : bool
            Whether each stream writes the first half of its next event before it falls silent.
        """
        self._until_s = time.monotonic() + for_s
        self._pauses_runs, self._splits_events = pauses_runs, splits_events

    def end(self) -> None:
        """Go on, as far as nothing waits already."""
        self._until_s = 0.0

    @property
    def is_on(self) -> bool:
        """Whether it is silent now."""
        return time.monotonic() < self._until_s

    async def before_running(self) -> None:
        """Wait until runs may go on."""
        if self._pauses_runs and self.is_on:
            self.held[SilentMoment.RUN] += 1
        while self._pauses_runs and self.is_on:
            await self._sleep()

    async def before_writing(self, moment: SilentMoment) -> None:
        """Wait until something may be written."""
        if self.is_on:
            self.held[moment] += 1
        while self.is_on:
            await self._sleep()

    def first_bytes(self, event: bytes) -> int:
        """Return how many bytes of an event are written before the silence."""
        return len(event) // 2 if self.is_on and self._splits_events else 0

    async def _sleep(self) -> None:
        await asyncio.sleep(max(self._until_s - time.monotonic(), 0.0))
