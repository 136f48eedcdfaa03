"""The idle connections of a gateway to all upstreams."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable, Iterable

from ..clock import Clock
from .connection_need import ConnectionNeed
from .idle_connection import MAX_REQUEST_IDS, IdleConnection
from .kept_connection import KeptConnection
from .upstream_connections import UpstreamConnections

log = logging.getLogger(__name__)
FORGET_MS = 60_000
"""What is known of an upstream is forgotten after this time without a request."""
MAX_IDLE = 512
"""Idle connections to all upstreams together; a small host has some 1,600 file descriptors."""
MAX_REMEMBERED = 64
"""Upstreams that are remembered before unused ones are looked for."""
UNACKNOWLEDGED_MS = 5_000
"""How long an unacknowledged request counts; a cut or a loss of connections lasts about as long."""
CUT_OFF_UPSTREAMS = 2
"""Upstreams without acknowledgement from which on all others are doubtful. One alone has ended or
is cut off by itself."""
OVER_LIMIT_RESET_MS = 10
"""A connection that is reset this soon after it was opened was over the upstream's limit; requests
that an upstream runs and then breaks off mostly last longer."""
LOG_EVERY_MS = 10_000
"""Time between two log lines about one upstream."""


class ConnectionPool:
    """Decides which request uses which kept connection, and when one is closed.

    It holds no sockets: connections are `KeptConnection`, opened by the caller when `take` finds
    none. All decisions are this gateway's own, by what it sees of its own connections.

    Parameters
    ----------
    share : callable
        Number of idle connections to keep, by service and instance.
    count : callable
        Adds one to the counter of a given name.
    """

    def __init__(
        self, share: Callable[[str, str], int], count: Callable[[str], None], clock: Clock
    ) -> None:
        self._share = share
        self._count = count
        self._clock = clock
        self._upstreams: dict[str, UpstreamConnections] = {}
        self._logged_ms: dict[str, int] = {}
        self._unacknowledged: dict[str, int] = {}
        self._is_closed = False

    def __len__(self) -> int:
        return sum(len(one) for one in self._upstreams.values())

    def has_open(self, instance: str) -> bool:
        """Whether a request that may run once would find an open connection to an upstream."""
        upstream = self._upstreams.get(instance)
        return upstream is not None and upstream.has_usable(self._clock.now_ms())

    def take(self, need: ConnectionNeed) -> IdleConnection | None:
        """Return a kept connection for a send; None if a new one must be opened.

        A returned connection was looked at. The caller writes the request at once: whatever
        arrives between look and write is not seen.
        """
        now_ms = self._clock.now_ms()
        upstream = self._upstream(need, now_ms)
        for idle in upstream.candidates(need, now_ms):
            if idle.conn.is_quiet():
                self._count("upstream_connections_reused")
                return idle
            idle.conn.close()
            self._count("upstream_connections_found_closed")
        return None

    def note_opened(self) -> None:
        """Count a new connection."""
        self._count("upstream_connections_opened")

    def keep(
        self, conn: KeptConnection, need: ConnectionNeed, former_ids: tuple[str, ...]
    ) -> IdleConnection | None:
        """Keep a connection whose answer was received whole; close those beyond the share.

        Parameters
        ----------
        conn : KeptConnection
            The connection.
        need : ConnectionNeed
            The send that it served.
        former_ids : tuple of str
            Requests that it served before, as in `IdleConnection.request_ids`.

        Returns
        -------
        IdleConnection or None
            None if the connection was closed instead.
        """
        now_ms = self._clock.now_ms()
        if self._is_closed:
            conn.close()
            return None
        upstream = self._upstream(need, now_ms)
        ids = (*former_ids, need.request_id)[-MAX_REQUEST_IDS:]
        idle = IdleConnection(conn, now_ms, ids)
        removed = upstream.add(idle, self._share(need.service, need.instance), now_ms)
        self._close(removed)
        return None if idle in removed else idle

    def note_told(self, need: ConnectionNeed, idle_ms: int | None) -> None:
        """Note the idle time that an answer states; None if it states none."""
        self._upstream(need, self._clock.now_ms()).idle_time.note_told(idle_ms)

    def note_closed(self, instance: str, idle: IdleConnection) -> None:
        """Note that the upstream closed an idle connection."""
        upstream = self._upstreams.get(instance)
        if upstream is not None and upstream.remove(idle):
            now_ms = self._clock.now_ms()
            upstream.idle_time.note_found_closed(now_ms - idle.since_ms, now_ms)
            self._count("upstream_connections_found_closed")

    def note_arrival(self, instance: str, idle: IdleConnection) -> None:
        """Note that bytes arrived on an idle connection; they belong to no request."""
        upstream = self._upstreams.get(instance)
        if upstream is not None and upstream.remove(idle):
            idle.conn.close()
            self._count("upstream_connections_found_closed")

    def note_lost(self, need: ConnectionNeed, sent_ms: int, reason: str) -> None:
        """Note that a request sent on a kept connection at `sent_ms` lost its answer.

        A host between the two ends that forgets connections forgets all that are as old, so the
        next request on one of them would be lost as well.
        """
        now_ms = self._clock.now_ms()
        doubtful = self._upstream(need, now_ms).note_lost(sent_ms, now_ms)
        self._close(doubtful)
        self._log(need.instance, now_ms, f"answer lost: {reason}", len(doubtful))

    def note_doubtful(self, need: ConnectionNeed, sent_ms: int, reason: str) -> None:
        """Note that the kept connections of an upstream are not to be trusted for a while.

        An upstream that mixes up answers does so on all of them.
        """
        now_ms = self._clock.now_ms()
        doubtful = self._upstream(need, now_ms).suspect(sent_ms, now_ms)
        self._close(doubtful)
        self._log(need.instance, now_ms, reason, len(doubtful))

    def note_unacknowledged(self, need: ConnectionNeed, sent_ms: int) -> None:
        """Note that the host of an upstream doesn't acknowledge a request on a kept connection.

        If two upstreams do so, this gateway is cut off or its connections were forgotten. The
        next requests then open connections, which tells whether they can be sent at all.
        """
        self.note_doubtful(need, sent_ms, "unacknowledged")
        now_ms = self._clock.now_ms()
        known = self._unacknowledged
        known[need.instance] = now_ms
        for instance, noted_ms in list(known.items()):
            if now_ms - noted_ms > UNACKNOWLEDGED_MS:
                del known[instance]
        if len(known) < CUT_OFF_UPSTREAMS:
            return
        for upstream in self._upstreams.values():
            self._close(upstream.suspect(sent_ms, now_ms))

    def note_reset(self, need: ConnectionNeed, opened_ms: int) -> None:
        """Note that a connection opened at `opened_ms` was reset before its first answer."""
        if self._clock.now_ms() - opened_ms <= OVER_LIMIT_RESET_MS:
            self.note_over_limit(need)

    def note_over_limit(self, need: ConnectionNeed) -> None:
        """Note that the upstream reset a connection that was just opened.

        It accepts no more connections; the idle ones of this gateway are closed to make room.
        """
        now_ms = self._clock.now_ms()
        self._count("upstream_connections_over_cap")
        removed = self._upstream(need, now_ms).note_over_limit(now_ms)
        self._close(removed)
        self._log(need.instance, now_ms, "reset at once", len(removed))

    def sweep(self) -> None:
        """Close the connections that have been idle for too long, or that are too many."""
        now_ms = self._clock.now_ms()
        for upstream in self._upstreams.values():
            self._close(upstream.expire(now_ms))
        surplus = len(self) - MAX_IDLE
        if surplus > 0:
            listed = ((idle, one) for one in self._upstreams.values() for idle in one)
            oldest = heapq.nsmallest(surplus, listed, key=lambda found: found[0].since_ms)
            self._close(idle for idle, upstream in oldest if upstream.remove(idle))

    def close(self) -> None:
        """Close all idle connections; later ones are closed instead of kept."""
        self._is_closed = True
        for upstream in self._upstreams.values():
            self._close(upstream.clear())

    def _upstream(self, need: ConnectionNeed, now_ms: int) -> UpstreamConnections:
        upstream = self._upstreams.get(need.instance)
        if upstream is None:
            self._forget_unused(now_ms)
            upstream = UpstreamConnections(need.service, now_ms)
            self._upstreams[need.instance] = upstream
        upstream.used_ms = now_ms
        return upstream

    def _forget_unused(self, now_ms: int) -> None:
        if len(self._upstreams) < MAX_REMEMBERED:
            return
        for instance, upstream in list(self._upstreams.items()):
            if not len(upstream) and now_ms - upstream.used_ms > FORGET_MS:
                del self._upstreams[instance]
                self._logged_ms.pop(instance, None)

    def _close(self, removed: Iterable[IdleConnection]) -> None:
        for idle in removed:
            idle.conn.close()
            self._count("upstream_connections_closed_idle")

    def _log(self, instance: str, now_ms: int, what: str, closed: int) -> None:
        logged_ms = self._logged_ms.get(instance)
        if logged_ms is None or now_ms - logged_ms >= LOG_EVERY_MS:
            self._logged_ms[instance] = now_ms
            log.info("connections: instance=%s %s closed=%d", instance, what, closed)
