"""Start of the event loop that the long-running programs use."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Awaitable, Callable


def run(work: Callable[[asyncio.Event], Awaitable[int]]) -> None:
    """Run a coroutine on uvloop and exit the process with the code that it returns.

    Parameters
    ----------
    work : callable
        Gets an event that SIGTERM and SIGINT set, and returns the exit code of the process.
    """
    # The hosts forbid io_uring; libuv opens a ring unless this is set before the loop is created.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    async def main() -> int:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        return await work(stop)

    # Imported modules live as long as the process, so the collector need not traverse them. A
    # full collection that does stops every request for 30 ms on a whole core, and for twice as
    # long on half a core, with the modules of a platform gateway.
    gc.freeze()
    gc.enable()
    sys.exit(uvloop.run(main()))
