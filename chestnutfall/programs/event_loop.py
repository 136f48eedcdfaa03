"""The event loop that every program runs on."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Awaitable, Callable


def run(work: Callable[[asyncio.Event], Awaitable[int]]) -> None:
    """Run `work` on uvloop; its event is set by SIGTERM or SIGINT. Exits with its result."""
    # The hosts forbid io_uring; libuv opens a ring unless this is set before the loop is made.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    async def main() -> int:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        return await work(stop)

    # What was imported lives as long as the program. A full collection that looks at all of it
    # stops every request for 30 ms on a core of its own (`gc.collect` after the imports of a
    # platform gateway), twice as long on half a core.
    gc.freeze()
    sys.exit(uvloop.run(main()))
