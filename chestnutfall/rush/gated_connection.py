"""The server's end of a connection that a gate admitted."""

from __future__ import annotations

import logging
from typing import Any

from aiohttp.web_server import Server

from ..accounts import ProcessAccount
from ..wire.bounded_connection import BODY_IDLE_MS, BoundedConnection
from .connection_gate import ConnectionGate
from .kept_limits import KeptLimits
from .opening import Opening

log = logging.getLogger(__name__)
FIRST_CHECK_S = 1.0
"""Time after an answer at which a connection without a check gets one."""
LONGEST_CHECK_S = 3_600.0
LAST_READ_S = 0.05
"""Time from the check that finds a connection idle for too long to its end: enough to read a
request that has come while the event loop or the process stood still."""


class GatedConnection(BoundedConnection):
    """aiohttp's protocol of a connection, which tells a gate of its first call.

    Attributes
    ----------
    opening : Opening or None
        Record of the gate until the first answer begins; None afterwards.

    Parameters
    ----------
    kept : KeptLimits, optional
        How long the connection may be without a request; by default aiohttp's option decides.
    """

    __slots__ = ("_gate", "_head_since", "_is_ending", "_kept", "opening")

    def __init__(
        self,
        gate: ConnectionGate,
        opening: Opening,
        manager: Server,
        account: ProcessAccount,
        kept: KeptLimits | None = None,
        **options: Any,
    ) -> None:
        if kept is not None:
            options["keepalive_timeout"] = FIRST_CHECK_S
        super().__init__(manager, account, **options)
        self._gate = gate
        self._kept = kept
        self._head_since: float | None = None
        self._is_ending = False
        self.opening: Opening | None = opening

    def data_received(self, data: bytes) -> None:
        if self.opening is not None:
            self._gate.arrived(self.opening)
        self._is_ending = False
        super().data_received(data)
        if self.opening is not None:
            self.opening.is_unfinished = self.is_unfinished
        if self._kept is not None:
            self._note_head(self._kept, data)

    def _body_idle_ms(self, for_ms: int) -> int:
        return BODY_IDLE_MS if self._kept is None else self._kept.idle_ms(for_ms)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.end_opening()
        super().connection_lost(exc)

    def end_opening(self) -> None:
        """Note that the first answer begins, or that the connection has ended."""
        if self.opening is not None:
            self._gate.ended(self.opening)
            self.opening = None

    # Ends of connections without a request. aiohttp calls `_process_keepalive` at the time that it
    # sets after each answer; its own method knows no limit that changes.

    @property
    def _is_waiting(self) -> bool:
        """Whether no request has come whole that isn't answered."""
        return self._waiter is not None and not self._waiter.done()

    def _note_head(self, kept: KeptLimits, data: bytes) -> None:
        """Note that a part of a request's head has come, or all of it."""
        if not self._is_waiting:
            self._head_since = None
        elif self._head_since is None and data.strip(b"\r\n"):
            self._head_since = self._loop.time()
            self._check_at(self._head_since + kept.head_ms(0) / 1000)

    def _process_keepalive(self) -> None:
        kept = self._kept
        if kept is None:
            super()._process_keepalive()
            return
        self._keepalive_handle = None
        if self._force_close or not self._keepalive or not self._is_waiting:
            return
        now = self._loop.time()
        due = self._due(kept, now)
        if now < due:
            self._check_at(min(due, now + LONGEST_CHECK_S))
        elif not self._is_ending:
            self._is_ending = True
            self._check_at(now + LAST_READ_S)
        else:
            self._end_unused(kept)

    def _due(self, kept: KeptLimits, now: float) -> float:
        """Return the loop time at which the connection has been without a request for too long."""
        if self._head_since is not None:
            return self._head_since + kept.head_ms((now - self._head_since) * 1000) / 1000
        idle_since = self._next_keepalive_close_time - self._keepalive_timeout
        return idle_since + kept.idle_ms((now - idle_since) * 1000) / 1000

    def _check_at(self, at: float) -> None:
        if self._keepalive_handle is not None:
            self._keepalive_handle.cancel()
        self._keepalive_handle = self._loop.call_at(at, self._process_keepalive)

    def _end_unused(self, kept: KeptLimits) -> None:
        if self._head_since is None:
            kept.count("connections_closed_idle")
        else:
            kept.count("connections_closed_in_head")
            log.info("connections: one closed, the head of its request took too long")
        self.force_close()
