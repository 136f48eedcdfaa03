"""Clocks in milliseconds, and counting over a sliding window."""

from __future__ import annotations

from .clock import Clock
from .manual_clock import ManualClock
from .sliding_window import SlidingWindow
from .system_clock import SystemClock

__all__ = ["Clock", "ManualClock", "SlidingWindow", "SystemClock"]
