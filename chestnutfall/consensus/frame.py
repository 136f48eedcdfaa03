"""Framing of stored batches: length, checksum, payload.

Each batch of records is one frame, and it is written only after the previous frame was synced.
So an unreadable frame with no readable frame after it is a torn tail, which was never
acknowledged. An unreadable frame before a readable one means that synced data was damaged.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

import crc32c

_HEADER = struct.Struct("<II")
CHECKSUM_SEED = 0x43464C31
"""Initial value of the CRC-32C: "CFL1" in ASCII."""


class CorruptFile(Exception):
    """Data that was synced fails its checksum."""


def frame(payload: bytes) -> bytes:
    """Return `payload` preceded by its length and checksum."""
    return _HEADER.pack(len(payload), crc32c.crc32c(payload, CHECKSUM_SEED)) + payload


def read_frame(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at `offset`; None when it is incomplete or damaged."""
    if offset + _HEADER.size > len(data):
        return None
    size, checksum = _HEADER.unpack_from(data, offset)
    end = offset + _HEADER.size + size
    if size == 0 or end > len(data):
        return None
    payload = data[offset + _HEADER.size : end]
    return payload if crc32c.crc32c(payload, CHECKSUM_SEED) == checksum else None


def read_frames(data: bytes, name: str) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and payload of each frame up to the end or a torn tail.

    `name` of the file appears in the error message.

    Raises
    ------
    CorruptFile
        When a readable frame follows an unreadable one.
    """
    offset = 0
    while (payload := read_frame(data, offset)) is not None:
        offset += _HEADER.size + len(payload)
        yield offset, payload
    for later_offset in range(offset + 1, len(data) - _HEADER.size):
        if read_frame(data, later_offset) is not None:
            raise CorruptFile(
                f"{name}: the data at offset {offset} is damaged and a valid batch follows at "
                f"offset {later_offset}; restore this replica as a new member"
            )
