"""The search of a silent call for another upstream."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from functools import partial

from ..placement import RunOutcome
from ..placement.run_times import NO_TIMES
from .overtaken_upstreams import select_place
from .place import NoPlace, Place, SelectionCriteria, UpstreamSelector
from .quarantine_hold import quarantine_hold
from .relayed_send import RelayedSend
from .send_parts import SendParts
from .silent_upstreams import LASTING_MS

log = logging.getLogger(__name__)
RECHECK_MS = 100
"""Time until a call that should wait, or finds no repeat, checks again; it costs no message."""
LOOK_AGAIN_MS = 250
"""Time until a call that got no place asks for one again; an upstream that ends its work has had
room by then, and a call of seconds asks some ten times."""


class OtherPlace:
    """Looks for another upstream while the call's sends are silent, and stops when one speaks.

    The sends go on meanwhile, and whatever becomes of the search they are not harmed by it.

    Parameters
    ----------
    criteria : callable
        Returns what the upstream must meet, except that it differs from the silent ones.
    wake_up : callable
        Called when the search has ended, and when a send speaks meanwhile.
    """

    def __init__(
        self,
        parts: SendParts,
        criteria: Callable[[], SelectionCriteria],
        wake_up: Callable[[], None],
    ) -> None:
        self._repeats = parts.repeats
        self._way_back = parts.way_back
        self._quarantine = parts.quarantine
        self._silent = parts.sender.silent
        self._clock = parts.clock
        self._metrics = parts.metrics
        self._criteria = criteria
        self._wake_up = wake_up
        self._reason = ""
        self._is_noted = False
        self.search: asyncio.Task[Place] | None = None
        self.next_ms = 0

    def update(self, live: Sequence[RelayedSend], patience_ms: float) -> None:
        """Begin a search if the sends are silent and another may help; end it if one speaks.

        Parameters
        ----------
        patience_ms : float
            How long the sends must be silent.
        """
        if any(not one.is_silent for one in live):
            if self.search is not None:
                self.search.cancel()
            self._note_resumed(live[0])
        elif self.search is None and self._clock.now_ms() >= self.next_ms:
            if min(one.silent_ms for one in live) >= patience_ms:
                self._begin(live)

    def _begin(self, live: Sequence[RelayedSend]) -> None:
        reason = self._reason_to_wait(live)
        if reason:
            self._note_kept(live[0], reason)
            self.next_ms = self._clock.now_ms() + RECHECK_MS
            return
        progress = live[0].progress
        progress.goes_back = self._way_back.is_all(progress)
        for one in live:
            one.on_heard = self._wake_up
        progress.is_searched = True
        self._note_silent(live[0])
        for one in live:
            one.note_silent()
        self._metrics.count("silent_searches")
        self.search = asyncio.ensure_future(self._select(live))
        self.search.add_done_callback(lambda _: self._wake_up())

    def _reason_to_wait(self, live: Sequence[RelayedSend]) -> str:
        newest = live[-1]
        upstream = newest.place.upstream
        if quarantine_hold(self._quarantine, newest.progress):
            return "quarantined"
        if self._way_back.is_all(newest.progress):
            may_go = _hang(live)
        else:
            may_go = self._repeats.has_for_silence(upstream.service)
        if not may_go:
            return "no_budget"
        return self._silent.reason_to_wait(
            upstream.service,
            [one.place.upstream.instance for one in live],
            newest.silent_ms,
            newest.usual_ms,
        )

    async def _select(self, live: Sequence[RelayedSend]) -> Place:
        sending = live[-1]
        progress, upstream = sending.progress, sending.place.upstream
        # Sent at once, a prompt may end the next engine before the leader knows what both ran.
        if progress.part_keys and await self._quarantine.has_ended(upstream.address):
            ending = self._quarantine.note_broken(
                progress.fingerprint,
                upstream.instance,
                upstream.address,
                sending.sent_ms,
                progress.part_keys,
            )
            # The report goes out even if the search is stopped.
            await asyncio.shield(ending)
            progress.ended_upstream = True
        return await select_place(
            sending.selector,
            self._criteria(),
            progress,
            [one.place.upstream.instance for one in live],
            # It was silent as well, and another change may lose what this one is about to write.
            goes_back=_hang(live),
        )

    def take(self, live: Sequence[RelayedSend], may_add: bool) -> Place | None:
        """Return the place that an ended search found, with a repeat for it; None if it has none.

        Parameters
        ----------
        may_add : bool
            Whether the call may still be sent to one more upstream.
        """
        search, self.search = self.search, None
        live[0].progress.goes_back = False
        assert search is not None
        for one in live:
            one.on_heard = None
        self.next_ms = self._clock.now_ms() + LOOK_AGAIN_MS
        if search.cancelled():
            return None
        exc = search.exception()
        if exc is not None:
            self._note_failed(live[0], exc)
            return None
        place = search.result()
        reason = self._reason_to_leave(live, place) if may_add else "no_attempt"
        if reason:
            self._note_kept(live[0], reason)
            live[0].selector.release(place, RunOutcome.WITHDRAWN, NO_TIMES, None)
            return None
        self._is_noted, self._reason = False, ""
        return place

    def _reason_to_leave(self, live: Sequence[RelayedSend], place: Place) -> str:
        """Return why a place is given back; empty if the call may be sent there."""
        if any(not one.is_silent for one in live):
            return "resumed"
        if any(one.place.upstream.instance == place.upstream.instance for one in live):
            return "no_other"
        if quarantine_hold(self._quarantine, live[0].progress):
            return "quarantined"
        progress = live[0].progress
        if place.upstream.instance in progress.overtaken and self._way_back.use(progress):
            return ""
        if not self._repeats.spend_for_silence(place.upstream.service):
            return "no_budget"
        return ""

    def stay(self, sending: RelayedSend, reason: str) -> None:
        """Let the call stay at a silent upstream until that hangs.

        Once it hangs, the call may leave it without a way back.
        """
        self.next_ms = self._clock.now_ms() + LASTING_MS - sending.silent_ms
        self._note_kept(sending, reason)

    def stop(self, selector: UpstreamSelector) -> None:
        """Begin to end a search that is under way; what it finds is given back as it ends."""
        if self.search is not None:
            self.search.cancel()
            self.search.add_done_callback(partial(_give_back, selector))

    async def close(self) -> None:
        """Wait for the end of a stopped search."""
        if self.search is not None:
            await asyncio.wait({self.search})

    def _note_failed(self, sending: RelayedSend, exc: BaseException) -> None:
        if isinstance(exc, NoPlace):
            self._note_kept(sending, exc.reason)
            return
        log.warning("call: id=%s search failed: %r", sending.progress.call.request_id, exc)
        self._note_kept(sending, "search_failed")

    def _note_kept(self, sending: RelayedSend, reason: str) -> None:
        if reason == self._reason:
            return
        self._reason = reason
        self._note_silent(sending)
        self._log(sending, f"stays at its silent upstream reason={reason}")
        self._metrics.count(f"silent_kept_{reason}")

    def _note_silent(self, sending: RelayedSend) -> None:
        if not self._is_noted:
            self._is_noted = True
            self._log(sending, "has a silent upstream")
            self._metrics.count("silent_calls")

    def note_last(self, sending: RelayedSend) -> None:
        """Record that a send is the last one of the call."""
        if not sending.is_silent:
            self._note_resumed(sending)

    def _note_resumed(self, sending: RelayedSend) -> None:
        if self._is_noted:
            self._is_noted, self._reason = False, ""
            self._log(sending, "has an upstream that speaks again")
            self._metrics.count("silent_resumed")

    def _log(self, sending: RelayedSend, what: str) -> None:
        log.info(
            "call: id=%s %s instance=%s last_event=%s silent=%d",
            sending.progress.call.request_id,
            what,
            sending.place.upstream.instance,
            sending.progress.last_event,
            sending.silent_ms,
        )


def _hang(live: Sequence[RelayedSend]) -> bool:
    return all(one.silent_ms >= LASTING_MS for one in live)


def _give_back(selector: UpstreamSelector, search: asyncio.Task[Place]) -> None:
    if not search.cancelled() and search.exception() is None:
        selector.release(search.result(), RunOutcome.WITHDRAWN, NO_TIMES, None)
