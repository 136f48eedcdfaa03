"""Messages and connections between the system's own processes.

Damaged messages must be refused, and so must processes without a certificate of this deployment's
authority.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import AsyncIterator
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from ..consensus.messages import CONSENSUS_CODEC, VoteReply
from ..control.commands import COMMAND_CODEC, AdvanceTime
from ..control.messages import CONTROL_CODEC
from ..ownership import TICKET_CODEC
from ..wire import Codec, RpcChannel, RpcServer, TlsFiles
from ..wire.certificate_authority import CertificateAuthority

_MESSAGE = VoteReply(1, True)
SLOW_S = 2.0
"""Longer than a connection with a silent call was kept open for others once."""


class CodecTest(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_any_bytes_are_a_message_or_refused(self, data: bytes) -> None:
        for codec in (CONSENSUS_CODEC, CONTROL_CODEC, COMMAND_CODEC, TICKET_CODEC):
            self._decode(codec, data)

    @given(st.integers(0, 30), st.integers(0, 255))
    def test_damaged_messages_are_refused_or_well_typed(self, at: int, value: int) -> None:
        data = bytearray(COMMAND_CODEC.encode(AdvanceTime(1234)))
        data[at % len(data)] = value
        found = self._decode(COMMAND_CODEC, bytes(data))
        self.assertIsInstance(found, AdvanceTime | None)

    def _decode(self, codec: Codec, data: bytes) -> Any:
        try:
            return codec.decode(data)
        except ValueError:
            return None


class MutualTlsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.temporary = TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.authority = CertificateAuthority("office")
        self.files = self.authority.issue(self.folder, "server")
        self.server = RpcServer("127.0.0.1:0", self.files)
        self.server.add_unary("Echo", CONSENSUS_CODEC, _echo)
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.server.stop(0)
        self.temporary.cleanup()

    async def _call(self, files: TlsFiles | None) -> Any:
        channel = RpcChannel(f"127.0.0.1:{self.server.port}", CONSENSUS_CODEC, files)
        try:
            return await channel.call("Echo", VoteReply(1, True), 3000)
        finally:
            await channel.close()

    async def test_only_processes_of_this_deployment_are_answered(self) -> None:
        client = self.authority.issue(self.folder, "client")
        self.assertEqual(await self._call(client), VoteReply(1, True))
        stranger = CertificateAuthority("elsewhere").issue(self.folder, "stranger")
        mixed = TlsFiles(stranger.key_file, stranger.cert_file, client.ca_file)
        for files in (None, stranger, mixed):
            with self.subTest(files=files), self.assertRaises(ConnectionError):
                await self._call(files)

    async def test_renewed_files_are_used_without_a_restart(self) -> None:
        # The authority is replaced. A client that trusts only the new one must get an answer.
        renewed = CertificateAuthority("renewed")
        renewed.issue(self.folder, "server")
        client = renewed.issue(self.folder, "client")
        self.assertEqual(await self._call(client), VoteReply(1, True))


class SharedConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Calls and streams that share one connection with a call that fails."""

    async def asyncSetUp(self) -> None:
        self.may_go_on = asyncio.Event()
        self.arrived = asyncio.Event()
        self.server = RpcServer("127.0.0.1:0")
        self.server.add_unary("Hang", CONSENSUS_CODEC, self._hang)
        self.server.add_stream("Stream", CONSENSUS_CODEC, self._stream)
        await self.server.start()
        self.channel = RpcChannel(f"127.0.0.1:{self.server.port}", CONSENSUS_CODEC)

    async def asyncTearDown(self) -> None:
        await self.channel.close()
        await self.server.stop(0)

    async def _hang(self, msg: Any, context: Any) -> Any:
        self.arrived.set()
        await asyncio.get_running_loop().create_future()

    async def _stream(self, messages: Any, context: Any) -> AsyncIterator[Any]:
        yield VoteReply(1, True)
        await self.may_go_on.wait()
        yield VoteReply(2, True)

    # Guards against answers that are cut off since another call on their connection timed out.
    async def test_a_stream_goes_on_after_a_call_on_its_connection_timed_out(self) -> None:
        stream = self.channel.stream("Stream")
        self.assertEqual(await stream.read(), VoteReply(1, True))
        with self.assertRaises(ConnectionError):
            await self.channel.call("Hang", VoteReply(1, True), 100)
        self.may_go_on.set()
        self.assertEqual(await stream.read(), VoteReply(2, True))

    # Guards against a task that ends as if it were cancelled, since the connection of its call was
    # closed for another one's sake.
    async def test_a_call_whose_connection_is_closed_fails_as_one_that_lost_it(self) -> None:
        calling = asyncio.ensure_future(self.channel.call("Hang", VoteReply(1, True), 60_000))
        await self.arrived.wait()
        await self.channel.close()
        with self.assertRaises(ConnectionError):
            await calling

    async def test_a_call_that_is_cancelled_itself_stays_cancelled(self) -> None:
        calling = asyncio.ensure_future(self.channel.call("Hang", VoteReply(1, True), 60_000))
        await self.arrived.wait()
        calling.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await calling


class SharedChannelTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = RpcServer("127.0.0.1:0")
        self.server.add_unary("Slow", CONSENSUS_CODEC, _answer_late)
        self.server.add_unary("Mute", CONSENSUS_CODEC, _answer_never)
        self.server.add_stream("Stream", CONSENSUS_CODEC, _echo_all)
        await self.server.start()
        self.channel = RpcChannel(f"127.0.0.1:{self.server.port}", CONSENSUS_CODEC)

    async def asyncTearDown(self) -> None:
        await self.channel.close()
        await self.server.stop(0)

    # Guards against one call whose peer is silent that ends the streams and calls of others.
    async def test_a_call_without_an_answer_ends_no_other(self) -> None:
        stream = self.channel.stream("Stream")
        await stream.write(_MESSAGE)
        self.assertEqual(await stream.read(), _MESSAGE)
        slow = asyncio.ensure_future(self.channel.call("Slow", _MESSAGE, 10_000))
        await asyncio.sleep(0.1)
        with self.assertRaises(ConnectionError):
            await self.channel.call("Mute", _MESSAGE, 200)
        self.assertEqual(await slow, _MESSAGE)
        await stream.write(_MESSAGE)
        self.assertEqual(await stream.read(), _MESSAGE)
        stream.cancel()

    # Guards against connections that were found silent and stay open for ever, and against one
    # that closes between the wait for it and its stream.
    async def test_a_connection_that_is_not_used_any_more_closes_behind_its_last_stream(
        self,
    ) -> None:
        await self.channel.wait_connected()
        stream = self.channel.stream("Stream")
        with self.assertRaises(ConnectionError):
            await self.channel.call("Mute", _MESSAGE, 100)
        self.assertEqual([one.is_closing for one in self.channel._retired], [False])
        former = self.channel._retired[0]
        stream.cancel()
        await asyncio.sleep(0.1)
        self.assertTrue(former.is_closing)
        opening = asyncio.ensure_future(self._connect_and_open())
        await asyncio.sleep(0)
        self.channel.retire()
        stream = await opening
        await stream.write(_MESSAGE)
        self.assertEqual(await stream.read(), _MESSAGE)
        self.assertFalse(self.channel.is_closed)
        stream.cancel()
        await asyncio.sleep(0.1)
        self.assertTrue(self.channel.is_closed)

    async def _connect_and_open(self) -> Any:
        await self.channel.wait_connected()
        return self.channel.stream("Stream")

    # Guards against the end of a connection that a call takes for its own cancellation.
    async def test_a_call_on_a_connection_that_is_closed_has_failed(self) -> None:
        calling = asyncio.ensure_future(self.channel.call("Mute", _MESSAGE, 10_000))
        await asyncio.sleep(0.1)
        await self.channel.close()
        with self.assertRaises(ConnectionError):
            await calling


async def _echo(msg: Any, context: Any) -> Any:
    return msg


async def _answer_late(msg: Any, context: Any) -> Any:
    await asyncio.sleep(SLOW_S)
    return msg


async def _answer_never(msg: Any, context: Any) -> Any:
    await asyncio.sleep(60)


async def _echo_all(messages: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:
    async for msg in messages:
        yield msg
