"""Start of the event loop that the long-running programs use."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Awaitable, Callable

from .heap import keep_large_blocks_mapped


def disable_io_uring() -> None:
    """Keep libuv from using io_uring, which the hosts forbid.

    Call this before an event loop is created.
    """
    os.environ["UV_USE_IO_URING"] = "0"


def run(work: Callable[[asyncio.Event], Awaitable[int]]) -> None:
    """Run a coroutine on uvloop and exit the process with the code that it returns.

    Parameters
    ----------
    work : callable
        Gets an event that SIGTERM and SIGINT set, and returns the exit code of the process.
    """
    disable_io_uring()
    keep_large_blocks_mapped()
    import uvloop

    async def main() -> int:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        return await work(stop)

    # Imported modules live as long as the process. Frozen, they are not traversed by full
    # collections, each of which stops all requests until it ends.
    gc.freeze()
    gc.enable()
    sys.exit(uvloop.run(main()))
