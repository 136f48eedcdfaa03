"""A completion that ends the process of every engine that runs it.

A caller sends it through one gateway and the other in turn, and the only engine is restarted after
each end. After the third end, both gateways must refuse it at once as not run, and go on to serve
other requests on the engine. Otherwise one request takes the engine from all callers again and
again.
"""

from __future__ import annotations

import time
import unittest

from soak.fatal_requests import ENDS_BEFORE_REFUSAL, QUARANTINE_DELAY_S

from ..standin.engine_app import FATAL_EXIT, FATAL_PROMPT
from .process_office import ProcessOffice, wait_until

GATEWAYS = 2
MODEL = "tejas@1"


class FatalProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.office = ProcessOffice(controllers=1, gateways=GATEWAYS)
        self.addCleanup(self.office.stop)
        self.office.start()

    def _end_engine(self, gateway: int) -> None:
        status, body = self.office.post(gateway, MODEL, FATAL_PROMPT)
        self.assertEqual((status, body["error"]["executed"]), (502, "unknown"))
        self.assertEqual(self.office.wait_exit("engine-0"), FATAL_EXIT)
        self.office.start_engine(0)
        for number in range(GATEWAYS):
            wait_until("an answer", lambda n=number: self._serves(n))  # type: ignore[misc]

    def _serves(self, gateway: int) -> bool:
        return self.office.post(gateway, MODEL)[0] == 200

    def test_the_fourth_copy_is_refused_and_the_engine_stays(self) -> None:
        for times in range(ENDS_BEFORE_REFUSAL):
            self._end_engine(times % GATEWAYS)
        time.sleep(QUARANTINE_DELAY_S)
        for gateway in range(GATEWAYS):
            status, body = self.office.post(gateway, MODEL, FATAL_PROMPT)
            self.assertEqual(status, 503)
            self.assertEqual(body["error"]["code"], "ended_its_upstreams")
            self.assertEqual(body["error"]["executed"], "no")
            self.assertTrue(self._serves(gateway))
        self.assertIsNone(self.office.processes["engine-0"].poll())
