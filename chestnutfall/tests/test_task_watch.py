"""Tasks of a controller that end by an error which nothing expects.

The controller would lead on without that task's work: without growing its group, without places
for requests, without joining. No other controller takes over from one that leads.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import tempfile
import tomllib
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

from ..clock import SystemClock
from ..control.crash_monitor import CrashMonitor
from ..coordination.controller_runner import ControllerRunner
from ..coordination.engine_kind_recorder import EngineKindRecorder
from ..coordination.fleet_leader import FleetLeader
from ..coordination.group_joiner import GroupJoiner
from ..coordination.group_manager import GroupManager
from ..coordination.heartbeat_batch import HeartbeatBatch
from ..coordination.task_watch import TaskWatch
from ..observability.prometheus_metrics import PrometheusMetrics
from ..platform.document_json import DocumentJson
from ..platform.node_file import to_settings
from ..platform.standin.node_writer import NodePlan, Ports, write_node_file
from ..settings.fleet_settings import FleetSettings
from .fakes.accepting_engines import AcceptingEngines
from .fakes.accounts import usual_memory

TASKS = (
    FleetLeader,
    GroupManager,
    GroupJoiner,
    HeartbeatBatch,
    EngineKindRecorder,
    CrashMonitor,
)
POLL_S = 0.02
GIVE_UP_S = 30.0
"""Ends a test whose controller doesn't lead again; none takes as long otherwise."""


class _FailsOnce:
    """The `run` of a task whose first call raises an error."""

    def __init__(self, run: Callable[[Any], Any]) -> None:
        self._run = run
        self.calls = 0

    async def run(self, task: Any) -> None:
        self.calls += 1
        if self.calls == 1:
            raise LookupError("nothing expects this")
        await self._run(task)


class TaskWatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_task_that_ends_by_itself_is_noticed(self) -> None:
        async def returns() -> None:
            await asyncio.sleep(0)

        tasks = TaskWatch()
        tasks.start("waits", asyncio.Event().wait())  # type: ignore[arg-type]
        tasks.start("returns", returns())
        self.assertEqual(await tasks.ended, "returns")
        await tasks.stop()


class ControllerTasksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    # Guards against a controller that leads on without one of its tasks.
    async def test_a_controller_whose_task_ends_leads_anew_with_all_of_them(self) -> None:
        for kind in TASKS:
            with self.subTest(kind.__name__), tempfile.TemporaryDirectory() as folder:
                failing = _FailsOnce(kind.run)
                with mock.patch.object(kind, "run", lambda task, one=failing: one.run(task)):
                    async with asyncio.timeout(GIVE_UP_S):
                        await self._lead(_settings(folder), failing)

    async def _lead(self, settings: FleetSettings, failing: _FailsOnce) -> None:
        """Run a controller until it leads, and the failing task has been started again."""
        stop, clock, metrics = asyncio.Event(), SystemClock(), PrometheusMetrics()
        runner = ControllerRunner(
            settings, DocumentJson(), AcceptingEngines(), clock, metrics, usual_memory()
        )
        running = asyncio.ensure_future(runner.run(stop))
        while failing.calls < 2 or runner._leader is None or runner._leader.leading() is None:
            self.assertFalse(running.done())
            await asyncio.sleep(POLL_S)
        stop.set()
        await running


def _settings(folder: str) -> FleetSettings:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    path = Path(folder) / "node.toml"
    data_folder = Path(folder) / "data"
    data_folder.mkdir()
    plan = NodePlan("127.0.0.1", "c1", str(data_folder), ("127.0.0.1",), True)
    write_node_file(path, plan, Ports(1, 2, 3, port))
    node = tomllib.loads(path.read_text("utf-8"))
    node["tolerate"]["machines"] = 0
    return to_settings(node)


if __name__ == "__main__":
    unittest.main()
