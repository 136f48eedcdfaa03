"""Answers whose head is no answer in the protocol, and answers that come before their request."""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop

from ..control.upstream_record import UpstreamRecord
from ..forwarding.call import Call
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_api import AnswerLost
from ..wire.bounded_handler import HEAD_PART_BYTES
from .fakes.scripted_server import ScriptedServer, reset
from .fakes.upstream_clients import upstream_client

NAMED = b"X-Request-Id: a\r\n"
LENGTH = b"Content-Length: 4\r\n"
STATUSES = (b"000", b"099", b"101", b"600", b"999")
FIELDS = (
    b"X Note: v",
    b"X-Note : v",
    b"X-\x01Note: v",
    b"X-\x7fNote: v",
    b"X-N\xf6te: v",
    b"Content Length: 2",
    b"X-Note\t: v",
    b"(X-Note): v",
    b"X-Note: a\x01b",
    b"X-Note: a\x00b",
    b"Content-Length : 2",
    b"Transfer-Encoding : chunked",
    b" X-Note: v",
)
UPLOAD = b"p" * 4_000_000
GIVE_UP_S = 5.0
"""Ends a test whose client waits for more; none takes as long otherwise."""
PART = b"id: 1\ndata: first\n\n"

SHORT_MS = 100.0
"""A silence that ends a call within a test."""
EARLY_HEADS = (
    b"HTTP/1.1 200 X\r\n" + NAMED + b"\r\n",
    b"HTTP/1.1 200 X\r\n" + NAMED + b"Connection: close\r\n\r\n",
    b"HTTP/1.0 200 X\r\n" + NAMED + b"\r\n",
)
PAUSES_S = (0.0, 0.001, 0.02, 0.1)
"""Time from the part of the answer to the end of its connection."""

Play = Coroutine[Any, Any, None]


class MalformedAnswersTest(unittest.TestCase):
    """Each case on both interfaces, for calls that may run once and others, on both loops."""

    # Guards against a client that gets a status which is none, with the engine's signature.
    def test_a_status_that_is_none_is_a_lost_answer(self) -> None:
        for status in STATUSES:
            head = b"HTTP/1.1 " + status + b" X\r\n" + NAMED + LENGTH + b"\r\nbody"
            self._assert_lost(head)

    # Guards against a client that gets a field which is none, or a body that isn't the engine's:
    # clients don't agree on what such a line says.
    def test_a_field_that_is_none_is_a_lost_answer(self) -> None:
        for field in FIELDS:
            for lines in (field + b"\r\n" + NAMED, NAMED + field + b"\r\n"):
                self._assert_lost(b"HTTP/1.1 200 X\r\n" + lines + LENGTH + b"\r\nbody")

    def test_usual_fields_are_passed_on(self) -> None:
        fields = b"X-Note: caf\xc3\xa9\r\nx!#$%&'*+-.^_`|~9: a\tb\r\nEmpty:\r\n"
        head = b"HTTP/1.1 200 X\r\n" + NAMED + fields + LENGTH + b"\r\nbody"

        async def play(case: _Case) -> None:
            self.assertEqual(await case.send(b"", head), b"body")

        self._play(play)

    # Guards against a line that is told apart from the one before it only where both come at once.
    def test_a_line_that_begins_with_a_blank_is_seen_where_it_comes_apart(self) -> None:
        head = b"HTTP/1.1 200 X\r\n" + NAMED
        cut = HEAD_PART_BYTES - len(head) - len(b"X-Long: \r\n")
        self._assert_lost(
            head + b"X-Long: " + b"v" * cut + b"\r\n" + b" X-Note: v\r\n" + LENGTH + b"\r\nbody"
        )

    def test_a_body_may_hold_what_no_head_may(self) -> None:
        body = b"\n x\x01"
        for end in (b"\r\n\r\n", b"\n\n"):
            head = b"HTTP/1.1 200 X\r\n" + NAMED + b"Content-Length: 4" + end

            async def play(case: _Case, head: bytes = head) -> None:
                self.assertEqual(await case.send(b"", head + body), body)

            self._play(play)

    # Guards against a call that waits for an upstream which has sent an interim head and no more.
    def test_silence_behind_an_interim_head_is_a_lost_answer(self) -> None:
        async def play(case: _Case) -> None:
            case.silent_ms = SHORT_MS
            with self.assertRaises(AnswerLost):
                await case.send(b"", b"HTTP/1.1 102 X\r\n\r\n")

        self._play(play)

    # Guards against a part of an answer that is taken for the whole: the error of the upload that
    # is still being written ends the connection in place of its reset.
    def test_an_early_answer_that_is_reset_in_the_upload_is_lost(self) -> None:
        for head in EARLY_HEADS:
            for end in (reset, socket.socket.close):
                for pause_s in PAUSES_S:

                    async def play(
                        case: _Case,
                        head: bytes = head,
                        end: Callable[[socket.socket], None] = end,
                        pause_s: float = pause_s,
                    ) -> None:
                        with self.subTest(head=head, end=end.__name__, pause_s=pause_s):
                            with self.assertRaises(AnswerLost):
                                await case.send(UPLOAD, head + PART, end, pause_s)

                    self._play(play)

    # Guards against a client that gets a 200 with an empty body, or part of a head as its body: the
    # library takes the lines that have come for the whole head when the connection ends.
    def test_a_head_that_stops_midway_is_a_lost_answer(self) -> None:
        for fields in (NAMED, NAMED + LENGTH, NAMED + b"Transfer-Encoding: chunked\r\n"):
            head = b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n"
            self._assert_lost_at_each_cut(head)

    def test_a_head_that_stops_midway_behind_an_interim_one_is_a_lost_answer(self) -> None:
        head = b"HTTP/1.1 200 OK\r\n" + NAMED + b"\r\n"
        self._assert_lost_at_each_cut(head, b"HTTP/1.1 102 X\r\n\r\n")

    def test_an_early_head_that_stops_midway_in_the_upload_is_lost(self) -> None:
        head = b"HTTP/1.1 200 OK\r\n" + NAMED + LENGTH + b"\r\n"
        for cut in (len(head) - 2, len(head) - len(LENGTH) - 2, 17, 4):
            for end in (socket.socket.close, reset):

                async def play(
                    case: _Case, cut: int = cut, end: Callable[[socket.socket], None] = end
                ) -> None:
                    with self.subTest(cut=head[:cut], end=end.__name__):
                        with self.assertRaises(AnswerLost):
                            await case.send(UPLOAD, head[:cut], end, 0.02)

                self._play(play)

    def _assert_lost_at_each_cut(self, head: bytes, before: bytes = b"") -> None:
        for end in (socket.socket.close, reset):

            async def play(case: _Case, end: Callable[[socket.socket], None] = end) -> None:
                for cut in range(len(head)):
                    with self.subTest(cut=head[:cut][-20:], end=end.__name__):
                        with self.assertRaises(AnswerLost):
                            await case.send(b"", before + head[:cut], end)

            self._play(play)

    def _assert_lost(self, head: bytes) -> None:
        async def play(case: _Case) -> None:
            with self.subTest(head=head), self.assertRaises(AnswerLost):
                await case.send(b"", head)

        self._play(play)

    def _play(self, play: Callable[[_Case], Play]) -> None:
        for is_own in (False, True):
            for once in (True, False):
                for loop in (uvloop.new_event_loop, asyncio.new_event_loop):
                    with self.subTest(is_own=is_own, once=once, loop=loop.__module__):
                        with asyncio.Runner(loop_factory=loop) as runner:
                            runner.run(_run(is_own, once, play))


async def _run(is_own: bool, once: bool, play: Callable[[_Case], Play]) -> None:
    case = _Case(is_own, once)
    try:
        async with asyncio.timeout(GIVE_UP_S):
            await play(case)
    finally:
        await case.close()


class _Case:
    """One upstream and a gateway's client."""

    def __init__(self, is_own: bool, once: bool) -> None:
        self.server = ScriptedServer()
        self._api = upstream_client(is_own)
        self._once = once
        self.silent_ms = 2_000.0

    async def send(
        self,
        body: bytes,
        answer: bytes,
        end: Callable[[socket.socket], None] | None = None,
        pause_s: float = 0.0,
    ) -> bytes:
        """Send a request that is answered as soon as its beginning has come; return the body."""
        serving = asyncio.ensure_future(self._serve(answer, end, pause_s))
        call = Call("a", "POST", "/x", "/x", "h", (("X-Request-Id", "a"),), body, 0, 4000)
        upstream = UpstreamRecord("i1", "s", self.server.address, "dc")
        sent = ForwardedCall(call, upstream, 0, 1, 4000, None, self._once, self.silent_ms)
        try:
            async with self._api.send(sent) as got:
                return b"".join([data async for data in got.body])
        finally:
            await serving

    async def _serve(
        self, answer: bytes, end: Callable[[socket.socket], None] | None, pause_s: float
    ) -> None:
        conn = await self.server.accept()
        await self.server.read(conn)
        conn.send(answer)
        if end is not None:
            await asyncio.sleep(pause_s)
            end(conn)

    async def close(self) -> None:
        await self._api.close()
        self.server.close()
