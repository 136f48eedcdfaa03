"""The soak's judgement of why requests ended without an answer, or streams before their end."""

from __future__ import annotations

import json
import time
import unittest
from collections import Counter
from dataclasses import replace
from datetime import datetime

from soak.cause import Cause
from soak.disturbances import Disturbances
from soak.end_judge import EndJudge
from soak.harm import (
    HELPERS,
    LEADERS,
    closed_idle,
    ended,
    gateway_killed,
    gateway_paused,
    gateway_restarted,
    limited,
    links_cut,
    links_harmed,
    silent,
    slow,
)
from soak.limited_periods import LIMITED, LONGEST_S, NOT_LIMITED, STARTED, limited_periods
from soak.request_end import Ending, RequestEnd
from soak.send_log import SendLog
from soak.verdict import Verdict

from ..platform.standin.run_registry import RunRegistry

GATEWAY, OTHER, UPSTREAM, SECOND = "g:1", "g:2", "u:1", "u:2"
BROKEN = RequestEnd("a1", "long", GATEWAY, 100.0, 101.0, 2.5, Ending.BROKEN_OFF, 200)
GIVEN_UP = replace(BROKEN, ending=Ending.REFUSED, status=502)
UNANSWERED = replace(BROKEN, ending=Ending.NO_ANSWER, status=0)
SEND = "call: id=a1 content=x instance=i1~17 version=1 result=Lost {code} first=1 helped={helped}\n"
UNFINISHED = "call: id=a1 unfinished send=2 instance=i2~3 last_event=4 at_work=1 silent=9\n"
OVERTAKEN = "call: id=a1 overtaken send=1 instance=i1~17 by=i2~3 last_event=4 silent=1 ahead=0\n"
LATER = "call: id=a1 content=x instance=i2~3 version=1 result={result} first=1 helped=0\n"
LEFT = "call: id=a1 client closed its connection ms=3\n"


class EndJudgeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.disturbances = Disturbances()
        self.registry = RunRegistry()
        self.log = SEND.format(code="reset", helped=0)

    def _judge(self) -> EndJudge:
        return EndJudge(
            self.disturbances,
            self.registry,
            SendLog([self.log]),
            {"i1": UPSTREAM, "i2": SECOND},
            (GATEWAY, OTHER),
        )

    def _findings(self, one: RequestEnd) -> list[str]:
        verdict = Verdict()
        self._judge().check([one], verdict)
        return verdict.violations

    def _cause(self, one: RequestEnd) -> Cause | None:
        return self._judge().explain(one).cause

    # Guards against an end that is excused though the soak did nothing that causes it.
    def test_an_end_without_a_cause_is_a_finding(self) -> None:
        for one in (BROKEN, GIVEN_UP, UNANSWERED, replace(GIVEN_UP, status=500)):
            with self.subTest(one=one):
                self.assertIn("what nothing explains ended 1 requests", self._findings(one)[0])

    def test_answers_and_refusals_need_no_cause(self) -> None:
        whole = replace(BROKEN, ending=Ending.WHOLE)
        for one in (whole, *(replace(GIVEN_UP, status=status) for status in (404, 429, 503, 504))):
            with self.subTest(one=one):
                self.assertEqual(self._findings(one), [])

    # Guards against a second of silence that ends requests of a sound upstream.
    def test_an_end_beside_a_silence_is_a_finding_of_its_own(self) -> None:
        silences = ((silent(UPSTREAM), 0), (silent(LEADERS), 0), (silent(HELPERS), 1))
        told = {name: "a second of silence ended 1 requests" for name, _ in silences}
        told[slow(UPSTREAM)] = "a slow upstream ended 1 requests"
        for name, helped in (*silences, (slow(UPSTREAM), 0)):
            for one in (BROKEN, GIVEN_UP):
                with self.subTest(name=name, one=one):
                    self.setUp()
                    self.log = SEND.format(code="silent", helped=helped)
                    self.disturbances.record(name, 100.2, 100.9)
                    self.assertIn(told[name], self._findings(one)[0])

    def test_each_cause_explains_an_end(self) -> None:
        waited = replace(UNANSWERED, waited_out=True, ended_s=104.0)
        harms = (
            (gateway_killed(GATEWAY), BROKEN, Cause.GATEWAY_KILLED),
            (gateway_killed(GATEWAY), UNANSWERED, Cause.GATEWAY_KILLED),
            (gateway_paused(GATEWAY), waited, Cause.GATEWAY_PAUSED),
            (links_cut(GATEWAY), BROKEN, Cause.CONNECTION_HARMED),
            (links_harmed(UPSTREAM), GIVEN_UP, Cause.CONNECTION_HARMED),
            (closed_idle(UPSTREAM), GIVEN_UP, Cause.CONNECTION_HARMED),
            (ended(UPSTREAM), BROKEN, Cause.UPSTREAM_ENDED),
        )
        for name, one, cause in harms:
            with self.subTest(name=name):
                self.setUp()
                self.disturbances.record(name, 100.2, 100.9)
                self.assertIs(self._cause(one), cause)
                self.assertEqual(self._findings(one), [])
                self.setUp()
                self.disturbances.record(name, 90.0, 91.0)
                self.assertIsNone(self._cause(one))
        self.assertIs(self._cause(replace(BROKEN, left=True)), Cause.CLIENT_LEFT)
        self.assertIs(self._cause(replace(BROKEN, ended_s=102.5)), Cause.DEADLINE)
        self.registry.broken_off.add("a1")
        self.assertIs(self._cause(BROKEN), Cause.UPSTREAM_ENDED)

    # Guards against a silence that is blamed for a refusal by which an upstream asked for time.
    def test_a_refusal_by_upstreams_that_answered_is_explained_by_their_answers(self) -> None:
        self.log = SEND.format(code="503", helped=0).replace("Lost", "Failed")
        self.disturbances.record(silent(UPSTREAM), 100.2, 100.9)
        self.assertIs(self._cause(GIVEN_UP), Cause.UPSTREAM_FAILED)

    # Guards against a finding about a client that left as its late answer was on its way.
    def test_an_answer_that_crosses_the_end_of_its_deadline_is_explained_by_it(self) -> None:
        waited = replace(UNANSWERED, waited_out=True, ended_s=104.0)
        for log, cause in (
            (LATER.format(result="Delivered "), Cause.DEADLINE),
            (LATER.format(result="Refused full"), None),
            ("", None),
        ):
            with self.subTest(log=log):
                self.log = log
                self.assertIs(self._cause(waited), cause)
                self.assertIsNot(self._cause(UNANSWERED), Cause.DEADLINE)

    # Guards against a loss that is excused by a connection which the request wasn't sent on.
    def test_an_idle_connection_explains_no_request_that_arrived_or_was_given_up(self) -> None:
        self.disturbances.record(closed_idle(UPSTREAM), 100.5, 100.5)
        self.registry.reached["a1"] = Counter(i1=1)
        self.assertIsNone(self._cause(GIVEN_UP))
        self.log += SEND.format(code="full", helped=0).replace("Lost", "Refused")
        self.assertIs(self._cause(GIVEN_UP), Cause.CONNECTION_HARMED)
        self.registry.reached.clear()
        self.log = SEND.format(code="silent", helped=0)
        self.assertIsNone(self._cause(GIVEN_UP))

    # Guards against a gateway that leaves an engine that lives for one that fails or is too slow.
    def test_a_stream_whose_living_upstream_was_left_is_a_finding(self) -> None:
        late = replace(BROKEN, ended_s=102.5)
        for result, one in (("Failed 503", BROKEN), ("Lost silent", BROKEN), ("Lost reset", late)):
            with self.subTest(result=result):
                self.setUp()
                self.log = OVERTAKEN + LATER.format(result=result)
                told = f"i1 Overtaken', 'i2 {result}'"
                self.assertIsNone(self._cause(one))
                self.assertIn("leaving a living upstream ended 1 requests", self._findings(one)[0])
                self.assertIn(told, self._findings(one)[0])
                self.assertEqual(self._findings(replace(one, ending=Ending.WHOLE)), [])
        self.log = OVERTAKEN
        self.assertIsNone(self._cause(late))
        self.log += UNFINISHED
        self.assertIsNone(self._cause(late))
        self.assertIn("i1 Overtaken', 'i2 Unfinished at_work'", self._findings(late)[0])

    # Guards against a finding about a stream that its own deadline ended, at an upstream that had
    # written the next event while the one that was left was still silent.
    def test_a_stream_that_its_deadline_ends_at_the_upstream_ahead_is_no_finding(self) -> None:
        late = replace(BROKEN, ended_s=102.5)
        ahead = OVERTAKEN.replace("ahead=0", "ahead=1")
        self.log = ahead + UNFINISHED
        self.assertIs(self._cause(late), Cause.DEADLINE)
        self.assertIsNone(self._cause(BROKEN))
        for log in (
            OVERTAKEN + UNFINISHED,
            OVERTAKEN + ahead.replace("i1", "i2") + UNFINISHED,
            ahead + UNFINISHED.replace("at_work=1", "at_work=0"),
            ahead + LATER.format(result="Lost silent"),
            ahead,
        ):
            with self.subTest(log=log):
                self.log = log
                self.assertIsNone(self._cause(late))

    # Guards against a finding about a second send that was withdrawn while the first went on.
    def test_a_second_send_that_was_withdrawn_leaves_no_living_upstream(self) -> None:
        withdrawn = "call: id=a1 withdrawn send=2 instance=i2~3 last_event=4 silent=300\n"
        self.log = withdrawn + UNFINISHED.replace("i2~3", "i1~17")
        self.assertIs(self._cause(replace(BROKEN, ended_s=102.5)), Cause.DEADLINE)
        self.assertIsNone(self._cause(BROKEN))

    # Guards against findings where what the gateway left had ended, or what it went on with did.
    def test_a_harm_explains_a_stream_whose_upstream_was_left(self) -> None:
        self.log = OVERTAKEN + LATER.format(result="Failed 503")
        self.disturbances.record(ended(UPSTREAM), 100.2, 100.9)
        self.assertIs(self._cause(BROKEN), Cause.UPSTREAM_FAILED)
        self.assertIs(self._cause(replace(BROKEN, ended_s=102.5)), Cause.DEADLINE)
        self.setUp()
        self.log = OVERTAKEN + LATER.format(result="Lost reset")
        self.disturbances.record(links_harmed(SECOND), 100.2, 100.9)
        self.assertIs(self._cause(BROKEN), Cause.CONNECTION_HARMED)
        self.assertIsNone(self._cause(replace(GIVEN_UP, status=500)))
        self.log = OVERTAKEN + UNFINISHED
        self.assertIs(self._cause(replace(BROKEN, ended_s=102.5)), Cause.CONNECTION_HARMED)
        # A harm of before it was left isn't one of what the gateway went on with.
        self.log = LATER.format(result="Lost reset") + OVERTAKEN
        self.assertIsNone(self._cause(BROKEN))

    def test_a_helper_that_was_killed_explains_only_what_it_helped(self) -> None:
        self.disturbances.record(gateway_killed(OTHER), 100.2, 100.9)
        self.assertIsNone(self._cause(BROKEN))
        self.log = SEND.format(code="helper_lost", helped=0)
        self.assertIs(self._cause(BROKEN), Cause.GATEWAY_KILLED)

    # Guards against a gateway that closes a connection whose request it has read.
    def test_what_was_not_read_needs_a_reason_and_no_line_in_the_log(self) -> None:
        kept = replace(UNANSWERED, idle_s=0.5)
        self.log = ""
        self.assertIsNone(self._cause(UNANSWERED))
        self.assertIs(self._cause(replace(UNANSWERED, connected=False)), Cause.NOT_READ)
        self.assertIs(self._cause(replace(kept, idle_s=1.0)), Cause.NOT_READ)
        # A gateway that limits its connections at some other time explains nothing.
        self.disturbances.record(limited(GATEWAY), 98.0, 99.5)
        self.disturbances.record(limited(GATEWAY), 101.5, 103.0)
        self.disturbances.record(limited(OTHER), 100.2, 100.9)
        self.assertIsNone(self._cause(UNANSWERED))
        self.disturbances.record(limited(GATEWAY), 100.9, 102.0)
        self.assertIs(self._cause(UNANSWERED), Cause.NOT_READ)
        self.assertIsNone(self._cause(kept))
        self.disturbances.record(gateway_restarted(GATEWAY), 100.2, 100.9)
        self.assertIs(self._cause(kept), Cause.NOT_READ)
        self.log = LEFT
        self.assertIsNone(self._cause(kept))

    # Guards against a moment in the log that is taken for another one of the play.
    def test_the_periods_of_a_limit_are_read_from_the_log(self) -> None:
        ahead_s = time.time() - time.monotonic()
        said = (
            (100.0, LIMITED + " calls=9"),
            (102.5, NOT_LIMITED),
            (200.0, LIMITED + " calls=9"),
            (201.0, "call: id=a1"),
            (300.0, LIMITED + " calls=8"),
            (301.0, STARTED + " name=g"),
        )
        text = '{"time": "2026-' + LIMITED + "\n"
        for at_s, message in said:
            at = f"{datetime.fromtimestamp(at_s + ahead_s):%Y-%m-%d %H:%M:%S,%f}"[:-3]
            text += json.dumps({"time": at, "message": message}) + "\n"
        wanted = ((100.0, 102.5), (200.0, 200.0 + LONGEST_S), (300.0, 301.0))
        for period, (began_s, ended_s) in zip(limited_periods(text), wanted, strict=True):
            self.assertAlmostEqual(period[0], began_s, delta=0.05)
            self.assertAlmostEqual(period[1], ended_s, delta=0.05)

    def test_the_report_counts_the_ends_by_cause(self) -> None:
        verdict = Verdict()
        self.disturbances.record(gateway_killed(GATEWAY), 100.2, 100.9)
        self._judge().check([BROKEN, BROKEN, UNANSWERED, GIVEN_UP], verdict)
        self.assertEqual(
            verdict.lines(),
            [
                "broken off: its gateway was killed: 2",
                "no answer: its gateway was killed: 1",
                "refused 502: its gateway was killed: 1",
            ],
        )
