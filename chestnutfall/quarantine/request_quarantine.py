"""Requests that this gateway does not send, and what it tells of those that broke off."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

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
REMEMBERED_MS = 5_000
"""A process is started again within this time; later the end may have had another reason."""
MOST_REMEMBERED = 1_024
"""Answers that break off within that time; what one upstream runs, several times over."""


@dataclass(frozen=True, slots=True)
class _Broken:
    """An answer that broke off."""

    fingerprint: str
    instance: str
    address: str
    began_ms: int
    broke_ms: int

    def is_other(self, address: str, instance: str) -> bool:
        """Whether it is of another instance at the same address."""
        return self.address == address and self.instance != instance


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
        self._asking: set[_Broken] = set()
        self._still_open: deque[_Broken] = deque(maxlen=MOST_REMEMBERED)

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
        broken = _Broken(fingerprint, instance, address, began_ms, self._clock.now_ms())
        task = asyncio.ensure_future(self._report(broken))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    def answered(self, fingerprint: str) -> None:
        """Note that an upstream gave a whole answer, if that was not told yet."""
        if fingerprint in self._to_tell:
            self._to_tell.discard(fingerprint)
            self._tell(AnsweredRun(fingerprint))

    def replaced(self, address: str, instance: str) -> None:
        """Take that `instance` listens at `address` now, so that another one has ended.

        A process that is started again at once has its port open before a busy gateway asks.
        """
        self._asking -= {one for one in self._asking if one.is_other(address, instance)}
        oldest_ms = self._clock.now_ms() - REMEMBERED_MS
        remembered = [one for one in self._still_open if one.broke_ms >= oldest_ms]
        self._still_open.clear()
        for one in remembered:
            if one.is_other(address, instance):
                self._tell_ended(one, ended=True)
            else:
                self._still_open.append(one)

    async def _report(self, broken: _Broken) -> None:
        self._asking.add(broken)
        refuses = await self._has_ended(broken.address)
        ended = refuses or broken not in self._asking
        self._asking.discard(broken)
        if not ended:
            self._still_open.append(broken)
        self._tell_ended(broken, ended)

    def _tell_ended(self, broken: _Broken, ended: bool) -> None:
        now_ms = self._clock.now_ms()
        began_ago_ms, broke_ago_ms = now_ms - broken.began_ms, now_ms - broken.broke_ms
        self._tell(
            BrokenRun(
                broken.fingerprint,
                broken.instance,
                broken.address,
                ended,
                began_ago_ms,
                broke_ago_ms,
            )
        )

    async def _has_ended(self, address: str) -> bool:
        """Ask the port once for all answers that break off together."""
        check = self._checks.get(address)
        if check is None:
            check = asyncio.ensure_future(self._refuses_connections(address))
            self._checks[address] = check
            check.add_done_callback(lambda _: self._checks.pop(address, None))
        return await check
