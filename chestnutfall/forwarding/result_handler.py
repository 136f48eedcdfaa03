"""Handling of a send's result: a final answer to the client, or another send."""

from __future__ import annotations

import asyncio
from typing import assert_never

from ..clock import Clock
from ..observability.prometheus_metrics import PrometheusMetrics
from ..quarantine import RequestQuarantine
from ..requests import NOT_RUN_STATUSES
from ..routes import Route
from ..signals import BACKING_OFF
from ..signals.known_signals import KnownSignals
from .caller_reply import CallerReply
from .final_answers import FinalAnswers
from .overtaken_upstreams import has_attempt, overtaken
from .place import Place, UpstreamSelector
from .progress import MAX_SENDS, Progress
from .relayed_send import RelayedSend
from .repeats import Repeats
from .send_result import UNREACHABLE, Delivered, Failed, HeldBack, Lost, Refused, SendResult
from .upstream_answer import NotRun
from .upstream_api import SILENT
from .way_back import WayBack

BROKEN_RETRY_MS = 500
"""Retry delay for clients after a refusal. Within this time calls stop going to an upstream that
refuses or fails."""


class ResultHandler:
    """Decides after each send whether the call ends or is sent again."""

    def __init__(
        self,
        repeats: Repeats,
        way_back: WayBack,
        signals: KnownSignals,
        quarantine: RequestQuarantine,
        answers: FinalAnswers,
        clock: Clock,
        metrics: PrometheusMetrics,
    ) -> None:
        self._repeats = repeats
        self._way_back = way_back
        self._signals = signals
        self._quarantine = quarantine
        self._answers = answers
        self._clock = clock
        self._metrics = metrics

    async def handle(
        self,
        progress: Progress,
        route: Route,
        place: Place,
        selector: UpstreamSelector,
        sent_ms: int,
        reply: CallerReply,
        result: SendResult,
    ) -> bool:
        """Handle the result of a send.

        Parameters
        ----------
        sent_ms : int
            Clock time at which the send began.

        Returns
        -------
        bool
            True if the client has its final answer; False if the caller must send the call again.
        """
        match result:
            case Delivered():
                self._quarantine.note_answered(progress.fingerprint)
                # An answer without an event says nothing of what ends an engine that writes one.
                if self._quarantine.awaits_parts and progress.last_event is not None:
                    self._quarantine.note_parts_answered(progress.part_keys)
                self._metrics.observe("answer_ms", self._clock.now_ms() - progress.call.arrived_ms)
                return True
            case HeldBack():
                return await self._handle_held_back(progress, selector, reply)
            case Refused(code):
                return await self._handle_refusal(progress, place, selector, reply, code)
            case Lost(code):
                return await self._handle_loss(progress, route, place, sent_ms, reply, code)
            case Failed():
                return await self._handle_failure(progress, route, place, selector, reply, result)
        assert_never(result)

    async def _handle_held_back(
        self, progress: Progress, selector: UpstreamSelector, reply: CallerReply
    ) -> bool:
        # Nothing was sent, so selecting another upstream costs no repeat.
        progress.refusals += 1
        self._metrics.count("sends_held_back")
        if progress.sends < MAX_SENDS:
            return False
        held_back_ms = selector.held_back_ms(progress.service) or BROKEN_RETRY_MS
        await self._refuse_backing_off(progress, reply, held_back_ms)
        return True

    async def _refuse_backing_off(
        self, progress: Progress, reply: CallerReply, held_back_ms: float
    ) -> None:
        retry_ms = self._signals.caller_retry_ms(progress.service, held_back_ms)
        await self._answers.give_up(progress, reply, 503, BACKING_OFF, retry_ms)

    async def _handle_refusal(
        self,
        progress: Progress,
        place: Place,
        selector: UpstreamSelector,
        reply: CallerReply,
        code: str,
    ) -> bool:
        progress.refusals += 1
        if progress.holds_repeat:
            self._give_repeat_back(progress)
        held_back_ms = selector.held_back_ms(progress.service)
        if held_back_ms:
            await self._refuse_backing_off(progress, reply, held_back_ms)
            return True
        is_full = code == NotRun.FULL.value
        # Without another upstream of the service, a repeat would reach the same full one again.
        is_useless = is_full and not place.has_other and not progress.overtaken
        if not is_useless and await self._take_repeat(progress, upstream_is_busy=is_full):
            progress.note_refusal(place.upstream.instance, code == NotRun.ABSENT.value)
            return False
        await self._answers.give_up(progress, reply, 503, code, BROKEN_RETRY_MS)
        return True

    async def _handle_loss(
        self,
        progress: Progress,
        route: Route,
        place: Place,
        sent_ms: int,
        reply: CallerReply,
        code: str,
    ) -> bool:
        ending = self._note_loss(progress, place, sent_ms)
        # A non-idempotent call is never repeated once bytes may have reached the upstream: it may
        # have run, and a second run would give the client two results.
        if self._may_run_again(progress, route) and await self._take_repeat(
            progress, upstream_is_busy=code == SILENT
        ):
            # Sent at once, it may end the next engine before the leader knows what both ran.
            if progress.part_keys:
                progress.ended_upstream = await asyncio.shield(ending)
            return False
        await self._answers.give_up(progress, reply, 502, code, None)
        return True

    def _note_loss(self, progress: Progress, place: Place, sent_ms: int) -> asyncio.Task[bool]:
        upstream = place.upstream
        progress.note_run(upstream.instance)
        progress.avoid.append(upstream.instance)
        return self._quarantine.note_broken(
            progress.fingerprint, upstream.instance, upstream.address, sent_ms, progress.part_keys
        )

    def _note_failure(self, progress: Progress, place: Place, failed: Failed) -> None:
        progress.note_run(place.upstream.instance)
        progress.avoid.append(place.upstream.instance)
        if failed.status not in NOT_RUN_STATUSES:
            self._quarantine.note_answered(progress.fingerprint)

    def note_dropped(self, sending: RelayedSend, result: SendResult) -> None:
        """Record the result of a send while another one of its call goes on."""
        progress, place = sending.progress, sending.place
        match result:
            case HeldBack():
                self._note_not_sent(sending)
            case Refused(code):
                if code == UNREACHABLE:
                    self._note_not_sent(sending)
                else:
                    progress.refusals += 1
                progress.note_refusal(place.upstream.instance, code == NotRun.ABSENT.value)
            case Lost():
                self._note_loss(progress, place, sending.sent_ms)
            case Failed():
                self._note_failure(progress, place, result)
            case Delivered():
                raise AssertionError("a delivered answer ends its call")

    def _note_not_sent(self, sending: RelayedSend) -> None:
        sending.progress.refusals += 1
        if sending.took_repeat:
            self._repeats.refund(sending.progress.service)

    def _give_repeat_back(self, progress: Progress) -> None:
        """Return the repeat of a send that did not go out."""
        progress.holds_repeat = False
        self._repeats.refund(progress.service)

    def note_overtaken(self, sending: RelayedSend) -> None:
        """Record that a send is cancelled, as another one of its call goes on with the answer.

        The silence of its upstream alone is no sign that it has ended.
        """
        if not sending.is_sent:
            self._note_not_sent(sending)
            return
        progress, upstream = sending.progress, sending.place.upstream
        progress.note_overtaken(upstream.instance)
        if sending.is_silent:
            self._quarantine.note_broken(
                progress.fingerprint,
                upstream.instance,
                upstream.address,
                sending.sent_ms,
                progress.part_keys,
                is_silent=True,
            )

    async def _handle_failure(
        self,
        progress: Progress,
        route: Route,
        place: Place,
        selector: UpstreamSelector,
        reply: CallerReply,
        failed: Failed,
    ) -> bool:
        self._note_failure(progress, place, failed)
        # A request of which a stream has begun is not wrong, whatever this upstream says.
        if (
            (failed.status >= 500 or progress.started)
            and self._may_run_again(progress, route)
            and not selector.held_back_ms(progress.service)
            and await self._take_repeat(progress, upstream_is_busy=False)
        ):
            return False
        # With these statuses an upstream states that it ran nothing. After an earlier send may have
        # run the call, relaying one would claim this for all sends, and the client would send the
        # call again.
        says_not_run = failed.status in NOT_RUN_STATUSES and progress.runs > 1
        if progress.started or says_not_run:
            await self._answers.give_up(progress, reply, 502, "upstream_failed", None)
        else:
            await reply.send_whole(failed.status, failed.headers, failed.body)
        return True

    def _may_run_again(self, progress: Progress, route: Route) -> bool:
        may_go = has_attempt(progress, route) or overtaken(progress)
        return route.kind.idempotent and bool(may_go)

    async def _take_repeat(self, progress: Progress, upstream_is_busy: bool) -> bool:
        if progress.sends >= MAX_SENDS or self._clock.now_ms() >= progress.until_ms:
            return False
        if await self._way_back.spend(progress, upstream_is_busy):
            progress.holds_repeat = True
            return True
        self._metrics.count("repeats_over_budget")
        return False
