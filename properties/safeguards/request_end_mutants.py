"""Mutants of the safeguards of how a client's request ends."""

from __future__ import annotations

from ..mutant import Mutant

_REPLY = "chestnutfall/platform/client_reply.py"
_REPLY_TEST = "chestnutfall.tests.test_client_reply"

_ENTRY = "chestnutfall/platform/entry_server.py"
_ENDED = "chestnutfall/forwarding/ended_reply.py"
_ENDS = "chestnutfall/forwarding/request_ends.py"
_FORWARDER = "chestnutfall/forwarding/forwarder.py"
_FAULTS_TEST = "chestnutfall.tests.test_call_faults"
_LINGER = "chestnutfall/platform/lingering_close.py"
_CONNECTIONS_TEST = "chestnutfall.tests.test_client_connections"
_ENDS_TEST = "chestnutfall.tests.test_request_ends"

REQUEST_END_MUTANTS = (
    Mutant(
        "end of the gateway called one of the client",
        _ENDED,
        "        if self.is_gone():\n            self.note_gone()\n        elif self.end is None:",
        "        if True:\n            self.note_gone()\n        elif self.end is None:",
        _ENDS_TEST,
    ),
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
        "        if self._broken_off or self._is_stopping():",
        "        if self._is_stopping():",
        _REPLY_TEST,
    ),
    Mutant(
        "cancelled future taken for a cancelled request",
        _ENDS,
        "            if isinstance(exc, asyncio.CancelledError) and was_cancelled():",
        "            if isinstance(exc, asyncio.CancelledError):",
        _FAULTS_TEST,
    ),
    Mutant(
        "fault after a send refused as not run",
        _ENDS,
        "    if answer.may_have_run:",
        "    if False:",
        _FAULTS_TEST,
    ),
    Mutant(
        "timeout of a part taken for the end of the call's time",
        _FORWARDER,
        "            run = keep_timeouts_apart(self._run(progress, route, table, reply))",
        "            run = self._run(progress, route, table, reply)",
        _FAULTS_TEST,
    ),
    Mutant(
        "second end after an answer",
        _ENDED,
        "        if self._begun:\n            self.break_off(BrokenOff(end.reason))",
        "        if False:\n            self.break_off(BrokenOff(end.reason))",
        _FAULTS_TEST,
    ),
    Mutant(
        "last write cut by the end of the call's time",
        _REPLY,
        "        await self._send_end(response.write_eof())",
        "        await self._to_client(response.write_eof())",
        _CONNECTIONS_TEST,
    ),
    Mutant(
        "answer kept for a client that does not read",
        _ENDS,
        "            await self._clock.within_ms(READ_WITHIN_MS, answer.delivered())",
        "            await answer.delivered()",
        _ENDS_TEST,
    ),
    Mutant(
        "cut answer without chunks looks whole",
        _REPLY,
        "        if self.response is not None and not _is_framed(self.response):",
        "        if False:",
        _CONNECTIONS_TEST,
    ),
    Mutant(
        "request held for a body that does not come",
        _ENTRY,
        "            body = await self._clock.within_ms(_deadline_ms(request), reading)",
        "            body = await reading",
        _CONNECTIONS_TEST,
    ),
    Mutant(
        "connection closed with bytes unread",
        _ENTRY,
        "        if not response.keep_alive:",
        "        if False:",
        _CONNECTIONS_TEST,
    ),
    Mutant(
        "lingering connection holds up the end of the process",
        _LINGER,
        "_wait_for(stopping))",
        "clock.sleep_ms(LINGER_MS))",
        _CONNECTIONS_TEST,
    ),
    Mutant(
        "lingering connection reads nothing",
        _LINGER,
        "    request.protocol.close()\n    transport.resume_reading()",
        "    request.protocol.close()",
        _CONNECTIONS_TEST,
    ),
    Mutant(
        "body decoded on its way",
        _ENTRY,
        "            auto_decompress=False,",
        "            auto_decompress=True,",
        _CONNECTIONS_TEST,
    ),
    Mutant(
        "client never asked for its body",
        _ENTRY,
        "        await reply.ask_for_body()\n",
        "",
        _CONNECTIONS_TEST,
    ),
    Mutant(
        "running requests not ended before the process",
        _ENTRY,
        "        self._forwarder.end_running()\n",
        "",
        _CONNECTIONS_TEST,
    ),
    Mutant(
        "closed connection to a helper taken for a cancelled request",
        "chestnutfall/paths/help_stream.py",
        "        if was_cancelled():\n            raise\n",
        "        raise\n",
        "chestnutfall.tests.test_helper_links",
    ),
    Mutant(
        "calls that wait for a helper get an error of the RPC library",
        "chestnutfall/paths/helper_links.py",
        "        except (TimeoutError, grpc.aio.UsageError) as exc:",
        "        except TimeoutError as exc:",
        "chestnutfall.tests.test_helper_links",
    ),
    Mutant(
        "closed connection taken for a cancelled task",
        "chestnutfall/wire/rpc_channel.py",
        "            if was_cancelled():\n                raise\n",
        "            raise\n",
        "chestnutfall.tests.test_wire",
    ),
)
