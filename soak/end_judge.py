"""Finds for each end of a request what explains it, or that nothing does."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from chestnutfall.platform.standin.document_change import SHORTEST_IDLE_MS
from chestnutfall.platform.standin.run_registry import RunRegistry

from .cause import Cause
from .disturbances import Disturbances
from .harm import (
    HELPERS,
    LEADERS,
    closed_idle,
    ended,
    gateway_killed,
    gateway_paused,
    gateway_restarted,
    limited,
    links_cut,
    links_harmed,
    silent,
    slow,
)
from .request_end import MARGIN_S, Ending, RequestEnd
from .send_log import AHEAD, AT_WORK, LOST, OVERTAKEN, UNFINISHED, LoggedSend, SendLog
from .verdict import Verdict

BEFORE_S = 0.1
"""A connection that was harmed so long before a request was sent may not yet be known to be."""
SETTLE_S = 0.5
"""Time in which what a silence held up is worked off."""
GAVE_UP_STATUS = 502
INTERNAL_ERROR_STATUS = 500
A_SECOND_OF_SILENCE, SLOWNESS = "a second of silence", "a slow upstream"
LEFT_LIVING = "leaving a living upstream"
UNEXPLAINED = "what nothing explains"
NO_FAILURES = ("HeldBack", OVERTAKEN, UNFINISHED)
"""Results of sends that did not fail by what their upstream did."""
MAX_FINDINGS = 5
"""Findings of one kind that are printed whole."""


class Explanation(NamedTuple):
    """What explains an end.

    Attributes
    ----------
    cause : Cause or None
        One of the list; None if nothing of it does.
    sound : str
        What a sound part was meanwhile, silent, slow or left by the gateway, if nothing of the list
        explains the end; empty for none of these.
    """

    cause: Cause | None
    sound: str = ""


class EndJudge:
    """Judges the ends of requests by what the soak did meanwhile.

    Parameters
    ----------
    addresses : dict of str to str
        The announced address of each upstream that there ever was, by its name.
    gateways : iterable of str
        Addresses of all gateways.
    """

    def __init__(
        self,
        disturbances: Disturbances,
        registry: RunRegistry,
        log: SendLog,
        addresses: dict[str, str],
        gateways: Iterable[str],
    ) -> None:
        self._disturbances = disturbances
        self._registry = registry
        self._log = log
        self._addresses = addresses
        self._gateways = tuple(gateways)

    def check(self, ends: Iterable[RequestEnd], verdict: Verdict) -> None:
        """Count the ends by their causes, and note those that nothing explains."""
        without: dict[str, list[RequestEnd]] = {}
        for one in ends:
            if not self.needs_cause(one):
                verdict.counts[f"requests: {one.ending.value}"] += 1
                continue
            cause, sound = self.explain(one)
            if cause is None:
                without.setdefault(sound or UNEXPLAINED, []).append(one)
            else:
                verdict.counts[f"{self._kind(one)}: {cause.value}"] += 1
        for why, found in without.items():
            finding = f"{why} ended {len(found)} requests: {self._describe(found)}"
            verdict.note_violation(True, finding)

    def needs_cause(self, one: RequestEnd) -> bool:
        """Return whether a request ended without an answer, or with one that its sends failed."""
        match one.ending:
            case Ending.WHOLE:
                return False
            case Ending.REFUSED:
                return one.status in (GAVE_UP_STATUS, INTERNAL_ERROR_STATUS)
            case Ending.BROKEN_OFF | Ending.NO_ANSWER:
                return True

    @staticmethod
    def _kind(one: RequestEnd) -> str:
        is_refusal = one.ending is Ending.REFUSED
        return f"refused {one.status}" if is_refusal else one.ending.value

    def _describe(self, ends: list[RequestEnd]) -> str:
        told = [f"{one.describe()}, sends {self._told(one)}" for one in ends[:MAX_FINDINGS]]
        more = len(ends) - len(told)
        return "; ".join(told) + (f"; and {more} more" if more else "")

    def _told(self, one: RequestEnd) -> list[str]:
        sends = self._log.sends(one.request_id)
        return [f"{send.instance} {send.result} {send.code}".strip() for send in sends]

    def explain(self, one: RequestEnd) -> Explanation:
        """Return what explains an end that needs a cause."""
        if one.left:
            return Explanation(Cause.CLIENT_LEFT)
        if self._was(gateway_killed(one.gateway), one):
            return Explanation(Cause.GATEWAY_KILLED)
        if one.ending is Ending.NO_ANSWER:
            return Explanation(self._explain_no_answer(one))
        if one.status == INTERNAL_ERROR_STATUS:
            return Explanation(None)
        sends = self._log.sends(one.request_id)
        left_at = self._left_living_at(one, sends)
        if left_at:
            if self._is_past_deadline(one) and _goes_on_ahead(sends, left_at):
                return Explanation(Cause.DEADLINE)
            cause = self._explain_by_harm(one, sends[left_at[-1] + 1 :])
            return Explanation(cause, "" if cause else LEFT_LIVING)
        if one.ending is Ending.BROKEN_OFF and self._is_past_deadline(one):
            return Explanation(Cause.DEADLINE)
        return self._explain_loss(one)

    def _explain_no_answer(self, one: RequestEnd) -> Cause | None:
        if not one.connected or self._may_be_unread(one):
            return Cause.NOT_READ
        if one.waited_out and self._was(gateway_paused(one.gateway), one):
            return Cause.GATEWAY_PAUSED
        # The answer and the client's leaving crossed each other.
        if one.waited_out and self._log.was_answered(one.request_id):
            return Cause.DEADLINE
        return None

    def _may_be_unread(self, one: RequestEnd) -> bool:
        """Whether its connection was closed as it was sent, for a reason that is allowed."""
        if one.waited_out or self._log.was_read(one.request_id):
            return False
        if self._was(gateway_restarted(one.gateway), one):
            return True
        if one.idle_s is None:
            return self._was(limited(one.gateway), one)
        return one.idle_s * 1000 >= SHORTEST_IDLE_MS

    def _explain_loss(self, one: RequestEnd) -> Explanation:
        """Return what explains that the sends of a request failed."""
        all_sends = self._log.sends(one.request_id)
        sends = [send for send in all_sends if send.result not in NO_FAILURES]
        if sends and not any(send.result == LOST for send in sends):
            return Explanation(Cause.UPSTREAM_FAILED)
        cause = self._explain_by_harm(one, sends)
        return Explanation(cause, "" if cause else self._what_was_sound(one, sends))

    def _left_living_at(self, one: RequestEnd, sends: Sequence[LoggedSend]) -> list[int]:
        """Return which sends its gateway cancelled at a sound upstream."""
        return [
            at
            for at, send in enumerate(sends)
            if send.result == OVERTAKEN and self._explain_by_harm(one, [send]) is None
        ]

    def _explain_by_harm(self, one: RequestEnd, sends: Sequence[LoggedSend]) -> Cause | None:
        """Return what was done to the upstreams or connections of sends; None if nothing was."""
        cut = self._was(links_cut(one.gateway), one)
        for send in reversed(sends):
            address = self._addresses.get(send.instance, "")
            if cut or self._was(links_harmed(address), one):
                return Cause.CONNECTION_HARMED
            is_closed = self._was(closed_idle(address), one)
            if is_closed and self._never_arrived(one, send, sends):
                return Cause.CONNECTION_HARMED
            if self._was(ended(address), one) or one.request_id in self._registry.broken_off:
                return Cause.UPSTREAM_ENDED
        if any(send.is_helped for send in sends) and self._was_helper_killed(one):
            return Cause.GATEWAY_KILLED
        return None

    def _was_helper_killed(self, one: RequestEnd) -> bool:
        return any(self._was(gateway_killed(address), one) for address in self._gateways)

    def _what_was_sound(self, one: RequestEnd, sends: Sequence[LoggedSend]) -> str:
        """Return what a sound part that the request needed was meanwhile; empty for neither."""
        upstreams = [self._addresses.get(send.instance, "") for send in sends]
        silent_names = [LEADERS, *upstreams]
        if any(send.is_helped for send in sends):
            silent_names.append(HELPERS)
        if any(self._was_lately(silent(name), one) for name in silent_names):
            return A_SECOND_OF_SILENCE
        return SLOWNESS if any(self._was_lately(slow(name), one) for name in upstreams) else ""

    def _never_arrived(
        self, one: RequestEnd, send: LoggedSend, sends: Sequence[LoggedSend]
    ) -> bool:
        """Whether fewer sends reached an upstream than were sent, and this one was not given up."""
        sent = sum(other.instance == send.instance for other in sends)
        arrivals = self._registry.reached.get(one.request_id)
        arrived = arrivals[send.instance] if arrivals is not None else 0
        return arrived < sent and not send.was_given_up

    def _was_lately(self, name: str, one: RequestEnd) -> bool:
        from_s, until_s = one.sent_s - SETTLE_S, one.ended_s + SETTLE_S
        return self._disturbances.overlaps(name, from_s, until_s)

    def _is_past_deadline(self, one: RequestEnd) -> bool:
        return one.ended_s - one.sent_s > one.deadline_s - MARGIN_S

    def _was(self, name: str, one: RequestEnd) -> bool:
        return self._disturbances.overlaps(name, one.sent_s - BEFORE_S, one.ended_s)


def _goes_on_ahead(sends: Sequence[LoggedSend], left_at: Sequence[int]) -> bool:
    """Whether each upstream was left for one that had the next event, and the last one works on."""
    last = sends[-1]
    is_at_work = (last.result, last.code) == (UNFINISHED, AT_WORK)
    return is_at_work and all(sends[at].code == AHEAD for at in left_at)
