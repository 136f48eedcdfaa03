"""Calls that one gateway sends for another, over real connections."""

from __future__ import annotations

import asyncio
import random
import socket
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from unittest.mock import patch

from soak.relay import ConnectionFault, Relay

from ..clock import SystemClock
from ..control.upstream_record import UpstreamRecord
from ..forwarding.answer_head import AnswerHead
from ..forwarding.call import Headers
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import NotRun, UpstreamAnswer
from ..forwarding.upstream_api import AnswerLost, NotSent, UpstreamApi
from ..paths import helper_links
from ..paths.helped_upstream_api import HelpedUpstreamApi
from ..paths.helper_api import HELPER_SILENCE_MS, HelperUnusable
from ..paths.helper_links import CHECK_MS, HelperLinks
from ..paths.helper_service import HelperService
from ..paths.known_helpers import KnownHelpers
from ..paths.leader_messages import HelperGateways
from ..paths.messages import (
    CHECK_METHOD,
    HELP_CODEC,
    HELP_METHOD,
    MAX_INLINE_BYTES,
    MAX_MESSAGE_BYTES,
    BodyPart,
    SendLongCall,
)
from ..paths.path_table import PathTable
from ..requests.awaited import Unawaited, send_while
from ..signals import NO_SIGNALS
from ..wire import RpcChannel, RpcServer
from .fakes.accounts import usual_memory
from .fakes.limit_parts import known_signals
from .fakes.path_office import send_to
from .process_office import free_address

UPSTREAM = UpstreamRecord("i0", "s", "10.0.0.1:80", "dc")
LONG_BODY = bytes(range(256)) * 4096
SHORT_MS = 100.0
"""A silence that ends a call within a test."""
KEEPALIVE_MS = 10_000.0
"""Longer than the keepalive between gateways takes to find a silent connection."""
PING_S = 2.0
"""Time after the last part at which a connection between gateways sends a keepalive ping."""
SILENT_S = 1.5
"""A silence that is no fault."""
PARTS = (b"id: 1\r\n", LONG_BODY, b"\x00\xff end")


def _with_body(body: bytes) -> ForwardedCall:
    forwarded = send_to(UPSTREAM)
    return replace(forwarded, call=replace(forwarded.call, body=body))


class _ScriptedLink(UpstreamApi):
    """Answers with `PARTS`; `script` may hold parts back for `hold_s`, break it off or fail it."""

    def __init__(self) -> None:
        self.script = "whole"
        self.hold_s = 60.0
        self.sends: list[ForwardedCall] = []
        self.ended = asyncio.Event()

    def interpret(self, status: int, headers: Headers, forwarded: ForwardedCall) -> AnswerHead:
        return AnswerHead(NotRun.FULL if status == 503 else None, NO_SIGNALS)

    @asynccontextmanager
    async def send(self, forwarded: ForwardedCall) -> AsyncIterator[UpstreamAnswer]:
        self.sends.append(forwarded)
        if self.script == "closed":
            raise NotSent("refused")
        if self.script == "fault":
            raise ZeroDivisionError
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
                await asyncio.sleep(self.hold_s)
                self.script = "whole"


class HelperLinksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock, rng = SystemClock(), random.Random(1)
        self.direct = _ScriptedLink()
        helpers = KnownHelpers(clock, rng)
        helpers.apply(HelperGateways((), "key"))
        self.links = HelperLinks(self.direct, clock)
        self.port_s = 0.0
        api = HelpedUpstreamApi(
            self.direct,
            self.links,
            helpers,
            PathTable(clock),
            _opens,
            lambda: False,
            clock,
            usual_memory(),
        )
        self.memory = usual_memory()
        self.service = HelperService(
            api,
            helpers.accepts,
            known_signals(clock),
            {UPSTREAM.instance: UPSTREAM}.get,
            lambda: [UPSTREAM],
            _opens,
            self._refuses,
            clock,
            rng,
            self.memory,
        )
        self.address = free_address()
        self.server = RpcServer(
            self.address, max_silence_ms=HELPER_SILENCE_MS, max_message_bytes=MAX_MESSAGE_BYTES
        )
        self.server.add_stream(HELP_METHOD, HELP_CODEC, self.service.serve)
        self.server.add_unary(CHECK_METHOD, HELP_CODEC, self.service.check_port)
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.links.close()
        await self.server.stop(0)

    async def _refuses(self, address: str) -> bool:
        await asyncio.sleep(self.port_s)
        return True

    async def _send(self, forwarded: ForwardedCall | None = None) -> bytes:
        call = forwarded or send_to(UPSTREAM)
        async with self.links.send(self.address, ("key",), call) as answer:
            self.assertEqual(answer.headers, (("X-Kept", "é"),))
            self.assertTrue(answer.is_helped)
            return b"".join([data async for data in answer.body])

    async def _begin(self, forwarded: ForwardedCall) -> asyncio.Future[bytes]:
        """Begin a send, and return once the helper has it, however long it takes to connect."""
        with patch.object(helper_links, "CONNECT_MS", KEEPALIVE_MS):
            sending = asyncio.ensure_future(self._send(forwarded))
            while not self.service.in_progress:
                await asyncio.sleep(0.01)
        return sending

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

    async def test_a_long_body_arrives_byte_for_byte(self) -> None:
        await self._send(_with_body(LONG_BODY))
        self.assertEqual(self.direct.sends[0].call.body, LONG_BODY)
        self.assertEqual(self.service.in_progress, 0)
        self.assertEqual(self.memory.held_bytes, 0)

    # Guards against a helper that ends by the bodies of many gateways: each had sent its own whole
    # before the helper could refuse it.
    async def test_a_helper_without_room_gets_no_long_body(self) -> None:
        before = HELP_CODEC.traffic.received["BodyPart"]
        with self.memory.holder() as held:
            held.force(self.memory.capacity_bytes)
            with self.assertRaises(NotSent):
                await self._send(_with_body(LONG_BODY))
        self.assertEqual(HELP_CODEC.traffic.received["BodyPart"], before)
        self.assertEqual(self.direct.sends, [])

    # Guards against "unknown" in place of "not run", and against a call that no other helper gets.
    async def test_a_helper_that_is_lost_before_the_body_has_sent_nothing(self) -> None:
        with patch.object(self.service, "_reason_to_refuse", side_effect=ZeroDivisionError):
            with self.assertRaises(HelperUnusable):
                await self._send(_with_body(LONG_BODY))
        self.assertEqual(self.direct.sends, [])

    # Guards against a part of a body that is sent for the whole.
    async def test_a_body_that_does_not_come_whole_is_not_sent(self) -> None:
        with patch.object(helper_links, "BodyPart", lambda data: BodyPart(data[:-1])):
            with self.assertRaises(NotSent):
                await self._send(_with_body(LONG_BODY))
        self.assertEqual(self.direct.sends, [])
        self.assertEqual(self.memory.held_bytes, 0)

    # Guards against a helper that holds more of a body than it has drawn for.
    async def test_of_a_body_that_is_longer_than_announced_little_is_read(self) -> None:
        before = HELP_CODEC.traffic.received["BodyPart"]
        longer = patch.object(
            helper_links,
            "SendLongCall",
            lambda keys, forwarded, size: SendLongCall(keys, forwarded, MAX_INLINE_BYTES + 1),
        )
        with longer, self.assertRaises((NotSent, AnswerLost)):
            await self._send(_with_body(LONG_BODY * 8))
        self.assertLess(HELP_CODEC.traffic.received["BodyPart"] - before, 4)
        self.assertEqual(self.direct.sends, [])

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

    # Guards against a call that is passed on though its client left as the connection to the helper
    # opened.
    async def test_a_call_that_was_left_while_connecting_is_not_passed_on(self) -> None:
        is_awaited = True
        connected = self.links._connected

        async def connect_and_leave(address: str) -> RpcChannel:
            nonlocal is_awaited
            is_awaited = False
            return await connected(address)

        send_while(lambda: is_awaited)
        with patch.object(self.links, "_connected", connect_and_leave):
            with self.assertRaises(Unawaited):
                await self._send()
        self.assertEqual(self.direct.sends, [])

    # Guards against a helper that sends what was left long ago: on a link that was silent for a
    # while, a call and its cancellation arrive together.
    async def test_a_call_that_was_left_on_a_silent_link_is_not_sent_by_the_helper(self) -> None:
        relay = Relay(self.address)
        await relay.start()
        self.address = relay.address
        await self._send()
        self.direct.sends.clear()
        relay.cut["127.0.0.1"] = ConnectionFault.SILENCE
        calls = [asyncio.ensure_future(self._send(send_to(UPSTREAM, at))) for at in range(20)]
        await asyncio.sleep(0.2)
        for one in calls:
            one.cancel()
        await asyncio.wait(calls)
        relay.cut.clear()
        # The last call is read behind those that were left.
        await self._send(send_to(UPSTREAM, len(calls)))
        sent = [one.call.request_id for one in self.direct.sends]
        self.assertEqual(sent, [f"id-{len(calls)}"])
        await relay.stop()

    # Guards against a call whose client gets no answer: the connection to its helper is closed
    # while the helper sends it, which gRPC reports as a cancellation of whoever waits for it.
    async def test_a_connection_that_is_closed_before_the_answer_is_a_lost_answer(self) -> None:
        await self._assert_lost_by_close("mute")

    async def test_a_connection_that_is_closed_in_the_answer_is_a_lost_answer(self) -> None:
        await self._assert_lost_by_close("hold")

    async def _assert_lost_by_close(self, script: str) -> None:
        self.direct.script = script
        sending = asyncio.ensure_future(self._send())
        while not self.service.in_progress:
            await asyncio.sleep(0.01)
        await self.links.close()
        with self.assertRaises(AnswerLost):
            await sending

    # Guards against an error of the RPC library that a client gets as one of the gateway: several
    # calls wait for a connection to a silent helper, and the first one that gives up closes it.
    async def test_all_that_wait_for_a_silent_helper_are_not_sent(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as silent:
            address = f"127.0.0.1:{silent.getsockname()[1]}"
            results = await asyncio.gather(
                *(self._ask_later(address, delay_s) for delay_s in (0, 0.05, 0.1)),
                return_exceptions=True,
            )
        self.assertEqual([type(result) for result in results], [HelperUnusable] * 3)

    async def _ask_later(self, address: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        async with self.links.send(address, ("key",), send_to(UPSTREAM)):
            pass

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

    # Guards against an answer that is lost since the link to the helper was silent for a moment: a
    # keepalive ping that is sent then gets no answer in time.
    async def test_an_answer_outlives_a_silent_second_of_the_link_to_the_helper(self) -> None:
        relay = Relay(self.address)
        await relay.start()
        self.address = relay.address
        self.direct.script, self.direct.hold_s = "hold", 2 * PING_S
        forwarded = replace(send_to(UPSTREAM), silent_ms=KEEPALIVE_MS)
        sending = asyncio.ensure_future(self._send(forwarded))
        await asyncio.sleep(PING_S - 0.2)
        relay.cut["127.0.0.1"] = ConnectionFault.SILENCE
        await asyncio.sleep(SILENT_S)
        relay.cut.clear()
        self.assertEqual(await sending, b"".join(PARTS))
        await relay.stop()

    # Guards against a check of a port, which the helper leaves without an answer, that ends the
    # living answers of all calls that go through it.
    async def test_answers_outlive_a_port_check_that_the_helper_does_not_answer(self) -> None:
        self.direct.script, self.direct.hold_s = "hold", CHECK_MS / 1000 + SILENT_S
        forwarded = replace(send_to(UPSTREAM), silent_ms=KEEPALIVE_MS)
        sending = await self._begin(forwarded)
        self.port_s = 60.0
        self.assertIsNone(await self.links.refuses(self.address, ("key",), UPSTREAM.address))
        self.assertEqual(await sending, b"".join(PARTS))

    # Guards against one send that fails at the helper and ends the others that go through it.
    async def test_answers_outlive_a_send_that_fails_on_their_connection(self) -> None:
        self.direct.script, self.direct.hold_s = "hold", SILENT_S
        forwarded = replace(send_to(UPSTREAM), silent_ms=KEEPALIVE_MS)
        sending = await self._begin(forwarded)
        self.direct.script = "fault"
        with patch.object(helper_links, "CLOSE_GRACE_S", 0.1):
            with self.assertRaises(AnswerLost):
                await self._send()
            self.assertNotIn(self.address, self.links._channels)
            self.assertEqual(await sending, b"".join(PARTS))

    # Guards against the end of a connection that is taken for the cancellation of the call: its
    # client was said to have left.
    async def test_a_stream_that_is_cancelled_by_others_is_a_loss(self) -> None:
        for script in ("mute", "hold"):
            with self.subTest(script=script):
                self.direct.script = script
                sending = await self._begin(send_to(UPSTREAM))
                await self.links._channels[self.address].close()
                with self.assertRaises(AnswerLost):
                    await sending
                while self.service.in_progress:
                    await asyncio.sleep(0.01)

    # Guards against calls that are lost on a connection to a helper that is silent for good.
    async def test_a_helper_whose_connection_is_silent_is_found_out_and_not_asked(self) -> None:
        relay = Relay(self.address)
        await relay.start()
        self.address = relay.address
        await self._send()
        relay.fault = ConnectionFault.SILENCE
        with self.assertRaises(AnswerLost):
            await self._send(replace(send_to(UPSTREAM), silent_ms=KEEPALIVE_MS))
        # For some ms the connection still looks open.
        self.assertNotIn(self.address, self.links._channels)
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
