"""Mutants of the looks for clients that have left."""

from __future__ import annotations

from ..mutant import Mutant

_TEST = "chestnutfall.tests.test_left_clients"
_UNREAD_TEST = f"{_TEST}.UnreadCloseTest"
_CALL_TEST = f"{_TEST}.LeftCallTest"
_CONNECTING_TEST = f"{_TEST}.LeftWhileConnectingTest"

LEFT_CLIENT_MUTANTS = (
    Mutant(
        "end of a connection that is unread is not seen",
        "chestnutfall/wire/peer_closed.py",
        "    return bool(poll.poll(0))",
        "    return False",
        _UNREAD_TEST,
    ),
    Mutant(
        "call of a client that left is sent",
        "chestnutfall/forwarding/sender.py",
        "        check_awaited()\n",
        "",
        _CALL_TEST,
    ),
    Mutant(
        "call of a client that left is served",
        "chestnutfall/forwarding/forwarder.py",
        "        if reply.is_gone():\n",
        "        if False:\n",
        _CALL_TEST,
    ),
    Mutant(
        "call of a client that left is written to a new connection",
        "chestnutfall/platform/upstream_connector.py",
        "            check_awaited()\n",
        "            pass\n",
        _CONNECTING_TEST,
    ),
    Mutant(
        "request that was given up is sent to its end",
        "chestnutfall/wire/direct_connector.py",
        "            reset(protocol.transport)\n",
        "            pass\n",
        f"{_TEST}.LeftInBodyTest",
    ),
    Mutant(
        "call of a client that left is passed on to a helper",
        "chestnutfall/paths/helper_links.py",
        "        check_awaited()\n",
        "",
        "chestnutfall.tests.test_helper_links",
    ),
    Mutant(
        "completion of a caller that left is written to its connection",
        "chestnutfall/engine_edge/own_upstream_http.py",
        "            check_awaited()\n",
        "            pass\n",
        _CONNECTING_TEST,
    ),
)
