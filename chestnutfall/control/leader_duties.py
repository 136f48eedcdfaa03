"""Periodic work of the leading controller, and the state that it keeps for one term."""

from __future__ import annotations

import logging

from ..clock import Clock
from ..consensus import Busy, LeadershipLost, NotLeader, Replica, StorageFailed
from .caller_quotas import CallerQuotas
from .commands import AdvanceTime, AssignEngines, Command, EndPermit, encode_command
from .control_state import ControlState
from .crash_monitor import CrashMonitor
from .directory import Directory
from .load_budget import LoadBudget
from .messages import EngineSeen, GatewayAddress, Heartbeat
from .owner_plan import plan_owners
from .sessions import Session, Sessions

log = logging.getLogger(__name__)
TICK_MS = 200
"""Interval of the periodic work."""
ADVANCE_TIME_MS = 30_000
"""Least amount by which log time is advanced."""
PERMIT_LEASE_MS = 20_000
"""A load permit ends this long after the leader first saw it, even if its gateway does not end
it."""


class LeaderDuties:
    """Gateway sessions, engine ownership, permit leases and log time while this replica leads.

    Attributes
    ----------
    directory : Directory
        Ownership and live gateways, as sent to gateways.
    quotas : CallerQuotas
        Usage of callers in this term; set by `ensure_leading`.
    crashes : CrashMonitor
        Process ends of upstreams in this term; set by `ensure_leading`.
    """

    def __init__(self, replica: Replica, state: ControlState, clock: Clock) -> None:
        self._replica = replica
        self._state = state
        self._clock = clock
        self._term = -1
        self.directory = Directory()

    async def run(self) -> None:
        """Do the periodic work while this replica leads, until cancelled."""
        while True:
            await self._clock.sleep_ms(TICK_MS)
            if not self.ensure_leading():
                continue
            try:
                await self._tick()
            except (NotLeader, Busy, LeadershipLost, StorageFailed) as exc:
                log.info("control: leader work interrupted: %s", exc)

    def ensure_leading(self) -> bool:
        """Whether this replica leads; initialises the state of a new term first.

        The other methods may be called only after this returned True.
        """
        if not self._replica.is_active_leader():
            return False
        if self._term != self._replica.term:
            self._begin()
        return True

    def _begin(self) -> None:
        now_ms = self._clock.now_ms()
        self._term = self._replica.term
        self._sessions = Sessions(now_ms, {one.owner for one in self._state.owners.values()})
        self._budget = LoadBudget(self._clock)
        self._to_release: set[str] = set()
        self._permits_seen_ms: dict[str, int] = {}
        self.quotas = CallerQuotas(self._state, self._clock)
        self.crashes = CrashMonitor(self._replica, self._state, self._clock)
        self._advanced_ms = now_ms
        self._versions = 0
        self.directory = Directory(f"{self._term}.0", tuple(self._state.owners.values()))
        log.info("control: %s leads in term %d", self._replica.replica_id, self._term)

    # Sessions

    def renew(self, heartbeat: Heartbeat) -> None:
        """Renew a gateway's session and store the state that it reports."""
        new = not self._sessions.knows_engines_of(heartbeat.session)
        self._sessions.renew(heartbeat, self._clock.now_ms())
        if new:
            self._refresh_directory()

    def has_expired(self, session: str) -> bool:
        """Whether a gateway's session has certainly expired."""
        return self._sessions.has_expired(session, self._clock.now_ms())

    def sessions_with_heartbeat(self) -> list[Session]:
        """Return the unexpired sessions that sent a heartbeat in this term."""
        return [one for one in self._sessions.all() if one.heartbeat is not None]

    def live_engines(self) -> tuple[EngineSeen, ...]:
        """Return the upstreams that announce themselves to at least one live gateway, by name."""
        now_ms = self._clock.now_ms()
        seen = {one.name: one for live in self._sessions.live(now_ms) for one in live.engines}
        return tuple(seen[name] for name in sorted(seen))

    # Permits

    def take_load_token(self, per_s: float) -> bool:
        """Take one token from the load rate budget; False if there is none."""
        return self._budget.take(per_s)

    def return_load_token(self) -> None:
        """Return the token of a load that got no permit."""
        self._budget.return_token()

    # Ownership

    def engines_to_release(self, session: str) -> tuple[str, ...]:
        """Return the engines that `session` has to stop acting for."""
        owners = self._state.owners
        return tuple(
            sorted(e for e in self._to_release if e in owners and owners[e].owner == session)
        )

    async def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._sessions.remove_expired(now_ms)
        await self._plan_owners(now_ms)
        self._refresh_directory()
        await self._end_old_permits(now_ms)
        await self._advance_time(now_ms)
        await self.crashes.commit_due()

    async def _plan_owners(self, now_ms: int) -> None:
        willing = [
            live.session
            for live in self._sessions.live(now_ms)
            if live.heartbeat is not None and not live.heartbeat.leaving
        ]
        engines = [one.name for one in self.live_engines() if self._is_engine(one.service)]
        present = {engine: one.owner for engine, one in self._state.owners.items()}
        plan = plan_owners(engines, willing, present)
        moves = [(e, new) for e, new in plan.items() if present.get(e) != new]
        self._to_release &= {engine for engine, _ in moves}
        ready = [(e, new) for e, new in moves if self._may_move(e, present.get(e), now_ms)]
        if not ready:
            return
        await self._commit(AssignEngines(tuple(ready)))
        self._to_release -= {engine for engine, _ in ready}
        log.info("control: owners changed: %s", ready)

    def _is_engine(self, service: str) -> bool:
        services = (site.entries.get("services", {}) for site in self._state.sites.values())
        return any(one.get(service, {}).get("kind") == "engine" for one in services)

    def _may_move(self, engine: str, owner: str | None, now_ms: int) -> bool:
        # Two gateways that both act for one engine evict each other's adapters. An engine therefore
        # moves only when its owner's lease has certainly expired, or when the owner was asked to
        # release it and a later heartbeat says that it no longer acts for it.
        if owner is None or self._sessions.has_expired(owner, now_ms):
            return True
        session = self._sessions.get(owner)
        if session is None or session.heartbeat is None:
            return False
        if engine in self._to_release and engine not in session.heartbeat.acting:
            return True
        self._to_release.add(engine)
        return False

    def _refresh_directory(self) -> None:
        live = self._sessions.live(self._clock.now_ms())
        gateways = tuple(
            sorted(
                (
                    GatewayAddress(s.session, s.heartbeat.address, s.heartbeat.cut)
                    for s in live
                    if s.heartbeat
                ),
                key=lambda one: one.session,
            )
        )
        owners = tuple(self._state.owners.values())
        if (owners, gateways) == (self.directory.owners, self.directory.gateways):
            return
        self._versions += 1
        self.directory = Directory(f"{self._term}.{self._versions}", owners, gateways)

    async def _end_old_permits(self, now_ms: int) -> None:
        for permit_id in self._state.permits:
            self._permits_seen_ms.setdefault(permit_id, now_ms)
        for permit_id, seen_ms in list(self._permits_seen_ms.items()):
            if permit_id not in self._state.permits:
                del self._permits_seen_ms[permit_id]
            elif now_ms > seen_ms + PERMIT_LEASE_MS:
                await self._commit(EndPermit(permit_id))

    async def _advance_time(self, now_ms: int) -> None:
        # Claims expire by time that leaders measure, not by a wall clock: if that jumped, a claim
        # would be dropped early and the request could run twice. Time between two leaders is not
        # counted, so log time can only be slow, which prolongs claims.
        passed_ms = now_ms - self._advanced_ms
        if passed_ms >= ADVANCE_TIME_MS:
            self._advanced_ms = now_ms
            await self._commit(AdvanceTime(passed_ms))

    async def _commit(self, command: Command) -> None:
        await self._replica.propose(encode_command(command))
