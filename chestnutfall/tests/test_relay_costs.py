"""What a gateway does for each event of a stream, and in a quiet second.

With 80 gateways on 0.4 of a core each, these are most of a deployment's processor time.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import uvloop

from ..platform.node_file import PATH_VARIABLE, read_node_file
from ..platform.settings_watch import SettingsWatch
from ..platform.standin.node_writer import NodePlan, Ports, write_node_file
from ..routes import RouteKind
from ..wire.lazy_read_timeout import LazyReadTimeout
from .fakes.forwarder_case import ForwarderCase, event

PARTS = 50
TIMEOUT_S = 2.0


class EventsTogetherTest(ForwarderCase):
    async def test_events_that_arrive_together_go_out_together(self) -> None:
        chunks = (event(1) + event(2) + event(3), event(4) + event(5)[:4], event(5)[4:])
        with mock.patch.object(self.reply, "write", wraps=self.reply.write) as write:
            await self._serve(RouteKind.STREAM, (chunks,))
        self.assertEqual(
            [call.args[0] for call in write.call_args_list],
            [event(1) + event(2) + event(3), event(4), event(5)],
        )

    async def test_events_before_a_missing_one_reach_the_client_before_the_end(self) -> None:
        """The resumed run starts behind the last event that the client has."""
        chunks = (event(1) + event(2) + event(4),)
        upstreams = await self._serve(RouteKind.RESUMABLE_STREAM, (chunks, (event(3),)))
        self.assertEqual(bytes(self.reply.body), event(1) + event(2) + event(3))
        self.assertEqual([one.resume_after for one in upstreams.sends], [None, 2])


class _Loop:
    """A clock in seconds with timers that a test ends by itself."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.timers: list[tuple[float, Callable[[], None]]] = []

    def time(self) -> float:
        return self.now_s

    def call_at(self, when_s: float, end: Callable[[], None]) -> Any:
        self.timers.append((when_s, end))
        handle = mock.Mock(spec=asyncio.TimerHandle)
        handle.when.return_value = when_s
        return handle


class LazyReadTimeoutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = _Loop()
        self.protocol = LazyReadTimeout(self.loop)  # type: ignore[arg-type]
        self.protocol.read_timeout = TIMEOUT_S
        self.protocol.start_timeout()

    def _end_timer(self) -> None:
        when_s, end = self.loop.timers[-1]
        self.loop.now_s = when_s
        end()

    def test_the_parts_of_an_answer_share_a_timer(self) -> None:
        for _ in range(PARTS):
            self.loop.now_s += TIMEOUT_S / (2 * PARTS)
            self.protocol._reschedule_timeout()
        self.assertEqual(len(self.loop.timers), 1)

    def test_an_upstream_counts_as_silent_exactly_after_its_last_part(self) -> None:
        self.loop.now_s += TIMEOUT_S / 2
        self.protocol._reschedule_timeout()
        self._end_timer()
        self.assertIsNone(self.protocol.exception())
        self._end_timer()
        self.assertEqual(self.loop.now_s, 1.5 * TIMEOUT_S)
        self.assertIsNotNone(self.protocol.exception())

    def test_a_shorter_timeout_of_the_next_answer_is_in_time(self) -> None:
        """A kept timer of the answer before would end too late."""
        self.protocol.read_timeout = TIMEOUT_S / 4
        self.protocol.start_timeout()
        self.assertEqual(self.loop.timers[-1][0], TIMEOUT_S / 4)

    # Guards against a request that ends with an internal error: uvloop runs a timer that is due
    # within half a millisecond at once, and its handle does not tell when it ends.
    def test_a_part_that_arrives_as_the_timer_ends_is_taken(self) -> None:
        async def receive() -> BaseException | None:
            protocol = LazyReadTimeout(asyncio.get_running_loop())
            protocol.read_timeout = 0.0001
            protocol.start_timeout()
            protocol.read_timeout = TIMEOUT_S
            protocol.start_timeout()
            await asyncio.sleep(0)
            protocol.close()
            return protocol.exception()

        self.assertIsNone(uvloop.run(receive()))


class SettingsPollTest(unittest.TestCase):
    def test_an_unchanged_file_is_not_parsed_and_each_change_is_noticed(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path, ports = Path(folder) / "node.toml", Ports(1, 2, 3, 4)
            changes: list[tuple[str, ...]] = []
            write_node_file(path, NodePlan("127.0.0.1", "g", "", ("127.0.0.2",), True), ports)
            with mock.patch.dict("os.environ", {PATH_VARIABLE: str(path)}):
                watch = SettingsWatch(
                    read_node_file(), mock.Mock(), lambda new: changes.append(new.controllers)
                )
                with mock.patch("chestnutfall.platform.settings_watch.parse") as parse:
                    parse.side_effect = ValueError("half written")
                    watch.reload()
                    watch.reload()
                    self.assertEqual(parse.call_count, 2)
                watch.reload()
                with mock.patch("chestnutfall.platform.settings_watch.parse") as parse:
                    watch.reload()
                    self.assertEqual(parse.call_count, 0)
                for seed in ("127.0.0.3", "127.0.0.4", "127.0.0.3"):
                    write_node_file(path, NodePlan("127.0.0.1", "g", "", (seed,), True), ports)
                    watch.reload()
        self.assertEqual([one[0].partition(":")[0][-1] for one in changes], ["3", "4", "3"])
