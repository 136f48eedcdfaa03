"""Names of the signal headers on chestnutfall's own interface to upstreams."""

from __future__ import annotations

from .read_signals import SignalHeaders

OWN_SIGNALS = SignalHeaders(
    limit="X-Requests-Per-Second",
    leaving="X-Upstream-Leaving",
    load="X-Upstream-Load",
    rejections="X-Rejections-Per-Second",
)
