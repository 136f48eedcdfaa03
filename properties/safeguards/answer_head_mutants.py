"""Mutants of what is checked in the heads of answers."""

from __future__ import annotations

from ..mutant import Mutant

_HEADS = "chestnutfall/wire/answer_heads.py"
_HANDLER = "chestnutfall/wire/bounded_handler.py"
_TEST = "chestnutfall.tests.test_malformed_answers.MalformedAnswersTest."

ANSWER_HEAD_MUTANTS = (
    Mutant(
        "a status that is none is passed on",
        _HEADS,
        "    if not MIN_STATUS <= status <= MAX_STATUS or status == SWITCHING_PROTOCOLS:",
        "    if status == SWITCHING_PROTOCOLS:",
        _TEST + "test_a_status_that_is_none_is_a_lost_answer",
    ),
    Mutant(
        "a field with control bytes is passed on",
        _HEADS,
        "        if _CONTROL.search(value):",
        "        if False:",
        _TEST + "test_a_field_that_is_none_is_a_lost_answer",
    ),
    Mutant(
        "a line that begins with a blank is joined to the one before",
        _HEADS,
        "    return _CONTINUED.search(head) is not None",
        "    return False",
        _TEST + "test_a_field_that_is_none_is_a_lost_answer",
    ),
    Mutant(
        "lines of a head are looked at as they come",
        _HANDLER,
        "        before, self._last_byte = self._last_byte, part[-1:]",
        '        before = b""',
        _TEST + "test_a_line_that_begins_with_a_blank_is_seen_where_it_comes_apart",
    ),
    Mutant(
        "the body is taken for a part of the head",
        _HEADS,
        "    head = _END.split(before + part, 1)[0]",
        "    head = before + part",
        _TEST + "test_a_body_may_hold_what_no_head_may",
    ),
    Mutant(
        "an interim head ends the wait for an answer",
        _HANDLER,
        "                self._reschedule_timeout()\n",
        "                pass\n",
        _TEST + "test_silence_behind_an_interim_head_is_a_lost_answer",
    ),
)
