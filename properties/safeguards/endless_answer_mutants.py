"""Mutants of the bounds on answers that never end."""

from __future__ import annotations

from ..mutant import Mutant

_RELAYED_SEND = "chestnutfall/forwarding/relayed_send.py"
_SPLITTER = "chestnutfall/forwarding/event_splitter.py"
_HANDLER = "chestnutfall/wire/bounded_handler.py"
_ENGINE_API = "chestnutfall/engine_edge/http_engine_api.py"
_TEST = "chestnutfall.tests.test_endless_answers"
_BOUNDED_TEST = "chestnutfall.tests.test_bounded_answers"
_BYTES_TEST = f"{_BOUNDED_TEST}.EndlessBytesTest"
_REQUEST_TEST = "chestnutfall.tests.test_endless_requests"
_COMPLETION_TEST = "chestnutfall.tests.test_endless_completions"

ENDLESS_ANSWER_MUTANTS = (
    Mutant(
        "bytes of a stream count as progress",
        _RELAYED_SEND,
        "                held.resize(len(splitter))\n",
        "                self._note_progress()\n",
        _TEST,
    ),
    Mutant(
        "bytes of a whole answer count as progress",
        _RELAYED_SEND,
        "                if not _has_room(held, len(body)):\n",
        "                self._note_progress()\n"
        "                if not _has_room(held, len(body)):\n",
        _TEST,
    ),
    Mutant(
        "comments count as events",
        _SPLITTER,
        "            if _is_event(block):",
        "            if True:",
        _TEST,
    ),
    Mutant(
        "event without end is held whole",
        _SPLITTER,
        "        if len(self._held) > MAX_EVENT_BYTES:",
        "        if False:",
        _TEST,
    ),
    Mutant(
        "bytes beside an answer are read without end",
        _HANDLER,
        "        return self._received_bytes - 2 * body_bytes > MAX_BESIDE_BYTES",
        "        return False",
        _BYTES_TEST,
    ),
    Mutant(
        "interim heads of one read are parsed at once",
        _HANDLER,
        "        if len(self._buffer) > MAX_HEADS:",
        "        if False:",
        f"{_BOUNDED_TEST}.InterimHeadsTest",
    ),
    Mutant(
        "sound answers are cut for their short chunks",
        _HANDLER,
        "self._received_bytes - 2 * body_bytes",
        "self._received_bytes - body_bytes",
        _BYTES_TEST,
    ),
    Mutant(
        "bytes beside a request are read without end",
        "chestnutfall/wire/bounded_connection.py",
        "        return self._received_bytes - 2 * body_bytes > self._max_beside_bytes",
        "        return False",
        _REQUEST_TEST,
    ),
    Mutant(
        "controller waits for ever for a body",
        "chestnutfall/platform/control_server.py",
        "self._clock.within_ms(BODY_WITHIN_MS, reading)",
        "reading",
        _REQUEST_TEST,
    ),
    Mutant(
        "bytes of a completion count as progress",
        _ENGINE_API,
        "                    if events:\n",
        "                    if True:\n",
        _COMPLETION_TEST,
    ),
    Mutant(
        "completion without an event waits for ever",
        _ENGINE_API,
        "                gap.begin_wait(req.begin_ms)\n",
        "",
        _COMPLETION_TEST,
    ),
    Mutant(
        "whole completion without an end waits for ever",
        _ENGINE_API,
        "        gap.begin_wait()\n        async for",
        "        async for",
        _COMPLETION_TEST,
    ),
    Mutant(
        "plain call without an end waits for ever",
        "chestnutfall/plain_edge/plain_calls.py",
        "            gap.begin_wait()\n",
        "",
        _COMPLETION_TEST,
    ),
)
