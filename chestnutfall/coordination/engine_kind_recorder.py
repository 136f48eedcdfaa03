"""Saves measured engine characteristics for the next leader."""

from __future__ import annotations

import logging

from ..clock import Clock
from ..consensus import Busy, LeadershipLost, NotLeader, Replica, StorageFailed
from ..control.commands import NoteEngineKind, encode_command
from ..control.control_state import ControlState
from ..placement.placer import Placer
from .speed_log import SpeedLog

log = logging.getLogger(__name__)
POLL_MS = 1_000
"""Measurements settle within seconds and then seldom move; each log entry is some hundred bytes."""


class EngineKindRecorder:
    """Commits the measured characteristics of a service's engines when they changed noticeably.

    A new leader that starts with default values would give engines too little or too much prefill
    work in its first seconds, when all requests that waited for the election arrive.
    """

    def __init__(self, replica: Replica, state: ControlState, placer: Placer, clock: Clock) -> None:
        self._replica = replica
        self._state = state
        self._placer = placer
        self._clock = clock
        self._speeds = SpeedLog(clock)

    async def run(self) -> None:
        """Check and commit the measurements periodically, until cancelled."""
        while True:
            await self._clock.sleep_ms(POLL_MS)
            engines = self._placer.engines.values()
            self._placer.kinds.review(engines, self._clock.now_ms())
            self._speeds.update(engines)
            for service, kind in list(self._placer.kinds.learned(engines)):
                known = self._state.engine_kinds.get(service)
                if known is None or kind.differs_from(known):
                    await self._commit(NoteEngineKind(service, kind))

    async def _commit(self, command: NoteEngineKind) -> None:
        try:
            await self._replica.propose(encode_command(command))
        except (NotLeader, Busy, LeadershipLost, StorageFailed) as exc:
            # The next round tries again. Without the entry, a new leader only has to measure again.
            log.info("kinds: service=%s not committed: %r", command.service, exc)
        else:
            log.info("kinds: service=%s measured %s", command.service, command.kind)
