"""Errors that nothing expects, raised by each part that a call meets, in each of its states."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any
from unittest.mock import patch

from ..forwarding.admission import Admission
from ..forwarding.faults import FAULT
from ..forwarding.repeats import Repeats
from ..forwarding.stream_origins import StreamOrigins
from ..forwarding.upstream_answer import NotRun, UpstreamAnswer
from ..forwarding.upstream_api import AnswerLost
from ..quarantine import RequestQuarantine
from ..routes import RouteKind
from ..signals import NO_SIGNALS
from .fakes.fake_upstreams import ListedSelector, RecordedReply
from .fakes.forwarder_case import ForwarderCase, event

FAULTS: tuple[type[BaseException], ...] = (
    ConnectionResetError,
    OSError,
    RuntimeError,
    KeyError,
    TimeoutError,
    asyncio.CancelledError,
)
NOT_SENT = (
    (Admission, "holder"),
    (Admission, "charge"),
    (RequestQuarantine, "retry_ms"),
    (StreamOrigins, "find"),
    (ListedSelector, "select"),
)
"""What a call passes before its first send."""


async def _body(fault: type[BaseException]) -> AsyncIterator[bytes]:
    yield event(1)
    raise fault("scripted")


class CallFaultsTest(ForwarderCase):
    """A call meets one fault; the client's connection is open all the while."""

    async def _serve_fault(self, kind: RouteKind, *script: Any) -> None:
        self.setUp()
        with self.assertLogs("chestnutfall.forwarding.request_ends", "INFO") as logs:
            await self._serve(kind, script)
        self.lines = [record.getMessage() for record in logs.records]
        self.assertNotIn("client closed", " ".join(self.lines))

    def _assert_refused(self, status: int, retry_after_ms: int | None) -> None:
        found = (self.reply.ended, self.reply.status, self.reply.retry_after_ms)
        self.assertEqual(found, ("refused", status, retry_after_ms))

    # Guards against a client whose connection is closed without an answer, or that gets an error
    # of the HTTP library, as a part that its request passes fails before anything is sent. The
    # request has not run, so that the client may be told to come back.
    async def test_a_fault_before_the_first_send_is_refused_as_not_run(self) -> None:
        for fault in FAULTS:
            for part, method in NOT_SENT:
                with (
                    self.subTest(fault=fault.__name__, part=part.__name__, method=method),
                    patch.object(part, method, side_effect=fault("scripted")),
                ):
                    await self._serve_fault(RouteKind.STREAM, (event(1),))
                    self._assert_refused(503, 500)
                    self.assertEqual((self.reply.reason, self.upstreams.sends), (FAULT, []))
                    self.assertIn(f"fault={fault.__name__} at=", self.lines[0])

    # Guards against a client that is told that its request has not run while it may run: an error
    # of its connection to the upstream reaches the forwarder as it is.
    async def test_a_fault_of_a_send_is_never_refused_as_not_run(self) -> None:
        for fault in FAULTS:
            for kind in (RouteKind.STREAM, RouteKind.NON_IDEMPOTENT):
                with self.subTest(fault=fault.__name__, kind=kind):
                    await self._serve_fault(kind, fault)
                    self._assert_refused(502, None)

    # Guards against a call that may run twice and ends with the first error of a connection.
    async def test_a_fault_of_a_send_is_repeated_as_the_loss_of_its_answer(self) -> None:
        for fault in FAULTS:
            with self.subTest(fault=fault.__name__):
                self.setUp()
                with self.assertLogs("chestnutfall.forwarding", "INFO") as logs:
                    await self._serve(RouteKind.IDEMPOTENT, [fault, (b"second",)])
                self.assertEqual((self.reply.ended, self.reply.body), ("whole", b"second"))
                # The transports' own timeouts are known, and those of a call are its end.
                if fault is not TimeoutError:
                    self.assertIn(f"fault={fault.__name__} at=", " ".join(logs.output))

    # Guards against a second answer behind a part of the first one: an error of the client's
    # connection is none of the upstream's.
    async def test_a_fault_of_the_reply_is_never_repeated(self) -> None:
        for fault in FAULTS:
            with (
                self.subTest(fault=fault.__name__),
                patch.object(RecordedReply, "send_whole", side_effect=fault("scripted")),
            ):
                await self._serve_fault(RouteKind.IDEMPOTENT, (b"first",), (b"second",))
                self.assertEqual((len(self.upstreams.sends), self.reply.body), (1, b""))

    # Guards against a stream that stops without its end and stays open, or that a second answer
    # follows: an error comes out of the body of the relayed answer.
    async def test_a_fault_in_a_stream_breaks_it_off(self) -> None:
        for fault in FAULTS:
            with self.subTest(fault=fault.__name__):
                answer = UpstreamAnswer(200, (), None, NO_SIGNALS, _body(fault))
                await self._serve_fault(RouteKind.STREAM, answer)
                self.assertEqual((self.reply.ended, self.reply.body), ("broken off", event(1)))

    # Guards against a fault after a lost send that is refused as not run: the lost send may run.
    async def test_a_fault_after_a_lost_send_is_never_refused_as_not_run(self) -> None:
        for fault in FAULTS:
            for part, method in ((Repeats, "spend"), (RequestQuarantine, "note_broken")):
                with (
                    self.subTest(fault=fault.__name__, method=method),
                    patch.object(part, method, side_effect=fault("scripted")),
                ):
                    await self._serve_fault(RouteKind.IDEMPOTENT, AnswerLost, (b"second",))
                    self._assert_refused(502, None)

    # Guards against a proven refusal of an upstream that is forgotten: the request did not run.
    async def test_a_fault_after_a_refusal_of_an_upstream_is_refused_as_not_run(self) -> None:
        for fault in FAULTS:
            with (
                self.subTest(fault=fault.__name__),
                patch.object(Repeats, "spend", side_effect=fault("scripted")),
            ):
                await self._serve_fault(RouteKind.NON_IDEMPOTENT, NotRun.FULL, (b"second",))
                self._assert_refused(503, 500)

    # Guards against an answer that is delivered and then followed by a refusal.
    async def test_a_fault_after_the_answer_changes_nothing(self) -> None:
        for fault in FAULTS:
            with (
                self.subTest(fault=fault.__name__),
                patch.object(StreamOrigins, "ended", side_effect=fault("scripted")),
            ):
                await self._serve_fault(RouteKind.IDEMPOTENT, (b"answer",))
                self.assertEqual((self.reply.ended, self.reply.body), ("whole", b"answer"))
