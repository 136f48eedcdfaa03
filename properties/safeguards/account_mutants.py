"""Mutants of the account of what a process holds for its peers."""

from __future__ import annotations

from ..mutant import Mutant

_MEMORY = "chestnutfall/accounts/memory_account.py"
_PROCESS = "chestnutfall/accounts/process_account.py"
_DESCRIPTORS = "chestnutfall/accounts/descriptor_account.py"
_TURNS = "chestnutfall/accounts/reading_turns.py"
_BYTE_TURNS = "chestnutfall/accounts/byte_turns.py"
_CONNECTION = "chestnutfall/wire/bounded_connection.py"
_BODY = "chestnutfall/wire/request_body.py"
_TOLD = "chestnutfall/placement/told_parts.py"
_PROMPTS = "chestnutfall/placement/prompt_cache.py"
_DUTIES = "chestnutfall/coordination/gateway_duties.py"
_TESTS = "chestnutfall.tests"
_MEMORY_TEST = f"{_TESTS}.test_memory_account.MemoryAccountTest."
_PROCESS_TEST = f"{_TESTS}.test_process_account."
_TOLD_TEST = f"{_TESTS}.test_told_parts."
_HELD_TEST = f"{_TESTS}.test_held_requests.HeldRequestsTest."
_HELPER_TEST = f"{_TESTS}.test_helper_links.HelperLinksTest."
_CONNECTION_TEST = f"{_TESTS}.test_bounded_connections.BoundedConnectionTest."

ACCOUNT_MUTANTS = (
    Mutant(
        "all together hold more than the capacity",
        _MEMORY,
        "                self._make_room(holder, growth)\n",
        "                pass\n",
        _MEMORY_TEST + "test_all_together_hold_no_more_than_the_capacity",
    ),
    Mutant(
        "those who send on give way before those who have stopped",
        _MEMORY,
        "    return size * max(now_ms - holder.progress_ms, MIN_WAIT_MS)",
        "    return size",
        _MEMORY_TEST + "test_those_that_have_stopped_give_way_first",
    ),
    Mutant(
        "short requests give way to long ones",
        _MEMORY,
        "            if one is asking or is_lighter:",
        "            if one is asking:",
        _MEMORY_TEST + "test_of_those_that_come_on_the_longest_gives_way",
    ),
    Mutant(
        "what is kept gives way",
        _MEMORY,
        "        self._yielding.discard(holder)\n        holder.is_kept = True",
        "        holder.is_kept = True",
        _MEMORY_TEST + "test_what_is_kept_never_gives_way",
    ),
    Mutant(
        "long requests leave no room for short ones",
        _MEMORY,
        "LARGE_SHARE = 0.5",
        "LARGE_SHARE = 0.8",
        _MEMORY_TEST + "test_long_ones_leave_room_for_short_ones",
    ),
    Mutant(
        "what is kept leaves no room for reading",
        _MEMORY,
        "        if self.kept_bytes + growth > share * self.capacity_bytes:",
        "        if self.kept_bytes + growth > self.capacity_bytes:",
        _MEMORY_TEST + "test_what_is_kept_leaves_room_for_reading",
    ),
    Mutant(
        "each of a crowd has a line in the log",
        _MEMORY,
        "        if now_ms - self._logged_ms < LOG_EVERY_MS:",
        "        if False:",
        _MEMORY_TEST + "test_the_log_has_few_lines_of_a_crowd",
    ),
    Mutant(
        "connections of clients take all descriptors",
        _DESCRIPTORS,
        "CLIENT_SHARE = 0.75",
        "CLIENT_SHARE = 1.0",
        _PROCESS_TEST + "DescriptorAccountTest."
        "test_connections_of_clients_leave_some_for_their_requests",
    ),
    Mutant(
        "requests are sent without a descriptor",
        _PROCESS,
        '            raise AccountFull("no descriptor for one more connection")',
        "            pass",
        _PROCESS_TEST + "DescriptorAccountTest."
        "test_a_request_without_a_descriptor_is_refused_before_it_is_sent",
    ),
    Mutant(
        "one turn parses all that has come",
        _TURNS,
        "            if self._left <= 0:\n                break\n",
        "",
        _PROCESS_TEST + "ReadingTurnsTest.test_all_have_their_turn",
    ),
    Mutant(
        "a turn never runs out of time",
        _TURNS,
        "        return self._left > 0",
        "        return True",
        _PROCESS_TEST + "ReadingTurnsTest."
        "test_one_turn_parses_a_bounded_part_of_what_a_crowd_sends",
    ),
    Mutant(
        "one that leaves in its turn keeps it",
        _BYTE_TURNS,
        "                self._end(size)\n            else:",
        "                pass\n            else:",
        _PROCESS_TEST + "ByteTurnsTest.test_one_that_leaves_as_its_turn_comes_gives_it_back",
    ),
    Mutant(
        "one that leaves while it waits keeps others waiting",
        _BYTE_TURNS,
        "            if turn.done():\n                self._waiting.popleft()\n            elif",
        "            if",
        _PROCESS_TEST + "ByteTurnsTest.test_one_that_leaves_makes_room",
    ),
    Mutant(
        "a body that gave way is served as an empty one",
        _BODY,
        "    if ended is not None:",
        "    if False:",
        _CONNECTION_TEST + "test_bodies_that_never_end_are_refused_for_others",
    ),
    Mutant(
        "a body is not held while it is served",
        _CONNECTION,
        "        self._body_bytes = body_bytes + SEND_BYTES",
        "        self._body_bytes = SEND_BYTES",
        _CONNECTION_TEST + "test_a_request_is_held_until_it_has_been_answered",
    ),
    Mutant(
        "a request that is served is ended for what comes behind it",
        _CONNECTION,
        "            if not self.held.is_kept:\n",
        "            if True:\n",
        _CONNECTION_TEST + "test_a_request_that_is_served_stays_whatever_comes_behind_it",
    ),
    Mutant(
        "requests ahead are all parsed",
        _CONNECTION,
        "        if len(self._messages) > 1 or (self._messages and self._is_in_call):",
        "        if False:",
        _CONNECTION_TEST + "test_requests_ahead_wait_in_the_system_and_are_all_answered",
    ),
    Mutant(
        "the beginning of a request ahead is never read on",
        _CONNECTION,
        "        if self._buffer_paused and not self._messages:",
        "        if False:",
        _CONNECTION_TEST + "test_the_beginning_of_a_request_ahead_is_read_on",
    ),
    Mutant(
        "an answer that is not read never gives way",
        _CONNECTION,
        "        if waited_ms >= UNREAD_MS:",
        "        if False:",
        _CONNECTION_TEST + "test_an_answer_that_is_not_read_gives_way",
    ),
    Mutant(
        "a body is waited for as long as its client likes",
        _CONNECTION,
        "        elif now_ms - self._seen_ms >= self._body_idle_ms(now_ms - self._seen_ms):",
        "        elif False:",
        _CONNECTION_TEST + "test_a_body_that_brings_nothing_is_given_up",
    ),
    Mutant(
        "a server does not end while bodies are unfinished",
        "chestnutfall/platform/accepted_listening.py",
        "CLOSE_TIMEOUT_S = 0.25",
        "CLOSE_TIMEOUT_S = 60.0",
        _CONNECTION_TEST + "test_unfinished_bodies_are_refused_as_the_server_ends",
    ),
    Mutant(
        "one that leaves behind requests ahead is not noticed",
        _CONNECTION,
        "        elif self._buffer_paused and is_closed_by_peer(transport):",
        "        elif False:",
        _CONNECTION_TEST + "test_one_that_leaves_behind_requests_ahead_is_noticed",
    ),
    Mutant(
        "idle connections make no room",
        "chestnutfall/rush/acceptor.py",
        "        account.close_idle_clients()\n",
        "",
        _CONNECTION_TEST + "test_idle_connections_make_room_for_new_ones",
    ),
    Mutant(
        "unfinished calls use the limit of a rush up",
        "chestnutfall/rush/connection_gate.py",
        "            or (one.arrived_ms is not None and not one.is_unfinished)",
        "            or one.arrived_ms is not None",
        f"{_TESTS}.test_connection_gate.ConnectionGateTest."
        "test_calls_that_do_not_come_whole_are_forgotten",
    ),
    Mutant(
        "the key of a prefix holds all ids before it",
        _PROMPTS,
        "        prefix = hash((prefix, part.part_id))",
        "        prefix = (*(prefix or ()), part.part_id)",
        _TOLD_TEST + "PromptCacheTest.test_a_prefix_takes_no_more_memory_than_its_last_part",
    ),
    Mutant(
        "parts without tokens stay for good",
        _PROMPTS,
        " or len(self._held) > MAX_HELD",
        "",
        _TOLD_TEST + "PromptCacheTest.test_parts_without_tokens_are_dropped_too",
    ),
    Mutant(
        "all parts of a prompt are told",
        _TOLD,
        "    if len(told) <= MAX_KEYS:",
        "    if True:",
        _TOLD_TEST + "ToldPartsTest.test_many_parts_become_few",
    ),
    Mutant(
        "parts are told by ids of any length",
        _TOLD,
        "PromptPart(short_id(one.part_id), one.tokens)",
        "PromptPart(one.part_id, one.tokens)",
        _TOLD_TEST + "ToldPartsTest.test_ids_are_short",
    ),
    Mutant(
        "names of any length are counted as in demand",
        "chestnutfall/placement/demand.py",
        "        if len(adapter.model) + len(adapter.adapter) > MAX_NAME_CHARACTERS:",
        "        if False:",
        _TOLD_TEST + "DemandTest.test_an_adapter_with_a_very_long_name_is_not_counted",
    ),
    Mutant(
        "requests that wait at a leader are not drawn",
        "chestnutfall/coordination/gateway_sessions.py",
        "        self._requests.hold(req, give_way)\n",
        "",
        _HELD_TEST + "test_requests_beyond_the_memory_are_refused",
    ),
    Mutant(
        "requests that wait at a leader never give way",
        "chestnutfall/coordination/held_requests.py",
        "        holder = self._memory.holder(give_way)",
        "        holder = self._memory.holder()",
        _HELD_TEST + "test_ordinary_requests_find_room_beside_them",
    ),
    Mutant(
        "a request whose place was granted gives way",
        "chestnutfall/coordination/leader_parts.py",
        "                    self.sessions.note_granted(ticket)\n",
        "",
        _HELD_TEST + "test_a_request_with_a_place_never_gives_way",
    ),
    Mutant(
        "memory of a request that ended stays drawn",
        "chestnutfall/coordination/gateway_sessions.py",
        "        self._requests.drop(ticket)\n",
        "",
        _HELD_TEST + "test_nothing_is_held_of_requests_that_ended",
    ),
    Mutant(
        "a request that gives way is not refused",
        _DUTIES,
        "        parts.sessions.send_to_holder(ticket, Reject(ticket, FULL, FULL_RETRY_MS))\n",
        "",
        _HELD_TEST + "test_requests_beyond_the_memory_are_refused",
    ),
    Mutant(
        "numbers that no message holds are read",
        "chestnutfall/platform/call_reader.py",
        "    if not 0 <= number <= most:",
        "    if False:",
        f"{_TESTS}.test_call_reader.CallReaderTest."
        "test_values_that_no_message_holds_are_malformed",
    ),
    Mutant(
        "a message that can't be encoded ends the stream to the leader",
        "chestnutfall/forwarding/leader_stream.py",
        "                if FLEET_CODEC.can_encode(msg):",
        "                if True:",
        f"{_TESTS}.test_leader_stream.LeaderStreamTest."
        "test_a_message_that_cannot_be_encoded_is_passed_over",
    ),
    Mutant(
        "a connection is kept behind an id of any length",
        "chestnutfall/platform/upstream_http.py",
        "call.target, is_short and len(",
        "call.target, len(",
        f"{_TESTS}.test_platform.UpstreamHttpTest."
        "test_a_connection_is_kept_behind_a_request_with_a_short_id",
    ),
    Mutant(
        "the end of an answer that the system hasn't taken is not in progress",
        "chestnutfall/platform/entry_server.py",
        "        return self._caller_runner.undelivered",
        "        return 0",
        f"{_TESTS}.test_client_connections.ClientConnectionsTest."
        "test_an_answer_is_in_progress_until_the_system_has_taken_all_of_it",
    ),
    Mutant(
        "a helper gets bodies that it didn't ask for",
        "chestnutfall/paths/helper_links.py",
        "    if len(call.body) <= MAX_INLINE_BYTES:",
        "    if True:",
        _HELPER_TEST + "test_a_helper_without_room_gets_no_long_body",
    ),
    Mutant(
        "a part of a body is sent for the whole",
        "chestnutfall/paths/helper_service.py",
        "        if len(body) != asked.body_bytes:",
        "        if False:",
        _HELPER_TEST + "test_a_body_that_does_not_come_whole_is_not_sent",
    ),
    Mutant(
        "a call whose helper had no body counts as perhaps run",
        "chestnutfall/paths/helper_links.py",
        "            if is_whole:\n                raise\n",
        "            raise\n",
        _HELPER_TEST + "test_a_helper_that_is_lost_before_the_body_has_sent_nothing",
    ),
    Mutant(
        "a helper reads more of a body than it has drawn for",
        "chestnutfall/paths/helper_service.py",
        "        if len(parts) > size:\n            break\n",
        "",
        _HELPER_TEST + "test_of_a_body_that_is_longer_than_announced_little_is_read",
    ),
)
