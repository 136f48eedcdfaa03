"""How much a process may hold for its peers."""

from __future__ import annotations

import logging
import os
from pathlib import Path

log = logging.getLogger(__name__)
MIB = 1024 * 1024
USUAL_RESTING_BYTES = 64 * MIB
"""Memory of a program that has just started, where the host doesn't tell."""
GROWTH_BYTES = 16 * MIB
"""What a program comes to hold by itself as it serves: tables, pools, kept connections."""
USED_SHARE = 0.75
"""Part of the rest that is given out. The allocator can't use all that is free, one body at a time
is copied as it ends, and what gives way is there for a moment longer."""
MIN_CAPACITY_BYTES = 12 * MIB
"""One request at a time within the usual limits, on however small a host."""


def capacity_bytes(memory_mb: int, resting_bytes: int) -> int:
    """Return what all peers of a process may have it hold.

    Parameters
    ----------
    memory_mb : int
        Memory in MiB at which the host ends the process.
    resting_bytes : int
        What the process holds before it serves anybody.
    """
    left = memory_mb * MIB - resting_bytes - GROWTH_BYTES
    capacity = int(left * USED_SHARE)
    if capacity < MIN_CAPACITY_BYTES:
        log.warning(
            "memory: memory_mb=%d leaves %d bytes for peers; %d are used",
            memory_mb,
            left,
            MIN_CAPACITY_BYTES,
        )
    return max(capacity, MIN_CAPACITY_BYTES)


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError) as exc:
        log.info("memory: the resident memory is not known: %s", exc)
        return USUAL_RESTING_BYTES
    return pages * os.sysconf("SC_PAGE_SIZE")
