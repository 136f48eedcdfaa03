"""Final answers when sends are refused, lost, cut off or answered with a failure.

A caller that gets a "not run" status sends its request again; if the request did run, it has two
results. A caller treats a complete answer as valid. So every way in which a send can end is tested
at every position, and the final answer must be true of all sends together.
"""

from __future__ import annotations

import itertools

from ..control.crash_messages import (
    AnsweredRun,
    BrokenRun,
    QuarantinedRequest,
    SuspectRequests,
)
from ..forwarding.upstream_answer import NotRun
from ..placement import RunOutcome
from ..requests import fingerprint_of
from ..routes import (
    RouteKind,
)
from .fakes.fake_upstreams import (
    AnswerLost,
    Cut,
    NotSent,
    RecordedReply,
)
from .fakes.forwarder_case import ForwarderCase, event

PROMISES_NOT_RUN = (408, 421, 429, 503)


class ForwarderTest(ForwarderCase):
    async def test_a_call_that_comes_while_the_gateway_starts_is_held_and_served(self) -> None:
        # After a power loss on all hosts, gateways are back half a second before there is a leader.
        # A client refused in this time retries late, at the same moment as all the others.
        self.routes_from_ms = 600
        await self._serve(RouteKind.NON_IDEMPOTENT, ((b"whole",),))
        self.assertEqual((self.reply.status, self.reply.body), (200, b"whole"))

    async def test_a_call_to_a_gateway_that_stays_without_routes_is_refused(self) -> None:
        self.routes_from_ms = 60_000
        upstreams = await self._serve(RouteKind.NON_IDEMPOTENT, ((b"whole",),))
        self.assertEqual((self.reply.status, upstreams.sends), (503, []))
        self.assertIsNotNone(self.reply.retry_after_ms)

    def _quarantine_call(self) -> None:
        fingerprint = fingerprint_of("a.example", "POST /a/x", b"")
        quarantined = (QuarantinedRequest(fingerprint, 60_000),)
        self.quarantine.update(SuspectRequests(1, (), quarantined))

    async def test_a_quarantined_call_is_refused_at_once_and_not_run(self) -> None:
        self._quarantine_call()
        for kind in RouteKind:
            with self.subTest(kind):
                self.reply = RecordedReply()
                upstreams = await self._serve(kind, ((b"answer",),))
                self.assertEqual((self.reply.status, upstreams.sends), (503, []))
                self.assertEqual(self.reply.retry_after_ms, 60_000)

    async def test_a_call_that_is_quarantined_while_it_waits_gives_its_place_back(self) -> None:
        self.on_selected = self._quarantine_call
        upstreams = await self._serve(RouteKind.NON_IDEMPOTENT, ((b"answer",),))
        self.assertEqual((self.reply.status, upstreams.sends), (503, []))
        self.assertEqual(self.selector.outcomes, [RunOutcome.WITHDRAWN])

    async def test_a_call_that_ended_an_upstream_is_not_called_not_run(self) -> None:
        # It ran once before the quarantine. A caller that gets a "not run" status would retry.
        self.on_released = self._quarantine_call
        upstreams = await self._serve(RouteKind.IDEMPOTENT, (AnswerLost, (b"answer",)))
        self.assertEqual(len(upstreams.sends), 1)
        self.assertNotIn(self.reply.status, PROMISES_NOT_RUN)
        self.assertEqual(self.reply.status, 502)

    async def test_answers_that_break_off_are_reported_and_whole_ones_if_watched(self) -> None:
        fingerprint = fingerprint_of("a.example", "POST /a/x", b"")
        self.quarantine.update(SuspectRequests(1, (fingerprint,), ()))
        await self._serve(RouteKind.IDEMPOTENT, (AnswerLost, (b"answer",)))
        await self.clock.advance(1)
        broken, answered = sorted(self.reports, key=lambda one: type(one).__name__, reverse=True)
        self.assertEqual(answered, AnsweredRun(fingerprint))
        assert isinstance(broken, BrokenRun)
        self.assertEqual((broken.fingerprint, broken.instance), (fingerprint, "i0"))

    # Guards against a request that goes on to end upstreams, cleared by one that did not run it.
    async def test_a_status_that_says_not_run_is_no_answer_to_a_watched_call(self) -> None:
        fingerprint = fingerprint_of("a.example", "POST /a/x", b"")
        for status in (*PROMISES_NOT_RUN, 500):
            with self.subTest(status):
                self.setUp()
                self.quarantine.update(SuspectRequests(1, (fingerprint,), ()))
                await self._serve(RouteKind.NON_IDEMPOTENT, (status,))
                expected = [AnsweredRun(fingerprint)] if status == 500 else []
                self.assertEqual(self.reports, expected)

    async def test_a_refused_send_goes_to_another_upstream(self) -> None:
        for refusal in (NotRun.FULL, NotRun.REPLACED, NotSent):
            with self.subTest(refusal):
                self.reply = RecordedReply()
                await self._serve(RouteKind.NON_IDEMPOTENT, (refusal, (b"answer",)))
                self.assertEqual((self.reply.status, self.reply.body), (200, b"answer"))
                self.assertEqual(self.selector.criteria[1].avoid, ("i0",))
                self.assertEqual(self.selector.criteria[1].lacked_adapter, ())

    async def test_the_leader_s_repeats_go_to_calls_that_another_upstream_helps(self) -> None:
        self.leader_grants_repeats = True
        for first, sends in ((NotSent, 2), (500, 2), (NotRun.ABSENT, 2), (NotRun.FULL, 1)):
            with self.subTest(first):
                self.reply = RecordedReply()
                await self._serve(RouteKind.IDEMPOTENT, (first, (b"answer",)), slack=0)
                self.assertEqual(len(self.upstreams.sends), sends)

    async def test_the_last_upstream_of_a_service_is_waited_for_and_not_asked_twice(self) -> None:
        # Three of four plain upstreams are gone, and the last one has a queue. A call that gives
        # up on it after a quarter of a second has cost it work, starts again at the end of the
        # queue, and is late or lost. A call that it refuses as full would be refused again a
        # moment later.
        for has_other in (True, False):
            self.has_other = has_other
            self.reply = RecordedReply()
            await self._serve(RouteKind.IDEMPOTENT, ((b"answer",),))
            self.assertGreater(self.upstreams.sends[0].silent_ms, 4_000)
        self.reply = RecordedReply()
        await self._serve(RouteKind.IDEMPOTENT, (NotRun.FULL, (b"answer",)))
        self.assertEqual((len(self.upstreams.sends), self.reply.status), (1, 503))
        self.assertIsNotNone(self.reply.retry_after_ms)

    async def test_a_call_that_came_before_its_adapter_may_go_there_again_once(self) -> None:
        # The engine was selected for the expected end of a load, which takes some ms longer. On
        # another engine the call would wait for a whole second load.
        self.same_instance = True
        await self._serve(RouteKind.STREAM, (NotRun.ABSENT, NotRun.ABSENT, (event(1),)))
        seen = [(one.avoid, one.lacked_adapter) for one in self.selector.criteria]
        self.assertEqual(seen, [((), ()), ((), ("i0",)), (("i0",), ("i0",))])
        self.assertEqual((self.reply.status, self.reply.body), (200, event(1)))

    async def test_a_leaving_gateway_refuses_before_anything_runs(self) -> None:
        self.leaving = True
        await self._serve(RouteKind.NON_IDEMPOTENT, ((b"answer",),))
        self.assertEqual((self.reply.status, self.upstreams.sends), (503, []))
        self.assertIsNotNone(self.reply.retry_after_ms)

    async def test_a_lost_answer_is_never_called_not_run(self) -> None:
        for kind in (RouteKind.NON_IDEMPOTENT, RouteKind.STREAM):
            for lost in (AnswerLost, Cut((b"hal",))):
                with self.subTest(kind=kind, lost=lost):
                    self.reply = RecordedReply()
                    await self._serve(kind, (lost, (b"answer",)))
                    self.assertEqual(len(self.upstreams.sends), 1)
                    self.assertNotIn(self.reply.status, PROMISES_NOT_RUN)
                    self.assertNotEqual(self.reply.ended, "whole")

    async def test_a_refusal_after_a_lost_answer_does_not_hide_it(self) -> None:
        await self._serve(RouteKind.IDEMPOTENT, (AnswerLost, NotRun.FULL))
        self.assertEqual((self.reply.status, self.reply.retry_after_ms), (502, 700))

    async def test_final_answers_are_true_of_all_sends(self) -> None:
        ends = (NotRun.FULL, NotSent, AnswerLost, Cut((b"hal",)), 500)
        for kind, *script in itertools.product(RouteKind, ends, ends):
            with self.subTest(kind=kind, script=script):
                self.reply = RecordedReply()
                await self._serve(kind, tuple(script))
                used = script[: len(self.upstreams.sends)]
                ran = [end for end in used if not isinstance(end, NotRun) and end is not NotSent]
                if ran:
                    self.assertNotIn(self.reply.status, PROMISES_NOT_RUN)
                if not kind.idempotent:
                    self.assertLessEqual(len(ran), 1)
                self.assertTrue(self.reply.ended)

    async def test_an_idempotent_failure_is_repeated_within_the_route_s_attempts(self) -> None:
        await self._serve(RouteKind.IDEMPOTENT, (500, AnswerLost, (b"late",)), attempts=2)
        self.assertEqual(len(self.upstreams.sends), 2)
        self.assertEqual(self.reply.status, 502)

    async def test_no_repeat_without_budget(self) -> None:
        await self._serve(RouteKind.IDEMPOTENT, (AnswerLost, (b"answer",)), slack=0)
        self.assertEqual(len(self.upstreams.sends), 1)

    async def test_a_cut_stream_is_resumed_behind_the_last_whole_event(self) -> None:
        first = Cut((event(1) + event(2) + b"id: 3\nda",))
        await self._serve(RouteKind.RESUMABLE_STREAM, (first, (event(3), event(4))))
        self.assertEqual(self.upstreams.sends[1].resume_after, 2)
        self.assertEqual(self.reply.body, b"".join(map(event, (1, 2, 3, 4))))
        self.assertEqual(self.reply.ended, "whole")

    async def test_a_stream_with_a_missing_event_is_not_passed_on(self) -> None:
        await self._serve(RouteKind.STREAM, ((event(1), event(3)),))
        self.assertEqual((self.reply.body, self.reply.ended), (event(1), "broken off"))

    async def test_a_stream_that_ends_inside_an_event_is_not_whole(self) -> None:
        await self._serve(RouteKind.STREAM, ((event(1) + b"id: 2\n",),))
        self.assertEqual((self.reply.body, self.reply.ended), (event(1), "broken off"))
