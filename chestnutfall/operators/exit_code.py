"""How a command ended, for scripts."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Stable exit codes of `chestnutfallctl`."""

    OK = 0
    FAILED = 1
    REFUSED = 2
    CONFLICT = 3
    UNKNOWN = 4
    NOT_IN_FORCE = 5
