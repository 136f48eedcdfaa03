"""Mutants of the safeguards of kept connections to upstreams."""

from __future__ import annotations

from ..mutant import Mutant

_POOL_TEST = "chestnutfall.tests.test_connection_pool"
_SOCKET_TEST = "chestnutfall.tests.test_upstream_connections"
_LOAD_TEST = "chestnutfall.tests.test_connection_load.ManyGatewaysTest"

_POOL = "chestnutfall/connections/connection_pool.py"
_UPSTREAM = "chestnutfall/connections/upstream_connections.py"
_IDLE_TIME = "chestnutfall/connections/idle_time.py"
_SHARE = "chestnutfall/connections/connection_share.py"
_CONNECTION = "chestnutfall/platform/upstream_connection.py"
_CONNECTOR = "chestnutfall/platform/upstream_connector.py"
_HTTP = "chestnutfall/platform/upstream_http.py"

CONNECTION_MUTANTS = (
    Mutant(
        "calls that may run once open connections of their own",
        _UPSTREAM,
        "        if need.runs_once and self._is_suspect(now_ms):",
        "        if need.runs_once:",
        _LOAD_TEST,
    ),
    Mutant(
        "a connection is used until the upstream closes it",
        _IDLE_TIME,
        "    return max(min(known_ms - margin_ms, known_ms * USED_FRACTION, MAX_USED_MS), 0.0)",
        "    return known_ms",
        f"{_POOL_TEST}.ReuseTest",
    ),
    Mutant(
        "a connection is sent on without a look",
        _POOL,
        "            if idle.conn.is_quiet():",
        "            if True:",
        f"{_POOL_TEST}.ReuseTest.test_a_closed_connection_is_passed_over",
    ),
    Mutant(
        "the look sees only what the event loop has read",
        _CONNECTION,
        "        return not _arrivals(transport)",
        "        return True",
        f"{_SOCKET_TEST}.EndedTest.test_an_end_of_file_that_has_not_been_read_is_seen",
    ),
    Mutant(
        "a request uses a connection on which it was refused",
        _UPSTREAM,
        "            if need.request_id in idle.request_ids:",
        "            if False:",
        f"{_POOL_TEST}.ReuseTest" ".test_a_request_never_goes_to_a_connection_that_it_used_before",
    ),
    Mutant(
        "connections as old as one that was lost stay in use",
        _UPSTREAM,
        "        doubtful = [one for one in self._idle if one.since_ms <= sent_ms]",
        "        doubtful: list[IdleConnection] = []",
        f"{_POOL_TEST}.DoubtTest.test_a_lost_answer_closes_the_connections_that_are_as_old",
    ),
    Mutant(
        "calls that may run once use kept connections of an upstream that mixes up answers",
        _UPSTREAM,
        "        self._suspect_until_ms = now_ms + SUSPECT_MS\n"
        "        return self._take_older(sent_ms)\n",
        "        return self._take_older(sent_ms)\n",
        f"{_POOL_TEST}.DoubtTest" ".test_requests_that_may_run_once_open_connections_to_a_suspect",
    ),
    Mutant(
        "an upstream that loses one request after the other is not suspect",
        _UPSTREAM,
        "        if now_ms - self._lost_ms < SUSPECT_MS:",
        "        if False:",
        f"{_POOL_TEST}.DoubtTest.test_a_second_loss_soon_after_makes_the_upstream_suspect",
    ),
    Mutant(
        "silence of two upstreams says nothing of the others",
        _POOL,
        "            self._close(upstream.suspect(sent_ms, now_ms))",
        "            pass",
        f"{_POOL_TEST}.DoubtTest.test_two_silent_upstreams_make_all_connections_doubtful",
    ),
    Mutant(
        "requests that are not acknowledged go unnoticed",
        _CONNECTION,
        "            self._pool.note_unacknowledged(send.need, send.sent_ms)",
        "            pass",
        f"{_SOCKET_TEST}.EndedTest"
        ".test_a_request_that_is_not_acknowledged_makes_the_others_doubtful",
    ),
    Mutant(
        "a shorter idle time is never learned",
        _IDLE_TIME,
        "        return min(stated_ms, self._found_ms) if now_ms",
        "        return stated_ms if now_ms",
        f"{_POOL_TEST}.LearnedIdleTimeTest",
    ),
    Mutant(
        "a few resets end reuse for long",
        _UPSTREAM,
        "            self.idle_time.note_survived(now_ms - self._idle[0].since_ms, now_ms)",
        "            pass",
        f"{_POOL_TEST}.LearnedIdleTimeTest"
        ".test_a_connection_that_stays_open_longer_ends_the_finding",
    ),
    Mutant(
        "each gateway keeps as many as one could",
        _SHARE,
        "    share = max_connections * KEPT_FRACTION / max(gateways, 1)",
        "    share = max_connections * KEPT_FRACTION",
        f"{_POOL_TEST}.ShareTest.test_the_sum_over_all_gateways_stays_below_the_limit",
    ),
    Mutant(
        "idle connections stay open while an upstream resets new ones",
        _UPSTREAM,
        "        self._halvings = min(self._halvings + 1, MAX_HALVINGS)\n"
        "        self._over_limit_until_ms = now_ms + OVER_LIMIT_MS\n"
        "        removed, self._idle = self._idle, []\n",
        "        removed: list[IdleConnection] = []\n",
        f"{_POOL_TEST}.ShareTest"
        ".test_a_reset_over_the_limit_closes_idle_connections_and_keeps_fewer",
    ),
    Mutant(
        "idle connections to all upstreams together are unbounded",
        _POOL,
        "        if surplus > 0:",
        "        if False:",
        f"{_POOL_TEST}.StateTest.test_idle_connections_to_all_upstreams_are_bounded",
    ),
    Mutant(
        "bytes on an idle connection pass unnoticed",
        _CONNECTION,
        "        if self._end_idle(self._pool.note_arrival):\n            return\n",
        "",
        f"{_SOCKET_TEST}.ExtraAnswerTest.test_an_extra_answer_in_between_ends_the_connection",
    ),
    Mutant(
        "an extra answer counts as lost answer",
        _CONNECTION,
        "            while send is not None and self._former_ids:",
        "            while False:",
        f"{_SOCKET_TEST}.ExtraAnswerTest"
        ".test_an_extra_answer_that_crosses_the_request_is_dropped",
    ),
    Mutant(
        "a refusal that names no request is believed on a kept connection",
        _HTTP,
        "        return resp.status >= 300 and not (send.reused and send.need.runs_once)",
        "        return resp.status >= 300",
        f"{_SOCKET_TEST}.ExtraAnswerTest"
        ".test_a_refusal_that_names_no_request_proves_nothing_on_a_kept_connection",
    ),
    Mutant(
        "a connection is kept after a body that may not have been read",
        _HTTP,
        "is_short and len(call.body) <= MAX_BODY_FOR_REUSE_BYTES)",
        "is_short)",
        f"{_SOCKET_TEST}.KeptTest.test_a_connection_is_not_kept_after_a_long_body",
    ),
    Mutant(
        "a request is written to a new connection that is reset already",
        _CONNECTOR,
        "        if not handler.is_quiet():",
        "        if False:",
        f"{_SOCKET_TEST}.EndedTest.test_a_reset_seen_before_the_request_proves_that_nothing_ran",
    ),
    Mutant(
        "a lost answer on a kept connection says nothing of the others",
        _HTTP,
        "            self._pool.note_lost(send.need, send.sent_ms, reason)",
        "            pass",
        f"{_SOCKET_TEST}.EndedTest.test_after_a_loss_the_next_request_opens_a_connection",
    ),
    Mutant(
        "the target of a request is written anew",
        _HTTP,
        "            request_class=UpstreamRequest,\n",
        "",
        "chestnutfall.tests.test_platform.UpstreamHttpTest."
        "test_the_target_arrives_as_the_client_named_it",
    ),
)
