"""Mutants of the safeguards of how a client's request ends."""

from __future__ import annotations

from ..mutant import Mutant

_REPLY = "chestnutfall/platform/client_reply.py"
_REPLY_TEST = "chestnutfall.tests.test_client_reply"

END_MUTANTS = (
    Mutant(
        "client that left taken for a lost upstream",
        _REPLY,
        "            if self.is_gone():",
        "            if False:",
        _REPLY_TEST,
    ),
    Mutant(
        "stream that the gateway broke off taken for one whose client left",
        _REPLY,
        "        return not self._broken_off and (transport",
        "        return (transport",
        _REPLY_TEST,
    ),
)
