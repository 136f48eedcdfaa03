"""Which upstreams there are and which of them serve, during one term of leading."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..clock import Clock
from ..consensus import Replica
from ..control.commands import (
    COMMAND_CODEC,
    AddUpstream,
    Command,
    ForgetUpstream,
    UpstreamLeaves,
)
from ..control.control_state import ControlState
from ..control.crash_monitor import CrashMonitor
from ..control.upstream_record import UpstreamRecord, incarnation_key
from .relay_messages import Announce, Depart
from .upstream_watch import UpstreamWatch

log = logging.getLogger(__name__)
MATCH_MS = 50
"""Upstreams that come within this time are looked at together: after an outage thousands come at
once, and looking at all of them for each one takes the leader longer than it has."""
LOOK_MS = 250
"""How late a silent upstream is noticed at most; small beside a heartbeat."""


class UpstreamDesk:
    """Takes what upstreams say of themselves, and works out which of them serve.

    Parameters
    ----------
    is_named_service : callable
        Whether the document in force names a service.
    on_serving : callable
        Told the upstreams that may get new work, whenever they were looked at.
    wake : callable
        Has `look` called soon.
    """

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        crashes: CrashMonitor,
        clock: Clock,
        heartbeat_ms: int,
        is_named_service: Callable[[str], bool],
        on_serving: Callable[[list[UpstreamRecord]], None],
        wake: Callable[[], None],
    ) -> None:
        self._replica = replica
        self._state = state
        self._crashes = crashes
        self._clock = clock
        self._is_named_service = is_named_service
        self._on_serving = on_serving
        self._wake = wake
        self._watch = UpstreamWatch(clock, heartbeat_ms)
        self._serving: set[str] = set()
        self._matched_ms = self._due_ms = clock.now_ms()

    # What is due

    async def look(self) -> None:
        """Bring placement, orders and gateways to the upstreams that serve now, if it is time."""
        if self._clock.now_ms() < self._due_ms:
            return
        for instance in list(self._watch.forgettable(self._state.roster.records.values())):
            await self._commit(ForgetUpstream(instance))
        self._match()

    def due_in_ms(self) -> int:
        """Time until `look` has something to do."""
        return max(self._due_ms - self._clock.now_ms(), 0)

    def look_soon(self) -> None:
        """Have a change taken up together with others that come at the same time."""
        self._due_ms = min(self._due_ms, self._matched_ms + MATCH_MS)
        self._wake()

    def _look_now(self) -> None:
        self._due_ms = self._clock.now_ms()
        self._wake()

    def _match(self) -> None:
        self._matched_ms = self._clock.now_ms()
        self._due_ms = self._matched_ms + LOOK_MS
        # An entry of a service that nobody named must not take the address of one that serves.
        named = (
            record
            for record in self._state.roster.records.values()
            if self._is_named_service(record.service)
        )
        serving = sorted(self._watch.serving(named), key=lambda one: one.instance)
        self._serving = {one.instance for one in serving}
        self._on_serving(serving)

    # What upstreams say

    async def announce(self, msg: Announce) -> bool:
        """Take an announcement; what is new in it is committed first.

        Returns
        -------
        bool
            Whether it is the newest one of an upstream that is known.
        """
        record = msg.record
        roster = self._state.roster
        if roster.is_gone(record):
            return False
        known = roster.records.get(record.instance)
        if known is None and not self._is_named_service(record.service):
            log.info("upstream: ignored %s: no such service", record)
            return False
        if known is None:
            await self._commit(AddUpstream(record))
            log.info("upstream: joined %s", record)
            self._crashes.address_reused(record.address, record.instance)
        if record.leaving and (known is None or not known.leaving):
            await self._leave(record.instance, "announced")
        heard = self._watch.heard(record.instance, msg.number)
        if heard and record.instance not in self._serving and not record.leaving:
            self.look_soon()
        return heard

    async def depart(self, msg: Depart) -> None:
        """Take a departure."""
        instance = self._departing(msg)
        if instance not in self._state.roster.tombstones:
            await self._leave(instance, "departed")

    def _departing(self, msg: Depart) -> str:
        """The incarnation that a departure is about."""
        newest = self._state.roster.newest_incarnation(msg.name)
        # Where it does not say which of its starts leaves, the latest is meant: an engine that
        # is told that it may go gets no new work, whatever else arrives late.
        if msg.started_ms or newest is None:
            return incarnation_key(msg.name, msg.started_ms)
        return newest.instance

    async def _leave(self, instance: str, reason: str) -> None:
        await self._commit(UpstreamLeaves(instance))
        log.info("upstream: leaving instance=%s reason=%s", instance, reason)
        # Before the answer: whoever is told that it may go must get no new work.
        self._match()

    # What gateways saw

    def ended(self, instance: str) -> None:
        """Note that answers broke off there and its port was closed just after."""
        self._watch.ended(instance)
        self._look_now()

    def unreachable(self, instance: str) -> None:
        """Note that a gateway could not open a connection."""
        self._watch.unreachable(instance)
        self.look_soon()

    def answered(self, instance: str) -> None:
        """Note that a gateway got an answer."""
        self._watch.answered(instance)

    async def _commit(self, command: Command) -> None:
        await self._replica.propose(COMMAND_CODEC.encode(command))
