"""Ends of requests as clients see them on their connections."""

from __future__ import annotations

import asyncio
import gzip
import socket
import unittest
from unittest.mock import patch

from ..clock import SystemClock
from ..forwarding.call import Call
from ..forwarding.ended_reply import EndedReply
from ..forwarding.progress import Progress
from ..forwarding.request_end import BrokenOff, Refused
from ..platform.lingering_close import LINGER_MS
from ..routes import DocumentLimits
from ..wire.bounded_connection import BoundedConnection
from .fakes.served_entry import ServedEntry, Work

MAX_BODY_BYTES = 100_000
HUGE = b"x" * 16_000_000
"""More than the buffers of both ends of a connection hold."""
LARGE = b"x" * 300_000
"""More than a client's end of a connection holds at first."""
SHORT_MS = 50
LINGERING = 50
"""Connections that wait for their clients to close them."""
LAST_CHUNK = b"0\r\n\r\n"


def request(body: bytes = b"", *, version: str = "1.1", length: int | None = None) -> bytes:
    """A client's request; `length` is that of the whole body if only a part is sent."""
    size = len(body) if length is None else length
    return (
        f"POST /a/x HTTP/{version}\r\nHost: a.example\r\nX-Request-Id: id-1\r\n"
        f"Content-Length: {size}\r\n\r\n"
    ).encode() + body


async def answer_whole(call: Call, answer: EndedReply) -> None:
    await answer.send_whole(200, (), b"answer to " + call.body)


class ClientConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def _start(self, work: Work) -> ServedEntry:
        entry = ServedEntry(work, DocumentLimits(max_body_bytes=MAX_BODY_BYTES))
        await entry.start()
        self.addAsyncCleanup(entry.stop)
        return entry

    async def _cut_in_the_middle(self, work: Work) -> tuple[ServedEntry, bytes]:
        """Give `work` a short time while the client does not read; return what it reads then."""
        cut = asyncio.Event()

        async def within_short_time(call: Call, answer: EndedReply) -> None:
            try:
                await SystemClock().within_ms(SHORT_MS, work(call, answer))
            except TimeoutError:
                cut.set()
                await answer.refuse(Refused(504, "out_of_time"))

        entry = await self._start(within_short_time)
        reader, writer = await entry.connect()
        writer.write(request().replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
        # The limit of the reader's buffer stops it.
        await cut.wait()
        got = await reader.read()
        writer.close()
        return entry, got

    # Guards against an answer that its client reads slowly until the call's time is up: a refusal
    # was written behind it on the same connection, or the rest of it was thrown away.
    async def test_a_timeout_in_the_last_write_neither_spoils_nor_loses_the_answer(self) -> None:
        async def whole(call: Call, answer: EndedReply) -> None:
            await answer.send_whole(200, (), HUGE)

        entry, got = await self._cut_in_the_middle(whole)
        head, _, body = got.partition(b"\r\n\r\n")
        self.assertEqual(head.split(b"\r\n")[0], b"HTTP/1.1 200 OK")
        self.assertEqual((len(body), body == HUGE), (len(HUGE), True))
        self.assertEqual(entry.ended("answered"), 1)

    # Guards against a reset that destroys the refusal of a body that is too long: the gateway
    # closes the connection while parts of the body are still unread.
    async def test_a_body_that_is_too_long_gets_its_whole_refusal(self) -> None:
        entry = await self._start(answer_whole)
        reader, writer = await entry.connect()
        writer.write(request(b"x" * MAX_BODY_BYTES * 50))
        await writer.drain()
        got = await reader.readuntil(b"body_too_large")
        self.assertTrue(got.startswith(b"HTTP/1.1 413 "), got[:50])
        self.assertEqual((entry.ended("refused"), entry.calls), (1, []))
        writer.close()

    # Guards against the same at the end of the process, which closes its connections at once.
    async def test_a_stop_lets_a_client_that_still_sends_have_its_refusal(self) -> None:
        entry = await self._start(answer_whole)
        reader, writer = await entry.connect()
        writer.write(request(b"x" * MAX_BODY_BYTES * 2, length=MAX_BODY_BYTES * 50))
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 413 "), head[:50])
        entry.server.announce_leaving()
        stopping = asyncio.ensure_future(entry.stop())
        for _ in range(47):
            writer.write(b"x" * MAX_BODY_BYTES)
            await writer.drain()
        self.assertEqual(await reader.readexactly(14), b"body_too_large")
        writer.close()
        await stopping

    # Guards against a process that ends while the end of an answer lies in it, for a client that
    # reads slowly: the request itself counts as answered.
    async def test_an_answer_is_in_progress_until_the_system_has_taken_all_of_it(self) -> None:
        async def answer_until_some_is_unsent(call: Call, answer: EndedReply) -> None:
            (conn,) = entry.client_server().connections
            assert isinstance(conn, BoundedConnection)
            await answer.start(200, ())
            while not conn.unsent_bytes:
                await answer.write(b"x" * 4_000)
            await answer.finish()

        entry = await self._start(answer_until_some_is_unsent)
        loop = asyncio.get_running_loop()
        with socket.create_connection(("127.0.0.1", entry._port)) as client:
            client.setblocking(False)
            await loop.sock_sendall(client, request())
            while not entry.ended("answered"):
                await asyncio.sleep(0.001)
            self.assertEqual(entry.server.calls_in_progress(), 1)
            while entry.server.calls_in_progress():
                await loop.sock_recv(client, 65_536)

    # Guards against a request that is held for ever: the rest of its body never comes, or breaks
    # the protocol, which the HTTP library doesn't tell whoever reads the body.
    async def test_a_body_that_does_not_come_is_refused_at_the_deadline(self) -> None:
        head = b"POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Deadline-Ms: 50\r\n"
        chunked, sized = b"Transfer-Encoding: chunked\r\n\r\n", b"Content-Length: 5\r\n\r\n"
        for framing, rest in ((chunked, b"no size\r\n"), (chunked, b"2\r\nab\r\n"), (sized, b"ab")):
            with self.subTest(rest):
                entry = await self._start(answer_whole)
                reader, writer = await entry.connect()
                writer.write(head + framing)
                while not entry.server.calls_in_progress():
                    await asyncio.sleep(0.001)
                writer.write(rest)
                got = await reader.readuntil(b"body_late")
                self.assertTrue(got.startswith(b"HTTP/1.1 408 "), got[:50])
                self.assertEqual((entry.ended("refused"), entry.calls), (1, []))
                writer.close()

    # Guards against a client that waits to be asked for its body until its deadline.
    async def test_a_client_that_waits_to_be_asked_for_its_body_is_asked(self) -> None:
        entry = await self._start(answer_whole)
        reader, writer = await entry.connect()
        writer.write(request(length=4).replace(b"\r\n", b"\r\nExpect: 100-continue\r\n", 1))
        asked = await reader.readuntil(b"\r\n\r\n")
        self.assertEqual(asked, b"HTTP/1.1 100 Continue\r\n\r\n")
        writer.write(b"body")
        got = await reader.readuntil(b"answer to body")
        self.assertTrue(got.startswith(b"HTTP/1.1 200 "), got[:50])
        self.assertNotIn("expect", {name.lower() for name, _ in entry.calls[0].headers})
        writer.close()

    # Guards against an upstream that runs other bytes than the client sent: the HTTP library
    # decoded the body, and the header that names its encoding was passed on.
    async def test_an_encoded_body_reaches_the_forwarder_as_it_is(self) -> None:
        entry = await self._start(answer_whole)
        for encoding, body in (
            (b"gzip", gzip.compress(b"body")),
            (b"gzip", b"none"),
            (b"br", b"x"),
        ):
            with self.subTest(encoding=encoding, body=body):
                reader, writer = await entry.connect()
                encoded = b"\r\nContent-Encoding: " + encoding + b"\r\n"
                writer.write(request(body).replace(b"\r\n", encoded, 1))
                got = await reader.readuntil(b"\r\n")
                self.assertIn(b" 200 ", got)
                call = entry.calls[-1]
                self.assertEqual(call.body, body)
                self.assertIn(("Content-Encoding", encoding.decode()), call.headers)
                writer.close()

    # Guards against a client that leaves in its request and is counted as an end of the gateway.
    async def test_a_client_that_leaves_in_its_request_is_one_that_left(self) -> None:
        entry = await self._start(answer_whole)
        _, writer = await entry.connect()
        writer.write(request(b"x", length=10))
        await writer.drain()
        while not entry.server.calls_in_progress():
            await asyncio.sleep(0.001)
        writer.transport.abort()
        while entry.server.calls_in_progress():
            await asyncio.sleep(0.001)
        self.assertEqual(entry.ended("caller_left"), 1)

    # Guards against an answer cut off by the gateway that looks whole: without chunks, its end is
    # the end of the connection.
    async def test_a_broken_answer_without_chunks_ends_with_a_reset(self) -> None:
        async def break_off(call: Call, answer: EndedReply) -> None:
            await answer.start(200, ())
            await answer.write(b"id: 1\n\n")
            answer.break_off(BrokenOff("lost"))

        entry = await self._start(break_off)
        reader, writer = await entry.connect()
        writer.write(request(version="1.0"))
        with self.assertRaises(ConnectionResetError):
            await reader.read()
        writer.close()
        reader, writer = await entry.connect()
        writer.write(request())
        self.assertFalse((await reader.read()).endswith(LAST_CHUNK))
        writer.close()

    # Guards against a cancelled future that several calls await: the connections of all of them
    # were closed without an answer. The connection serves the next request.
    async def test_a_cancelled_future_leaves_the_connection_usable(self) -> None:
        shared: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        async def wait(call: Call, answer: EndedReply) -> None:
            if call.body:
                await answer_whole(call, answer)
            else:
                await SystemClock().within_ms(60_000, _await(shared))

        entry = await self._start(wait)
        reader, writer = await entry.connect()
        writer.write(request())
        while not entry.calls:
            await asyncio.sleep(0.001)
        shared.cancel()
        got = await reader.readuntil(b"gateway_fault")
        self.assertTrue(got.startswith(b"HTTP/1.1 503 "), got[:50])
        writer.write(request(b"2"))
        self.assertIn(b"200 OK", await reader.readuntil(b"answer to 2"))
        self.assertEqual((entry.ended("refused"), entry.ended("answered")), (1, 1))
        writer.close()

    # Guards against connections that are closed without an answer as the process is killed: their
    # requests are still running at the end of the grace time.
    async def test_requests_that_run_as_the_process_ends_are_given_an_end(self) -> None:
        async def run(call: Call, answer: EndedReply) -> None:
            answer.progress = Progress(call, 0, "s", sends=int(call.body == b"sent"))
            if call.body == b"begun":
                await answer.start(200, ())
                await answer.write(b"id: 1\n\n")
            await asyncio.get_running_loop().create_future()

        entry = await self._start(run)
        expected = {
            b"waits": (b"HTTP/1.1 503 ", b"stopping"),
            b"sent": (b"HTTP/1.1 502 ", b"stopping"),
            b"begun": (b"HTTP/1.1 200 ", b"id: 1\n\n\r\n"),
        }
        connections = [await entry.connect() for _ in expected]
        for (_, writer), body in zip(connections, expected, strict=True):
            writer.write(request(body))
        while len(entry.calls) < len(expected):
            await asyncio.sleep(0.001)
        await entry.stop()
        for (reader, writer), (head, end) in zip(connections, expected.values(), strict=True):
            got = await reader.read()
            self.assertTrue(got.startswith(head) and got.endswith(end), got)
            writer.close()
        self.assertEqual((entry.ended("refused"), entry.ended("broken_off")), (2, 1))

    # Guards against pipelined requests that get each other's answers or none.
    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        entry = await self._start(answer_whole)
        reader, writer = await entry.connect()
        writer.write(b"".join(request(b"%d;" % number) for number in range(20)))
        for number in range(20):
            got = await reader.readuntil(b"answer to %d;" % number)
            self.assertEqual(got.count(b"answer to"), 1)
        writer.close()

    # Guards against a last answer that a reset destroys: the gateway leaves and closes the
    # connection behind it, and more requests of the client have come.
    async def test_the_last_answer_before_a_close_is_whole_though_more_is_sent(self) -> None:
        may_answer = asyncio.Event()

        async def large(call: Call, answer: EndedReply) -> None:
            await may_answer.wait()
            await answer.send_whole(200, (), LARGE)

        entry = await self._start(large)
        entry.server.announce_leaving()
        # It reads nothing while it sends more than the buffers of the connection hold.
        reader, writer = await entry.connect(limit=1_024)
        writer.write(request() + request(b"x" * 60_000) * 200)
        await _until_blocked(writer)
        may_answer.set()
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b"connection: close", head.lower())
        self.assertEqual((len(await reader.read()), len(entry.calls)), (len(LARGE), 1))
        writer.close()

    # Guards against a drain that keeps the processor busy with connections that wait for their
    # clients to close them, and against one that notices the ends of these late.
    async def test_connections_that_linger_set_one_timer_each_and_end_with_their_clients(
        self,
    ) -> None:
        entry = await self._start(answer_whole)
        entry.server.announce_leaving()
        conns = [await entry.connect() for _ in range(LINGERING)]
        for _, writer in conns:
            writer.write(request(b"x"))
        for reader, _ in conns:
            self.assertTrue((await reader.read()).endswith(b"answer to x"))
        loop = asyncio.get_running_loop()
        with patch.object(loop, "call_at", wraps=loop.call_at) as timers:
            await asyncio.sleep(LINGER_MS / 4_000)
        self.assertLessEqual(timers.call_count, LINGERING)
        server = entry.client_server()
        self.assertEqual(len(server.connections), LINGERING)
        for _, writer in conns[:-1]:
            writer.close()
        async with asyncio.timeout(LINGER_MS / 4_000):
            while len(server.connections) > 1:
                await asyncio.sleep(0.001)
            await entry.stop()
        self.assertEqual(len(server.connections), 0)


async def _until_blocked(writer: asyncio.StreamWriter) -> None:
    """Wait until the other end reads no more."""
    sizes = [0] * 20
    while not sizes[0] == sizes[-1] > 0:
        await asyncio.sleep(0.001)
        sizes = [*sizes[1:], writer.transport.get_write_buffer_size()]


async def _await(fut: asyncio.Future[None]) -> None:
    await fut
