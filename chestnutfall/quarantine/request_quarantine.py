"""Requests that this gateway does not send, and what it tells of those that broke off."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from ..control.crash_keeper import QUARANTINE_MS
from ..control.crash_messages import (
    NO_SUSPECTS,
    AnsweredRun,
    BrokenRun,
    CrashReport,
    SuspectRequests,
)
from ..requests import Executed, Refusal

log = logging.getLogger(__name__)
RETRY_MS = QUARANTINE_MS
"""Sooner the same request meets the same refusal."""
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
    ) -> None:
        self._tell = tell
        self._refuses_connections = refuses_connections
        self._changes = NO_SUSPECTS.changes
        self._to_tell: set[str] = set()
        self._quarantined: frozenset[str] = frozenset()
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._reports: set[asyncio.Task[None]] = set()

    @property
    def changes(self) -> int:
        """Which word of the controllers is known here; -1 before the first."""
        return self._changes

    def take(self, suspects: SuspectRequests) -> None:
        """Take the controllers' word."""
        new = set(suspects.quarantined) - self._quarantined
        if new:
            log.info("quarantine: holds contents=%s", ",".join(sorted(new)))
        self._changes = suspects.changes
        self._quarantined = frozenset(suspects.quarantined)
        self._to_tell = {*suspects.watched, *suspects.quarantined}

    def holds(self, fingerprint: str) -> bool:
        """Whether the request must not be sent."""
        return fingerprint in self._quarantined

    def check(self, fingerprint: str, executed: Executed = Executed.NO) -> None:
        """Refuse a request that must not be sent, or sent again.

        Raises
        ------
        Refusal
            With what is known of the sends before.
        """
        if not self.holds(fingerprint):
            return
        sent_before = executed is not Executed.NO
        message = "upstreams ended each time they ran this request; it is not sent any more"
        status = 502 if sent_before else 503
        raise Refusal(status, REASON, message, executed, None if sent_before else RETRY_MS)

    def broke(self, fingerprint: str, instance: str, address: str) -> None:
        """Note that an answer broke off; whether the upstream ended is found out beside."""
        task = asyncio.ensure_future(self._report(fingerprint, instance, address))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    def answered(self, fingerprint: str) -> None:
        """Note that an upstream gave a whole answer, if that was not told yet."""
        if fingerprint in self._to_tell:
            self._to_tell.discard(fingerprint)
            self._tell(AnsweredRun(fingerprint))

    async def _report(self, fingerprint: str, instance: str, address: str) -> None:
        refuses = await self._has_ended(address)
        self._tell(BrokenRun(fingerprint, instance, address, refuses))

    async def _has_ended(self, address: str) -> bool:
        """Ask the port once for all answers that break off together."""
        check = self._checks.get(address)
        if check is None:
            check = asyncio.ensure_future(self._refuses_connections(address))
            self._checks[address] = check
            check.add_done_callback(lambda _: self._checks.pop(address, None))
        return await check
