"""Calls that one gateway sends for another, over real connections."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

from soak.relay import ConnectionFault, Relay

from ..clock import SystemClock
from ..control.upstream_record import UpstreamRecord
from ..forwarding.answer_head import AnswerHead
from ..forwarding.call import Headers
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import NotRun, UpstreamAnswer
from ..forwarding.upstream_api import AnswerLost, NotSent, UpstreamApi
from ..paths.helped_upstream_api import HelpedUpstreamApi
from ..paths.helper_links import HelperLinks
from ..paths.helper_service import HelperService
from ..paths.known_helpers import KnownHelpers
from ..paths.leader_messages import HelperGateways
from ..paths.messages import CHECK_METHOD, HELP_CODEC, HELP_METHOD
from ..paths.path_table import PathTable
from ..signals import NO_SIGNALS
from ..wire import RpcServer
from .fakes.limit_parts import known_signals
from .fakes.path_office import send_to
from .process_office import free_address

UPSTREAM = UpstreamRecord("i0", "s", "10.0.0.1:80", "dc")
LONG_BODY = bytes(range(256)) * 4096
SHORT_MS = 100.0
"""A silence that ends a call within a test."""
KEEPALIVE_MS = 10_000.0
"""Longer than the keepalive between gateways takes to find a silent connection."""
PARTS = (b"id: 1\r\n", LONG_BODY, b"\x00\xff end")


class _ScriptedLink(UpstreamApi):
    """Answers with `PARTS`; `script` may hold it back, break it off or fail it."""

    def __init__(self) -> None:
        self.script = "whole"
        self.sends: list[ForwardedCall] = []
        self.ended = asyncio.Event()

    def interpret(self, status: int, headers: Headers, forwarded: ForwardedCall) -> AnswerHead:
        return AnswerHead(NotRun.FULL if status == 503 else None, NO_SIGNALS)

    @asynccontextmanager
    async def send(self, forwarded: ForwardedCall) -> AsyncIterator[UpstreamAnswer]:
        self.sends.append(forwarded)
        if self.script == "closed":
            raise NotSent("refused")
        if self.script == "lost":
            raise AnswerLost("reset")
        if self.script == "mute":
            await asyncio.sleep(60)
        status = 503 if self.script == "full" else 200
        try:
            yield UpstreamAnswer(status, (("X-Kept", "é"),), None, NO_SIGNALS, self._body())
        finally:
            self.ended.set()

    async def _body(self) -> AsyncIterator[bytes]:
        for data in PARTS:
            yield data
            if self.script == "cut":
                raise AnswerLost("cut")
            if self.script == "hold":
                await asyncio.sleep(60)


class HelperLinksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock, rng = SystemClock(), random.Random(1)
        self.direct = _ScriptedLink()
        helpers = KnownHelpers(clock, rng)
        helpers.apply(HelperGateways((), "key"))
        self.links = HelperLinks(self.direct, clock)
        api = HelpedUpstreamApi(
            self.direct, self.links, helpers, PathTable(clock), _opens, lambda: False, clock
        )
        self.service = HelperService(
            api,
            helpers.accepts,
            known_signals(clock),
            {UPSTREAM.instance: UPSTREAM}.get,
            lambda: [UPSTREAM],
            _opens,
            _opens,
            clock,
            rng,
        )
        self.address = free_address()
        self.server = RpcServer(self.address)
        self.server.add_stream(HELP_METHOD, HELP_CODEC, self.service.serve)
        self.server.add_unary(CHECK_METHOD, HELP_CODEC, self.service.check_port)
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.links.close()
        await self.server.stop(0)

    async def _send(self, forwarded: ForwardedCall | None = None) -> bytes:
        call = forwarded or send_to(UPSTREAM)
        async with self.links.send(self.address, ("key",), call) as answer:
            self.assertEqual(answer.headers, (("X-Kept", "é"),))
            self.assertTrue(answer.is_helped)
            return b"".join([data async for data in answer.body])

    # Guards against a helper that knows of another build at an engine and sends a stream there.
    async def test_a_call_for_an_upstream_of_another_build_is_not_sent(self) -> None:
        with self.assertRaises(NotSent):
            await self._send(send_to(replace(UPSTREAM, build="v2")))
        self.assertEqual(self.direct.sends, [])

    # Guards against an error of the library that ends a client's request without a word of ours:
    # one call that gives up connecting closed the channel on which another one still waited.
    async def test_calls_that_wait_for_one_connection_fail_as_not_sent(self) -> None:
        address = free_address()

        async def send() -> None:
            async with self.links.send(address, ("key",), send_to(UPSTREAM)):
                self.fail("nothing listens there")

        first = asyncio.ensure_future(send())
        await asyncio.sleep(0.08)
        second = asyncio.ensure_future(send())
        for ended in await asyncio.gather(first, second, return_exceptions=True):
            self.assertIsInstance(ended, NotSent)

    async def test_an_answer_arrives_byte_for_byte(self) -> None:
        self.assertEqual(await self._send(), b"".join(PARTS))
        self.assertEqual(self.direct.sends[0].call.body, b"body")
        self.assertEqual(self.service.in_progress, 0)

    # Guards against a stream that starts again from its first event at another gateway.
    async def test_a_resumed_stream_its_deadline_and_its_organisation_reach_the_upstream(
        self,
    ) -> None:
        forwarded = replace(send_to(UPSTREAM), resume_after=7, left_ms=900, organisation="permits")
        await self._send(forwarded)
        sent = self.direct.sends[0]
        self.assertEqual((sent.resume_after, sent.left_ms, sent.organisation), (7, 900, "permits"))
        self.assertIsNone(sent.call.key_digest)

    # Guards against a helper that works on for a client that has left.
    async def test_a_client_that_leaves_ends_the_send_of_the_helper(self) -> None:
        self.direct.script = "hold"
        sending = asyncio.ensure_future(self._send())
        while not self.service.in_progress:
            await asyncio.sleep(0.01)
        sending.cancel()
        await asyncio.wait_for(self.direct.ended.wait(), 5)

    # Guards against "not run" in place of "unknown" when the helper or its link is lost.
    async def test_a_helper_that_ends_midway_leaves_the_outcome_unknown(self) -> None:
        self.direct.script = "hold"
        sending = asyncio.ensure_future(self._send())
        while not self.service.in_progress:
            await asyncio.sleep(0.01)
        await self.server.stop(0)
        with self.assertRaises(AnswerLost):
            await sending

    # Guards against a call that waits for a helper that freezes, and against "not run" for one that
    # the helper may have sent before.
    async def test_a_helper_that_freezes_leaves_the_outcome_unknown(self) -> None:
        for script in ("mute", "hold"):
            with self.subTest(script=script):
                self.direct.script = script
                with self.assertRaises(AnswerLost):
                    await self._send(replace(send_to(UPSTREAM), silent_ms=SHORT_MS))
                self.assertEqual(len(self.direct.sends), 1)
                self.direct.sends.clear()

    # Guards against a call that waits for a link between gateways that went silent midway.
    async def test_a_link_to_the_helper_that_is_cut_midway_leaves_the_outcome_unknown(self) -> None:
        self.direct.script = "hold"
        relay = Relay(self.address)
        await relay.start()
        self.address = relay.address
        sending = asyncio.ensure_future(self._send(replace(send_to(UPSTREAM), silent_ms=SHORT_MS)))
        while not self.service.in_progress:
            await asyncio.sleep(0.01)
        relay.fault = ConnectionFault.SILENCE
        with self.assertRaises(AnswerLost):
            await sending
        await relay.stop()

    # Guards against calls that are lost on a connection to a helper that is silent for good.
    async def test_a_helper_whose_connection_is_silent_is_found_out_and_not_asked(self) -> None:
        relay = Relay(self.address)
        await relay.start()
        self.address = relay.address
        await self._send()
        relay.fault = ConnectionFault.SILENCE
        with self.assertRaises(AnswerLost):
            await self._send(replace(send_to(UPSTREAM), silent_ms=KEEPALIVE_MS))
        with self.assertRaises(NotSent):
            await self._send()
        await relay.stop()

    async def test_a_loss_at_the_helper_is_a_loss_and_a_closed_port_is_not_sent(self) -> None:
        for script, error in (("lost", AnswerLost), ("cut", AnswerLost), ("closed", NotSent)):
            with self.subTest(script=script):
                self.direct.script = script
                with self.assertRaises(error):
                    await self._send()

    async def test_a_helper_that_can_not_be_reached_has_sent_nothing(self) -> None:
        await self.server.stop(0)
        with self.assertRaises(NotSent):
            await self._send()
        self.assertIsNone(await self.links.refuses(self.address, ("key",), UPSTREAM.address))
        self.assertEqual(self.direct.sends, [])

    async def test_the_proof_that_nothing_ran_is_passed_on(self) -> None:
        self.direct.script = "full"
        async with self.links.send(self.address, ("key",), send_to(UPSTREAM)) as answer:
            self.assertIs(answer.not_run, NotRun.FULL)


async def _opens(address: str) -> bool:
    return True
