"""Small parts of the platform: event splitter, roster, liveness, holders, document slot, drain."""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from ..clock import ManualClock
from ..control.commands import DocumentStored, PutDocument, VersionTaken
from ..control.document_slot import DocumentSlot
from ..control.upstream_record import UpstreamRecord
from ..control.upstream_roster import UpstreamRoster
from ..coordination.holdings_diff import holdings_change
from ..coordination.upstream_liveness import UpstreamLiveness
from ..forwarding.drain import BALANCER_NOTICE_MS, POLL_MS, QUIET_MS, Drainable, drain
from ..forwarding.event_splitter import EventSplitter
from ..forwarding.holders import Holders
from ..placement import AdapterName, ReadyAdapter


class EventSplitterTest(unittest.TestCase):
    @given(st.lists(st.integers(1, 40)))
    def test_events_come_whole_however_the_bytes_are_cut(self, cuts: list[int]) -> None:
        stream = b"".join(b"id: %d\ndata: event\n\n" % at for at in range(1, 6))
        splitter, found, at = EventSplitter(), [], 0
        for cut in [*cuts, len(stream)]:
            found += splitter.feed(stream[at : at + cut])
            at += cut
        self.assertEqual([event.number for event in found], [1, 2, 3, 4, 5])
        self.assertEqual(b"".join(event.data for event in found), stream)
        self.assertTrue(splitter.at_event_boundary)


class UpstreamRosterTest(unittest.TestCase):
    def test_a_delayed_announcement_does_not_restore_an_upstream_that_left(self) -> None:
        roster = UpstreamRoster()
        record = UpstreamRecord("i1", "s", "127.0.0.1:1", "dc")
        roster.add(record)
        roster.mark_leaving("i1")
        roster.add(record)
        self.assertTrue(roster.records["i1"].leaving)
        roster.forget("i1")
        roster.add(record)
        self.assertEqual(roster.records, {})

    def test_a_restart_under_the_same_name_replaces_the_previous_incarnation(self) -> None:
        # Otherwise requests are sent to an engine that lost its adapters and refuses each of them,
        # or a late announcement of the previous incarnation replaces the current one.
        roster = UpstreamRoster()
        before = UpstreamRecord("i1~1", "s", "127.0.0.1:1", "dc", False, "i1", 1)
        after = UpstreamRecord("i1~2", "s", "127.0.0.1:1", "dc", False, "i1", 2)
        roster.add(before)
        roster.add(after)
        self.assertTrue(roster.is_gone(before))
        roster.add(before)
        self.assertEqual(list(roster.records.values()), [after])
        self.assertEqual(roster.newest_incarnation("i1"), after)

    def test_an_announcement_without_a_start_time_does_not_replace_one_with_it(self) -> None:
        roster = UpstreamRoster()
        known = UpstreamRecord("i1~1", "s", "127.0.0.1:1", "dc", False, "i1", 1)
        roster.add(known)
        roster.add(UpstreamRecord("i1", "other", "127.0.0.1:9", "dc", False, "i1", 0))
        self.assertEqual(list(roster.records.values()), [known])


class UpstreamLivenessTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_incarnation_announced_last_has_the_address(self) -> None:
        clock = ManualClock()
        liveness = UpstreamLiveness(clock, 1000)
        old = UpstreamRecord("old", "s", "127.0.0.1:1", "dc")
        new = UpstreamRecord("new", "other", "127.0.0.1:1", "dc")
        liveness.record_announcement("old", 1)
        await clock.advance(100)
        liveness.record_announcement("new", 1)
        self.assertEqual(list(liveness.serving((old, new))), [new])
        self.assertFalse(liveness.record_announcement("new", 0))

    # Guards against a leader that remembers each incarnation that there ever was.
    async def test_an_incarnation_whose_record_is_dropped_is_forgotten(self) -> None:
        liveness = UpstreamLiveness(ManualClock(), 1000)
        for at in range(10):
            liveness.record_announcement(f"i{at}", 1)
            liveness.ended(f"i{at}")
            liveness.forget(f"i{at}")
        self.assertEqual(len(liveness), 0)

    async def test_a_failed_connection_and_one_missing_heartbeat_make_it_silent(self) -> None:
        clock = ManualClock()
        liveness = UpstreamLiveness(clock, 1000)
        record = UpstreamRecord("i1", "s", "127.0.0.1:1", "dc")
        liveness.record_announcement("i1", 1)
        liveness.unreachable("i1")
        self.assertEqual(list(liveness.serving((record,))), [record])
        await clock.advance(1600)
        liveness.unreachable("i1")
        self.assertEqual(list(liveness.serving((record,))), [])
        liveness.record_announcement("i1", 2)
        self.assertEqual(list(liveness.serving((record,))), [record])


class HoldersTest(unittest.TestCase):
    @given(st.lists(st.sets(st.integers(0, 5)), min_size=1, max_size=8))
    def test_gateways_know_the_holdings_that_the_leader_sent(self, steps: list[set[int]]) -> None:
        holders = Holders()
        before: frozenset[ReadyAdapter] = frozenset()
        for at, step in enumerate(steps):
            now = frozenset(ReadyAdapter(f"i{n % 2}", AdapterName("m", f"a{n}"), at) for n in step)
            holders.apply(holdings_change(at == 0, now - before, before - now))
            before = now
            for n in range(6):
                expected = {held for held in now if held.adapter.adapter == f"a{n}"}
                self.assertEqual(set(holders.of(AdapterName("m", f"a{n}"))), expected)


class DocumentSlotTest(unittest.TestCase):
    def test_the_highest_version_holds_and_a_resend_is_acknowledged(self) -> None:
        slot = DocumentSlot()
        self.assertEqual(slot.put(PutDocument(3, b"x")), DocumentStored(3))
        self.assertEqual(slot.put(PutDocument(3, b"x")), DocumentStored(3))
        self.assertEqual(slot.put(PutDocument(2, b"old")), DocumentStored(3))
        self.assertEqual(slot.put(PutDocument(3, b"other")), VersionTaken(3))
        self.assertEqual((slot.version, slot.content), (3, b"x"))


class _DrainingGateway(Drainable):
    """A gateway whose calls in progress end at given times, in ms on `clock`."""

    def __init__(self, clock: ManualClock, ends_ms: list[int]) -> None:
        self._clock = clock
        self._ends_ms = ends_ms
        self.left = False
        self.refused_ms: int | None = None

    def calls_in_progress(self) -> int:
        return sum(end > self._clock.now_ms() for end in self._ends_ms)

    def announce_leaving(self) -> None:
        self.left = True

    def refuse_new(self) -> None:
        self.refused_ms = self._clock.now_ms()


class DrainTest(unittest.IsolatedAsyncioTestCase):
    async def _ended_ms(self, ends_ms: list[int]) -> int:
        clock = ManualClock()
        gateway = _DrainingGateway(clock, ends_ms)
        draining = asyncio.ensure_future(drain(gateway, clock, 8_000))
        while not draining.done():
            await clock.advance(10)
        self.assertTrue(gateway.left)
        self.refused_ms = gateway.refused_ms
        return clock.now_ms()

    async def test_it_serves_until_the_balancer_and_the_last_call_are_gone(self) -> None:
        self.assertGreaterEqual(await self._ended_ms([]), BALANCER_NOTICE_MS)
        ended_ms = await self._ended_ms([5_000])
        self.assertGreaterEqual(ended_ms, 5_000 + QUIET_MS - POLL_MS)

    async def test_late_requests_are_refused_while_earlier_ones_end(self) -> None:
        # A client reuses a connection that was idle for five seconds. If its request were
        # accepted, its stream would be cut off when the grace time is over.
        await self._ended_ms([6_000])
        assert self.refused_ms is not None
        self.assertLessEqual(abs(self.refused_ms - BALANCER_NOTICE_MS), POLL_MS)

    async def test_the_last_call_has_most_of_the_grace_time(self) -> None:
        # A streamed request arrives three seconds after the request to stop, on a kept connection,
        # and takes five seconds. If it were accepted, it would be cut off when the host is killed.
        # The load balancer sends nothing new after its second failed health check.
        await self._ended_ms([6_000])
        assert self.refused_ms is not None
        self.assertGreater(self.refused_ms, 2_000)
        self.assertLessEqual(self.refused_ms, 2_600)

    async def test_it_ends_within_the_grace_time(self) -> None:
        self.assertLess(await self._ended_ms([60_000]), 8_000)
