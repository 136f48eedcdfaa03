"""What a claim costs in the log of one replica with a real disk."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from pathlib import Path
from typing import Any

from chestnutfall.clock import SystemClock
from chestnutfall.consensus import Member, Replica, Timing, Transport
from chestnutfall.consensus.disk_folder import DiskFolder
from chestnutfall.consensus.file_storage import FileStorage
from chestnutfall.control.control_state import ControlState

from .message_slopes import CALLS
from .meter import cpu_us
from .sample_state import claim
from .slope import Slope, fit


class _Nobody(Transport):
    async def call(self, member: Member, msg: Any, timeout_ms: float) -> Any:
        raise ConnectionError("alone")


async def log_slopes() -> list[Slope]:
    one, many, one_cpu, many_cpu, size = [], [], [], [], []
    for count in CALLS:
        took_ms, used_us, written = await _claims(count, at_once=1)
        one.append((count, took_ms))
        one_cpu.append((count, used_us))
        size.append((count, written))
        took_ms, used_us, _ = await _claims(count, at_once=64)
        many.append((count, took_ms))
        many_cpu.append((count, used_us))
    return [
        fit("claim committed one by one, synced, one replica", "ms", one),
        fit("claim committed 64 at once, synced, one replica", "ms", many),
        fit("claim committed one by one, processor", "µs", one_cpu),
        fit("claim committed 64 at once, processor", "µs", many_cpu),
        fit("claim in the write-ahead log", "bytes", size),
    ]


async def _claims(count: int, at_once: int) -> tuple[float, float, float]:
    with tempfile.TemporaryDirectory() as path:
        folder = DiskFolder(Path(path))
        storage = FileStorage(folder)
        await storage.bootstrap((Member("a", "a"),))
        replica = Replica(
            "a",
            storage,
            ControlState(),
            _Nobody(),
            SystemClock(),
            random.Random(1),
            Timing(),
            10**9,
        )
        replica.start()
        while not replica.is_active_leader():
            await asyncio.sleep(0.05)
        numbers = iter(range(count))

        async def worker() -> None:
            for number in numbers:
                await replica.propose(claim(number))

        before, started = cpu_us(), time.monotonic()
        await asyncio.gather(*(worker() for _ in range(at_once)))
        took_ms, used = (time.monotonic() - started) * 1000, cpu_us() - before
        written = sum(len(folder.read(name)) for name in folder.names() if "wal" in name)
        await replica.stop()
        folder.close()
    return took_ms, used, written
