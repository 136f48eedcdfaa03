"""Two sends of a call side by side, while the first one is silent.

The client gets each event once and in order, from whichever upstream writes it first.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from dataclasses import replace

from ..forwarding.call_sends import OVERLAP_MS
from ..forwarding.caller_reply import CallerGone
from ..forwarding.place import Place
from ..forwarding.progress import Progress
from ..forwarding.reply_lock import ReplyLock, ReplyTaken
from ..forwarding.send_result import Delivered
from ..forwarding.upstream_answer import NotRun, UpstreamAnswer
from ..forwarding.upstream_api import AnswerLost, NotSent
from ..placement import RunOutcome
from ..resumption.messages import HeardOrigins
from ..routes import RouteKind
from ..signals import NO_SIGNALS
from .fakes.fake_upstreams import RecordedReply
from .fakes.forwarder_case import event
from .fakes.silence_case import SILENT_MS, TIMEOUT_MS, SilenceCase
from .fakes.silence_scripts import (
    EVENTS,
    HUNG,
    RESUMABLE,
    SOUND,
    streams,
)
from .fakes.timed_upstreams import HANG, Status

FAULTS = (ValueError, asyncio.CancelledError)
"""Errors of a send that nothing expects."""


async def _parts(*parts: bytes) -> AsyncIterator[bytes]:
    for part in parts:
        yield part


class SecondSendTest(SilenceCase):
    # Guards against a hung engine that costs callers more time than before.
    async def test_a_call_moves_to_another_upstream_as_soon_as_before(self) -> None:
        for kind in (RESUMABLE, RouteKind.IDEMPOTENT):
            with self.subTest(kind):
                self._begin(HUNG, SOUND)
                reply, served = self._call(kind)
                await self.clock.advance(SILENT_MS + 100)
                self.assertTrue(served.done())
                self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
                self.assertEqual([one.at_ms for one in self.upstreams.to("i1")], [SILENT_MS])
                self.assertEqual(self.selector.noted_silent, ["i0"])
                self.assertEqual(self.selector.outcomes["i0"], [RunOutcome.LEFT])
                self.setUp()

    # Guards against two engines that work on one stream, and against an event that comes twice.
    async def test_a_begun_stream_is_resumed_elsewhere_and_the_silent_run_ends(self) -> None:
        self._begin((50, event(1), 20, event(2), HANG), (200, *SOUND))
        reply = await self._serve(RESUMABLE)
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        first, second = self.upstreams.sends
        self.assertEqual((second.instance, second.resume_after), ("i1", 2))
        assert first.ended_ms is not None
        self.assertLessEqual(first.ended_ms, second.at_ms + OVERLAP_MS)

    # Guards against an engine that works on for longer than the overlap where the next is slow.
    async def test_the_silent_run_of_a_begun_stream_ends_after_the_overlap(self) -> None:
        self._begin((50, event(1), HANG), (1_000, *SOUND))
        reply = await self._serve(RESUMABLE)
        first, second = self.upstreams.sends
        self.assertEqual(first.ended_ms, second.at_ms + OVERLAP_MS)
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        self.assertEqual(self.selector.noted_silent, ["i0", "i1"])

    # Guards against the same where the client brought the beginning of the stream.
    async def test_the_silent_run_of_a_stream_that_a_client_takes_up_ends_after_the_overlap(
        self,
    ) -> None:
        self.resume_after = 1
        self._begin(HUNG, (1_000, *SOUND))
        reply = await self._serve(RESUMABLE)
        first, second = self.upstreams.sends
        self.assertEqual(first.ended_ms, second.at_ms + OVERLAP_MS)
        self.assertEqual((reply.body, reply.ended), (event(2) + event(3), "whole"))

    # Guards against an engine that works on beside the one whose answer the client gets.
    async def test_the_other_run_ends_with_the_first_event(self) -> None:
        self._begin((500, event(1), 100, event(2), 100, event(3)), HUNG)
        reply = await self._serve(RESUMABLE)
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        self.assertEqual([one.ended_ms for one in self.upstreams.sends], [700, 500])

    # Guards against a run that counts as broken off since another one has written its next event.
    async def test_a_run_that_is_overtaken_has_nothing_more_to_say(self) -> None:
        self._begin(SOUND, SOUND)
        progress = Progress(self._new_call(RESUMABLE), TIMEOUT_MS, "s", streamed=True)
        lock, reply = ReplyLock(), RecordedReply()
        sender = self.forwarder._send_parts.sender
        route = self.forwarder._routes.table.match("a.example", f"/{RESUMABLE.value}/x")
        first, second = (
            sender.prepare(progress, route, Place("t", upstream, 0), self.selector, reply, lock)
            for upstream in self.selector.upstreams
        )
        answer = UpstreamAnswer(200, (), None, NO_SIGNALS, _parts(event(1)))
        self.assertEqual(await second.relay(answer), Delivered())
        with self.assertRaises(ReplyTaken):
            await first.relay(replace(answer, body=_parts(event(1))))
        self.assertEqual(reply.body, event(1))

    # Guards against a run that is cut though nothing of its answer was relayed, so that it harms no
    # stream and may be the first.
    async def test_of_two_runs_without_an_event_both_go_on_until_one_begins(self) -> None:
        for kind in (RESUMABLE, RouteKind.IDEMPOTENT):
            with self.subTest(kind):
                self._begin((1_500, EVENTS), (2_000, *SOUND))
                reply = await self._serve(kind)
                self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
                first, second = self.upstreams.sends
                self.assertTrue(first.is_whole)
                self.assertEqual((second.ended_ms, second.is_whole), (1_500, False))
                self.assertEqual(self.selector.outcomes["i0"], [RunOutcome.DONE])
                self.assertEqual(self.selector.noted_silent, ["i0", "i1"])
                self.setUp()

    # Guards against pieces of two runs: the silent one speaks again while the other one begins.
    async def test_a_run_that_speaks_again_first_goes_on(self) -> None:
        for where in ("between events", "inside an event"):
            with self.subTest(where):
                self._begin(streams(SILENT_MS + 100)[where], (200, *SOUND))
                reply = await self._serve(RESUMABLE)
                self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
                first, second = self.upstreams.sends
                self.assertEqual((first.is_whole, second.is_whole), (True, False))
                self.assertEqual(self.selector.outcomes["i1"], [RunOutcome.LEFT])
                self.setUp()

    # Guards against the same event of two runs at the same moment.
    async def test_two_runs_that_write_an_event_at_once_give_the_client_one(self) -> None:
        for late_ms in (-1, 0, 1):
            with self.subTest(late_ms=late_ms):
                silent_ms = SILENT_MS + 100 + late_ms
                self._begin((event(1), silent_ms, event(2), event(3)), (100, event(2), event(3)))
                reply = await self._serve(RESUMABLE)
                self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
                self.setUp()

    # Guards against a second send that takes the living first one with it.
    async def test_a_second_send_that_fails_leaves_the_first_alone(self) -> None:
        ends = (NotRun.FULL, NotRun.ABSENT, NotSent, AnswerLost, Status(500), Status(503), *FAULTS)
        for end, (where, script) in itertools.product(ends, streams(1_500).items()):
            with self.subTest(end=end, where=where):
                self._begin(script, (20, end))
                reply = await self._serve(RESUMABLE)
                self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
                self.assertEqual([one.is_whole for one in self.upstreams.to("i0")], [True])
                self.assertEqual(self.selector.open_places, 0)
                self.setUp()

    # Guards against a first send that ends and takes the second one with it.
    async def test_a_first_send_that_fails_leaves_the_second_alone(self) -> None:
        for end in (NotRun.FULL, NotSent, AnswerLost, Status(500), *FAULTS):
            with self.subTest(end=end):
                self._begin((SILENT_MS + 100, end), (200, *SOUND))
                reply = await self._serve(RESUMABLE)
                self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
                self.assertEqual(len(self.upstreams.sends), 2)
                self.setUp()

    # Guards against a client's lost connection that counts as the loss of an upstream's answer.
    async def test_a_client_that_left_ends_the_call_and_no_upstream_is_blamed(self) -> None:
        class _GoneReply(RecordedReply):
            async def write(self, data: bytes) -> None:
                raise CallerGone

        self._begin(HUNG, SOUND)
        reply, served = self._call(RESUMABLE, reply=_GoneReply())
        await self.clock.advance(SILENT_MS + 100)
        await served
        self.assertEqual((reply.ended, self.selector.open_places), ("", 0))
        self.assertEqual(self.selector.outcomes["i1"], [RunOutcome.LEFT])

    # Guards against a leader that takes a stream for one of the software at which a further place
    # was found, so that a client goes on with it there.
    async def test_the_leader_learns_which_of_two_versions_began_the_stream(self) -> None:
        for second, began in ((NotRun.FULL, "v1"), (HANG, "v1"), (event(1), "v2")):
            with self.subTest(second=second):
                self._begin((1_000, *SOUND), (second,), builds=("v1", "v2"))
                self.selector.records = True
                told: list[HeardOrigins] = []
                self.origins._fleet.send = told.append  # type: ignore[method-assign]
                self.origins.is_mixed = lambda service: True  # type: ignore[method-assign]
                await self._serve(RESUMABLE)
                (heard,) = told[-1].origins
                self.assertIn(began, heard.origin.build_key)
                self.setUp()

    # Guards against the same where the leader grants the further place as the stream begins.
    async def test_the_leader_learns_it_also_if_a_search_ends_after_the_beginning(self) -> None:
        self._begin((SILENT_MS + 50, event(1), 500, event(2)), SOUND, builds=("v1", "v2"))
        self.selector.records = True
        self.selector.delays_ms = [0, 200]
        told: list[HeardOrigins] = []
        self.origins._fleet.send = told.append  # type: ignore[method-assign]
        self.origins.is_mixed = lambda service: True  # type: ignore[method-assign]
        self._call(RESUMABLE)
        await self.clock.advance(SILENT_MS + 60)
        self.assertEqual(len(told), 2)
