"""Starts and ends the leader terms of this controller."""

from __future__ import annotations

import asyncio
import logging

from ..accounts import MemoryAccount
from ..clock import Clock
from ..consensus import Busy, LeadershipLost, NotLeader, Replica, StorageFailed
from ..control.commands import Command
from ..control.control_state import ControlState
from ..routes import DocumentCodec
from ..settings.quota_bounds import QuotaBounds
from ..settings.repeat_bounds import RepeatBounds
from .engine_control import EngineControl
from .leader_term import LeaderTerm

log = logging.getLogger(__name__)
POLL_MS = 20
"""How soon a new leader begins to serve; short compared with an election."""


class FleetLeader:
    """Runs a `LeaderTerm` whenever this controller leads.

    Attributes
    ----------
    term : LeaderTerm or None
        Current term; None while this controller does not lead.
    """

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        codec: DocumentCodec,
        control: EngineControl,
        clock: Clock,
        heartbeat_ms: int,
        repeats: RepeatBounds,
        quotas: QuotaBounds,
        memory: MemoryAccount,
    ) -> None:
        self._replica = replica
        self._state = state
        self._codec = codec
        self._control = control
        self._clock = clock
        self._heartbeat_ms = heartbeat_ms
        self._repeats = repeats
        self._quotas = quotas
        self._memory = memory
        self.term: LeaderTerm | None = None
        state.on_apply = self._on_apply

    def _on_apply(self, command: Command) -> None:
        if self.term is not None:
            self.term.on_apply(command)

    def leading(self) -> LeaderTerm | None:
        """Return the current term if this controller certainly leads, else None."""
        return self.term if self.term is not None and self.term.leads() else None

    async def run(self) -> None:
        """Run one term after the other, until cancelled."""
        while True:
            if not self._replica.is_active_leader():
                await self._clock.sleep_ms(POLL_MS)
                continue
            self.term = LeaderTerm(
                self._replica,
                self._state,
                self._codec,
                self._control,
                self._clock,
                self._heartbeat_ms,
                self._repeats,
                self._quotas,
                self._memory,
            )
            log.info("leader: started term=%d", self.term.term)
            try:
                await self.term.run()
            except (NotLeader, Busy, LeadershipLost, StorageFailed) as exc:
                log.warning("leader: term=%d interrupted: %r", self.term.term, exc)
            finally:
                log.info("leader: ended term=%d", self.term.term)
                self.term = None
            await asyncio.sleep(0)
