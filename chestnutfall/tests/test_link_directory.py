"""Which helpers the leader names for which upstreams, and what placement learns of links."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from types import SimpleNamespace

from ..clock import ManualClock
from ..coordination.gateway_session import GatewaySession
from ..coordination.link_directory import (
    CONFIRMED_MS,
    MAX_INSTANCES,
    MAX_PAIRS_A_ROUND,
    SEND_INTERVAL_MS,
    LinkDirectory,
)
from ..paths.leader_messages import CanHelp, HelpersByUpstream, LinkReport, UpstreamHelpers
from ..placement.reachability import Reachability

GATEWAYS = 4


class LinkDirectoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.links = LinkDirectory(self.clock)
        self.sessions = [GatewaySession(f"g{at}", f"a{at}") for at in range(GATEWAYS)]
        for session in self.sessions:
            self.links.add(session)

    async def _messages(self, at: int) -> list[HelpersByUpstream]:
        await self.clock.advance(SEND_INTERVAL_MS)
        self.links.send_due()
        out = self.sessions[at].out
        return [out.get_nowait() for _ in range(out.qsize())]

    def _cut(self, instance: str, gateways: Iterable[int]) -> None:
        for at in gateways:
            self.links.record(self.sessions[at], LinkReport((instance,)))

    async def test_a_gateway_is_told_who_reaches_what_it_does_not(self) -> None:
        self._cut("i1", (0, 1))
        self._cut("i2", (2,))
        (msg,) = await self._messages(0)
        (named,) = msg.changed
        self.assertEqual((named.instance, set(named.addresses)), ("i1", {"a2", "a3"}))
        self.assertEqual(await self._messages(3), [])

    async def test_only_changes_are_told(self) -> None:
        self._cut("i1", (0,))
        await self._messages(0)
        self._cut("i1", (0,))
        self._cut("i2", (1,))
        self.assertEqual(await self._messages(0), [])

    async def test_a_link_that_is_back_is_named_no_more(self) -> None:
        self._cut("i1", (0, 1))
        await self._messages(0)
        self.links.record(self.sessions[0], LinkReport((), ("i1",)))
        self.assertEqual(await self._messages(0), [HelpersByUpstream((), ("i1",))])
        self.assertEqual(self.links.cut_links, 1)

    # Guards against a helper that is asked although it has ended, is about to, or is cut off.
    async def test_a_helper_that_leaves_ends_or_is_cut_is_replaced(self) -> None:
        def leave() -> None:
            self.links.record_leaving(self.sessions[2], CanHelp(False, leaving=True))

        def end() -> None:
            self.links.remove(self.sessions[2])

        def lose() -> None:
            self._cut("i1", (2,))

        for change in (leave, end, lose):
            with self.subTest(change.__name__):
                await self.asyncSetUp()
                self._cut("i1", (0, 1))
                await self._messages(0)
                change()
                (msg,) = await self._messages(0)
                self.assertEqual(msg.changed, (UpstreamHelpers("i1", ("a3",)),))

    async def test_a_gateway_that_reaches_one_upstream_helps_with_that_one(self) -> None:
        for number in range(9):
            self._cut(f"i{number}", (0, 1, 2))
        self._cut("i9", (1, 2, 3))
        for number in range(8):
            self._cut(f"i{number}", (3,))
        await self.clock.advance(CONFIRMED_MS)
        named = {one.instance: one.addresses for one in (await self._messages(1))[0].changed}
        self.assertEqual((named["i8"], named["i9"], named["i0"]), (("a3",), ("a0",), ()))

    # Guards against requests that are placed on engines that their gateway, or no one, reaches.
    async def test_placement_learns_of_links(self) -> None:
        engine = SimpleNamespace(reach=Reachability())
        self.links.set_engines({"i1": engine}, ("i1",))
        self._cut("i1", (0,))
        self.assertTrue(engine.reach.is_cut_from("g0", 0))
        self.assertFalse(engine.reach.is_cut_from("g1", 0))
        self._cut("i1", (1, 2, 3))
        self.assertFalse(engine.reach.is_down(0))
        await self.clock.advance(CONFIRMED_MS)
        self.links.send_due()
        self.assertTrue(engine.reach.is_down(0))
        self.links.record(self.sessions[3], LinkReport((), ("i1",)))
        self.assertFalse(engine.reach.is_down(0))
        self.links.record(self.sessions[0], LinkReport((), ("i1",)))
        self.assertFalse(engine.reach.is_cut_from("g0", 0))

    # Guards against an engine that counts as reached by none since a gateway that ended counts.
    async def test_links_of_a_gateway_that_ended_are_forgotten(self) -> None:
        engine = SimpleNamespace(reach=Reachability())
        self.links.set_engines({"i1": engine}, ("i1",))
        self._cut("i1", (0,))
        self.links.remove(self.sessions[0])
        self._cut("i1", (1, 2))
        self.assertFalse(engine.reach.is_down(0))
        self.assertEqual(self.links.cut_links, 2)

    # Guards against an engine that is left out since all gateways were busy for a moment.
    async def test_an_upstream_is_lost_only_if_no_gateway_reaches_it_for_a_while(self) -> None:
        engine = SimpleNamespace(reach=Reachability())
        self.links.set_engines({"i1": engine}, ("i1",))
        self._cut("i1", range(GATEWAYS))
        self.assertEqual(await self._messages(0), [])
        self.links.record(self.sessions[1], LinkReport((), ("i1",)))
        await self.clock.advance(CONFIRMED_MS)
        (msg,) = await self._messages(0)
        self.assertEqual(msg.changed, (UpstreamHelpers("i1", ("a1",)),))
        self.assertFalse(engine.reach.is_down(0))

    async def test_the_only_gateway_says_nothing_of_an_engine(self) -> None:
        engine = SimpleNamespace(reach=Reachability())
        self.links.set_engines({"i1": engine}, ("i1",))
        for session in self.sessions[1:]:
            self.links.remove(session)
        self._cut("i1", (0,))
        self.assertFalse(engine.reach.is_down(0))

    # Guards against links of an upstream that is gone, which would count for a later engine.
    async def test_links_of_upstreams_that_serve_no_more_are_forgotten(self) -> None:
        self._cut("i1", (0,))
        await self._messages(0)
        self.links.set_engines({}, ("i2",))
        self.assertEqual(self.links.cut_links, 0)
        self.assertEqual(await self._messages(0), [HelpersByUpstream((), ("i1",))])

    async def test_many_upstreams_are_named_in_rounds_and_memory_is_bounded(self) -> None:
        cut = tuple(f"i{number}" for number in range(MAX_INSTANCES + 5))
        self.links.record(self.sessions[0], LinkReport(cut))
        self.assertEqual(self.links.cut_links, MAX_INSTANCES)
        (msg,) = await self._messages(0)
        self.assertEqual(len(msg.changed), MAX_PAIRS_A_ROUND // 2)
