"""Placement on engines that ask for backoff: which requests go elsewhere, wait or are refused."""

from __future__ import annotations

from ..signals.upstream_backoff import PROBE_MS
from .fakes.placement_case import SPEC, PlacementCase


class BackoffPlacementTest(PlacementCase):
    def _fill(self, engine_adapter: str, gateway: str = "g0") -> None:
        """Take all places of the engines that hold an adapter."""
        self.runs_on = True
        for at in range(4 * SPEC.batch):
            self._submit(f"{gateway}/fill-{at}", engine_adapter)
        self._pass_ms(400)

    # Guards against an engine that gets requests of a gateway which it asked for backoff.
    def test_a_gateway_that_was_asked_waits_rather_than_goes_there(self) -> None:
        self._engine("e1", "a1", "b1")
        self._engine("e2", "a1")
        self._back_off("e1", "g1", 60_000)
        for at in range(40):
            self._submit(f"g1/{at}", "a1")
        self._pass_ms(400)
        self.assertEqual(set(self.granted.values()), {"e2"})
        self._fill("a1", "g1")
        self.assertNotIn("e1", self.granted.values())

    # Guards against an engine that is withheld from gateways which it did not ask for backoff.
    def test_others_prefer_other_engines_and_try_it_now_and_then(self) -> None:
        self._engine("e1", "a1")
        self._engine("e2", "a1")
        self._back_off("e1", "g1", 60_000)
        for at in range(20):
            self._submit(f"g2/{at}", "a1")
            self._pass_ms(16)
        self.assertEqual(set(self.granted.values()), {"e2"})
        self.runs_on = True
        for at in range(200):
            self._submit(f"g2/full-{at}", "a1")
        self._pass_ms(4 * PROBE_MS)
        tries = sum(one == "e1" for one in self.granted.values())
        self.assertTrue(2 <= tries <= 6)

    # Guards against requests that wait for a load on such an engine and are sent when it ends.
    def test_who_waits_for_a_load_there_is_placed_anew(self) -> None:
        self._engine("e1")
        self._submit("g1/1", "a1")
        self._submit("g2/1", "a1")
        self._pass_ms(80)
        self.assertEqual([one.instance for one in self.loads], ["e1"])
        self._engine("e2")
        self._back_off("e1", "g1", 60_000)
        self._pass_ms(1_000)
        self.assertEqual(self.granted, {"g1/1": "e2", "g2/1": "e2"})

    # Guards against requests that wait until their deadline while no engine accepts them.
    def test_requests_that_no_engine_accepts_from_a_gateway_are_refused_at_once(self) -> None:
        for name in ("e1", "e2"):
            self._engine(name, "a1")
            self._back_off(name, "g1", 3_000)
        self._submit("g1/1", "a1")
        self._pass_ms(8)
        refusal = self.rejected["g1/1"]
        self.assertEqual(refusal.reason, "backing_off")
        self.assertGreater(refusal.retry_after_ms, 2_900)

    def test_a_request_that_is_in_time_after_the_backoff_is_kept(self) -> None:
        self._engine("e1", "a1")
        self._back_off("e1", "g1", 200)
        self._submit("g1/1", "a1")
        self._pass_ms(80)
        self.assertEqual((self.granted, self.rejected), ({}, {}))
        self._pass_ms(160)
        self.assertEqual(self.granted, {"g1/1": "e1"})

    # Guards against an adapter that stays only on an engine which is leaving.
    def test_an_adapter_of_a_leaving_engine_is_loaded_elsewhere(self) -> None:
        self._engine("e1", "a1")
        self._engine("e2")
        self._back_off("e1", "g1", None)
        self._submit("g2/1", "a1")
        self._pass_ms(400)
        self.assertEqual([one.instance for one in self.loads], ["e2"])
        self.assertEqual(self.granted, {"g2/1": "e2"})
