"""Calls whose prompts have quarantined parts, at one gateway."""

from __future__ import annotations

from ..control.crash_messages import QuarantinedParts, SuspectRequests
from ..placement.suspect_parts import PART_ENDS_UPSTREAMS
from ..routes import RouteKind
from .fakes.fake_upstreams import Cut
from .fakes.forwarder_case import ForwarderCase


class HeldPartsTest(ForwarderCase):
    async def _hold(self, *parts: str) -> None:
        self.quarantine.update(SuspectRequests(1, (), (), (QuarantinedParts(parts, 60_000),)))

    # Guards against a call that asks for a place, or is sent, although its parts are known to end
    # engines, and that is not told the truth.
    async def test_a_call_with_held_parts_is_refused_before_it_asks_for_a_place(self) -> None:
        await self._hold("/g")
        self.parts = ("a", "g", "own")
        upstreams = await self._serve(RouteKind.RESUMABLE_STREAM, ((b"id: 1\n\n",),))
        self.assertEqual((upstreams.sends, self.selector.criteria), ([], []))
        self.assertEqual((self.reply.status, self.reply.reason), (503, PART_ENDS_UPSTREAMS))
        self.assertEqual(self.reply.retry_after_ms, 60_000)

    async def test_parts_that_are_held_together_are_refused_together_only(self) -> None:
        await self._hold("/g", "/c")
        self.parts = ("a", "g", "own")
        await self._serve(RouteKind.RESUMABLE_STREAM, ((b"id: 1\ndata: x\n\n",),))
        self.assertEqual(self.reply.status, 200)

    # Guards against an answer that broke off and is then called not run.
    async def test_a_repeat_with_parts_that_are_held_meanwhile_is_not_called_not_run(self) -> None:
        self.parts = ("a", "g", "own")
        self.on_released = lambda: self.quarantine.update(
            SuspectRequests(1, (), (), (QuarantinedParts(("/g",), 60_000),))
        )
        upstreams = await self._serve(RouteKind.IDEMPOTENT, (Cut((b"x",)), (b"whole",)))
        self.assertEqual(len(upstreams.sends), 1)
        self.assertEqual((self.reply.status, self.reply.reason), (502, PART_ENDS_UPSTREAMS))
