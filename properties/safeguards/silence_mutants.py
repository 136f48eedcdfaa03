"""Mutants of the safeguards of calls whose upstreams fall silent."""

from __future__ import annotations

from ..mutant import Mutant

_FORWARDING = "chestnutfall/forwarding"
_TESTS = "chestnutfall.tests"
_QUARANTINE = "chestnutfall/quarantine/request_quarantine.py"
_CALL_SENDS = f"{_FORWARDING}/call_sends.py"
_LIVE_SENDS = f"{_FORWARDING}/live_sends.py"
_OTHER_PLACE = f"{_FORWARDING}/other_place.py"
_RELAYED_SEND = f"{_FORWARDING}/relayed_send.py"
_REPEATS = f"{_FORWARDING}/repeats.py"
_REPLY_LOCK = f"{_FORWARDING}/reply_lock.py"
_RESULT_HANDLER = f"{_FORWARDING}/result_handler.py"
_SILENT_UPSTREAMS = f"{_FORWARDING}/silent_upstreams.py"

SILENCE_MUTANTS = (
    Mutant(
        "a silent send is given up before another place is found",
        _RELAYED_SEND,
        "            silent_ms=left_ms + PAST_DEADLINE_MS,\n",
        "            silent_ms=self.usual_ms,\n",
        f"{_TESTS}.test_silence.SilenceTest." "test_streams_outlive_a_silent_second_of_all_engines",
    ),
    Mutant(
        "a run that another one has overtaken writes on",
        _REPLY_LOCK,
        "        if self._holder is not None and self._holder is not send:\n",
        "        if False:\n",
        f"{_TESTS}.test_silent_upstreams.ReplyLockTest",
    ),
    Mutant(
        "an event out of order is judged before who holds the lock",
        _RELAYED_SEND,
        "            self._lock.check(self)\n",
        "",
        f"{_TESTS}.test_second_sends.SecondSendTest."
        "test_a_run_that_is_overtaken_has_nothing_more_to_say",
    ),
    Mutant(
        "the lock stays with a silent run",
        _LIVE_SENDS,
        "        self._lock.release()\n",
        "",
        f"{_TESTS}.test_second_sends.SecondSendTest."
        "test_a_begun_stream_is_resumed_elsewhere_and_the_silent_run_ends",
    ),
    Mutant(
        "two runs of a begun stream go on side by side",
        _CALL_SENDS,
        "            self._live.leave_older()\n",
        "            pass\n",
        f"{_TESTS}.test_second_sends.SecondSendTest."
        "test_the_silent_run_of_a_begun_stream_ends_after_the_overlap",
    ),
    Mutant(
        "a run without an event ends with the overlap",
        _CALL_SENDS,
        "        if not self._progress.resumes or len(self._live) == 1:\n",
        "        if len(self._live) == 1:\n",
        f"{_TESTS}.test_second_sends.SecondSendTest."
        "test_of_two_runs_without_an_event_both_go_on_until_one_begins",
    ),
    Mutant(
        "a loser runs on beside the answer",
        _LIVE_SENDS,
        "        one.task.cancel()\n" "        self._live.remove(one)\n",
        "        self._live.remove(one)\n",
        f"{_TESTS}.test_second_sends.SecondSendTest."
        "test_the_other_run_ends_with_the_first_event",
    ),
    Mutant(
        "a silent call that may run once is sent twice",
        _CALL_SENDS,
        "        if not self._route.kind.idempotent or progress.sends >= MAX_SENDS:\n",
        "        if progress.sends >= MAX_SENDS:\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_call_that_may_run_once_is_never_sent_twice",
    ),
    Mutant(
        "sends in progress do not count as attempts",
        _CALL_SENDS,
        "        return progress.runs + max(len(self._live), 1) < self._route.attempts\n",
        "        return progress.runs < self._route.attempts\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_silent_sends_keep_to_the_attempts_of_the_route",
    ),
    Mutant(
        "a place is used after the silence has ended",
        _OTHER_PLACE,
        "        if any(not one.is_silent for one in live):\n" "            return",
        "        if False:\n" "            return",
        f"{_TESTS}.test_silence.SilenceTest."
        "test_a_place_that_is_found_as_the_upstream_speaks_is_given_back",
    ),
    Mutant(
        "a place that is not used stays taken",
        _OTHER_PLACE,
        "            live[0].selector.release(place, RunOutcome.WITHDRAWN, NO_TIMES, None)\n",
        "",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_silent_upstream_is_not_sent_the_call_again",
    ),
    Mutant(
        "a place that a stopped search found stays taken",
        _OTHER_PLACE,
        "            selector.release(self.search.result(), "
        "RunOutcome.WITHDRAWN, NO_TIMES, None)\n",
        "            pass\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_place_found_as_the_client_leaves_is_given_back",
    ),
    Mutant(
        "a silent upstream is sent the call again",
        _OTHER_PLACE,
        "        if any(one.place.upstream.instance == place.upstream.instance for one in live):\n",
        "        if False:\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_silent_upstream_is_not_sent_the_call_again",
    ),
    Mutant(
        "a second send costs no repeat",
        _OTHER_PLACE,
        "        if not self._repeats.spend_for_silence(place.upstream.service):\n",
        "        if False:\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_second_send_that_did_not_go_out_costs_no_repeat",
    ),
    Mutant(
        "a second send that did not go out costs a repeat",
        _RESULT_HANDLER,
        "        if sending.took_repeat:\n",
        "        if False:\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_second_send_that_did_not_go_out_costs_no_repeat",
    ),
    Mutant(
        "silence may use the whole budget",
        _REPEATS,
        "        return self._budget(service).spend(self._gateways(), SILENCE_SHARE)\n",
        "        return self._budget(service).spend(self._gateways())\n",
        f"{_TESTS}.test_silent_upstreams.SilenceShareTest",
    ),
    Mutant(
        "a quarantined call looks for another upstream",
        _OTHER_PLACE,
        "        if quarantine_hold(self._quarantine, newest.progress):\n",
        "        if False:\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_call_that_is_quarantined_meanwhile_is_not_asked_for",
    ),
    Mutant(
        "a call that was quarantined during the search is sent again",
        _OTHER_PLACE,
        "        if quarantine_hold(self._quarantine, live[0].progress):\n",
        "        if False:\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_call_that_is_quarantined_meanwhile_is_not_sent_again",
    ),
    Mutant(
        "each call leaves a service that is silent",
        _SILENT_UPSTREAMS,
        "        return SERVICE_SILENT if silent > ",
        '        return "" if silent > ',
        f"{_TESTS}.test_silent_upstreams.SilentUpstreamsTest",
    ),
    Mutant(
        "each call leaves a gateway that is silent",
        _SILENT_UPSTREAMS,
        "        if len(paused) >= MIN_PAUSED and not speaking:\n",
        "        if False:\n",
        f"{_TESTS}.test_silent_upstreams.SilentUpstreamsTest",
    ),
    Mutant(
        "calls leave as a silent service begins to speak",
        _SILENT_UPSTREAMS,
        "            return SERVICE_RESUMES\n",
        '            return ""\n',
        f"{_TESTS}.test_silent_services.ManySilentTest."
        "test_a_second_in_which_all_are_silent_costs_next_to_no_repeat",
    ),
    Mutant(
        "upstreams that hang keep calls from leaving",
        _SILENT_UPSTREAMS,
        "        return least_ms <= self.quiet_ms(now_ms) < LASTING_MS\n",
        "        return least_ms <= self.quiet_ms(now_ms)\n",
        f"{_TESTS}.test_silent_upstreams.SilentUpstreamsTest",
    ),
    Mutant(
        "upstreams that are gone are remembered for ever",
        _SILENT_UPSTREAMS,
        "            self._forget_idle(now_ms)\n",
        "",
        f"{_TESTS}.test_silent_upstreams.SilentUpstreamsTest",
    ),
    Mutant(
        "a silent second is reported as an end",
        _QUARANTINE,
        "        if ended or not broken.is_silent:\n",
        "        if True:\n",
        f"{_TESTS}.test_silent_services.SilentEndTest",
    ),
    Mutant(
        "an engine that fell dark is not reported",
        _RESULT_HANDLER,
        "            self._quarantine.note_broken(\n"
        "                progress.fingerprint,\n"
        "                upstream.instance,\n"
        "                upstream.address,\n"
        "                sending.sent_ms,\n"
        "                progress.part_keys,\n"
        "                is_silent=True,\n"
        "            )\n",
        "            pass\n",
        f"{_TESTS}.test_silent_services.SilentEndTest",
    ),
    Mutant(
        "a prompt goes on before its dark engine is found",
        _OTHER_PLACE,
        "        if progress.part_keys and await self._quarantine.has_ended(upstream.address):\n",
        "        if False:\n",
        f"{_TESTS}.test_silent_services.SilentEndTest."
        "test_a_prompt_whose_engine_fell_dark_needs_a_leader",
    ),
    Mutant(
        "a hung upstream looks as good as any other",
        _RELAYED_SEND,
        "        return RunOutcome.BROKEN if self.is_silent and not self._is_noted else "
        "RunOutcome.LEFT\n",
        "        return RunOutcome.LEFT\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_call_that_waits_for_a_hung_engine_to_its_deadline_reports_it",
    ),
    Mutant(
        "an upstream that was overtaken counts as broken",
        _RELAYED_SEND,
        "        return RunOutcome.BROKEN if self.is_silent and not self._is_noted else "
        "RunOutcome.LEFT\n",
        "        return RunOutcome.BROKEN\n",
        f"{_TESTS}.test_second_sends.SecondSendTest." "test_a_run_that_speaks_again_first_goes_on",
    ),
    Mutant(
        "a stream of one version is recorded as one of another",
        _RELAYED_SEND,
        "                is_recorded = self.place.is_recorded and not self.progress.is_searched\n",
        "                is_recorded = self.place.is_recorded\n",
        f"{_TESTS}.test_second_sends.SecondSendTest."
        "test_the_leader_learns_which_of_two_versions_began_the_stream",
    ),
    Mutant(
        "a late search leaves a stream recorded wrongly",
        _CALL_SENDS,
        "            self._parts.origins.confirm(self._progress)\n",
        "",
        f"{_TESTS}.test_second_sends.SecondSendTest."
        "test_the_leader_learns_it_also_if_a_search_ends_after_the_beginning",
    ),
    Mutant(
        "a search that fails ends the call",
        _OTHER_PLACE,
        "            self._note_failed(live[0], exc)\n",
        "            raise exc\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_search_that_fails_leaves_the_call_alone",
    ),
    Mutant(
        "a failed send takes a living one with it",
        _LIVE_SENDS,
        "            if len(self._live) == 1:\n",
        "            if True:\n",
        f"{_TESTS}.test_second_sends.SecondSendTest."
        "test_a_second_send_that_fails_leaves_the_first_alone",
    ),
    Mutant(
        "sends of a client that left run on",
        _LIVE_SENDS,
        "        for one in ending:\n" "            one.task.cancel()\n",
        "        for one in ending:\n" "            break\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_client_that_leaves_ends_both_sends",
    ),
    Mutant(
        "a leader is asked for places without pause",
        _OTHER_PLACE,
        "        self.next_ms = self._clock.now_ms() + LOOK_AGAIN_MS\n",
        "",
        f"{_TESTS}.test_silence.SilenceTest."
        "test_a_silent_call_asks_for_a_place_at_a_bounded_rate",
    ),
    Mutant(
        "an earlier alarm waits for a later one",
        f"{_FORWARDING}/alarms.py",
        "        elif due_ms < self._until_ms:\n",
        "        elif False:\n",
        f"{_TESTS}.test_alarms",
    ),
    Mutant(
        "the end of a send is not noticed",
        _LIVE_SENDS,
        "        task.add_done_callback(lambda _: self._on_ended())\n",
        "",
        f"{_TESTS}.test_second_sends.SecondSendTest."
        "test_a_call_moves_to_another_upstream_as_soon_as_before",
    ),
    Mutant(
        "the end of a search is not noticed",
        _OTHER_PLACE,
        "        self.search.add_done_callback(lambda _: self._wake_up())\n",
        "",
        f"{_TESTS}.test_second_sends.SecondSendTest."
        "test_a_call_moves_to_another_upstream_as_soon_as_before",
    ),
    Mutant(
        "the leader learns of a silent engine when its request has moved",
        "chestnutfall/forwarding/engine_upstream_selector.py",
        "        self._fleet.send(SilentRun(place.ticket))\n",
        "        pass\n",
        f"{_TESTS}.test_silent_runs",
    ),
    Mutant(
        "a silent plain upstream gets calls until the first one has moved",
        "chestnutfall/forwarding/plain_upstream_selector.py",
        "        self._state_of(place.upstream).health.note(RunOutcome.BROKEN, "
        "self._clock.now_ms())\n",
        "        pass\n",
        f"{_TESTS}.test_upstream_selectors.PlainUpstreamSelectorTest",
    ),
    Mutant(
        "a silence counts once more as the request moves",
        _RELAYED_SEND,
        "        return RunOutcome.BROKEN if self.is_silent and not self._is_noted else "
        "RunOutcome.LEFT\n",
        "        return RunOutcome.BROKEN if self.is_silent else RunOutcome.LEFT\n",
        f"{_TESTS}.test_second_sends",
    ),
    Mutant(
        "a call's own silent upstreams keep it",
        _SILENT_UPSTREAMS,
        "if name not in instances]\n",
        "if name != instances[-1]]\n",
        f"{_TESTS}.test_silent_upstreams",
    ),
    Mutant(
        "upstreams that take their usual time keep calls from leaving others",
        _SILENT_UPSTREAMS,
        "        least_ms = max(window_ms, WINDOW_SHARE * min(self.usual_ms))\n",
        "        least_ms = window_ms\n",
        f"{_TESTS}.test_silent_upstreams",
    ),
    Mutant(
        "an event without end ends the call with an internal error",
        f"{_FORWARDING}/event_splitter.py",
        '            raise AnswerLost("event_too_large")\n',
        '            raise ValueError("event_too_large")\n',
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_an_event_without_end_is_a_lost_answer",
    ),
)
