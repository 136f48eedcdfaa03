"""Heartbeats that a controller answers itself and forwards to the leader in batches.

Thousands of upstreams announce themselves every second to any controller, nearly all without new
information. An upstream that leaves must not be acknowledged before the leader knows. A controller
that is cut off must not acknowledge heartbeats, so that its upstreams turn to another one.
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
        self.forwarded: list[Heartbeats] = []
        self.batch = HeartbeatBatch(self._ask, self.clock)

    async def _ask(self, msg: Heartbeats) -> Any:
        self.forwarded.append(msg)
        return self.answer

    def _try_add(self, record: UpstreamRecord, number: int = 1) -> bool:
        return self.batch.try_add(Announce(record, number, None), self.roster)

    async def test_unchanged_heartbeats_are_answered_and_batched(self) -> None:
        await self.batch.flush()
        self.roster.add(_record("2"))
        self.assertTrue(self._try_add(_record("1")) and self._try_add(_record("2")))
        await self.batch.flush()
        self.assertEqual(len(self.forwarded[-1].announcements), 2)

    async def test_new_information_is_not_batched(self) -> None:
        await self.batch.flush()
        self.assertFalse(self._try_add(_record("9")))
        self.assertFalse(self._try_add(_record("1", leaving=True)))
        moved = UpstreamRecord("1", "s", "127.0.0.1:2", "dc", False, "1")
        self.assertFalse(self._try_add(moved))
        self.roster.mark_leaving("1")
        self.assertFalse(self._try_add(_record("1", leaving=True)))

    async def test_nothing_is_batched_without_contact_to_the_leader(self) -> None:
        self.assertFalse(self._try_add(_record("1")))
        await self.batch.flush()
        self.assertTrue(self._try_add(_record("1")))
        self.answer = Unavailable()
        self.clock._now_ms += LEADER_CONTACT_MS
        await self.batch.flush()
        self.assertFalse(self._try_add(_record("1")))

    async def test_of_rejected_heartbeats_the_newest_is_sent_again(self) -> None:
        await self.batch.flush()
        self.answer = Unavailable()
        self._try_add(_record("1"), 5)
        await self.batch.flush()
        self._try_add(_record("1"), 6)
        self.answer = Accepted()
        self.clock._now_ms += BATCH_MS
        await self.batch.flush()
        self.assertEqual([one.number for one in self.forwarded[-1].announcements], [6])

    async def test_held_adapters_are_left_out(self) -> None:
        await self.batch.flush()
        holds = EngineReport({"base": 1}, {AdapterName("base", "a1"): 1}, {}, 0)
        self.batch.try_add(Announce(_record("1"), 1, holds), self.roster)
        await self.batch.flush()
        forwarded = self.forwarded[-1].announcements[0].holds
        assert forwarded is not None
        self.assertEqual((forwarded.models, forwarded.adapters), ({"base": 1}, {}))
