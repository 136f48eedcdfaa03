"""Processing of a client's call: routing, upstream selection, sends, repeats, final answer."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from ..clock import Clock
from ..observability.prometheus_metrics import PrometheusMetrics
from ..placement import RunOutcome
from ..placement.run_times import NO_TIMES
from ..quarantine import RequestQuarantine
from ..requests import fingerprint_of
from ..routes import Route, RouteTable, ServiceSpec
from ..signals.known_signals import KnownSignals
from .admission import Admission, Admitted, NotAdmitted
from .alarms import Alarms
from .call import Call
from .call_sends import CallSends
from .caller_reply import CallerGone, CallerReply
from .ended_reply import EndedReply
from .faults import keep_timeouts_apart
from .final_answers import FinalAnswers
from .organisation_counts import OrganisationCounts
from .overtaken_upstreams import select_place
from .place import NoPlace, SelectionCriteria, UpstreamSelector
from .place_wait import NoPlaceInTime, within_place_time
from .progress import Progress
from .quarantine_hold import quarantine_hold
from .repeats import Repeats
from .request_end import Refused
from .request_ends import RequestEnds
from .result_handler import ResultHandler
from .route_source import RouteSource
from .send_parts import SendParts
from .sender import Sender
from .stream_origins import StreamOrigins
from .way_back import WayBack

NOT_READY_RETRY_MS = 500
"""Retry delay without a document; a gateway has its document within half a second of a leader."""
STARTING_MS = 1_500
"""How long after its start a gateway makes calls wait for the first document. After a power loss on
all hosts, controllers start together with the gateways, and have a leader within half a second. A
gateway without a document after this time is cut off from the controllers."""
LEAVING_RETRY_MS = 50
"""Retry delay while this gateway drains; another gateway serves the request at once."""
NO_PATH_RETRY_MS = 500
"""Retry delay while neither this gateway nor a helper reaches the service; links are tried again
twice within it."""
FINAL_MARGIN_MS = 15
"""Reserved for the final answer to reach the client before its deadline."""


class Forwarder:
    """Gives each call exactly one final answer.

    Parameters
    ----------
    reaches : callable
        Whether a send to a service may succeed; False while this gateway and its helpers are cut
        off from all its upstreams.
    """

    def __init__(
        self,
        routes: RouteSource,
        admission: Admission,
        repeats: Repeats,
        engine_selector: UpstreamSelector,
        plain_selector: UpstreamSelector,
        sender: Sender,
        signals: KnownSignals,
        origins: StreamOrigins,
        quarantine: RequestQuarantine,
        clock: Clock,
        metrics: PrometheusMetrics,
        rng: random.Random,
        reaches: Callable[[str], bool] = lambda service: True,
    ) -> None:
        self._routes = routes
        self._admission = admission
        self._repeats = repeats
        self._engine_selector = engine_selector
        self._plain_selector = plain_selector
        self._origins = origins
        self._quarantine = quarantine
        self._clock = clock
        self._metrics = metrics
        self._answers = FinalAnswers()
        self._ends = RequestEnds(clock, metrics)
        self._way_back = WayBack(repeats, clock)
        self._result_handler = ResultHandler(
            repeats, self._way_back, signals, quarantine, self._answers, clock, metrics
        )
        self._send_parts = SendParts(
            sender,
            repeats,
            origins,
            quarantine,
            self._result_handler,
            self._way_back,
            Alarms(clock),
            clock,
            metrics,
        )
        self._counts = OrganisationCounts(metrics)
        self._rng = rng
        self._reaches = reaches
        self._refusing = False
        self._starting_until_ms = clock.now_ms() + STARTING_MS

    def refuse_new(self) -> None:
        """Refuse every call from now on; called when this gateway is about to end."""
        self._refusing = True

    def end_running(self) -> None:
        """End every call that is running; called as the process is about to end."""
        self._ends.end_all()

    async def serve(self, call: Call, reply: CallerReply) -> None:
        """Process `call` and give its final answer through `reply`.

        Only the cancellation of the task that calls this is raised.
        """
        await self._ends.run(
            call.request_id, call.arrived_ms, reply, lambda answer: self._serve(call, answer)
        )

    async def _serve(self, call: Call, reply: EndedReply) -> None:
        if reply.is_gone():
            # Whatever is done for a client that has left would delay those who still wait.
            raise CallerGone("the client left before its request was served")
        if self._refusing:
            await reply.refuse(Refused(503, "leaving", retry_after_ms=LEAVING_RETRY_MS))
            return
        table = self._routes.table or await self._wait_for_first_table(call)
        if table is None:
            await reply.refuse(Refused(503, "no_document", retry_after_ms=NOT_READY_RETRY_MS))
            return
        route = table.match(call.host, call.path)
        if route is None:
            await reply.refuse(Refused(404, "no_route"))
            return
        until_ms = min(call.deadline_ms, call.arrived_ms + route.timeout_ms) - FINAL_MARGIN_MS
        try:
            holder = self._admission.holder(call, table, route)
            admitted = await self._admission.charge(call, holder, until_ms)
        except NotAdmitted as exc:
            await self._refuse(reply, table, exc)
            return
        self._counts.admitted(admitted)
        await self._serve_admitted(call, admitted, table, route, until_ms, reply)

    async def _refuse(self, reply: CallerReply, table: RouteTable, refused: NotAdmitted) -> None:
        self._counts.refused(refused)
        await reply.refuse(
            Refused(
                refused.status,
                refused.reason,
                retry_after_ms=refused.retry_after_ms,
                organisation=refused.organisation,
                version=table.document.version,
            )
        )

    async def _serve_admitted(
        self,
        call: Call,
        admitted: Admitted,
        table: RouteTable,
        route: Route,
        until_ms: int,
        reply: EndedReply,
    ) -> None:
        holder = admitted.organisation
        if holder is not None and holder.rank is not None:
            route = replace(route, rank=holder.rank)
        service = route.service_for(self._rng.random())
        self._repeats.note_request(service)
        # Requests of different organisations are told apart even if they share a route: one that
        # ends upstreams must not quarantine an identical one of another organisation.
        caller = admitted.name or call.host
        fingerprint = fingerprint_of(caller, f"{call.method} {call.target}", call.body)
        progress = Progress(
            call,
            until_ms,
            service,
            fingerprint,
            admitted.name,
            last_event=call.resume_after,
            streamed=route.kind.streamed,
        )
        reply.progress = progress
        left_ms = until_ms - self._clock.now_ms()
        try:
            run = keep_timeouts_apart(self._run(progress, route, table, reply))
            await self._clock.within_ms(left_ms, run)
        except TimeoutError:
            await self._answers.give_up(progress, reply, 504, "out_of_time", None)
        finally:
            self._origins.ended(progress)
            self._way_back.give_back(progress)
            if not progress.may_have_run:
                self._admission.refund(admitted)

    async def _wait_for_first_table(self, call: Call) -> RouteTable | None:
        """Wait for the first document while this gateway starts; None if it is late.

        Refusing calls during the start makes all their clients come back at the same moment, half a
        second later. Calls that wait are served as soon as the document arrives: after a power loss
        of 87 gateways this left 4 of 282 refusals.
        """
        left_ms = min(self._starting_until_ms, call.deadline_ms) - self._clock.now_ms()
        return await self._routes.wait_for_table(left_ms) if left_ms > 0 else None

    async def _run(
        self, progress: Progress, route: Route, table: RouteTable, reply: CallerReply
    ) -> None:
        while not await self._refuse_if_quarantined(progress, reply):
            try:
                leader_places = table.services[progress.service].engine is not None
                await self._origins.find(progress, route, leader_places)
                service = table.services[progress.service]
                selector = self._plain_selector if service.engine is None else self._engine_selector
                if not self._reaches(service.name):
                    raise NoPlace("unreachable", NO_PATH_RETRY_MS)
                selecting = select_place(
                    selector, self._criteria(progress, route, service), progress
                )
                place = await within_place_time(self._clock, progress, selecting)
            except NoPlaceInTime:
                await self._give_up_unplaced(progress, reply, 504, "out_of_time", None)
                return
            except NoPlace as exc:
                retry_ms = exc.retry_after_ms
                await self._give_up_unplaced(progress, reply, 503, exc.reason, retry_ms)
                return
            # The call may have waited for its adapter. Meanwhile another copy of it may have ended
            # enough upstreams to be quarantined.
            if await self._refuse_if_quarantined(progress, reply):
                selector.release(place, RunOutcome.WITHDRAWN, NO_TIMES, None)
                return
            sends = CallSends(
                self._send_parts,
                progress,
                route,
                selector,
                reply,
                partial(self._criteria, progress, route, service),
            )
            sending, result = await sends.run(place)
            if await self._result_handler.handle(
                progress, route, sending.place, selector, sending.sent_ms, reply, result
            ):
                return

    async def _give_up_unplaced(
        self, progress: Progress, reply: CallerReply, status: int, reason: str, retry_ms: int | None
    ) -> None:
        """End a call that gets no place, and return the repeat that it took for one."""
        if progress.holds_repeat:
            self._repeats.refund(progress.service)
        await self._answers.give_up(progress, reply, status, reason, retry_ms)

    def _criteria(
        self, progress: Progress, route: Route, service: ServiceSpec
    ) -> SelectionCriteria:
        return SelectionCriteria(
            progress.call,
            route,
            service,
            tuple(progress.avoid),
            progress.until_ms,
            progress.started,
            tuple(progress.lacked_adapter),
            progress.organisation,
            progress.fingerprint,
            origin=self._origins.bound_to(progress),
            is_mixed=self._origins.is_mixed(service.name),
            needs_leader=progress.ended_upstream or (progress.resumes and progress.origin is None),
        )

    async def _refuse_if_quarantined(self, progress: Progress, reply: CallerReply) -> bool:
        """Refuse the call if it is quarantined; return whether it was refused."""
        hold = quarantine_hold(self._quarantine, progress)
        if hold is None:
            return False
        retry_ms, reason = hold
        await self._answers.give_up(progress, reply, 503, reason, retry_ms)
        return True
