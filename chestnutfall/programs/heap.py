"""How the C library gives memory back."""

from __future__ import annotations

import ctypes
import logging

log = logging.getLogger(__name__)
MAPPED_BYTES = 128 * 1024
"""The C library's own default; what is at least as large is mapped, and given back when freed."""
_M_MMAP_THRESHOLD = -3


def keep_large_blocks_mapped() -> None:
    """Let the C library give each large block back to the system as it is freed.

    Without this, it takes the size of the largest block ever freed as the limit. Long bodies then
    lie on the heap, between small objects that outlive them, and the process stays as large as it
    ever was: twice what its peers have it hold.
    """
    try:
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, MAPPED_BYTES)
    except (AttributeError, OSError) as exc:
        log.info("memory: this C library gives large blocks back by its own rule: %s", exc)
