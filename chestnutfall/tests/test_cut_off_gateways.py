"""Gateways that are cut off from upstreams, with the programs run as processes."""

from __future__ import annotations

import asyncio
import time
import unittest

from soak.relay import HANGING, REFUSED, ConnectionFault

from .office_scenario import OfficeScenario

SETTLED_S = 3.0
"""From then on callers of gateways that are cut off are served like others."""
CUT_S = 7.0
MIN_SHARE = 0.9
MIN_SERVED_ELSEWHERE = 0.95


class CutOffGatewayTest(unittest.TestCase):
    # Guards against a gateway that refuses calls since it can't reach upstreams that others reach.
    def test_callers_of_a_gateway_whose_links_are_reset_and_refused_are_served(self) -> None:
        self._check(OfficeScenario(seed=43), ConnectionFault.RESET, REFUSED)

    # Guards against a gateway that waits for upstreams that others reach.
    def test_callers_of_a_gateway_whose_links_hang_are_served(self) -> None:
        self._check(OfficeScenario(seed=44), ConnectionFault.SILENCE, HANGING)

    # Guards against a gateway that takes upstreams for down that answer on open connections.
    def test_callers_of_a_gateway_that_opens_no_connection_are_served(self) -> None:
        self._check(OfficeScenario(seed=45), ConnectionFault.NONE, REFUSED)

    def _check(self, play: OfficeScenario, connections: ConnectionFault, new: str) -> None:
        async def script(play: OfficeScenario) -> None:
            self.began_s = time.monotonic()
            for one in play.office.gateways[:2]:
                play.office.cut_off(one, connections, new)
            await asyncio.sleep(CUT_S)
            self.ips = [one.plan.ip for one in play.office.gateways]

        asyncio.run(play.run(script))
        from_s = self.began_s + SETTLED_S
        served = play.success_ratio_at(self.ips[:2], from_s)
        served_elsewhere = play.success_ratio_at(self.ips[2:], from_s)
        self.assertGreaterEqual(served_elsewhere, MIN_SERVED_ELSEWHERE)
        self.assertGreaterEqual(served, MIN_SHARE * served_elsewhere)
