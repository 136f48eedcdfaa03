"""Refusal of quarantined requests, and reports on answers that break off."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection

from ..clock import Clock
from ..control.crash_messages import (
    AnsweredParts,
    AnsweredRun,
    BrokenRun,
    CrashReport,
    SuspectRequests,
)
from ..requests import Executed, Refusal
from ..signals.known_rejections import WINDOW_MS
from .broken_answer import BrokenAnswer
from .broken_answer_checks import BrokenAnswerChecks
from .broken_parts import BrokenParts
from .port_looks import PortLooks
from .unsettled_parts import UnsettledParts

log = logging.getLogger(__name__)
REASON = "ended_its_upstreams"
MAX_ANSWERED = 1_024
"""Requests whose latest complete answer is remembered; more than a gateway answers between two ends
of upstreams that follow each other closely."""


class RequestQuarantine:
    """Prevents a single request from ending one upstream after another.

    A caller retries such a request through any gateway under a new id, so each gateway takes it for
    a new request. Without the quarantine, one request ends most engines of a service, and all
    callers of the service are refused. Therefore every gateway knows the few requests that the
    controllers have quarantined, by caller, path and body, and refuses them before anything runs.

    Parameters
    ----------
    send_report : callable
        Delivers a report to the leader, now or once there is one.
    refuses_connections : callable
        Whether the process at an address has ended; None if a look does not tell.
    rejected_since : callable
        Whether an upstream that bears few rejections has rejected a request since a clock time.

    Attributes
    ----------
    unsettled : UnsettledParts
        Prompt parts that may end engines.
    """

    def __init__(
        self,
        send_report: Callable[[CrashReport], None],
        refuses_connections: Callable[[str], Awaitable[bool | None]],
        clock: Clock,
        rejected_since: Callable[[str, int], bool] = lambda instance, since_ms: False,
    ) -> None:
        self._clock = clock
        self._rejected_since = rejected_since
        self._send_report = send_report
        self._looks = PortLooks(refuses_connections, clock)
        self._unreported: set[str] = set()
        self._retry_ms: dict[str, int] = {}
        self._parts_retry_ms: dict[frozenset[str], int] = {}
        # Clock time of the latest complete answer by fingerprint, oldest first.
        self._answered_ms: dict[str, int] = {}
        self._broken_parts = BrokenParts(clock)
        self.unsettled = UnsettledParts(clock)
        self._checks = BrokenAnswerChecks(self._looks, self._report_broken, self.unsettled, clock)

    def update(self, suspects: SuspectRequests) -> None:
        """Replace the watched and quarantined requests by those received from the controllers."""
        known = self._retry_ms
        self._retry_ms = {one.fingerprint: one.retry_ms for one in suspects.quarantined}
        self._unreported = {*suspects.watched, *self._retry_ms}
        for fingerprint in self._retry_ms.keys() ^ known.keys():
            change = "holds" if fingerprint in self._retry_ms else "ended for"
            log.info("quarantine: %s content=%s", change, fingerprint)
        known_parts = self._parts_retry_ms
        self._parts_retry_ms = {frozenset(one.parts): one.retry_ms for one in suspects.parts}
        for parts in self._parts_retry_ms.keys() ^ known_parts.keys():
            change = "holds" if parts in self._parts_retry_ms else "ended for"
            log.info("quarantine: %s parts=%s", change, ",".join(sorted(parts)))
        self.unsettled.replace_told(suspects.suspect_parts)

    @property
    def holds_parts(self) -> bool:
        """Whether any prompt parts are quarantined."""
        return bool(self._parts_retry_ms)

    def parts_retry_ms(self, parts: Collection[str]) -> int | None:
        """Return the retry time of a request with these prompt parts; None if it may be sent.

        Parts that are quarantined together are refused together only: a request with some of them
        may be sound, and shows it by its answer.
        """
        found = [ms for held, ms in self._parts_retry_ms.items() if held.issubset(parts)]
        return max(found, default=None)

    def retry_ms(self, fingerprint: str) -> int | None:
        """Return the retry time of a quarantined request, in ms; None if it may be sent."""
        return self._retry_ms.get(fingerprint)

    def check(self, fingerprint: str, executed: Executed = Executed.NO) -> None:
        """Refuse a quarantined request; called before each send.

        Parameters
        ----------
        executed : Executed
            Whether previous sends may have run the request.

        Raises
        ------
        Refusal
            With `executed` and the retry time.
        """
        retry_ms = self.retry_ms(fingerprint)
        if retry_ms is None:
            return
        message = "upstreams ended each time they ran this request; it is not sent any more"
        status = 503 if executed is Executed.NO else 502
        raise Refusal(status, REASON, message, executed, retry_ms)

    def note_broken(
        self,
        fingerprint: str,
        instance: str,
        address: str,
        began_ms: int,
        parts: tuple[str, ...] = (),
        is_silent: bool = False,
    ) -> asyncio.Task[bool]:
        """Report in the background that an answer broke off, and whether its upstream has ended.

        Returns the task that finds out, and makes a report before it ends. If a look does not tell,
        further looks follow it, and a further report. An answer that was only silent is reported if
        its upstream has ended, now or soon after.

        Parameters
        ----------
        began_ms : int
            Clock time at which the request was sent.
        parts : tuple of str
            Names of the shared parts of its prompt.
        """
        self._broken_parts.note_broken(parts)
        now_ms = self._clock.now_ms()
        rejecting = self._rejected_since(instance, now_ms - WINDOW_MS)
        broken = BrokenAnswer(
            fingerprint, instance, address, began_ms, now_ms, rejecting, parts, is_silent
        )
        return self._checks.begin(broken)

    def note_answered(self, fingerprint: str) -> None:
        """Record a complete answer, and report it if the request is watched or quarantined.

        It is reported once after each `update`.
        """
        self._answered_ms.pop(fingerprint, None)
        self._answered_ms[fingerprint] = self._clock.now_ms()
        if len(self._answered_ms) > MAX_ANSWERED:
            del self._answered_ms[next(iter(self._answered_ms))]
        if fingerprint in self._unreported:
            self._unreported.discard(fingerprint)
            self._send_report(AnsweredRun(fingerprint))

    @property
    def awaits_parts(self) -> bool:
        """Whether an answer to a request with certain prompt parts has to be reported."""
        return bool(self._broken_parts) or self.unsettled.has_told

    def note_parts_answered(self, parts: Collection[str]) -> None:
        """Report those parts of an answered request that were in a broken answer before.

        Also those that the leader suspects: the next one may have the suspicion from it.
        """
        suspected = self.unsettled.note_answered(parts)
        answered = dict.fromkeys((*self._broken_parts.take_answered(parts), *suspected))
        if answered:
            self._send_report(AnsweredParts(tuple(answered)))

    def note_replaced(self, address: str, instance: str) -> None:
        """Record that `instance` now listens at `address`, so that its predecessor has ended.

        A process that restarts at once has its port open before a busy gateway checks it.
        """
        self._checks.note_replaced(address, instance)

    def _report_broken(self, broken: BrokenAnswer, ended: bool, is_checked: bool) -> None:
        now_ms = self._clock.now_ms()
        began_ago_ms, broke_ago_ms = now_ms - broken.began_ms, now_ms - broken.broke_ms
        answered_ms = self._answered_ms.get(broken.fingerprint)
        self._send_report(
            BrokenRun(
                broken.fingerprint,
                broken.instance,
                broken.address,
                ended,
                began_ago_ms,
                broke_ago_ms,
                broken.rejecting,
                broken.parts,
                None if answered_ms is None else now_ms - answered_ms,
                self.unsettled.answered_lately(broken.parts),
                is_checked,
            )
        )

    async def has_ended(self, address: str) -> bool:
        """Check the port of an upstream; answers that break off together share one check."""
        return bool(await self._looks.look(address))
