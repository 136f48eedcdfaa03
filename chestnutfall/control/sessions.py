"""Live gateways, as the leading controller sees them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from ..consensus.timing import DRIFT_BOUND
from .messages import EngineSeen, Heartbeat

SESSION_LEASE_MS = 1500
ORDER_DEADLINE_MS = 500


@dataclass(frozen=True, slots=True)
class Session:
    """A gateway's newest heartbeat; `heartbeat` None for an owner not heard by this leader."""

    session: str
    heard_ms: int
    heartbeat: Heartbeat | None
    engines: tuple[EngineSeen, ...] = ()


class Sessions:
    """Sessions by name, with leases kept in the leader's memory.

    A new leader has heard nobody, so it treats each owner in the log as heard at its election:
    a lease that the old leader granted was granted before that.
    """

    def __init__(self, now_ms: int, owners: Iterable[str]) -> None:
        self._sessions = {name: Session(name, now_ms, None) for name in owners}

    def renew(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Note a heartbeat."""
        before = self._sessions.get(heartbeat.session)
        engines = heartbeat.engines
        if engines is None:
            engines = before.engines if before else ()
        self._sessions[heartbeat.session] = Session(
            heartbeat.session, now_ms, replace(heartbeat, engines=None), engines
        )

    def knows_engines_of(self, session: str) -> bool:
        """Whether this leader has had a whole list of engines from `session`."""
        found = self._sessions.get(session)
        return found is not None and found.heartbeat is not None

    def get(self, session: str) -> Session | None:
        """The session by this name."""
        return self._sessions.get(session)

    def all(self) -> list[Session]:
        """Every session that is not known to be over."""
        return list(self._sessions.values())

    def live(self, now_ms: int) -> Iterator[Session]:
        """Yield sessions whose lease may still be valid, heard by this leader."""
        for session in self._sessions.values():
            if session.heartbeat is not None and now_ms < session.heard_ms + SESSION_LEASE_MS:
                yield session

    def is_over(self, name: str, now_ms: int) -> bool:
        """Whether `name` can't act any more, by its own clock and ours.

        The lease on the gateway runs from when it sent the heartbeat, so it ends first there
        unless its clock is slow; the drift bound covers that, and the order deadline covers an
        order sent in the lease's last moment to an engine that does not check fencing numbers.
        """
        session = self._sessions.get(name)
        if session is None:
            return True
        wait_ms = SESSION_LEASE_MS * (1 + DRIFT_BOUND) + ORDER_DEADLINE_MS
        return now_ms > session.heard_ms + wait_ms

    def forget_over(self, now_ms: int) -> None:
        """Drop sessions that are over."""
        for name in [name for name in self._sessions if self.is_over(name, now_ms)]:
            del self._sessions[name]
