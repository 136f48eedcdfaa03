"""Requests that this gateway does not send, and what it tells of those that broke off."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from ..clock import Clock
from ..control.crash_messages import (
    AnsweredRun,
    BrokenRun,
    CrashReport,
    SuspectRequests,
)
from ..requests import Executed, Refusal

log = logging.getLogger(__name__)
REASON = "ended_its_upstreams"


class RequestQuarantine:
    """Keeps one request from ending upstream after upstream.

    Its caller sends it again through any gateway, under a new id, and each gateway took it for
    new. Symptom: all callers of a service are refused, since a single request has ended most of
    its engines. Every gateway therefore knows the few requests that the controllers hold to
    blame, by caller, path and body, and refuses them before anything runs.

    Parameters
    ----------
    tell : callable
        Brings a report to the leader, now or when there is one.
    refuses_connections : callable
        Whether the process at an address has ended.
    """

    def __init__(
        self,
        tell: Callable[[CrashReport], None],
        refuses_connections: Callable[[str], Awaitable[bool]],
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._tell = tell
        self._refuses_connections = refuses_connections
        self._to_tell: set[str] = set()
        self._retry_ms: dict[str, int] = {}
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._reports: set[asyncio.Task[None]] = set()

    def take(self, suspects: SuspectRequests) -> None:
        """Take the controllers' word."""
        known = self._retry_ms
        self._retry_ms = {one.fingerprint: one.retry_ms for one in suspects.quarantined}
        self._to_tell = {*suspects.watched, *self._retry_ms}
        for fingerprint in self._retry_ms.keys() ^ known.keys():
            word = "holds" if fingerprint in self._retry_ms else "ended for"
            log.info("quarantine: %s content=%s", word, fingerprint)

    def retry_ms(self, fingerprint: str) -> int | None:
        """When to come back with a request that must not be sent; None if it may be sent."""
        return self._retry_ms.get(fingerprint)

    def check(self, fingerprint: str, executed: Executed = Executed.NO) -> None:
        """Refuse a request that must not be sent, or sent again.

        Raises
        ------
        Refusal
            With what is known of the sends before.
        """
        retry_ms = self.retry_ms(fingerprint)
        if retry_ms is None:
            return
        message = "upstreams ended each time they ran this request; it is not sent any more"
        status = 503 if executed is Executed.NO else 502
        raise Refusal(status, REASON, message, executed, retry_ms)

    def broke(self, fingerprint: str, instance: str, address: str, began_ms: int) -> None:
        """Note that an answer broke off; whether the upstream ended is found out beside."""
        task = asyncio.ensure_future(self._report(fingerprint, instance, address, began_ms))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    def answered(self, fingerprint: str) -> None:
        """Note that an upstream gave a whole answer, if that was not told yet."""
        if fingerprint in self._to_tell:
            self._to_tell.discard(fingerprint)
            self._tell(AnsweredRun(fingerprint))

    async def _report(self, fingerprint: str, instance: str, address: str, began_ms: int) -> None:
        broke_ms = self._clock.now_ms()
        refuses = await self._has_ended(address)
        now_ms = self._clock.now_ms()
        self._tell(
            BrokenRun(fingerprint, instance, address, refuses, now_ms - began_ms, now_ms - broke_ms)
        )

    async def _has_ended(self, address: str) -> bool:
        """Ask the port once for all answers that break off together."""
        check = self._checks.get(address)
        if check is None:
            check = asyncio.ensure_future(self._refuses_connections(address))
            self._checks[address] = check
            check.add_done_callback(lambda _: self._checks.pop(address, None))
        return await check
