"""Safeguards of a gateway in a rush of connections, and changes that remove them."""

from __future__ import annotations

from ..mutant import Mutant

_GATE = "chestnutfall/rush/connection_gate.py"
_DELAY = "chestnutfall/rush/standing_delay.py"
_ACCEPTOR = "chestnutfall/rush/acceptor.py"
_GATED = "chestnutfall.tests.test_connection_gate.ConnectionGateTest."
_STANDING = "chestnutfall.tests.test_connection_gate.StandingDelayTest."
_CONNECTION = "chestnutfall/rush/gated_connection.py"
_KEPT = "chestnutfall.tests.test_kept_connections."
_TAKEN = "chestnutfall.tests.test_acceptor.AcceptorTest."

RUSH_MUTANTS = (
    Mutant(
        "the only call is closed out",
        _GATE,
        "        if not self._openings:\n",
        "        if False:\n",
        _GATED + "test_the_only_call_is_always_taken",
    ),
    Mutant(
        "a gateway takes all connections",
        _GATE,
        "        if self._limit is not None and not self._has_room(now_ms, self._limit):\n",
        "        if False:\n",
        _GATED + "test_what_is_read_in_a_rush_is_served_in_time_on_hosts_of_any_size",
    ),
    Mutant(
        "the limit never shrinks again",
        _GATE,
        "            self._shrink(now_ms, self._limit, delay_ms)\n",
        "            pass\n",
        _GATED + "test_what_is_read_in_a_rush_is_served_in_time_on_hosts_of_any_size",
    ),
    Mutant(
        "calls of before the limit count against it",
        _GATE,
        "        if opening.accepted_ms >= self._shrunk_ms:\n",
        "        if True:\n",
        _GATED + "test_the_limit_does_not_fall_for_calls_that_were_taken_before_it",
    ),
    Mutant(
        "connections are taken all at once",
        _GATE,
        "        return len(self._openings) < limit and self._pace.admits(now_ms, limit)\n",
        "        return len(self._openings) < limit\n",
        _GATED + "test_the_processor_is_used_while_calls_wait_for_upstreams",
    ),
    Mutant(
        "the limit never grows",
        _GATE,
        "            self._limit += self._limit * GROWTH\n",
        "            pass\n",
        _GATED + "test_the_limit_follows_a_host_that_is_quicker_again",
    ),
    Mutant(
        "the limit never ends",
        _GATE,
        "        elif now_ms - self._refused_ms > EASED_MS:\n            self._end()\n",
        "",
        _GATED + "test_the_limit_ends_by_itself",
    ),
    Mutant(
        "connections are refused for calls on kept ones",
        _GATE,
        "            if is_late and self._firsts >= MIN_FIRST_SHARE * self._calls:\n",
        "            if is_late:\n",
        _GATED + "test_no_connection_is_refused_for_calls_on_kept_ones",
    ),
    Mutant(
        "the limit falls to nothing",
        _GATE,
        "LEAST_LIMIT = 4\n",
        "LEAST_LIMIT = 0\n",
        _GATED + "test_some_are_taken_at_any_load",
    ),
    Mutant(
        "connections without a call use the limit up",
        _GATE,
        "            if now_ms - one.accepted_ms <= UNUSED_MS\n",
        "            if True\n",
        _GATED + "test_connections_without_a_call_are_forgotten",
    ),
    Mutant(
        "one long delay counts as a rush",
        _DELAY,
        "        if sum(span.length_ms for span in self._ended) < STANDING_MS",
        "        if not self._ended",
        _STANDING + "test_a_delay_stands_once_it_has_lasted",
    ),
    Mutant(
        "one connection is taken a turn",
        _ACCEPTOR,
        "        for _ in range(MAX_PER_TURN):\n",
        "        for _ in range(1):\n",
        _TAKEN + "test_all_connections_that_wait_are_taken_at_once",
    ),
    Mutant(
        "connections that are being taken are cut at the end",
        _ACCEPTOR,
        "        await asyncio.gather(*self._opening)\n",
        "        for task in self._opening:\n            task.cancel()\n",
        _TAKEN + "test_connections_that_were_taken_are_served_after_the_end_of_listening",
    ),
    Mutant(
        "nothing is taken after a shortage",
        _ACCEPTOR,
        "                self._pause = self._loop.call_later(PAUSE_S, self.start)\n",
        "",
        _TAKEN + "test_connections_are_taken_again_after_a_shortage_of_the_host",
    ),
    Mutant(
        "connections that end without a call stay counted",
        "chestnutfall/rush/gated_connection.py",
        "        self.end_opening()\n        super().connection_lost(exc)\n",
        "        super().connection_lost(exc)\n",
        _TAKEN + "test_a_connection_that_ends_without_a_call_is_no_longer_counted",
    ),
    Mutant(
        "connections that wait as a gateway ends are reset",
        _ACCEPTOR,
        "        if self._pause is None:\n            self._take_all()\n",
        "",
        _KEPT + "EndOfListeningTest.test_requests_that_have_come_are_answered_at_the_end",
    ),
    Mutant(
        "a gateway that ends does not read what has come",
        "chestnutfall/platform/listening.py",
        "    await asyncio.sleep(READ_S)\n",
        "    await asyncio.sleep(0)\n",
        _KEPT + "EndOfListeningTest."
        "test_a_server_without_a_gate_answers_what_has_come_on_kept_connections",
    ),
    Mutant(
        "a gateway of the own interface that ends does not read what has come",
        "chestnutfall/rush/accepted_site.py",
        "            await asyncio.sleep(READ_S)\n",
        "",
        _KEPT + "EndOfListeningTest.test_the_own_interface_answers_what_has_come",
    ),
    Mutant(
        "a gateway that ends drops what it reads",
        "chestnutfall/rush/idle_connections.py",
        "            conn.transport.pause_reading()\n",
        "            pass\n",
        _KEPT + "EndOfListeningTest.test_a_request_that_comes_too_late_is_reset",
    ),
    Mutant(
        "heads have one limit, whatever the document says",
        "chestnutfall/platform/entry_server.py",
        "        return max(self._limits().max_header_bytes, DocumentLimits().max_header_bytes)\n",
        "        return DocumentLimits().max_header_bytes\n",
        _KEPT + "LongHeadTest.test_heads_are_as_long_as_the_document_allows",
    ),
    Mutant(
        "a former limit on idle connections is forgotten at once",
        "chestnutfall/rush/former_limit.py",
        "        self._former.append((self.value_ms, now_ms))\n",
        "",
        _KEPT + "IdleTest.test_a_shorter_limit_ends_no_connection_that_a_client_still_uses",
    ),
    Mutant(
        "only the last of the former limits counts",
        "chestnutfall/rush/former_limit.py",
        "        while self._former and self._former[-1][0] <= self.value_ms:\n",
        "        while self._former:\n",
        _KEPT + "IdleTest.test_the_longest_of_several_former_limits_counts",
    ),
    Mutant(
        "a connection keeps the limit of its opening",
        _CONNECTION,
        "        if now < due:\n",
        "        if False:\n",
        _KEPT + "IdleTest.test_a_longer_limit_holds_for_connections_that_are_open",
    ),
    Mutant(
        "a connection that is due is closed with its request unread",
        _CONNECTION,
        "        elif not self._is_ending:\n",
        "        elif False:\n",
        _KEPT + "IdleTest.test_a_request_that_came_as_the_connection_falls_due_is_answered",
    ),
    Mutant(
        "a head without an end holds its connection",
        _CONNECTION,
        "        if self._head_since is not None:\n            return",
        "        if False:\n            return",
        _KEPT + "SlowRequestTest.test_a_head_that_does_not_end_is_closed",
    ),
    Mutant(
        "an empty line counts as the beginning of a head",
        _CONNECTION,
        '        elif self._head_since is None and data.strip(b"\\r\\n"):\n',
        "        elif self._head_since is None:\n",
        _KEPT + "SlowRequestTest.test_an_empty_line_is_no_head",
    ),
    Mutant(
        "the limits end a request whose answer is awaited",
        _CONNECTION,
        " or not self._is_waiting:\n            return\n        now",
        ":\n            return\n        now",
        _KEPT + "SlowRequestTest.test_a_request_is_never_ended_by_the_limits",
    ),
)
