"""Calls whose upstreams are silent, refuse, hang and fail at random, and clients that leave.

The tests guard against a client that gets an event twice, not at all or from a mixture of two runs;
against a second run of what may run once; against "not run" of what may have run; against places
that stay taken; against two engines that work side by side on a stream; and against a stream that
is broken off although its engine would go on.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutfall.clock import ManualClock
from chestnutfall.forwarding.call import Headers
from chestnutfall.forwarding.call_sends import OVERLAP_MS
from chestnutfall.forwarding.caller_reply import CallerGone
from chestnutfall.forwarding.progress import MAX_SENDS
from chestnutfall.forwarding.upstream_answer import NotRun
from chestnutfall.forwarding.upstream_api import AnswerLost, NotSent
from chestnutfall.routes import RouteKind
from chestnutfall.tests.fakes.fake_upstreams import RecordedReply
from chestnutfall.tests.fakes.forwarder_case import event
from chestnutfall.tests.fakes.silence_case import TIMEOUT_MS, SilenceCase
from chestnutfall.tests.fakes.silence_scripts import EVENTS, PROMISES_NOT_RUN
from chestnutfall.tests.fakes.timed_upstreams import HANG, Head, Status, Step, TimedSend

AFTERWARDS_MS = 20_000
"""Time in which whatever a call began has ended."""
PAUSES_MS = 1_500
"""Longest silence of a sound upstream over the whole stream."""
NOT_RUN = (NotRun.FULL, NotRun.ABSENT, NotSent)
LOST = (AnswerLost, Status(500), ValueError, asyncio.CancelledError)
WAITS_MS = (0, 1, 20, 50, 250, 299, 300, 301, 350, 600, 650, 700, 1_000, 1_200, 1_500)

Script = tuple[Step, ...]
waits = st.sampled_from(WAITS_MS)
hung = st.sampled_from([(HANG,), (50, Head(), HANG)])
ends = st.tuples(waits, st.sampled_from((*NOT_RUN, *LOST, Status(404), Status(503))))


@st.composite
def answers(draw: st.DrawFn) -> Script:
    """A stream with waits anywhere, which may be lost behind an event."""
    steps: list[Step] = [Head()] if draw(st.booleans()) else []
    for number in (1, 2, 3):
        steps.append(draw(st.sampled_from((*WAITS_MS, HANG))))
        steps += draw(st.sampled_from([[event(number)], [event(number)[:4], event(number)[4:]]]))
        if draw(st.integers(0, 9)) == 0:
            return (*steps, AnswerLost)
    return tuple(steps)


@st.composite
def sound_answers(draw: st.DrawFn) -> Script:
    """A stream of an upstream that is silent for a second or so, and goes on."""
    first_ms = draw(waits)
    second_ms = draw(st.sampled_from([one for one in WAITS_MS if first_ms + one <= PAUSES_MS]))
    return (draw(st.integers(1, 200)), event(1), first_ms, event(2), second_ms, event(3))


@dataclass(frozen=True, slots=True)
class Client:
    """What the client of a call does.

    Attributes
    ----------
    reads_ms : int
        How long it takes to read a part.
    leaves_at : int
        Number of the part at which it leaves; 0 for none.
    cancelled_ms : tuple of int
        Clock times at which the call is cancelled.
    """

    reads_ms: int = 0
    leaves_at: int = 0
    cancelled_ms: tuple[int, ...] = ()


clients = st.builds(
    Client,
    st.sampled_from((0, 0, 5, 100, 400)),
    st.sampled_from((0, 0, 0, 1, 2)),
    st.sampled_from(((), (), (1,), (300, 300), (301,), (350, 351), (650, 650))),
)


class _Reply(RecordedReply):
    def __init__(self, clock: ManualClock, client: Client) -> None:
        super().__init__()
        self._clock = clock
        self._client = client
        self._writes = 0

    async def _read(self) -> None:
        if self._client.reads_ms:
            await self._clock.sleep_ms(self._client.reads_ms)

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        await self._read()
        await super().send_whole(status, headers, body)

    async def finish(self) -> None:
        await self._read()
        await super().finish()

    async def write(self, data: bytes) -> None:
        await self._read()
        self._writes += 1
        if self._writes == self._client.leaves_at:
            raise CallerGone
        await super().write(data)


class _Gateway(SilenceCase):
    """One gateway that serves one call."""

    def __init__(self, attempts: int, scripts: list[Script], obeys_avoid: bool) -> None:
        super().__init__()
        self.setUp()
        self.attempts = attempts
        self.given = scripts
        self.obeys_avoid = obeys_avoid

    async def serve(
        self, kind: RouteKind, client: Client = Client(), budget: bool = True, search_ms: int = 0
    ) -> RecordedReply:
        """Serve a call until nothing of it is left."""
        self._begin(*self.given, budget=budget)
        self.selector.obeys_avoid = self.obeys_avoid
        self.selector.delays_ms = [0, search_ms]
        reply, task = self._call(kind, reply=_Reply(self.clock, client))
        for at_ms in client.cancelled_ms:
            await self.clock.advance(at_ms - self.clock.now_ms())
            task.cancel()
        await self.clock.advance(TIMEOUT_MS + AFTERWARDS_MS)
        assert task.done()
        return reply

    async def serve_beside(self, kind: RouteKind, search_ms: int, used_ms: int) -> RecordedReply:
        """Serve a call, and use the budget of repeats up at a clock time."""
        self._begin(*self.given)
        self.selector.obeys_avoid = self.obeys_avoid
        self.selector.delays_ms = [0, search_ms]
        reply, task = self._call(kind)
        await self.clock.advance(used_ms)
        self._repeats_left()
        await self.clock.advance(TIMEOUT_MS + AFTERWARDS_MS)
        assert task.done()
        return reply

    def may_have_run(self) -> list[TimedSend]:
        """Return the sends of which nothing shows that they ran nothing."""
        given = {f"i{at}": script for at, script in enumerate(self.given)}
        return [
            one
            for one in self.upstreams.sends
            if not any(step in NOT_RUN for step in given[one.instance] if _is_end(step))
        ]


def _is_end(step: Step) -> bool:
    return not isinstance(step, int | bytes | Head)


class SendsTest(unittest.TestCase):
    def setUp(self) -> None:
        # Each scripted error is logged as a fault.
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _assert_bounds(self, gateway: _Gateway) -> None:
        sends = gateway.upstreams.sends
        self.assertLessEqual(len(sends), MAX_SENDS)
        self.assertLessEqual(
            len({one.instance for one in gateway.may_have_run()}), gateway.attempts
        )
        self.assertEqual(gateway.selector.open_places, 0)
        for first, second in itertools.combinations(sends, 2):
            assert first.ended_ms is not None and second.ended_ms is not None
            if second.resume_after is not None:
                both_until_ms = min(first.ended_ms, second.ended_ms)
                self.assertLessEqual(both_until_ms, second.at_ms + OVERLAP_MS)

    @given(
        st.sampled_from(RouteKind),
        st.integers(1, 4),
        st.lists(st.one_of(answers(), ends), min_size=2, max_size=3),
        clients,
        st.booleans(),
        st.booleans(),
        st.sampled_from((0, 1, 50, 200)),
    )
    @settings(max_examples=300)
    def test_what_a_client_gets_is_of_one_run_and_true(
        self,
        kind: RouteKind,
        attempts: int,
        scripts: list[Script],
        client: Client,
        obeys_avoid: bool,
        budget: bool,
        search_ms: int,
    ) -> None:
        gateway = _Gateway(attempts, scripts, obeys_avoid)
        reply = asyncio.run(gateway.serve(kind, client, budget, search_ms))
        if reply.status == 200:
            self.assertTrue(EVENTS.startswith(reply.body), reply.body)
            if reply.ended == "whole":
                self.assertEqual(reply.body, EVENTS)
        if not client.cancelled_ms and not client.leaves_at:
            self.assertTrue(reply.ended)
        ran = gateway.may_have_run()
        if reply.ended == "refused" and reply.status in PROMISES_NOT_RUN:
            self.assertEqual(ran, [])
        if not kind.idempotent:
            self.assertLessEqual(len(ran), 1)
        self._assert_bounds(gateway)

    @given(
        sound_answers(),
        st.lists(st.one_of(ends, hung), min_size=1, max_size=2),
        st.integers(2, 4),
        st.booleans(),
        st.sampled_from((0, 1, 50, 200)),
    )
    @settings(max_examples=200)
    def test_a_stream_goes_on_if_its_first_engine_does(
        self, sound: Script, others: list[Script], attempts: int, obeys_avoid: bool, search_ms: int
    ) -> None:
        gateway = _Gateway(attempts, [sound, *others], obeys_avoid)
        reply = asyncio.run(gateway.serve(RouteKind.RESUMABLE_STREAM, search_ms=search_ms))
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        self._assert_bounds(gateway)

    @given(
        sound_answers(),
        st.lists(st.one_of(ends, hung), min_size=1, max_size=3),
        st.integers(2, 6),
        st.booleans(),
        st.sampled_from((0, 50, 200)),
        st.integers(0, 4_000),
    )
    @settings(max_examples=200)
    def test_a_stream_goes_on_if_its_first_engine_does_though_other_calls_use_the_budget(
        self,
        sound: Script,
        others: list[Script],
        attempts: int,
        obeys_avoid: bool,
        search_ms: int,
        used_ms: int,
    ) -> None:
        gateway = _Gateway(attempts, [sound, *others], obeys_avoid)
        reply = asyncio.run(gateway.serve_beside(RouteKind.RESUMABLE_STREAM, search_ms, used_ms))
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        self._assert_bounds(gateway)
