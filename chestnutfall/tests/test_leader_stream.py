"""The search of a gateway for the leader."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest.mock import patch

from ..clock import SystemClock
from ..coordination.messages import FLEET_CODEC, AskRepeat
from ..forwarding import leader_stream
from ..forwarding.leader_stream import LeaderStream, StreamListener
from .fakes.cancelled_stream import CancelledStream

STREAMS = 3
WITHIN_S = 5.0


class _Listener(StreamListener):
    def __init__(self) -> None:
        self.lost = 0

    @property
    def controllers(self) -> list[str]:
        return ["10.0.0.1:1"]

    def on_opened(self) -> asyncio.Queue[Any]:
        return asyncio.Queue()

    def on_message(self, msg: Any, address: str) -> None:
        raise AssertionError(msg)

    def on_lost(self, address: str) -> None:
        self.lost += 1


class _WritingListener(_Listener):
    """Has messages to send, the first of which can't be encoded."""

    def on_opened(self) -> asyncio.Queue[Any]:
        out: asyncio.Queue[Any] = asyncio.Queue()
        for number in (2**64, 1):
            out.put_nowait(AskRepeat(number, "drafts"))
        return out


class _WrittenStream(CancelledStream):
    """Encodes what is written, as gRPC does, and answers nothing."""

    def __init__(self, written: list[Any]) -> None:
        self._written = written

    async def write(self, msg: Any) -> None:
        FLEET_CODEC.encode(msg)
        self._written.append(msg)

    async def read(self) -> Any:
        await asyncio.Event().wait()


class _Channel:
    def __init__(self, *args: Any) -> None:
        pass

    async def wait_connected(self) -> None:
        pass

    def stream(self, method: str) -> CancelledStream:
        return CancelledStream()

    async def close(self) -> None:
        pass


class LeaderStreamTest(unittest.IsolatedAsyncioTestCase):
    # Guards against the end of a stream that is taken for the end of the search: the gateway would
    # have no leader until its restart.
    async def test_a_stream_that_is_cancelled_by_others_is_followed_by_the_next(self) -> None:
        listener = _Listener()
        with patch.object(leader_stream, "RpcChannel", _Channel):
            running = asyncio.ensure_future(LeaderStream(listener, SystemClock()).run())
            async with asyncio.timeout(WITHIN_S):
                while listener.lost < STREAMS and not running.done():
                    await asyncio.sleep(0.01)
            self.assertFalse(running.done())
            running.cancel()
            await asyncio.wait([running])
        self.assertTrue(running.cancelled())

    # Guards against a message that ends the stream to the leader, and with it all questions.
    async def test_a_message_that_cannot_be_encoded_is_passed_over(self) -> None:
        written: list[Any] = []
        with (
            patch.object(leader_stream, "RpcChannel", _Channel),
            patch.object(_Channel, "stream", lambda self, method: _WrittenStream(written)),
            self.assertLogs(leader_stream.log, "ERROR"),
        ):
            listener = _WritingListener()
            running = asyncio.ensure_future(LeaderStream(listener, SystemClock()).run())
            async with asyncio.timeout(WITHIN_S):
                while not written:
                    await asyncio.sleep(0.001)
            running.cancel()
            await asyncio.wait([running])
        self.assertEqual(written, [AskRepeat(1, "drafts")])
