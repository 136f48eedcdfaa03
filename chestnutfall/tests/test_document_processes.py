"""Documents that change while callers send, with the programs run as processes."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
import unittest
from collections import Counter
from typing import Any

from ..platform.standin.operator import PLAIN, StandInOperator
from .office_scenario import OfficeScenario

SPARE = "spare"
UPSTREAMS = (("drafts", True),) * 3 + ((PLAIN, False), (PLAIN, False), (SPARE, False))
PAUSES_S = (0.03, 0.3)
SERIES_S = 6.0
RESTARTED_S = 1.0


def _use_spare(whole: dict[str, Any]) -> None:
    """Move a route to a service that other documents don't name."""
    whole["services"].append({"name": SPARE, "max_conns": 60})
    whole["routes"][1]["service"] = SPARE


def _split_spare(whole: dict[str, Any]) -> None:
    whole["services"].append({"name": SPARE})
    shares = [{"service": PLAIN, "weight": 1}, {"service": SPARE, "weight": 1}]
    whole["routes"][1]["backends"] = whole["routes"][0]["backends"] = shares


def _shorten(whole: dict[str, Any]) -> None:
    for route in whole["routes"]:
        route["timeout_ms"] = 2_600
    whole["limits"] = {"idle_timeout_ms": 1_000, "header_timeout_ms": 1_000}


def _lengthen(whole: dict[str, Any]) -> None:
    for route in whole["routes"]:
        route["timeout_ms"] = 60_000
    whole["limits"] = {"idle_timeout_ms": 100_000, "header_timeout_ms": 20_000}


def _bound(whole: dict[str, Any]) -> None:
    for service in whole["services"]:
        service["max_conns"] = 40


CHANGES = (_use_spare, _shorten, _split_spare, _lengthen, _bound, lambda whole: None)


class DocumentProcessesTest(unittest.TestCase):
    # Guards against a change of the document that ends requests, in real programs, beside SIGHUPs
    # and the restart of a controller; and against limits that no program is told.
    def test_changes_in_series_leave_each_request_its_answer(self) -> None:
        play = OfficeScenario(seed=11, upstreams=UPSTREAMS)

        async def script(play: OfficeScenario) -> None:
            self.began_s = time.monotonic()
            operator = StandInOperator(play.office.control_addresses, random.Random(1))
            restarts = asyncio.ensure_future(_restart_a_controller(play))
            until_s = asyncio.get_running_loop().time() + SERIES_S
            for version in itertools.count(2):
                if asyncio.get_running_loop().time() >= until_s:
                    break
                await operator.put(version, change=CHANGES[version % len(CHANGES)])
                await asyncio.sleep(PAUSES_S[version % len(PAUSES_S)])
                await play.office.gateways[version % 3].reload()
            await restarts
            await operator.close()
            self.gateway_log = play.office.gateways[0].log_text()
            self.leader_logs = "".join(one.log_text() for one in play.office.controllers)

        asyncio.run(play.run(script))
        # Before, programs that still start refuse connections.
        results = [one.result for one in play.answers if one.sent_s >= self.began_s]
        ends = Counter((one.status, one.complete) for one in results)
        self.assertGreater(ends[200, True], 0)
        self.assertEqual([one for one in results if not one.complete], [], ends)
        self.assertIn("connections: kept idle_ms=100000 head_ms=20000", self.gateway_log)
        self.assertIn("service: retired name=spare", self.leader_logs)


async def _restart_a_controller(play: OfficeScenario) -> None:
    await asyncio.sleep(SERIES_S / 3)
    controller = play.office.controllers[0]
    await controller.kill()
    await asyncio.sleep(RESTARTED_S)
    await controller.start(False)
