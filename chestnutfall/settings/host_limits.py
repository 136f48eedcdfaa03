"""What a process may use of its host."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_MEMORY_MB = 512
"""Several times what a process holds that serves its usual load."""
DEFAULT_MAX_FDS = 4_096
DEFAULT_DISK_MB = 1_024
MIN_MEMORY_MB = 96
"""Less leaves nothing beside the program itself."""
MIN_MAX_FDS = 256


@dataclass(frozen=True, slots=True)
class HostLimits:
    """Limits beyond which the host ends a process, or opens nothing more for it.

    Attributes
    ----------
    memory_mb : int
        Memory in MiB, with what has arrived at its sockets and is unread.
    max_fds : int
        Open descriptors, sockets included.
    disk_mb : int
        Space on the disk in MiB; 0 on hosts without one.

    Raises
    ------
    ValueError
        If a limit is less than a process needs by itself.
    """

    memory_mb: int = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS
    disk_mb: int = DEFAULT_DISK_MB

    def __post_init__(self) -> None:
        if self.memory_mb < MIN_MEMORY_MB:
            raise ValueError(f"memory_mb is {self.memory_mb}; at least {MIN_MEMORY_MB} is allowed")
        if self.max_fds < MIN_MAX_FDS:
            raise ValueError(f"max_fds is {self.max_fds}; at least {MIN_MAX_FDS} is allowed")
