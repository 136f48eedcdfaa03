"""What every program does around its work."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

from ..settings import read_settings

T = TypeVar("T")
EXIT_SETTINGS = 2


def parser(program: str, description: str) -> argparse.ArgumentParser:
    """Command line with the options that all daemons share."""
    made = argparse.ArgumentParser(prog=program, description=description)
    made.add_argument("--settings", type=Path, required=True, help="JSON settings file")
    made.add_argument("--check", action="store_true", help="check the settings and exit")
    return made


def load_settings(kind: type[T], args: argparse.Namespace) -> T:
    """Read the settings; print all findings and exit 2 if there are any."""
    result = read_settings(kind, args.settings)
    if result.is_error():
        for finding in result.error:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if args.check:
        print(f"{args.settings}: settings are valid")
        sys.exit(0)
    return result.ok


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

    sys.exit(uvloop.run(main()))
