"""Known upstreams and which of them serve, during one leader term."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..clock import Clock
from ..consensus import Replica
from ..control.commands import (
    AddUpstream,
    Command,
    ForgetUpstream,
    UpstreamLeaves,
    encode_command,
)
from ..control.control_state import ControlState
from ..control.crash_monitor import CrashMonitor
from ..control.upstream_record import UpstreamRecord, incarnation_key
from .relay_messages import Announce, Depart
from .unconfigured_upstreams import UnconfiguredUpstreams
from .upstream_liveness import UpstreamLiveness

log = logging.getLogger(__name__)
MIN_UPDATE_INTERVAL_MS = 50
"""Changes within this time are processed together: after an outage thousands of upstreams come back
at once, and going through all of them for each one would overload the leader."""
MAX_UPDATE_INTERVAL_MS = 250
"""Longest delay until a silent upstream is noticed; short compared with a heartbeat."""


class UpstreamTracker:
    """Processes announcements and departures, and determines which upstreams serve.

    Parameters
    ----------
    crashes : CrashMonitor
        Notified when a new incarnation takes over an address.
    heartbeat_ms : int
        Heartbeat interval of upstreams.
    is_configured_service : callable
        Whether the document in force contains a service.
    on_serving : callable
        Called with the upstreams that may get new work, on each update.
    wake : callable
        Makes the leader's loop call `update_if_due` soon.
    """

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        crashes: CrashMonitor,
        clock: Clock,
        heartbeat_ms: int,
        is_configured_service: Callable[[str], bool],
        on_serving: Callable[[list[UpstreamRecord]], None],
        wake: Callable[[], None],
    ) -> None:
        self._replica = replica
        self._state = state
        self._crashes = crashes
        self._clock = clock
        self._is_configured_service = is_configured_service
        self._on_serving = on_serving
        self._wake = wake
        self._liveness = UpstreamLiveness(clock, heartbeat_ms)
        self._unconfigured = UnconfiguredUpstreams(clock, heartbeat_ms)
        self._serving: set[str] = set()
        self._updated_ms = self._due_ms = clock.now_ms()

    # Updates

    async def update_if_due(self) -> None:
        """Drop long silent upstreams and report the serving ones, if an update is due."""
        if self._clock.now_ms() < self._due_ms:
            return
        for instance in list(self._liveness.long_silent(self._state.roster.all_known())):
            await self._commit(ForgetUpstream(instance))
            self._liveness.forget(instance)
        for msg in self._unconfigured.take(self._is_configured_service):
            await self.announce(msg)
        self._update_serving()

    def due_in_ms(self) -> int:
        """Return the time until the next update is due."""
        return max(self._due_ms - self._clock.now_ms(), 0)

    def update_soon(self) -> None:
        """Schedule an update that collects the changes of the same moment."""
        self._due_ms = min(self._due_ms, self._updated_ms + MIN_UPDATE_INTERVAL_MS)
        self._wake()

    def _update_now(self) -> None:
        """Schedule an update without delay."""
        self._due_ms = self._clock.now_ms()
        self._wake()

    def _update_serving(self) -> None:
        self._updated_ms = self._clock.now_ms()
        self._due_ms = self._updated_ms + MAX_UPDATE_INTERVAL_MS
        # An upstream of a service that is not configured must not take the address of one that
        # serves.
        configured = (
            record
            for record in self._state.roster.records.values()
            if self._is_configured_service(record.service)
        )
        serving = sorted(self._liveness.serving(configured), key=lambda one: one.instance)
        before, self._serving = self._serving, {one.instance for one in serving}
        for instance in before - self._serving:
            log.info("upstream: no longer serving instance=%s", instance)
        self._on_serving(serving)

    # Announcements and departures

    async def announce(self, msg: Announce) -> bool:
        """Process an announcement; new information in it is committed first.

        Returns
        -------
        bool
            Whether it is the newest announcement of a known upstream.
        """
        record = msg.record
        roster = self._state.roster
        if roster.is_gone(record):
            return False
        known = roster.records.get(record.instance)
        if known is None and not self._is_configured_service(record.service):
            log.info("upstream: ignored %s: no such service", record)
            if not record.leaving:
                self._unconfigured.note(msg)
            return False
        if known is None:
            await self._commit(AddUpstream(record))
            log.info("upstream: joined %s", record)
            self._crashes.address_reused(record.address, record.instance)
        if record.leaving and (known is None or not known.leaving):
            await self._leave(record.instance, "announced")
        is_newest = self._liveness.record_announcement(record.instance, msg.number)
        if is_newest and record.instance not in self._serving and not record.leaving:
            self.update_soon()
        return is_newest

    async def depart(self, msg: Depart) -> None:
        """Process a departure: the incarnation gets no new work any more."""
        instance = self._departing_instance(msg)
        if instance not in self._state.roster.tombstones:
            await self._leave(instance, "departed")

    def _departing_instance(self, msg: Depart) -> str:
        """Return the incarnation that a departure refers to."""
        newest = self._state.roster.newest_incarnation(msg.name)
        # A departure without a start time is taken to mean the latest known incarnation, which then
        # gets a tombstone. An engine whose departure was acknowledged must not get new work, even
        # if an announcement that it sent before arrives late.
        if msg.started_ms or newest is None:
            return incarnation_key(msg.name, msg.started_ms)
        return newest.instance

    async def _leave(self, instance: str, reason: str) -> None:
        await self._commit(UpstreamLeaves(instance))
        log.info("upstream: leaving instance=%s reason=%s", instance, reason)
        # Updated before the departure is answered: after the answer the upstream must get no new
        # work.
        self._update_serving()

    # Observations of gateways

    def ended(self, instance: str, gateway: str) -> None:
        """Note that an answer broke off and the upstream's port was closed directly after."""
        if self._liveness.ended(instance):
            log.info("upstream: suspected instance=%s gateway=%s how=ended", instance, gateway)
        self._update_now()

    def unreachable(self, instance: str, gateway: str) -> None:
        """Note that a gateway could not connect to the upstream."""
        if self._liveness.unreachable(instance):
            log.info(
                "upstream: suspected instance=%s gateway=%s how=unreachable", instance, gateway
            )
        self.update_soon()

    def answered(self, instance: str) -> None:
        """Note that a gateway got an answer from the upstream."""
        self._liveness.answered(instance)

    async def _commit(self, command: Command) -> None:
        await self._replica.propose(encode_command(command))
