"""Two columns of the fault matrix: engines that ask for a backoff, and leaving engines."""

from __future__ import annotations

ASKS_FOR_TIME = "asks for time"
SAYS_IT_LEAVES = "says it leaves"

_BACKOFF_TEST = "test_backoff_completions.BackoffCompletionTest."
_NO_ENGINE = "no engine is involved yet"
_SIGNAL_READ = "the first byte said it already"
_ANSWER_ENDED = "the answer is over"

SIGNAL_FAULTS: dict[str, dict[str, str]] = {
    "accept": {ASKS_FOR_TIME: _NO_ENGINE, SAYS_IT_LEAVES: _NO_ENGINE},
    "authenticate": {ASKS_FOR_TIME: _NO_ENGINE, SAYS_IT_LEAVES: _NO_ENGINE},
    "claim": {ASKS_FOR_TIME: _NO_ENGINE, SAYS_IT_LEAVES: _NO_ENGINE},
    "ticket": {
        ASKS_FOR_TIME: _BACKOFF_TEST
        + "test_a_ticket_in_hand_is_not_used_when_its_engine_asked_for_time",
        SAYS_IT_LEAVES: _BACKOFF_TEST
        + "test_an_engine_that_leaves_is_not_asked_for_whatever_its_owner_knows",
    },
    "load": {
        ASKS_FOR_TIME: "orders are no requests; who waits for the load gets no ticket there",
        SAYS_IT_LEAVES: "orders are no requests; who waits for the load gets no ticket there",
    },
    "dispatch": {
        ASKS_FOR_TIME: _BACKOFF_TEST
        + "test_one_of_two_engines_gets_its_time_and_callers_lose_nothing",
        SAYS_IT_LEAVES: _BACKOFF_TEST + "test_an_engine_that_says_that_it_leaves_gets_nothing_more",
    },
    "first byte": {
        ASKS_FOR_TIME: _BACKOFF_TEST + "test_where_all_ask_for_time_callers_are_told_at_once",
        SAYS_IT_LEAVES: _BACKOFF_TEST + "test_an_engine_that_says_that_it_leaves_gets_nothing_more",
    },
    "mid-stream": {
        ASKS_FOR_TIME: _BACKOFF_TEST + "test_a_run_is_resumed_when_the_time_is_over",
        SAYS_IT_LEAVES: _BACKOFF_TEST + "test_a_run_is_resumed_at_an_engine_that_leaves",
    },
    "last byte": {ASKS_FOR_TIME: _SIGNAL_READ, SAYS_IT_LEAVES: _SIGNAL_READ},
    "release": {ASKS_FOR_TIME: _ANSWER_ENDED, SAYS_IT_LEAVES: _ANSWER_ENDED},
    "hand-over": {
        ASKS_FOR_TIME: "each gateway keeps to it by itself, whoever owns the engine",
        SAYS_IT_LEAVES: _BACKOFF_TEST
        + "test_an_engine_that_leaves_is_not_asked_for_whatever_its_owner_knows",
    },
}
