"""A matrix of faults and request steps: each cell names a test, or why the fault can't happen.

`python -m chestnutfall.tests.fault_matrix > docs/FAULTS.md` writes the page, and
`test_fault_matrix` checks that it is current.
"""

from __future__ import annotations

from .signal_faults import BACKOFF_REQUESTED, ENGINE_LEAVING, SIGNAL_FAULTS

STEPS = (
    "accept",
    "authenticate",
    "claim",
    "ticket",
    "load",
    "dispatch",
    "first byte",
    "mid-stream",
    "last byte",
    "release",
    "hand-over",
)
FAULTS = (
    "crash",
    "restart empty",
    "silent connection",
    "reset",
    "delay",
    "duplicate",
    "reorder",
    "partition",
    "load failure",
    "wrong model",
    "short answer",
    "stale owner",
    "fatal request",
    "named limit",
    BACKOFF_REQUESTED,
    ENGINE_LEAVING,
)

_REQ = "test_request_faults.RequestFaultTest."
_ONCE = "test_at_most_once.AtMostOnceTest."
_OWN = "test_ownership.OwnershipTest."
_CFG = "test_configuration_in_force.ConfigurationInForceTest."
_PROC = "test_processes."
_LINK = "test_peer_link.PeerLinkTest."
_LIMIT = "test_limited_completions.LimitedCompletionTest."
_FATAL = "test_fatal_completions.FatalCompletionTest.test_no_gateway_sends_what_ended_three_engines"

_NO_UPSTREAM = "no engine is involved yet"
_NO_OWNER = "no owner is involved yet"
_NO_ANSWER = "no engine has answered yet"
_ONE_CONN = "one TCP connection delivers bytes once and in order"
_NOT_LOADING = "the adapter is loaded by now"
_NOT_RUN = "no engine runs it yet"
_LOCAL = "works on memory of this process only"

Cell = str
_DEFAULTS: dict[str, dict[str, Cell]] = {
    "accept": {
        "crash": "the caller's connection breaks; nothing was run for it",
        "restart empty": _NO_UPSTREAM,
        "silent connection": _PROC + "OfficeTest.test_body_that_trickles_in_is_given_up",
        "reset": "the handler is cancelled before anything is sent",
        "delay": _PROC + "OfficeTest.test_body_that_trickles_in_is_given_up",
        "duplicate": _ONE_CONN,
        "reorder": _ONE_CONN,
        "partition": _CFG + "test_gateway_that_is_cut_off_refuses_when_its_lease_is_over",
        "load failure": _NO_UPSTREAM,
        "wrong model": _PROC + "OfficeTest.test_bad_requests_get_clear_errors",
        "short answer": _NO_ANSWER,
        "stale owner": _NO_OWNER,
        "fatal request": _NOT_RUN,
        "named limit": _NO_UPSTREAM,
    },
    "authenticate": {
        "crash": "the caller's connection breaks; nothing was run for it",
        "restart empty": _CFG + "test_gateway_serves_nothing_before_its_first_confirmation",
        "silent connection": _CFG + "test_gateway_that_is_cut_off_refuses_when_its_lease_is_over",
        "reset": _LOCAL,
        "delay": _LOCAL,
        "duplicate": _CFG + "test_gaps_and_doubles_of_deltas_do_no_harm",
        "reorder": _CFG + "test_older_revision_is_never_applied",
        "partition": _CFG + "test_gateway_that_is_cut_off_refuses_when_its_lease_is_over",
        "load failure": _NO_UPSTREAM,
        "wrong model": _PROC + "OfficeTest.test_bad_requests_get_clear_errors",
        "short answer": _NO_ANSWER,
        "stale owner": _CFG + "test_older_revision_is_never_applied",
        "fatal request": _NOT_RUN,
        "named limit": _NO_UPSTREAM,
    },
    "claim": {
        "crash": _ONCE + "test_repeat_after_the_gateway_died_is_told_that_nothing_is_known",
        "restart empty": _ONCE + "test_claim_is_still_there_when_all_controllers_restart",
        "silent connection": _ONCE + "test_no_claim_no_run",
        "reset": _ONCE + "test_claim_whose_answer_was_lost_is_released",
        "delay": _ONCE + "test_repeat_while_it_runs_is_told_so",
        "duplicate": "properties.test_control_state.ClaimTest."
        "test_at_most_one_attempt_holds_a_claim_until_its_retention_is_over",
        "reorder": "properties.test_control_state.ClaimTest."
        "test_at_most_one_attempt_holds_a_claim_until_its_retention_is_over",
        "partition": _ONCE + "test_no_claim_no_run",
        "load failure": _NO_UPSTREAM,
        "wrong model": _ONCE + "test_same_key_for_another_request_is_refused",
        "short answer": _NO_ANSWER,
        "stale owner": "test_replica.ReplicaTest."
        "test_isolated_leader_stops_deciding_before_a_successor_can",
        "fatal request": _NOT_RUN,
        "named limit": _NO_UPSTREAM,
    },
    "ticket": {
        "crash": _OWN + "test_tickets_of_a_dead_gateway_are_freed_when_nothing_of_it_runs",
        "restart empty": _REQ + "test_engine_that_restarts_empty_is_loaded_again",
        "silent connection": _LINK + "test_owner_that_is_silent_is_given_up",
        "reset": _LINK + "test_stream_that_breaks_refuses_what_waits_and_comes_back",
        "delay": _LINK + "test_owner_that_is_silent_is_given_up",
        "duplicate": _LINK + "test_grant_that_nobody_waits_for_is_given_back",
        "reorder": _LINK + "test_grant_that_nobody_waits_for_is_given_back",
        "partition": _OWN + "test_owner_that_is_cut_off_stops_before_its_successor_begins",
        "load failure": _REQ + "test_load_that_fails_is_refused_with_a_time_to_come_back",
        "wrong model": "a ticket names the exact adapter; the engine is asked under that name",
        "short answer": _NO_ANSWER,
        "stale owner": _OWN + "test_owner_that_was_frozen_sends_no_order_when_it_wakes",
        "fatal request": _NOT_RUN,
        "named limit": _LIMIT
        + "test_where_all_are_limited_they_are_used_and_the_rest_is_told_at_once",
    },
    "load": {
        "crash": _OWN + "test_new_owner_does_not_evict_what_an_old_ticket_uses",
        "restart empty": _REQ + "test_engine_that_restarts_empty_is_loaded_again",
        "silent connection": _REQ + "test_order_whose_answer_was_lost_is_found_out_from_the_engine",
        "reset": _REQ + "test_order_whose_answer_was_lost_is_found_out_from_the_engine",
        "delay": _OWN + "test_owner_that_was_frozen_sends_no_order_when_it_wakes",
        "duplicate": "an order has the same effect twice; see standin.engine_core",
        "reorder": _OWN + "test_engine_that_checks_refuses_an_old_epoch",
        "partition": _OWN + "test_owner_that_is_cut_off_stops_before_its_successor_begins",
        "load failure": _REQ + "test_load_that_fails_is_refused_with_a_time_to_come_back",
        "wrong model": "an order names adapter, version and content digest",
        "short answer": _NO_ANSWER,
        "stale owner": _OWN + "test_engine_that_checks_refuses_an_old_epoch",
        "fatal request": _NOT_RUN,
        "named limit": "orders are no requests; who waits for the load gets a ticket by the limit",
    },
    "dispatch": {
        "crash": _ONCE + "test_repeat_after_the_gateway_died_is_told_that_nothing_is_known",
        "restart empty": _REQ + "test_engine_that_restarts_empty_is_loaded_again",
        "silent connection": _REQ + "test_non_idempotent_requests_are_never_dispatched_twice",
        "reset": _REQ + "test_non_idempotent_requests_are_never_dispatched_twice",
        "delay": _REQ + "test_non_idempotent_requests_are_never_dispatched_twice",
        "duplicate": "we dispatch an attempt once; its id is new for each attempt",
        "reorder": _ONE_CONN,
        "partition": _REQ + "test_not_run_is_said_only_when_nothing_ran",
        "load failure": _NOT_LOADING,
        "wrong model": "an engine without that exact name refuses",
        "short answer": _NO_ANSWER,
        "stale owner": _REQ + "test_gateway_without_a_session_dispatches_nothing",
        "fatal request": _FATAL,
        "named limit": _LIMIT + "test_one_of_two_engines_gets_what_it_says_it_takes",
    },
    "first byte": {
        "crash": _ONCE + "test_repeat_after_the_gateway_died_is_told_that_nothing_is_known",
        "restart empty": _REQ + "test_stream_that_can_not_be_resumed_breaks_visibly",
        "silent connection": _REQ + "test_idempotent_requests_are_repeated_and_come_back_whole",
        "reset": _REQ + "test_idempotent_requests_are_repeated_and_come_back_whole",
        "delay": _REQ + "test_idempotent_requests_are_repeated_and_come_back_whole",
        "duplicate": _REQ + "test_event_that_comes_twice_is_dropped_and_counted",
        "reorder": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "partition": _REQ + "test_idempotent_requests_are_repeated_and_come_back_whole",
        "load failure": _NOT_LOADING,
        "wrong model": _REQ + "test_non_idempotent_requests_are_never_dispatched_twice",
        "short answer": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "stale owner": _OWN + "test_new_owner_does_not_evict_what_an_old_ticket_uses",
        "fatal request": _FATAL,
        "named limit": _LIMIT + "test_a_limit_that_ended_holds_nobody_back",
    },
    "mid-stream": {
        "crash": _ONCE + "test_repeat_after_the_gateway_died_is_told_that_nothing_is_known",
        "restart empty": _REQ + "test_stream_that_can_not_be_resumed_breaks_visibly",
        "silent connection": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "reset": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "delay": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "duplicate": _REQ + "test_event_that_comes_twice_is_dropped_and_counted",
        "reorder": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "partition": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "load failure": _NOT_LOADING,
        "wrong model": _REQ + "test_event_of_another_answer_is_never_passed_on",
        "short answer": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "stale owner": _OWN + "test_new_owner_does_not_evict_what_an_old_ticket_uses",
        "fatal request": _FATAL,
        "named limit": _LIMIT + "test_a_resumed_run_counts_as_a_request",
    },
    "last byte": {
        "crash": _ONCE + "test_repeat_after_the_gateway_died_is_told_that_nothing_is_known",
        "restart empty": _REQ + "test_stream_that_can_not_be_resumed_breaks_visibly",
        "silent connection": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "reset": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "delay": "the answer is whole with its last event; what follows is not waited for",
        "duplicate": _REQ + "test_event_that_comes_twice_is_dropped_and_counted",
        "reorder": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "partition": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "load failure": _NOT_LOADING,
        "wrong model": _REQ + "test_event_of_another_answer_is_never_passed_on",
        "short answer": _REQ + "test_broken_streams_are_resumed_without_a_second_run",
        "stale owner": _OWN + "test_new_owner_does_not_evict_what_an_old_ticket_uses",
        "fatal request": _FATAL,
        "named limit": "the first byte named it already",
    },
    "release": {
        "crash": _OWN + "test_tickets_of_a_dead_gateway_are_freed_when_nothing_of_it_runs",
        "restart empty": _REQ + "test_engine_that_restarts_empty_is_loaded_again",
        "silent connection": _OWN
        + "test_tickets_of_a_dead_gateway_are_freed_when_nothing_of_it_runs",
        "reset": _REQ + "test_caller_that_leaves_frees_its_place_on_the_engine",
        "delay": "the pin lasts longer; nothing else waits for it",
        "duplicate": "ending a ticket twice changes nothing the second time",
        "reorder": "attempt ids are unique, so an end finds only its own ticket",
        "partition": _OWN + "test_tickets_of_a_dead_gateway_are_freed_when_nothing_of_it_runs",
        "load failure": _NOT_LOADING,
        "wrong model": "the answer is over",
        "short answer": "the answer is over",
        "stale owner": _OWN + "test_new_owner_does_not_evict_what_an_old_ticket_uses",
        "fatal request": "the answer is over",
        "named limit": "the answer is over",
    },
    "hand-over": {
        "crash": _OWN + "test_new_owner_does_not_evict_what_an_old_ticket_uses",
        "restart empty": _REQ + "test_engine_that_restarts_empty_is_loaded_again",
        "silent connection": _OWN + "test_owner_that_is_cut_off_stops_before_its_successor_begins",
        "reset": _LINK + "test_stream_that_breaks_refuses_what_waits_and_comes_back",
        "delay": _OWN + "test_owner_that_was_frozen_sends_no_order_when_it_wakes",
        "duplicate": "a heartbeat replaces the one before; each is answered in full",
        "reorder": "a gateway has one heartbeat on its way at a time",
        "partition": _OWN + "test_engines_move_to_a_new_gateway_without_two_owners",
        "load failure": "the load is repeated by the new owner when it is asked for",
        "wrong model": "ownership does not touch names",
        "short answer": _PROC + "DrainTest.test_graceful_stop_cuts_off_no_stream",
        "stale owner": _OWN + "test_owner_that_leaves_hands_over_at_once",
        "fatal request": "an engine that ended gets an owner like any that restarts empty",
        "named limit": _LIMIT + "test_the_next_owner_knows_the_limit",
    },
}

CALLER_SEES = {
    "accept": "a typed error with `executed: no`, or a closed connection",
    "authenticate": "401 or 403; 503 `configuration_unconfirmed` when nothing may be decided",
    "claim": "503 `claim_unavailable`, not run; 409 with the state of the first run on a repeat",
    "ticket": "nothing while an owner moves (up to 5 s), else 503, not run, with `Retry-After`",
    "load": "a wait, or 503 `adapter_load_failed`, not run, with `Retry-After`",
    "dispatch": "nothing if it can be repeated; else 502 with `executed: unknown`",
    "first byte": "nothing if it can be repeated; else 502 with `executed: unknown`",
    "mid-stream": "nothing if the run can be resumed; else an error event and a broken transfer",
    "last byte": "as mid-stream; an answer without its end mark never looks whole",
    "release": "nothing; the answer is over",
    "hand-over": "nothing, or a wait of seconds",
}


def cell(step: str, fault: str) -> Cell:
    """Return the name of the test for a fault at a step, or why it can't happen there."""
    return (_DEFAULTS[step] | SIGNAL_FAULTS[step])[fault]


def is_test(text: Cell) -> bool:
    """Return whether a cell names a test; otherwise it holds a reason."""
    return "Test." in text


def render() -> str:
    """Return the whole page as Markdown."""
    lines = [
        "# Faults",
        "",
        "Every fault at every step of a request. Generated from "
        "`chestnutfall/tests/fault_matrix.py`; a test keeps both equal and every named test real.",
        "",
        "| step | what the caller sees |",
        "|---|---|",
        *(f"| {step} | {CALLER_SEES[step]} |" for step in STEPS),
    ]
    for step in STEPS:
        lines += ["", f"## {step}", "", "| fault | test, or why it can't happen |", "|---|---|"]
        for fault in FAULTS:
            text = cell(step, fault)
            lines.append(f"| {fault} | {f'`{text}`' if is_test(text) else text} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(render(), end="")
