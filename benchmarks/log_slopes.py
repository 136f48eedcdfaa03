"""Cost of committing a claim to the log of one replica on a real disk."""

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


class _NoPeers(Transport):
    """The transport of a replica that is the only member."""

    async def call(self, member: Member, msg: Any, timeout_ms: float) -> Any:
        raise ConnectionError("alone")


async def log_slopes() -> list[Slope]:
    """Measure claims proposed one by one and 64 at once."""
    single_ms, batch_ms, single_us, batch_us, log_bytes = [], [], [], [], []
    for count in CALLS:
        took_ms, used_us, written = await _commit_claims(count, at_once=1)
        single_ms.append((count, took_ms))
        single_us.append((count, used_us))
        log_bytes.append((count, written))
        took_ms, used_us, _ = await _commit_claims(count, at_once=64)
        batch_ms.append((count, took_ms))
        batch_us.append((count, used_us))
    return [
        fit("claim committed one by one, synced, one replica", "ms", single_ms),
        fit("claim committed 64 at once, synced, one replica", "ms", batch_ms),
        fit("claim committed one by one, processor", "µs", single_us),
        fit("claim committed 64 at once, processor", "µs", batch_us),
        fit("claim in the write-ahead log", "bytes", log_bytes),
    ]


async def _commit_claims(count: int, at_once: int) -> tuple[float, float, float]:
    """Commit `count` claims; return elapsed ms, processor time in µs and bytes of the log."""
    with tempfile.TemporaryDirectory() as path:
        folder = DiskFolder(Path(path))
        storage = FileStorage(folder)
        await storage.bootstrap((Member("a", "a"),))
        replica = Replica(
            "a",
            storage,
            ControlState(),
            _NoPeers(),
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
