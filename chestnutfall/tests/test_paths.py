"""Sends of gateways that do not reach some or all upstreams themselves, without a network."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter

from ..clock import ManualClock
from ..forwarding.upstream_api import AnswerLost, NotSent
from ..paths.helper_ring import HELPERS, RingGateway, helpers_of_all
from ..paths.helper_service import MAX_HELPED
from ..paths.known_helpers import MAX_ASKED
from ..paths.leader_messages import HelperGateways
from ..paths.messages import CheckPort, NotSentByHelper, SendCall
from ..paths.path_table import PROBE_INTERVAL_MS, RECENT_MS, PathTable
from ..signals import AskedBackoff, UpstreamSignals
from .fakes.path_office import PathOffice, send_to

CONNECT_MS = 150
"""Time after which a gateway gives a try to connect up."""
CUTS = ((9, (0,)), (9, (0, 1, 2)), (9, tuple(range(8))), (91, tuple(range(60))))


class HelpedSendTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()

    def _office(self, gateways: int, *cut: int) -> PathOffice:
        office = PathOffice(gateways, self.clock)
        office.cut_off(*cut)
        return office

    async def _send_all(self, office: PathOffice, at: int, first: int = 0) -> int:
        """Send a call to each upstream from one gateway and return how many are answered."""
        served = 0
        for number, one in enumerate(office.upstreams):
            try:
                body = await office.gateways[at].send(send_to(one, first + number))
            except NotSent:
                continue
            self.assertEqual(body, b"id-%d" % (first + number))
            served += 1
        return served

    # Guards against calls that fail at a gateway that is cut off while others reach upstreams.
    async def test_calls_of_gateways_that_are_cut_off_are_sent_by_others(self) -> None:
        for gateways, cut in CUTS:
            with self.subTest(gateways=gateways, cut=len(cut)):
                office = self._office(gateways, *cut)
                for at in cut:
                    # The first calls find out; the leader then names helpers that are not cut off.
                    await self._send_all(office, at)
                office.name_helpers()
                office.runs.clear()
                for at in cut:
                    self.assertEqual(await self._send_all(office, at, 1000 * at), 3)
                self.assertEqual(set(office.runs.values()), {1})

    # Guards against messages, connections and probes while every gateway reaches its upstreams.
    async def test_nothing_is_asked_of_others_while_all_links_hold(self) -> None:
        office = self._office(9)
        for at in range(9):
            self.assertEqual(await self._send_all(office, at), 3)
        self.assertEqual((office.helped_sends, office.opened), (0, 0))

    # Guards against a call that is passed from one gateway that is cut off to the next.
    async def test_a_call_is_passed_on_once_also_if_all_gateways_are_cut_off(self) -> None:
        office = self._office(9, *range(9))
        with self.assertRaises(NotSent) as caught:
            await office.gateways[0].send(send_to(office.upstreams[0]))
        self.assertFalse(caught.exception.is_confirmed)
        self.assertLessEqual(office.helped_sends, MAX_ASKED)
        self.assertEqual(office.runs.total(), 0)

    # Guards against calls that try one upstream after another although none can be reached.
    async def test_without_links_and_helpers_no_upstream_counts_as_reached(self) -> None:
        office = self._office(9, *range(9))
        for at in range(9):
            await self._send_all(office, at)
        office.name_helpers()
        self.assertFalse(office.gateways[0].api.reaches_any(office.upstreams))
        office.join()
        await self.clock.advance(PROBE_INTERVAL_MS)
        office.gateways[0].api.reaches_any(office.upstreams)
        await self.clock.advance(1)
        self.assertTrue(office.gateways[0].api.reaches_any(office.upstreams))

    # Guards against a call that runs twice since the answer of the helper was lost.
    async def test_the_loss_of_a_helper_is_unknown_and_not_sent_again(self) -> None:
        office = self._office(3, 0)
        office.lost = {(0, 1), (0, 2)}
        with self.assertRaises(AnswerLost):
            await office.gateways[0].send(send_to(office.upstreams[0]))
        self.assertEqual(office.runs.total(), 1)
        self.assertEqual(office.helped_sends, 1)

    # Guards against calls that each wait out a try to connect over a link that hangs.
    async def test_one_call_waits_for_a_link_that_hangs_and_later_ones_do_not(self) -> None:
        office = self._office(3, 0)
        office.hanging_ms = CONNECT_MS
        sending = asyncio.ensure_future(self._send_all(office, 0))
        for _ in office.upstreams:
            await self.clock.advance(CONNECT_MS)
        self.assertEqual(await sending, 3)
        began_ms = self.clock.now_ms()
        for number in range(1, 20):
            self.assertEqual(await self._send_all(office, 0, 10 * number), 3)
        self.assertEqual(self.clock.now_ms(), began_ms)
        self.assertEqual(office.gateways[0].direct.failed, len(office.upstreams))

    # Guards against a gateway that stays on helpers after its links are back, or floods them.
    async def test_after_a_cut_calls_go_over_the_own_link_at_once(self) -> None:
        office = self._office(3, 0)
        await self._send_all(office, 0)
        office.join()
        await self.clock.advance(PROBE_INTERVAL_MS)
        await self._send_all(office, 0, 10)
        await self.clock.advance(1)
        helped = office.helped_sends
        await self._send_all(office, 0, 20)
        self.assertEqual(office.helped_sends, helped)
        self.assertLessEqual(office.opened, 3)

    # Guards against lost calls at a gateway whose link fails and comes back each second.
    async def test_calls_are_served_while_a_link_flaps(self) -> None:
        office = self._office(3)
        for number in range(40):
            office.join() if number % 2 else office.cut_off(0)
            await self.clock.advance(500)
            self.assertEqual(await self._send_all(office, 0, 10 * number), 3)

    # Guards against an upstream that is taken for cut off since it was silent for a moment.
    async def test_a_send_that_is_lost_is_not_passed_on_and_cuts_no_link(self) -> None:
        office = self._office(3)
        office.silent = {"i0"}
        with self.assertRaises(AnswerLost):
            await office.gateways[0].send(send_to(office.upstreams[0]))
        self.assertEqual(office.helped_sends, 0)
        self.assertFalse(office.gateways[0].paths.is_cut("i0"))
        self.assertEqual(office.runs.total(), 1)

    # Guards against sends to an upstream that a gateway does not reach while it reaches others.
    async def test_one_link_that_is_cut_leaves_the_others_direct(self) -> None:
        office = self._office(3)
        office.cut = {(0, "i1")}
        self.assertEqual(await self._send_all(office, 0), 3)
        self.assertEqual(office.helped_sends, 1)
        self.assertTrue(office.gateways[0].paths.can_help)

    # Guards against helpers that serve strangers, or a caller that pretends to be a gateway.
    async def test_a_helper_sends_nothing_without_the_key_of_the_fleet(self) -> None:
        office = self._office(2, 0)
        service = office.gateways[1].service
        for keys in ((), ("other",)):
            asked = SendCall(keys, send_to(office.upstreams[0]))
            answers = [msg async for msg in service.serve(_stream(asked), None)]
            self.assertEqual(answers, [NotSentByHelper("unknown_key")])
            checked = await service.check_port(CheckPort(keys, office.upstreams[0].address), None)
            self.assertIsNone(checked.refuses)
        self.assertEqual(office.runs.total(), 0)

    # Guards against a helper that sends to an upstream that asked it to back off or is leaving.
    async def test_a_helper_obeys_the_signals_that_it_received(self) -> None:
        for signals in (UpstreamSignals(backoff=AskedBackoff(3000)), UpstreamSignals(leaving=True)):
            office = self._office(2, 0)
            office.gateways[1].signals.observe("i0", signals, 0, True)
            with self.assertRaises(NotSent):
                await office.gateways[0].send(send_to(office.upstreams[0]))
            self.assertEqual(office.runs.total(), 0)

    # Guards against calls that are refused since one upstream wants nothing from the helpers.
    async def test_a_helper_that_may_not_send_to_one_upstream_is_asked_for_others(self) -> None:
        office = self._office(2, 0)
        for number in range(3):
            await self._send_all(office, 0, 10 * number)
        leaving = UpstreamSignals(leaving=True)
        office.gateways[1].signals.observe("i0", leaving, 0, True)
        with self.assertRaises(NotSent):
            await office.gateways[0].send(send_to(office.upstreams[0], 100))
        self.assertTrue(office.gateways[0].helpers.usable())
        self.assertTrue(office.gateways[0].api.reaches_any(office.upstreams))
        self.assertEqual(await self._send_all(office, 0, 200), 2)

    # Guards against a helper whose own callers lose their share, and one that ends midway.
    async def test_a_helper_that_is_full_or_leaving_refuses_as_not_sent(self) -> None:
        for prepare in (_fill, _leave):
            office = self._office(2, 0)
            prepare(office)
            with self.assertRaises(NotSent):
                await office.gateways[0].send(send_to(office.upstreams[0]))

    # Guards against a gateway that loses its helpers together with its leader.
    async def test_helpers_and_keys_of_the_last_leaders_stay_valid(self) -> None:
        office = self._office(2, 0)
        office.gateways[1].helpers.apply(HelperGateways((), "next"))
        self.assertEqual(await self._send_all(office, 0), 3)
        office.gateways[0].helpers.apply(HelperGateways(("1",), "next"))
        self.assertEqual(await self._send_all(office, 0, 10), 3)


class UpstreamDownTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()

    # Guards against an upstream that is down and keeps its work since one gateway can't be sure.
    async def test_an_upstream_that_two_gateways_do_not_reach_is_down(self) -> None:
        office = PathOffice(3, self.clock)
        office.down = {"i0"}
        with self.assertRaises(NotSent) as caught:
            await office.gateways[0].send(send_to(office.upstreams[0]))
        self.assertTrue(caught.exception.is_confirmed)
        self.assertTrue(office.gateways[0].paths.can_help)
        helped = office.helped_sends
        with self.assertRaises(NotSent):
            await office.gateways[0].send(send_to(office.upstreams[0]))
        self.assertEqual(office.helped_sends, helped)

    # Guards against helpers that count as cut off while all upstreams of a service restart.
    async def test_gateways_can_help_while_a_service_restarts(self) -> None:
        office = PathOffice(3, self.clock, upstreams=4)
        office.down = {"i0", "i1", "i2"}
        for number, one in enumerate(office.upstreams[:3]):
            with self.assertRaises(NotSent):
                await office.gateways[0].send(send_to(one, number))
        self.assertTrue(all(one.paths.can_help for one in office.gateways))

    # Guards against an innocent request in quarantine: closed ports seen from a cut-off gateway.
    async def test_a_port_that_only_gateways_that_are_cut_off_see_closed_is_no_end(self) -> None:
        for cut in ((0,), (0, 1), (0, 1, 2)):
            office = PathOffice(3, self.clock)
            office.cut_off(*cut)
            address = office.upstreams[0].address
            self.assertFalse(await office.gateways[0].witness.has_ended(address))

    # Guards against ends that are not looked at again, since no helper could be asked in time.
    async def test_a_closed_port_that_no_helper_tells_of_is_neither_an_end_nor_none(self) -> None:
        office = PathOffice(3, self.clock)
        office.cut_off(0, 1, 2)
        self.assertIsNone(await office.gateways[0].witness.has_ended(office.upstreams[0].address))
        office = PathOffice(2, self.clock)
        office.down = {"i0"}
        office.gateways[0].helpers.apply(HelperGateways((), "key"))
        self.assertIsNone(await office.gateways[0].witness.has_ended(office.upstreams[0].address))
        office.down = set()
        self.assertIs(
            await office.gateways[0].witness.has_ended(office.upstreams[0].address), False
        )

    # Guards against an end that two gateways report and a third one can disprove.
    async def test_a_port_that_opens_for_any_gateway_is_no_end(self) -> None:
        office = PathOffice(4, self.clock)
        office.cut = {(at, "i0") for at in (0, 1, 2)}
        self.assertFalse(await office.gateways[0].witness.has_ended(office.upstreams[0].address))

    async def test_a_port_that_is_closed_for_two_gateways_is_an_end(self) -> None:
        office = PathOffice(3, self.clock)
        office.down = {"i0"}
        self.assertTrue(await office.gateways[0].witness.has_ended(office.upstreams[0].address))

    async def test_a_gateway_without_others_believes_its_own_link(self) -> None:
        office = PathOffice(1, self.clock)
        office.down = {"i0"}
        self.assertTrue(await office.gateways[0].witness.has_ended(office.upstreams[0].address))
        with self.assertRaises(NotSent) as caught:
            await office.gateways[0].send(send_to(office.upstreams[0]))
        self.assertTrue(caught.exception.is_confirmed)


class PathTableTest(unittest.TestCase):
    # Guards against calls through a gateway that is itself cut off.
    def test_a_gateway_reports_when_it_loses_most_links_and_when_they_are_back(self) -> None:
        paths = PathTable(ManualClock())
        reports: list[bool] = []
        paths.on_change = reports.append
        for at in range(4):
            paths.note_reached(f"i{at}")
        for at in range(4):
            paths.note_failed(f"i{at}")
        self.assertEqual(reports, [False])
        for at in range(4):
            paths.note_reached(f"i{at}")
        self.assertEqual(reports, [False, True])


class PathAgeTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a gateway that never helps again since an upstream it lost is gone for good.
    async def test_a_link_that_is_no_longer_tried_does_not_count(self) -> None:
        clock = ManualClock()
        paths = PathTable(clock)
        paths.note_failed("i0")
        self.assertFalse(paths.can_help)
        await clock.advance(RECENT_MS)
        paths.note_reached("i1")
        self.assertTrue(paths.can_help)


class HelperRingTest(unittest.TestCase):
    # Guards against a few gateways that would send the calls of all that are cut off.
    def test_helpers_are_spread_over_all_gateways_and_both_data_centres(self) -> None:
        for count in (9, 91, 195, 410):
            ring = [RingGateway(f"g{at}", f"a{at}", f"dc{at % 3}") for at in range(count)]
            helpers = helpers_of_all(ring)
            uses = [address for named in helpers.values() for address in named]
            self.assertEqual({len(named) for named in helpers.values()}, {HELPERS})
            self.assertLessEqual(max(uses.count(one) for one in set(uses)), 4 * HELPERS)
            self.assertTrue(all(f"a{name[1:]}" not in named for name, named in helpers.items()))
            far = [
                any(int(one[1:]) % 3 != int(name[1:]) % 3 for one in named)
                for name, named in helpers.items()
            ]
            self.assertTrue(all(far))

    # Guards against messages to every gateway each time that one comes or goes.
    def test_one_gateway_that_is_lost_changes_the_helpers_of_a_few(self) -> None:
        ring = [RingGateway(f"g{at}", f"a{at}", "dc") for at in range(195)]
        before, after = helpers_of_all(ring), helpers_of_all(ring[1:])
        changed = [name for name, named in after.items() if before[name] != named]
        self.assertLessEqual(len(changed), HELPERS)

    # Guards against a few helpers that would send the calls of most gateways that are cut off.
    def test_gateways_that_are_cut_off_are_dealt_out_evenly(self) -> None:
        for count in (9, 91, 195, 410):
            cut = set(random.Random(count).sample(range(count), 2 * count // 3))
            ring = [
                RingGateway(f"g{at}", f"a{at}", f"dc{at % 3}", can_help=at not in cut)
                for at in range(count)
            ]
            helpers = helpers_of_all(ring)
            uses = Counter(address for at in cut for address in helpers[f"g{at}"])
            mean = sum(uses.values()) / (count - len(cut))
            self.assertLessEqual(max(uses.values()), 1.5 * mean)

    def test_gateways_that_are_cut_off_help_nobody_and_have_helpers(self) -> None:
        ring = [RingGateway(f"g{at}", f"a{at}", "dc", can_help=at >= 6) for at in range(9)]
        for named in helpers_of_all(ring).values():
            self.assertTrue(named)
            self.assertLessEqual(set(named), {"a6", "a7", "a8"})


def _fill(office: PathOffice) -> None:
    office.gateways[1].service.in_progress = MAX_HELPED


def _leave(office: PathOffice) -> None:
    office.gateways[1].service.refuse_new()


async def _stream(msg: SendCall):  # type: ignore[no-untyped-def]
    yield msg
