"""When this process began; imported before anything that takes time."""

from __future__ import annotations

import time

PROCESS_START_MS = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
"""On the scale of `SystemClock`."""
