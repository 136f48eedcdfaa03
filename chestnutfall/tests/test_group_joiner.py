"""A host that lost its disk asks to join while a controller leads that its settings don't name.

Operators find no controller that answers, and the configuration is gone for good: the host never
became a member again, and the next loss took the majority. The controllers that the settings name
know the leader, and the joiner must go on to it.
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


class _Desk(LeaderRelay):
    """Answers for the controllers named in `answers`."""

    def __init__(self, answers: dict[str, Any]) -> None:
        self.answers = answers
        self.asked: list[str] = []

    async def ask_at(self, address: str, msg: Any) -> Any:
        assert isinstance(msg, JoinGroup)
        self.asked.append(address)
        return self.answers.get(address, Unavailable())


class GroupJoinerTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_word_on_who_leads_is_followed(self) -> None:
        cluster = FakeCluster(1, ("a",))
        await cluster.bootstrap()
        cluster.add_blank("new")
        desk = _Desk({"first": Unavailable("leader"), "leader": Accepted()})
        replica = cluster.replicas["new"]
        self.assertNotIn(Member("new", "new"), replica.members)
        joiner = GroupJoiner(replica, desk, cluster.clock, "new", ("down", "first", "new"))
        asking = asyncio.ensure_future(joiner.run())
        await cluster.clock.advance(600)
        self.assertEqual(desk.asked, ["down", "first", "leader"])
        asking.cancel()
        await cluster.stop()
