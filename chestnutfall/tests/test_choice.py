"""One round of decisions while some hundred requests wait for loads.

Callers see every answer late, and gateways leave a leader that is well: after an outage more
requests wait than engines can load adapters for, each round looks at every engine for each of
them, and the rounds take longer than they are apart.
"""

from __future__ import annotations

import unittest
from unittest import mock

from ..clock import ManualClock
from ..placement import AdapterName, EngineReport, LoadAdapter, Placer, PlaceRequest
from ..placement.engine import Engine
from ..routes import EngineSpec, ModelSpec

MODEL = "base"
ENGINES = 12
WAITING = 200
_CAN_LOAD_MORE = Engine.can_load_more
SPEC = EngineSpec(16, 200_000, (ModelSpec(MODEL, 50),), 60, 4, 30)


def _request(ticket: str, adapter: str, data_centre: str = "dc") -> PlaceRequest:
    name = AdapterName(MODEL, adapter)
    return PlaceRequest(ticket, "s", name, 600, 60, (), 1, 500, 60_000, data_centre)


def _placer(clock: ManualClock) -> Placer:
    placer = Placer(clock)
    for number in range(ENGINES):
        placer.engine_up(f"e{number}", "s", f"dc{number % 2}", SPEC)
        placer.engine_reported(f"e{number}", EngineReport({MODEL: 1}, {}, {}, 0))
    return placer


class ChoiceTest(unittest.TestCase):
    def test_a_round_looks_at_an_engine_once_however_many_requests_wait(self) -> None:
        # An outage of the controllers ends; everyone wants another adapter than the engines hold.
        clock = ManualClock()
        placer = _placer(clock)
        for number in range(WAITING):
            placer.submit(_request(f"t{number}", f"a{number}"))
        with mock.patch.object(Engine, "can_load_more", autospec=True) as looks:
            looks.side_effect = _CAN_LOAD_MORE
            loads = [one for one in placer.decide() if isinstance(one, LoadAdapter)]
            self.assertEqual(len(loads), ENGINES * SPEC.adapter_slots)
            self.assertLessEqual(looks.call_count, ENGINES + len(loads))
            looks.reset_mock()
            clock._now_ms += 4
            self.assertEqual(list(placer.decide()), [])
            self.assertLessEqual(looks.call_count, ENGINES)

    def test_what_a_round_gave_an_engine_counts_for_the_next_request(self) -> None:
        # Looked at once a round only, the first engine would get every request of a burst.
        placer = _placer(ManualClock())
        for number in range(ENGINES):
            placer.submit(_request(f"t{number}", f"a{number}", "dc0"))
        loads = [one for one in placer.decide() if isinstance(one, LoadAdapter)]
        self.assertEqual(len({load.instance for load in loads}), ENGINES)
