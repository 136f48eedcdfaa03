"""Two columns of the fault matrix: engines that ask for a backoff, and leaving engines."""

from __future__ import annotations

BACKOFF_REQUESTED = "asks for time"
ENGINE_LEAVING = "says it leaves"

_BACKOFF_TEST = "test_backoff_completions.BackoffCompletionTest."
_NO_ENGINE = "no engine is involved yet"
_SIGNAL_READ = "the first byte said it already"
_ANSWER_ENDED = "the answer is over"

SIGNAL_FAULTS: dict[str, dict[str, str]] = {
    "accept": {BACKOFF_REQUESTED: _NO_ENGINE, ENGINE_LEAVING: _NO_ENGINE},
    "authenticate": {BACKOFF_REQUESTED: _NO_ENGINE, ENGINE_LEAVING: _NO_ENGINE},
    "claim": {BACKOFF_REQUESTED: _NO_ENGINE, ENGINE_LEAVING: _NO_ENGINE},
    "ticket": {
        BACKOFF_REQUESTED: _BACKOFF_TEST
        + "test_a_ticket_in_hand_is_not_used_when_its_engine_asked_for_time",
        ENGINE_LEAVING: _BACKOFF_TEST
        + "test_an_engine_that_leaves_is_not_asked_for_whatever_its_owner_knows",
    },
    "load": {
        BACKOFF_REQUESTED: "orders are no requests; who waits for the load gets no ticket there",
        ENGINE_LEAVING: "orders are no requests; who waits for the load gets no ticket there",
    },
    "dispatch": {
        BACKOFF_REQUESTED: _BACKOFF_TEST
        + "test_one_of_two_engines_gets_its_time_and_callers_lose_nothing",
        ENGINE_LEAVING: _BACKOFF_TEST + "test_an_engine_that_says_that_it_leaves_gets_nothing_more",
    },
    "first byte": {
        BACKOFF_REQUESTED: _BACKOFF_TEST + "test_where_all_ask_for_time_callers_are_told_at_once",
        ENGINE_LEAVING: _BACKOFF_TEST + "test_an_engine_that_says_that_it_leaves_gets_nothing_more",
    },
    "mid-stream": {
        BACKOFF_REQUESTED: _BACKOFF_TEST + "test_a_run_is_resumed_when_the_time_is_over",
        ENGINE_LEAVING: _BACKOFF_TEST + "test_a_run_is_resumed_at_an_engine_that_leaves",
    },
    "last byte": {BACKOFF_REQUESTED: _SIGNAL_READ, ENGINE_LEAVING: _SIGNAL_READ},
    "release": {BACKOFF_REQUESTED: _ANSWER_ENDED, ENGINE_LEAVING: _ANSWER_ENDED},
    "hand-over": {
        BACKOFF_REQUESTED: "each gateway keeps to it by itself, whoever owns the engine",
        ENGINE_LEAVING: _BACKOFF_TEST
        + "test_an_engine_that_leaves_is_not_asked_for_whatever_its_owner_knows",
    },
}
