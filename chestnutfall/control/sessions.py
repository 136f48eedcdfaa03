"""Gateway sessions on the leading controller."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from ..consensus.timing import DRIFT_BOUND
from .messages import EngineSeen, Heartbeat

SESSION_LEASE_MS = 1500
"""Length of a gateway session's lease, renewed by each heartbeat."""
ORDER_DEADLINE_MS = 500
"""Allowance for an order that is sent at the end of a lease and still on its way to the engine."""


@dataclass(frozen=True, slots=True)
class Session:
    """The state of one gateway's session.

    Attributes
    ----------
    session : str
        Name and incarnation of the gateway.
    last_seen_ms : int
        Clock time of the last heartbeat. For an owner that has sent none to this leader, the time
        at which this leader was elected.
    heartbeat : Heartbeat or None
        Last heartbeat, without its `engines`; None if this leader got none.
    engines : tuple of EngineSeen
        Upstreams that announce themselves to the gateway.
    """

    session: str
    last_seen_ms: int
    heartbeat: Heartbeat | None
    engines: tuple[EngineSeen, ...] = ()


class Sessions:
    """Gateway sessions by name, with leases that only the leader's memory holds.

    A new leader has received no heartbeats, so it counts its election as the last heartbeat of each
    owner in the log. The previous leader granted every lease before that.

    Parameters
    ----------
    now_ms : int
        Clock time of the election.
    owners : iterable of str
        Sessions that own engines according to the log.
    """

    def __init__(self, now_ms: int, owners: Iterable[str]) -> None:
        self._sessions = {name: Session(name, now_ms, None) for name in owners}

    def renew(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Renew the session that `heartbeat` belongs to."""
        before = self._sessions.get(heartbeat.session)
        engines = heartbeat.engines
        if engines is None:
            engines = before.engines if before else ()
        self._sessions[heartbeat.session] = Session(
            heartbeat.session, now_ms, replace(heartbeat, engines=None), engines
        )

    def knows_engines_of(self, session: str) -> bool:
        """Whether `session` sent a full list of its upstreams to this leader."""
        found = self._sessions.get(session)
        return found is not None and found.heartbeat is not None

    def get(self, session: str) -> Session | None:
        """Return the session, or None if it is unknown or was removed."""
        return self._sessions.get(session)

    def all(self) -> list[Session]:
        """Return all sessions that were not removed."""
        return list(self._sessions.values())

    def live(self, now_ms: int) -> Iterator[Session]:
        """Yield the sessions with a heartbeat whose lease is still valid by the leader's clock."""
        for session in self._sessions.values():
            if session.heartbeat is not None and now_ms < session.last_seen_ms + SESSION_LEASE_MS:
                yield session

    def has_expired(self, name: str, now_ms: int) -> bool:
        """Whether the gateway can no longer act as an owner, by its own clock and the leader's.

        The gateway counts its lease from when it sent the heartbeat, so the lease ends there first
        unless the gateway's clock is slow. The drift bound covers a slow clock. The order deadline
        covers an order that is sent at the end of the lease to an engine that does not check
        fencing tokens. An unknown session has expired.
        """
        session = self._sessions.get(name)
        if session is None:
            return True
        wait_ms = SESSION_LEASE_MS * (1 + DRIFT_BOUND) + ORDER_DEADLINE_MS
        return now_ms > session.last_seen_ms + wait_ms

    def remove_expired(self, now_ms: int) -> None:
        """Remove the sessions that have expired."""
        for name in [name for name in self._sessions if self.has_expired(name, now_ms)]:
            del self._sessions[name]
