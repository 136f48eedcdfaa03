"""Mutants of the safeguards of calls whose upstreams fall silent."""

from __future__ import annotations

from ..mutant import Mutant

_FORWARDING = "chestnutfall/forwarding"
_TESTS = "chestnutfall.tests"
_QUARANTINE = "chestnutfall/quarantine/request_quarantine.py"
_CALL_SENDS = f"{_FORWARDING}/call_sends.py"
_LIVE_SENDS = f"{_FORWARDING}/live_sends.py"
_OTHER_PLACE = f"{_FORWARDING}/other_place.py"
_OVERTAKEN = f"{_FORWARDING}/overtaken_upstreams.py"
_RELAYED_SEND = f"{_FORWARDING}/relayed_send.py"
_REPEATS = f"{_FORWARDING}/repeats.py"
_REPLY_LOCK = f"{_FORWARDING}/reply_lock.py"
_RESULT_HANDLER = f"{_FORWARDING}/result_handler.py"
_SILENT_UPSTREAMS = f"{_FORWARDING}/silent_upstreams.py"
_WAY_BACK = f"{_FORWARDING}/way_back.py"

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
        "        if self._holder is not None and self._holder() is not send:\n",
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
        "a run that was overtaken goes on beside the answer",
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
        _OVERTAKEN,
        "    return progress.attempts + added < route.attempts\n",
        "    return progress.attempts < route.attempts\n",
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
        "            self.search.add_done_callback(partial(_give_back, selector))\n",
        "",
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
        "sound upstreams without sends count as silent",
        _SILENT_UPSTREAMS,
        "(one in speaking or one.is_at_rest(now_ms))",
        "one in speaking",
        f"{_TESTS}.test_silent_upstreams.SilentUpstreamsTest",
    ),
    Mutant(
        "what was heard counts as a whole answer",
        _SILENT_UPSTREAMS,
        "now_ms - self.answered_ms < REMEMBERED_MS",
        "now_ms - self.heard_ms < REMEMBERED_MS",
        f"{_TESTS}.test_silent_upstreams.SilentUpstreamsTest",
    ),
    Mutant(
        "what was heard long ago counts as sound",
        _SILENT_UPSTREAMS,
        "        return is_idle and now_ms - self.answered_ms < REMEMBERED_MS\n",
        "        return is_idle\n",
        f"{_TESTS}.test_silent_upstreams.SilentUpstreamsTest",
    ),
    Mutant(
        "an upstream that is remembered as silent counts as sound",
        _SILENT_UPSTREAMS,
        "        is_idle = not self.usual_ms and self.quiet_since_ms is None\n",
        "        is_idle = not self.usual_ms\n",
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
        "        return least_ms <= self.quiet_ms(now_ms) < lasting_ms(usual_ms)\n",
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
        "chestnutfall/quarantine/broken_answer_checks.py",
        "        if is_known and (ended or not broken.is_silent):\n",
        "        if is_known:\n",
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
        "            task.exception()\n" "        self._on_ended()\n",
        "            task.exception()\n",
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
        "        least_ms = max(window_ms, WINDOW_SHARE * usual_ms)\n",
        "        least_ms = window_ms\n",
        f"{_TESTS}.test_silent_upstreams",
    ),
    Mutant(
        "a call that stops waiting for a port check ends it for others",
        "chestnutfall/quarantine/port_looks.py",
        "        return await asyncio.shield(look)\n",
        "        return await look\n",
        f"{_TESTS}.test_silent_services.SilentEndTest."
        "test_a_search_that_ends_leaves_the_port_check_to_others",
    ),
    Mutant(
        "an end that a search found is lost with the search",
        _OTHER_PLACE,
        "            await asyncio.shield(ending)\n",
        "            await ending\n",
        f"{_TESTS}.test_silent_services.SilentEndTest."
        "test_an_end_that_a_search_found_is_reported_though_the_search_ends",
    ),
    Mutant(
        "a client that reads a whole answer slowly makes its engine look silent",
        _RELAYED_SEND,
        "        self.progress.note_part(self._clock.now_ms())\n        self._begin_writing()\n",
        "        self.progress.note_part(self._clock.now_ms())\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_client_that_reads_slowly_is_no_silence",
    ),
    Mutant(
        "a client that reads the end of a stream slowly makes its engine look silent",
        _RELAYED_SEND,
        "        self._begin_writing()\n        await self._start(answer)\n        if rest",
        "        await self._start(answer)\n        if rest",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_a_client_that_leaves_a_whole_answer_blames_no_engine",
    ),
    Mutant(
        "an unexpected error of one send ends a living other one",
        f"{_FORWARDING}/sender.py",
        "            if sending.is_writing or not is_fault(exc):\n",
        "            if True:\n",
        f"{_TESTS}.test_second_sends.SecondSendTest."
        "test_a_second_send_that_fails_leaves_the_first_alone",
    ),
    Mutant(
        "an error of the client's connection is taken for a lost answer",
        f"{_FORWARDING}/sender.py",
        "            if sending.is_writing or not is_fault(exc):\n",
        "            if not is_fault(exc):\n",
        f"{_TESTS}.test_call_faults.CallFaultsTest.test_a_fault_of_the_reply_is_never_repeated",
    ),
    Mutant(
        "an upstream that was overtaken is not gone back to",
        f"{_FORWARDING}/progress.py",
        "        self.note_run(instance)\n" "        self.overtaken.append(instance)\n",
        "        self.note_run(instance)\n" "        self.avoid.append(instance)\n",
        f"{_TESTS}.test_overtaken_runs",
    ),
    Mutant(
        "to go back to an upstream is one more attempt",
        f"{_FORWARDING}/progress.py",
        "            self.overtaken.remove(instance)\n"
        "        else:\n"
        "            self.attempts += 1\n",
        "            self.overtaken.remove(instance)\n" "        self.attempts += 1\n",
        f"{_TESTS}.test_overtaken_runs",
    ),
    Mutant(
        "a stream goes to and fro between silent upstreams",
        _CALL_SENDS,
        "        return lasting_ms(usual_ms) if is_spent else math.ceil(usual_ms)\n",
        "        return math.ceil(sends[-1].usual_ms)\n",
        f"{_TESTS}.test_overtaken_runs",
    ),
    Mutant(
        "slow upstreams that are silent together hang",
        _SILENT_UPSTREAMS,
        "    return max(LASTING_MS, math.ceil(usual_ms) + BEYOND_USUAL_MS)\n",
        "    return LASTING_MS\n",
        f"{_TESTS}.test_silent_upstreams.SilentUpstreamsTest",
    ),
    Mutant(
        "a call at slow upstreams keeps the processor busy",
        _CALL_SENDS,
        "        return lasting_ms(usual_ms) if is_spent else math.ceil(usual_ms)\n",
        "        return 2_000 if is_spent else math.ceil(usual_ms)\n",
        f"{_TESTS}.test_second_send_bounds",
    ),
    Mutant(
        "a call that has used its attempts selects another upstream",
        _OVERTAKEN,
        "    if not again and not may_be_new:\n"
        "        raise NoPlace(NO_ATTEMPT, NO_ATTEMPT_RETRY_MS)\n",
        "",
        f"{_TESTS}.test_overtaken_runs",
    ),
    Mutant(
        "a refusal of a call without attempts costs a repeat",
        _RESULT_HANDLER,
        "        may_go = not is_useless and self._may_go(progress, route)\n",
        "        may_go = not is_useless\n",
        f"{_TESTS}.test_overtaken_runs",
    ),
    Mutant(
        "a begun stream without numbers is sent again",
        _RESULT_HANDLER,
        "        return route.kind.idempotent and may_go_on and self._may_go(progress, route)\n",
        "        return route.kind.idempotent and self._may_go(progress, route)\n",
        f"{_TESTS}.test_second_send_bounds",
    ),
    Mutant(
        "a stream goes back while the next upstream may be sound",
        _OTHER_PLACE,
        "            goes_back=_hang(live),\n",
        "            goes_back=True,\n",
        f"{_TESTS}.test_overtaken_runs",
    ),
    Mutant(
        "a place beyond the attempts is used",
        _OVERTAKEN,
        "    if place.upstream.instance in again:\n" "        return place\n",
        "    if True:\n" "        return place\n",
        f"{_TESTS}.test_overtaken_runs",
    ),
    Mutant(
        "an upstream that failed is preferred to one that was left",
        _OVERTAKEN,
        "    if place.upstream.instance not in all_avoided.avoid:\n",
        "    if True:\n",
        f"{_TESTS}.test_overtaken_runs",
    ),
    Mutant(
        "a run goes on for the overlap beside another one that goes on with the stream",
        _CALL_SENDS,
        "                self._live.leave_overtaken()\n",
        "                pass\n",
        f"{_TESTS}.test_overtaken_runs",
    ),
    Mutant(
        "a run is left for the head of another one",
        _RELAYED_SEND,
        "            self.is_at_work = True\n",
        "            self.is_at_work = True\n" "            self._lock.acquire(self)\n",
        f"{_TESTS}.test_overtaken_runs",
    ),
    Mutant(
        "a stream ends as the only other upstream is full",
        _RESULT_HANDLER,
        "        is_useless = is_full and not place.has_other and not progress.overtaken\n",
        "        is_useless = is_full and not place.has_other\n",
        f"{_TESTS}.test_overtaken_runs",
    ),
    Mutant(
        "the leader is not told which engines may run a call",
        "chestnutfall/forwarding/engine_upstream_selector.py",
        "            (*criteria.avoid, *self._others(criteria)),\n",
        "            criteria.avoid,\n",
        f"{_TESTS}.test_upstream_selectors.EngineUpstreamSelectorTest",
    ),
    Mutant(
        "a call that certain upstreams may run gets any other",
        f"{_FORWARDING}/place.py",
        "        if self.only and upstream.instance not in self.only:\n",
        "        if False:\n",
        f"{_TESTS}.test_upstream_selectors.PlainUpstreamSelectorTest",
    ),
    Mutant(
        "the place of a send that never began stays taken",
        _LIVE_SENDS,
        "        if not sending.is_released:\n",
        "        if False:\n",
        f"{_TESTS}.test_second_send_bounds.SecondSendBoundsTest."
        "test_the_place_of_a_send_that_never_began_is_given_back",
    ),
    Mutant(
        "clients that read slowly keep calls from leaving hung upstreams",
        _SILENT_UPSTREAMS,
        "        if len(self.usual_ms) <= self.writing:\n",
        "        if not self.usual_ms:\n",
        f"{_TESTS}.test_silent_services.ManySilentTest."
        "test_a_hung_upstream_is_left_as_quickly_beside_slow_clients",
    ),
    Mutant(
        "a client that reads slowly hides a silence from other sends",
        _SILENT_UPSTREAMS,
        "        if known.writing >= len(known.usual_ms):\n",
        "        if True:\n",
        f"{_TESTS}.test_silent_upstreams",
    ),
    Mutant(
        "an event without end ends the call with an internal error",
        f"{_FORWARDING}/event_splitter.py",
        '            raise AnswerLost("event_too_large")\n',
        '            raise ValueError("event_too_large")\n',
        f"{_TESTS}.test_endless_answers.EndlessAnswerTest."
        "test_what_is_held_for_one_event_is_bounded",
    ),
    Mutant(
        "a begun stream ends as another engine calls its request wrong",
        _RESULT_HANDLER,
        "            (failed.status >= 500 or progress.started)\n",
        "            failed.status >= 500\n",
        f"{_TESTS}.test_overtaken_runs",
    ),
    Mutant(
        "a call waits for a place until its client has left",
        f"{_FORWARDING}/place_wait.py",
        "    by_ms = progress.until_ms - place_margin_ms(progress)\n",
        "    by_ms = progress.until_ms + 1_000\n",
        f"{_TESTS}.test_place_wait",
    ),
    Mutant(
        "the last send of a call costs a repeat though nothing went out",
        _RESULT_HANDLER,
        "            self._give_repeat_back(progress)\n",
        "            pass\n",
        f"{_TESTS}.test_left_runs.LeftRunTest."
        "test_a_send_that_finds_no_connection_costs_no_repeat",
    ),
    Mutant(
        "a run is left though the call can't go back to it",
        _CALL_SENDS,
        "        if reason:\n",
        "        if False:\n",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "a run that hangs is left only with a way back",
        _CALL_SENDS,
        '        reason = "" if hangs else self._parts.way_back.keep(self._progress, newest)\n',
        "        reason = self._parts.way_back.keep(self._progress, newest)\n",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "a call without a way back is sent to and fro",
        _OTHER_PLACE,
        "        self.next_ms = self._clock.now_ms() + left_ms\n",
        "",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "no repeat is kept for the way back",
        _WAY_BACK,
        "        if not self._repeats.spend_for_silence(progress.service):\n",
        "        if False:\n",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "a run is left too late to go back to it",
        _WAY_BACK,
        "        if progress.sends >= MAX_SENDS or now_ms + back_ms > progress.until_ms:\n",
        "        if progress.sends >= MAX_SENDS:\n",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "the repeat for the way back is used to go elsewhere",
        _OVERTAKEN,
        "    if progress.goes_back:\n",
        "    if False:\n",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "a call that hangs can't use its way back",
        _OTHER_PLACE,
        "            may_go = _hang(live)\n",
        "            may_go = False\n",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "the way back costs another repeat",
        _OTHER_PLACE,
        "        if place.upstream.instance in progress.overtaken and "
        "self._way_back.use(progress):\n",
        "        if False:\n",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "a repeat for the way back is kept beside an answer that goes on",
        _CALL_SENDS,
        "                    self._parts.way_back.give_back(self._progress)\n",
        "                    pass\n",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "a repeat for the way back is lost with its call",
        f"{_FORWARDING}/forwarder.py",
        "            self._way_back.give_back(progress)\n",
        "",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "a repeat is returned after it left the window",
        _REPEATS,
        "        if self._clock.now_ms() - taken_ms >= self._bounds.window_ms:\n",
        "        if False:\n",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "the last send goes elsewhere",
        _WAY_BACK,
        "    return progress.sends + 1 >= MAX_SENDS\n",
        "    return False\n",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "a silence of the length of the overlap is a failure",
        _LIVE_SENDS,
        "            newest.sending.note_silent()\n",
        "            pass\n",
        f"{_TESTS}.test_left_runs",
    ),
    Mutant(
        "a stream moves from one slow upstream to the next",
        _WAY_BACK,
        "            return HAS_MOVED\n",
        '            return ""\n',
        f"{_TESTS}.test_left_runs",
    ),
)
