"""Logging of JSON lines."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def start_logs(level: str, program: str, name: str, handler: logging.Handler | None = None) -> None:
    """Send every log record as one JSON line to a handler.

    Replaces the handlers of the root logger, and silences aiohttp's log line for each request.

    Parameters
    ----------
    level : str
        Lowest level that is logged.
    program, name : str
        Added to each line as `program` and `host`.
    handler : logging.Handler, optional
        Standard error by default.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"program": program, "host": name},
        )
    )
    # No line names its thread, process or place in the code, so looking these up for each record
    # would be wasted time. The logging module documents these switches.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
