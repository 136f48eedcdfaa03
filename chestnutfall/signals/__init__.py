"""What upstreams say of themselves in their answers, and who may be sent work by that."""

from __future__ import annotations

from .backoff_word import BACKING_OFF, AskedBackoff, BackoffWord, NoBackoff, UnreadableBackoff
from .read_signals import SignalHeaders, read_signals
from .unread_headers import UnreadHeaders
from .upstream_load import UpstreamLoad
from .upstream_signals import NO_SIGNALS, UpstreamSignals

__all__ = [
    "BACKING_OFF",
    "NO_SIGNALS",
    "AskedBackoff",
    "BackoffWord",
    "NoBackoff",
    "SignalHeaders",
    "UnreadHeaders",
    "UnreadableBackoff",
    "UpstreamLoad",
    "UpstreamSignals",
    "read_signals",
]
