"""Structured logs on standard output that never block the process."""

from __future__ import annotations

import logging
import os
import sys

from ..clock import Clock
from .histograms import Histograms

LINES_PER_S = 400
"""A gateway at its peak serves under 100 calls a second with two or three lines each."""


class StdoutHandler(logging.Handler):
    """Writes one JSON line for each record; drops and counts what can't be written at once.

    A reader that stops reading fills the pipe. A blocking write would then stop the whole event
    loop, and with it every request, so the descriptor does not block and the line is dropped.
    """

    def __init__(self, clock: Clock, metrics: Histograms) -> None:
        super().__init__()
        self._clock = clock
        self._metrics = metrics
        self._second = -1
        self._lines = 0
        self._fd = sys.stdout.fileno()
        os.set_blocking(self._fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        second = self._clock.now_ms() // 1000
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        # Warnings tell of lost dependencies and are few; only the flood of calls is bounded.
        if self._lines > LINES_PER_S and record.levelno < logging.WARNING:
            self._metrics.count("log_lines_dropped")
            return
        try:
            os.write(self._fd, self.format(record).encode() + b"\n")
        except BlockingIOError:
            self._metrics.count("log_lines_dropped")
        except OSError:
            self._metrics.count("log_write_errors")
