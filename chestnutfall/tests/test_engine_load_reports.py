"""What slows engines down, from the header of an answer to the leader's placement.

A slowdown lasts for a fraction of a second. If it reached the leader when a stream ends, or one
message for each answer, it would be outdated, or the leader would be busy with nothing else.
"""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from unittest import mock

from ..clock import ManualClock
from ..control.upstream_record import UpstreamRecord
from ..coordination.messages import Controllers, Release
from ..forwarding.engine_load_reports import INTERVAL_MS, MAX_ENGINES, EngineLoadReports
from ..forwarding.engine_upstream_selector import EngineUpstreamSelector
from ..forwarding.place import Place
from ..forwarding.upstream_answer import NotRun, UpstreamAnswer
from ..placement import RunOutcome
from ..placement.reported_slowdown import FRESH_MS
from ..placement.run_times import NO_TIMES
from ..routes import RouteKind
from ..signals import UpstreamLoad, UpstreamSignals
from ..signals.engine_loads import EngineLoads
from .fakes.forwarder_case import ForwarderCase, event
from .fakes.limit_parts import known_signals
from .test_upstream_selectors import _Fleet


def _load(slowdown: float) -> UpstreamLoad:
    return UpstreamLoad(3, 0, 12, slowdown)


class EngineLoadReportsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.sent: list[EngineLoads] = []
        self.reports = EngineLoadReports(self.sent.append, self.clock)

    async def test_usual_loads_are_not_reported(self) -> None:
        for number in range(100):
            self.reports.note(f"e{number}", _load(1.1))
            await self.clock.advance(10)
        self.assertEqual(self.sent, [])

    async def test_the_first_report_is_sent_at_once_and_later_ones_together(self) -> None:
        for number in range(5):
            self.reports.note(f"e{number}", _load(2.0 + number))
        self.assertEqual(self.sent, [EngineLoads({"e0": 2.0})])
        await self.clock.advance(INTERVAL_MS)
        together = {"e1": 3.0, "e2": 4.0, "e3": 5.0, "e4": 6.0}
        self.assertEqual(self.sent[1:], [EngineLoads(together)])

    async def test_the_end_of_a_reported_slowdown_is_reported_once(self) -> None:
        self.reports.note("e0", _load(2.0))
        await self.clock.advance(INTERVAL_MS)
        for _ in range(3):
            self.reports.note("e0", _load(1.0))
            await self.clock.advance(INTERVAL_MS)
        self.assertEqual(self.sent, [EngineLoads({"e0": 2.0}), EngineLoads({"e0": 1.0})])

    async def test_an_end_that_the_leader_knows_by_itself_is_not_reported(self) -> None:
        self.reports.note("e0", _load(2.0))
        await self.clock.advance(FRESH_MS)
        self.reports.note("e0", _load(1.0))
        await self.clock.advance(INTERVAL_MS)
        self.assertEqual(len(self.sent), 1)

    async def test_messages_of_a_gateway_are_bounded(self) -> None:
        # Every engine reports another slowdown with every answer.
        for step in range(200):
            self.reports.note(f"e{step % 50}", _load(1.5 + step % 7))
            self.reports.note(f"e{step % 70}", _load(1.0))
            await self.clock.advance(5)
        self.assertLessEqual(len(self.sent), 1_000 // INTERVAL_MS + 1)

    async def test_a_report_names_a_bounded_number_of_engines(self) -> None:
        for number in range(3 * MAX_ENGINES):
            self.reports.note(f"e{number}", _load(2.0 + number))
        await self.clock.advance(INTERVAL_MS)
        self.assertEqual(len(self.sent[1].slowdowns), MAX_ENGINES)
        self.assertIn(f"e{3 * MAX_ENGINES - 1}", self.sent[1].slowdowns)
        for number in range(30 * MAX_ENGINES):
            self.reports.note(f"x{number}", _load(2.0))
            if number % MAX_ENGINES == 0:
                await self.clock.advance(INTERVAL_MS)
        self.assertLessEqual(len(self.reports._reported_ms), MAX_ENGINES * FRESH_MS // INTERVAL_MS)


class EngineLoadOfAnswerTest(ForwarderCase):
    """What the selector gets of an answer, in order."""

    def setUp(self) -> None:
        super().setUp()
        self.seen: list[str] = []
        self.on_selected = self._watch
        self.on_released = lambda: self.seen.append("released")

    def _watch(self) -> None:
        note = mock.patch.object(self.selector, "note_load", self._note_load)
        note.start()
        self.addCleanup(note.stop)

    def _note_load(self, place: Place, load: UpstreamLoad) -> None:
        self.seen.append(f"{place.upstream.instance} slowed by {load.slowdown}")

    async def _events(self) -> AsyncIterator[bytes]:
        yield event(1)
        self.seen.append("streamed")

    async def test_the_load_is_known_when_the_answer_begins(self) -> None:
        # A stream may take seconds; what its header tells is outdated when it ends.
        signals = UpstreamSignals(load=_load(2.5))
        answer = UpstreamAnswer(200, (), None, signals, self._events())
        await self._serve(RouteKind.STREAM, (answer,))
        self.assertEqual(self.seen, ["i0 slowed by 2.5", "streamed", "released"])

    async def test_the_load_of_another_incarnation_is_not_used(self) -> None:
        signals = UpstreamSignals(load=_load(2.5))
        answer = UpstreamAnswer(421, (), NotRun.REPLACED, signals, self._events())
        await self._serve(RouteKind.STREAM, (answer, (event(1),)))
        self.assertEqual(self.seen, ["released", "released"])


class EngineSelectorLoadTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.fleet = _Fleet(self.clock)
        signals = known_signals(self.clock)
        self.selector = EngineUpstreamSelector(self.fleet, signals, self.clock, "g", "dc")
        self.place = Place("g/1", UpstreamRecord("1", "s", "127.0.0.1:1", "dc"), 1)

    def test_a_leader_that_reads_loads_gets_them(self) -> None:
        self.fleet.knowledge.apply(Controllers(("c",), reads_loads=True))
        self.selector.note_load(self.place, _load(2.5))
        self.selector.release(self.place, RunOutcome.DONE, NO_TIMES, _load(2.5))
        self.assertEqual(
            self.fleet.sent, [EngineLoads({"1": 2.5}), Release("g/1", "done", NO_TIMES)]
        )

    # Guards against gateways that lose a leader of an earlier release with each report: it ends a
    # stream with a message that it doesn't know.
    def test_a_leader_of_an_earlier_release_gets_none(self) -> None:
        self.fleet.knowledge.apply(Controllers(("c",), reads_loads=True))
        self.fleet.knowledge.apply(Controllers(("old",)))
        self.selector.note_load(self.place, _load(2.5))
        self.assertEqual(self.fleet.sent, [])
