"""A host that lost its disk joins while a controller leads that its settings don't name.

The controllers that the settings name know the leader, and the joiner has to ask it. Otherwise the
host never becomes a member again, the next loss takes the majority, and the configuration is lost.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from ..consensus import Member
from ..coordination.group_joiner import GroupJoiner
from ..coordination.leader_relay import LeaderRelay
from ..coordination.relay_messages import Accepted, JoinGroup, Unavailable
from .fakes import FakeCluster


class _FakeRelay(LeaderRelay):
    """Answers for the controllers named in `answers`; any other is unavailable."""

    def __init__(self, answers: dict[str, Any]) -> None:
        self.answers = answers
        self.asked: list[str] = []

    async def ask_at(self, address: str, msg: Any) -> Any:
        assert isinstance(msg, JoinGroup)
        self.asked.append(address)
        return self.answers.get(address, Unavailable())


class GroupJoinerTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_named_leader_is_asked(self) -> None:
        cluster = FakeCluster(1, ("a",))
        await cluster.bootstrap()
        cluster.add_blank("new")
        relay = _FakeRelay({"first": Unavailable("leader"), "leader": Accepted()})
        replica = cluster.replicas["new"]
        self.assertNotIn(Member("new", "new"), replica.members)
        joiner = GroupJoiner(replica, relay, cluster.clock, "new", ("down", "first", "new"))
        asking = asyncio.ensure_future(joiner.run())
        await cluster.clock.advance(600)
        self.assertEqual(relay.asked, ["down", "first", "leader"])
        asking.cancel()
        await cluster.stop()
