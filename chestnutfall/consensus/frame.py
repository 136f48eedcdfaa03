"""Framing of stored batches: length, checksum, payload.

One batch is one frame, and a batch is written only after the one before it was synced. So a
frame that can't be read is a torn tail if nothing readable follows it, and was never
acknowledged; if a readable frame follows, synced data was damaged.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

import crc32c

_HEAD = struct.Struct("<II")
MAGIC = 0x43464C31


class CorruptFile(Exception):
    """Synced data can't be read back."""


def frame(payload: bytes) -> bytes:
    """Wrap `payload` in its length and checksum."""
    return _HEAD.pack(len(payload), crc32c.crc32c(payload, MAGIC)) + payload


def read_frame(data: bytes, at: int) -> bytes | None:
    """Return the payload of the frame at offset `at`; None when it is not whole."""
    if at + _HEAD.size > len(data):
        return None
    size, checksum = _HEAD.unpack_from(data, at)
    end = at + _HEAD.size + size
    if size == 0 or end > len(data):
        return None
    payload = data[at + _HEAD.size : end]
    return payload if crc32c.crc32c(payload, MAGIC) == checksum else None


def read_frames(data: bytes, name: str) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and payload of each frame up to a torn tail.

    Raises
    ------
    CorruptFile
        When a readable frame stands behind an unreadable one.
    """
    at = 0
    while (payload := read_frame(data, at)) is not None:
        at += _HEAD.size + len(payload)
        yield at, payload
    for later in range(at + 1, len(data) - _HEAD.size):
        if read_frame(data, later) is not None:
            raise CorruptFile(
                f"{name}: the data at offset {at} is damaged and a whole batch follows at offset "
                f"{later}; restore this replica as a new member"
            )
