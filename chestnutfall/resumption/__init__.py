"""Streams that go on after an interruption, and the software that began them."""

from __future__ import annotations

from .origin_book import OriginBook
from .refusals import BEGIN_ANEW_MS, BUILD_GONE, STREAM_MOVED, UNKNOWN_STREAM
from .remembered_attempt import remembered_attempt
from .stream_origin import StreamOrigin
from .stream_owner import stream_owner

__all__ = [
    "BEGIN_ANEW_MS",
    "BUILD_GONE",
    "STREAM_MOVED",
    "UNKNOWN_STREAM",
    "OriginBook",
    "StreamOrigin",
    "remembered_attempt",
    "stream_owner",
]
