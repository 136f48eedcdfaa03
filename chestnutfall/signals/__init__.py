"""Signals that upstreams send in their answers, and which upstreams may be sent work by them.

An answer can declare a limit on requests per second, ask for a backoff, say that the upstream is
leaving, and tell its load.
"""

from __future__ import annotations

from .backoff_signal import BACKING_OFF, AskedBackoff, BackoffSignal, NoBackoff, UnreadableBackoff
from .read_signals import SignalHeaders, read_signals
from .unread_headers import UnreadHeaders
from .upstream_load import UpstreamLoad
from .upstream_signals import NO_SIGNALS, UpstreamSignals

__all__ = [
    "BACKING_OFF",
    "NO_SIGNALS",
    "AskedBackoff",
    "BackoffSignal",
    "NoBackoff",
    "SignalHeaders",
    "UnreadHeaders",
    "UnreadableBackoff",
    "UpstreamLoad",
    "UpstreamSignals",
    "read_signals",
]
