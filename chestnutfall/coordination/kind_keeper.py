"""Keeps what was learned of engines over changes of leader."""

from __future__ import annotations

import logging

from ..clock import Clock
from ..consensus import Busy, LeadershipLost, NotLeader, Replica, StorageFailed
from ..control.commands import COMMAND_CODEC, NoteEngineKind
from ..control.control_state import ControlState
from ..placement.placer import Placer

log = logging.getLogger(__name__)
LOOK_MS = 1_000
"""Figures settle within seconds and then move seldom; each entry is some hundred bytes."""


class KindKeeper:
    """Commits the figures of a service's engines when they moved.

    A new leader that begins with guesses gives engines too little reading, or too much, for its
    first seconds. These are just the seconds in which everyone waits.
    """

    def __init__(self, replica: Replica, state: ControlState, placer: Placer, clock: Clock) -> None:
        self._replica = replica
        self._state = state
        self._placer = placer
        self._clock = clock

    async def run(self) -> None:
        """Look again and again, until cancelled."""
        while True:
            await self._clock.sleep_ms(LOOK_MS)
            for service, kind in list(self._placer.kinds.learned(self._placer.engines.values())):
                known = self._state.engine_kinds.get(service)
                if known is None or kind.differs_from(known):
                    await self._commit(NoteEngineKind(service, kind))

    async def _commit(self, command: NoteEngineKind) -> None:
        try:
            await self._replica.propose(COMMAND_CODEC.encode(command))
        except (NotLeader, Busy, LeadershipLost, StorageFailed) as exc:
            # The next look tries again; without the entry a new leader only learns anew.
            log.info("kinds: service=%s not kept: %r", command.service, exc)
        else:
            log.info("kinds: service=%s learned %s", command.service, command.kind)
