"""Safeguards against prompt parts that end engines, and changes that remove them."""

from __future__ import annotations

from ..mutant import Mutant

_FATAL = "chestnutfall.tests.test_suspect_parts.FatalPartTest."
_HELD = "chestnutfall.tests.test_suspect_parts.HeldPartTest."
_OTHER = "chestnutfall.tests.test_suspect_parts.OtherCauseTest."
_LEADERLESS = "chestnutfall.tests.test_unsettled_parts.LeaderlessPartTest."
_EVIDENCE = "chestnutfall.tests.test_part_evidence.PartEvidenceTest."
_PLACEMENT = "chestnutfall.tests.test_suspect_placement.SuspectPlacementTest."
_SUSPECTS = "chestnutfall/placement/suspect_parts.py"
_BLAME = "chestnutfall/control/part_blame.py"
_MONITOR = "chestnutfall/control/part_monitor.py"
_DECISIONS = "chestnutfall/placement/request_decisions.py"
_HOLD = "chestnutfall/forwarding/quarantine_hold.py"
_UNSURE = "chestnutfall.tests.test_unsure_ends.UnsureEndTest."
_CHECKS_TEST = "chestnutfall.tests.test_broken_answer_checks.BrokenAnswerChecksTest."
_CHECKS = "chestnutfall/quarantine/broken_answer_checks.py"

PART_MUTANTS = (
    Mutant(
        "a report that is sent again implicates parts of an end that is explained",
        "chestnutfall/control/part_ledger.py",
        "        if instance in self.explained:\n",
        "        if False:\n",
        _HELD + "test_ends_of_a_found_part_implicate_no_other_part_at_a_new_leader",
    ),
    Mutant(
        "a report that is sent again implicates parts that were cleared",
        "chestnutfall/control/part_ledger.py",
        "        return tuple(part for part in parts if part not in cleared)\n",
        "        return tuple(parts)\n",
        "chestnutfall.tests.test_part_ledger",
    ),
    Mutant(
        "a report that reaches a new leader late takes evidence away",
        "chestnutfall/control/part_end.py",
        "        more = [part for part in overlapping if part not in known_parts]\n",
        "        more = list(overlapping)\n",
        _EVIDENCE + "test_reports_that_reach_a_new_leader_late_take_no_evidence_away",
    ),
    Mutant(
        "an end that is told of after a later one overlaps it",
        "chestnutfall/control/last_ends.py",
        "_is_after(run, one) or _is_after(one, run)",
        "_is_after(run, one)",
        _EVIDENCE + "test_ends_that_are_told_of_in_any_order_count_as_separate",
    ),
    Mutant(
        "requests run with parts that can't be judged yet",
        _MONITOR,
        "            self._suspects.wait(worst, ended_ms + UNDECIDED_MS)\n",
        "            pass\n",
        _EVIDENCE + "test_a_part_waits_until_enough_else_is_answered_to_judge_it",
    ),
    Mutant(
        "parts that can't be judged wait without a bound",
        _MONITOR,
        "            self._suspects.wait(worst, ended_ms + UNDECIDED_MS)\n",
        "            self._suspects.wait(worst, self._clock.now_ms() + UNDECIDED_MS)\n",
        _EVIDENCE + "test_a_part_waits_for_other_answers_for_a_second_at_most",
    ),
    Mutant(
        "gateways send suspect parts on without a leader",
        "chestnutfall/forwarding/engine_upstream_selector.py",
        "        if self.is_unsettled(keys_of(req)):\n",
        "        if False:\n",
        _LEADERLESS + "test_what_the_leader_suspected_is_sent_by_no_gateway_without_one",
    ),
    Mutant(
        "a gateway knows suspect parts from the leader only",
        "chestnutfall/quarantine/unsettled_parts.py",
        "        if ended:\n            self.note_ended(parts, began_ms)\n",
        "",
        _LEADERLESS + "test_a_part_that_ended_an_engine_without_a_leader_ends_no_other",
    ),
    Mutant(
        "a new leader does not hear what the last one suspected",
        "chestnutfall/coordination/gateway_duties.py",
        "        parts.observations.told_suspects(session.suspect_parts)\n",
        "",
        "chestnutfall.tests.test_crash_monitor.SharedQuarantineTest."
        "test_suspect_parts_are_told_to_gateways_and_by_them_to_the_next_leader",
    ),
    Mutant(
        "callers of common parts wait for a leader after an end",
        "chestnutfall/forwarding/engine_upstream_selector.py",
        "            self.on_answered(keys_of(req))\n",
        "            pass\n",
        _LEADERLESS + "test_sound_requests_are_sent_without_a_leader_like_before",
    ),
    Mutant(
        "an answer without a leader leaves a suspicion of the last one",
        "chestnutfall/quarantine/unsettled_parts.py",
        "                del self._told[part]\n                found.append(part)\n",
        "                pass\n",
        "chestnutfall.tests.test_unsettled_parts.UnsettledPartsTest."
        "test_an_answer_settles_a_part_and_tells_of_what_the_leader_suspected",
    ),
    Mutant(
        "ends that no leader placed count like others",
        _BLAME,
        "    is_unsure = in_all > 1 or any(end.unplaced for end in ends)\n",
        "    is_unsure = in_all > 1\n",
        "chestnutfall.tests.test_part_evidence",
    ),
    Mutant(
        "an answer between two ends clears a part of neither",
        _MONITOR,
        "        if part not in self._suspects or self._suspects.answered_since(part, broke_ms):\n",
        "        if part not in self._suspects:\n",
        _EVIDENCE + "test_an_answer_between_two_ends_clears_a_part_of_the_first",
    ),
    Mutant(
        "an end that the leader did not know of yet is a separate one",
        _MONITOR,
        "max(known.broke_ms, run.broke_ms, known_ms)",
        "max(known.broke_ms, run.broke_ms)",
        _EVIDENCE + "test_ends_of_which_no_leader_knew_the_first_are_one_under_a_part",
    ),
    Mutant(
        "a part is blamed for fewer ends than another one was in",
        _BLAME,
        "    most = max((ranks[part] for part in end.parts()), default=0)\n",
        "    most = max(\n"
        "        (ranks[one] for one in end.parts() if _ends_to_hold(ledger, one) < math.inf),\n"
        "        default=0,\n"
        "    )\n",
        "chestnutfall.tests.test_part_ledger",
    ),
    Mutant(
        "parts are held together for one end that has them in the same requests",
        _BLAME,
        "    runs = (run for one in ledger.ends.values() for run in one.runs)\n",
        "    runs = iter(end.runs)\n",
        "chestnutfall.tests.test_part_ledger",
    ),
    Mutant(
        "a hold explains ends of requests with a part of it",
        "chestnutfall/control/part_end.py",
        "        return any(wanted.issubset(run.parts) for run in self.runs)\n",
        "        return wanted <= self.parts()\n",
        "chestnutfall.tests.test_part_ledger",
    ),
    Mutant(
        "a part that was answered shortly before is as suspect as one that never was",
        _BLAME,
        "    ranks.subtract(dict.fromkeys(ledger.known, ENDS_BY_CHANCE))\n",
        "",
        "chestnutfall.tests.test_part_ledger",
    ),
    Mutant(
        "the log does not keep which parts were answered before an end",
        "chestnutfall/control/control_state.py",
        "                self.crashes.parts.note_known(command.known_parts)\n",
        "",
        _EVIDENCE + "test_the_log_keeps_which_parts_were_answered_before_an_end",
    ),
    Mutant(
        "gateways don't tell which parts were answered",
        "chestnutfall/forwarding/result_handler.py",
        "                if self._quarantine.awaits_parts and progress.last_event is not None:\n",
        "                if False:\n",
        _OTHER + "test_engines_that_ended_without_a_leader_implicate_no_part",
    ),
    Mutant(
        "an answer clears parts of later ends",
        _MONITOR,
        "        later = [one for one in parts if self._breaks.last_ms(one) < answered_ms]\n",
        "        later = list(parts)\n",
        "chestnutfall.tests.test_part_ledger",
    ),
    Mutant(
        "an end that is told of after an answer implicates its parts",
        _MONITOR,
        "            parts = [one for one in parts if self._answers.last_ms(one) <= broke_ms]\n",
        "            parts = list(parts)\n",
        "chestnutfall.tests.test_part_ledger",
    ),
    Mutant(
        "the log does not keep which parts were cleared before an end was stored",
        "chestnutfall/control/control_state.py",
        "                self.crashes.parts.note_cleared(instance, command.cleared_parts)\n",
        "",
        "chestnutfall.tests.test_part_ledger.PartLedgerTest"
        ".test_parts_that_were_cleared_before_an_end_was_stored_stay_cleared",
    ),
    Mutant(
        "a new leader suspects the parts of an end that is explained",
        "chestnutfall/control/part_monitor.py",
        "            parts = self._ledger.unexplained(instance, parts)\n",
        "",
        "chestnutfall.tests.test_part_ledger",
    ),
    Mutant(
        "parts are never held",
        "chestnutfall/control/crash_monitor.py",
        "        if parts is None:\n            return\n",
        "        if True:\n            return\n",
        _FATAL + "test_requests_that_share_a_fatal_part_end_few_engines",
    ),
    Mutant(
        "requests with a suspect part run on any number of engines",
        _SUSPECTS,
        "            return [one for one in engines if one not in runs_at]\n",
        "            return ()\n",
        _PLACEMENT + "test_requests_with_a_suspect_part_share_one_engine",
    ),
    Mutant(
        "a suspect is placed before it is known what ended",
        "chestnutfall/placement/granted_places.py",
        "            self._suspects.broke(ticket, self._clock.now_ms())\n",
        "            pass\n",
        _PLACEMENT + "test_no_suspect_is_placed_while_a_gateway_finds_out_what_ended",
    ),
    Mutant(
        "requests with a suspect part are placed before it can be cleared",
        _SUSPECTS,
        "        if any(now_ms < one.placed_from_ms for one in suspicions):\n",
        "        if False:\n",
        _HELD + "test_probing_back_after_a_hold_costs_one_engine_at_most",
    ),
    Mutant(
        "answers clear no part",
        _SUSPECTS,
        "        self._cleared.update(cleared)\n        self.clear(cleared)\n",
        "",
        _OTHER + "test_parts_of_an_engine_that_ended_are_cleared_by_the_next_answers",
    ),
    Mutant(
        "a request that waits keeps its engine when its part becomes suspect",
        "chestnutfall/placement/stale_assignment.py",
        "    return not suspects.is_placed(waiting.req.ticket, waiting.part_keys)\n",
        "    return False\n",
        _PLACEMENT + "test_a_request_that_waits_for_its_adapter_moves_to_the_engine_at_risk",
    ),
    Mutant(
        "a request that waits for its adapter is placed in spite of a hold",
        _DECISIONS,
        "        elif (held_ms := self._held_ms(waiting)) is not None:\n",
        "        elif (held_ms := None) is not None:\n",
        _HELD + "test_requests_that_wait_as_the_hold_begins_are_refused",
    ),
    Mutant(
        "a gateway asks for a place in spite of a hold",
        _HOLD,
        "    if retry_ms is None and quarantine.holds_parts:\n",
        "    if False:\n",
        "chestnutfall.tests.test_held_parts.HeldPartsTest."
        "test_a_call_with_held_parts_is_refused_before_it_asks_for_a_place",
    ),
    Mutant(
        "a request is sent again before its engine's end is reported",
        "chestnutfall/forwarding/result_handler.py",
        "                progress.ended_upstream = await asyncio.shield(ending)\n",
        "                progress.ended_upstream = False\n",
        _FATAL + "test_a_request_is_not_sent_again_before_its_engines_port_was_looked_at",
    ),
    Mutant(
        "equal parts of two organisations count as one",
        "chestnutfall/requests/part_keys.py",
        "f\"{quote(organisation, safe='')}/{short_id(part_id)}\"",
        'f"/{short_id(part_id)}"',
        _FATAL + "test_a_part_is_held_for_the_organisation_whose_requests_ended_engines",
    ),
    Mutant(
        "the request's own part is one that others may share",
        "chestnutfall/requests/part_keys.py",
        "    shared = tuple(part_ids)[:-1]\n",
        "    shared = tuple(part_ids)\n",
        "chestnutfall.tests.test_part_keys.PartKeysTest.test_the_last_part_has_no_name",
    ),
    Mutant(
        "what one request does is blamed on its parts",
        _BLAME,
        "    if in_all == 1:\n",
        "    if False:\n",
        _OTHER + "test_a_request_that_ends_engines_by_itself_brings_no_part_into_disrepute",
    ),
    Mutant(
        "a part is held only after many ends where two requests are in all of them",
        _BLAME,
        "    if in_all == 1:\n",
        "    if in_all >= 1:\n",
        "chestnutfall.tests.test_part_ledger",
    ),
    Mutant(
        "a part of all prompts is held while nothing is answered",
        _BLAME,
        "    if not blamed or other_answers < MIN_OTHER_ANSWERS:\n",
        "    if not blamed:\n",
        _OTHER + "test_a_part_of_all_prompts_is_not_held_while_nothing_is_answered",
    ),
    Mutant(
        "ends of many engines at one moment count as many under a part",
        "chestnutfall/control/last_ends.py",
        "        return all(_is_after(run, one) or _is_after(one, run) for one in known)\n",
        "        return True\n",
        _OTHER + "test_engines_that_end_together_implicate_no_part",
    ),
    Mutant(
        "the end of an engine that leaves is blamed on what it ran",
        _MONITOR,
        "        if record is None or not record.leaving:\n",
        "        if True:\n",
        _OTHER + "test_an_engine_that_leaves_and_ends_implicates_no_part",
    ),
    Mutant(
        "an offender needs as many ends again after its hold",
        _BLAME,
        "    for offender in ledger.offenders():\n",
        "    for offender in ():\n",
        _HELD + "test_probing_back_after_a_hold_costs_one_engine_at_most",
    ),
    Mutant(
        "a part that is answered stays an offender",
        "chestnutfall/control/part_ledger.py",
        "            self._shrink(name, cleared)\n",
        "            pass\n",
        _HELD + "test_a_part_that_is_answered_after_its_hold_is_cleared",
    ),
    Mutant(
        "a new leader holds nothing",
        _MONITOR,
        '            suspects.suspect(parts_of(offender), ANY_SERVICE, "", clock.now_ms())\n'
        "        self.update_holds()\n",
        "            pass\n",
        "chestnutfall.tests.test_part_ledger.PartMonitorTest."
        "test_a_new_leader_knows_what_is_suspect_and_held",
    ),
    Mutant(
        "a prompt brings any number of parts",
        "chestnutfall/requests/part_keys.py",
        "    return tuple(dict.fromkeys(names))[:MAX_KEYS]\n",
        "    return tuple(dict.fromkeys(names))\n",
        "chestnutfall.tests.test_part_keys.PartKeysTest."
        "test_names_are_bounded_in_number_and_length",
    ),
    Mutant(
        "a part that was answered is blamed like one that never was",
        "chestnutfall/control/part_blame.py",
        "    counts.subtract(dict.fromkeys(ledger.answered, ENDS_BY_CHANCE))\n",
        "",
        "chestnutfall.tests.test_part_ledger",
    ),
    Mutant(
        "a look that does not tell shows no end",
        _CHECKS,
        "        if ended is None:\n            task",
        "        if False:\n            task",
        _UNSURE + "test_a_part_ends_few_engines_while_no_helper_confirms_that_they_ended",
    ),
    Mutant(
        "a closed port that no helper tells of is no end",
        "chestnutfall/paths/port_witness.py",
        "        return True if True in seen else None\n",
        "        return True in seen\n",
        "chestnutfall.tests.test_paths",
    ),
    Mutant(
        "a look that takes long is told of at its end",
        _CHECKS,
        "        await self._clock.sleep_ms(TOLD_AFTER_MS)\n",
        "        return\n",
        _CHECKS_TEST + "test_a_look_that_takes_long_is_told_of_before_it_ends",
    ),
    Mutant(
        "a look that does not tell is told of at the end of all looks",
        _CHECKS,
        "        if ended is None and not is_told:\n",
        "        if False:\n",
        _CHECKS_TEST + "test_the_port_is_looked_at_again_until_a_look_tells",
    ),
    Mutant(
        "looks that never tell go on",
        "chestnutfall/quarantine/port_looks.py",
        "not is_decided() and self._clock.now_ms() < until_ms",
        "not is_decided()",
        _CHECKS_TEST + "test_looks_that_never_tell_end",
    ),
    Mutant(
        "looks go on though another incarnation is there",
        "chestnutfall/quarantine/port_looks.py",
        "not is_decided() and self._clock.now_ms() < until_ms",
        "self._clock.now_ms() < until_ms",
        _CHECKS_TEST + "test_another_incarnation_ends_the_looks",
    ),
    Mutant(
        "a silent upstream is reported while it is looked at",
        _CHECKS,
        "        if not broken.is_silent:\n            log",
        "        if True:\n            log",
        _CHECKS_TEST + "test_an_upstream_that_is_only_silent_is_reported_only_as_ended",
    ),
    Mutant(
        "requests with parts in question are placed",
        _SUSPECTS,
        "        if self.questions.includes_any(keys):\n            return None\n",
        "",
        _UNSURE + "test_a_part_ends_few_engines_while_no_helper_confirms_that_they_ended",
    ),
    Mutant(
        "requests that wait on an engine are sent with parts in question",
        _SUSPECTS,
        "        if self.questions.includes_any(keys):\n            return False\n",
        "",
        _PLACEMENT + "test_a_request_that_waits_for_its_adapter_waits_for_its_parts_in_question",
    ),
    Mutant(
        "an answer leaves a part in question",
        _SUSPECTS,
        "        self.questions.clear(parts)\n",
        "",
        _UNSURE + "test_an_answer_settles_what_is_in_question",
    ),
    Mutant(
        "common parts wait like those that nothing is known of",
        _MONITOR,
        "            if one in answered_lately and",
        "            if False and",
        _UNSURE + "test_a_part_ends_few_engines_while_no_helper_confirms_that_they_ended",
    ),
    Mutant(
        "parts stay in question after it is known that the engine ended",
        "chestnutfall/control/crash_monitor.py",
        "        for parts in broken.parts.values():\n"
        "            self._parts.run_settled(instance, parts)\n",
        "",
        _EVIDENCE + "test_a_part_is_in_question_until_it_is_known_whether_its_engine_ended",
    ),
    Mutant(
        "parts stay in question after it is known that the engine lives",
        "chestnutfall/control/crash_monitor.py",
        "            self._parts.run_settled(report.instance, report.parts)\n",
        "            pass\n",
        _EVIDENCE + "test_a_part_is_in_question_until_it_is_known_whether_its_engine_ended",
    ),
    Mutant(
        "a report that is sent again asks about a part that was answered since",
        _MONITOR,
        "            if not self._suspects.answered_since(one, broke_ms)\n            and",
        "            if",
        _EVIDENCE + "test_a_report_that_comes_late_asks_of_no_part_that_was_answered_since",
    ),
    Mutant(
        "a new leader asks about breaks of long ago",
        _MONITOR,
        "        if now_ms >= broke_ms + QUESTION_MS:\n            return\n",
        "",
        _EVIDENCE + "test_a_report_that_comes_late_asks_of_no_part_that_was_answered_since",
    ),
    Mutant(
        "gateways are not told of parts in question",
        _SUSPECTS,
        "(*suspected, *self.questions.lasting(oldest_ms))",
        "suspected",
        _EVIDENCE + "test_a_part_is_in_question_until_it_is_known_whether_its_engine_ended",
    ),
    Mutant(
        "a common part that a release made fatal is placed after each unsure end",
        _MONITOR,
        ' and self._suspects.engine_of(one) in ("", instance)',
        "",
        _EVIDENCE + "test_a_common_part_in_two_unsure_ends_waits_like_others",
    ),
    Mutant(
        "an answer that a busy gateway has not read yet counts as none",
        "chestnutfall/quarantine/port_check.py",
        "        for _ in range(WAITS):\n"
        "            done, _ = await asyncio.wait({opening}, timeout=ANSWER_S / WAITS)\n",
        "        if True:\n"
        "            done, _ = await asyncio.wait({opening}, timeout=ANSWER_S)\n",
        "chestnutfall.tests.test_request_quarantine.PortCheckTest",
    ),
    Mutant(
        "parts that stay in question go anywhere after that",
        _SUSPECTS,
        "            self.suspect([part], ANY_SERVICE, instance, now_ms)\n",
        "            pass\n",
        _EVIDENCE + "test_a_part_that_stays_in_question_is_suspect",
    ),
    Mutant(
        "a port that is open again shows that its process never ended",
        "chestnutfall/quarantine/port_looks.py",
        "            if await self.look(address):\n",
        "            if await self.look(address) is not None:\n",
        _CHECKS_TEST + "test_the_port_is_looked_at_again_until_a_look_tells",
    ),
)
