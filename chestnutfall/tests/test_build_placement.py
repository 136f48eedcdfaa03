"""Placement in a service with several builds: who gets the engines of the scarce one."""

from __future__ import annotations

from ..placement import RunOutcome
from ..resumption import BUILD_GONE
from .fakes.placement_case import SPEC, STEP_MS, PlacementCase

ROUNDS = 400
ROUND_MS = 56
WARM_UP = 80
RUN_MS = 3_000


class BuildPlacementTest(PlacementCase):
    # Guards against a stream that is placed on an engine of another build, which is idle.
    def test_a_stream_is_placed_on_its_build_only(self) -> None:
        self.runs_on = True
        self._engine("e1", "a1", build="v1")
        self._engine("e2", "a1", build="v2")
        for at in range(8):
            self._submit(f"t{at}", "a1", build="v1")
        self._pass_ms(200)
        self.assertEqual(set(self.granted.values()), {"e1"})
        self.assertEqual(len(self.granted), 8)

    # Guards against a stream whose adapter only another build holds and that waits for it.
    def test_the_adapter_of_a_stream_is_loaded_on_its_build(self) -> None:
        self._engine("e1", build="v1")
        self._engine("e2", "a1", build="v2")
        self._submit("t", "a1", build="v1")
        self._pass_ms(1_000)
        self.assertEqual([one.instance for one in self.loads], ["e1"])
        self.assertEqual(self.granted, {"t": "e1"})

    # Guards against a stream that waits until its deadline for a build without an engine.
    def test_a_stream_whose_last_engine_is_gone_is_refused_at_once(self) -> None:
        self._engine("e1", "a1", build="v1")
        self._engine("e2", "a1", build="v2")
        self._submit("known", "a1", build="v3")
        self._submit("waits", "a9", build="v1")
        self._pass_ms(STEP_MS)
        self.assertEqual({t: one.reason for t, one in self.rejected.items()}, {"known": BUILD_GONE})
        self.placer.engine_down("e1")
        self._pass_ms(STEP_MS)
        self.assertEqual(self.rejected["waits"].reason, BUILD_GONE)

    # Guards against new streams that fill the last engine of a build while others are idle.
    def test_new_streams_leave_the_last_engine_of_a_build_to_those_that_go_on_there(self) -> None:
        self.runs_on = True
        self._engine("scarce", "a1", build="v1")
        for at in range(3):
            self._engine(f"e{at}", "a1", build="v2")
        ends: list[tuple[int, str]] = []
        late = 0
        for at in range(ROUNDS):
            self._submit(f"new-{at}", "a1")
            is_resumed = at % 8 == 0 and at > WARM_UP
            if is_resumed:
                self._submit(f"resumed-{at}", "a1", build="v1")
            known = set(self.granted)
            self._pass_ms(ROUND_MS)
            ends += [(self.clock.now_ms() + RUN_MS, one) for one in set(self.granted) - known]
            late += is_resumed and f"resumed-{at}" not in self.granted
            self._end_due(ends)
        self.assertEqual(late, 0)
        self.assertEqual(self.rejected, {})

    # Guards against places that stay reserved when no stream goes on there, or that idle while all
    # engines are full.
    def test_reserved_places_are_used_where_all_engines_are_full_and_end_with_the_need(
        self,
    ) -> None:
        self.runs_on = True
        self._engine("e1", "a1", build="v1")
        self._engine("e2", "a1", build="v2")
        for at in range(4):
            self._submit(f"resumed-{at}", "a1", build="v1")
        self._pass_ms(STEP_MS)
        self.assertGreater(self.placer.engines["e1"].reserved, 0)
        for at in range(2 * SPEC.batch - 4):
            self._submit(f"new-{at}", "a1")
        self._pass_ms(1_500)
        running = {name: len(one.running) for name, one in self.placer.engines.items()}
        self.assertEqual(running, {"e1": SPEC.batch, "e2": SPEC.batch})
        self._pass_ms(3_000)
        self.assertEqual(self.placer.engines["e1"].reserved, 0)

    def _end_due(self, ends: list[tuple[int, str]]) -> None:
        for due_ms, ticket in list(ends):
            if due_ms <= self.clock.now_ms():
                ends.remove((due_ms, ticket))
                self.placer.release(ticket, RunOutcome.DONE)
