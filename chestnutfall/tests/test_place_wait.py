"""Calls that wait for a place until none is of use to them."""

from __future__ import annotations

from ..forwarding.place_wait import PLACE_MARGIN_MS
from .fakes.silence_case import TIMEOUT_MS, SilenceCase
from .fakes.silence_scripts import PROMISES_NOT_RUN, RESUMABLE, SOUND

LATE_MS = 10
"""Less than what is reserved behind the wait."""


class PlaceWaitTest(SilenceCase):
    # Guards against a refusal that a busy gateway sends after its client has left: the wait for a
    # place went on until the call's last moments.
    async def test_a_call_without_a_place_is_refused_while_its_client_listens(self) -> None:
        self._begin(SOUND)
        self.selector.delays_ms = [10 * TIMEOUT_MS]
        reply = await self._serve(RESUMABLE, TIMEOUT_MS - PLACE_MARGIN_MS)
        self.assertIn(reply.status, PROMISES_NOT_RUN)
        self.assertEqual(self.upstreams.sends, [])

    # Guards against a place that is taken although it comes too late to be of use.
    async def test_a_place_in_the_last_moments_is_not_used(self) -> None:
        self._begin(SOUND)
        self.selector.delays_ms = [TIMEOUT_MS - LATE_MS]
        reply = await self._serve(RESUMABLE)
        self.assertIn(reply.status, PROMISES_NOT_RUN)
        self.assertEqual(self.upstreams.sends, [])

    async def test_a_place_that_comes_in_time_is_used(self) -> None:
        self._begin(SOUND)
        self.selector.delays_ms = [TIMEOUT_MS // 2]
        reply = await self._serve(RESUMABLE)
        self.assertEqual((reply.status, reply.ended), (200, "whole"))
