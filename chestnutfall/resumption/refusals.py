"""Reasons of refusals to resume a stream."""

from __future__ import annotations

UNKNOWN_STREAM = "unknown_stream"
"""No gateway knows what the stream began on."""
STREAM_MOVED = "stream_moved"
"""The route no longer leads to the service that began the stream."""
BUILD_GONE = "build_gone"
"""No upstream runs the software that began the stream."""
BEGIN_ANEW_MS = 50
"""Retry delay for a client whose stream can't go on: it may begin it anew at once."""
