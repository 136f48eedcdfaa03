"""Upstreams that fall silent for a moment and go on, and upstreams that hang.

A sound engine may write nothing for a second or so. A call that gives up on it before it has
another one loses an answer that was on its way.
"""

from __future__ import annotations

from ..routes import RouteKind
from .fakes.forwarder_case import event
from .fakes.silence_case import SilenceCase

EVENTS = b"".join(map(event, (1, 2, 3)))
"""The whole stream of the tests."""


class SilenceTest(SilenceCase):
    # Guards against a stream that is broken off since its engine paused and no repeat was left.
    async def test_a_stream_outlives_a_silent_second_without_budget(self) -> None:
        steps = (50, event(1), 20, event(2), 1_000, event(3))
        self._begin(steps, steps, budget=False)
        reply = await self._serve(RouteKind.RESUMABLE_STREAM)
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        self.assertEqual(len(self.upstreams.sends), 1)
