"""Gateways that are cut off from upstreams, with the programs run as processes."""

from __future__ import annotations

import asyncio
import signal
import time
import unittest

from soak.fault_injector import GRACE_S
from soak.relay import HANGING, REFUSED, ConnectionFault

from .office_scenario import BEFORE_S, OfficeScenario

SETTLED_S = 3.0
"""From then on callers of gateways that are cut off are served like others."""
CUT_S = 7.0
START_S = 20.0
"""A gateway serves again well within this time of its start, also on a busy host."""
MIN_SHARE = 0.9
MIN_SERVED_ELSEWHERE = 0.95
"""Of the share served before the cut: on a host whose processors are all taken, loads of adapters
end later than expected, and some calls are refused with and without a cut."""


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

    # Guards against a gateway that starts while it is cut off and refuses calls since it reaches
    # nothing, and against answers that are broken off when the gateway that sends them shuts down.
    def test_a_gateway_that_restarts_while_cut_off_is_served_over_the_shutdown_of_a_helper(
        self,
    ) -> None:
        play = OfficeScenario(seed=46)
        asyncio.run(play.run(self._restart_and_shut_down))
        cut = [play.office.gateways[0].plan.ip]
        self.assertGreaterEqual(play.success_ratio_at(cut, self.began_s), MIN_SERVED_ELSEWHERE)
        broken_off = [
            one
            for one in play.answers
            if one.gateway == cut[0] and one.sent_s >= self.began_s and not one.result.complete
        ]
        self.assertEqual(broken_off, [])

    async def _restart_and_shut_down(self, play: OfficeScenario) -> None:
        cut, helper, _ = play.office.gateways
        play.office.cut_off(cut, ConnectionFault.RESET, REFUSED)
        await cut.kill()
        await cut.start(False)
        await self._wait_until_served(play, cut.plan.ip)
        await asyncio.sleep(SETTLED_S)
        self.began_s = time.monotonic()
        helper.signal(signal.SIGTERM)
        self.assertTrue(await helper.wait_ended(GRACE_S))
        await helper.start(False)
        await asyncio.sleep(SETTLED_S)

    async def _wait_until_served(self, play: OfficeScenario, gateway: str) -> None:
        began_s = time.monotonic()
        while not play.success_ratio_at([gateway], began_s):
            self.assertLess(time.monotonic() - began_s, START_S)
            await asyncio.sleep(0.1)

    def _check(self, play: OfficeScenario, connections: ConnectionFault, new: str) -> None:
        async def script(play: OfficeScenario) -> None:
            self.began_s = time.monotonic()
            for one in play.office.gateways[:2]:
                play.office.cut_off(one, connections, new)
            await asyncio.sleep(CUT_S)
            self.ips = [one.plan.ip for one in play.office.gateways]

        asyncio.run(play.run(script))
        from_s = self.began_s + SETTLED_S
        served_before = play.success_ratio(self.began_s - BEFORE_S, self.began_s)
        served = play.success_ratio_at(self.ips[:2], from_s)
        served_elsewhere = play.success_ratio_at(self.ips[2:], from_s)
        failures = f"{served_before:.3f} served before the cut; since: {play.failures(from_s)}"
        self.assertGreaterEqual(served_elsewhere, MIN_SERVED_ELSEWHERE * served_before, failures)
        self.assertGreaterEqual(served, MIN_SHARE * served_elsewhere, failures)
