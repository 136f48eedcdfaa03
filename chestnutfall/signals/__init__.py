"""Signals in the answers of upstreams, and the sends that they forbid.

An answer can declare a limit on requests per second, ask for a backoff, say that the upstream is
leaving, and report its load.
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
