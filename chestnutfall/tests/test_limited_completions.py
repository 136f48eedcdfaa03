"""Limits that engines declare for completions, on the native interface, with several gateways."""

from __future__ import annotations

from ..platform.standin.limit_history import SETTLE_MS, LimitHistory
from ..requests import Executed
from .fakes.completion_case import CompletionCase

LIMIT_PER_S = 8.0
MIN_USED = 0.8
"""Fraction of a limit that is used while callers ask for far more."""


class LimitedCompletionTest(CompletionCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.history = LimitHistory()

    def _declare(self, number: int, per_s: float = LIMIT_PER_S) -> int:
        """Let an engine declare a limit; return the clock time."""
        self.office.engine(number).limit = f"{per_s}"
        self.history.note_limit(self.office.clock.now_ms(), per_s)
        return self.office.clock.now_ms()

    def _check(self, number: int) -> None:
        arrivals = self.office.engine(number).arrivals
        self.assertEqual(list(self.history.excesses(arrivals)), [])

    # Guards against engines that declare a limit and receive as many completions as before.
    async def test_one_of_two_engines_gets_what_it_says_it_takes(self) -> None:
        await self.office.start(gateways=3, engines=2)
        await self._load(1_000)
        limited = 0 if self.office.engine(0).arrivals else 1
        self._declare(limited)
        await self._load(10_000)
        self._check(limited)
        self.assertEqual(self.refusals, [])

    # Guards against callers that wait and are then refused when every engine is limited.
    async def test_where_all_are_limited_they_are_used_and_the_rest_is_told_at_once(self) -> None:
        await self.office.start(gateways=3, engines=1)
        await self._load(1_000)
        declared_ms = self._declare(0)
        await self._load(14_000)
        self._check(0)
        used = sum(at_ms >= declared_ms + SETTLE_MS for at_ms in self.office.engine().arrivals)
        self.assertGreaterEqual(used, MIN_USED * LIMIT_PER_S * 11)
        self.assertEqual({one.executed for one in self.refusals}, {Executed.NO})
        self.assertEqual({one.code for one in self.refusals}, {"limited"})
        self.assertGreater(min(one.retry_after_ms or 0 for one in self.refusals), 0)

    # Guards against losing an engine's limit when another gateway becomes its owner.
    async def test_the_next_owner_knows_the_limit(self) -> None:
        await self.office.start(gateways=3, engines=1)
        declared_ms = self._declare(0, 2.0)
        await self._load(4_000)
        self.office.engine().head_ms = 1_500
        await self.office.owner().kill()
        await self._load(16_000)
        self._check(0)
        late = sum(at_ms > declared_ms + 14_000 for at_ms in self.office.engine().arrivals)
        self.assertGreater(late, 0)

    # Guards against resumed runs that are sent in addition to a limit.
    async def test_a_resumed_run_counts_as_a_request(self) -> None:
        await self.office.start(gateways=2, engines=1)
        await self._load(1_000)
        self.office.engine().faults["mid_reset"] = 1_000
        self._declare(0)
        await self._load(9_000)
        self._check(0)

    # Guards against a limit that stays after the engine stops declaring it.
    async def test_a_limit_that_ended_holds_nobody_back(self) -> None:
        await self.office.start(gateways=2, engines=1)
        self._declare(0)
        await self._load(4_000)
        self.office.engine().limit = None
        await self._load(3_000)
        before = len(self.office.engine().arrivals)
        await self._load(2_000)
        self.assertGreaterEqual(len(self.office.engine().arrivals) - before, 80)
