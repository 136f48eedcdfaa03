"""Exit codes of the command line for operators."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of `chestnutfallctl`, on which scripts rely.

    Attributes
    ----------
    FAILED
        An error that no other code describes.
    REFUSED
        The settings, the files or the change are invalid; the findings are printed.
    CONFLICT
        Another change was accepted since the revision that this one was made from.
    UNKNOWN
        No controller answered, so the change may have been accepted. Sending it again with the
        same change id is safe.
    NOT_IN_FORCE
        Some gateways do not use the newest configuration, or the audit log is inconsistent.
    """

    OK = 0
    FAILED = 1
    REFUSED = 2
    CONFLICT = 3
    UNKNOWN = 4
    NOT_IN_FORCE = 5
