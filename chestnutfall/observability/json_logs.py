"""Logs as JSON lines."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def start_logs(level: str, program: str, name: str, handler: logging.Handler | None = None) -> None:
    """Send every log record as one JSON line to `handler`, or to standard error without one."""
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"program": program, "host": name},
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
