"""What a leader's parts are told of gateways, and gateways of what the leader knows."""

from __future__ import annotations

import unittest
from typing import Any

from ..clock import ManualClock
from ..control.control_state import ControlState
from ..control.upstream_record import UpstreamRecord
from ..limits.messages import HeardLimit, LimitsInForce, RequestLimit
from ..resumption.messages import AnswerOrigin, AskOrigin, HeardOrigins
from ..signals.messages import BackoffHints, HeardBackoff, HeardRejections, RejectionsInForce
from .fakes.placing_leader import PlacingLeader
from .fakes.signalling_upstream import ENGINES, PLAIN, SignallingUpstream

INSTANCE = f"{PLAIN}-0"


class GatewayDutiesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.upstreams = [
            self._upstream(f"{ENGINES}-0", ENGINES, "v1"),
            self._upstream(INSTANCE, PLAIN, ""),
        ]
        self.leader = PlacingLeader(
            lambda: self.upstreams, lambda order: None, ControlState(), ManualClock(60_000)
        )
        self.leader.add_gateway("g1")

    @staticmethod
    def _upstream(instance: str, service: str, build: str) -> SignallingUpstream:
        return SignallingUpstream(UpstreamRecord(instance, service, "1:1", "dc", build=build))

    def _told_to_a_new_gateway(self, kind: type) -> list[Any]:
        self.leader.add_gateway("g2")
        return [msg for msg in self.leader.take_messages("g2") if isinstance(msg, kind)]

    # Guards against a gateway that connects after an upstream named its limit, and sends without
    # regard to it while there is no leader.
    async def test_a_gateway_that_connects_is_told_of_limits(self) -> None:
        self.leader.handle("g1", HeardLimit(INSTANCE, 5.0, 0))
        told = self._told_to_a_new_gateway(LimitsInForce)
        self.assertEqual(told, [LimitsInForce((RequestLimit(INSTANCE, 5.0),))])

    # Guards against a gateway that connects during a backoff and sends to that upstream first.
    async def test_a_gateway_that_connects_is_told_of_backoffs(self) -> None:
        self.leader.handle("g1", HeardBackoff(INSTANCE, 3_000))
        told = self._told_to_a_new_gateway(BackoffHints)
        self.assertEqual(told, [BackoffHints((HeardBackoff(INSTANCE, 3_000),))])

    # Guards against a gateway that connects and sends an upstream more than it bears.
    async def test_a_gateway_that_connects_is_told_of_few_rejections(self) -> None:
        self.leader.handle("g1", HeardRejections(INSTANCE, 2))
        told = self._told_to_a_new_gateway(RejectionsInForce)
        self.assertEqual(told, [RejectionsInForce((HeardRejections(INSTANCE, 2),))])

    # Guards against a stream answered as unknown that its gateway has not told of yet: while the
    # service had one build, there was nothing to tell.
    async def test_gateways_are_waited_for_when_a_service_gets_a_second_build(self) -> None:
        self.leader.add_gateway("g2")
        for name in ("g1", "g2"):
            self.leader.handle(name, HeardOrigins((), is_whole=True))
        self.upstreams.append(self._upstream(f"{ENGINES}-1", ENGINES, "v2"))
        self.leader.update_upstreams()
        self.leader.take_messages("g2")
        self.leader.handle("g2", AskOrigin(1, "attempt", "owner"))
        self.assertEqual(self._answers("g2"), [])
        for name in ("g1", "g2"):
            self.leader.handle(name, HeardOrigins((), is_whole=True))
        self.assertEqual(self._answers("g2"), [AnswerOrigin(1, None)])

    def _answers(self, name: str) -> list[Any]:
        return [msg for msg in self.leader.take_messages(name) if isinstance(msg, AnswerOrigin)]
