"""Heartbeats that a controller answers by itself and passes on together.

Thousands of upstreams announce themselves every second to any controller, and nearly all say what
they said before. One that leaves must not be told that it was heard before the leader knows, and a
controller that is cut off must not keep its upstreams from one that isn't.
"""

from __future__ import annotations

import unittest
from typing import Any

from ..clock import ManualClock
from ..control.upstream_record import UpstreamRecord
from ..control.upstream_roster import UpstreamRoster
from ..coordination.heartbeat_batch import BATCH_MS, LEADER_CONTACT_MS, HeartbeatBatch
from ..coordination.relay_messages import Accepted, Announce, Heartbeats, Unavailable
from ..placement import AdapterName, EngineReport


def _record(name: str, leaving: bool = False) -> UpstreamRecord:
    return UpstreamRecord(name, "s", f"127.0.0.1:{name}", "dc", leaving, name)


class HeartbeatBatchTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.roster = UpstreamRoster()
        self.roster.add(_record("1"))
        self.answer: Any = Accepted()
        self.passed: list[Heartbeats] = []
        self.batch = HeartbeatBatch(self._ask, self.clock)

    async def _ask(self, msg: Heartbeats) -> Any:
        self.passed.append(msg)
        return self.answer

    def _takes(self, record: UpstreamRecord, number: int = 1) -> bool:
        return self.batch.try_add(Announce(record, number, None), self.roster)

    async def test_what_is_known_is_answered_at_once_and_passed_on_together(self) -> None:
        await self.batch.flush()
        self.roster.add(_record("2"))
        self.assertTrue(self._takes(_record("1")) and self._takes(_record("2")))
        await self.batch.flush()
        self.assertEqual(len(self.passed[-1].announcements), 2)

    async def test_what_is_new_goes_to_the_leader_itself(self) -> None:
        await self.batch.flush()
        self.assertFalse(self._takes(_record("9")))
        self.assertFalse(self._takes(_record("1", leaving=True)))
        moved = UpstreamRecord("1", "s", "127.0.0.1:2", "dc", False, "1")
        self.assertFalse(self._takes(moved))
        self.roster.mark_leaving("1")
        self.assertFalse(self._takes(_record("1", leaving=True)))

    async def test_out_of_touch_nothing_is_answered_here(self) -> None:
        self.assertFalse(self._takes(_record("1")))
        await self.batch.flush()
        self.assertTrue(self._takes(_record("1")))
        self.answer = Unavailable()
        self.clock._now_ms += LEADER_CONTACT_MS
        await self.batch.flush()
        self.assertFalse(self._takes(_record("1")))

    async def test_what_the_leader_did_not_take_is_passed_on_again_by_its_newest(self) -> None:
        await self.batch.flush()
        self.answer = Unavailable()
        self._takes(_record("1"), 5)
        await self.batch.flush()
        self._takes(_record("1"), 6)
        self.answer = Accepted()
        self.clock._now_ms += BATCH_MS
        await self.batch.flush()
        self.assertEqual([one.number for one in self.passed[-1].announcements], [6])

    async def test_what_an_engine_holds_is_left_out(self) -> None:
        await self.batch.flush()
        holds = EngineReport({"base": 1}, {AdapterName("base", "a1"): 1}, {}, 0)
        self.batch.try_add(Announce(_record("1"), 1, holds), self.roster)
        await self.batch.flush()
        told = self.passed[-1].announcements[0].holds
        assert told is not None
        self.assertEqual((told.models, told.adapters), ({"base": 1}, {}))
