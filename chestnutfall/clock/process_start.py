"""Start time of this process; import it before modules that take long to load."""

from __future__ import annotations

import time

PROCESS_START_MS = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
"""In ms since boot, comparable with `SystemClock.now_ms`."""
