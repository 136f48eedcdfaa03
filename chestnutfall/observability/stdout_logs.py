"""Logging to standard output without blocking."""

from __future__ import annotations

import logging
import os
import sys

from ..clock import Clock
from .prometheus_metrics import PrometheusMetrics

MAX_LINES_PER_S = 400
"""Lines beyond this are dropped unless they are warnings or errors.

At its peak a gateway serves fewer than 100 calls a second and logs two or three lines for each.
"""


class StdoutHandler(logging.Handler):
    """Writes log records to standard output; drops lines that can't be written at once.

    A reader of standard output that stops reading fills the pipe. A blocking write would then
    stop the event loop and so every request. Therefore the descriptor is set to non-blocking,
    and a line that does not fit is dropped and counted as `log_lines_dropped`, as are lines beyond
    `MAX_LINES_PER_S`. Lines lost to other errors are counted as `log_write_errors`.
    """

    def __init__(self, clock: Clock, metrics: PrometheusMetrics) -> None:
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
        # Warnings report lost dependencies and are rare. Only the lines logged for each call can
        # become too many.
        if self._lines > MAX_LINES_PER_S and record.levelno < logging.WARNING:
            self._metrics.count("log_lines_dropped")
            return
        try:
            os.write(self._fd, self.format(record).encode() + b"\n")
        except BlockingIOError:
            self._metrics.count("log_lines_dropped")
        except OSError:
            self._metrics.count("log_write_errors")
