"""Placement of requests whose prompt parts may end the engine that runs them."""

from __future__ import annotations

from ..placement import RunOutcome
from ..placement.run_times import RunTimes
from ..placement.suspect_parts import CLEARING_MS, PART_ENDS_UPSTREAMS, REPORTING_MS
from .fakes.placement_case import STEP_MS, PlacementCase

ENGINES = 4


class SuspectPlacementTest(PlacementCase):
    def setUp(self) -> None:
        super().setUp()
        self.runs_on = True
        for at in range(ENGINES):
            self._engine(f"e{at}", "a1")

    def _suspect(self, *parts: str) -> None:
        names = [f"/{part}" for part in parts]
        self.placer.suspects.suspect(names, "s", "ended", self.clock.now_ms())

    # Guards against requests with one suspect part that take several engines with them.
    def test_requests_with_a_suspect_part_share_one_engine(self) -> None:
        self._suspect("g")
        for at in range(12):
            self._submit(f"t{at}", "a1", parts=("g",))
            self._submit(f"other{at}", "a1", parts=("b",))
        self._pass_ms(CLEARING_MS + 100)
        at_risk = {engine for ticket, engine in self.granted.items() if ticket.startswith("t")}
        self.assertEqual(len(at_risk), 1)
        self.assertEqual(len(set(self.granted.values())), ENGINES)

    # Guards against a request that is placed on another engine after an answer broke off and before
    # the gateway has looked at the port of the engine that ended.
    def test_no_suspect_is_placed_while_a_gateway_finds_out_what_ended(self) -> None:
        self._suspect("g")
        self._submit("ran", "a1", parts=("g",))
        self._pass_ms(CLEARING_MS + 2 * STEP_MS)
        self.placer.release("ran", RunOutcome.BROKEN)
        self._submit("next", "a1", parts=("g",))
        self._submit("other", "a1", parts=("b",))
        self._pass_ms(REPORTING_MS - STEP_MS)
        self.assertIn("other", self.granted)
        self.assertNotIn("next", self.granted)
        self._pass_ms(2 * STEP_MS)
        self.assertIn("next", self.granted)

    # Guards against two suspects on one engine, whose end then tells nothing about either.
    def test_different_suspects_are_placed_on_different_engines(self) -> None:
        self._suspect("g", "b", "c")
        for part in ("g", "b", "c"):
            self._submit(part, "a1", parts=(part,))
        self._pass_ms(CLEARING_MS + 100)
        self.assertEqual(len(set(self.granted.values())), 3)

    # Guards against sound requests that wait although their part was answered.
    def test_an_answer_in_full_clears_a_part_at_once(self) -> None:
        self._submit("before", "a1", parts=("a",))
        self._pass_ms(STEP_MS)
        self._suspect("a")
        self._submit("after", "a1", parts=("a",))
        self._pass_ms(STEP_MS)
        self.assertNotIn("after", self.granted)
        self.placer.release("before", RunOutcome.DONE, RunTimes(20.0, 0.0, 0.0))
        self._pass_ms(STEP_MS)
        self.assertIn("after", self.granted)
        self.assertTrue(self.placer.suspects.is_empty)

    # Guards against an answer that failed and that clears the part that it failed under.
    def test_a_failure_clears_no_part(self) -> None:
        self._submit("before", "a1", parts=("a",))
        self._pass_ms(STEP_MS)
        self._suspect("a")
        self.placer.release("before", RunOutcome.DONE, RunTimes(0.0, 0.0, 0.0))
        self.assertIn("/a", self.placer.suspects)

    # Guards against a request that waits for its adapter on one engine, while others with the same
    # suspect part run on another.
    def test_a_request_that_waits_for_its_adapter_moves_to_the_engine_at_risk(self) -> None:
        self._submit("waits", "a2", parts=("g",))
        self._pass_ms(STEP_MS)
        loading = self.loads[0].instance
        self._suspect("g")
        self.placer.suspects.assigned(
            "runs", ["/g"], next(f"e{at}" for at in range(ENGINES) if f"e{at}" != loading)
        )
        self._pass_ms(1_000)
        self.assertNotEqual(self.granted.get("waits"), loading)

    # Guards against a request that waits for its adapter and is sent while a gateway finds out
    # whether an engine ended under its parts.
    def test_a_request_that_waits_for_its_adapter_waits_for_its_parts_in_question(self) -> None:
        self._submit("waits", "a2", parts=("g",))
        self._submit("other", "a3", parts=("b",))
        self._pass_ms(STEP_MS)
        self.assertNotIn("waits", self.granted)
        now_ms = self.clock.now_ms()
        self.placer.suspects.questions.ask(["/g"], "ended", now_ms, now_ms + 2_000)
        self._pass_ms(1_000)
        self.assertIn("other", self.granted)
        self.assertNotIn("waits", self.granted)
        self.placer.suspects.questions.settle(["/g"], "ended")
        self._pass_ms(1_000)
        self.assertIn("waits", self.granted)

    # Guards against a request that is held and waits until its deadline.
    def test_a_held_request_is_refused_at_once(self) -> None:
        self._submit("waits", "a9", parts=("g",))
        self._pass_ms(STEP_MS)
        self.placer.suspects.hold([(("/g",), 60_000)])
        self._submit("new", "a1", parts=("b", "g"))
        self._submit("sound", "a1", parts=("b",))
        self._pass_ms(STEP_MS)
        reasons = {ticket: one.reason for ticket, one in self.rejected.items()}
        self.assertEqual(reasons, dict.fromkeys(("waits", "new"), PART_ENDS_UPSTREAMS))
        self.assertEqual({one.retry_after_ms for one in self.rejected.values()}, {60_000})
        self.assertIn("sound", self.granted)
