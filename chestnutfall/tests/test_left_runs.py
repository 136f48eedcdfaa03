"""What a begun stream is left with, whose sound upstream is silent for longer than the overlap.

Guards against a run that is let go before it is known that something better is to be had.
"""

from __future__ import annotations

from ..forwarding.upstream_api import NotSent
from .fakes.forwarder_case import event
from .fakes.silence_case import SilenceCase
from .fakes.silence_scripts import EVENTS, RESUMABLE
from .fakes.timed_upstreams import Step

PAUSE_MS = 1_200
PAUSES: tuple[Step, ...] = (50, event(1), PAUSE_MS, event(2), event(3))
"""A sound upstream that is silent once for longer than the overlap."""


class LeftRunTest(SilenceCase):
    # Guards against a repeat that is lost with a send of which nothing went out.
    async def test_a_send_that_finds_no_connection_costs_no_repeat(self) -> None:
        self._begin(PAUSES)
        left = self._repeats_left()
        self._begin(PAUSES, (450, NotSent))
        reply = await self._serve(RESUMABLE)
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        self.assertEqual([one.instance for one in self.upstreams.sends], ["i0", "i1", "i0"])
        self.assertEqual(self._repeats_left() + self.repeats.unsent("s"), left - 1)
