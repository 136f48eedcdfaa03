"""Order of calls that wait for room, and of refused callers that come back."""

from __future__ import annotations

import unittest

from ..concurrency.fair_lane import MAX_GROUPS, FairLane
from ..concurrency.fair_rate import fair_rate
from ..concurrency.pace import Pace
from ..concurrency.return_book import EARLY_MS, LATE_MS, MAX_PROMISES, ReturnBook
from ..concurrency.room_queue import RoomQueue
from ..concurrency.turn_messages import AskTurn
from ..concurrency.waiting_call import WaitingCall
from ..signals import UpstreamLoad

FULL_LOAD = UpstreamLoad(6, 12, 6)
ANY = Pace(0.0, 0.1)


def _ask(number: int, rank: int = 1, organisation: str = "", kind: str = "k") -> AskTurn:
    return AskTurn(number, "s", (), organisation, rank, 800, 800, 300, kind)


def _waiting(asked: AskTurn, now_ms: int = 0, returned: bool = False) -> WaitingCall[str]:
    return WaitingCall(asked, "g", now_ms, now_ms + 240, now_ms + 700, returned)


class RoomQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue: RoomQueue[str] = RoomQueue()

    def _push(self, *asked: AskTurn, now_ms: int = 0, returned: bool = False) -> None:
        for one in asked:
            self.queue.push(_waiting(one, now_ms, returned), now_ms)

    def _taken(self, count: int) -> list[int]:
        found = []
        for _ in range(count):
            taken = self.queue.take(lambda call: "u")
            assert taken is not None
            found.append(taken[0].asked.number)
        return found

    def test_rank_goes_before_arrival(self) -> None:
        self._push(_ask(1, rank=2), _ask(2, rank=0), _ask(3, rank=1))
        self.assertEqual(self._taken(3), [2, 3, 1])

    # Guards against an organisation that gets the more turns the more calls it has waiting.
    def test_organisations_take_turns(self) -> None:
        self._push(*(_ask(at, organisation="hot") for at in range(50)))
        self._push(_ask(100, organisation="usual"), _ask(101, organisation="usual"))
        self.assertIn(101, self._taken(5))

    def test_kinds_take_turns(self) -> None:
        self._push(*(_ask(at, kind="many") for at in range(50)))
        self._push(_ask(100, kind="few"), _ask(101, kind="few"))
        self.assertIn(101, self._taken(5))

    # Guards against a kind that gets nothing while more urgent calls come.
    def test_every_kind_keeps_a_floor(self) -> None:
        self._push(*(_ask(at, rank=0, kind="urgent") for at in range(100)))
        self._push(*(_ask(1_000 + at, rank=3, kind="later") for at in range(20)))
        self.assertEqual(sum(one >= 1_000 for one in self._taken(66)), 6)

    # Guards against calls that are late already and make those late that could be in time.
    def test_calls_that_can_be_in_time_go_before_late_ones(self) -> None:
        self.queue.push(WaitingCall(_ask(1, rank=0), "g", 0, -1, 700), 0)
        self._push(_ask(2, rank=1))
        self.assertEqual(self._taken(2), [2, 1])

    # Guards against an organisation that pays for calls that were refused.
    def test_refused_calls_cost_their_organisation_nothing(self) -> None:
        self._push(*(_ask(at, organisation="o") for at in range(200)))
        refused = list(self.queue.refused(Pace(0.0, 0.01), 0))
        self.assertGreater(len(refused), 150)
        self.queue.remove_where(lambda call: True)
        self._push(_ask(1, organisation="other"), _ask(2, organisation="other"))
        self._push(_ask(3, organisation="o"))
        self.assertIn(3, self._taken(2))

    # Guards against calls that wait for most of their time and are refused then.
    def test_what_can_not_be_served_is_refused_at_once(self) -> None:
        self._push(*(_ask(at) for at in range(100)))
        refused = {one.call.asked.number for one in self.queue.refused(Pace(10.0, 0.1), 0)}
        self.assertEqual(len(self.queue), 100 - len(refused))
        self.assertEqual(refused, set(range(100 - len(refused), 100)))
        self.assertLessEqual(len(self.queue), 24)  # 240 ms at 0.1 calls per ms

    # Guards against calls that are kept although those of others go between them.
    def test_the_expected_wait_counts_what_others_ask_for(self) -> None:
        for at in range(40):
            self._push(_ask(at, organisation="o" if at % 2 else "p"))
        list(self.queue.refused(Pace(0.0, 0.1), 0))
        self.assertLessEqual(len(self.queue), 26)  # 240 ms at 0.1 calls per ms, one of each more

    def test_who_came_back_goes_before_newcomers(self) -> None:
        self._push(*(_ask(at) for at in range(5)))
        self._push(_ask(100), returned=True)
        self._push(_ask(101), returned=True)
        self.assertEqual(self._taken(2), [100, 101])

    # Guards against one call without an upstream that keeps all others waiting.
    def test_a_call_that_may_go_nowhere_keeps_none_back(self) -> None:
        self._push(_ask(1), _ask(2))
        taken = self.queue.take(lambda call: "u" if call.asked.number == 2 else "")
        assert taken is not None
        self.assertEqual(taken[0].asked.number, 2)

    def test_memory_is_bounded(self) -> None:
        lane: FairLane[str] = FairLane()
        for at in range(2_000):
            call = _waiting(_ask(at, kind=f"k{at}", organisation=f"o{at}"))
            lane.push(call, at)
            lane.serve(call)
        self.assertLessEqual(len(lane._groups), MAX_GROUPS)

    def test_the_fair_rate_is_what_others_leave_or_an_equal_share(self) -> None:
        self.assertEqual(fair_rate(10.0, []), 10.0)
        self.assertEqual(fair_rate(10.0, [2.0, 3.0]), 5.0)
        self.assertEqual(fair_rate(10.0, [20.0]), 5.0)
        self.assertEqual(fair_rate(9.0, [20.0, 1.0]), 4.0)


class ReturnBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = ReturnBook()
        self.flow = ("s", "k", "o")

    # Guards against callers that all come back at one moment.
    def test_each_gets_a_time_of_its_own(self) -> None:
        waits = [self.book.promise(self.flow, f"r{at}", 50.0, 0.1, 0) for at in range(20)]
        self.assertEqual(len(set(waits)), 20)
        self.assertEqual(waits[0], 50)
        other = self.book.promise(("s", "k", "p"), "x", 50.0, 0.1, 0)
        self.assertEqual(other, 50)

    # Guards against turns that all go to callers that were refused, and new ones that are late.
    def test_most_turns_are_left_to_new_callers(self) -> None:
        waits = [self.book.promise(self.flow, f"r{at}", 0.0, 0.1, 0) for at in range(11)]
        self.assertGreaterEqual(waits[-1] - waits[0], 2 * 10 / 0.1)

    def test_only_who_comes_when_told_has_come_back(self) -> None:
        wait_ms = self.book.promise(self.flow, "r", 500.0, 0.1, 0)
        self.assertFalse(self.book.claim("r", wait_ms - EARLY_MS - 1))
        self.assertFalse(self.book.claim("other", wait_ms))
        self.assertTrue(self.book.claim("r", wait_ms))
        self.assertFalse(self.book.claim("r", wait_ms))
        self.book.promise(self.flow, "q", 500.0, 0.1, 0)
        self.assertFalse(self.book.claim("q", 10_000 + LATE_MS))

    def test_endless_waits_and_memory_are_bounded(self) -> None:
        for at in range(2 * MAX_PROMISES):
            wait_ms = self.book.promise(("s", "k", f"{at}"), f"{at}", float("inf"), 0.0, 0)
        self.assertLessEqual(wait_ms, 10_000)
        self.assertLessEqual(len(self.book._promised), MAX_PROMISES)
        self.assertLessEqual(len(self.book._next_ms), MAX_PROMISES)
