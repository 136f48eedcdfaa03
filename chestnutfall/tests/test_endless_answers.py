"""Upstreams that write bytes that are no answer, without end, behind a good head."""

from __future__ import annotations

import itertools

from ..forwarding.event_splitter import MAX_EVENT_BYTES, EventSplitter
from ..forwarding.upstream_api import AnswerLost
from ..routes import RouteKind
from .fakes.forwarder_case import event
from .fakes.silence_case import SILENT_MS, TIMEOUT_MS, SilenceCase
from .fakes.silence_scripts import EVENTS, SOUND
from .fakes.timed_upstreams import Head, Step

EACH_MS = 20
BYTES = {
    "no event": b"x" * 64,
    "a comment": b": x\n\n",
    "an empty event": b"\n\n",
    "unknown fields": b"x: y\n\n",
    "an event without end": b"data: x\n",
}
IN_TIME_MS = SILENT_MS + 300
"""Until a call has its answer elsewhere: the silence that it bears, and the answer."""


def endless(data: bytes, *begun: Step) -> tuple[Step, ...]:
    """Return a head, what `begun` says, and then `data` again and again beyond every deadline."""
    each: tuple[Step, ...] = (EACH_MS, data)
    return (EACH_MS, Head(), *begun, *each * (2 * TIMEOUT_MS // EACH_MS))


class EndlessAnswerTest(SilenceCase):
    # Guards against a call that waits until its deadline for an upstream that writes and makes no
    # progress: bytes were taken for a sign of life, so that nothing was sent elsewhere.
    async def test_a_stream_goes_on_elsewhere_when_bytes_bring_no_event(self) -> None:
        begun = ((), (event(1),))
        for (what, data), first in itertools.product(BYTES.items(), begun):
            with self.subTest(what=what, begun=len(first)):
                self.setUp()
                self._begin(endless(data, *first), SOUND)
                reply = await self._serve(RouteKind.RESUMABLE_STREAM, IN_TIME_MS)
                self.assertEqual((reply.ended, reply.body), ("whole", EVENTS))
                self.assertIsNotNone(self.upstreams.to("i0")[0].ended_ms)

    async def test_a_whole_answer_comes_from_elsewhere_when_bytes_bring_no_end(self) -> None:
        self._begin(endless(b"x"), (EACH_MS, b"whole"))
        reply = await self._serve(RouteKind.IDEMPOTENT, IN_TIME_MS)
        self.assertEqual((reply.ended, reply.body), ("whole", b"whole"))
        self.assertIsNotNone(self.upstreams.to("i0")[0].ended_ms)

    # Guards against new work for an upstream that only seems to work.
    async def test_an_upstream_without_progress_gets_less_work_and_counts_as_no_end(self) -> None:
        self._begin(endless(b"x"), SOUND)
        await self._serve(RouteKind.RESUMABLE_STREAM, IN_TIME_MS)
        self.assertEqual(self.selector.noted_silent, ["i0"])
        self.assertEqual(self.reports, [])

    # Guards against an answer whose bytes differ from the upstream's.
    async def test_comments_reach_the_client_with_the_event_that_follows(self) -> None:
        parts = (b": a\n\n", event(1), b"\n\n", b": b\n\n", event(2) + b": c\n", b"\n")
        self._begin((EACH_MS, Head(), *parts))
        reply = await self._serve(RouteKind.RESUMABLE_STREAM)
        self.assertEqual((reply.ended, reply.body), ("whole", b"".join(parts)))

    # Guards against an event without end that takes the memory of the gateway.
    def test_what_is_held_for_one_event_is_bounded(self) -> None:
        for data in BYTES.values():
            with self.subTest(data), self.assertRaises(AnswerLost):
                splitter = EventSplitter()
                for _ in range(MAX_EVENT_BYTES // len(data) + 1):
                    list(splitter.feed(data))
                    self.assertLessEqual(len(splitter), MAX_EVENT_BYTES)
