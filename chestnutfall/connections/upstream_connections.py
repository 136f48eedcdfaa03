"""The idle connections of a gateway to one upstream."""

from __future__ import annotations

from collections.abc import Iterator

from .connection_need import ConnectionNeed
from .idle_connection import IdleConnection
from .idle_time import IdleTime

SUSPECT_MS = 5_000
"""How long requests that may run once use new connections only, once the upstream, or something on
the way, was seen to misuse kept ones; and the time in which two losses are no chance."""
OVER_LIMIT_MS = 10_000
"""How long fewer connections are kept after the upstream reset one over its limit."""
MAX_HALVINGS = 4
"""Halvings of the number that is kept; an upstream that resets for other reasons costs no more."""


class UpstreamConnections:
    """Idle connections to one incarnation, the longest idle first.

    Attributes
    ----------
    service : str
        Service of the upstream.
    idle_time : IdleTime
        How long the upstream keeps an idle connection open.
    used_ms : int
        Clock time of the last send or answer.
    """

    def __init__(self, service: str, now_ms: int) -> None:
        self.service = service
        self.idle_time = IdleTime()
        self.used_ms = now_ms
        self._idle: list[IdleConnection] = []
        self._suspect_until_ms = now_ms
        self._lost_ms = now_ms - SUSPECT_MS
        self._over_limit_until_ms = now_ms
        self._halvings = 0

    def __len__(self) -> int:
        return len(self._idle)

    def __iter__(self) -> Iterator[IdleConnection]:
        return iter(self._idle)

    def has_usable(self, now_ms: int) -> bool:
        """Whether a request that may run once would find an open connection."""
        if not self._idle or self._is_suspect(now_ms):
            return False
        usable_ms = self.idle_time.usable_ms(True, now_ms)
        return 0 < usable_ms >= now_ms - self._idle[-1].since_ms

    def candidates(self, need: ConnectionNeed, now_ms: int) -> Iterator[IdleConnection]:
        """Remove and return the connections that may serve a request, the shortest idle first.

        The caller looks at each one, and stops at the first that is quiet.
        """
        if need.runs_once and self._is_suspect(now_ms):
            return
        usable_ms = self.idle_time.usable_ms(need.runs_once, now_ms)
        for idle in reversed(self._idle.copy()):
            if now_ms - idle.since_ms > usable_ms or usable_ms <= 0:
                return
            # An upstream may answer a request twice. On its own connection, the extra answer to a
            # refused request would pass for the answer to its next send: the caller would be told
            # that the request did not run while it runs.
            if need.request_id in idle.request_ids:
                continue
            self._idle.remove(idle)
            yield idle

    def add(self, idle: IdleConnection, most: int, now_ms: int) -> list[IdleConnection]:
        """Add a connection and return those beyond `most`, the longest idle ones."""
        self._idle.append(idle)
        surplus = max(len(self._idle) - self._kept(most, now_ms), 0)
        removed, self._idle = self._idle[:surplus], self._idle[surplus:]
        return removed

    def remove(self, idle: IdleConnection) -> bool:
        """Remove a connection that was closed; return whether it was idle here."""
        if idle not in self._idle:
            return False
        self._idle.remove(idle)
        return True

    def expire(self, now_ms: int) -> list[IdleConnection]:
        """Remove and return the connections that no request would use any more."""
        if self._idle:
            self.idle_time.note_survived(now_ms - self._idle[0].since_ms, now_ms)
        kept_ms = self.idle_time.kept_ms()
        expired = [one for one in self._idle if now_ms - one.since_ms > kept_ms]
        self._idle = self._idle[len(expired) :]
        return expired

    def note_lost(self, sent_ms: int, now_ms: int) -> list[IdleConnection]:
        """Note that a send on a kept connection was lost; return those that may be lost like it.

        One loss may be the request's own: an upstream also resets new connections. The second one
        soon after makes the upstream suspect.
        """
        if now_ms - self._lost_ms < SUSPECT_MS:
            self._suspect_until_ms = now_ms + SUSPECT_MS
        self._lost_ms = now_ms
        return self._take_older(sent_ms)

    def suspect(self, sent_ms: int, now_ms: int) -> list[IdleConnection]:
        """Suspect the upstream; return the connections that are as old as a send at `sent_ms`."""
        self._suspect_until_ms = now_ms + SUSPECT_MS
        return self._take_older(sent_ms)

    def _take_older(self, sent_ms: int) -> list[IdleConnection]:
        """Remove and return the connections that have answered nothing since `sent_ms`.

        One that answered later is known to work.
        """
        doubtful = [one for one in self._idle if one.since_ms <= sent_ms]
        self._idle = self._idle[len(doubtful) :]
        return doubtful

    def note_over_limit(self, now_ms: int) -> list[IdleConnection]:
        """Halve the number that is kept for a time; return all that were idle.

        They are the connections that this gateway can give back to the upstream's limit.
        """
        if now_ms >= self._over_limit_until_ms:
            self._halvings = 0
        self._halvings = min(self._halvings + 1, MAX_HALVINGS)
        self._over_limit_until_ms = now_ms + OVER_LIMIT_MS
        removed, self._idle = self._idle, []
        return removed

    def clear(self) -> list[IdleConnection]:
        """Remove and return all."""
        removed, self._idle = self._idle, []
        return removed

    def _is_suspect(self, now_ms: int) -> bool:
        return now_ms < self._suspect_until_ms

    def _kept(self, most: int, now_ms: int) -> int:
        return most >> self._halvings if now_ms < self._over_limit_until_ms else most
