"""Dissemination of the serving upstreams to all gateways, with thousands of both.

If each change sent all upstreams again, it would fill a gateway's link for half a second. The
leader's pulse would arrive late, and the gateway would leave a healthy leader only to be sent
everything once more.
"""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from ..clock import ManualClock
from ..control.upstream_record import UpstreamRecord
from ..control.upstream_roster import UpstreamRoster
from ..coordination.gateway_session import BULK_INTERVAL_MS, GatewaySession
from ..coordination.messages import FLEET_CODEC, Pulse
from ..coordination.upstream_views import MAX_CHANGES, REBASE_CHANGES, UpstreamViews
from ..forwarding.known_upstreams import KnownUpstreams

LINK_BYTES_PER_MS = 625
"""Bandwidth of a gateway's link: 5 Mbit/s."""
SILENT_MS = 450
"""Time without any message from its leader after which a gateway looks for another one."""


def _record(number: int, leaving: bool = False) -> UpstreamRecord:
    name = f"i-{number * 2_654_435_761 % 2**32:08x}"
    address = f"10.{number % 6}.{number // 250 % 250}.{number % 250}:8642"
    return UpstreamRecord(name, f"s{number % 2}", address, "a-data-centre", leaving, name, 0)


class UpstreamViewsTest(unittest.TestCase):
    def test_one_change_before_three_thousand_upstreams_takes_less_than_300_bytes(self) -> None:
        views = UpstreamViews()
        serving = [_record(number) for number in range(3_000)]
        list(views.change_to(serving))
        changes = list(views.change_to([*serving[1:], _record(9_999)]))
        self.assertEqual(len(changes), 1)
        self.assertLess(len(FLEET_CODEC.encode(changes[0])), 300)

    def test_nothing_is_sent_where_nothing_changed(self) -> None:
        views = UpstreamViews()
        serving = [_record(number) for number in range(50)]
        list(views.change_to(serving))
        self.assertEqual(list(views.change_to(reversed(serving))), [])

    def test_three_thousand_upstreams_reach_a_gateway_before_its_leader_timeout(self) -> None:
        views = UpstreamViews()
        for start in range(0, 3_000, 30):
            list(views.change_to(_record(number) for number in range(start + 30)))
        whole = [FLEET_CODEC.encode(part) for part in views.whole()]
        self.assertLess(sum(map(len, whole)) / LINK_BYTES_PER_MS, SILENT_MS)
        # A pulse queued behind one part is delayed by less than an eighth of the timeout.
        self.assertLess(max(map(len, whole)) / LINK_BYTES_PER_MS, SILENT_MS / 8)

    STEPS = st.lists(
        st.tuples(st.booleans(), st.sets(st.integers(0, 12), max_size=6)), max_size=REBASE_CHANGES
    )

    @given(STEPS, st.sets(st.integers(0, 40)))
    def test_a_gateway_that_joins_at_any_time_knows_the_serving_upstreams(
        self, steps: list[tuple[bool, set[int]]], last: set[int]
    ) -> None:
        views = UpstreamViews()
        gateways = [KnownUpstreams()]
        for part in views.whole():
            gateways[0].apply(part)
        for joins, serving in [*steps * 3, (True, last)]:
            if joins:
                gateways.append(KnownUpstreams())
                for part in views.whole():
                    gateways[-1].apply(part)
            for change in views.change_to(_record(number) for number in serving):
                for gateway in gateways:
                    gateway.apply(change)
            expected = {_record(number).instance for number in serving}
            for gateway in gateways:
                self.assertEqual(gateway.instances(), expected)

    def test_known_upstreams_stay_in_use_until_the_view_is_complete(self) -> None:
        views = UpstreamViews()
        for start in range(REBASE_CHANGES + 2):
            list(views.change_to(_record(number) for number in range(20 * start, 20 * start + 900)))
        known = KnownUpstreams()
        list(map(known.apply, views.whole()))
        before = known.instances()
        parts = list(views.whole())
        known.apply(parts[0])
        self.assertEqual(known.instances(), before)
        self.assertGreater(len(parts), 1)

    def test_a_complete_view_contains_nearly_all_upstreams(self) -> None:
        # A new leader learns thousands of upstreams at once. If it sent them as changes after an
        # empty complete view, gateways would start to serve too early and refuse calls to
        # services whose upstreams they don't know yet.
        views, known = UpstreamViews(), KnownUpstreams()
        list(views.change_to(_record(number) for number in range(3_000)))
        for part in views.whole():
            known.apply(part)
            if getattr(part, "complete", False):
                self.assertGreaterEqual(len(known.instances()), 3_000 - REBASE_CHANGES)

    def test_changes_do_not_pile_up_while_no_gateway_joins(self) -> None:
        views, known = UpstreamViews(), KnownUpstreams()
        for number in range(2 * MAX_CHANGES):
            list(views.change_to([_record(number)]))
        self.assertLessEqual(len(views._since), MAX_CHANGES)
        for part in views.whole():
            known.apply(part)
        self.assertEqual(known.instances(), {_record(2 * MAX_CHANGES - 1).instance})

    def test_upstreams_are_grouped_by_service_after_each_change(self) -> None:
        known, views = KnownUpstreams(), UpstreamViews()
        for count in (4, 7):
            for change in views.change_to(_record(number) for number in range(count)):
                known.apply(change)
            self.assertEqual(len(known.of("s0")), (count + 1) // 2)
            self.assertEqual(len(known.of("s1")), count // 2)


class BulkTest(unittest.IsolatedAsyncioTestCase):
    async def _next(self, session: GatewaySession, clock: ManualClock, ms: int) -> object:
        asked = asyncio.ensure_future(session.next(clock, 150))
        await clock.advance(0)
        if not asked.done():
            await clock.advance(ms)
        try:
            return await asked
        except TimeoutError:
            return None

    async def test_urgent_messages_pass_bulk_and_bulk_is_spaced_out(self) -> None:
        session, clock = GatewaySession("g"), ManualClock()
        session.send_bulk(["bulk 1", "bulk 2"])
        self.assertEqual(await self._next(session, clock, 0), "bulk 1")
        session.send(Pulse())
        self.assertEqual(await self._next(session, clock, 0), Pulse())
        await clock.advance(BULK_INTERVAL_MS)
        session.send(Pulse())
        self.assertEqual(await self._next(session, clock, 0), Pulse())
        self.assertEqual(await self._next(session, clock, BULK_INTERVAL_MS), "bulk 2")
        self.assertIsNone(await self._next(session, clock, 150))

    async def test_new_bulk_replaces_queued_bulk(self) -> None:
        session, clock = GatewaySession("g"), ManualClock()
        session.send_bulk(["old 1", "old 2"])
        session.send_bulk(["new"])
        self.assertEqual(await self._next(session, clock, 0), "new")


class RosterTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 4), st.booleans())))
    def test_the_newest_incarnation_is_the_same_as_by_a_full_scan(
        self, steps: list[tuple[str, int, bool]]
    ) -> None:
        roster = UpstreamRoster()
        for name, start, forgets in steps:
            record = UpstreamRecord(f"{name}~{start}", "s", "1", "dc", False, name, start)
            if forgets:
                roster.forget(record.instance)
            else:
                roster.add(record)
            incarnations = [one for one in roster.records.values() if one.announced_name == name]
            newest = max(incarnations, key=lambda one: one.started_ms, default=None)
            self.assertEqual(roster.newest_incarnation(name), newest)
