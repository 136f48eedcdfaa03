"""The check for a backoff just before each send: first, repeated and resumed sends.

After an upstream is selected and before the call is sent, an answer to another call may report that
the upstream is backing off. The call must then go to another upstream without using a repeat, and
the final answer must state correctly whether it ran.
"""

from __future__ import annotations

from ..forwarding.result_handler import BROKEN_RETRY_MS, MAX_SENDS
from ..forwarding.upstream_answer import NotRun
from ..placement import RunOutcome
from ..routes import RouteKind
from ..signals import NO_SIGNALS, AskedBackoff, UpstreamSignals
from .fakes.fake_upstreams import AnswerLost, Cut, ScriptedUpstreams, answer_with_signals
from .fakes.forwarder_case import ForwarderCase, event

ASKS_BACKOFF = UpstreamSignals(backoff=AskedBackoff(1_500))
LEAVING = UpstreamSignals(leaving=True)
WHOLE = (b"whole",)
NO_REPEATS = 0.0


class LastCheckTest(ForwarderCase):
    def setUp(self) -> None:
        super().setUp()
        self.signals_by_instance: dict[str, UpstreamSignals] = {}
        self.on_selected = self._record_signals

    def _record_signals(self) -> None:
        for instance, signals in self.signals_by_instance.items():
            self.signals.observe(instance, signals, 0, succeeded=False)

    def _sent_to(self, upstreams: ScriptedUpstreams) -> list[str]:
        return [one.upstream.instance for one in upstreams.sends]

    # Guards against sends to an upstream that started to back off after it was selected.
    async def test_a_first_send_goes_elsewhere_without_a_repeat(self) -> None:
        for signals in (ASKS_BACKOFF, LEAVING):
            for kind in (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT):
                with self.subTest(signals=signals, kind=kind):
                    self.setUp()
                    self.signals_by_instance = {"i0": signals}
                    upstreams = await self._serve(kind, (WHOLE, WHOLE), slack=NO_REPEATS)
                    self.assertEqual(self._sent_to(upstreams), ["i1"])
                    self.assertEqual((self.reply.status, self.reply.body), (200, b"whole"))
                    self.assertEqual(
                        self.selector.outcomes, [RunOutcome.WITHDRAWN, RunOutcome.DONE]
                    )

    async def test_a_repeat_goes_elsewhere_and_counts_once(self) -> None:
        self.signals_by_instance = {"i1": ASKS_BACKOFF, "i2": LEAVING}
        script = (NotRun.ABSENT, WHOLE, WHOLE, WHOLE)
        upstreams = await self._serve(RouteKind.NON_IDEMPOTENT, script, slack=4)
        self.assertEqual(self._sent_to(upstreams), ["i0", "i3"])
        self.assertEqual(self.reply.status, 200)

    async def test_a_run_is_resumed_elsewhere(self) -> None:
        self.signals_by_instance = {"i1": ASKS_BACKOFF}
        script = (Cut((event(1),)), (event(2),), (event(2),))
        upstreams = await self._serve(RouteKind.RESUMABLE_STREAM, script)
        self.assertEqual(self._sent_to(upstreams), ["i0", "i2"])
        self.assertEqual(self.reply.body, event(1) + event(2))

    # Guards against a caller that is told its call may have run when nothing was sent.
    async def test_a_call_that_was_only_held_back_is_called_not_run(self) -> None:
        self.signals_by_instance = {f"i{at}": ASKS_BACKOFF for at in range(MAX_SENDS + 2)}
        script = (WHOLE,) * (MAX_SENDS + 2)
        upstreams = await self._serve(RouteKind.NON_IDEMPOTENT, script)
        self.assertEqual((upstreams.sends, self.reply.status), ([], 503))
        self.assertEqual(self.reply.reason, "backing_off")
        self.assertGreaterEqual(self.reply.retry_after_ms or 0, BROKEN_RETRY_MS)

    async def test_a_call_that_ran_before_it_was_held_back_may_have_run(self) -> None:
        self.signals_by_instance = {f"i{at}": ASKS_BACKOFF for at in range(1, MAX_SENDS + 2)}
        script = (AnswerLost, *(WHOLE,) * (MAX_SENDS + 2))
        upstreams = await self._serve(RouteKind.IDEMPOTENT, script)
        self.assertEqual((self._sent_to(upstreams), self.reply.status), (["i0"], 502))

    # Guards against repeats that no upstream accepts, and a wrong retry time.
    async def test_a_call_that_all_turn_away_is_refused_with_the_time_that_is_left(self) -> None:
        for proves in (True, False):
            with self.subTest(proves=proves):
                self.setUp()
                self.held_back_for_ms = 1_500.0
                answer = answer_with_signals(ASKS_BACKOFF, 503 if proves else 429)
                upstreams = await self._serve(RouteKind.NON_IDEMPOTENT, (answer, WHOLE))
                self.assertEqual(len(upstreams.sends), 1)
                self.assertEqual(self.reply.status, 503 if proves else 429)
                if proves:
                    self.assertEqual(self.reply.retry_after_ms, 1_500)

    # Guards against a "not run" status from the last upstream when the first one ran the call.
    async def test_a_refusal_without_proof_says_nothing_of_the_sends_before(self) -> None:
        for status in (408, 421, 429, 503):
            with self.subTest(status):
                self.setUp()
                self.held_back_for_ms = 1_500.0
                refusal = answer_with_signals(ASKS_BACKOFF, status)
                object.__setattr__(refusal, "not_run", None)
                await self._serve(RouteKind.IDEMPOTENT, (AnswerLost, refusal))
                self.assertEqual(self.reply.status, 502)

    async def test_a_call_that_one_upstream_turns_away_goes_to_another(self) -> None:
        self.has_other = False  # by the loads that upstreams reported
        upstreams = await self._serve(
            RouteKind.NON_IDEMPOTENT, (answer_with_signals(ASKS_BACKOFF), WHOLE)
        )
        self.assertEqual((len(upstreams.sends), self.reply.status), (2, 200))
        self.assertEqual(self.selector.outcomes, [RunOutcome.TURNED_AWAY, RunOutcome.DONE])
        self.assertFalse(self.signals.may_send("i0"))

    # Guards against callers refused for lack of a repeat although the leader has some to give.
    async def test_a_repeat_is_borrowed_where_one_of_several_wants_time(self) -> None:
        self.leader_grants_repeats = True
        script = (answer_with_signals(ASKS_BACKOFF), WHOLE)
        upstreams = await self._serve(RouteKind.NON_IDEMPOTENT, script, slack=NO_REPEATS)
        self.assertEqual((len(upstreams.sends), self.reply.status), (2, 200))

    # Guards against a repeat that is spent although no upstream was selected for it.
    async def test_a_repeat_that_found_no_place_is_given_back(self) -> None:
        await self._serve(RouteKind.IDEMPOTENT, (NotRun.ABSENT,))
        self.assertEqual(self.reply.status, 503)
        self.assertEqual(self.repeats.unsent("s"), 1)

    # Guards against signals of another process at the same address.
    async def test_signals_of_another_incarnation_are_ignored(self) -> None:
        said = UpstreamSignals(backoff=AskedBackoff(9_000), leaving=True)
        replaced = answer_with_signals(said)
        object.__setattr__(replaced, "not_run", NotRun.REPLACED)
        await self._serve(RouteKind.IDEMPOTENT, (replaced, WHOLE))
        self.assertTrue(self.signals.may_send("i0"))
        self.assertEqual(self.selector.outcomes[0], RunOutcome.REPLACED)

    async def test_signals_of_a_success_count_like_those_of_a_refusal(self) -> None:
        answer = answer_with_signals(LEAVING, 200)
        await self._serve(RouteKind.IDEMPOTENT, (answer,))
        self.assertEqual((self.reply.status, self.reply.body), (200, b"said"))
        self.assertFalse(self.signals.may_send("i0"))
        self.assertNotEqual(answer.signals, NO_SIGNALS)
